// Package admitter performs admission control for stream flows at an agent: new flows reach the agent's upstream while the
// upstream accepts flows and is not overloaded, and packets of established flows reach it if it holds the flow. The upstream is
// the authority on which flows it holds.
package admitter

import (
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/peridotstage/peridotstage/internal/route/carrier"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

const (
	flowShards = 16
	// acceptTimeout is how long the upstream may take to accept a flow before the flow is offered to another upstream. Accepting
	// takes well under a millisecond; callers retransmit an opening packet after 200 ms.
	acceptTimeout = 100 * time.Millisecond
	// answerTimeout is how long the upstream may take to answer or send back a packet of a flow that the agent does not know, before the
	// search for the flow goes on. An upstream that has ended does neither.
	answerTimeout = 100 * time.Millisecond
	// pendingTimeout is how long an accepted flow counts as a request in flight before its first request arrives.
	pendingTimeout = 500 * time.Millisecond
	// absentRetention is how long the agent remembers that the upstream does not hold a flow.
	absentRetention = 2 * time.Second
	// maxTickGap is the longest time between two calls of Tick after which the silence of the upstream still counts against it. After
	// a longer one the agent itself did not run, and answers may wait to be read.
	maxTickGap = 200 * time.Millisecond
	// closedRetention is how long an ended flow is remembered for late packets.
	closedRetention = 5 * time.Second
)

// Disposition is what happens to a packet.
type Disposition byte

// The values of a packet's disposition.
const (
	Drop Disposition = iota
	// Deliver sends the packet to the upstream.
	Deliver
	// Return sends the packet back to the entry Action.Entry.
	Return
	// Answer sends the packet to the caller.
	Answer
)

// Action says what to do with a packet.
type Action struct {
	Disposition Disposition
	// Entry is the address of the entry that gets a returned packet, or the notice that the upstream holds the flow.
	Entry netip.AddrPort
	// Header is the hop header of a returned packet; set for Return and AlsoReturn only.
	Header carrier.HopHeader
	// AlsoReturn is true if a delivered packet goes back to Entry as well, because the upstream has not answered earlier ones.
	AlsoReturn bool
	// NotifyEntry is true if Entry is to be notified that the upstream of this agent holds the flow.
	NotifyEntry bool
	// StartsRequest is true if a request begins with the packet.
	StartsRequest bool
	// RequestDuration is the duration of the request whose answer begins with the packet; 0 if no answer begins with it.
	RequestDuration time.Duration
}

// phase is the state of a flow.
type phase byte

const (
	// opening flows were offered to the upstream, which has not answered yet.
	opening phase = iota
	// probing flows are unknown to the agent. Their packets go to the upstream, which returns them if it does not hold the flow.
	probing
	// unanswered flows are unknown to the agent, and the upstream has neither answered nor returned a packet in time. It may have ended,
	// or be slow and hold the flow.
	unanswered
	// held flows were accepted by the upstream.
	held
	// absent flows are not held by the upstream.
	absent
	// closed flows have ended.
	closed
)

// flow is what the agent knows about one flow.
type flow struct {
	phase phase
	// open is true while the flow counts as open at the upstream.
	open bool
	// entry is the address of the entry that sent the newest packet of the caller.
	entry netip.AddrPort
	step  uint8
	// searching is true while entry looks for the agent whose upstream holds the flow.
	searching      bool
	lastPacketAt   time.Time
	phaseStartedAt time.Time
	// pending is true from the offer to the first request, and requestRunning from a request to its answer. A flow counts as a
	// request in flight while one of them is true.
	pending, requestRunning bool
	// carriedRequest is true once the flow has carried a request.
	carriedRequest bool
	// requestStartedAt is the start of the current request. requestsAtStart is the number of requests in flight at that time,
	// including this one.
	requestStartedAt time.Time
	requestsAtStart  int
	// outcomePending is true from a request until its outcome is known, which may be after its answer has begun, since packets
	// overtake each other. requestDuration is the time until the answer began; 0 before that.
	outcomePending  bool
	requestDuration time.Duration
	// nextSequence is the sequence number that follows the newest byte of the caller.
	nextSequence uint32
	// unansweredPacket is the first packet that the upstream has not answered, while the flow is opening or probing; nil if there is none.
	unansweredPacket []byte
	// returnedAcknowledged is the acknowledged sequence number in the packet that the upstream sent back, while the flow is absent.
	returnedAcknowledged uint32
}

// shard holds a part of the flows under its own lock, which is taken before the lock of the upstream.
type shard struct {
	mu    sync.Mutex
	flows map[registrar.Flow]*flow
	// forgotten holds the flows whose records were deleted because they were idle, with the time from which they are older than any flow.
	forgotten map[registrar.Flow]time.Time
}

// Admitter tracks the state of the agent's upstream and of its flows. The exported fields are set before first use.
type Admitter struct {
	Service registrar.ServiceName
	Zone    registrar.ZoneName
	// Address is the address at which the upstream receives packets.
	Address netip.AddrPort
	// ColdFactor and ColdSlack bound the new flows that a cold upstream gets per second: cold rate times factor plus slack.
	ColdFactor float64
	ColdSlack  float64
	// MaxFlowAge is the longest lifetime of a flow. An agent that has run for a shorter time may not know all flows.
	MaxFlowAge time.Duration
	// CheckInInterval is the time between two check-ins of the upstream; 0 if it is not known.
	CheckInInterval time.Duration
	// StopsAfterUpstream is true if a planned stop of the agent begins only after its upstream has ended.
	StopsAfterUpstream bool
	StartedAt          time.Time

	shards   [flowShards]shard
	upstream upstream
	// latencyBounds is derived from the newest configuration; nil before the first one.
	latencyBounds atomic.Pointer[latencyBounds]
	idleTimeout   atomic.Int64
	// changes counts the changes of the load report.
	changes atomic.Uint64
	// forgottenUntil is the Unix time in nanoseconds until which the agent may have forgotten flows that are in no shard.
	forgottenUntil atomic.Int64
	// tickedAt is the time of the newest call of Tick, which has one caller.
	tickedAt time.Time
}

func (a *Admitter) tag() carrier.ServiceTag { return carrier.TagOf(a.Service) }

func (a *Admitter) shard(f registrar.Flow) *shard {
	return &a.shards[registrar.HashAddress(f.Caller)%flowShards]
}

// Changes returns a counter that increases whenever the load report changes.
func (a *Admitter) Changes() uint64 { return a.changes.Load() }

// FromEntry decides on a packet of a caller that an entry forwarded. packet is the encoded packet with all headers.
func (a *Admitter) FromEntry(now time.Time, entry netip.AddrPort, h carrier.HopHeader, seg *carrier.Segment, packet []byte) Action {
	f := seg.Flow()
	sh := a.shard(f)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	fl := sh.flows[f]
	if seg.Opens() {
		return a.handleOpening(now, sh, entry, h, seg, packet)
	}
	if fl == nil {
		return a.handleUnknownFlow(now, sh, entry, h, seg, packet)
	}
	fl.entry, fl.step, fl.searching = entry, h.Step, h.Searching
	if a.upstream.hasEnded(a) {
		return returnAction(fl, carrier.ReturnUnknownFlow)
	}
	switch fl.phase {
	case absent:
		if seg.Acknowledged == fl.returnedAcknowledged {
			return returnAction(fl, carrier.ReturnUnknownFlow)
		}
		// The packet that the upstream sent back may have been of an earlier flow between the same addresses.
		return a.handleUnknownFlow(now, sh, entry, h, seg, packet)
	case probing, opening:
		fl.lastPacketAt = now
		return Action{Disposition: Deliver}
	case unanswered:
		fl.lastPacketAt = now
		return deliverAndReturn(fl)
	}
	fl.lastPacketAt = now
	act := Action{Disposition: Deliver, Entry: entry, NotifyEntry: h.Searching}
	act.StartsRequest = a.countRequest(now, fl, seg)
	if seg.Has(carrier.End) || seg.Has(carrier.Reset) {
		// The caller has its answer or has given up, and the upstream ends a request whose caller has. Otherwise an upstream that
		// has hung would look busy until its flows expire.
		a.stopCounting(now, fl)
		fl.outcomePending = false
	}
	if seg.Has(carrier.Reset) {
		// The upstream drops the flow and need not answer.
		a.endFlow(fl)
	}
	return act
}

func returnAction(fl *flow, reason carrier.ReturnReason) Action {
	return Action{Disposition: Return, Entry: fl.entry, Header: carrier.HopHeader{
		Kind: carrier.HopReturn, Step: fl.step, Searching: fl.searching, Reason: reason,
	}}
}

// deliverAndReturn delivers a packet of an unanswered flow, and lets the search for the flow go on at the same time.
func deliverAndReturn(fl *flow) Action {
	act := returnAction(fl, carrier.ReturnUndecided)
	act.Disposition, act.AlsoReturn = Deliver, fl.searching
	return act
}

// countRequest records the payload of a caller's packet. The first new bytes after an answer start a request; retransmitted
// bytes do not.
func (a *Admitter) countRequest(now time.Time, fl *flow, seg *carrier.Segment) (startsRequest bool) {
	if len(seg.Payload) == 0 {
		return false
	}
	payloadEnd := seg.Sequence + uint32(len(seg.Payload))
	isNew := int32(payloadEnd-fl.nextSequence) > 0 || fl.nextSequence == 0
	if !isNew {
		return false
	}
	fl.nextSequence = payloadEnd
	if fl.requestRunning || fl.phase == closed {
		return false
	}
	fl.requestRunning, fl.requestStartedAt = true, now
	a.upstream.recordRepeat(fl.carriedRequest)
	fl.carriedRequest = true
	fl.outcomePending, fl.requestDuration = true, 0
	if !fl.pending {
		a.upstream.addInFlight(now, 1)
		a.changes.Add(1)
	}
	fl.pending = false
	fl.requestsAtStart = a.upstream.currentInFlight()
	return true
}

// handleOpening admits or refuses the flow of an opening packet. A retransmission for a flow that was admitted is delivered, unless a
// cold upstream has got its allowance.
func (a *Admitter) handleOpening(now time.Time, sh *shard, entry netip.AddrPort, h carrier.HopHeader, seg *carrier.Segment, packet []byte) Action {
	f := seg.Flow()
	fl := sh.flows[f]
	if fl != nil && seg.Attempt() > 0 && (fl.phase == opening || fl.phase == held) {
		fl.entry, fl.lastPacketAt = entry, now
		if !a.upstream.countRetransmission(now, a) {
			return Action{Disposition: Drop}
		}
		return Action{Disposition: Deliver}
	}
	refusal := Action{Disposition: Return, Entry: entry, Header: carrier.HopHeader{Kind: carrier.HopReturn}}
	if h.Service != a.tag() {
		refusal.Header.Reason = carrier.ReturnOtherService
		return refusal
	}
	if refusal.Header.Reason = a.upstream.admit(now, a, a.latencyBounds.Load().boundFor(h, seg), h.Probe, fl != nil && fl.open); refusal.Header.Reason != 0 {
		a.changes.Add(1)
		return refusal
	}
	if fl != nil {
		a.stopCounting(now, fl)
		a.endFlow(fl)
	}
	a.upstream.addInFlight(now, 1)
	a.changes.Add(1)
	a.putFlow(sh, f, &flow{
		phase: opening, open: true, entry: entry, lastPacketAt: now, phaseStartedAt: now, pending: true,
		unansweredPacket: slices.Clone(packet),
	})
	return Action{Disposition: Deliver}
}

func (a *Admitter) putFlow(sh *shard, f registrar.Flow, fl *flow) {
	if sh.flows == nil {
		sh.flows = map[registrar.Flow]*flow{}
	}
	sh.flows[f] = fl
}

// handleUnknownFlow handles a packet of a flow that the agent does not know. An agent that has run for longer than MaxFlowAge
// knows all flows of its upstream but forgotten ones and returns the packet. Otherwise the agent passes the packet to the upstream, which
// sends it back if it does not hold the flow, unless it has ended. A packet for another service is for an upstream that ran at the same
// address earlier.
func (a *Admitter) handleUnknownFlow(now time.Time, sh *shard, entry netip.AddrPort, h carrier.HopHeader, seg *carrier.Segment, packet []byte) Action {
	fl := &flow{phase: probing, entry: entry, step: h.Step, searching: h.Searching, lastPacketAt: now, phaseStartedAt: now}
	knowsFlow := now.Sub(a.StartedAt) > a.MaxFlowAge && !a.hasForgotten(now, sh, seg.Flow())
	if h.Service != a.tag() || a.upstream.hasEnded(a) || sh.flows[seg.Flow()] == nil && knowsFlow {
		return returnAction(fl, carrier.ReturnUnknownFlow)
	}
	a.putFlow(sh, seg.Flow(), fl)
	if a.upstream.isSilent() {
		a.upstream.markUnanswered(seg.Flow())
		fl.phase = unanswered
		return deliverAndReturn(fl)
	}
	fl.unansweredPacket = slices.Clone(packet)
	return Action{Disposition: Deliver}
}

// stopCounting removes the request of a flow from the requests in flight, if it has one.
func (a *Admitter) stopCounting(now time.Time, fl *flow) {
	if fl.pending || fl.requestRunning {
		a.upstream.addInFlight(now, -1)
		a.changes.Add(1)
	}
	fl.pending, fl.requestRunning = false, false
}

// FromUpstream decides on a packet that the upstream sent. outcome is what the packet says about the request of the flow.
func (a *Admitter) FromUpstream(now time.Time, seg *carrier.Segment, outcome carrier.Outcome) Action {
	if seg.Has(carrier.Returned) {
		return a.handleReturned(now, seg)
	}
	if a.upstream.markResponsive() {
		a.changes.Add(1)
	}
	f := seg.ReverseFlow()
	sh := a.shard(f)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	fl := sh.flows[f]
	if fl == nil {
		// The flow is older than the process of the agent.
		fl = &flow{phase: held, phaseStartedAt: now}
		a.putFlow(sh, f, fl)
		a.startFlow(fl)
	}
	fl.lastPacketAt = now
	act := Action{Disposition: Answer}
	switch fl.phase {
	case opening:
		fl.phase, fl.phaseStartedAt, fl.unansweredPacket = held, now, nil
	case probing, unanswered, absent:
		fl.phase, fl.phaseStartedAt, fl.unansweredPacket = held, now, nil
		act.NotifyEntry, act.Entry = fl.searching && fl.entry.IsValid(), fl.entry
		a.startFlow(fl)
	}
	endsFlow := seg.Has(carrier.End) || seg.Has(carrier.Reset)
	// The packet that ends a flow may arrive before the answer.
	if fl.requestRunning && (len(seg.Payload) > 0 || endsFlow) {
		act.RequestDuration = now.Sub(fl.requestStartedAt)
		fl.requestDuration = act.RequestDuration
		a.upstream.markAnswered(now)
		a.stopCounting(now, fl)
	}
	if seg.Has(carrier.Reset) {
		outcome = carrier.OutcomeFailed
	}
	a.recordOutcome(now, fl, outcome)
	if endsFlow {
		a.stopCounting(now, fl)
		a.endFlow(fl)
		fl.phase, fl.phaseStartedAt = closed, now
	}
	return act
}

// recordOutcome records the outcome of the flow's request, unless it is already known or the packet does not tell it.
func (a *Admitter) recordOutcome(now time.Time, fl *flow, outcome carrier.Outcome) {
	if !fl.outcomePending || outcome == carrier.OutcomeUnknown {
		return
	}
	fl.outcomePending = false
	switch outcome {
	case carrier.OutcomeNotRun:
		a.upstream.recordRefusal(now, fl.requestsAtStart)
	case carrier.OutcomeFailed:
		a.upstream.recordFailure(now)
	case carrier.OutcomeSucceeded:
		a.upstream.recordSuccess(now, fl.requestDuration, fl.requestsAtStart)
	}
	a.changes.Add(1)
}

// handleReturned handles a caller's packet that the upstream sent back because it refused or does not hold the flow.
func (a *Admitter) handleReturned(now time.Time, seg *carrier.Segment) Action {
	a.upstream.markHeard()
	f := seg.Flow()
	sh := a.shard(f)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	fl := sh.flows[f]
	switch {
	case fl == nil:
		return Action{}
	case seg.Opens() && fl.phase != opening:
		return Action{}
	case seg.Opens():
		a.stopCounting(now, fl)
		a.endFlow(fl)
		delete(sh.flows, f)
		return returnAction(fl, carrier.ReturnRefused)
	}
	if fl.phase == held && a.upstream.suspectRestart() {
		a.changes.Add(1)
	}
	a.stopCounting(now, fl)
	a.endFlow(fl)
	alreadyReturned := fl.phase == unanswered && fl.searching
	fl.phase, fl.phaseStartedAt, fl.unansweredPacket = absent, now, nil
	fl.returnedAcknowledged = seg.Acknowledged
	if alreadyReturned {
		return Action{}
	}
	return returnAction(fl, carrier.ReturnUnknownFlow)
}

// eachFlow calls f for each flow with the flow's shard locked. f may delete the flow.
func (a *Admitter) eachFlow(f func(sh *shard, key registrar.Flow, fl *flow)) {
	for i := range a.shards {
		sh := &a.shards[i]
		sh.mu.Lock()
		for key, fl := range sh.flows {
			f(sh, key, fl)
		}
		sh.mu.Unlock()
	}
}

// dropFlows removes all flows; it is called when the upstream has restarted.
func (a *Admitter) dropFlows(now time.Time) {
	a.eachFlow(func(sh *shard, f registrar.Flow, fl *flow) {
		a.stopCounting(now, fl)
		a.endFlow(fl)
		delete(sh.flows, f)
	})
	for i := range a.shards {
		a.shards[i].mu.Lock()
		clear(a.shards[i].forgotten)
		a.shards[i].mu.Unlock()
	}
}

// Update applies a new configuration.
func (a *Admitter) Update(w *registrar.World) {
	a.idleTimeout.Store(int64(w.Release().EffectiveIdleTimeout()))
	zone, zoneKnown := w.Zone(a.Zone)
	service, _ := w.Service(a.Service)
	a.upstream.configure(zoneKnown && zone.Withdrawn, service.ColdRate)
	a.upstream.limitFlows(service.MaxFlows)
	a.latencyBounds.Store(newLatencyBounds(w, a.Service))
	a.changes.Add(1)
}
