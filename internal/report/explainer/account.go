package explainer

import (
	"math"
	"net/netip"
	"time"

	"github.com/peridotstage/peridotstage/internal/report/recorder"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

const (
	// omissionTime is the time after which an outcome is weighed: a process reports what it left out in a second with its first line
	// about flows in a later second.
	omissionTime = 3 * time.Second
	// sweepInterval is the time between two searches for flows whose outcome has become certain.
	sweepInterval = 250 * time.Millisecond
)

// outcomeKind is how an attempt ended.
type outcomeKind int

const (
	refused outcomeKind = iota
	unanswered
	late
	delayed
)

// outcome is the end of an attempt that is not an answer in time.
type outcome struct {
	kind      outcomeKind
	flow      registrar.Flow
	startedAt time.Time
	lastAt    time.Time
	// settledAt is the time at which the outcome was certain.
	settledAt time.Time
	// isReset is true if a line itself proves the loss. Otherwise the absence of other lines does.
	isReset bool
	delay   time.Duration
	cause   Cause
	detail  string
	// entry and agent are the processes that wrote about the flow. They are empty if none did.
	entry, agent string
}

// account is the state of a pass over the logs.
type account struct {
	query     LossQuery
	from, to  time.Time
	sweepAt   time.Time
	machines  map[string]*machineState
	flows     map[registrar.Flow]*flowState
	returns   map[netip.AddrPort]*routeReturns
	omissions omissionTracker
	gaps      gapTracker
	// limit is nil if the limit was not asked for.
	limit *limitTracker
	// outcomes holds outcomes that are to be weighed, in the order of settledAt.
	outcomes []outcome
	table    lossTable
	// result holds the counts that are complete only at the end.
	result Losses
}

func newAccount(q LossQuery) *account {
	a := &account{
		query: q, machines: map[string]*machineState{}, flows: map[registrar.Flow]*flowState{},
		returns:   map[netip.AddrPort]*routeReturns{},
		omissions: omissionTracker{processes: map[string][]logSecond{}},
		table:     lossTable{rows: map[rowKey]Counts{}, causes: map[causeKey]Counts{}},
	}
	if q.ColdRate > 0 {
		a.limit = newLimitTracker()
	}
	return a
}

// take applies the next line by time.
func (a *account) take(l *Line) {
	if a.from.IsZero() {
		a.from = l.At
	}
	if l.At.After(a.to) {
		a.to = l.At
	}
	if !l.At.Before(a.sweepAt) {
		a.sweep(l.At)
	}
	a.omissions.take(l)
	a.takeMachine(l)
	if f := l.flow(); f != (registrar.Flow{}) {
		a.takeFlow(f, l)
	}
}

func (a *account) takeMachine(l *Line) {
	name := baseName(l.Machine)
	m := a.machines[name]
	if m == nil {
		m = &machineState{}
		a.machines[name] = m
	}
	recovered := m.take(l)
	a.limit.takeMachine(name, m, l, recovered)
	if recovered {
		a.gaps.add(PowerGap{Zone: a.query.zoneOf(name), From: m.lostPowerAt, To: l.At, Machines: 1})
	}
}

func (a *account) takeFlow(flow registrar.Flow, l *Line) {
	f := a.flows[flow]
	if f == nil {
		f = &flowState{flow: flow}
		a.flows[flow] = f
	}
	f.lastAt = l.At
	switch l.Event {
	case recorder.FlowPlaced.Number:
		if f.isReused(l.At) {
			a.settle(f, l.At)
		}
		f.place(l)
		a.limit.place(flow.Service, l.Upstream)
	case recorder.FlowReset.Number, recorder.PacketDropped.Number:
		f.refuse(l, l.Reason)
	case eventFlowLost:
		f.refuse(l, reasonLostFlow)
	case eventPacketWaits:
		f.refuse(l, reasonWaits)
	case recorder.FlowReturned.Number, recorder.FlowNotTaken.Number:
		f.returned(l)
		a.routeReturns(flow.Service).add(l.At, classOf(l.Reason))
	case recorder.RequestBegun.Number:
		f.begin(l)
	case recorder.RequestAnswered.Number:
		a.answer(f, l)
	}
}

func (a *account) routeReturns(route netip.AddrPort) *routeReturns {
	r := a.returns[route]
	if r == nil {
		r = &routeReturns{}
		a.returns[route] = r
	}
	return r
}

// answer applies a line that says that a request was answered.
func (a *account) answer(f *flowState, l *Line) {
	ended, duration := f.answer(l)
	a.limit.place(f.flow.Service, f.agentMachine)
	if !ended.begunAt.IsZero() && !ended.isQueued && !a.machine(l.Machine).coldUntil.After(ended.begunAt) {
		a.limit.measure(f.flow.Service, micros(l.TookUS))
	}
	kind := delayed
	switch {
	case duration > a.query.Late:
		kind = late
	case ended.delay == 0:
		a.limit.add(f.flow.Service, ended.startedAt, 1, true)
		return
	}
	o := newOutcome(kind, f, ended, l.At)
	o.cause, o.detail = a.explainLate(f, ended, duration-ended.delay)
	a.outcomes = append(a.outcomes, o)
}

// newOutcome returns the outcome of an attempt of a flow without its cause.
func newOutcome(kind outcomeKind, f *flowState, ended *attempt, now time.Time) outcome {
	return outcome{
		kind: kind, flow: f.flow, startedAt: ended.startedAt, lastAt: ended.lastAt, settledAt: now, isReset: ended.isReset,
		delay: ended.delay, entry: f.entry, agent: f.agentProcess,
	}
}

// settle ends the pending attempt of a flow, which is lost unless the log that would show its request is missing.
func (a *account) settle(f *flowState, now time.Time) {
	kind := refused
	if f.awaitsAnswer() {
		kind = unanswered
	}
	if f.isOnlyPlaced() && a.machine(f.agentMachine).lastLineAt.IsZero() {
		a.result.Unseen++
		f.pending = nil
		return
	}
	o := newOutcome(kind, f, f.pending, now)
	if kind == refused {
		o.cause, o.detail = a.explainReason(f, f.pending, f.pending.reason, f.pending.lastAt)
	} else {
		o.cause, o.detail = a.explainSilence(f, now)
	}
	if o.agent == "" {
		o.agent = a.machine(f.agentMachine).agentProcess
	}
	a.outcomes = append(a.outcomes, o)
	f.pending = nil
}

// sweep settles the flows whose outcome is certain at a time, forgets old ones, and weighs outcomes.
func (a *account) sweep(now time.Time) {
	a.sweepAt = now.Add(sweepInterval)
	for flow, f := range a.flows {
		if f.pending != nil && !now.Before(f.deadline()) {
			a.settle(f, now)
		}
		if f.pending == nil && now.Sub(f.lastAt) > flowMemory {
			delete(a.flows, flow)
		}
	}
	weighed := 0
	for _, o := range a.outcomes {
		if now.Sub(o.settledAt) < omissionTime {
			break
		}
		a.count(&o)
		weighed++
	}
	a.outcomes = a.outcomes[weighed:]
}

// count adds an outcome to the table with its weight.
func (a *account) count(o *outcome) {
	weight := a.weight(o)
	if weight == 0 {
		a.result.Omissions.Unsampled++
		return
	}
	if weight > 1 {
		a.result.Omissions.Scaled++
		a.result.Omissions.ScaledTo += weight
	}
	var c Counts
	switch o.kind {
	case refused:
		c.Refused = weight
	case unanswered:
		c.Unanswered = weight
	case late:
		c.Late = weight
	case delayed:
		c.Delayed = weight
		c.TotalDelay = o.delay * time.Duration(weight)
	}
	if o.cause != CauseNoRoute {
		a.limit.add(o.flow.Service, o.startedAt, weight, o.kind == delayed)
	}
	key := rowKey{second: o.startedAt.Unix(), route: o.flow.Service, zone: a.query.zoneOf(o.entry), cause: o.cause}
	a.table.add(key, o.detail, c)
}

// weight returns the number of flows that an outcome stands for, or 0 if it is not to be counted. Where a process that wrote about
// the flow left out lines, the line that shows another outcome may be among them. There only flows of the sample are counted.
func (a *account) weight(o *outcome) int {
	weight := 1.0
	if !o.isReset {
		isLossy, isBlind := a.evidence(o)
		switch {
		case isLossy && !recorder.InSample(o.flow), isBlind:
			return 0
		case isLossy:
			weight = recorder.SampleWeight
		}
	}
	if o.kind == refused {
		weight *= a.omissions.refusalScale(o.entry, o.lastAt)
	}
	return int(math.Round(weight))
}

// evidence reports whether a line with another outcome of a flow may have been left out, and whether even that of a sampled flow
// may have been.
func (a *account) evidence(o *outcome) (isLossy, isBlind bool) {
	// An agent gets a flow only from an entry, so lines of the entry were left out if there are none.
	isLossy = o.kind == refused && o.entry == ""
	processes, until := []string{o.entry, o.agent}, o.settledAt
	if o.kind == late || o.kind == delayed {
		// The line of the answer decides, and lines of dropped packets are not routine.
		processes, until = []string{o.agent}, o.lastAt
	}
	for _, process := range processes {
		a.omissions.lossySeconds(process, o.startedAt, until, func(s *logSecond) {
			isLossy = true
			// A placement that an entry left out shows at the agent.
			isBlind = isBlind || o.kind == unanswered && process == o.agent && s.lines >= recorder.SampledLines
		})
	}
	return isLossy, isBlind
}

// close settles what is certain at the end of the logs and returns the account.
func (a *account) close() *Losses {
	a.sweep(a.to)
	for _, f := range a.flows {
		switch {
		case f.pending == nil:
		case f.pending.isReset:
			a.settle(f, a.to)
		default:
			a.result.Open++
		}
	}
	for i := range a.outcomes {
		a.count(&a.outcomes[i])
	}
	l := &a.result
	a.table.fill(l)
	l.Gaps = a.gaps.gaps
	l.Omissions.Lines, l.Omissions.Seconds = a.omissions.lines, a.omissions.seconds
	if a.limit != nil {
		l.Limit = a.limit.limit(a.query.ColdRate, a.query.Late)
	}
	l.From, l.To, l.Late = a.from, a.to, a.query.Late
	return l
}
