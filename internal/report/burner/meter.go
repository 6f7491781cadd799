// Package burner measures how fast services use up their error budgets. Agents count requests in histograms and send what is
// new in batches; control instances add the batches up and judge them against objectives, as in the multi-window,
// multi-burn-rate alerts of chapter 5 of the SRE Workbook.
package burner

import (
	"cmp"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cespare/xxhash/v2"

	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// Bounds are the latencies that objectives may name. Batches count the answers between them, which costs far less than a
// whole histogram and is exact for every objective.
var Bounds = [...]time.Duration{
	1 * time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond,
	50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond, 1 * time.Second,
	2 * time.Second, 5 * time.Second, 10 * time.Second,
}

// AnswerLimit is how long a datagram of a plain UDP service waits for an answer before it counts as failed. It is the last of
// Bounds.
const AnswerLimit = 10 * time.Second

// BucketCount is the number of counts of answers: one up to each bound, and one beyond the last.
const BucketCount = len(Bounds) + 1

const (
	shardCount = 16
	// maxLatency is the longest latency in microseconds that a histogram tells apart.
	maxLatency = int64(60 * time.Second / time.Microsecond)
	// digits is the precision of histograms; an answer counts as late only if it is at least 1% beyond a bound.
	digits = 2
	// BatchLimit bounds the customers and forwarding counts of a batch. At about 40 bytes each and a batch every 5 s this stays below 0.5 KB/s of
	// the 3 KB/s that a node may spend on control.
	BatchLimit = 50
	// BatchInterval is the time between batches.
	BatchInterval = 5 * time.Second
)

// CustomerCounts are the requests of one customer of a service.
type CustomerCounts struct {
	Service  registrar.ServiceName
	Customer registrar.CustomerName
	// Failed counts requests without a whole answer of the service.
	Failed uint64
	// Answered counts the other requests by latency.
	Answered [BucketCount]uint64
}

// lineKey names a service and a customer of it.
type lineKey struct {
	service  registrar.ServiceName
	customer registrar.CustomerName
}

// Batch is what a node has counted since the batch before. Number grows by one with each new batch of a process; a batch
// that is sent again keeps its number.
type Batch struct {
	Number    uint64
	StartedAt time.Time
	Customers []CustomerCounts
	// Forwarded are the counts of an entry by service.
	Forwarded []ForwardCounts
	// Resent says that the batch was sent to another control instance before, which may have counted it.
	Resent bool
	// Final says that the node stops as planned and that no further batch will follow.
	Final bool
}

// record holds the counts of one customer that are in no batch yet.
type record struct {
	failed   uint64
	answered *hdrhistogram.Histogram
}

type meterShard struct {
	mu      sync.Mutex
	records map[lineKey]*record
}

// Meter counts the requests at one agent, or the tries that an entry could hand to no agent. The exported fields are set before first use.
type Meter struct {
	StartedAt time.Time

	shards   [shardCount]meterShard
	traffics traffics
	// answered and failed count all requests since the start.
	answered, failed atomic.Int64
	// mu guards the batch that control has not confirmed yet.
	mu     sync.Mutex
	batch  Batch
	nextAt time.Time
	open   bool
	// sentTo is where the batch was sent first.
	sentTo netip.AddrPort
	// finishing is set by Finish, finished once control has taken the final batch.
	finishing, finished bool
}

// Record counts a request that took d. failed is true if the caller got no whole answer of the service.
func (m *Meter) Record(service registrar.ServiceName, customer registrar.CustomerName, d time.Duration, failed bool) {
	m.RecordMany(service, customer, d, failed, 1)
}

// RecordMany counts n requests that took equally long.
func (m *Meter) RecordMany(service registrar.ServiceName, customer registrar.CustomerName, d time.Duration, failed bool, n int) {
	s := &m.shards[xxhash.Sum64String(string(customer))%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	k := lineKey{service, customer}
	r := s.records[k]
	if r == nil {
		if s.records == nil {
			s.records = map[lineKey]*record{}
		}
		r = &record{answered: hdrhistogram.New(1, maxLatency, digits)}
		s.records[k] = r
	}
	if failed {
		r.failed += uint64(n)
		m.failed.Add(int64(n))
		return
	}
	m.answered.Add(int64(n))
	// The value is within the range of the histogram, so it is always recorded.
	_ = r.answered.RecordValues(min(max(d.Microseconds(), 1), maxLatency), int64(n))
}

// Unserved counts a try of a caller that reached no agent.
func (m *Meter) Unserved(service registrar.ServiceName, customer registrar.CustomerName) {
	m.Record(service, customer, 0, true)
}

// Totals returns the number of requests since the start.
func (m *Meter) Totals() (answered, failed int64) { return m.answered.Load(), m.failed.Load() }

// Batch returns the batch to send to a control instance: the one that is not confirmed yet, or a new one when it is time, or
// nil.
func (m *Meter) Batch(now time.Time, to netip.AddrPort) *Batch {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.open {
		if m.finished || now.Before(m.nextAt) && !m.finishing {
			return nil
		}
		m.nextAt = now.Add(BatchInterval)
		m.batch = Batch{Number: m.batch.Number + 1, StartedAt: m.StartedAt, Customers: m.take()}
		m.batch.Forwarded = m.takeForwarded(BatchLimit - len(m.batch.Customers))
		m.batch.Final = m.finishing && len(m.batch.Customers)+len(m.batch.Forwarded) < BatchLimit
		m.open, m.sentTo = true, to
	}
	m.batch.Resent = m.batch.Resent || m.sentTo != to
	b := m.batch
	return &b
}

// Confirm tells that control has taken the batch with the given number.
func (m *Meter) Confirm(number uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.batch.Number == number {
		m.open = false
		m.finished = m.batch.Final
	}
}

// Finish makes all counts be sent without delay. No request may be recorded after it.
func (m *Meter) Finish() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.finishing = true
}

// Finished reports whether control has taken all counts.
func (m *Meter) Finished() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.finished
}

// take moves the counts of up to BatchLimit customers out of the records. The others wait for the next batch.
func (m *Meter) take() []CustomerCounts {
	var all []CustomerCounts
	for i := range m.shards {
		s := &m.shards[i]
		s.mu.Lock()
		for k, r := range s.records {
			if len(all) == BatchLimit {
				break
			}
			if r.failed == 0 && r.answered.TotalCount() == 0 {
				delete(s.records, k)
				continue
			}
			all = append(all, r.counts(k))
			r.failed = 0
			r.answered.Reset()
		}
		s.mu.Unlock()
	}
	slices.SortFunc(all, func(a, b CustomerCounts) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Customer, b.Customer))
	})
	return all
}

func (r *record) counts(k lineKey) CustomerCounts {
	c := CustomerCounts{Service: k.service, Customer: k.customer, Failed: r.failed}
	for _, bar := range r.answered.Distribution() {
		if bar.Count == 0 {
			continue
		}
		at, _ := slices.BinarySearch(Bounds[:], time.Duration(bar.From)*time.Microsecond)
		c.Answered[at] += uint64(bar.Count)
	}
	return c
}
