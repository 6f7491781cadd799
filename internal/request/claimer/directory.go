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

// Candidate is an agent that may own claims.
type Candidate struct {
	Peer
	Zone registrar.ZoneName
	// Active is false while the agent is silent or about to stop. It then owns claims only where it is the third one.
	Active bool
}

// Epoch is the candidates between two changes.
type Epoch struct {
	Candidates []Candidate
	// EndedAt is when the next epoch began here; zero for the present one.
	EndedAt time.Time
}

// Directory knows the owners of each key at present and in the recent past.
type Directory struct {
	mu sync.RWMutex
	// knownAt is when the first configuration arrived here, or at the agent whose history was inherited. Earlier changes of
	// owners are not known here.
	knownAt time.Time
	// epochs are ordered newest first, inherited ones after the others.
	epochs []Epoch
	// agents are all agents of the service, whether they may own claims or not.
	agents []Peer
}

// Update takes the agents of the service into account.
func (d *Directory) Update(now time.Time, v registrar.ServiceView) {
	var next []Candidate
	var agents []Peer
	for _, u := range v.Upstreams {
		if !u.ControlAddress.IsValid() {
			continue
		}
		p := Peer{Machine: u.Machine, Address: u.ControlAddress}
		agents = append(agents, p)
		if !u.ZoneWithdrawn {
			next = append(next, Candidate{Peer: p, Zone: u.Zone, Active: !u.Draining && !u.Silent})
		}
	}
	slices.SortFunc(next, func(a, b Candidate) int { return cmp.Compare(a.Machine, b.Machine) })
	d.mu.Lock()
	defer d.mu.Unlock()
	d.agents = agents
	if d.epochs == nil {
		d.knownAt = now
		d.epochs = []Epoch{{Candidates: next}}
		return
	}
	if slices.Equal(d.epochs[0].Candidates, next) {
		return
	}
	d.epochs[0].EndedAt = now
	// Resends ask for keys until KeepAnswer after their deadline.
	d.epochs = slices.DeleteFunc(d.epochs, func(e Epoch) bool {
		return !e.EndedAt.IsZero() && now.After(e.EndedAt.Add(overlap+KeepAnswer))
	})
	d.epochs = slices.Insert(d.epochs, 0, Epoch{Candidates: next})
}

// Sets returns the sets of owners of which a majority each must agree, the present one first. known is false if other sets
// may have granted the request before this agent started; then an owner that knows them has to be asked.
func (d *Directory) Sets(k RequestKey, deadline time.Time) (sets []Set, known bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	for _, e := range d.epochs {
		if !e.EndedAt.IsZero() && deadline.After(e.EndedAt.Add(overlap)) {
			continue
		}
		s := choose(e.Candidates, k)
		if len(s) > 0 && !slices.ContainsFunc(sets, func(o Set) bool { return o.ID() == s.ID() }) {
			sets = append(sets, s)
		}
	}
	return sets, deadline.After(d.knownAt.Add(overlap))
}

// scored is a candidate with its score in rendezvous hashing.
type scored struct {
	Candidate
	score uint64
}

// rank orders candidates by rendezvous hashing.
func rank(all []Candidate, score func(registrar.MachineName) uint64) (active, inactive []scored) {
	for _, c := range all {
		if c.Active {
			active = append(active, scored{c, score(c.Machine)})
		} else {
			inactive = append(inactive, scored{c, score(c.Machine)})
		}
	}
	order := func(a, b scored) int { return cmp.Compare(b.score, a.score) }
	slices.SortFunc(active, order)
	slices.SortFunc(inactive, order)
	return active, inactive
}

// choose selects owners by rendezvous hashing, in different zones where possible. If only two agents are active, an inactive
// one is the third owner: the same two are a majority, and once it is back, the next one may stop. A set of the two alone would
// need both of them until its overlap has passed. Each majority of the two sets has an owner in common, so agents of an earlier
// version, which leave the third one out, may be mixed in.
func choose(all []Candidate, k RequestKey) Set {
	ranked, inactive := rank(all, func(m registrar.MachineName) uint64 { return score(m, k) })
	if len(ranked) == OwnerCount-1 && len(inactive) > 0 {
		ranked = append(ranked, inactive[0])
	}
	var s Set
	zones := map[registrar.ZoneName]bool{}
	for _, distinct := range []bool{true, false} {
		for _, c := range ranked {
			if len(s) == OwnerCount || slices.Contains(s, c.Peer) || distinct && zones[c.Zone] {
				continue
			}
			s = append(s, c.Peer)
			zones[c.Zone] = true
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
