package leaser

import (
	"time"

	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// Elsewhere knows the sessions of the other control instances.
type Elsewhere interface {
	// LeaseUntil returns the latest time at which a lease that any instance has granted to a machine can be valid.
	LeaseUntil(name registrar.MachineName) time.Time
}

// leaseUntil returns the latest time at which a machine's lease can be valid.
func (l *Leaser) leaseUntil(name registrar.MachineName) time.Time {
	s, _ := l.Session(name)
	if l.Elsewhere == nil {
		return s.LeaseUntil
	}
	if other := l.Elsewhere.LeaseUntil(name); other.After(s.LeaseUntil) {
		return other
	}
	return s.LeaseUntil
}
