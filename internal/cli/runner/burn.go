package runner

import (
	"net/http"
	"net/netip"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"github.com/peridotstage/peridotstage/internal/control/leaser"
	"github.com/peridotstage/peridotstage/internal/control/subscriber"
	"github.com/peridotstage/peridotstage/internal/front/connector"
	"github.com/peridotstage/peridotstage/internal/report/burner"
	"github.com/peridotstage/peridotstage/internal/report/exporter"
	"github.com/peridotstage/peridotstage/internal/setting/parser"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// finalBatchTime allows for one failed heartbeat.
const finalBatchTime = 2 * heartbeatTimeout

// customers names the customer of a source address.
type customers interface {
	Allowed(addr netip.Addr) (registrar.CustomerName, bool)
}

// meter lets a node send the batches of a meter.
func (n *node) meter(m *burner.Meter) {
	n.confirmBurn = m.Confirm
	n.batch = m.Batch
}

// meteredHandler counts the requests that the next handler serves.
type meteredHandler struct {
	next      http.Handler
	meter     *burner.Meter
	service   registrar.ServiceName
	customers customers
}

// ServeHTTP serves one request. A request that its caller gave up counts only if it was answered before.
func (h *meteredHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	rec := &statusWriter{ResponseWriter: w}
	defer func() {
		if rec.status == 0 && r.Context().Err() != nil {
			return
		}
		if a, err := netip.ParseAddrPort(r.RemoteAddr); err == nil {
			// A caller whose contract ended during the request has no customer that the request could count for.
			if name, _ := h.customers.Allowed(a.Addr().Unmap()); name != "" {
				h.meter.Record(h.service, name, time.Since(began), rec.failed())
			}
		}
	}()
	h.next.ServeHTTP(rec, r)
	rec.returned = true
}

// answerMeter counts the datagrams of plain UDP callers.
type answerMeter struct {
	meter     *burner.Meter
	service   registrar.ServiceName
	customers customers
}

// Answered counts n datagrams of a caller. Those of a caller without a contract count for nobody.
func (m *answerMeter) Answered(caller netip.Addr, d time.Duration, failed bool, n int) {
	if name, ok := m.customers.Allowed(caller); ok {
		m.meter.RecordMany(m.service, name, d, failed, n)
	}
}

// statusWriter remembers the status of an answer.
type statusWriter struct {
	http.ResponseWriter
	status int
	// returned is false if the handler panicked, which aborts the answer.
	returned bool
}

func (w *statusWriter) failed() bool {
	return w.status >= http.StatusInternalServerError || !w.returned
}

// WriteHeader remembers the first final status.
func (w *statusWriter) WriteHeader(status int) {
	if w.status == 0 && status >= http.StatusOK {
		w.status = status
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implies status 200.
func (w *statusWriter) Write(b []byte) (int, error) {
	if w.status == 0 {
		w.status = http.StatusOK
	}
	return w.ResponseWriter.Write(b)
}

// Flush passes on to the writer below.
func (w *statusWriter) Flush() { _ = http.NewResponseController(w.ResponseWriter).Flush() }

// Unwrap serves http.ResponseController.
func (w *statusWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// sendFinalBatch waits until control has all counts of a node that stops. It gives up after some heartbeats, because the
// report then says that data is missing.
func sendFinalBatch(g *group, n *node, m *burner.Meter) {
	m.Finish()
	for deadline := time.Now().Add(finalBatchTime); time.Now().Before(deadline) && !m.Finished() && g.ctx.Err() == nil; {
		n.heartbeatNow()
		g.pause(leavePoll)
	}
}

// burnCollector hands the batches in heartbeats to the collector.
type burnCollector struct {
	next  connector.HeartbeatHandler
	store *burnStore
}

// Heartbeat records the batch and passes the heartbeat on.
func (c *burnCollector) Heartbeat(now time.Time, h leaser.Heartbeat) (subscriber.Reply, error) {
	if h.Burn != nil {
		c.store.record(now, h.Machine, h.Burn)
	}
	return c.next.Heartbeat(now, h)
}

func objectivesOf(cfg parser.Control) []burner.Objective {
	var all []burner.Objective
	for _, o := range cfg.Objectives {
		all = append(all, burner.Objective{
			Service: o.Service, Customer: o.Customer, Answered: o.Answered, Fast: o.Fast, FastWithin: time.Duration(o.FastWithin),
		})
	}
	return all
}

// burnReport returns the report of this instance about the services and upstreams of the configuration.
func burnReport(c *burner.Collector, w *registrar.World) func(now time.Time) burner.Report {
	return func(now time.Time) burner.Report {
		expected := burner.Expected{Agents: map[registrar.ServiceName][]registrar.MachineName{}}
		for _, s := range w.Services() {
			expected.Agents[s.Name] = nil
		}
		for _, m := range w.Machines() {
			if m.Role == registrar.RoleEntry {
				expected.Entries = append(expected.Entries, m.Name)
			}
		}
		for _, u := range w.Upstreams() {
			// A silent upstream may serve all the same while its agent cannot reach control, so its data is missed as well.
			expected.Agents[u.Service] = append(expected.Agents[u.Service], u.Machine)
		}
		return c.Report(now, expected)
	}
}

// exportBurn adds the metrics of findings, so that an alert can be raised where the other metrics are collected.
func exportBurn(e *exporter.Exporter, report func(now time.Time) burner.Report) error {
	return e.Gauge("burn_alert", "1 while the nodes that report to this instance burn the error budget too fast.", func(emit exporter.Emit) {
		r := burner.Merge([]burner.Report{report(time.Now())})
		for _, f := range r.Judge() {
			var value int64
			if f.Verdict == burner.Burning {
				value = 1
			}
			emit(value, attribute.String("service", string(f.Service)), attribute.String("customer", string(f.Customer)),
				attribute.String("speed", string(f.Speed)))
		}
	})
}
