package replicator

import (
	"slices"
	"time"
)

// volatileSummary summarizes which members store the log on disk and which are volatile.
type volatileSummary struct {
	// voter is the index of a volatile voter, preferably one that is not the leader, or -1 if there is none.
	voter int
	// durable is true if a member has a disk, durableVoter if a voter has one.
	durable, durableVoter bool
}

// summarizeVolatile returns the summary of a membership.
func (r *Replica) summarizeVolatile(members Members) volatileSummary {
	v := volatileSummary{voter: -1}
	for i, m := range members {
		switch {
		case !m.Volatile:
			v.durable, v.durableVoter = true, v.durableVoter || m.Voter
		case m.Voter && (v.voter < 0 || m.ID != r.Self):
			v.voter = i
		}
	}
	return v
}

// confirmsDurably reports whether no voter is volatile, or whether no member has a disk. Just after the start of the leader,
// instances with a disk may not have joined yet, so it waits for joinTimeout before it accepts that there are none.
func (r *Replica) confirmsDurably(now time.Time) bool {
	members, _ := r.log.Members()
	v := r.summarizeVolatile(members)
	return v.voter < 0 || !v.durable && now.Sub(r.startedAt) > joinTimeout
}

// demoteVolatile makes a volatile voter a learner, once a voter with a disk has caught up. It reports whether it has written a
// change.
func (r *Replica) demoteVolatile(now time.Time, members Members) bool {
	v := r.summarizeVolatile(members)
	if v.voter < 0 || !v.durableVoter || !r.durableCaughtUp(now, members) {
		return false
	}
	next := slices.Clone(members)
	next[v.voter].Voter, next[v.voter].Returning = false, true
	r.setMembers(next)
	return true
}

// durableCaughtUp reports whether a voter with a disk, this leader or another, has nearly all entries.
func (r *Replica) durableCaughtUp(now time.Time, members Members) bool {
	return slices.ContainsFunc(members, func(m Member) bool {
		return m.Voter && !m.Volatile && (m.ID == r.Self || r.hasCaughtUp(now, m))
	})
}
