package runner

import (
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"

	"github.com/peridotstage/peridotstage/internal/control/leaser"
	"github.com/peridotstage/peridotstage/internal/front/connector"
	"github.com/peridotstage/peridotstage/internal/report/burner"
	"github.com/peridotstage/peridotstage/internal/report/exporter"
	"github.com/peridotstage/peridotstage/internal/route/carrier"
	"github.com/peridotstage/peridotstage/internal/route/counter"
	"github.com/peridotstage/peridotstage/internal/route/tracker"
	"github.com/peridotstage/peridotstage/internal/setting/parser"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// Reasons why a machine is not ready.
var (
	errStopping           = eris.New("planned stop")
	errNoLeader           = eris.New("not in contact with a leader that holds its lease")
	errNoLease            = eris.New("no valid lease")
	errUnknownUpstream    = eris.New("configuration does not contain the upstream")
	errClaimsNotRecovered = eris.New("claims of the process before are not known yet")
	errRevisionNotInForce = eris.New("newest known revision is not in force")
)

// checkReady returns why the node may not pass traffic, or nil. enforced is the revision in force.
func (n *node) checkReady(now time.Time, enforced registrar.Revision) error {
	switch {
	case n.stopping.Load():
		return errStopping
	case !n.subscriber.Valid(now):
		return errNoLease
	case enforced < n.subscriber.World.Revision():
		return errRevisionNotInForce
	}
	return nil
}

// newExporter returns an exporter that serves at the machine's metrics address.
func newExporter(cfg parser.Host, ready func(now time.Time) error) (*exporter.Exporter, error) {
	e, err := exporter.New()
	if err != nil {
		return nil, err
	}
	e.Address, e.Ready = cfg.MetricsAddress, ready
	return e, nil
}

// exportMetrics adds the metrics that entries and agents share.
func (n *node) exportMetrics(e *exporter.Exporter, counts *counter.Counter) error {
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
	lease := func(emit exporter.Emit) { emit(max(0, time.Until(n.subscriber.ExpireAt()).Milliseconds())) }
	return errors.Join(
		e.Counter("packets_passed", "Packets passed on for customers.", passed),
		e.Counter("packets_dropped", "Packets dropped, by reason.", dropped),
		e.Counter("heartbeats", "Heartbeats sent to control, by result.", heartbeats),
		e.Counter("control_bytes", "Bytes exchanged with control, including TLS.", controlBytes),
		e.Gauge("lease_remaining_milliseconds", "Time until the lease expires; 0 without a lease.", lease),
		e.Gauge("revision", "Configuration revision that the machine holds.", revisionOf(n.subscriber.World)),
	)
}

func revisionOf(w *registrar.World) func(exporter.Emit) {
	return func(emit exporter.Emit) { emit(int64(w.Revision())) }
}

// exportRequests adds the metrics of an agent's flows and requests.
func exportRequests(e *exporter.Exporter, t *tracker.Tracker, m *burner.Meter) error {
	requests := func(emit exporter.Emit) {
		answered, failed := m.Totals()
		emit(answered, attribute.String("result", "answered"))
		emit(failed, attribute.String("result", "failed"))
	}
	return errors.Join(
		e.Gauge("flows", "Flows that the agent tracks.", func(emit exporter.Emit) { emit(int64(t.Stats().Flows)) }),
		e.Counter("requests", "Requests of callers, by result.", requests),
	)
}

// exportControl adds the metrics of a control instance.
func exportControl(e *exporter.Exporter, w *registrar.World, sessions *leaser.Leaser, peers *connector.Traffic) error {
	peerBytes := func(emit exporter.Emit) {
		emit(int64(peers.Sent()), attribute.String("direction", "sent"))
		emit(int64(peers.Received()), attribute.String("direction", "received"))
	}
	nodes := func(emit exporter.Emit) {
		var leased, expired int64
		now := time.Now()
		for _, s := range sessions.NewestSessions() {
			if now.Before(s.LeaseUntil) {
				leased++
			} else {
				expired++
			}
		}
		emit(leased, attribute.String("lease", "valid"))
		emit(expired, attribute.String("lease", "expired"))
	}
	return errors.Join(
		e.Counter("peer_bytes", "Bytes of calls to other control instances, including TLS.", peerBytes),
		e.Gauge("nodes", "Entries and agents that sent heartbeats to this instance, by lease.", nodes),
		e.Gauge("revision", "Newest configuration revision that the instance holds.", revisionOf(w)),
	)
}
