// Package admitter decides, at an agent, what the upstream beside it gets of stream flows: new flows while the upstream takes
// them and bears them, and packets of flows that it holds. The upstream is the authority on which flows it holds.
package admitter

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
	// openTime is how long the upstream may take to accept a flow before another one gets it. Accepting takes well under a
	// millisecond; callers send a copy after 200 ms.
	openTime = 100 * time.Millisecond
	// pendingTime is how long an accepted flow counts as work to come although no request has arrived.
	pendingTime = 500 * time.Millisecond
	// absentTime is how long the agent remembers that the upstream does not hold a flow.
	absentTime = 2 * time.Second
	// closedTime is how long an ended flow is remembered for late packets.
	closedTime = 5 * time.Second
)

// Verb says what happens to a packet.
type Verb byte

// The verbs of an action.
const (
	Drop Verb = iota
	// Deliver sends the packet to the upstream.
	Deliver
	// Return sends it back to Action.Entry.
	Return
	// Answer sends it to the caller.
	Answer
)

// Action says what to do with a packet.
type Action struct {
	Verb Verb
	// Entry is where to return the packet, and whom to tell that the flow is held here.
	Entry netip.AddrPort
	// Header is set for Return.
	Header carrier.HopHeader
	// Held says that Entry is to be told that the flow is held here.
	Held bool
	// Begun is true if a request begins with the packet.
	Begun bool
	// Ended is the time that a request took whose answer begins with the packet; 0 if none does.
	Ended time.Duration
}

// phase is how far a flow has come.
type phase byte

const (
	// opening flows were offered to the upstream, which has not answered.
	opening phase = iota
	// doubtful flows are passed to the upstream to learn whether it holds them.
	doubtful
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
	// entry sent the newest packet of the caller.
	entry netip.AddrPort
	step  uint8
	// searching is true if entry does not know that the flow may be here.
	searching bool
	seenAt    time.Time
	// since is when the phase began.
	since time.Time
	// pending is true from acceptance to the first request, and working from a request to its answer.
	pending, working bool
	// requestAt is when the request began, and crowd how many requests there were then.
	requestAt time.Time
	crowd     int
	// nextSequence is the number after the newest byte of the caller.
	nextSequence uint32
	// packet is the opening packet, while the flow is opening.
	packet []byte
}

// shard holds flows under its own lock, which is taken before that of the upstream.
type shard struct {
	mu    sync.Mutex
	flows map[registrar.Flow]*flow
}

// Admitter holds what the agent knows about its upstream and the flows. The exported fields are set before first use.
type Admitter struct {
	Service registrar.ServiceName
	Zone    registrar.ZoneName
	// Address is where the upstream takes packets.
	Address netip.AddrPort
	// ColdFactor and ColdSlack bound the new flows of a cold upstream in a second: rate times factor plus slack.
	ColdFactor float64
	ColdSlack  uint32
	// MaxFlowAge is the age at which a flow may be forgotten. An agent that runs for a shorter time may not know all flows.
	MaxFlowAge time.Duration
	StartedAt  time.Time

	shards   [flowShards]shard
	upstream upstream
	// urgency holds the newest configuration's view of the routes; nil before the first one.
	urgency atomic.Pointer[urgency]
	idle    atomic.Int64
	// changes counts what changes the report.
	changes atomic.Uint64
}

func (a *Admitter) tag() carrier.ServiceTag { return carrier.TagOf(a.Service) }

func (a *Admitter) shard(f registrar.Flow) *shard {
	return &a.shards[registrar.HashAddress(f.Caller)%flowShards]
}

// Changes returns a number that grows whenever the report changes.
func (a *Admitter) Changes() uint64 { return a.changes.Load() }

// FromEntry decides about a packet of a caller that an entry passed on. packet is the whole packet.
func (a *Admitter) FromEntry(now time.Time, entry netip.AddrPort, h carrier.HopHeader, seg *carrier.Segment, packet []byte) Action {
	f := seg.Flow()
	sh := a.shard(f)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	fl := sh.flows[f]
	if seg.Opens() {
		return a.offered(now, sh, entry, h, seg, packet)
	}
	if fl == nil {
		return a.unknown(now, sh, entry, h, seg)
	}
	fl.entry, fl.step, fl.searching = entry, h.Step, h.Searching
	switch fl.phase {
	case absent:
		return returned(fl, carrier.ReturnUnknown)
	case doubtful, opening:
		fl.seenAt = now
		return Action{Verb: Deliver}
	}
	fl.seenAt = now
	act := Action{Verb: Deliver, Entry: entry, Held: h.Searching}
	act.Begun = a.countRequest(now, fl, seg)
	return act
}

func returned(fl *flow, reason carrier.ReturnReason) Action {
	return Action{Verb: Return, Entry: fl.entry, Header: carrier.HopHeader{
		Kind: carrier.HopReturn, Step: fl.step, Searching: fl.searching, Reason: reason,
	}}
}

// countRequest notes the bytes of a caller. The first new ones after an answer begin a request.
func (a *Admitter) countRequest(now time.Time, fl *flow, seg *carrier.Segment) (begun bool) {
	if len(seg.Payload) == 0 {
		return false
	}
	next := seg.Sequence + uint32(len(seg.Payload))
	fresh := int32(next-fl.nextSequence) > 0 || fl.nextSequence == 0
	if !fresh {
		return false
	}
	fl.nextSequence = next
	if fl.working || fl.phase == closed {
		return false
	}
	fl.working, fl.requestAt = true, now
	if !fl.pending {
		a.upstream.addBusy(1)
		a.changes.Add(1)
	}
	fl.pending = false
	fl.crowd = a.upstream.busyNow()
	return true
}

// offered handles an opening packet.
func (a *Admitter) offered(now time.Time, sh *shard, entry netip.AddrPort, h carrier.HopHeader, seg *carrier.Segment, packet []byte) Action {
	f := seg.Flow()
	fl := sh.flows[f]
	if fl != nil && seg.Attempt() > 0 && (fl.phase == opening || fl.phase == held) {
		fl.entry, fl.seenAt = entry, now
		return Action{Verb: Deliver}
	}
	refusal := Action{Verb: Return, Entry: entry, Header: carrier.HopHeader{Kind: carrier.HopReturn}}
	if h.Service != a.tag() {
		refusal.Header.Reason = carrier.ReturnService
		return refusal
	}
	if refusal.Header.Reason = a.upstream.admit(now, a, a.urgency.Load().bound(seg)); refusal.Header.Reason != 0 {
		a.changes.Add(1)
		return refusal
	}
	if fl != nil {
		a.release(fl)
	}
	a.upstream.addBusy(1)
	a.changes.Add(1)
	a.put(sh, f, &flow{
		phase: opening, entry: entry, seenAt: now, since: now, pending: true, packet: append([]byte(nil), packet...),
	})
	return Action{Verb: Deliver}
}

func (a *Admitter) put(sh *shard, f registrar.Flow, fl *flow) {
	if sh.flows == nil {
		sh.flows = map[registrar.Flow]*flow{}
	}
	sh.flows[f] = fl
}

// unknown handles a packet of a flow that the agent does not know. An agent that has run for as long as any flow may last knows
// all flows of its upstream. A younger one asks the upstream, which sends back what it does not hold.
func (a *Admitter) unknown(now time.Time, sh *shard, entry netip.AddrPort, h carrier.HopHeader, seg *carrier.Segment) Action {
	fl := &flow{phase: doubtful, entry: entry, step: h.Step, searching: h.Searching, seenAt: now, since: now}
	if now.Sub(a.StartedAt) > a.MaxFlowAge {
		return returned(fl, carrier.ReturnUnknown)
	}
	a.put(sh, seg.Flow(), fl)
	return Action{Verb: Deliver}
}

// release ends the work of a flow.
func (a *Admitter) release(fl *flow) {
	if fl.pending || fl.working {
		a.upstream.addBusy(-1)
		a.changes.Add(1)
	}
	fl.pending, fl.working = false, false
}

// FromUpstream decides about a packet that the upstream sent. notRun is true if it says that the upstream had no room for the
// request of the flow.
func (a *Admitter) FromUpstream(now time.Time, seg *carrier.Segment, notRun bool) Action {
	if seg.Has(carrier.Returned) {
		return a.bounced(now, seg)
	}
	if a.upstream.heard() {
		a.changes.Add(1)
	}
	f := seg.ReverseFlow()
	sh := a.shard(f)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	fl := sh.flows[f]
	if fl == nil {
		// The agent started after the flow did.
		fl = &flow{phase: held, since: now}
		a.put(sh, f, fl)
	}
	fl.seenAt = now
	act := Action{Verb: Answer}
	switch fl.phase {
	case opening:
		fl.phase, fl.since, fl.packet = held, now, nil
	case doubtful, absent:
		fl.phase, fl.since = held, now
		act.Held, act.Entry = fl.searching && fl.entry.IsValid(), fl.entry
	}
	ends := seg.Has(carrier.End) || seg.Has(carrier.Reset)
	// The end of a flow may overtake the answer.
	if notRun {
		a.upstream.overflowed(now, fl.crowd)
		a.changes.Add(1)
	}
	if fl.working && (len(seg.Payload) > 0 || ends) {
		act.Ended = now.Sub(fl.requestAt)
		if !notRun {
			a.upstream.sample(act.Ended, fl.crowd)
		}
		a.release(fl)
	}
	if ends {
		a.release(fl)
		fl.phase, fl.since = closed, now
	}
	return act
}

// bounced handles a packet of a caller that the upstream sent back.
func (a *Admitter) bounced(now time.Time, seg *carrier.Segment) Action {
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
		a.release(fl)
		delete(sh.flows, f)
		return returned(fl, carrier.ReturnRefused)
	}
	if fl.phase == held && a.upstream.lostFlow() {
		a.changes.Add(1)
	}
	a.release(fl)
	fl.phase, fl.since = absent, now
	return returned(fl, carrier.ReturnUnknown)
}

// Overdue is an opening packet that the upstream has not answered.
type Overdue struct {
	Action
	Packet []byte
}

// Tick returns the opening packets that another upstream should get, and forgets flows that have ended.
func (a *Admitter) Tick(now time.Time) []Overdue {
	var all []Overdue
	idle := registrar.DefaultIdle
	if v := a.idle.Load(); v > 0 {
		idle = time.Duration(v)
	}
	a.eachFlow(func(sh *shard, f registrar.Flow, fl *flow) {
		if fl.phase == opening && now.Sub(fl.since) > openTime {
			a.release(fl)
			if a.upstream.fellSilent(fl.since) {
				a.changes.Add(1)
			}
			all = append(all, Overdue{Action: returned(fl, carrier.ReturnSilent), Packet: fl.packet})
			// A late answer still opens the flow here.
			fl.phase, fl.since, fl.packet = doubtful, now, nil
		}
		if fl.pending && now.Sub(fl.since) > pendingTime {
			a.release(fl)
		}
		if expired(now, fl, idle) {
			a.release(fl)
			delete(sh.flows, f)
		}
	})
	return all
}

// eachFlow calls f with each flow, its shard locked. f may delete the flow.
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

func expired(now time.Time, fl *flow, idle time.Duration) bool {
	switch fl.phase {
	case absent, doubtful:
		return now.Sub(fl.since) > absentTime
	case closed:
		return now.Sub(fl.since) > closedTime
	default:
		return now.Sub(fl.seenAt) > idle
	}
}

// Flows returns the number of flows that may still carry packets.
func (a *Admitter) Flows() int {
	n := 0
	a.eachFlow(func(_ *shard, _ registrar.Flow, fl *flow) {
		if fl.phase == held || fl.phase == opening {
			n++
		}
	})
	return n
}

// forgetFlows drops what is known about the flows of an upstream that has ended.
func (a *Admitter) forgetFlows() {
	a.eachFlow(func(sh *shard, f registrar.Flow, fl *flow) {
		a.release(fl)
		delete(sh.flows, f)
	})
}

// Update takes a new configuration.
func (a *Admitter) Update(w *registrar.World) {
	a.idle.Store(int64(w.Release().Idle()))
	z, known := w.Zone(a.Zone)
	service, _ := w.Service(a.Service)
	a.upstream.configure(known && z.Withdrawn, service.ColdRate)
	a.urgency.Store(newUrgency(w, a.Service))
	a.changes.Add(1)
}
