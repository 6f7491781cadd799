package claimer

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/peridotstage/peridotstage/internal/control/subscriber"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// overlap is how long majorities of both the old and the new owners are needed after a change: as long as a key lives, and
// until every agent that uses the old owners has lost its lease. A key whose deadline lies beyond the overlap cannot have been
// granted by the old owners, because it would have been too far ahead for them, so the new ones suffice for it at once.
const overlap = KeyAhead + ClockError + subscriber.LeaseTime

// Set is the owners of one key.
type Set []Peer

// SetID identifies a set by its members.
type SetID uint64

// ID returns the id of the set.
func (s Set) ID() SetID {
	h := xxhash.New()
	for _, p := range s {
		_, _ = h.WriteString(string(p.Machine))
		_, _ = h.Write([]byte{0})
	}
	return SetID(h.Sum64())
}

// candidate is an agent that may own claims.
type candidate struct {
	Peer
	zone registrar.ZoneName
}

// epoch is the candidates between two changes.
type epoch struct {
	candidates []candidate
	// endedAt is when the next epoch began here; zero for the present one.
	endedAt time.Time
}

// Directory knows the owners of each key at present and in the recent past.
type Directory struct {
	mu sync.RWMutex
	// knownAt is when the first configuration arrived. Earlier changes of owners are not known here.
	knownAt time.Time
	// epochs are ordered newest first.
	epochs []epoch
}

// Update takes the agents of the service into account.
func (d *Directory) Update(now time.Time, v registrar.ServiceView) {
	var next []candidate
	for _, u := range v.Upstreams {
		if u.ZoneWithdrawn || u.Draining || u.Silent || !u.ControlAddress.IsValid() {
			continue
		}
		next = append(next, candidate{Peer: Peer{Machine: u.Machine, Address: u.ControlAddress}, zone: u.Zone})
	}
	slices.SortFunc(next, func(a, b candidate) int { return cmp.Compare(a.Machine, b.Machine) })
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.epochs == nil {
		d.knownAt = now
		d.epochs = []epoch{{candidates: next}}
		return
	}
	if slices.Equal(d.epochs[0].candidates, next) {
		return
	}
	d.epochs[0].endedAt = now
	// Resends ask for keys until KeepAnswer after their deadline.
	d.epochs = slices.DeleteFunc(d.epochs, func(e epoch) bool {
		return !e.endedAt.IsZero() && now.After(e.endedAt.Add(overlap+KeepAnswer))
	})
	d.epochs = slices.Insert(d.epochs, 0, epoch{candidates: next})
}

// Sets returns the sets of owners of which a majority each must agree, the present one first. known is false if other sets
// may have granted the request before this agent started; then an owner that knows them has to be asked.
func (d *Directory) Sets(k RequestKey, deadline time.Time) (sets []Set, known bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	for _, e := range d.epochs {
		if !e.endedAt.IsZero() && deadline.After(e.endedAt.Add(overlap)) {
			continue
		}
		s := choose(e.candidates, k)
		if len(s) > 0 && !slices.ContainsFunc(sets, func(o Set) bool { return o.ID() == s.ID() }) {
			sets = append(sets, s)
		}
	}
	return sets, deadline.After(d.knownAt.Add(overlap))
}

// choose selects owners by rendezvous hashing, in different zones where possible.
func choose(all []candidate, k RequestKey) Set {
	type scored struct {
		candidate
		score uint64
	}
	var ranked []scored
	for _, c := range all {
		ranked = append(ranked, scored{c, score(c.Machine, k)})
	}
	slices.SortFunc(ranked, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	var s Set
	zones := map[registrar.ZoneName]bool{}
	for _, distinct := range []bool{true, false} {
		for _, c := range ranked {
			if len(s) == OwnerCount || slices.Contains(s, c.Peer) || distinct && zones[c.zone] {
				continue
			}
			s = append(s, c.Peer)
			zones[c.zone] = true
		}
	}
	slices.SortFunc(s, func(a, b Peer) int { return cmp.Compare(a.Machine, b.Machine) })
	return s
}

func score(m registrar.MachineName, k RequestKey) uint64 {
	h := xxhash.New()
	for _, part := range []string{string(k.Service), string(k.Customer), k.Key, string(m)} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}
