package steerer

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/peridotstage/peridotstage/internal/admit/ejector"
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
	// maxFailuresUnderLoad is the largest share of failed requests at which a failing upstream gets flows that no other upstream has
	// room for. With more failures, a caller that is told to come back is better served.
	maxFailuresUnderLoad carrier.FailureShare = carrier.AllFailed * 3 / 4
)

// load holds the newest load report of an upstream and the number of flows placed since, under its own lock.
type load struct {
	mu         sync.Mutex
	newest     carrier.LoadReport
	reportedAt time.Time
	// placedSinceReport is the number of flows that this entry has placed at the upstream since the report.
	placedSinceReport int
	// full is true if the agent has returned a new flow since the report because the upstream holds as many flows as it may.
	full bool
	// history follows the number of open flows that the demand of the newest report belongs to.
	history flowHistory
	// interval is the time between the newest report and the one before.
	interval time.Duration
}

func (l *load) setReport(now time.Time, r carrier.LoadReport) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.history.add(now, l.reportedAt, r)
	l.interval = now.Sub(l.reportedAt)
	l.newest, l.reportedAt, l.placedSinceReport, l.full = r, now, 0, false
}

// countPlacement counts a flow placed at the upstream, which may be a probe.
func (l *load) countPlacement(probe bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.placedSinceReport++
	if probe {
		l.newest.ProbeDue = false
	}
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
	case carrier.ReturnFailing:
		l.newest.ProbeDue = false
	case carrier.ReturnFull:
		l.full = true
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
	// failures is the share of requests that the upstream fails.
	failures carrier.FailureShare
	// probeDue is true if the upstream may get a probe, should it be failing.
	probeDue bool
	flowLoad
}

// estimate returns what a new flow may expect at the upstream, and the age of the load report that says so. hasRoom is false if the
// report has expired, or the upstream has no room for the flow. maxFlows is the limit of its open flows; 0 means no limit.
func (l *load) estimate(now time.Time, maxFlows registrar.FlowCount) (e estimate, age time.Duration, hasRoom bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &l.newest
	age = now.Sub(l.reportedAt)
	if l.reportedAt.IsZero() || age > reportLifetime || !r.Accepting || r.Cold && int(r.Allowance) <= l.placedSinceReport ||
		l.holdsLocked(maxFlows) {
		return e, age, false
	}
	e.failures, e.probeDue = r.Failures, r.ProbeDue
	e.expected, e.measured = time.Duration(r.ServiceTimeMicros)*time.Microsecond, r.ServiceTimeMicros > 0
	if !e.measured {
		e.expected = defaultServiceTime
	}
	e.flowLoad = l.history.load(r, l.placedSinceReport)
	inFlight, slots := int(r.InFlight)+l.placedSinceReport+1, max(int(r.Slots), 1)
	if e.idle = inFlight <= slots; !e.idle {
		e.expected = e.expected * time.Duration(inFlight) / time.Duration(slots)
	}
	return e, age, true
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

// candidates are the upstreams that a new flow may go to, in the order of their rank.
type candidates struct {
	// healthy holds at most maxCandidates upstreams. failing holds those in front of the last of them that fail more requests than
	// the others of the service.
	healthy, failing []choice
	// hasOpen is true if any upstream of the pool takes new flows by configuration, so that one may have room later.
	hasOpen bool
}

// probe returns the first failing upstream that may get a probe.
func (c candidates) probe() (choice, bool) {
	i := slices.IndexFunc(c.failing, func(c choice) bool { return c.probeDue })
	if i < 0 {
		return choice{}, false
	}
	return c.failing[i], true
}

// underLoad returns the failing upstreams that get flows if no other upstream has room.
func (c candidates) underLoad() []choice {
	return slices.DeleteFunc(slices.Clone(c.failing), func(c choice) bool { return c.failures > maxFailuresUnderLoad })
}

// failureThreshold returns the share of failed requests above which an upstream of the pool is failing.
func (p *pool) failureThreshold(now time.Time) carrier.FailureShare {
	all := make([]ejector.Upstream, 0, len(p.members))
	for _, m := range p.members {
		if r, _, fresh := m.load.latest(now); fresh && m.takesNewFlows && r.Accepting {
			all = append(all, ejector.Upstream{Share: r.Failures, Slots: registrar.Slots(r.Slots)})
		}
	}
	return ejector.Threshold(all)
}

// choose returns the upstream for a new flow among at least one candidate, which are ordered by rank. Where idle upstreams report their
// demand, chooseByDemand decides. Otherwise it is the one with the shortest expected time of a request. If that one is idle, other idle
// upstreams that are not much slower, or not measured yet, count as equal: those of the entry's zone come first, and the rank decides.
// Otherwise small differences between measured service times would send all flows to one upstream, and an upstream that has not been
// measured would never get one.
func choose(candidates []choice, zone registrar.ZoneName, targetLatency time.Duration) choice {
	if c, found := chooseByDemand(candidates, zone, targetLatency); found {
		return c
	}
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
