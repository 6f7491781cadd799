package tracker

import (
	"net/netip"
	"time"

	"github.com/peridotstage/peridotstage/internal/route/balancer"
	"github.com/peridotstage/peridotstage/internal/route/carrier"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// Notices calls send with a notice for each plain UDP flow that this agent holds in a bucket of another owner. The owner
// then redirects the flow, also once the generation that led to this agent has fallen out. QUIC needs no notices, because
// connection ids name the agent. It is called after each change of the configuration and once in a while, since notices
// may get lost.
func (t *Tracker) Notices(now time.Time, send func(to netip.AddrPort, h *carrier.Header)) {
	if !t.Lease.Valid(now) {
		return
	}
	for i := range t.shards {
		for _, caller := range t.heldBy(&t.shards[i]) {
			if to, h, ok := t.notice(caller); ok {
				send(to, &h)
			}
		}
	}
}

func (t *Tracker) heldBy(s *flowShard) []netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	var callers []netip.AddrPort
	for caller, r := range s.flows {
		if r.redirect == 0 {
			callers = append(callers, caller.addrPort())
		}
	}
	return callers
}

func (t *Tracker) notice(caller netip.AddrPort) (netip.AddrPort, carrier.Header, bool) {
	t.routeMu.RLock()
	defer t.routeMu.RUnlock()
	if !t.ok || t.self.ZoneWithdrawn || t.route.Service.Transport != registrar.TransportUDP {
		return netip.AddrPort{}, carrier.Header{}, false
	}
	f := registrar.Flow{Caller: caller, Service: t.route.Service.Address}
	chain := t.route.Chain(balancer.BucketOf(f))
	if chain.Len() == 0 {
		return netip.AddrPort{}, carrier.Header{}, false
	}
	return t.noticeTo(chain.At(0), f)
}

// noticeTo returns a notice about a flow to another agent. It returns false if that is this agent or cannot be reached.
func (t *Tracker) noticeTo(to registrar.UpstreamID, f registrar.Flow) (netip.AddrPort, carrier.Header, bool) {
	h := carrier.Header{Kind: carrier.Notice, Service: t.route.Service.ID, Flow: f}
	u, ok := t.route.Upstream(to)
	if !ok || to == t.self.ID || !u.DataAddress.IsValid() || u.ZoneWithdrawn || u.Silent {
		return netip.AddrPort{}, h, false
	}
	h.Target, h.Revision = u.ID, t.route.Revision
	h.AddAsked(t.self.ID)
	return u.DataAddress, h, true
}

// noted remembers the agent that holds a flow, which is the sender of the notice.
func (t *Tracker) noted(now instant, h *carrier.Header, c customer) Verdict {
	if h.Hops() != 1 || t.route.Service.Transport != registrar.TransportUDP {
		return dropped(carrier.DropMalformed)
	}
	holder := h.Asked(0)
	u, ok := t.route.Upstream(holder)
	if !ok || holder == t.self.ID || u.ZoneWithdrawn || u.Silent {
		return dropped(carrier.DropNoUpstream)
	}
	key := endpointOf(h.Flow.Caller)
	s := t.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	r, known := s.flows[key]
	if known && r.redirect == 0 {
		return Verdict{Action: Keep}
	}
	if !known {
		r = t.record(c)
	}
	r.redirect = holder
	r.expireAt = now.add(t.flowIdle())
	s.put(key, r)
	return Verdict{Action: Keep}
}
