package tracker

import (
	"time"

	"github.com/peridotstage/peridotstage/internal/route/balancer"
	"github.com/peridotstage/peridotstage/internal/route/carrier"
	"github.com/peridotstage/peridotstage/internal/route/counter"
	"github.com/peridotstage/peridotstage/internal/route/stamper"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// customer is the customer that a datagram belongs to, with its packet counts.
type customer struct {
	name   registrar.CustomerName
	counts *counter.Customer
}

// decide finds the agent that holds or should hold the flow of a datagram, which may be this one.
func (t *Tracker) decide(now time.Time, h *carrier.Header, payload []byte, c customer) Verdict {
	nowNanos := t.sinceEpoch(now)
	key := endpointOf(h.Flow.Caller)
	s := t.shardOf(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	r, found := s.flows[key]
	if found && t.opensNewConnection(&r, h, payload) {
		if r.redirect == 0 {
			return t.passNewConnection(h)
		}
		s.remove(key)
		found = false
	}
	if found && r.redirect != 0 && !h.Has(carrier.Direct) {
		if v := t.passTo(h, r.redirect, carrier.Redirected); v.Action == PassOn {
			r.expireAt = nowNanos.add(t.idleTimeout())
			s.flows[key] = r
			return v
		}
		// The agent that held the flow is gone, so the datagram is handled as the first one of a new flow.
		s.remove(key)
		found = false
	}
	if found && r.closed && !h.Has(carrier.Direct) {
		// A new connection from the address of a closed one is admitted like any other.
		s.remove(key)
		found = false
	}
	if found && t.draining() && t.drain.ends(nowNanos, &r) {
		s.remove(key)
		found = false
	}
	if found {
		return t.deliver(nowNanos, s, h, r)
	}
	if h.Has(carrier.Direct) {
		return t.deliver(nowNanos, s, h, t.newRecord(c))
	}
	if v, done := t.byConnectionID(nowNanos, s, h, payload, c); done {
		return v
	}
	if t.searchesChain(h) {
		if v, done := t.followChain(h); done {
			return v
		}
	}
	return t.admit(now, s, h, payload, c)
}

// deliver delivers a datagram to a flow of this agent and stores the record of the flow.
func (t *Tracker) deliver(now nanotime, s *flowShard, h *carrier.Header, r flowRecord) Verdict {
	r.redirect = 0
	r.countRequest(now)
	r.expireAt = now.add(t.idleTimeout())
	r.recordPacket(now, h.Entry)
	s.put(endpointOf(h.Flow.Caller), r)
	v := Verdict{Action: Deliver}
	if h.Hops() > 0 && !h.Has(carrier.Redirected) && t.route.Service.Transport == registrar.TransportUDP {
		// The datagram was passed along the chain, so the agent that received it first does not know which agent holds the flow.
		// That agent is notified even if it does not own the bucket here: it may be the owner in a newer configuration.
		v.To, v.Header, v.Notify = t.noticeTo(h.VisitedAt(0), h.Flow)
	}
	return v
}

// byConnectionID decides about a datagram by its connection id. It returns false if the id names no upstream. Entries route such
// datagrams themselves, unless the upstream is newer than their configuration.
func (t *Tracker) byConnectionID(now nanotime, s *flowShard, h *carrier.Header, payload []byte, c customer) (Verdict, bool) {
	if t.route.Service.Transport != registrar.TransportQUIC {
		return Verdict{}, false
	}
	_, id := stamper.Parse(payload)
	u, ok := t.Stamper.Verify(id)
	switch {
	case !ok:
		return Verdict{}, false
	case u == t.self.ID:
		return t.deliver(now, s, h, t.newRecord(c)), true
	}
	return t.passTo(h, u, carrier.Direct), true
}

// followChain passes a datagram of an unknown flow to the next agent of its bucket's chain that has not had it yet. It returns
// false if the flow may start here.
func (t *Tracker) followChain(h *carrier.Header) (Verdict, bool) {
	chain := t.route.Chain(balancer.BucketOf(h.Flow))
	if chain.Len() == 0 {
		return drop(carrier.DropNoUpstream), true
	}
	owner := chain.At(0)
	// A sender with a newer configuration may know this agent as the owner although this agent's configuration does not.
	if h.Has(carrier.NoHolder) && (owner == t.self.ID || h.Revision > t.route.Revision) {
		return Verdict{}, false
	}
	for i := range chain.Len() {
		if id := chain.At(i); id != t.self.ID && !h.HasVisited(id) {
			return t.passTo(h, id, 0), true
		}
	}
	if owner == t.self.ID {
		return Verdict{}, false
	}
	return t.passTo(h, owner, carrier.NoHolder), true
}

// admit starts a flow at this agent or redirects it to the second choice of its bucket.
func (t *Tracker) admit(now time.Time, s *flowShard, h *carrier.Header, payload []byte, c customer) Verdict {
	if !t.mayStartFlow(payload) {
		return drop(carrier.DropUnknownFlow)
	}
	nowNanos := t.sinceEpoch(now)
	if t.takesNewFlows() && t.Admitter.AdmitFlow(now) {
		return t.deliver(nowNanos, s, h, t.newRecord(c))
	}
	second := t.route.Newest().Choice(balancer.BucketOf(h.Flow)).Second
	if h.Has(carrier.Redirected) || second == 0 || second == t.self.ID {
		return drop(carrier.DropRefused)
	}
	v := t.passTo(h, second, carrier.Redirected)
	if v.Action != PassOn {
		// The second choice cannot take the flow, for example because it has already passed the datagram on.
		return drop(carrier.DropRefused)
	}
	r := t.newRecord(c)
	r.redirect = second
	r.expireAt = nowNanos.add(t.idleTimeout())
	r.recordPacket(nowNanos, h.Entry)
	s.put(endpointOf(h.Flow.Caller), r)
	return v
}

// mayStartFlow reports whether a datagram with this payload may be the first one of a flow.
func (t *Tracker) mayStartFlow(payload []byte) bool {
	if t.route.Service.Transport == registrar.TransportUDP {
		return true
	}
	kind, _ := stamper.Parse(payload)
	return kind == stamper.Initial
}

// takesNewFlows reports whether this agent may admit new flows.
func (t *Tracker) takesNewFlows() bool {
	return !t.self.Retired && !t.self.Draining && !t.self.Silent && !t.draining()
}

func (t *Tracker) newRecord(c customer) flowRecord {
	return flowRecord{customer: c.counts, generation: t.route.Newest().Revision}
}

// passTo passes a datagram on to another agent of the same service.
func (t *Tracker) passTo(h *carrier.Header, to registrar.UpstreamID, flags carrier.Flags) Verdict {
	u, ok := t.route.Upstream(to)
	switch {
	case !ok:
		return drop(carrier.DropWrongService)
	case !u.DataAddress.IsValid() || u.Silent:
		return drop(carrier.DropNoUpstream)
	case u.ZoneWithdrawn:
		return drop(carrier.DropZoneWithdrawn)
	case to == t.self.ID || flags != carrier.NoHolder && h.HasVisited(to):
		return drop(carrier.DropHopLimit)
	}
	next := *h
	if !next.AddVisited(t.self.ID) {
		return drop(carrier.DropHopLimit)
	}
	next.Target, next.Flags, next.Revision = to, flags, t.route.Revision
	return Verdict{Action: PassOn, To: u.DataAddress, Header: next}
}
