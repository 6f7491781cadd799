package leaser

import (
	"cmp"
	"slices"
	"time"

	"github.com/peridotstage/peridotstage/internal/control/subscriber"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// Instance is what one control instance answered when it was asked for its sessions.
type Instance struct {
	Name registrar.MachineName
	// Answered is false if the instance could not be asked. It may then still grant leases to nodes that reach it.
	Answered bool
	// StartedAt is the latest time at which the instance can have started. Leases that an earlier start of it granted are not
	// among its sessions.
	StartedAt time.Time
	Sessions  []Session
	// Peers is set by the leader of the control log.
	Peers []PeerBound
}

// PeerBound says, as the leader of the control log knows it, until when leases can last that another instance has granted.
type PeerBound struct {
	Name       registrar.MachineName
	LeaseUntil time.Time
}

// leasesUntil returns until when leases can last that an instance has granted but does not show among its sessions. bounded is
// false if nothing bounds them.
func leasesUntil(of Instance, all []Instance) (until time.Time, bounded bool) {
	if of.Answered {
		return of.StartedAt.Add(subscriber.LeaseBound), true
	}
	for _, i := range all {
		for _, p := range i.Peers {
			if p.Name != of.Name {
				continue
			}
			if bounded = true; p.LeaseUntil.After(until) {
				until = p.LeaseUntil
			}
		}
	}
	return until, bounded
}

// start identifies one start of a machine.
type start struct {
	machine     registrar.MachineName
	incarnation registrar.Incarnation
}

// Merge returns one session for each start of a machine: the newest report with the longest lease that any instance granted.
// The sessions are sorted by machine, the start that was heard last at the end.
func Merge(instances []Instance) []Session {
	merged := map[start]Session{}
	for _, i := range instances {
		for _, s := range i.Sessions {
			key := start{s.Machine.Name, s.Machine.Incarnation}
			old, ok := merged[key]
			if ok && !newer(s, old) {
				s, old = old, s
			}
			if old.LeaseUntil.After(s.LeaseUntil) {
				s.LeaseUntil = old.LeaseUntil
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

// newer compares two sessions of the same start. The node's own count decides, because clock readings of two instances
// include the time of the calls between them.
func newer(a, b Session) bool {
	if a.Sequence != b.Sequence {
		return a.Sequence > b.Sequence
	}
	return a.HeardAt.After(b.HeardAt)
}
