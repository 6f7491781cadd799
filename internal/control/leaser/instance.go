package leaser

import (
	"cmp"
	"slices"
	"time"

	"github.com/peridotstage/peridotstage/internal/control/subscriber"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// Instance is the answer of one control instance to a request for its sessions.
type Instance struct {
	Name registrar.MachineName
	// Answered is false if the instance did not answer. It may still grant leases to nodes that reach it.
	Answered bool
	// StartedAt is the latest time at which the instance can have started. Its sessions do not include the leases that the instance
	// granted before a restart.
	StartedAt time.Time
	Sessions  []Session
	// Peers holds the bounds on the leases of the other instances. Only the leader of the control log sets it.
	Peers []PeerBound
}

// PeerBound is what the leader of the control log knows about the leases that another instance has granted.
type PeerBound struct {
	Name registrar.MachineName
	// LeaseUntil is the latest time at which a lease granted by the instance can still be valid.
	LeaseUntil time.Time
}

// unlistedLeaseUntil returns the latest time at which a lease that the instance granted, but does not list in its sessions, can
// still be valid. bounded is false if no such time is known.
func unlistedLeaseUntil(instance Instance, all []Instance) (until time.Time, bounded bool) {
	if instance.Answered {
		return instance.StartedAt.Add(subscriber.LeaseBound), true
	}
	for _, i := range all {
		for _, p := range i.Peers {
			if p.Name != instance.Name {
				continue
			}
			if bounded = true; p.LeaseUntil.After(until) {
				until = p.LeaseUntil
			}
		}
	}
	return until, bounded
}

// sessionKey identifies one incarnation of a machine.
type sessionKey struct {
	machine     registrar.MachineName
	incarnation registrar.Incarnation
}

// Merge returns one session for each incarnation of a machine: the newest heartbeat with the longest lease that any instance
// granted. The sessions are sorted by machine, then by the time of the last heartbeat.
func Merge(instances []Instance) []Session {
	merged := map[sessionKey]Session{}
	for _, i := range instances {
		for _, s := range i.Sessions {
			key := sessionKey{s.Machine.Name, s.Machine.Incarnation}
			other, ok := merged[key]
			if ok && !newer(s, other) {
				s, other = other, s
			}
			if other.LeaseUntil.After(s.LeaseUntil) {
				s.LeaseUntil = other.LeaseUntil
			}
			merged[key] = s
		}
	}
	all := make([]Session, 0, len(merged))
	for _, s := range merged {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b Session) int {
		return cmp.Or(cmp.Compare(a.Machine.Name, b.Machine.Name), a.HeardAt.Compare(b.HeardAt),
			cmp.Compare(a.Machine.Incarnation, b.Machine.Incarnation))
	})
	return all
}

// newer reports whether a is newer than b, for two sessions of the same incarnation. It compares the node's sequence numbers
// first, because clock readings of different instances include the duration of the calls between them.
func newer(a, b Session) bool {
	if a.Sequence != b.Sequence {
		return a.Sequence > b.Sequence
	}
	return a.HeardAt.After(b.HeardAt)
}
