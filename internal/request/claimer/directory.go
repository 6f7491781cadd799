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

// ownerOverlap is how long after a change of owners a majority of both the old and the new owners is needed: for the lifetime of
// a key, and until every agent that uses the old owners has lost its lease. A key with a deadline after the overlap cannot have
// been granted by the old owners, because its deadline was more than KeyAhead in the future then. For such a key the new owners
// suffice at once.
const ownerOverlap = KeyAhead + ClockError + subscriber.LeaseTime

// Set holds the owners of one key, ordered by machine.
type Set []Peer

// SetID identifies a set by a hash of its members.
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
	// Active is false while the agent is silent or draining. It then owns claims only as the third owner of a set.
	Active bool
}

// Epoch holds the candidates between two changes of the configuration.
type Epoch struct {
	Candidates []Candidate
	// EndedAt is the time at which this agent learned of the next epoch; zero for the current epoch.
	EndedAt time.Time
}

// Directory determines the current and the recent owners of each key.
type Directory struct {
	mu sync.RWMutex
	// knownSince is the time at which the first configuration arrived at this agent, or at the agent whose history was inherited.
	// Earlier changes of owners are unknown.
	knownSince time.Time
	// epochs are ordered newest first, inherited ones after the others.
	epochs []Epoch
	// agents holds all agents of the service, whether they may own claims or not.
	agents []Peer
}

// Update applies a new configuration of the service.
func (d *Directory) Update(now time.Time, v registrar.ServiceView) {
	var candidates []Candidate
	var agents []Peer
	for _, u := range v.Upstreams {
		if !u.ControlAddress.IsValid() {
			continue
		}
		p := Peer{Machine: u.Machine, Address: u.ControlAddress}
		agents = append(agents, p)
		if !u.ZoneWithdrawn {
			candidates = append(candidates, Candidate{Peer: p, Zone: u.Zone, Active: !u.Draining && !u.Silent})
		}
	}
	slices.SortFunc(candidates, func(a, b Candidate) int { return cmp.Compare(a.Machine, b.Machine) })
	d.mu.Lock()
	defer d.mu.Unlock()
	d.agents = agents
	if d.epochs == nil {
		d.knownSince = now
		d.epochs = []Epoch{{Candidates: candidates}}
		return
	}
	if slices.Equal(d.epochs[0].Candidates, candidates) {
		return
	}
	d.epochs[0].EndedAt = now
	// Callers may resend a request until AnswerRetention after the deadline of its key.
	d.epochs = slices.DeleteFunc(d.epochs, func(e Epoch) bool {
		return !e.EndedAt.IsZero() && now.After(e.EndedAt.Add(ownerOverlap+AnswerRetention))
	})
	d.epochs = slices.Insert(d.epochs, 0, Epoch{Candidates: candidates})
}

// Sets returns the owner sets of a request, the current one first; a decision needs a majority of each set. known is false if
// other sets may have granted the request before this agent started. An owner that knows them then has to be asked.
func (d *Directory) Sets(k RequestKey, deadline time.Time) (sets []Set, known bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	for _, e := range d.epochs {
		if !e.EndedAt.IsZero() && deadline.After(e.EndedAt.Add(ownerOverlap)) {
			continue
		}
		owners := chooseOwners(e.Candidates, k)
		if len(owners) > 0 && !slices.ContainsFunc(sets, func(other Set) bool { return other.ID() == owners.ID() }) {
			sets = append(sets, owners)
		}
	}
	return sets, deadline.After(d.knownSince.Add(ownerOverlap))
}

// scoredCandidate is a candidate with its score in rendezvous hashing.
type scoredCandidate struct {
	Candidate
	score uint64
}

// rankCandidates orders the active and the inactive candidates by rendezvous hashing.
func rankCandidates(candidates []Candidate, score func(registrar.MachineName) uint64) (active, inactive []scoredCandidate) {
	for _, c := range candidates {
		if c.Active {
			active = append(active, scoredCandidate{c, score(c.Machine)})
		} else {
			inactive = append(inactive, scoredCandidate{c, score(c.Machine)})
		}
	}
	order := func(a, b scoredCandidate) int { return cmp.Compare(b.score, a.score) }
	slices.SortFunc(active, order)
	slices.SortFunc(inactive, order)
	return active, inactive
}

// chooseOwners selects owners by rendezvous hashing, in different zones where possible. If only two agents are active, the third
// owner is an inactive one: the two active agents are a majority, and once the third is active again, another one may stop. A set
// of only two owners would need both of them until ownerOverlap has passed. Any majority of the set with three owners shares an
// owner with any majority of the set with two, so agents of an earlier version, which leave out the third owner, can coexist.
func chooseOwners(candidates []Candidate, k RequestKey) Set {
	ranked, inactive := rankCandidates(candidates, func(m registrar.MachineName) uint64 { return scoreOf(m, k) })
	if len(ranked) == OwnerCount-1 && len(inactive) > 0 {
		ranked = append(ranked, inactive[0])
	}
	var owners Set
	usedZones := map[registrar.ZoneName]bool{}
	for _, newZonesOnly := range []bool{true, false} {
		for _, c := range ranked {
			if len(owners) == OwnerCount || slices.Contains(owners, c.Peer) || newZonesOnly && usedZones[c.Zone] {
				continue
			}
			owners = append(owners, c.Peer)
			usedZones[c.Zone] = true
		}
	}
	slices.SortFunc(owners, func(a, b Peer) int { return cmp.Compare(a.Machine, b.Machine) })
	return owners
}

func scoreOf(m registrar.MachineName, k RequestKey) uint64 {
	h := xxhash.New()
	for _, part := range []string{string(k.Service), string(k.Customer), k.Key, string(m)} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}
