package explainer

import (
	"time"

	"github.com/peridotstage/peridotstage/internal/report/recorder"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

const (
	// eventFlowLost and eventPacketWaits are described in docs/hard-load.md, parts 1 and 2.
	eventFlowLost    = 3106
	eventPacketWaits = 3107
)

// Reasons in lines of entries and agents.
const (
	reasonNoLease    = "no_lease"
	reasonNoRoute    = "no_route"
	reasonNoUpstream = "no_upstream"
	reasonNoFlow     = "no_flow"
	reasonLostFlow   = "lost_flow"
	reasonWaits      = "waits"
)

const (
	// openingTime is the time after a line about an opening packet at which the caller has given up: its attempt ends 1.4 s after
	// the first packet (docs/hard-load.md), and lines follow the packets by some milliseconds.
	openingTime = 1500 * time.Millisecond
	// answerTime is the time after the last line of a request at which it counts as unanswered. It is the longest timeout of the
	// routes in docs/hard-load.md.
	answerTime = 10 * time.Second
	// flowMemory is the time after its last line for which a flow is remembered.
	flowMemory = reuseInterval
)

// returnClass is a class of reasons for which agents return opening packets.
type returnClass int

const (
	returnedCold returnClass = iota
	returnedBusy
	// returnedDown means that the upstream fails requests, is silent, or takes no new flows.
	returnedDown
	returnedOther
	returnClasses
)

func classOf(reason string) returnClass {
	switch reason {
	case "cold":
		return returnedCold
	case "busy", "full":
		return returnedBusy
	case "failing", "silent", "closed":
		return returnedDown
	}
	return returnedOther
}

// returnCounts counts returned opening packets by class.
type returnCounts [returnClasses]int

// mostFrequent returns the class with the most returns. It returns false if there are none.
func (c returnCounts) mostFrequent() (returnClass, bool) {
	most := returnedCold
	for class, n := range c {
		if n > c[most] {
			most = returnClass(class)
		}
	}
	return most, c[most] > 0
}

// attempt is an attempt to open a flow together with its first request, or one later request of a flow.
type attempt struct {
	// startedAt is the time of the first line, and lastAt that of the newest one.
	startedAt, lastAt time.Time
	// reason is why the newest packet was dropped, reset or queued. It is empty if none was, or if the flow was placed later.
	reason string
	// isReset is true if the entry has told the caller that the flow is not open.
	isReset bool
	// isReturned is true if the newest line of an entry says that an agent returned the flow.
	isReturned bool
	returns    returnCounts
	// placedAt is the time at which the flow was last given to an upstream, or zero.
	placedAt time.Time
	// begunAt is the time at which the request reached the upstream, or zero.
	begunAt time.Time
	request RequestID
	// queueTime is the time that the requests at the upstream were expected to take when the request reached it.
	queueTime   time.Duration
	isQueued    bool
	delay       time.Duration
	delayReason string
}

// endDelay ends the time for which the packets of the attempt were dropped or queued. waited is the time in the queue, or 0.
func (a *attempt) endDelay(at time.Time, waited time.Duration) {
	if a.reason == "" && waited == 0 {
		return
	}
	a.delay = max(a.delay, at.Sub(a.startedAt), waited)
	a.delayReason, a.reason, a.isReset = a.reason, "", false
}

// flowState is what the logs have said of a flow so far.
type flowState struct {
	flow registrar.Flow
	// entry is the process of the entry that wrote the newest line about the flow, or empty.
	entry string
	// agentMachine is the machine of the upstream that the flow was last seen at, and agentProcess the process of its agent. Both
	// are empty if there is none; the process is also empty if it has written nothing about the flow.
	agentMachine, agentProcess string
	// isOpen is true if a request of the flow has reached an upstream.
	isOpen bool
	// heldAt is the time of the newest line that shows the flow at its upstream.
	heldAt time.Time
	lastAt time.Time
	// pending is nil if no packet waits for an answer.
	pending *attempt
}

// current returns the attempt that a line is about, and starts one if there is none.
func (f *flowState) current(at time.Time) *attempt {
	if f.pending == nil {
		f.pending = &attempt{startedAt: at}
	}
	f.pending.lastAt = at
	return f.pending
}

// awaitsAnswer reports whether the pending packet belongs to a flow that an upstream holds or has held.
func (f *flowState) awaitsAnswer() bool {
	a := f.pending
	return f.isOpen || !a.begunAt.IsZero() || !a.placedAt.IsZero() || a.reason == reasonNoFlow || a.reason == reasonLostFlow
}

// isOnlyPlaced reports whether the newest line says that the flow was placed, and no request of it was seen.
func (f *flowState) isOnlyPlaced() bool {
	return !f.isOpen && !f.pending.placedAt.IsZero() && f.pending.reason == "" && !f.pending.isReturned
}

// deadline returns the time at which the outcome of the pending attempt is certain unless another line appears.
func (f *flowState) deadline() time.Time {
	if f.awaitsAnswer() && !f.pending.isReset {
		return f.pending.lastAt.Add(answerTime)
	}
	return f.pending.lastAt.Add(openingTime)
}

// isReused reports whether a line that places the flow is about a later flow with the same addresses and ports.
func (f *flowState) isReused(at time.Time) bool {
	return f.pending != nil && !f.pending.begunAt.IsZero() && at.Sub(f.pending.startedAt) > openingTime
}

// place applies a line that says that an entry gave the flow to an upstream.
func (f *flowState) place(l *Line) {
	a := f.current(l.At)
	a.endDelay(l.At, time.Duration(l.WaitedMS)*time.Millisecond)
	a.placedAt, a.isReturned = l.At, false
	f.isOpen, f.heldAt = !a.begunAt.IsZero(), l.At
	f.entry, f.agentMachine, f.agentProcess = l.Machine, l.Upstream, ""
}

// refuse applies a line of an entry that drops, resets or queues a packet.
func (f *flowState) refuse(l *Line, reason string) {
	a := f.current(l.At)
	a.reason = reason
	a.isReset = l.Event == recorder.FlowReset.Number || l.Event == eventFlowLost
	if reason != reasonNoFlow && reason != reasonLostFlow {
		a.placedAt = time.Time{}
	}
	a.isReturned = false
	f.entry = l.Machine
}

// returned applies a line about an opening packet that an agent returned.
func (f *flowState) returned(l *Line) {
	a := f.current(l.At)
	a.returns[classOf(l.Reason)]++
	if l.Event == recorder.FlowReturned.Number {
		a.isReturned, a.placedAt = true, time.Time{}
		f.entry = l.Machine
	}
}

// begin applies a line that says that a request reached its upstream.
func (f *flowState) begin(l *Line) {
	if f.pending != nil && !f.pending.begunAt.IsZero() && f.pending.request != l.Request {
		// The caller sends one request at a time, so the answer to the earlier one was seen by the caller or given up long ago.
		f.pending = nil
	}
	a := f.current(l.At)
	a.endDelay(l.At, 0)
	a.begunAt, a.request, a.isReturned = l.At, l.Request, false
	a.isQueued = l.Busy > l.Slots
	a.queueTime = time.Duration(l.Busy) * micros(l.WorkUS) / time.Duration(max(l.Slots, 1))
	f.hold(l)
}

// hold records that the flow is at the upstream of the agent that wrote the line.
func (f *flowState) hold(l *Line) {
	f.isOpen, f.heldAt = true, l.At
	f.agentMachine, f.agentProcess = baseName(l.Machine), l.Machine
}

// answer applies a line that says that the upstream answered, and returns the attempt that has ended. Its start is that of the
// request if no line of the request is in the logs.
func (f *flowState) answer(l *Line) (ended *attempt, duration time.Duration) {
	took := micros(l.TookUS)
	if f.pending == nil {
		f.current(l.At.Add(-took))
	}
	ended = f.pending
	ended.endDelay(l.At.Add(-took), 0)
	ended.lastAt = l.At
	f.pending = nil
	f.hold(l)
	return ended, ended.delay + took
}
