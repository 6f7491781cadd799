package replicator

import (
	"slices"
	"time"
)

// volatiles is where the members stand that keep nothing when their processes end.
type volatiles struct {
	// voter is the index of one that votes, another than the leader if there is one; -1 if none does.
	voter int
	// durable is true if a member keeps what it stores, and durableVoter if one of those votes.
	durable, durableVoter bool
}

func (r *Replica) volatiles(members Members) volatiles {
	v := volatiles{voter: -1}
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

// durable reports whether what the voters confirm outlasts their processes, or whether no instance could do better. At the
// start one that could may not have joined yet.
func (r *Replica) durable(now time.Time) bool {
	members, _ := r.log.Members()
	v := r.volatiles(members)
	return v.voter < 0 || !v.durable && now.Sub(r.startedAt) > joinTime
}

// demote takes the vote of an instance that keeps nothing, once one that keeps what it stores votes and has caught up. It
// reports whether it has written a change.
func (r *Replica) demote(now time.Time, members Members) bool {
	v := r.volatiles(members)
	if v.voter < 0 || !v.durableVoter || !r.durableCaughtUp(now, members) {
		return false
	}
	next := slices.Clone(members)
	next[v.voter].Voter, next[v.voter].Returning = false, true
	r.setMembers(next)
	return true
}

// durableCaughtUp reports whether a durable voter, this leader or another, holds nearly all entries.
func (r *Replica) durableCaughtUp(now time.Time, members Members) bool {
	return slices.ContainsFunc(members, func(m Member) bool {
		return m.Voter && !m.Volatile && (m.ID == r.Self || r.hasCaughtUp(now, m))
	})
}
