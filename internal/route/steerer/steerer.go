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

// FromCaller decides about a packet of a caller.
func (s *Steerer) FromCaller(now time.Time, seg *carrier.Segment) Decision {
	route, ok, refusal := s.routeOf(now, seg)
	if !ok {
		return refusal
	}
	flow := seg.Flow()
	h := flow.Hash()
	sh := &s.shards[h%flowShards]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	rec := sh.flows[flow]
	switch {
	case seg.Opens():
		return s.open(now, sh, route, seg, h)
	case rec == nil || !rec.member.reachable(now):
		return s.search(now, route, h, 0)
	}
	rec.seenAt = now
	return Decision{Verb: Pass, Reason: ReasonKnown, To: rec.member.address, Header: rec.member.passHeader()}
}

// routeOf returns the route of a packet, or what happens to the packet without one.
func (s *Steerer) routeOf(now time.Time, seg *carrier.Segment) (r registrar.Route, ok bool, refusal Decision) {
	if !s.Lease.Valid(now) {
		return r, false, Decision{Reason: ReasonNoLease}
	}
	if r, ok = s.World.Route(seg.To); !ok {
		return r, false, s.unrouted(seg)
	}
	return r, true, Decision{}
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
func (s *Steerer) open(now time.Time, sh *shard, route registrar.Route, seg *carrier.Segment, h uint64) Decision {
	flow := seg.Flow()
	rec := sh.flows[flow]
	if rec != nil && seg.Attempt() > 0 && rec.member.accepting(now) {
		rec.seenAt, rec.tried = now, nil
		return Decision{Verb: Pass, Reason: ReasonKnown, To: rec.member.address, Header: rec.member.passHeader()}
	}
	var tried []registrar.UpstreamID
	if rec != nil && seg.Attempt() > 0 {
		tried = []registrar.UpstreamID{rec.member.id}
	}
	return s.place(now, sh, route, flow, h, tried)
}

// place chooses an upstream for a new flow.
func (s *Steerer) place(now time.Time, sh *shard, route registrar.Route, flow registrar.Flow, h uint64,
	tried []registrar.UpstreamID,
) Decision {
	f := s.current().fleetOf(route, h)
	c, known := f.choose(now, s.Zone, h, tried)
	switch {
	case c.member == nil && known:
		return Decision{Reason: ReasonNoRoom}
	case c.member == nil:
		return Decision{Verb: Reset, Reason: ReasonNoUpstream}
	}
	c.member.load.placed()
	s.remember(sh, flow, &record{member: c.member, seenAt: now, tried: tried})
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
func (s *Steerer) search(now time.Time, route registrar.Route, h uint64, step int) Decision {
	if step >= maxSearch {
		return Decision{Reason: ReasonNoFlow}
	}
	m := s.current().nth(now, route, h, step)
	if m == nil {
		return Decision{Reason: ReasonNoFlow}
	}
	header := m.passHeader()
	header.Step, header.Searching = uint8(step), true
	return Decision{Verb: Pass, Reason: ReasonSearched, To: m.address, Header: header}
}

// Returned decides about a packet that the agent at an address did not take.
func (s *Steerer) Returned(now time.Time, from netip.AddrPort, header carrier.HopHeader, seg *carrier.Segment) Decision {
	route, ok, refusal := s.routeOf(now, seg)
	if !ok {
		return refusal
	}
	flow := seg.Flow()
	h := flow.Hash()
	sh := &s.shards[h%flowShards]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if seg.Opens() {
		return s.replace(now, sh, route, seg, h, from, header.Reason)
	}
	if header.Searching {
		return s.search(now, route, h, int(header.Step)+1)
	}
	if rec := sh.flows[flow]; rec != nil && rec.member.address == from {
		s.forget(sh, flow)
	}
	return s.search(now, route, h, 0)
}

// replace offers a flow to another upstream.
func (s *Steerer) replace(now time.Time, sh *shard, route registrar.Route, seg *carrier.Segment, h uint64, from netip.AddrPort,
	reason carrier.ReturnReason,
) Decision {
	flow := seg.Flow()
	rec := sh.flows[flow]
	if rec == nil || rec.member.address != from {
		// Another copy of the packet is under way.
		return Decision{Reason: ReasonSuperseded}
	}
	rec.member.load.refused(reason)
	tried := append(rec.tried, rec.member.id)
	if len(tried) >= maxPlacements {
		s.forget(sh, flow)
		return s.exhausted(seg, reason)
	}
	d := s.place(now, sh, route, flow, h, tried)
	if d.Verb != Pass {
		s.forget(sh, flow)
		return s.exhausted(seg, reason)
	}
	return d
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
