package admitter

import "github.com/peridotstage/peridotstage/internal/world/registrar"

// limitFlows sets the number of open flows that the upstream may hold; 0 means no limit.
func (u *upstream) limitFlows(n registrar.FlowCount) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.maxFlows = n
}

// fullLocked reports whether the upstream holds as many flows as it may. replacesOpen is true if the new flow replaces one of them.
func (u *upstream) fullLocked(replacesOpen bool) bool {
	open := u.openFlows
	if replacesOpen {
		open--
	}
	return u.maxFlows > 0 && open >= int(u.maxFlows)
}

// addOpenFlows changes the number of open flows by n. It reports whether the upstream has become full, or is full no longer.
func (u *upstream) addOpenFlows(n int) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	wasFull := u.fullLocked(false)
	u.openFlows += n
	return u.fullLocked(false) != wasFull
}

// startFlow counts a flow as open, unless it is counted already.
func (a *Admitter) startFlow(fl *flow) {
	if !fl.open {
		fl.open = true
		a.addOpenFlows(1)
	}
}

// endFlow stops counting a flow as open, if it is counted.
func (a *Admitter) endFlow(fl *flow) {
	if fl.open {
		fl.open = false
		a.addOpenFlows(-1)
	}
}

// addOpenFlows changes the number of open flows. Entries get a new report only if the limit is affected, because flows open and close
// too often.
func (a *Admitter) addOpenFlows(n int) {
	if a.upstream.addOpenFlows(n) {
		a.changes.Add(1)
	}
}

// Flows returns the number of flows that are opening or held.
func (a *Admitter) Flows() int {
	n := 0
	a.eachFlow(func(_ *shard, _ registrar.Flow, fl *flow) {
		if fl.phase == held || fl.phase == opening {
			n++
		}
	})
	return n
}
