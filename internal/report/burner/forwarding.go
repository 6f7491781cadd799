package burner

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// ForwardBounds are the forwarding times that entries tell apart.
var ForwardBounds = [...]time.Duration{
	5 * time.Microsecond, 10 * time.Microsecond, 20 * time.Microsecond, 50 * time.Microsecond, 100 * time.Microsecond,
	200 * time.Microsecond, 500 * time.Microsecond, 1 * time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond,
	10 * time.Millisecond, 50 * time.Millisecond,
}

// ForwardBucketCount is the number of counts of datagrams: one up to each bound, and one beyond the last.
const ForwardBucketCount = len(ForwardBounds) + 1

// ForwardCounts are the datagrams of one service at entries.
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

// Quantile returns the bound below which a share of the datagrams was forwarded; 0 if that is beyond the last bound or there
// were none.
func (c *ForwardCounts) Quantile(share float64) time.Duration {
	want, sum := share*float64(c.Total()), uint64(0)
	for i, n := range c.Passed[:len(ForwardBounds)] {
		if sum += n; n > 0 && float64(sum) >= want {
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

// Forwarded counts a datagram that was passed on after d.
func (t *Traffic) Forwarded(d time.Duration) {
	at := 0
	for at < len(ForwardBounds) && d > ForwardBounds[at] {
		at++
	}
	t.passed[at].Add(1)
}

// Drop counts a datagram that was dropped.
func (t *Traffic) Drop() { t.dropped.Add(1) }

func (t *Traffic) take(service registrar.ServiceName) (ForwardCounts, bool) {
	c := ForwardCounts{Service: service, Dropped: t.dropped.Swap(0)}
	some := c.Dropped > 0
	for i := range t.passed {
		c.Passed[i] = t.passed[i].Swap(0)
		some = some || c.Passed[i] > 0
	}
	return c, some
}

// traffics holds the counts of services that no batch contains yet.
type traffics struct {
	mu sync.Mutex
	of map[registrar.ServiceName]*Traffic
	// next is where the next batch goes on, so that every service has its turn.
	next registrar.ServiceName
}

// Traffic returns the counts of a service, which are created when first asked for.
func (m *Meter) Traffic(service registrar.ServiceName) *Traffic {
	m.traffics.mu.Lock()
	defer m.traffics.mu.Unlock()
	if m.traffics.of == nil {
		m.traffics.of = map[registrar.ServiceName]*Traffic{}
	}
	if m.traffics.of[service] == nil {
		m.traffics.of[service] = &Traffic{}
	}
	return m.traffics.of[service]
}

// takeForwarded moves the counts of up to limit services into a batch.
func (m *Meter) takeForwarded(limit int) []ForwardCounts {
	t := &m.traffics
	t.mu.Lock()
	defer t.mu.Unlock()
	var names []registrar.ServiceName
	for name := range t.of {
		names = append(names, name)
	}
	slices.Sort(names)
	at, _ := slices.BinarySearch(names, t.next)
	var all []ForwardCounts
	for i := range names {
		name := names[(at+i)%len(names)]
		if len(all) == limit {
			t.next = name
			break
		}
		if c, some := t.of[name].take(name); some {
			all = append(all, c)
		}
	}
	return all
}

const (
	// forwardTime is the resolution in which control keeps forwarding times, and forwardHistory the time that it keeps. A
	// whole histogram for each slot of the burn windows would take 43 KB a service.
	forwardTime    = 5 * time.Minute
	forwardHistory = time.Hour
	forwardSlots   = slot(forwardHistory/forwardTime) + 1
)

// forwardSeries holds the counts of a service for the last hour.
type forwardSeries [forwardSlots]struct {
	At     slot
	Counts ForwardCounts
}

func (s *forwardSeries) add(now time.Time, c ForwardCounts) {
	at := slot(now.Unix() / int64(forwardTime/time.Second))
	e := &s[at%forwardSlots]
	if e.At != at {
		e.At, e.Counts = at, ForwardCounts{}
	}
	e.Counts.add(c)
}

func (s *forwardSeries) sum(now time.Time, service registrar.ServiceName) ForwardCounts {
	all := ForwardCounts{Service: service}
	at := slot(now.Unix() / int64(forwardTime/time.Second))
	for _, e := range s {
		if at-e.At < forwardSlots {
			all.add(e.Counts)
		}
	}
	return all
}

// mergeForwarding adds up the counts of entries that report to different instances.
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

// MissingForwarding returns which data of entries the forwarding times lack.
func (r *Report) MissingForwarding() []string {
	var all []string
	for _, n := range r.Nodes {
		if n.Service == "" {
			all = append(all, n.missing(r.At.Add(-forwardHistory), r.At)...)
		}
	}
	return all
}
