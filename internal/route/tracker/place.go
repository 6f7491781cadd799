package tracker

import (
	"time"

	"github.com/peridotstage/peridotstage/internal/route/balancer"
	"github.com/peridotstage/peridotstage/internal/route/carrier"
	"github.com/peridotstage/peridotstage/internal/route/counter"
	"github.com/peridotstage/peridotstage/internal/route/stamper"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// customer is the party that a datagram belongs to.
type customer struct {
	name   registrar.CustomerName
	counts *counter.Customer
}

// place finds the agent that holds or should hold the flow.
func (t *Tracker) place(now time.Time, h *carrier.Header, payload []byte, c customer) Verdict {
	at := t.instant(now)
	key := endpointOf(h.Flow.Caller)
	s := t.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	r, known := s.flows[key]
	if known && t.reopens(&r, h, payload) {
		if r.redirect == 0 {
			return t.passReopened(h)
		}
		s.remove(key)
		known = false
	}
	if known && r.redirect != 0 && !h.Has(carrier.Direct) {
		if v := t.passTo(h, r.redirect, carrier.Redirected); v.Action == PassOn {
			r.expireAt = at.add(t.flowIdle())
			s.flows[key] = r
			return v
		}
		// The agent that held the flow is gone, so the flow starts afresh.
		s.remove(key)
		known = false
	}
	if known && r.closed && !h.Has(carrier.Direct) {
		// A new connection from the address of an ended one is admitted like any other.
		s.remove(key)
		known = false
	}
	if known {
		return t.deliver(at, s, h, r)
	}
	if h.Has(carrier.Direct) {
		return t.deliver(at, s, h, t.record(c))
	}
	if v, done := t.byConnectionID(at, s, h, payload, c); done {
		return v
	}
	if !h.Has(carrier.Redirected) {
		if v, done := t.follow(h); done {
			return v
		}
	}
	return t.admit(now, s, h, payload, c)
}

// deliver hands a datagram to this agent's flow and stores the record.
func (t *Tracker) deliver(at instant, s *flowShard, h *carrier.Header, r flowRecord) Verdict {
	r.redirect = 0
	r.expireAt = at.add(t.flowIdle())
	r.seen(at, h.Entry)
	s.put(endpointOf(h.Flow.Caller), r)
	v := Verdict{Action: Deliver}
	if h.Hops() > 0 && !h.Has(carrier.Redirected) && t.route.Service.Transport == registrar.TransportUDP {
		// The datagram had to be passed along the chain, so the agent that got it first does not know where the flow is. It may
		// have a newer configuration than this agent, in which case only it knows that it is the owner.
		v.To, v.Header, v.Notify = t.noticeTo(h.Asked(0), h.Flow)
	}
	return v
}

// byConnectionID routes a datagram by the connection id in it. An entry does that itself, unless it has not yet heard of
// the upstream that the id names.
func (t *Tracker) byConnectionID(at instant, s *flowShard, h *carrier.Header, payload []byte, c customer) (Verdict, bool) {
	if t.route.Service.Transport != registrar.TransportQUIC {
		return Verdict{}, false
	}
	_, id := stamper.Parse(payload)
	u, ok := t.Stamper.Verify(id)
	switch {
	case !ok:
		return Verdict{}, false
	case u == t.self.ID:
		return t.deliver(at, s, h, t.record(c)), true
	}
	return t.passTo(h, u, carrier.Direct), true
}

// follow passes a datagram of an unknown flow along the chain of its bucket, to the agents that have not had it yet. It
// returns false if the flow may start here.
func (t *Tracker) follow(h *carrier.Header) (Verdict, bool) {
	chain := t.route.Chain(balancer.BucketOf(h.Flow))
	if chain.Len() == 0 {
		return dropped(carrier.DropNoUpstream), true
	}
	owner := chain.At(0)
	// A sender with a newer configuration knows better that this agent is the owner.
	if h.Has(carrier.Unclaimed) && (owner == t.self.ID || h.Revision > t.route.Revision) {
		return Verdict{}, false
	}
	for i := range chain.Len() {
		if id := chain.At(i); id != t.self.ID && !h.HasAsked(id) {
			return t.passTo(h, id, 0), true
		}
	}
	if owner == t.self.ID {
		return Verdict{}, false
	}
	return t.passTo(h, owner, carrier.Unclaimed), true
}

// admit starts a flow here or passes it to the second choice of its bucket.
func (t *Tracker) admit(now time.Time, s *flowShard, h *carrier.Header, payload []byte, c customer) Verdict {
	if !t.mayStart(payload) {
		return dropped(carrier.DropUnknownFlow)
	}
	at := t.instant(now)
	if t.takesNewFlows() && t.Admitter.AdmitFlow(now) {
		return t.deliver(at, s, h, t.record(c))
	}
	second := t.route.Newest().Choice(balancer.BucketOf(h.Flow)).Second
	if h.Has(carrier.Redirected) || second == 0 || second == t.self.ID {
		return dropped(carrier.DropRefused)
	}
	v := t.passTo(h, second, carrier.Redirected)
	if v.Action != PassOn {
		// The second choice cannot be asked, for example because the datagram has been there, so nobody takes the flow.
		return dropped(carrier.DropRefused)
	}
	r := t.record(c)
	r.redirect = second
	r.expireAt = at.add(t.flowIdle())
	r.seen(at, h.Entry)
	s.put(endpointOf(h.Flow.Caller), r)
	return v
}

func (t *Tracker) mayStart(payload []byte) bool {
	if t.route.Service.Transport == registrar.TransportUDP {
		return true
	}
	kind, _ := stamper.Parse(payload)
	return kind == stamper.Initial
}

func (t *Tracker) takesNewFlows() bool {
	return !t.self.Retired && !t.self.Draining && !t.self.Silent
}

func (t *Tracker) record(c customer) flowRecord {
	return flowRecord{customer: c.counts, generation: t.route.Newest().Revision}
}

// passTo sends a datagram on to an agent of the same service.
func (t *Tracker) passTo(h *carrier.Header, to registrar.UpstreamID, flags carrier.Flags) Verdict {
	u, ok := t.route.Upstream(to)
	switch {
	case !ok:
		return dropped(carrier.DropWrongService)
	case !u.DataAddress.IsValid() || u.Silent:
		return dropped(carrier.DropNoUpstream)
	case u.ZoneWithdrawn:
		return dropped(carrier.DropZoneWithdrawn)
	case to == t.self.ID || flags != carrier.Unclaimed && h.HasAsked(to):
		return dropped(carrier.DropHopLimit)
	}
	next := *h
	if !next.AddAsked(t.self.ID) {
		return dropped(carrier.DropHopLimit)
	}
	next.Target, next.Flags, next.Revision = to, flags, t.route.Revision
	return Verdict{Action: PassOn, To: u.DataAddress, Header: next}
}
