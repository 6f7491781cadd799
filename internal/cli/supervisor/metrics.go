package supervisor

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"

	"github.com/peridotstage/peridotstage/internal/report/exporter"
	"github.com/peridotstage/peridotstage/internal/report/recorder"
	"github.com/peridotstage/peridotstage/internal/route/carrier"
	"github.com/peridotstage/peridotstage/internal/route/counter"
	"github.com/peridotstage/peridotstage/internal/setting/parser"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// Reasons why a machine is not ready.
var (
	// ErrStopping means that a planned stop has begun.
	ErrStopping           = eris.New("planned stop")
	errNoLease            = eris.New("no valid lease")
	errRevisionNotInForce = eris.New("newest known revision is not in force")
)

// CheckReady returns why the node may not pass traffic, or nil. enforced is the revision in force.
func (n *Node) CheckReady(now time.Time, enforced registrar.Revision) error {
	switch {
	case n.stopping.Load():
		return ErrStopping
	case !n.Subscriber.Valid(now):
		return errNoLease
	case enforced < n.Subscriber.World.Revision():
		return errRevisionNotInForce
	}
	return nil
}

// NewExporter returns an exporter that serves at the machine's metrics address.
func NewExporter(cfg parser.Host, ready func(now time.Time) error) (*exporter.Exporter, error) {
	e, err := exporter.New()
	if err != nil {
		return nil, err
	}
	e.Address, e.Ready = cfg.MetricsAddress, ready
	return e, nil
}

// ExportMetrics adds the metrics that entries and agents share.
func (n *Node) ExportMetrics(e *exporter.Exporter, counts *counter.Counter) error {
	passed := func(emit exporter.Emit) {
		var sum uint64
		for _, c := range counts.Evidence() {
			sum += c.Passed
		}
		emit(int64(sum))
	}
	dropped := func(emit exporter.Emit) {
		for r := carrier.Passed + 1; int(r) < carrier.DropReasonCount; r++ {
			emit(int64(counts.Drops(r)), attribute.String("reason", r.String()))
		}
	}
	heartbeats := func(emit exporter.Emit) {
		emit(n.heartbeats.Load(), attribute.String("result", "ok"))
		emit(n.failedHeartbeats.Load(), attribute.String("result", "failed"))
	}
	controlBytes := func(emit exporter.Emit) {
		var sent, received uint64
		for _, c := range n.clients.list() {
			sent += c.Traffic.Sent()
			received += c.Traffic.Received()
		}
		emit(int64(sent), attribute.String("direction", "sent"))
		emit(int64(received), attribute.String("direction", "received"))
	}
	lease := func(emit exporter.Emit) { emit(max(0, time.Until(n.Subscriber.ExpireAt()).Milliseconds())) }
	return errors.Join(
		e.Counter("packets_passed", "Packets passed on for customers.", passed),
		e.Counter("packets_dropped", "Packets dropped, by reason.", dropped),
		e.Counter("heartbeats", "Heartbeats sent to control, by result.", heartbeats),
		e.Counter("control_bytes", "Bytes exchanged with control, including TLS.", controlBytes),
		e.Gauge("lease_remaining_milliseconds", "Time until the lease expires; 0 without a lease.", lease),
		e.Gauge("revision", "Configuration revision that the machine holds.", RevisionOf(n.Subscriber.World)),
	)
}

// RevisionOf returns a function that emits the revision of a configuration.
func RevisionOf(w *registrar.World) func(exporter.Emit) {
	return func(emit exporter.Emit) { emit(int64(w.Revision())) }
}

// ServeMetrics returns a function that serves metrics. Traffic does not depend on them, so a failure is only logged.
func ServeMetrics(e *exporter.Exporter, rec *recorder.Recorder) func(context.Context) error {
	return func(ctx context.Context) error {
		if err := e.Run(ctx); err != nil {
			rec.Error(recorder.MetricsFailed, recorder.Err(err))
		}
		return nil
	}
}
