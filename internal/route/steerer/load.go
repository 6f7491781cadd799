package steerer

import (
	"slices"
	"sync"
	"time"

	"github.com/peridotstage/peridotstage/internal/route/carrier"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

const (
	// reportLifetime is how long a load report is used. Agents send one at least every 100 ms, so a report expires only after
	// three in a row are lost.
	reportLifetime = 350 * time.Millisecond
	// maxCandidates is the number of upstreams that are compared for a new flow. They are the first by rank, so an entry that
	// does not know the flow finds it early in its search.
	maxCandidates = 8
	// defaultServiceTime is the assumed service time of an upstream whose service time is not known yet.
	defaultServiceTime = 10 * time.Millisecond
	// crossZonePenalty is added to the expected time at an upstream in another zone, because packets cross between zones.
	crossZonePenalty = 2 * time.Millisecond
)

// load holds the newest load report of an upstream and the number of flows placed since, under its own lock.
type load struct {
	mu         sync.Mutex
	newest     carrier.LoadReport
	reportedAt time.Time
	// placedSinceReport is the number of flows that this entry has placed at the upstream since the report.
	placedSinceReport int
}

func (l *load) setReport(now time.Time, r carrier.LoadReport) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.newest, l.reportedAt, l.placedSinceReport = r, now, 0
}

func (l *load) countPlacement() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.placedSinceReport++
}

// applyRefusal corrects the report after the agent returned a new flow that the report had allowed.
func (l *load) applyRefusal(reason carrier.ReturnReason) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch reason {
	case carrier.ReturnClosed, carrier.ReturnOtherService, carrier.ReturnSilent:
		l.newest.Accepting = false
	case carrier.ReturnCold:
		l.newest.Cold, l.newest.Allowance = true, 0
	}
}

// latest returns the newest report and its age. fresh is true within the lifetime of the report.
func (l *load) latest(now time.Time) (r carrier.LoadReport, age time.Duration, fresh bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	age = now.Sub(l.reportedAt)
	return l.newest, age, !l.reportedAt.IsZero() && age <= reportLifetime
}

// expectedTime returns the expected time of a request at the upstream, and whether the upstream has room for it.
func (l *load) expectedTime() (expected time.Duration, hasRoom bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.newest
	if !r.Accepting || r.Cold && int(r.Allowance) <= l.placedSinceReport {
		return 0, false
	}
	serviceTime := time.Duration(r.ServiceTimeMicros) * time.Microsecond
	if serviceTime == 0 {
		serviceTime = defaultServiceTime
	}
	inFlight, slots := int(r.InFlight)+l.placedSinceReport+1, max(int(r.Slots), 1)
	if inFlight <= slots {
		return serviceTime, true
	}
	return serviceTime * time.Duration(inFlight) / time.Duration(slots), true
}

// choice is an upstream for a new flow, with the expected time of a request and the age of the load report that it comes from.
type choice struct {
	member    *member
	expected  time.Duration
	reportAge time.Duration
}

// choose returns the upstream with the shortest expected time of a request, among the first maxCandidates by rank that have room.
// hasOpen is true if any upstream of the pool takes new flows by configuration, so that one may have room later.
func (p *pool) choose(now time.Time, zone registrar.ZoneName, hash uint64, tried []registrar.UpstreamID) (best choice, hasOpen bool) {
	var bestCost time.Duration
	compared := 0
	for _, m := range p.ranked(hash, func(m *member) bool { return m.takesNewFlows }) {
		hasOpen = true
		if slices.Contains(tried, m.id) {
			continue
		}
		_, age, fresh := m.load.latest(now)
		if !fresh {
			continue
		}
		expected, hasRoom := m.load.expectedTime()
		if !hasRoom {
			continue
		}
		cost := expected
		if m.zone != zone {
			cost += crossZonePenalty
		}
		if best.member == nil || cost < bestCost {
			best, bestCost = choice{member: m, expected: expected, reportAge: age}, cost
		}
		if compared++; compared == maxCandidates {
			break
		}
	}
	return best, hasOpen
}
