// Package subscriber is the node side of distribution: it applies the updates that control sends and holds the lease
// that lets the node act on them.
package subscriber

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// LeaseTime is how long a node may act on a confirmed revision. It is below the 3 s in which a withdrawal must be in force
// and above the time of a leader failover.
const LeaseTime = 2500 * time.Millisecond

// LeaseBound is how long a lease of LeaseTime can last by another machine's clock. The speeds of clocks may differ by as much as
// the lease of the control leader allows for.
const LeaseBound = LeaseTime + LeaseTime/10

// ErrBehind means that a reply did not bring the node to the revision it names.
var ErrBehind = eris.New("reply does not reach its revision")

// Reply is the answer of a control instance to a heartbeat.
type Reply struct {
	Revision registrar.Revision
	// Age is how old the instance's knowledge of Revision was when it replied.
	Age time.Duration
	// Granted is false if the instance cannot vouch for Revision.
	Granted bool
	// Updates lead from the revision of the heartbeat to Revision. They are empty if State is set.
	Updates []registrar.Update
	// State replaces the configuration. At the node's own revision it repairs a configuration whose digest was wrong.
	State *registrar.State
	// WantEvidence asks for complete evidence with the next heartbeat.
	WantEvidence bool
}

// Enforcer puts a configuration into force on the node.
type Enforcer interface {
	Update(w *registrar.World)
}

// Subscriber holds the configuration and the lease of one node. The exported fields are set before first use.
type Subscriber struct {
	World     *registrar.World
	Enforcers []Enforcer

	// serveExpired lets the node act without a lease once it has had one.
	serveExpired atomic.Bool
	// mu orders replies.
	mu sync.Mutex
	// expireAt is when the lease ends; nil before the first grant.
	expireAt atomic.Pointer[time.Time]
}

// Accept applies a reply to the heartbeat that was sent at sentAt. The lease is extended only after the revision of the
// reply is in force, and runs from sentAt, because control may have confirmed a newer revision at any time after it.
func (s *Subscriber) Accept(sentAt time.Time, r Reply) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed, err := s.apply(r)
	if changed {
		for _, e := range s.Enforcers {
			e.Update(s.World)
		}
	}
	if err != nil {
		return err
	}
	if !r.Granted {
		return nil
	}
	if s.World.Revision() < r.Revision {
		return eris.Wrapf(ErrBehind, "have %d, reply names %d", s.World.Revision(), r.Revision)
	}
	s.extend(sentAt.Add(LeaseTime - r.Age))
	return nil
}

// apply reports whether the configuration was changed, which may be so even if a later update fails.
func (s *Subscriber) apply(r Reply) (changed bool, err error) {
	if r.State != nil && r.State.Revision >= s.World.Revision() {
		return true, s.World.Restore(*r.State)
	}
	for _, u := range r.Updates {
		if u.Revision <= s.World.Revision() {
			continue
		}
		if err := s.World.Apply(u); err != nil {
			return changed, err
		}
		changed = true
	}
	return changed, nil
}

func (s *Subscriber) extend(until time.Time) {
	if old := s.expireAt.Load(); old == nil || until.After(*old) {
		s.expireAt.Store(&until)
	}
}

// Valid reports whether the node may act on its configuration.
func (s *Subscriber) Valid(now time.Time) bool {
	until := s.expireAt.Load()
	if until == nil {
		return false
	}
	return s.serveExpired.Load() || now.Before(*until)
}

// ServeExpired sets whether the node may act without a lease once it has had one.
func (s *Subscriber) ServeExpired(allowed bool) { s.serveExpired.Store(allowed) }

// ExpireAt returns when the lease ends; the zero time before the first grant.
func (s *Subscriber) ExpireAt() time.Time {
	if until := s.expireAt.Load(); until != nil {
		return *until
	}
	return time.Time{}
}
