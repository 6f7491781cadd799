package replicator

import (
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/peridotstage/peridotstage/internal/control/elector"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

const (
	// maxOpenMembers bounds the members, learners included, that join without an operator. The leader sends a heartbeat to each
	// of them every heartbeatInterval.
	maxOpenMembers = 64
	// suspectTime is how long a voter may be silent before a newcomer waits to see whether it has come to replace the voter.
	suspectTime = 500 * time.Millisecond
	// replaceTime is how long a voter may be silent before a newcomer takes its place, or before an even group goes on without
	// it. It is above the longest election, and below the 4 s after which a second loss must be borne.
	replaceTime = 2 * time.Second
	// minOpenVoters is the smallest group that voters which are gone are dropped from without a replacement. A group of three
	// needs two voters like a group of two.
	minOpenVoters = 4
)

// addressBook holds the addresses that instances have named themselves, under its own lock. The zero value is ready for use.
type addressBook struct {
	mu        sync.RWMutex
	addresses map[registrar.MachineName]netip.AddrPort
}

func (b *addressBook) put(name registrar.MachineName, a netip.AddrPort) {
	if !a.IsValid() || b.address(name) == a {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.addresses == nil {
		b.addresses = map[registrar.MachineName]netip.AddrPort{}
	}
	b.addresses[name] = a
}

func (b *addressBook) address(name registrar.MachineName) netip.AddrPort {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.addresses[name]
}

// names returns the instances that the book has, in no order.
func (b *addressBook) names() []registrar.MachineName {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return slices.Collect(maps.Keys(b.addresses))
}

// takeJoin handles a request to join. An instance that does not lead passes it on, because the newcomer may know only
// instances that do not lead.
func (r *Replica) takeJoin(m Message, b Join) {
	newcomer := Member{ID: m.From, Name: m.Sender, Address: m.Address, Volatile: b.Volatile}
	if b.Relayed != nil {
		newcomer = *b.Relayed
	}
	role, _ := r.elector.Standing()
	leader, known := r.Leader()
	switch {
	case role == elector.Leader:
		r.join(newcomer)
	case r.Open && b.Relayed == nil && known:
		r.send(Member{Name: leader.Name, Address: leader.Address}, Join{Relayed: &newcomer})
	}
}

// undecided says that a silent voter may be gone or may come back.
const undecided = -2

// replaceable returns the index of a voter that a newcomer takes the place of. It is -1 if all voters answer, and undecided if
// one is silent but may not be gone.
func (r *Replica) replaceable(now time.Time, members Members) int {
	at := -1
	for i, m := range members {
		if !m.Voter || m.ID == r.Self {
			continue
		}
		switch silence := r.silence(now, m); {
		case silence > replaceTime:
			return i
		case silence > suspectTime:
			at = undecided
		}
	}
	return at
}

// silence returns for how long this leader has not heard a member.
func (r *Replica) silence(now time.Time, m Member) time.Duration {
	p := r.peer(m.ID)
	if p == nil {
		return 0
	}
	s := p.Status()
	if s.HeardAt.After(s.AddedAt) {
		return now.Sub(s.HeardAt)
	}
	return now.Sub(s.AddedAt)
}

// dropGone removes learners that are gone, and a voter that is gone from an even group. The group then bears as many further
// failures as before with fewer voters: three of four must agree, and two of three. An odd group would gain nothing, and the
// voter may return with what it has stored.
func (r *Replica) dropGone(now time.Time, members Members) {
	voters := len(r.log.Voters())
	for i, m := range members {
		if m.ID == r.Self {
			continue
		}
		idle := !m.Voter && r.silence(now, m) > joinTime
		gone := m.Voter && voters >= minOpenVoters && voters%2 == 0 && r.silence(now, m) > replaceTime
		if idle || gone {
			r.setMembers(slices.Delete(slices.Clone(members), i, i+1))
			return
		}
	}
}
