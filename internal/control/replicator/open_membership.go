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
	// maxOpenMembers is the number of members, learners included, at which no further instance can join without an operator. It
	// bounds the load of the leader, which sends a heartbeat to each member every heartbeatInterval.
	maxOpenMembers = 64
	// suspectTimeout is how long a voter may be silent before the leader delays the promotion of a new instance, which may be
	// the replacement of that voter.
	suspectTimeout = 500 * time.Millisecond
	// replaceTimeout is how long a voter may be silent before a new instance replaces it, or before it is removed from a group
	// with an even number of voters. It is longer than the longest election, and shorter than the 4 s after which the group has
	// to tolerate a second loss.
	replaceTimeout = 2 * time.Second
	// minOpenVoters is the smallest number of voters at which a silent voter is removed without a replacement. Three voters
	// need a majority of two, like two voters.
	minOpenVoters = 4
)

// addressBook holds the addresses that instances sent in their messages, under its own lock. The zero value is ready to use.
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

// names returns the instances with an address, in no particular order.
func (b *addressBook) names() []registrar.MachineName {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return slices.Collect(maps.Keys(b.addresses))
}

// handleJoin handles a request to join. With open membership, a follower forwards it to the leader, because the new instance may
// know only followers.
func (r *Replica) handleJoin(m Message, b Join) {
	newcomer := Member{ID: m.From, Name: m.Sender, Address: m.Address, Volatile: b.Volatile}
	if b.Relayed != nil {
		newcomer = *b.Relayed
	}
	role, _ := r.elector.RoleAndLeader()
	leader, leaderKnown := r.Leader()
	switch {
	case role == elector.Leader:
		r.admit(newcomer)
	case r.Open && b.Relayed == nil && leaderKnown:
		r.send(Member{Name: leader.Name, Address: leader.Address}, Join{Relayed: &newcomer})
	}
}

// voterMayReturn is returned by replaceableVoter for a voter that is silent but may still come back.
const voterMayReturn = -2

// replaceableVoter returns the index of a voter that a new instance can replace. It returns -1 if all voters answer, and
// voterMayReturn if one has been silent for longer than suspectTimeout but not replaceTimeout.
func (r *Replica) replaceableVoter(now time.Time, members Members) int {
	result := -1
	for i, m := range members {
		if !m.Voter || m.ID == r.Self {
			continue
		}
		switch silence := r.silenceOf(now, m); {
		case silence > replaceTimeout:
			return i
		case silence > suspectTimeout:
			result = voterMayReturn
		}
	}
	return result
}

// silenceOf returns the time since a member last answered this leader, or since the leader began to send to it.
func (r *Replica) silenceOf(now time.Time, m Member) time.Duration {
	p := r.peer(m.ID)
	if p == nil {
		return 0
	}
	s := p.Status()
	if s.AnsweredAt.After(s.AddedAt) {
		return now.Sub(s.AnsweredAt)
	}
	return now.Sub(s.AddedAt)
}

// removeSilent removes one silent learner, or one silent voter if the number of voters is even. Without that voter the group
// needs one vote fewer: a majority is three of four voters, but two of three. A group with an odd number of voters would gain
// nothing, and the voter may return with the entries that it has stored.
func (r *Replica) removeSilent(now time.Time, members Members) {
	voters := len(r.log.Voters())
	for i, m := range members {
		if m.ID == r.Self {
			continue
		}
		lostLearner := !m.Voter && r.silenceOf(now, m) > joinTimeout
		lostVoter := m.Voter && voters >= minOpenVoters && voters%2 == 0 && r.silenceOf(now, m) > replaceTimeout
		if lostLearner || lostVoter {
			r.setMembers(slices.Delete(slices.Clone(members), i, i+1))
			return
		}
	}
}
