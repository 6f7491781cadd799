// Package subscriber applies the configuration updates that a node receives from control instances, and holds the node's lease,
// without which the node may not act on its configuration.
package subscriber

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// LeaseTime is how long a node may act on a confirmed revision. It is shorter than the 3 s within which a withdrawal takes effect,
// and longer than a leader failover.
const LeaseTime = 2500 * time.Millisecond

// LeaseBound is how long a lease of LeaseTime can last by another machine's clock. It allows for a clock drift of 10 %, as the
// lease of the control leader does.
const LeaseBound = LeaseTime + LeaseTime/10

// ErrBehind means that the node is still behind the revision of a reply after applying it.
var ErrBehind = eris.New("reply does not reach its revision")

// Reply is the answer of a control instance to a heartbeat.
type Reply struct {
	Revision registrar.Revision
	// Age is how old the instance's knowledge of Revision was when it replied. It shortens the lease.
	Age time.Duration
	// Granted is false if the instance may not know the newest confirmed revision.
	Granted bool
	// Updates take the configuration from the revision of the heartbeat to Revision. They are empty if State is set.
	Updates []registrar.Update
	// State replaces the configuration. At the node's own revision it repairs a configuration whose digest was wrong.
	State *registrar.State
	// WantEvidence requests complete evidence with the next heartbeat.
	WantEvidence bool
}

// Enforcer puts a configuration into force on the node.
type Enforcer interface {
	// Update is called after each change of the configuration.
	Update(w *registrar.World)
}

// Subscriber holds the configuration and the lease of one node. The exported fields are set before first use.
type Subscriber struct {
	World     *registrar.World
	Enforcers []Enforcer

	// servesWithoutLease lets the node act without a lease once it has had one.
	servesWithoutLease atomic.Bool
	// mu serialises the application of replies.
	mu sync.Mutex
	// expireAt is when the lease ends; nil before the first grant.
	expireAt atomic.Pointer[time.Time]
}

// Accept applies a reply to the heartbeat that was sent at sentAt. The lease is extended only after the revision of the reply is in
// force. The lease starts at sentAt, because control may have confirmed a newer revision at any time after sentAt.
func (s *Subscriber) Accept(sentAt time.Time, reply Reply) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed, err := s.apply(reply)
	if changed {
		for _, e := range s.Enforcers {
			e.Update(s.World)
		}
	}
	if err != nil {
		return err
	}
	if !reply.Granted {
		return nil
	}
	if s.World.Revision() < reply.Revision {
		return eris.Wrapf(ErrBehind, "have %d, reply names %d", s.World.Revision(), reply.Revision)
	}
	s.extend(sentAt.Add(LeaseTime - reply.Age))
	return nil
}

// apply applies the state or the updates of a reply. changed may be true together with an error, if a later update fails.
func (s *Subscriber) apply(reply Reply) (changed bool, err error) {
	if reply.State != nil && reply.State.Revision >= s.World.Revision() {
		return true, s.World.Restore(*reply.State)
	}
	for _, u := range reply.Updates {
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

// extend moves the end of the lease to until, unless the lease already ends later.
func (s *Subscriber) extend(until time.Time) {
	if current := s.expireAt.Load(); current == nil || until.After(*current) {
		s.expireAt.Store(&until)
	}
}

// Valid reports whether the node may act on its configuration: whether it holds a lease, or had one and may serve without it.
func (s *Subscriber) Valid(now time.Time) bool {
	until := s.expireAt.Load()
	if until == nil {
		return false
	}
	return s.servesWithoutLease.Load() || now.Before(*until)
}

// ConfirmedAt returns a time such that the configuration in force holds everything that control had confirmed by then; the zero time
// before the first grant. Unlike Valid, it does not depend on whether the node may serve without a lease.
func (s *Subscriber) ConfirmedAt() time.Time {
	if until := s.expireAt.Load(); until != nil {
		return until.Add(-LeaseTime)
	}
	return time.Time{}
}

// SetServesWithoutLease sets whether the node may act without a lease once it has had one.
func (s *Subscriber) SetServesWithoutLease(allowed bool) { s.servesWithoutLease.Store(allowed) }

// ExpireAt returns when the lease ends; the zero time before the first grant.
func (s *Subscriber) ExpireAt() time.Time {
	if until := s.expireAt.Load(); until != nil {
		return *until
	}
	return time.Time{}
}
