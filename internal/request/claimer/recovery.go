package claimer

import (
	"slices"
	"sync"
	"time"

	"github.com/peridotstage/peridotstage/internal/control/subscriber"
)

// Recovery searches for the ledger of the previous process. It ends with that ledger, or once every agent of the service has
// answered that it holds none. The exported fields are set before first use.
type Recovery struct {
	// Request is sent to the agents.
	Request   Fetch
	Owner     *Owner
	Directory *Directory
	Lease     Lease

	mu sync.Mutex
	// withoutLedger holds the agents that no longer hold a ledger of this machine.
	withoutLedger map[Peer]bool
}

// PeersToAsk returns the agents that have to be asked for the ledger; none without a valid lease.
func (r *Recovery) PeersToAsk(now time.Time) []Peer {
	if !r.Lease.Valid(now) {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.DeleteFunc(r.Directory.Agents(), func(p Peer) bool {
		return p.Machine == r.Request.Machine || r.withoutLedger[p]
	})
}

// HandleAnswer processes the answer of an agent and reports whether it restored the ledger.
func (r *Recovery) HandleAnswer(now time.Time, p Peer, f Fetched) bool {
	if f.Verdict != FetchNone && f.Verdict != FetchGiven {
		return false
	}
	r.mu.Lock()
	if r.withoutLedger == nil {
		r.withoutLedger = map[Peer]bool{}
	}
	r.withoutLedger[p] = true
	r.mu.Unlock()
	handover := f.Handover
	if handover == nil || f.Ledger == nil || handover.Machine != r.Request.Machine || handover.Service != r.Request.Service ||
		!r.Owner.Restore(now, *f.Ledger) {
		return false
	}
	if f.History != nil {
		r.Directory.Inherit(now, *f.History)
	}
	return true
}

// Settle ends the search for the ledger once all agents of a current configuration have been asked, and reports whether the
// search has ended. The agent that accepted the ledger was in the configuration when the ledger was sealed, before this agent
// started. A valid lease at LeaseTime after the start or later means that this agent has all configuration changes up to then.
func (r *Recovery) Settle(now time.Time) bool {
	if r.Owner.Settled(now) {
		return true
	}
	current := !now.Before(r.Request.StartedAt.Add(subscriber.LeaseTime)) && r.Lease.Valid(now) && r.Directory.HasConfiguration()
	if !current || len(r.PeersToAsk(now)) > 0 {
		return false
	}
	r.Owner.Clear(now)
	return r.Owner.Settled(now)
}
