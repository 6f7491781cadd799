package runner

import (
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"

	"github.com/peridotstage/peridotstage/internal/cli/supervisor"
	"github.com/peridotstage/peridotstage/internal/control/leaser"
	"github.com/peridotstage/peridotstage/internal/front/connector"
	"github.com/peridotstage/peridotstage/internal/report/burner"
	"github.com/peridotstage/peridotstage/internal/report/exporter"
	"github.com/peridotstage/peridotstage/internal/route/tracker"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// Reasons why a machine is not ready.
var (
	errNoLeader           = eris.New("not in contact with a leader that holds its lease")
	errUnknownUpstream    = eris.New("configuration does not contain the upstream")
	errClaimsNotRecovered = eris.New("claims of the process before are not known yet")
)

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
		e.Gauge("revision", "Newest configuration revision that the instance holds.", supervisor.RevisionOf(w)),
	)
}
