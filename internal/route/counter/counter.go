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

// Customer holds the counts of one customer. Its fields are updated while the caller holds the lock of the route that
// names the customer, so that a count falls clearly before or after a cut.
type Customer struct {
	passed, dropped atomic.Uint64
	// passedBeforeCut is the value of passed when the newest cut came into force here.
	passedBeforeCut atomic.Uint64
	cutAt           atomic.Uint64
	// settledAt is the cut that all routes of the machine enforce.
	settledAt  atomic.Uint64
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

// EnforceCut sets the point from which passed packets count as passed since the cut at the given revision.
func (c *Customer) EnforceCut(at registrar.Revision) {
	if c.cutAt.Swap(uint64(at)) != uint64(at) {
		c.passedBeforeCut.Store(c.passed.Load())
	}
}

// settle sets the point from which no packet may pass, once all routes enforce the cut. EnforceCut alone counts packets that
// another service of the customer passes before its own route is replaced.
func (c *Customer) settle(at registrar.Revision) {
	if c.settledAt.Load() == uint64(at) {
		return
	}
	c.EnforceCut(at)
	c.passedBeforeCut.Store(c.passed.Load())
	c.settledAt.Store(uint64(at))
}

// Update settles the cuts of a configuration. It must run after all routes of the machine enforce the configuration.
func (c *Counter) Update(w *registrar.World) {
	for _, customer := range w.Customers() {
		if customer.Cut {
			c.Customer(customer.Name).settle(customer.CutAt)
		}
	}
}

// Evidence is a copy of the counts of one customer.
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

// Customer returns the counts of a customer, which are created when first asked for.
func (c *Counter) Customer(name registrar.CustomerName) *Customer {
	s := &c.shards[xxhash.Sum64String(string(name))%shardCount]
	s.mu.RLock()
	v := s.customers[name]
	s.mu.RUnlock()
	if v != nil {
		return v
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
		for name, v := range s.customers {
			// The cut is read before the counts, so that counts are never older than the cut that they are reported with.
			cut := registrar.Revision(v.settledAt.Load())
			passed := v.passed.Load()
			e := Evidence{
				Customer: name, CutRevision: cut, Passed: passed, Dropped: v.dropped.Load(),
				LiveFlows: uint64(max(v.liveFlows.Load(), 0)), LastPassedMilli: v.lastPassed.Load(),
			}
			if v.cutAt.Load() != 0 {
				e.PassedSinceCut = passed - min(v.passedBeforeCut.Load(), passed)
			}
			all = append(all, e)
		}
		s.mu.RUnlock()
	}
	slices.SortFunc(all, func(a, b Evidence) int { return cmp.Compare(a.Customer, b.Customer) })
	return all
}
