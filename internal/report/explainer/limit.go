package explainer

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/peridotstage/peridotstage/internal/report/recorder"
)

// limitBin is the resolution of the limit. Requests of one bin count as simultaneous. It is short compared to the time after which answers
// are late. binsPerSecond is the number of bins in a second.
const (
	limitBin      = 100 * time.Millisecond
	binsPerSecond = bin(time.Second / limitBin)
)

// bin is a Unix time in units of limitBin.
type bin int64

func binOf(at time.Time) bin { return bin(at.UnixNano() / int64(limitBin)) }

func (b bin) time() time.Time { return time.Unix(0, int64(b)*int64(limitBin)).UTC() }

// LimitRow says how many requests of a route and second could have been answered in time.
type LimitRow struct {
	// Second is the one in which the requests were first seen.
	Second time.Time
	Route  netip.AddrPort
	// Asked is the number of requests, InTime how many were answered in time, and AtMost how many could have been. AtMost is Asked if no log
	// shows an upstream of the route.
	Asked, InTime, AtMost int
}

// Limit is the largest number of requests that the upstreams could have answered in time, by their slots, by the mean time of requests that
// found a free slot, and by the bound for cold upstreams. Distance and machines other than those of the upstreams do not limit it. It takes
// each attempt of a caller for a request of its own, and knows only requests that a log shows. Where lines were left out, lost requests are
// scaled up and answered ones are not.
type Limit struct {
	// ColdRate is the number of new flows a second that a cold upstream may get. The first request of each is counted, and others are not.
	ColdRate float64
	// Rows are ordered by second and route, and leave out those in which all requests were answered in time.
	Rows []LimitRow
	// Total is the sum of all rows, also of those left out.
	Total LimitRow
}

// availability is what an upstream can do.
type availability int

const (
	isDown availability = iota
	isCold
	isWarm
)

// availabilityChange is a time from which an upstream can do something else.
type availabilityChange struct {
	at    time.Time
	now   availability
	slots int
	// warmAt is when a cold upstream turns warm.
	warmAt time.Time
}

// availableAt returns what the upstream can do at a time before the next change.
func (c availabilityChange) availableAt(at time.Time) availability {
	if c.now == isCold && !at.Before(c.warmAt) {
		return isWarm
	}
	return c.now
}

// routeDemand is what the logs show of the requests of a route.
type routeDemand struct {
	asked, inTime map[bin]int
	// work is the sum of the times of the measured requests, which found a free slot.
	work     time.Duration
	measured int
	// machines are those of the upstreams that got flows of the route.
	machines map[string]bool
}

// serviceTime returns the mean time of a request, or 0 if none was measured.
func (d *routeDemand) serviceTime() time.Duration { return d.work / time.Duration(max(d.measured, 1)) }

// limitTracker collects what the limit is computed from. A nil tracker collects nothing.
type limitTracker struct {
	routes map[netip.AddrPort]*routeDemand
	// changes holds the changes of the upstream of each machine.
	changes map[string][]availabilityChange
}

func newLimitTracker() *limitTracker {
	return &limitTracker{routes: map[netip.AddrPort]*routeDemand{}, changes: map[string][]availabilityChange{}}
}

func (t *limitTracker) route(address netip.AddrPort) *routeDemand {
	d := t.routes[address]
	if d == nil {
		d = &routeDemand{asked: map[bin]int{}, inTime: map[bin]int{}, machines: map[string]bool{}}
		t.routes[address] = d
	}
	return d
}

// add adds requests of a route that were first seen at a time.
func (t *limitTracker) add(route netip.AddrPort, at time.Time, count int, inTime bool) {
	if t == nil {
		return
	}
	d := t.route(route)
	d.asked[binOf(at)] += count
	if inTime {
		d.inTime[binOf(at)] += count
	}
}

// place records that the upstream of a machine got a flow of a route.
func (t *limitTracker) place(route netip.AddrPort, machine string) {
	if t != nil && machine != "" {
		t.route(route).machines[machine] = true
	}
}

// measure records the time of a request that found a free slot at an upstream that was not cold.
func (t *limitTracker) measure(route netip.AddrPort, took time.Duration) {
	if t == nil {
		return
	}
	d := t.route(route)
	d.work += took
	d.measured++
}

// takeMachine applies a line of a machine. recovered is true if the machine has started after a loss of power.
func (t *limitTracker) takeMachine(name string, m *machineState, l *Line, recovered bool) {
	if t == nil {
		return
	}
	next := availabilityChange{at: l.At, slots: int(l.Slots)}
	switch {
	case recovered:
		next.at = m.lostPowerAt
	case l.Event == recorder.UpstreamLeaves.Number || l.Event == recorder.MachineStopped.Number:
	case l.Event == recorder.UpstreamCheckedIn.Number && l.ColdMS > 0:
		next.now, next.warmAt = isCold, m.coldUntil
	case l.Event == recorder.UpstreamCheckedIn.Number:
		next.now = isWarm
	default:
		return
	}
	earlier := t.changes[name]
	if n := len(earlier); n > 0 && earlier[n-1].now == next.now && next.now != isCold && earlier[n-1].slots == next.slots {
		return
	}
	t.changes[name] = append(earlier, next)
}

// upstreamPool is a set of routes that share upstreams.
type upstreamPool struct {
	routes   []netip.AddrPort
	machines map[string]bool
}

// pools returns the sets of routes that share upstreams, directly or by a third route.
func (t *limitTracker) pools() []*upstreamPool {
	var pools []*upstreamPool
	for _, route := range slices.SortedFunc(maps.Keys(t.routes), netip.AddrPort.Compare) {
		merged := &upstreamPool{routes: []netip.AddrPort{route}, machines: maps.Clone(t.routes[route].machines)}
		var others []*upstreamPool
		for _, p := range pools {
			if !p.sharesMachine(merged) {
				others = append(others, p)
				continue
			}
			merged.routes = append(merged.routes, p.routes...)
			maps.Copy(merged.machines, p.machines)
		}
		pools = append(others, merged)
	}
	return pools
}

func (p *upstreamPool) sharesMachine(other *upstreamPool) bool {
	for name := range p.machines {
		if other.machines[name] {
			return true
		}
	}
	return false
}

// waitingRequests are requests of one bin and route that have not been served yet.
type waitingRequests struct {
	route   netip.AddrPort
	askedAt bin
	// startBy is the time by which they must start to be answered in time.
	startBy time.Time
	work    time.Duration
	count   int
}

// limit returns the limit for requests that are late after a time.
func (t *limitTracker) limit(coldRate float64, late time.Duration) *Limit {
	type secondKey struct {
		route  netip.AddrPort
		second bin
	}
	rows := map[secondKey]*LimitRow{}
	row := func(route netip.AddrPort, at bin) *LimitRow {
		key := secondKey{route, at / binsPerSecond}
		if rows[key] == nil {
			rows[key] = &LimitRow{Second: (key.second * binsPerSecond).time(), Route: route}
		}
		return rows[key]
	}
	for route, d := range t.routes {
		for at, n := range d.asked {
			row(route, at).Asked += n
		}
		for at, n := range d.inTime {
			row(route, at).InTime += n
		}
	}
	for _, p := range t.pools() {
		t.serve(p, coldRate, late, func(w *waitingRequests, n int) { row(w.route, w.askedAt).AtMost += n })
	}
	limit := &Limit{ColdRate: coldRate}
	for _, r := range rows {
		// What was answered in time was possible, even if the request was faster than the mean.
		r.AtMost = max(r.AtMost, r.InTime)
		limit.Total.Asked += r.Asked
		limit.Total.InTime += r.InTime
		limit.Total.AtMost += r.AtMost
		if r.InTime < r.Asked {
			limit.Rows = append(limit.Rows, *r)
		}
	}
	slices.SortFunc(limit.Rows, func(a, b LimitRow) int { return cmp.Or(a.Second.Compare(b.Second), a.Route.Compare(b.Route)) })
	return limit
}

// serve serves the requests of a pool in the order in which they were asked, each as soon as an upstream can take it, and drops those that
// would be late. It calls served with the number that are answered in time.
func (t *limitTracker) serve(p *upstreamPool, coldRate float64, late time.Duration, served func(*waitingRequests, int)) {
	first, last, found := t.span(p)
	if !found {
		return
	}
	capacity := newPoolCapacity(t, p, coldRate)
	isKnown := len(p.machines) > 0
	var queue []*waitingRequests
	for b := first; b <= last+bin(late/limitBin); b++ {
		for _, route := range p.routes {
			d := t.routes[route]
			if n := d.asked[b]; n > 0 {
				work := d.serviceTime()
				queue = append(queue, &waitingRequests{route: route, askedAt: b, startBy: b.time().Add(late - work), work: work, count: n})
			}
		}
		capacity.advance(b)
		for len(queue) > 0 {
			w := queue[0]
			n := 0
			switch {
			case !isKnown:
				n = w.count
			case !w.startBy.Before(b.time()):
				n = capacity.take(w.count, w.work)
			}
			served(w, n)
			if w.count -= n; w.count > 0 && !w.startBy.Before(b.time()) {
				break
			}
			queue = queue[1:]
		}
	}
}

// span returns the first and last bin with requests of a pool.
func (t *limitTracker) span(p *upstreamPool) (first, last bin, found bool) {
	for _, route := range p.routes {
		for b := range t.routes[route].asked {
			if !found {
				first, last, found = b, b, true
			}
			first, last = min(first, b), max(last, b)
		}
	}
	return first, last, found
}

// poolCapacity is what the upstreams of a pool can take in the present bin.
type poolCapacity struct {
	coldRate float64
	// changes are those of all upstreams, by time, and next is the index of the first one that has not been applied.
	changes []poolChange
	next    int
	now     map[string]availabilityChange
	// allowedAt is the time at which each cold upstream last got the allowance of a second.
	allowedAt map[string]bin
	// slotTime is the time for which slots are free, and cold the number of flows that cold upstreams may get.
	slotTime time.Duration
	cold     float64
}

// poolChange is a change of one upstream.
type poolChange struct {
	machine string
	availabilityChange
}

func newPoolCapacity(t *limitTracker, p *upstreamPool, coldRate float64) *poolCapacity {
	c := &poolCapacity{coldRate: coldRate, now: map[string]availabilityChange{}, allowedAt: map[string]bin{}}
	for name := range p.machines {
		for _, change := range t.changes[name] {
			c.changes = append(c.changes, poolChange{name, change})
		}
	}
	slices.SortStableFunc(c.changes, func(a, b poolChange) int { return a.at.Compare(b.at) })
	return c
}

// advance begins a bin. Slots that were free in the last one are lost, and so is what a cold upstream did not get within a second.
func (c *poolCapacity) advance(b bin) {
	for ; c.next < len(c.changes) && binOf(c.changes[c.next].at) <= b; c.next++ {
		change := c.changes[c.next]
		c.now[change.machine] = change.availabilityChange
	}
	c.slotTime = min(c.slotTime, 0)
	coldCount := 0
	for name, u := range c.now {
		switch u.availableAt(b.time()) {
		case isWarm:
			c.slotTime += time.Duration(u.slots) * limitBin
			delete(c.allowedAt, name)
		case isDown:
			delete(c.allowedAt, name)
		case isCold:
			coldCount++
			if at, wasCold := c.allowedAt[name]; !wasCold || b-at >= binsPerSecond {
				c.allowedAt[name] = b
				c.cold += c.coldRate
			}
		}
	}
	c.cold = min(c.cold, c.coldRate*float64(coldCount))
}

// take takes up to n requests of the given work, and returns how many. The last one may take slots of the next bin.
func (c *poolCapacity) take(n int, work time.Duration) (taken int) {
	for ; taken < n; taken++ {
		switch {
		case c.slotTime > 0:
			c.slotTime -= work
		case c.cold >= 1:
			c.cold--
		default:
			return taken
		}
	}
	return taken
}
