package admitter

import (
	"time"

	"github.com/peridotstage/peridotstage/internal/route/carrier"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// maxForgotten bounds the flows of a shard whose records the agent has deleted because they were idle. Above it the agent does not know
// all flows for MaxFlowAge.
const maxForgotten = 1024

// LookUp answers an entry that asks for flows. Only a flow that the agent would know is absent: an entry resets a flow that is absent
// everywhere.
func (a *Admitter) LookUp(now time.Time, l carrier.Lookup) carrier.LookupAnswer {
	answer := carrier.LookupAnswer{ID: l.ID, Holdings: make([]carrier.Holding, len(l.Flows))}
	knowsAll, hasEnded := a.knowsAllFlows(now), a.upstream.hasEnded(a)
	for i, f := range l.Flows {
		if hasEnded {
			answer.Holdings[i] = carrier.HoldingAbsent
			continue
		}
		answer.Holdings[i] = a.holding(now, f, knowsAll)
	}
	return answer
}

func (a *Admitter) holding(now time.Time, f registrar.Flow, knowsAll bool) carrier.Holding {
	sh := a.shard(f)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if fl := sh.flows[f]; fl != nil {
		switch fl.phase {
		case opening, held, closed:
			return carrier.HoldingHeld
		}
		// The upstream may still accept a flow that it has not answered. A packet that it sent back may have been a late one of an earlier
		// flow between the same addresses, so it gets a packet of this flow.
		return carrier.HoldingUnknown
	}
	if !knowsAll || a.hasForgotten(now, sh, f) {
		return carrier.HoldingUnknown
	}
	return carrier.HoldingAbsent
}

// knowsAllFlows reports whether the agent knows all flows of its upstream but those that it has forgotten. It does if it has run for longer
// than any flow, or if it has admitted all of them.
func (a *Admitter) knowsAllFlows(now time.Time) bool {
	return now.Sub(a.StartedAt) > a.MaxFlowAge || a.upstream.startedWithAgent(now, a)
}

// HoldsNoFlows reports whether the agent is certain that its upstream holds no flow. The upstream may still accept one that it has not
// answered. Once it has ended, the flows that the agent has records of are lost, and entries may reset them.
func (a *Admitter) HoldsNoFlows(now time.Time) bool {
	if a.upstream.hasEnded(a) {
		return true
	}
	if !a.knowsAllFlows(now) || now.UnixNano() < a.forgottenUntil.Load() {
		return false
	}
	possible := 0
	a.eachFlow(func(_ *shard, _ registrar.Flow, fl *flow) {
		if fl.phase != absent && fl.phase != closed {
			possible++
		}
	})
	for i := range a.shards {
		sh := &a.shards[i]
		sh.mu.Lock()
		possible += len(sh.forgotten)
		sh.mu.Unlock()
	}
	return possible == 0
}

// startedWithAgent reports whether no earlier process of the agent can have admitted a flow to the running process of the upstream.
func (u *upstream) startedWithAgent(now time.Time, a *Admitter) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.startedWithAgentLocked(now, a)
}

// admittedAllFlowsLocked reports whether the check-ins show that the agent has been running since before the upstream got its first flow.
func (u *upstream) admittedAllFlowsLocked() bool { return u.checkedIn && u.seenFromStart }

// startProcessLocked records whether the agent has been running since before the process of a check-in could get its first flow. Upstreams
// get flows only after a check-in, so this is so if the check-in is their first one that an agent took. It is also so if the agent has known an
// earlier process. That process must have checked in over minSuccessorTime: a single check-in may be a late one of a process that had ended
// before the agent started.
func (u *upstream) startProcessLocked(now time.Time, c CheckIn, interval time.Duration) {
	knewEarlier := u.checkedIn && u.checkedInAt.Sub(u.processKnownAt) >= minSuccessorTime
	u.seenFromStart = c.isFirstTaken(now, interval) || knewEarlier
	u.processKnownAt = now
}

// maxFailedCheckIns is how many check-ins of an upstream may fail before the first one that an agent takes. An upstream that starts shortly
// before its agent repeats a failed check-in at once, so that a few may fail. A higher number would only help a wrong clock pass.
const maxFailedCheckIns = 5

// isFirstTaken reports whether no agent can have taken an earlier check-in of the process. An upstream whose check-in was taken sends the next
// one after the interval, unless it begins to drain. One that arrives much earlier after the start follows failed ones only.
func (c CheckIn) isFirstTaken(now time.Time, interval time.Duration) bool {
	if c.Sequence == 1 {
		return true
	}
	age := now.Sub(time.UnixMilli(c.StartedMilli))
	return c.Sequence <= maxFailedCheckIns+1 && !c.Draining && age >= 0 && age < interval/2
}

// forget deletes the record of an idle flow. A flow that the upstream may still hold is remembered until it is older than any flow.
// The shard must be locked.
func (a *Admitter) forget(now time.Time, sh *shard, f registrar.Flow, fl *flow) {
	delete(sh.flows, f)
	until := fl.phaseStartedAt.Add(a.MaxFlowAge)
	if fl.phase != held || !now.Before(until) {
		return
	}
	if len(sh.forgotten) >= maxForgotten {
		a.forgottenUntil.Store(max(a.forgottenUntil.Load(), now.Add(a.MaxFlowAge).UnixNano()))
		return
	}
	if sh.forgotten == nil {
		sh.forgotten = map[registrar.Flow]time.Time{}
	}
	sh.forgotten[f] = until
}

// hasForgotten reports whether the record of a flow was deleted although the upstream may hold the flow. The shard must be locked.
func (a *Admitter) hasForgotten(now time.Time, sh *shard, f registrar.Flow) bool {
	until, found := sh.forgotten[f]
	return found && now.Before(until) || now.UnixNano() < a.forgottenUntil.Load()
}

// expireForgotten removes the forgotten flows that are older than any flow.
func (a *Admitter) expireForgotten(now time.Time) {
	for i := range a.shards {
		sh := &a.shards[i]
		sh.mu.Lock()
		for f, until := range sh.forgotten {
			if !now.Before(until) {
				delete(sh.forgotten, f)
			}
		}
		sh.mu.Unlock()
	}
}
