// Package steerer decides, at an entry, which agent receives the packets of stream flows. The upstreams know which flows they
// hold, so an entry without a record of a flow asks one agent after another. The flow table of the entry only avoids that search.
package steerer

import (
	"maps"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/peridotstage/peridotstage/internal/admit/queuer"
	"github.com/peridotstage/peridotstage/internal/route/carrier"
	"github.com/peridotstage/peridotstage/internal/route/locator"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

const (
	shardCount = 16
	// maxFlows bounds the flow table, which takes about 200 bytes for each flow. Flows beyond it are found by search.
	maxFlows = 200_000
	// maxPlacements is the maximum number of agents that one transmission of an opening packet is sent to.
	maxPlacements = 6
)

// Action is what the entry does with a packet.
type Action byte

// The possible actions on a packet.
const (
	// Drop discards the packet.
	Drop Action = iota
	// Pass sends the packet to an agent.
	Pass
	// Reset drops the packet and resets the flow.
	Reset
	// Keep keeps the packet until its flow is found.
	Keep
	// Wait keeps an opening packet until the flow is in the result of ReleaseAt or ReleaseAll, or in Decision.Displaced. A later copy
	// replaces it.
	Wait
)

// Reason is the reason why a packet was not passed, or the way in which its agent was found.
type Reason string

// The reasons of a decision.
const (
	ReasonKnown  Reason = "known_flow"
	ReasonPlaced Reason = "placed"
	// ReasonProbe means that the flow probes a failing upstream.
	ReasonProbe      Reason = "probe"
	ReasonSearched   Reason = "searched"
	ReasonNoLease    Reason = "no_lease"
	ReasonNoRoute    Reason = "no_route"
	ReasonNoUpstream Reason = "no_upstream"
	// ReasonNoRoom means that no upstream has room at present. A retransmission of the packet may find one that has.
	ReasonNoRoom Reason = "no_room"
	ReasonNoFlow Reason = "no_flow"
	// ReasonQueueFull means that the packet came last in a full queue of waiting packets, and ReasonWaitExpired that it has waited in vain.
	ReasonQueueFull   Reason = "queue_full"
	ReasonWaitExpired Reason = "wait_expired"
	// ReasonSuperseded means that another transmission of the opening packet is being handled.
	ReasonSuperseded Reason = "superseded"
	// ReasonLookup means that the flow is looked up at all agents that may know it.
	ReasonLookup Reason = "lookup"
	// ReasonLostFlow means that no upstream holds the flow.
	ReasonLostFlow Reason = "lost_flow"
)

// Decision is the decision about one packet.
type Decision struct {
	Action Action
	Reason Reason
	// To and Header are set for Pass.
	To     netip.AddrPort
	Header carrier.HopHeader
	// Upstream is the upstream at which this packet's flow was placed; set for ReasonPlaced and ReasonProbe only.
	Upstream registrar.UpstreamName
	// ExpectedTime is the expected time of a request at the upstream. It is set together with the upstream.
	ExpectedTime time.Duration
	// ReportAge is the age of the load report from which ExpectedTime was computed.
	ReportAge time.Duration
	// Asked is the number of agents that were asked for the flow; set for ReasonNoFlow and ReasonLostFlow only.
	Asked int
	// LookupTime is the time since the first packet of the lookup; set for ReasonLostFlow only.
	LookupTime time.Duration
	// Waited is the time since the first copy of an opening packet whose wait has ended.
	Waited time.Duration
	// WaitsAlready is true for Wait if the flow has waited before the packet came.
	WaitsAlready bool
	// Displaced is another packet that has given way to this one in a full queue; set for Wait only.
	Displaced *Ended
}

// Lease tells whether the entry may act on its configuration.
type Lease interface {
	// Valid reports whether the lease is valid at the given time.
	Valid(now time.Time) bool
}

// flowRecord is the entry's record of a flow.
type flowRecord struct {
	member     *member
	lastUsedAt time.Time
	// tried lists the upstreams that returned the current transmission of the opening packet.
	tried []registrar.UpstreamID
	// waited is the wait of the opening packet before it was placed; nil if it has not waited.
	waited *queuer.Opening
}

// shard holds a part of the flow table under its own lock.
type shard struct {
	mu    sync.Mutex
	flows map[registrar.Flow]*flowRecord
	// searches holds the searches for flows that this entry has no record of.
	searches map[registrar.Flow]*search
}

// Steerer holds the stream flows of an entry and the upstreams they may go to. The exported fields are set before first use.
type Steerer struct {
	Zone  registrar.ZoneName
	World *registrar.World
	Lease Lease
	// Link is the rate of the machine's link, a part of which load reports may use; 0 for no bound.
	Link registrar.Mbps
	// MaxWaiting is the largest number of opening packets that wait for room; 0 if none wait.
	MaxWaiting int

	shards [shardCount]shard
	// flowCount is the number of records in all shards.
	flowCount atomic.Int64
	view      atomic.Pointer[view]
	// updateMu serializes updates of view.
	updateMu sync.Mutex
	// lookups is nil if the entry only searches.
	lookups *locator.Locator
	waiting waitingOpenings
}

// callerPacket is a packet from a caller with its route and the locked shard of its flow.
type callerPacket struct {
	now   time.Time
	seg   *carrier.Segment
	route registrar.Route
	flow  registrar.Flow
	hash  uint64
	shard *shard
}

// lockFlow finds the route of a packet and locks the shard of its flow. If the entry has no valid lease or no route, ok is false
// and rejection is the decision about the packet.
func (s *Steerer) lockFlow(now time.Time, seg *carrier.Segment) (p callerPacket, ok bool, rejection Decision) {
	if !s.Lease.Valid(now) {
		return p, false, Decision{Reason: ReasonNoLease}
	}
	p = callerPacket{now: now, seg: seg, flow: seg.Flow()}
	if p.route, ok = s.World.Route(seg.To); !ok {
		return p, false, s.rejectUnrouted(seg)
	}
	p.hash = p.flow.Hash()
	p.shard = &s.shards[p.hash%shardCount]
	p.shard.mu.Lock()
	return p, true, Decision{}
}

// unlock unlocks the shard.
func (p callerPacket) unlock() { p.shard.mu.Unlock() }

// record returns the entry's record of the flow, or nil.
func (p callerPacket) record() *flowRecord { return p.shard.flows[p.flow] }

// FromCaller decides about a packet from a caller.
func (s *Steerer) FromCaller(now time.Time, seg *carrier.Segment) Decision {
	p, ok, rejection := s.lockFlow(now, seg)
	if !ok {
		return rejection
	}
	defer p.unlock()
	rec := p.record()
	switch {
	case seg.Opens():
		if s.lookups != nil {
			s.lookups.Forget(p.flow)
		}
		return s.openFlow(p)
	case rec == nil || !rec.member.reachable(now):
		return s.find(p)
	}
	return s.pass(p, rec)
}

// pass sends a packet to the upstream in the record of its flow.
func (s *Steerer) pass(p callerPacket, rec *flowRecord) Decision {
	rec.lastUsedAt = p.now
	if !p.seg.Opens() {
		rec.waited = nil
	}
	return Decision{Action: Pass, Reason: ReasonKnown, To: rec.member.address, Header: rec.member.passHeader()}
}

// rejectUnrouted decides about a packet to an address without a route. Only opening packets are reset: any other packet may
// belong to a flow on a route that this entry does not know yet.
func (s *Steerer) rejectUnrouted(seg *carrier.Segment) Decision {
	if seg.Opens() {
		return Decision{Action: Reset, Reason: ReasonNoRoute}
	}
	return Decision{Reason: ReasonNoRoute}
}

// openNow places an opening packet at once. A retransmission goes to the upstream of the first transmission if that upstream still
// accepts flows, and the route has not been moved to another service since.
func (s *Steerer) openNow(p callerPacket) Decision {
	rec := p.record()
	if rec == nil || p.seg.Attempt() == 0 {
		return s.place(p, nil)
	}
	if rec.member.accepting(p.now) && p.route.Allows(rec.member.service) {
		rec.tried = nil
		return s.pass(p, rec)
	}
	return s.place(p, []registrar.UpstreamID{rec.member.id})
}

// place chooses an upstream for a new flow, other than those already tried.
func (s *Steerer) place(p callerPacket, tried []registrar.UpstreamID) Decision {
	all := s.current().poolFor(p.route, p.hash).candidates(p.now, p.hash, tried)
	if c, found := all.probe(); found && p.isRepeatable() && len(tried) == 0 && p.seg.Attempt() == 0 {
		return s.placeAt(p, c, ReasonProbe, tried)
	}
	return s.placeAmong(p, all, tried)
}

// isRepeatable reports whether callers repeat a failed request of the route, so that it may go to a failing upstream.
func (p callerPacket) isRepeatable() bool { return p.route.Kind != registrar.RouteNonIdempotent }

// placeAmong places a new flow at the best of the candidates.
func (s *Steerer) placeAmong(p callerPacket, all candidates, tried []registrar.UpstreamID) Decision {
	eligible := all.healthy
	if len(eligible) == 0 && p.isRepeatable() {
		eligible = all.underLoad()
	}
	switch {
	case len(eligible) > 0:
		return s.placeAt(p, choose(eligible, s.Zone, p.route.EffectiveTargetLatency()), ReasonPlaced, tried)
	case all.hasOpen:
		return Decision{Reason: ReasonNoRoom}
	}
	return Decision{Action: Reset, Reason: ReasonNoUpstream}
}

// placeAt places a new flow at the upstream of a choice, for ReasonPlaced or ReasonProbe.
func (s *Steerer) placeAt(p callerPacket, c choice, reason Reason, tried []registrar.UpstreamID) Decision {
	header := c.member.passHeader()
	header.Probe = reason == ReasonProbe
	c.member.load.countPlacement(header.Probe)
	s.store(p.shard, p.flow, &flowRecord{member: c.member, lastUsedAt: p.now, tried: tried})
	return Decision{
		Action: Pass, Reason: reason, To: c.member.address, Header: header,
		Upstream: c.member.name, ExpectedTime: c.expected, ReportAge: c.reportAge,
	}
}

// store adds or replaces the record of a flow, unless the flow is new and the table is full. The shard must be locked.
func (s *Steerer) store(sh *shard, flow registrar.Flow, rec *flowRecord) {
	if sh.flows == nil {
		sh.flows = map[registrar.Flow]*flowRecord{}
	}
	if _, found := sh.flows[flow]; !found {
		if s.flowCount.Load() >= maxFlows {
			return
		}
		s.flowCount.Add(1)
	}
	sh.flows[flow] = rec
}

// remove removes the record of a flow, if there is one. The shard must be locked.
func (s *Steerer) remove(sh *shard, flow registrar.Flow) {
	if _, found := sh.flows[flow]; found {
		delete(sh.flows, flow)
		s.flowCount.Add(-1)
	}
}

// HandleReturned decides about a packet that the agent at address from has sent back.
func (s *Steerer) HandleReturned(now time.Time, from netip.AddrPort, header carrier.HopHeader, seg *carrier.Segment) Decision {
	p, ok, rejection := s.lockFlow(now, seg)
	if !ok {
		return rejection
	}
	defer p.unlock()
	if seg.Opens() {
		return s.retryPlacement(p, from, header.Reason)
	}
	if header.Searching {
		return s.continueFind(p, from, header)
	}
	if rec := p.record(); rec != nil && rec.member.address == from {
		s.remove(p.shard, p.flow)
	}
	return s.find(p)
}

// retryPlacement handles an opening packet that the agent at address from has returned: it places the flow at another upstream.
func (s *Steerer) retryPlacement(p callerPacket, from netip.AddrPort, reason carrier.ReturnReason) Decision {
	rec := p.record()
	if rec == nil || rec.member.address != from {
		// Another transmission of the packet is being handled.
		return Decision{Reason: ReasonSuperseded}
	}
	rec.member.load.applyRefusal(reason)
	if tried := append(rec.tried, rec.member.id); len(tried) < maxPlacements && !waitsAgain(rec, reason) {
		if d := s.place(p, tried); d.Action == Pass {
			return d
		}
	}
	s.remove(p.shard, p.flow)
	return s.returnToWait(p, rec, s.endPlacement(p.seg, reason))
}

// lastAttempt is the attempt number of a caller's last retransmission of an opening packet.
const lastAttempt = 2

// endPlacement decides about the opening packet of a flow that no upstream has accepted. If the upstreams had no room, the packet
// is dropped, because they may have room for the caller's next retransmission. The flow is reset for any other return reason, and
// after the last retransmission, since no other would follow.
func (s *Steerer) endPlacement(seg *carrier.Segment, reason carrier.ReturnReason) Decision {
	switch {
	case meansNoRoom(reason):
		if seg.Attempt() < lastAttempt {
			return Decision{Reason: ReasonNoRoom}
		}
		return Decision{Action: Reset, Reason: ReasonNoRoom}
	default:
		return Decision{Action: Reset, Reason: ReasonNoUpstream}
	}
}

// meansNoRoom reports whether an upstream that returned an opening packet may take the flow later.
func meansNoRoom(reason carrier.ReturnReason) bool {
	switch reason {
	case carrier.ReturnCold, carrier.ReturnSilent, carrier.ReturnClosed, carrier.ReturnBusy, carrier.ReturnFailing, carrier.ReturnFull:
		return true
	}
	return false
}

// RecordHolder records that the flow is held by the upstream of the agent at address from.
func (s *Steerer) RecordHolder(now time.Time, from netip.AddrPort, flow registrar.Flow) {
	m := s.current().memberAt(from)
	if m == nil {
		return
	}
	if s.lookups != nil {
		s.lookups.Found(flow)
	}
	sh := &s.shards[flow.Hash()%shardCount]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	s.store(sh, flow, &flowRecord{member: m, lastUsedAt: now})
}

// Report stores a load report of the agent at address from.
func (s *Steerer) Report(now time.Time, from netip.AddrPort, r carrier.LoadReport) {
	if m := s.current().memberAt(from); m != nil && m.tag == r.Service {
		m.load.setReport(now, r)
	}
}

// HasAcceptingUpstream reports whether a recent load report says that an upstream accepts new flows.
func (s *Steerer) HasAcceptingUpstream(now time.Time) bool {
	for _, m := range s.current().members {
		if m.accepting(now) {
			return true
		}
	}
	return false
}

// Flows returns the number of flows in the flow table.
func (s *Steerer) Flows() int { return int(s.flowCount.Load()) }

// Expire removes the flows that have carried no packet for the idle timeout of the configuration.
func (s *Steerer) Expire(now time.Time) {
	idleTimeout := s.World.Release().EffectiveIdleTimeout()
	for i := range s.shards {
		sh := &s.shards[i]
		sh.mu.Lock()
		for f, rec := range sh.flows {
			if now.Sub(rec.lastUsedAt) > idleTimeout {
				s.remove(sh, f)
			}
		}
		maps.DeleteFunc(sh.searches, func(_ registrar.Flow, sr *search) bool { return sr.ended(now) })
		sh.mu.Unlock()
	}
}
