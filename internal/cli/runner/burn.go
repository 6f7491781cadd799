package runner

import (
	"net/http"
	"net/netip"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"github.com/peridotstage/peridotstage/internal/cli/supervisor"
	"github.com/peridotstage/peridotstage/internal/control/leaser"
	"github.com/peridotstage/peridotstage/internal/control/subscriber"
	"github.com/peridotstage/peridotstage/internal/front/connector"
	"github.com/peridotstage/peridotstage/internal/report/burner"
	"github.com/peridotstage/peridotstage/internal/report/exporter"
	"github.com/peridotstage/peridotstage/internal/setting/parser"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// finalBatchTimeout bounds the wait for the confirmation of the final batch. It allows for one failed heartbeat and its
// repetition.
const finalBatchTimeout = 2 * supervisor.HeartbeatTimeout

// customerLookup maps a source address to its customer.
type customerLookup interface {
	Allowed(addr netip.Addr) (registrar.CustomerName, bool)
}

// meteredHandler counts the requests that the next handler serves.
type meteredHandler struct {
	next      http.Handler
	meter     *burner.Meter
	service   registrar.ServiceName
	customers customerLookup
}

// ServeHTTP serves one request. A request that its caller canceled is counted only if the response had begun.
func (h *meteredHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	startedAt := time.Now()
	rec := &statusWriter{ResponseWriter: w}
	defer func() {
		if rec.status == 0 && r.Context().Err() != nil {
			return
		}
		if a, err := netip.ParseAddrPort(r.RemoteAddr); err == nil {
			// A caller whose contract ended during the request has no customer to count the request for.
			if name, _ := h.customers.Allowed(a.Addr().Unmap()); name != "" {
				h.meter.Record(h.service, name, time.Since(startedAt), rec.failed())
			}
		}
	}()
	h.next.ServeHTTP(rec, r)
	rec.handlerReturned = true
}

// answerMeter counts the datagrams of plain UDP callers.
type answerMeter struct {
	meter     *burner.Meter
	service   registrar.ServiceName
	customers customerLookup
}

// Answered counts n datagrams of a caller. Datagrams of callers without a contract are not counted.
func (m *answerMeter) Answered(caller netip.Addr, d time.Duration, failed bool, n int) {
	if name, ok := m.customers.Allowed(caller); ok {
		m.meter.RecordMany(m.service, name, d, failed, n)
	}
}

// statusWriter records the status code of a response.
type statusWriter struct {
	http.ResponseWriter
	status int
	// handlerReturned is false if the handler panicked, which aborts the response.
	handlerReturned bool
}

func (w *statusWriter) failed() bool {
	return w.status >= http.StatusInternalServerError || !w.handlerReturned
}

// WriteHeader records the first final status code.
func (w *statusWriter) WriteHeader(status int) {
	if w.status == 0 && status >= http.StatusOK {
		w.status = status
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write records status 200 if no status was recorded before.
func (w *statusWriter) Write(b []byte) (int, error) {
	if w.status == 0 {
		w.status = http.StatusOK
	}
	return w.ResponseWriter.Write(b)
}

// Flush flushes the underlying writer.
func (w *statusWriter) Flush() { _ = http.NewResponseController(w.ResponseWriter).Flush() }

// Unwrap returns the underlying writer for http.ResponseController.
func (w *statusWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// sendFinalBatch waits until control has received all counts of a stopping node. It gives up after finalBatchTimeout, after which
// the burn report shows that data is missing.
func sendFinalBatch(g *supervisor.Group, n *supervisor.Node, m *burner.Meter) {
	m.Finish()
	for deadline := time.Now().Add(finalBatchTimeout); time.Now().Before(deadline) && !m.Finished() && g.Context().Err() == nil; {
		n.RequestHeartbeat()
		g.Pause(leavePollInterval)
	}
}

// burnCollector stores the batches that heartbeats carry.
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
			// A silent upstream may still serve requests while its agent cannot reach control, so its data is expected as well.
			expected.Agents[u.Service] = append(expected.Agents[u.Service], u.Machine)
		}
		return c.Report(now, expected)
	}
}

// exportBurn exports the findings of the report as a metric, so that alerts on them can be raised together with those on other metrics.
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
