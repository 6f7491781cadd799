// Package exporter serves the metrics of one machine in the Prometheus format and its readiness over HTTP.
package exporter

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	otelprometheus "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
)

const (
	// headerTimeout bounds the time in which a client sends the header of a request.
	headerTimeout = 5 * time.Second
	// namespace is the prefix of all metric names.
	namespace = "peridotstage"
)

// Emit reports one value with its labels.
type Emit func(value int64, labels ...attribute.KeyValue)

// Exporter holds the instruments of one machine. The exported fields are set before Run.
type Exporter struct {
	// Address is the address to listen on. Run does not listen if it is the zero value.
	Address netip.AddrPort
	// Ready returns an error that says why the machine is not ready, or nil if it is.
	Ready func(now time.Time) error

	registry *prometheus.Registry
	meter    metric.Meter
}

// New returns an exporter with the metrics of the process itself.
func New() (*Exporter, error) {
	e := &Exporter{registry: prometheus.NewRegistry()}
	e.registry.MustRegister(
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reader, err := otelprometheus.New(
		otelprometheus.WithRegisterer(e.registry), otelprometheus.WithNamespace(namespace),
		otelprometheus.WithoutScopeInfo(), otelprometheus.WithoutTargetInfo())
	if err != nil {
		return nil, eris.Wrap(err, "create metrics reader")
	}
	e.meter = sdk.NewMeterProvider(sdk.WithReader(reader)).Meter(namespace)
	return e, nil
}

// Counter adds a monotonic counter. read is called for each scrape and emits its values.
func (e *Exporter) Counter(name, help string, read func(Emit)) error {
	_, err := e.meter.Int64ObservableCounter(name, metric.WithDescription(help), metric.WithInt64Callback(callback(read)))
	return eris.Wrapf(err, "metric %s", name)
}

// Gauge adds a metric whose value may rise and fall. read is called for each scrape and emits its values.
func (e *Exporter) Gauge(name, help string, read func(Emit)) error {
	_, err := e.meter.Int64ObservableGauge(name, metric.WithDescription(help), metric.WithInt64Callback(callback(read)))
	return eris.Wrapf(err, "metric %s", name)
}

// Latency adds a histogram of latencies in seconds and returns the function that records one.
func (e *Exporter) Latency(name, help string) (func(time.Duration), error) {
	histogram, err := e.meter.Float64Histogram(name, metric.WithDescription(help), metric.WithExplicitBucketBoundaries(latencyBounds...))
	if err != nil {
		return nil, eris.Wrapf(err, "metric %s", name)
	}
	return func(d time.Duration) { histogram.Record(context.Background(), d.Seconds()) }, nil
}

// latencyBounds are the upper bounds of the latency buckets in seconds.
var latencyBounds = []float64{0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5}

func callback(read func(Emit)) metric.Int64Callback {
	return func(_ context.Context, o metric.Int64Observer) error {
		read(func(value int64, labels ...attribute.KeyValue) { o.Observe(value, metric.WithAttributes(labels...)) })
		return nil
	}
}

// Run serves the endpoints over HTTP until ctx is cancelled.
func (e *Exporter) Run(ctx context.Context) error {
	if !e.Address.IsValid() {
		return nil
	}
	ln, err := net.Listen("tcp", e.Address.String())
	if err != nil {
		return eris.Wrapf(err, "listen on metrics_address %s", e.Address)
	}
	server := &http.Server{Handler: e.Handler(), ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return eris.Wrap(err, "serve metrics")
	}
	return nil
}

// Handler returns the HTTP handler of /metrics and /ready.
func (e *Exporter) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(e.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) {
		if err := e.Ready(time.Now()); err != nil {
			http.Error(w, "not ready: "+err.Error(), http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, "ready")
	})
	return mux
}
