// Package burner measures how fast services use up their error budgets. Agents count requests in histograms and send the new
// counts in batches; control instances add up the batches and judge them against objectives, as in the multi-window,
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

// Bounds are the latencies that objectives may name, and the upper bounds of the buckets in which batches count answers. The
// buckets need far less space than a whole histogram and are exact for every objective.
var Bounds = [...]time.Duration{
	1 * time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond,
	50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond, 1 * time.Second,
	2 * time.Second, 5 * time.Second, 10 * time.Second,
}

// AnswerLimit is how long a datagram of a plain UDP service waits for an answer before it counts as failed. It is the last of
// Bounds.
const AnswerLimit = 10 * time.Second

// BucketCount is the number of buckets: one for each bound, and one for latencies beyond the last bound.
const BucketCount = len(Bounds) + 1

const (
	shardCount = 16
	// maxLatencyMicros is the highest latency of a histogram in microseconds. Longer ones are recorded as this one.
	maxLatencyMicros = int64(60 * time.Second / time.Microsecond)
	// significantDigits is the precision of histograms: an answer counts as late only if it is at least 1% beyond a bound.
	significantDigits = 2
	// BatchLimit is the maximum number of customers and forwarding counts in a batch. At about 40 bytes each and a batch every 5 s
	// this stays below 0.5 KB/s of the 3 KB/s that a node may use for control traffic.
	BatchLimit = 50
	// BatchInterval is the time between batches.
	BatchInterval = 5 * time.Second
)

// CustomerCounts are the request counts of one customer of a service.
type CustomerCounts struct {
	Service  registrar.ServiceName
	Customer registrar.CustomerName
	// Failed counts requests without a complete answer of the service.
	Failed uint64
	// Answered counts the other requests by latency.
	Answered [BucketCount]uint64
}

// lineKey identifies the line of a service and customer. The customer is empty for the whole service.
type lineKey struct {
	service  registrar.ServiceName
	customer registrar.CustomerName
}

// Batch holds the counts of a node since its previous batch. Number increases by one with each new batch of a process. A batch
// that is sent again keeps its number.
type Batch struct {
	Number    uint64
	StartedAt time.Time
	Customers []CustomerCounts
	// Forwarded are the counts of an entry by service.
	Forwarded []ForwardCounts
	// Resent is set if the batch was sent to another control instance first, which may have counted it.
	Resent bool
	// Final is set if the node stops as planned and sends no further batch.
	Final bool
}

// pendingCounts holds the counts of one customer that are not yet in a batch.
type pendingCounts struct {
	failed   uint64
	answered *hdrhistogram.Histogram
}

type meterShard struct {
	mu      sync.Mutex
	records map[lineKey]*pendingCounts
}

// Meter counts the requests at one agent, or the requests that an entry could not forward to any agent. The exported fields are
// set before first use.
type Meter struct {
	StartedAt time.Time

	shards       [shardCount]meterShard
	trafficTable trafficTable
	// answered and failed count all requests since the start.
	answered, failed atomic.Int64
	// mu guards the batch that control has not confirmed yet.
	mu          sync.Mutex
	batch       Batch
	nextBatchAt time.Time
	unconfirmed bool
	// firstSentTo is the address that the batch was sent to first.
	firstSentTo netip.AddrPort
	// finishing is set by Finish, and finished once control has confirmed the final batch.
	finishing, finished bool
}

// Record counts a request that took d. failed is true if the caller got no complete answer of the service.
func (m *Meter) Record(service registrar.ServiceName, customer registrar.CustomerName, d time.Duration, failed bool) {
	m.RecordMany(service, customer, d, failed, 1)
}

// RecordMany counts n requests that each took d.
func (m *Meter) RecordMany(service registrar.ServiceName, customer registrar.CustomerName, d time.Duration, failed bool, n int) {
	s := &m.shards[xxhash.Sum64String(string(customer))%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	k := lineKey{service, customer}
	r := s.records[k]
	if r == nil {
		if s.records == nil {
			s.records = map[lineKey]*pendingCounts{}
		}
		r = &pendingCounts{answered: hdrhistogram.New(1, maxLatencyMicros, significantDigits)}
		s.records[k] = r
	}
	if failed {
		r.failed += uint64(n)
		m.failed.Add(int64(n))
		return
	}
	m.answered.Add(int64(n))
	// The value is within the range of the histogram, so it is always recorded.
	_ = r.answered.RecordValues(min(max(d.Microseconds(), 1), maxLatencyMicros), int64(n))
}

// Unserved counts a request that an entry could not forward to any agent. The request counts as failed.
func (m *Meter) Unserved(service registrar.ServiceName, customer registrar.CustomerName) {
	m.Record(service, customer, 0, true)
}

// Totals returns the number of requests since the start.
func (m *Meter) Totals() (answered, failed int64) { return m.answered.Load(), m.failed.Load() }

// Batch returns the batch to send to a control instance: the unconfirmed one, a new one if BatchInterval has passed or
// Finish was called, or nil.
func (m *Meter) Batch(now time.Time, to netip.AddrPort) *Batch {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.unconfirmed {
		if m.finished || now.Before(m.nextBatchAt) && !m.finishing {
			return nil
		}
		m.nextBatchAt = now.Add(BatchInterval)
		m.batch = Batch{Number: m.batch.Number + 1, StartedAt: m.StartedAt, Customers: m.takeCustomers()}
		m.batch.Forwarded = m.takeForwarded(BatchLimit - len(m.batch.Customers))
		m.batch.Final = m.finishing && len(m.batch.Customers)+len(m.batch.Forwarded) < BatchLimit
		m.unconfirmed, m.firstSentTo = true, to
	}
	m.batch.Resent = m.batch.Resent || m.firstSentTo != to
	b := m.batch
	return &b
}

// Confirm marks the batch with the given number as received by control.
func (m *Meter) Confirm(number uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.batch.Number == number {
		m.unconfirmed = false
		m.finished = m.batch.Final
	}
}

// Finish makes Batch return the remaining counts without delay. Requests that are recorded after it may never be sent.
func (m *Meter) Finish() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.finishing = true
}

// Finished reports whether control has confirmed all counts.
func (m *Meter) Finished() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.finished
}

// takeCustomers moves the counts of up to BatchLimit customers out of the records. The others are left for the next batch.
func (m *Meter) takeCustomers() []CustomerCounts {
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
			all = append(all, r.customerCounts(k))
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

func (r *pendingCounts) customerCounts(k lineKey) CustomerCounts {
	c := CustomerCounts{Service: k.service, Customer: k.customer, Failed: r.failed}
	for _, bucket := range r.answered.Distribution() {
		if bucket.Count == 0 {
			continue
		}
		i, _ := slices.BinarySearch(Bounds[:], time.Duration(bucket.From)*time.Microsecond)
		c.Answered[i] += uint64(bucket.Count)
	}
	return c
}
