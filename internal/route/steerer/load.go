package steerer

import (
	"slices"
	"sync"
	"time"

	"github.com/peridotstage/peridotstage/internal/route/carrier"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

const (
	// reportLife is how long a report counts. Agents send one at least every 100 ms, so three in a row must be lost.
	reportLife = 350 * time.Millisecond
	// choices is how many upstreams a new flow is compared among. An entry that does not know the flow finds it among the first
	// of them by rank.
	choices = 8
	// unknownWork stands for the time of a request at an upstream that has not been measured.
	unknownWork = 10 * time.Millisecond
	// farPenalty is what a flow to another zone must gain in expected time, since its packets cross between zones.
	farPenalty = 2 * time.Millisecond
)

// load is the newest report of an upstream and what has been placed since, under its own lock.
type load struct {
	mu      sync.Mutex
	newest  carrier.LoadReport
	heardAt time.Time
	// sent counts the flows that this entry has placed since the report.
	sent int
}

func (l *load) report(now time.Time, r carrier.LoadReport) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.newest, l.heardAt, l.sent = r, now, 0
}

func (l *load) placed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent++
}

// refused notes that the agent did not take a flow although its report let this entry expect so.
func (l *load) refused(reason carrier.ReturnReason) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch reason {
	case carrier.ReturnClosed, carrier.ReturnService, carrier.ReturnSilent:
		l.newest.Accepting = false
	case carrier.ReturnCold:
		l.newest.Cold, l.newest.Allowance = true, 0
	}
}

// latest returns the newest report and its age. It is fresh if it still counts.
func (l *load) latest(now time.Time) (r carrier.LoadReport, age time.Duration, fresh bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	age = now.Sub(l.heardAt)
	return l.newest, age, !l.heardAt.IsZero() && age <= reportLife
}

// expect returns how long a request would take at the upstream, and whether the upstream has room for it.
func (l *load) expect() (wait time.Duration, room bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.newest
	if !r.Accepting || r.Cold && int(r.Allowance) <= l.sent {
		return 0, false
	}
	work := time.Duration(r.WorkMicros) * time.Microsecond
	if work == 0 {
		work = unknownWork
	}
	ahead, slots := int(r.Busy)+l.sent+1, max(int(r.Slots), 1)
	if ahead <= slots {
		return work, true
	}
	return work * time.Duration(ahead) / time.Duration(slots), true
}

// choice is an upstream for a new flow.
type choice struct {
	member *member
	wait   time.Duration
	age    time.Duration
}

// choose returns the upstream at which a request is expected to end first, among the first few by rank that have room. known
// is true if the fleet has upstreams that may have room later.
func (f *fleet) choose(now time.Time, zone registrar.ZoneName, h uint64, tried []registrar.UpstreamID) (best choice, known bool) {
	var cost time.Duration
	compared := 0
	for _, m := range f.ranked(h, func(m *member) bool { return m.open }) {
		known = true
		if slices.Contains(tried, m.id) {
			continue
		}
		_, age, fresh := m.load.latest(now)
		if !fresh {
			continue
		}
		wait, room := m.load.expect()
		if !room {
			continue
		}
		c := wait
		if m.zone != zone {
			c += farPenalty
		}
		if best.member == nil || c < cost {
			best, cost = choice{member: m, wait: wait, age: age}, c
		}
		if compared++; compared == choices {
			break
		}
	}
	return best, known
}
