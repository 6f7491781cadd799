package explainer

import "time"

const (
	// startEffect is how long the start of an entry explains that it has no lease.
	startEffect = 10 * time.Second
	// silenceTime is the time without a line after which a machine is taken to have no power. Upstreams check in about every 4 s.
	silenceTime = 8 * time.Second
)

// routeReturns counts the returned opening packets of a route in the newest two seconds.
type routeReturns struct {
	second           int64
	counts, previous returnCounts
}

func (r *routeReturns) advance(at time.Time) {
	switch second := at.Unix(); {
	case second == r.second+1:
		r.previous, r.counts, r.second = r.counts, returnCounts{}, second
	case second > r.second:
		r.previous, r.counts, r.second = returnCounts{}, returnCounts{}, second
	}
}

func (r *routeReturns) add(at time.Time, class returnClass) {
	r.advance(at)
	r.counts[class]++
}

// sum returns the counts of both seconds.
func (r *routeReturns) sum() returnCounts {
	sum := r.counts
	for class, n := range r.previous {
		sum[class] += n
	}
	return sum
}

// causeOf returns the cause of a refusal by the class of the returns before it.
func causeOf(class returnClass) (Cause, string) {
	switch class {
	case returnedCold:
		return CauseCold, "upstreams were cold"
	case returnedBusy:
		return CauseNoRoom, "upstreams were busy or full"
	case returnedDown:
		return CauseUpstream, "upstreams were failing, silent or closed"
	}
	return CauseReturned, "upstreams or agents returned the flow"
}

// explainReason returns the cause for which a packet was dropped, reset or queued with a reason, or returned if that is empty.
func (a *account) explainReason(f *flowState, p *attempt, reason string, at time.Time) (Cause, string) {
	switch reason {
	case reasonNoLease:
		return CauseNoLeader, a.explainNoLease(f.entry, at)
	case reasonNoRoute:
		return CauseNoRoute, "no route for the address in force"
	case reasonNoFlow:
		return CauseSearch, "no_flow"
	case reasonLostFlow:
		return CauseUpstream, "proved that no upstream holds the flow"
	}
	if class, found := p.returns.mostFrequent(); found {
		return causeOf(class)
	}
	if reason == reasonNoUpstream {
		return CauseUpstream, "the entry knew no upstream"
	}
	if class, found := a.routeReturns(f.flow.Service).sum().mostFrequent(); found {
		cause, detail := causeOf(class)
		return cause, detail + " for other flows of the route"
	}
	return CauseNoRoom, "the entry knew of no room"
}

// explainNoLease returns why an entry had no lease.
func (a *account) explainNoLease(entry string, at time.Time) string {
	m := a.machine(entry)
	switch {
	case at.Sub(m.startedAt) < startEffect:
		return "the entry had just started again"
	case at.Sub(m.heartbeatFailedAt) < heartbeatMemory:
		return "heartbeats of the entry failed"
	}
	return "no_lease"
}

// machine returns the state of the machine of a process. It is the zero value if the machine has written nothing.
func (a *account) machine(process string) *machineState {
	if m := a.machines[baseName(process)]; m != nil {
		return m
	}
	return &machineState{}
}

// explainSilence returns the cause of the loss of a request that got no answer.
func (a *account) explainSilence(f *flowState, now time.Time) (Cause, string) {
	p := f.pending
	if cause, detail, found := a.explainEnd(f, now); found {
		switch p.reason {
		case reasonNoFlow:
			detail += "; a later search found no flow"
		case reasonLostFlow:
			detail += "; the flow was reset"
		}
		return cause, detail
	}
	m := a.machine(f.agentMachine)
	switch {
	case p.reason != "" || p.isReturned:
		return a.explainReason(f, p, p.reason, p.lastAt)
	case m.isFailing:
		return CauseUpstream, "the upstream failed requests"
	case p.begunAt.IsZero():
		return CauseUnknown, "placed, and no request seen at the upstream"
	case m.coldUntil.After(p.begunAt):
		return CauseCold, "the upstream was cold"
	case p.queueTime > a.query.Late:
		return CauseNoRoom, "requests queued at the upstream for longer than the bound"
	}
	return CauseNoAnswer, "the upstream got the request and ran on"
}

// explainEnd returns the cause of the loss of a request if the upstream that held its flow has ended.
func (a *account) explainEnd(f *flowState, now time.Time) (Cause, string, bool) {
	if f.agentMachine == "" {
		return "", "", false
	}
	m := a.machine(f.agentMachine)
	switch {
	case m.startedAt.After(f.heldAt):
		return CauseNoPower, "the machine of the upstream started again", true
	case m.stopAt.After(f.heldAt) || m.leftAt.After(f.heldAt):
		return CauseUpstream, "the upstream left or its agent stopped", true
	case m.replacedAt.After(f.heldAt):
		return CauseUpstream, "another process of the upstream checked in", true
	case !m.lastLineAt.IsZero() && now.Sub(m.lastLineAt) > silenceTime:
		return CauseNoPower, "the machine of the upstream wrote nothing more", true
	}
	return "", "", false
}

// explainLate returns the cause of a delay or of a late answer. took is the time that the upstream needed.
func (a *account) explainLate(f *flowState, p *attempt, took time.Duration) (Cause, string) {
	m := a.machine(f.agentMachine)
	switch {
	case p.delay > 0 && took <= a.query.Late:
		return a.explainReason(f, p, p.delayReason, p.lastAt)
	case m.isFailing:
		return CauseUpstream, "the upstream failed requests"
	case m.coldUntil.After(p.startedAt):
		return CauseCold, "the upstream was cold"
	case p.queueTime > a.query.Late:
		return CauseNoRoom, "requests queued at the upstream for longer than the bound"
	case p.isQueued:
		return CauseNoRoom, "more requests than slots at the upstream"
	}
	return CauseUnknown, "late at an upstream with free slots, or its load was left out"
}
