package claimer

import (
	"slices"
	"sync"
	"time"

	"github.com/peridotstage/peridotstage/internal/control/subscriber"
)

// Recovery looks for the ledger of the process before this one. It ends with that ledger, or once every agent of the service
// has said that it holds none. The exported fields are set before first use.
type Recovery struct {
	Question  Fetch
	Owner     *Owner
	Directory *Directory
	Lease     Lease

	mu sync.Mutex
	// answered are the agents that hold no ledger any more.
	answered map[Peer]bool
}

// Ask returns the agents to ask. They are none without a valid configuration.
func (r *Recovery) Ask(now time.Time) []Peer {
	if !r.Lease.Valid(now) {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.DeleteFunc(r.Directory.Agents(), func(p Peer) bool {
		return p.Machine == r.Question.Machine || r.answered[p]
	})
}

// Heard takes the answer of an agent and reports whether it restored the ledger.
func (r *Recovery) Heard(now time.Time, p Peer, f Fetched) bool {
	if f.Verdict != FetchNone && f.Verdict != FetchGiven {
		return false
	}
	r.mu.Lock()
	if r.answered == nil {
		r.answered = map[Peer]bool{}
	}
	r.answered[p] = true
	r.mu.Unlock()
	o := f.Handover
	if o == nil || f.Ledger == nil || o.Machine != r.Question.Machine || o.Service != r.Question.Service ||
		!r.Owner.Restore(now, *f.Ledger) {
		return false
	}
	if f.History != nil {
		r.Directory.Inherit(now, *f.History)
	}
	return true
}

// Settle reports whether the search is over. An agent that accepted the ledger was in the configuration when the ledger was
// sealed, and a valid lease brings all changes of that time within LeaseTime after the start.
func (r *Recovery) Settle(now time.Time) bool {
	if r.Owner.Settled(now) {
		return true
	}
	known := !now.Before(r.Question.StartedAt.Add(subscriber.LeaseTime)) && r.Lease.Valid(now) && r.Directory.Known()
	if !known || len(r.Ask(now)) > 0 {
		return false
	}
	r.Owner.Clear(now)
	return r.Owner.Settled(now)
}
