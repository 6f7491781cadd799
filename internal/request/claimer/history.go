package claimer

import (
	"slices"
	"time"

	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

const (
	// maxHolders bounds the number of agents that are asked to hold a ledger at a planned stop.
	maxHolders = 3
	// maxHistoryCandidates bounds the number of candidates in a history. Each takes about 60 bytes.
	maxHistoryCandidates = 16 << 10
)

// History holds the candidates of the current and recent epochs as an agent knows them.
type History struct {
	// KnownAt is the time from which all changes of owners are known.
	KnownAt time.Time
	Epochs  []Epoch
}

// History returns the epochs for an agent that has just started, or nil if they have too many candidates. It is correct only
// under a valid lease.
func (d *Directory) History() *History {
	d.mu.RLock()
	defer d.mu.RUnlock()
	candidateCount := 0
	for _, e := range d.epochs {
		candidateCount += len(e.Candidates)
	}
	if d.epochs == nil || candidateCount > maxHistoryCandidates {
		return nil
	}
	return &History{KnownAt: d.knownSince, Epochs: slices.Clone(d.epochs)}
}

// Inherit adds the history of an agent that has run for longer. The newest inherited epoch counts as ended now, so its owners are
// needed, with those known to this agent, for all keys that they may have granted. This covers changes between the
// configurations of the two agents too, because both configurations are at most as old as a lease.
func (d *Directory) Inherit(now time.Time, inherited History) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.epochs == nil || !inherited.KnownAt.Before(d.knownSince) {
		return
	}
	for _, e := range inherited.Epochs {
		if e.EndedAt.IsZero() {
			e.EndedAt = now
		}
		d.epochs = append(d.epochs, e)
	}
	d.knownSince = inherited.KnownAt
}

// HasConfiguration reports whether the agent has received a configuration.
func (d *Directory) HasConfiguration() bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.epochs != nil
}

// Agents returns all agents of the service, including those that may not own claims.
func (d *Directory) Agents() []Peer {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return slices.Clone(d.agents)
}

// Holders returns the agents that may hold the ledger of a machine, in the order in which to ask them.
func (d *Directory) Holders(m registrar.MachineName) []Peer {
	d.mu.RLock()
	defer d.mu.RUnlock()
	if len(d.epochs) == 0 {
		return nil
	}
	ranked, _ := rankCandidates(d.epochs[0].Candidates, func(c registrar.MachineName) uint64 {
		return scoreOf(c, RequestKey{Key: string(m)})
	})
	var peers []Peer
	for _, c := range ranked {
		if c.Machine != m && len(peers) < maxHolders {
			peers = append(peers, c.Peer)
		}
	}
	return peers
}
