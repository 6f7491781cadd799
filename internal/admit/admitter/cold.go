package admitter

import (
	"math"
	"time"
)

// maxStartDifference is how long before this agent process the upstream may have started, by its own clock, for its check-ins to prove
// that no earlier agent process admitted a flow to it. A check-in with sequence 1 can be held up while an earlier agent process gets the
// next one, which an upstream sends after a time-out of a second. A larger difference therefore proves nothing.
const maxStartDifference = time.Second

// allowanceLocked returns how many opening packets a cold upstream may get now. Retransmitted opening packets count as well, because an
// upstream that has restarted takes them for new flows. In the first coldWindow of the agent the allowance is 0 if an earlier process of
// the agent may just have used it up.
func (u *upstream) allowanceLocked(now time.Time, a *Admitter) int {
	if now.Before(a.StartedAt.Add(coldWindow)) && !u.startedWithAgentLocked(now, a) {
		return 0
	}
	// The conversion of a float that an int does not hold depends on the processor.
	perSecond := min(max(math.Floor(u.coldRate*a.ColdFactor+a.ColdSlack), 0), math.MaxUint16)
	return max(int(perSecond)-len(u.admittedAt), 0)
}

// startedWithAgentLocked reports whether no earlier agent process can have admitted a flow to the running process of the upstream.
// Besides the evidence of the check-ins, the upstream must say that it started at most maxStartDifference before this agent process, and
// not in the future.
func (u *upstream) startedWithAgentLocked(now time.Time, a *Admitter) bool {
	startedAt := time.UnixMilli(u.process.StartedMilli)
	return u.admittedAllFlowsLocked() && startedAt.After(a.StartedAt.Add(-maxStartDifference)) && !startedAt.After(now)
}

// countRetransmission counts a retransmission of an admitted flow's opening packet against the allowance. It reports whether the packet
// may be delivered.
func (u *upstream) countRetransmission(now time.Time, a *Admitter) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.trimAdmittedLocked(now)
	if u.coldLocked(now) && u.allowanceLocked(now, a) == 0 {
		return false
	}
	u.admittedAt = append(u.admittedAt, now)
	return true
}
