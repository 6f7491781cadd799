package steerer

import (
	"cmp"
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
	// An idle upstream counts as equal to the fastest one if its expected time is at most maxEqualMultiple times as long, which
	// exceeds the variation of a measured mean, and at most the target latency divided by equalTargetDivisor, so that a request
	// that takes four times the mean is still answered in time.
	maxEqualMultiple, equalTargetDivisor = 2, 4
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

// estimate is what a new flow may expect at an upstream.
type estimate struct {
	// expected is the expected time of a request, with its wait for a slot.
	expected time.Duration
	// idle is true if a slot is free for the request.
	idle bool
	// measured is true if the upstream has measured its service time.
	measured bool
}

// estimate returns what a new flow may expect at the upstream, and whether the upstream has room for it.
func (l *load) estimate() (e estimate, hasRoom bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.newest
	if !r.Accepting || r.Cold && int(r.Allowance) <= l.placedSinceReport {
		return e, false
	}
	e.expected, e.measured = time.Duration(r.ServiceTimeMicros)*time.Microsecond, r.ServiceTimeMicros > 0
	if !e.measured {
		e.expected = defaultServiceTime
	}
	inFlight, slots := int(r.InFlight)+l.placedSinceReport+1, max(int(r.Slots), 1)
	if e.idle = inFlight <= slots; !e.idle {
		e.expected = e.expected * time.Duration(inFlight) / time.Duration(slots)
	}
	return e, true
}

// choice is an upstream for a new flow, with the estimate and the age of the load report that it comes from.
type choice struct {
	estimate
	member    *member
	reportAge time.Duration
}

// cost is the expected time of a request for an entry in the given zone.
func (c choice) cost(zone registrar.ZoneName) time.Duration {
	if c.member.zone != zone {
		return c.expected + crossZonePenalty
	}
	return c.expected
}

// candidates returns the first maxCandidates upstreams by rank that have room, without those already tried. hasOpen is true if any
// upstream of the pool takes new flows by configuration, so that one may have room later.
func (p *pool) candidates(now time.Time, hash uint64, tried []registrar.UpstreamID) (all []choice, hasOpen bool) {
	for _, m := range p.ranked(hash, func(m *member) bool { return m.takesNewFlows }) {
		hasOpen = true
		if len(all) == maxCandidates {
			break
		}
		if slices.Contains(tried, m.id) {
			continue
		}
		if _, age, fresh := m.load.latest(now); fresh {
			if e, hasRoom := m.load.estimate(); hasRoom {
				all = append(all, choice{estimate: e, member: m, reportAge: age})
			}
		}
	}
	return all, hasOpen
}

// choose returns the upstream for a new flow among at least one candidate, which are ordered by rank. It is the one with the
// shortest expected time of a request. If that one is idle, other idle upstreams that are not much slower, or not measured yet,
// count as equal: those of the entry's zone come first, and the rank decides. Otherwise small differences between measured
// service times would send all flows to one upstream, and an upstream that has not been measured would never get one.
func choose(candidates []choice, zone registrar.ZoneName, targetLatency time.Duration) choice {
	best := slices.MinFunc(candidates, func(a, b choice) int { return cmp.Compare(a.cost(zone), b.cost(zone)) })
	if !best.idle {
		return best
	}
	longest := max(min(maxEqualMultiple*best.expected, targetLatency/equalTargetDivisor), best.expected)
	equal := func(c choice) bool { return c.idle && (!c.measured || c.expected <= longest) }
	i := slices.IndexFunc(candidates, func(c choice) bool { return c.member.zone == zone && equal(c) })
	if i < 0 {
		i = slices.IndexFunc(candidates, equal)
	}
	return candidates[i]
}
