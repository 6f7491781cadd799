package claimer

import (
	"slices"
	"time"

	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

const (
	// maxHolders bounds the agents that are asked to hold a ledger at a planned stop.
	maxHolders = 3
	// maxHistory bounds the candidates in a history, which takes about 60 bytes for each.
	maxHistory = 16 << 10
)

// History is what an agent knows about the owners of the recent past.
type History struct {
	// KnownAt is the time since which all changes of owners are known.
	KnownAt time.Time
	Epochs  []Epoch
}

// History returns the epochs for an agent that has just started, or nil if there are too many of them. It counts only under a
// valid lease.
func (d *Directory) History() *History {
	d.mu.RLock()
	defer d.mu.RUnlock()
	n := 0
	for _, e := range d.epochs {
		n += len(e.Candidates)
	}
	if d.epochs == nil || n > maxHistory {
		return nil
	}
	return &History{KnownAt: d.knownAt, Epochs: slices.Clone(d.epochs)}
}

// Inherit adds the history of an agent that has run for longer. The newest epoch there counts as ended now, so it is joined
// with the owners known here for as long as any key that its agents may have granted. That covers changes between the two
// configurations too, because both are at most as old as a lease.
func (d *Directory) Inherit(now time.Time, h History) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.epochs == nil || !h.KnownAt.Before(d.knownAt) {
		return
	}
	for _, e := range h.Epochs {
		if e.EndedAt.IsZero() {
			e.EndedAt = now
		}
		d.epochs = append(d.epochs, e)
	}
	d.knownAt = h.KnownAt
}

// Known reports whether a configuration has arrived.
func (d *Directory) Known() bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.epochs != nil
}

// Agents returns all agents of the service, also those that may not own claims at present.
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
	ranked, _ := rank(d.epochs[0].Candidates, func(c registrar.MachineName) uint64 {
		return score(c, RequestKey{Key: string(m)})
	})
	var peers []Peer
	for _, c := range ranked {
		if c.Machine != m && len(peers) < maxHolders {
			peers = append(peers, c.Peer)
		}
	}
	return peers
}
