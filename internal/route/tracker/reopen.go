package tracker

import (
	"github.com/peridotstage/peridotstage/internal/route/balancer"
	"github.com/peridotstage/peridotstage/internal/route/carrier"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// reopens reports whether a datagram opens a new QUIC connection on a known flow although the agent that holds the flow
// takes no new ones. A caller that keeps its socket does so when its connection ends at a planned stop.
func (t *Tracker) reopens(r *flowRecord, h *carrier.Header, payload []byte) bool {
	if t.route.Service.Transport != registrar.TransportQUIC || h.Has(carrier.Direct) || !t.mayStart(payload) {
		return false
	}
	if r.redirect == 0 {
		return !t.takesNewFlows()
	}
	u, ok := t.route.Upstream(r.redirect)
	return !ok || u.Silent || u.Draining || u.Retired
}

// passReopened hands the new connection to another agent. The flow stays known here for the old connection.
func (t *Tracker) passReopened(h *carrier.Header) Verdict {
	b := balancer.BucketOf(h.Flow)
	chosen := t.route.Newest().Choice(b)
	for _, to := range []registrar.UpstreamID{chosen.Owner, chosen.Second} {
		switch {
		case to == 0 || to == t.self.ID || h.Has(carrier.Redirected):
		case h.HasAsked(to):
			// That agent looks for the holder of the flow along the chain. It may take the connection, as if there was none.
			return t.passTo(h, to, carrier.Unclaimed)
		default:
			return t.passTo(h, to, carrier.Redirected)
		}
	}
	return dropped(carrier.DropRefused)
}
