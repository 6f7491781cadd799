package tracker

import (
	"github.com/peridotstage/peridotstage/internal/route/balancer"
	"github.com/peridotstage/peridotstage/internal/route/carrier"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// opensNewConnection reports whether a datagram opens a new QUIC connection on a known flow whose holder takes no new flows. A
// caller that reuses its socket sends such a datagram after its connection has ended at a planned stop.
func (t *Tracker) opensNewConnection(r *flowRecord, h *carrier.Header, payload []byte) bool {
	if t.route.Service.Transport != registrar.TransportQUIC || h.Has(carrier.Direct) || !t.mayStartFlow(payload) {
		return false
	}
	if r.redirect == 0 {
		return !t.takesNewFlows()
	}
	u, ok := t.route.Upstream(r.redirect)
	return !ok || u.Silent || u.Draining || u.Retired
}

// passNewConnection passes the first datagram of a new connection to another agent. The record of the flow is kept for the old
// connection.
func (t *Tracker) passNewConnection(h *carrier.Header) Verdict {
	b := balancer.BucketOf(h.Flow)
	choice := t.route.Newest().Choice(b)
	for _, to := range []registrar.UpstreamID{choice.Owner, choice.Second} {
		switch {
		case to == 0 || to == t.self.ID || h.Has(carrier.Redirected):
		case h.HasVisited(to):
			// That agent is searching the chain for the holder of the flow. The flag lets it admit the connection.
			return t.passTo(h, to, carrier.NoHolder)
		default:
			return t.passTo(h, to, carrier.Redirected)
		}
	}
	return drop(carrier.DropRefused)
}
