package burner

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// ForwardBounds are the upper bounds of the buckets in which entries count forwarding times.
var ForwardBounds = [...]time.Duration{
	5 * time.Microsecond, 10 * time.Microsecond, 20 * time.Microsecond, 50 * time.Microsecond, 100 * time.Microsecond,
	200 * time.Microsecond, 500 * time.Microsecond, 1 * time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond,
	10 * time.Millisecond, 50 * time.Millisecond,
}

// ForwardBucketCount is the number of buckets: one for each bound, and one for times beyond the last bound.
const ForwardBucketCount = len(ForwardBounds) + 1

// ForwardCounts are the counts of datagrams of one service at entries.
type ForwardCounts struct {
	Service registrar.ServiceName `json:"service"`
	// Passed counts forwarded datagrams by the time from reading to sending.
	Passed [ForwardBucketCount]uint64 `json:"passed"`
	// Dropped counts refused and dropped datagrams.
	Dropped uint64 `json:"dropped"`
}

func (c *ForwardCounts) add(o ForwardCounts) {
	for i, n := range o.Passed {
		c.Passed[i] += n
	}
	c.Dropped += o.Dropped
}

// Total returns the number of forwarded datagrams.
func (c *ForwardCounts) Total() uint64 {
	var sum uint64
	for _, n := range c.Passed {
		sum += n
	}
	return sum
}

// Quantile returns the bound within which a share of the datagrams was forwarded. It returns 0 if the bound would be beyond the
// last one, or if there were no datagrams.
func (c *ForwardCounts) Quantile(share float64) time.Duration {
	rank, sum := share*float64(c.Total()), uint64(0)
	for i, n := range c.Passed[:len(ForwardBounds)] {
		if sum += n; n > 0 && float64(sum) >= rank {
			return ForwardBounds[i]
		}
	}
	return 0
}

// Traffic counts the datagrams of one service at an entry. Its methods take no lock and do not allocate.
type Traffic struct {
	passed  [ForwardBucketCount]atomic.Uint64
	dropped atomic.Uint64
}

// Forwarded counts a datagram that was forwarded d after it was read.
func (t *Traffic) Forwarded(d time.Duration) {
	bucket := 0
	for bucket < len(ForwardBounds) && d > ForwardBounds[bucket] {
		bucket++
	}
	t.passed[bucket].Add(1)
}

// Drop counts a datagram that was dropped.
func (t *Traffic) Drop() { t.dropped.Add(1) }

func (t *Traffic) takeCounts(service registrar.ServiceName) (ForwardCounts, bool) {
	c := ForwardCounts{Service: service, Dropped: t.dropped.Swap(0)}
	nonzero := c.Dropped > 0
	for i := range t.passed {
		c.Passed[i] = t.passed[i].Swap(0)
		nonzero = nonzero || c.Passed[i] > 0
	}
	return c, nonzero
}

// trafficTable holds the counts by service that are not yet in a batch.
type trafficTable struct {
	mu        sync.Mutex
	byService map[registrar.ServiceName]*Traffic
	// nextService is the service at which the next batch starts, so that a full batch does not leave out the same services each
	// time.
	nextService registrar.ServiceName
}

// Traffic returns the counts of a service and creates them at the first call.
func (m *Meter) Traffic(service registrar.ServiceName) *Traffic {
	m.trafficTable.mu.Lock()
	defer m.trafficTable.mu.Unlock()
	if m.trafficTable.byService == nil {
		m.trafficTable.byService = map[registrar.ServiceName]*Traffic{}
	}
	if m.trafficTable.byService[service] == nil {
		m.trafficTable.byService[service] = &Traffic{}
	}
	return m.trafficTable.byService[service]
}

// takeForwarded moves the counts of up to limit services into a batch.
func (m *Meter) takeForwarded(limit int) []ForwardCounts {
	t := &m.trafficTable
	t.mu.Lock()
	defer t.mu.Unlock()
	var names []registrar.ServiceName
	for name := range t.byService {
		names = append(names, name)
	}
	slices.Sort(names)
	first, _ := slices.BinarySearch(names, t.nextService)
	var all []ForwardCounts
	for i := range names {
		name := names[(first+i)%len(names)]
		if len(all) == limit {
			t.nextService = name
			break
		}
		if c, nonzero := t.byService[name].takeCounts(name); nonzero {
			all = append(all, c)
		}
	}
	return all
}

const (
	// forwardSlotDuration is the time resolution of the forwarding times that control keeps, and forwardHistory how long it keeps
	// them. A whole histogram for each slot of the burn windows would take 43 KB per service.
	forwardSlotDuration = 5 * time.Minute
	forwardHistory      = time.Hour
	forwardSlots        = slot(forwardHistory/forwardSlotDuration) + 1
)

// forwardSeries holds the counts of a service for the last hour.
type forwardSeries [forwardSlots]struct {
	At     slot
	Counts ForwardCounts
}

func (s *forwardSeries) add(now time.Time, c ForwardCounts) {
	at := slot(now.Unix() / int64(forwardSlotDuration/time.Second))
	e := &s[at%forwardSlots]
	if e.At != at {
		e.At, e.Counts = at, ForwardCounts{}
	}
	e.Counts.add(c)
}

func (s *forwardSeries) sum(now time.Time, service registrar.ServiceName) ForwardCounts {
	all := ForwardCounts{Service: service}
	at := slot(now.Unix() / int64(forwardSlotDuration/time.Second))
	for _, e := range s {
		if at-e.At < forwardSlots {
			all.add(e.Counts)
		}
	}
	return all
}

// mergeForwarding adds the counts that entries have reported to another instance.
func (r *Report) mergeForwarding(all []ForwardCounts) {
	for _, c := range all {
		i := slices.IndexFunc(r.Forwarding, func(o ForwardCounts) bool { return o.Service == c.Service })
		if i < 0 {
			r.Forwarding = append(r.Forwarding, c)
			continue
		}
		r.Forwarding[i].add(c)
	}
	slices.SortFunc(r.Forwarding, func(a, b ForwardCounts) int { return cmp.Compare(a.Service, b.Service) })
}

// MissingForwarding describes the data of entries that is missing from the forwarding times.
func (r *Report) MissingForwarding() []string {
	var all []string
	for _, n := range r.Nodes {
		if n.Service == "" {
			all = append(all, n.missingData(r.At.Add(-forwardHistory), r.At)...)
		}
	}
	return all
}
