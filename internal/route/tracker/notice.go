package tracker

import (
	"net/netip"
	"time"

	"github.com/peridotstage/peridotstage/internal/route/balancer"
	"github.com/peridotstage/peridotstage/internal/route/carrier"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// Notices calls send with a notice for each plain UDP flow that this agent holds in a bucket of another owner. The owner then
// redirects the flow to this agent, even after the generation in which this agent owned the bucket has been removed. QUIC needs
// no notices, because connection ids name the agent. Notices is called after each change of the configuration and periodically,
// since notices may get lost.
func (t *Tracker) Notices(now time.Time, send func(to netip.AddrPort, h *carrier.Header)) {
	if !t.Lease.Valid(now) {
		return
	}
	for i := range t.shards {
		for _, caller := range t.heldCallers(&t.shards[i]) {
			if to, h, ok := t.noticeToOwner(caller); ok {
				send(to, &h)
			}
		}
	}
}

// heldCallers returns the callers in a shard whose flows are not redirected to another agent.
func (t *Tracker) heldCallers(s *flowShard) []netip.AddrPort {
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

// noticeToOwner returns a notice about the flow of a caller to the owner of its bucket, and the owner's data address.
func (t *Tracker) noticeToOwner(caller netip.AddrPort) (netip.AddrPort, carrier.Header, bool) {
	t.routeMu.RLock()
	defer t.routeMu.RUnlock()
	if !t.configured || t.self.ZoneWithdrawn || t.route.Service.Transport != registrar.TransportUDP {
		return netip.AddrPort{}, carrier.Header{}, false
	}
	f := registrar.Flow{Caller: caller, Service: t.route.Service.Address}
	chain := t.route.Chain(balancer.BucketOf(f))
	if chain.Len() == 0 {
		return netip.AddrPort{}, carrier.Header{}, false
	}
	return t.noticeTo(chain.At(0), f)
}

// noticeTo returns a notice about a flow to an upstream's agent, and the agent's data address. It returns false if the upstream
// is this agent's or is unreachable.
func (t *Tracker) noticeTo(to registrar.UpstreamID, f registrar.Flow) (netip.AddrPort, carrier.Header, bool) {
	h := carrier.Header{Kind: carrier.Notice, Service: t.route.Service.ID, Flow: f}
	u, ok := t.route.Upstream(to)
	if !ok || to == t.self.ID || !u.DataAddress.IsValid() || u.ZoneWithdrawn || u.Silent {
		return netip.AddrPort{}, h, false
	}
	h.Target, h.Revision = u.ID, t.route.Revision
	h.AddVisited(t.self.ID)
	return u.DataAddress, h, true
}

// recordHolder records the sender of a notice as the holder of the flow.
func (t *Tracker) recordHolder(now nanotime, h *carrier.Header, c customer) Verdict {
	if h.Hops() != 1 || t.route.Service.Transport != registrar.TransportUDP {
		return drop(carrier.DropMalformed)
	}
	holder := h.VisitedAt(0)
	u, ok := t.route.Upstream(holder)
	if !ok || holder == t.self.ID || u.ZoneWithdrawn || u.Silent {
		return drop(carrier.DropNoUpstream)
	}
	key := endpointOf(h.Flow.Caller)
	s := t.shardOf(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	r, found := s.flows[key]
	if found && r.redirect == 0 {
		return Verdict{Action: Consume}
	}
	if !found {
		r = t.newRecord(c)
	}
	r.redirect = holder
	r.expireAt = now.add(t.idleTimeout())
	s.put(key, r)
	return Verdict{Action: Consume}
}
