// Package steerer decides, at an entry, which agent gets the packets of stream flows. The upstreams themselves know which
// flows they hold, so an entry that knows nothing of a flow asks for it from agent to agent: its table only saves that search.
package steerer

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/peridotstage/peridotstage/internal/route/carrier"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

const (
	flowShards = 16
	// maxFlows bounds the flows that are remembered, at some 200 bytes each. Further ones are searched for.
	maxFlows = 200_000
	// maxSearch bounds the agents that are asked for one packet.
	maxSearch = 32
	// maxPlacements bounds the agents that one copy of an opening packet is offered to.
	maxPlacements = 6
)

// Verb says what happens to a packet.
type Verb byte

// The verbs of a decision.
const (
	Drop Verb = iota
	// Pass sends the packet to an agent.
	Pass
	// Reset drops the packet and resets the flow.
	Reset
)

// Reason says why a packet was not passed, or how its agent was found.
type Reason string

// The reasons of a decision.
const (
	ReasonKnown      Reason = "known_flow"
	ReasonPlaced     Reason = "placed"
	ReasonSearched   Reason = "searched"
	ReasonNoLease    Reason = "no_lease"
	ReasonNoRoute    Reason = "no_route"
	ReasonNoUpstream Reason = "no_upstream"
	// ReasonNoRoom means that every upstream that was asked has no room for now. A copy of the packet may find some.
	ReasonNoRoom     Reason = "no_room"
	ReasonNoFlow     Reason = "no_flow"
	ReasonSuperseded Reason = "superseded"
)

// Decision says what to do with a packet.
type Decision struct {
	Verb   Verb
	Reason Reason
	// To and Header are set for Pass.
	To     netip.AddrPort
	Header carrier.HopHeader
	// Upstream and Wait are set if the flow was placed: the upstream and the time that a request is expected to take there.
	Upstream registrar.UpstreamName
	Wait     time.Duration
	// ReportAge is the age of the report that Wait rests on.
	ReportAge time.Duration
}

// Lease tells whether the entry may act on its configuration.
type Lease interface {
	Valid(now time.Time) bool
}

// record is what the entry knows about a flow.
type record struct {
	member *member
	seenAt time.Time
	// tried are the upstreams that did not take the present copy of the opening packet.
	tried []registrar.UpstreamID
}

// shard holds flows under its own lock.
type shard struct {
	mu    sync.Mutex
	flows map[registrar.Flow]*record
}

// Steerer holds what an entry knows about stream flows and upstreams. The exported fields are set before first use.
type Steerer struct {
	Zone  registrar.ZoneName
	World *registrar.World
	Lease Lease

	shards [flowShards]shard
	// flows counts the records of all shards.
	flows atomic.Int64
	view  atomic.Pointer[view]
	// updateMu orders updates of view.
	updateMu sync.Mutex
}

// passage is a packet of a caller on its way through the entry, with the shard of its flow locked.
type passage struct {
	now   time.Time
	seg   *carrier.Segment
	route registrar.Route
	flow  registrar.Flow
	hash  uint64
	shard *shard
}

// enter finds the route of a packet and locks its shard, or says what happens to the packet without a route.
func (s *Steerer) enter(now time.Time, seg *carrier.Segment) (p passage, ok bool, refusal Decision) {
	if !s.Lease.Valid(now) {
		return p, false, Decision{Reason: ReasonNoLease}
	}
	p = passage{now: now, seg: seg, flow: seg.Flow()}
	if p.route, ok = s.World.Route(seg.To); !ok {
		return p, false, s.unrouted(seg)
	}
	p.hash = p.flow.Hash()
	p.shard = &s.shards[p.hash%flowShards]
	p.shard.mu.Lock()
	return p, true, Decision{}
}

// leave unlocks the shard.
func (p passage) leave() { p.shard.mu.Unlock() }

// known returns what the entry knows about the flow, or nil.
func (p passage) known() *record { return p.shard.flows[p.flow] }

// FromCaller decides about a packet of a caller.
func (s *Steerer) FromCaller(now time.Time, seg *carrier.Segment) Decision {
	p, ok, refusal := s.enter(now, seg)
	if !ok {
		return refusal
	}
	defer p.leave()
	rec := p.known()
	switch {
	case seg.Opens():
		return s.open(p)
	case rec == nil || !rec.member.reachable(now):
		return s.search(p, 0)
	}
	return s.pass(p, rec)
}

// pass sends a packet to the upstream that the entry knows to hold its flow.
func (s *Steerer) pass(p passage, rec *record) Decision {
	rec.seenAt = p.now
	return Decision{Verb: Pass, Reason: ReasonKnown, To: rec.member.address, Header: rec.member.passHeader()}
}

// unrouted handles a packet to an address without a route. A packet that opens no flow may belong to one that is open at a
// route which this entry does not know yet, so only opening packets are reset.
func (s *Steerer) unrouted(seg *carrier.Segment) Decision {
	if seg.Opens() {
		return Decision{Verb: Reset, Reason: ReasonNoRoute}
	}
	return Decision{Reason: ReasonNoRoute}
}

// open handles an opening packet. A copy goes to the upstream of the first one, unless that has fallen silent since.
func (s *Steerer) open(p passage) Decision {
	rec := p.known()
	if rec == nil || p.seg.Attempt() == 0 {
		return s.place(p, nil)
	}
	if rec.member.accepting(p.now) {
		rec.tried = nil
		return s.pass(p, rec)
	}
	return s.place(p, []registrar.UpstreamID{rec.member.id})
}

// place chooses an upstream for a new flow.
func (s *Steerer) place(p passage, tried []registrar.UpstreamID) Decision {
	c, known := s.current().fleetOf(p.route, p.hash).choose(p.now, s.Zone, p.hash, tried)
	switch {
	case c.member == nil && known:
		return Decision{Reason: ReasonNoRoom}
	case c.member == nil:
		return Decision{Verb: Reset, Reason: ReasonNoUpstream}
	}
	c.member.load.placed()
	s.remember(p.shard, p.flow, &record{member: c.member, seenAt: p.now, tried: tried})
	return Decision{
		Verb: Pass, Reason: ReasonPlaced, To: c.member.address, Header: c.member.passHeader(),
		Upstream: c.member.name, Wait: c.wait, ReportAge: c.age,
	}
}

func (s *Steerer) remember(sh *shard, flow registrar.Flow, rec *record) {
	if sh.flows == nil {
		sh.flows = map[registrar.Flow]*record{}
	}
	if _, known := sh.flows[flow]; !known {
		if s.flows.Load() >= maxFlows {
			return
		}
		s.flows.Add(1)
	}
	sh.flows[flow] = rec
}

func (s *Steerer) forget(sh *shard, flow registrar.Flow) {
	if _, known := sh.flows[flow]; known {
		delete(sh.flows, flow)
		s.flows.Add(-1)
	}
}

// search asks the next agent for a flow.
func (s *Steerer) search(p passage, step int) Decision {
	if step >= maxSearch {
		return Decision{Reason: ReasonNoFlow}
	}
	m := s.current().nth(p.now, p.route, p.hash, step)
	if m == nil {
		return Decision{Reason: ReasonNoFlow}
	}
	header := m.passHeader()
	header.Step, header.Searching = uint8(step), true
	return Decision{Verb: Pass, Reason: ReasonSearched, To: m.address, Header: header}
}

// Returned decides about a packet that the agent at an address did not take.
func (s *Steerer) Returned(now time.Time, from netip.AddrPort, header carrier.HopHeader, seg *carrier.Segment) Decision {
	p, ok, refusal := s.enter(now, seg)
	if !ok {
		return refusal
	}
	defer p.leave()
	if seg.Opens() {
		return s.replace(p, from, header.Reason)
	}
	if header.Searching {
		return s.search(p, int(header.Step)+1)
	}
	if rec := p.known(); rec != nil && rec.member.address == from {
		s.forget(p.shard, p.flow)
	}
	return s.search(p, 0)
}

// replace offers a flow to another upstream.
func (s *Steerer) replace(p passage, from netip.AddrPort, reason carrier.ReturnReason) Decision {
	rec := p.known()
	if rec == nil || rec.member.address != from {
		// Another copy of the packet is under way.
		return Decision{Reason: ReasonSuperseded}
	}
	rec.member.load.refused(reason)
	if tried := append(rec.tried, rec.member.id); len(tried) < maxPlacements {
		if d := s.place(p, tried); d.Verb == Pass {
			return d
		}
	}
	s.forget(p.shard, p.flow)
	return s.exhausted(p.seg, reason)
}

// lastAttempt is the number of the last copy that a caller sends of an opening packet.
const lastAttempt = 2

// exhausted ends the placement of a flow that no upstream has taken. Upstreams without room may have some when the caller's
// next copy comes. A flow that upstreams refuse or that has none to go to ends at once, and so does one whose last copy found
// no room: nothing would come after it.
func (s *Steerer) exhausted(seg *carrier.Segment, reason carrier.ReturnReason) Decision {
	switch reason {
	case carrier.ReturnCold, carrier.ReturnSilent, carrier.ReturnClosed, carrier.ReturnBusy:
		if seg.Attempt() < lastAttempt {
			return Decision{Reason: ReasonNoRoom}
		}
		return Decision{Verb: Reset, Reason: ReasonNoRoom}
	default:
		return Decision{Verb: Reset, Reason: ReasonNoUpstream}
	}
}

// Held notes that the agent at an address holds a flow.
func (s *Steerer) Held(now time.Time, from netip.AddrPort, flow registrar.Flow) {
	m := s.current().at(from)
	if m == nil {
		return
	}
	sh := &s.shards[flow.Hash()%flowShards]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	s.remember(sh, flow, &record{member: m, seenAt: now})
}

// Report takes the report of the agent at an address.
func (s *Steerer) Report(now time.Time, from netip.AddrPort, r carrier.LoadReport) {
	if m := s.current().at(from); m != nil && m.tag == r.Service {
		m.load.report(now, r)
	}
}

// Agents returns the addresses of the agents whose reports the entry needs.
func (s *Steerer) Agents() []netip.AddrPort {
	v := s.current()
	all := make([]netip.AddrPort, 0, len(v.members))
	for a := range v.members {
		all = append(all, a)
	}
	return all
}

// Known reports whether an agent has reported, so that new flows can be placed.
func (s *Steerer) Known(now time.Time) bool {
	for _, m := range s.current().members {
		if m.accepting(now) {
			return true
		}
	}
	return false
}

// Flows returns the number of flows that the entry remembers.
func (s *Steerer) Flows() int { return int(s.flows.Load()) }

// Expire forgets the flows that have carried nothing for the idle time of the configuration.
func (s *Steerer) Expire(now time.Time) {
	idle := s.World.Release().Idle()
	for i := range s.shards {
		sh := &s.shards[i]
		sh.mu.Lock()
		for f, rec := range sh.flows {
			if now.Sub(rec.seenAt) > idle {
				s.forget(sh, f)
			}
		}
		sh.mu.Unlock()
	}
}
