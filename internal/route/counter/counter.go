// Package counter counts the packets of each customer and the drops of each reason at one machine.
package counter

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/peridotstage/peridotstage/internal/route/carrier"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

const shardCount = 16

// Customer holds the counts of one customer. The caller of its methods holds the lock of the customer's route, so that each
// packet is counted either before or after a cut.
type Customer struct {
	passed, dropped atomic.Uint64
	// passedBeforeCut is the value of passed at the time when this machine began to enforce the newest cut.
	passedBeforeCut atomic.Uint64
	// cutRevision is the revision of the newest cut that a route of the machine enforces.
	cutRevision atomic.Uint64
	// completedCutRevision is the revision of the newest cut that all routes of the machine enforce.
	completedCutRevision atomic.Uint64
	// lastPassed is the time of the last passed packet in milliseconds since the Unix epoch.
	lastPassed atomic.Int64
	liveFlows  atomic.Int64
}

// Pass counts a packet that was passed on at the given time.
func (c *Customer) Pass(now time.Time) {
	c.passed.Add(1)
	c.lastPassed.Store(now.UnixMilli())
}

// Drop counts a packet that was dropped.
func (c *Customer) Drop() { c.dropped.Add(1) }

// AddFlows changes the number of live flows.
func (c *Customer) AddFlows(n int64) { c.liveFlows.Add(n) }

// RecordCut records that a route of the machine enforces the cut at the given revision: packets that pass after the first call
// count as passed after the cut. Further calls for the same cut have no effect.
func (c *Customer) RecordCut(revision registrar.Revision) {
	if c.cutRevision.Swap(uint64(revision)) != uint64(revision) {
		c.passedBeforeCut.Store(c.passed.Load())
	}
}

// completeCut sets the count of packets passed after a cut to zero once all routes of the machine enforce the cut. RecordCut
// starts that count at the first route that enforces the cut. Until the customer's routes to other services enforce it too,
// packets that they pass are counted as passed after the cut.
func (c *Customer) completeCut(revision registrar.Revision) {
	if c.completedCutRevision.Load() == uint64(revision) {
		return
	}
	c.RecordCut(revision)
	c.passedBeforeCut.Store(c.passed.Load())
	c.completedCutRevision.Store(uint64(revision))
}

// Update completes the cuts of a configuration. It is called after all routes of the machine enforce the configuration; packets
// that a route still passes after an earlier call would be counted as passed after the cut.
func (c *Counter) Update(w *registrar.World) {
	for _, customer := range w.Customers() {
		if customer.Cut {
			c.Customer(customer.Name).completeCut(customer.CutRevision)
		}
	}
}

// Evidence is a snapshot of the counts of one customer.
type Evidence struct {
	Customer        registrar.CustomerName `json:"customer"`
	Passed          uint64                 `json:"passed"`
	Dropped         uint64                 `json:"dropped"`
	PassedSinceCut  uint64                 `json:"passed_since_cut"`
	LiveFlows       uint64                 `json:"live_flows"`
	LastPassedMilli int64                  `json:"last_passed_unix_ms"`
	// CutRevision is the newest cut that all routes of the machine have enforced; 0 for none.
	CutRevision registrar.Revision `json:"cut_revision"`
}

type shard struct {
	mu        sync.RWMutex
	customers map[registrar.CustomerName]*Customer
}

// Counter holds the counts of one machine. The zero value is ready for use.
type Counter struct {
	shards [shardCount]shard
	drops  [carrier.DropReasonCount]atomic.Uint64
}

// Customer returns the counts of a customer. The first call for a customer creates them.
func (c *Counter) Customer(name registrar.CustomerName) *Customer {
	s := &c.shards[xxhash.Sum64String(string(name))%shardCount]
	s.mu.RLock()
	counts := s.customers[name]
	s.mu.RUnlock()
	if counts != nil {
		return counts
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.customers == nil {
		s.customers = map[registrar.CustomerName]*Customer{}
	}
	if s.customers[name] == nil {
		s.customers[name] = &Customer{}
	}
	return s.customers[name]
}

// Drop counts a drop by reason.
func (c *Counter) Drop(r carrier.DropReason) { c.drops[r].Add(1) }

// Drops returns the number of drops for a reason.
func (c *Counter) Drops(r carrier.DropReason) uint64 { return c.drops[r].Load() }

// Evidence returns the counts of all customers sorted by name.
func (c *Counter) Evidence() []Evidence {
	var all []Evidence
	for i := range c.shards {
		s := &c.shards[i]
		s.mu.RLock()
		for name, counts := range s.customers {
			// The cut is read before the counts, so that counts are never older than the cut that they are reported with.
			cutRevision := registrar.Revision(counts.completedCutRevision.Load())
			passed := counts.passed.Load()
			e := Evidence{
				Customer: name, CutRevision: cutRevision, Passed: passed, Dropped: counts.dropped.Load(),
				LiveFlows: uint64(max(counts.liveFlows.Load(), 0)), LastPassedMilli: counts.lastPassed.Load(),
			}
			if counts.cutRevision.Load() != 0 {
				e.PassedSinceCut = passed - min(counts.passedBeforeCut.Load(), passed)
			}
			all = append(all, e)
		}
		s.mu.RUnlock()
	}
	slices.SortFunc(all, func(a, b Evidence) int { return cmp.Compare(a.Customer, b.Customer) })
	return all
}
