package limiter

import (
	"time"

	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

const (
	// leastLimit is the load in slots that a cold upstream gets: a quarter of one slot, by pauses between requests.
	leastLimit = 0.25
	// settleTime is how long an upstream without a known warm service time stays at one request at a time. An upstream
	// that is cold for longer shows it by a service time that still falls.
	settleTime = 10 * time.Second
	// longestCold ends a cold start whose service time stays high: the upstream has become slower for good.
	longestCold = 30 * time.Second
	// coldStep is what a success adds to the limit below one slot, and warmStep above it.
	coldStep, warmStep = 0.025, 0.125
	// knownStep is the factor by which a success at the known warm service time raises the limit below one slot.
	knownStep = 1.25
	// recovered is the number of successes at the warm service time that end a cold start early.
	recovered = 20
	// provenRun is the number of successes in a row at the known warm service time that restore the announced weight. The
	// limit still rises by its own steps. With 20, an upstream that gets two requests a second announced a quarter of its
	// capacity for more than 40 s after the return of its zone.
	provenRun = 5
	// lowLoadTime is how long an upstream that has settled waits for minSamples before provenRun samples are enough.
	lowLoadTime = 5 * time.Second
	// shiftFactor is the rise in service time that counts as a shift. A cold start multiplies it by more.
	shiftFactor = 2
	// shiftRun is the number of slow requests, one after the other, that count as a shift, so that one slow request or one
	// stall of the machine that hits all slots does not.
	shiftRun = 2
	// shiftTime is how long slow requests must go on before they count as a shift. Service times of about 1 ms rise
	// several times over in each stall of a busy machine.
	shiftTime = 40 * time.Millisecond
	// holdFactor bounds, in warm service times, how long a slow request that still runs keeps others from starting. An
	// upstream in an unannounced cold start shows it by such a request first; without a bound one request that takes minutes
	// would stop all others.
	holdFactor = 8
	// failureRun is the number of failures in a row after which new flows go elsewhere.
	failureRun = 5
	// idleTime without requests makes the upstream's state unknown, so it restarts from at most one slot.
	idleTime = 10 * time.Second
	// minService keeps estimates and pauses above the resolution of timers.
	minService = 50 * time.Microsecond
	// maxPace bounds the service time that pauses are computed from, so that one stuck request does not stop an upstream.
	maxPace = 1 * time.Second
	// meanOver is the number of requests that the measured service time looks back on, and minSamples is the number from
	// which it is announced.
	meanOver, minSamples = 256, 16
	// Reference is the service time at which one slot weighs registrar.WeightPerSlot. All agents use the same one, so that
	// weights of different upstreams compare.
	Reference = 10 * time.Millisecond
	// briefCold is how long a cold start has to last before it changes the announced weight of an upstream that was measured
	// before. A shorter one was a stall, and each move of a weight moves buckets.
	briefCold = 3 * time.Second
	// coldShare is the part of its capacity that a cold upstream announces.
	coldShare = 4
)

// Reason says why an upstream is taken for cold.
type Reason string

// The reasons of a cold start.
const (
	Started  Reason = "agent started"
	Returned Reason = "announced"
	Slower   Reason = "service time rose"
	Failing  Reason = "failures in a row"
	Broken   Reason = "connection broke"
)

// Watcher is told about cold starts. It is called with the limiter's lock held.
type Watcher interface {
	ColdStart(Reason)
	Warm()
}

// gauge measures an upstream and derives the limit. The limiter's lock guards it.
type gauge struct {
	watcher Watcher
	slots   registrar.Slots
	// limit is between leastLimit and slots.
	limit  float64
	cold   bool
	coldAt time.Time
	// announced tells that the upstream itself or an operator told of the cold start, so that it is no stall.
	announced bool
	// settled tells that the samples began after settleTime of a cold start with an unknown warm service time.
	settled bool
	lastAt  time.Time
	// successes, slow and failures count since the last event of another kind.
	successes, slow, failures int
	// service is the mean time of recent requests, at least minService.
	service time.Duration
	samples int
	// slowAt is the end of the last request that was counted as slow.
	slowAt time.Time
	// slowSince is the end of the first slow request of the run.
	slowSince time.Time
	// baseline and deviation describe the service time when warm; baseline is 0 while unknown.
	baseline, deviation time.Duration
	// known is the measured service time before the cold start; 0 while unknown.
	known time.Duration
	// expected is the weight per slot of the service's other upstreams; 0 while unknown.
	expected registrar.Weight
}

// begin puts a new gauge into a cold start, because the upstream may have just started.
func (g *gauge) begin(now time.Time, slots registrar.Slots, w Watcher) {
	if g.slots != 0 {
		return
	}
	g.slots, g.watcher = max(slots, 1), w
	g.service = minService
	g.lastAt = now
	g.cool(now, Started)
}

// setSlots changes the number of slots. A limit that may be higher than before rises with successes, as after a cold start.
func (g *gauge) setSlots(slots registrar.Slots) {
	g.slots = max(slots, 1)
	g.limit = min(g.limit, float64(g.slots))
}

func (g *gauge) cool(now time.Time, r Reason) {
	if g.watcher != nil && (!g.cold || g.coldAt.IsZero()) {
		g.watcher.ColdStart(r)
	}
	if !g.cold && g.samples >= minSamples {
		g.known = g.service
	}
	g.limit, g.cold, g.coldAt, g.announced, g.settled = leastLimit, true, now, r == Returned, false
	g.successes, g.slow = 0, 0
	if g.baseline == 0 {
		g.samples = 0
	}
}

func (g *gauge) wakeIdle(now time.Time, running int) {
	if running == 0 && now.Sub(g.lastAt) > idleTime && g.limit > 1 {
		g.limit = 1
	}
	g.lastAt = now
}

func (g *gauge) observe(now time.Time, r Result, d time.Duration) {
	g.lastAt = now
	switch r {
	case Served:
		g.failures = 0
		g.success(now, max(d, minService))
	case Failed:
		// One failed request may be the request's own fault; a run of them is the upstream's.
		if g.failures++; g.failures >= failureRun {
			g.cool(now, Failing)
		}
	case Lost:
		g.failures++
		g.cool(now, Broken)
	case Abandoned:
		if g.isSlow(d) {
			g.countSlow(now, d)
		}
	}
}

func (g *gauge) isSlow(d time.Duration) bool { return g.baseline > 0 && d > g.slowAfter() }

// slowAfter is the service time above which a request counts as slow. It is used with a known baseline only.
func (g *gauge) slowAfter() time.Duration {
	return max(shiftFactor*g.baseline, g.baseline+4*g.deviation+time.Millisecond)
}

// hold returns the time in which a request that started at the given time counts as slow and lets no other one start. It is
// empty while the warm service time is unknown.
func (g *gauge) hold(startedAt time.Time) (from, until time.Time) {
	if g.baseline == 0 {
		return from, until
	}
	from = startedAt.Add(g.slowAfter())
	return from, from.Add(min(holdFactor*g.baseline+shiftTime, maxPace))
}

func (g *gauge) countSlow(now time.Time, d time.Duration) {
	if now.Add(-d).Before(g.slowAt) {
		return
	}
	g.slowAt = now
	if g.slow++; g.slow == 1 {
		g.slowSince = now
	}
	if g.slow >= shiftRun && now.Sub(g.slowSince) >= shiftTime && !g.cold {
		g.cool(now, Slower)
	}
}

func (g *gauge) success(now time.Time, d time.Duration) {
	if g.cold && !g.settled && g.known == 0 && now.Sub(g.coldAt) >= settleTime {
		g.settled, g.samples = true, 0
	}
	g.measure(d)
	if g.isSlow(d) {
		g.countSlow(now, d)
	} else {
		g.slow = 0
	}
	if g.cold {
		g.ramp(now, d)
		return
	}
	g.limit = min(g.limit+warmStep, float64(g.slots))
	g.learn(d)
}

// measure keeps a mean that is exact for the first samples and fades older ones afterwards.
func (g *gauge) measure(d time.Duration) {
	g.samples++
	g.service += (d - g.service) / time.Duration(min(g.samples, meanOver))
	g.service = max(g.service, minService)
}

func (g *gauge) learn(d time.Duration) {
	if g.baseline == 0 {
		g.baseline, g.deviation = d, d/2
		return
	}
	off := d - g.baseline
	g.baseline += off / 32
	g.deviation += (max(off, -off) - g.deviation) / 32
}

// ramp raises the limit of a cold upstream. The limit stays at the least while the service time is above the known warm
// one, and at one slot until the upstream has had time to settle.
func (g *gauge) ramp(now time.Time, d time.Duration) {
	elapsed := now.Sub(g.coldAt)
	if g.isSlow(d) && elapsed < longestCold {
		g.successes = 0
		return
	}
	g.successes++
	warm := elapsed >= settleTime || g.baseline > 0 && g.successes >= recovered
	switch {
	case g.limit < 1 && g.baseline > 0 && elapsed < longestCold:
		g.limit = min(g.limit*knownStep, 1)
	case g.limit < 1:
		g.limit = min(g.limit+coldStep, 1)
	case warm && g.limit+warmStep < float64(g.slots):
		g.limit += warmStep
	case warm:
		g.limit, g.cold = float64(g.slots), false
		if elapsed >= briefCold && !g.settled {
			g.samples = 0
		}
		if elapsed >= longestCold {
			g.baseline, g.known = 0, 0
		}
		g.learn(d)
		if g.watcher != nil {
			g.watcher.Warm()
		}
	}
}

// Unmeasured is the weight per slot that an upstream announces while neither it nor its peers have been measured.
const Unmeasured = registrar.WeightPerSlot / coldShare

// Expect sets the weight per slot that an upstream without measurements is assumed to have, taken from its peers. The first
// value stays: an assumption that followed the peers could feed back through those that assume one themselves.
func (l *Limiter) Expect(perSlot registrar.Weight) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.expected == 0 {
		l.expected = perSlot
	}
}

// provenWarm reports whether a cold upstream has shown for long enough that it is warm to announce its capacity again. It then
// has either the known service time, or one of its own that was measured after it had time to settle.
func (g *gauge) provenWarm(now time.Time) bool {
	if g.known > 0 {
		return g.cold && g.successes >= provenRun && now.Sub(g.coldAt) >= briefCold
	}
	return g.cold && g.settled && g.measured(now)
}

// measured reports whether the mean service time has enough samples to be announced.
func (g *gauge) measured(now time.Time) bool {
	return g.samples >= minSamples ||
		g.settled && g.samples >= provenRun && now.Sub(g.coldAt) >= settleTime+lowLoadTime
}

// stalled reports whether a cold start that nobody announced is still so short that it may be a stall.
func (g *gauge) stalled(now time.Time) bool {
	return g.cold && !g.announced && g.baseline > 0 && g.failures < failureRun && now.Sub(g.coldAt) < briefCold
}

// perSlot is the service time that the weight is computed from, and whether it was measured.
func (g *gauge) perSlot(now time.Time) (time.Duration, bool) {
	switch {
	case g.known > 0 && (g.provenWarm(now) || !g.cold && g.samples < minSamples):
		return g.known, true
	case g.baseline == 0 && !g.measured(now):
		expected := g.expected
		if expected == 0 {
			expected = registrar.WeightPerSlot
		}
		return Reference * time.Duration(registrar.WeightPerSlot) / time.Duration(expected), false
	}
	return g.service, g.measured(now)
}

// Weight returns the measured capacity: slots at the speed of Reference. While the upstream is cold, or measured too little
// since, only a part of it is announced. The step to the whole capacity is then large enough to pass the 20% below
// which control ignores a move, so that the weight in force starts from an exact value.
func (l *Limiter) Weight(now time.Time) registrar.Weight {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.begin(now, l.Slots, l.Watcher)
	service, measured := l.perSlot(now)
	capacity := float64(l.slots) * float64(registrar.WeightPerSlot) * float64(Reference) / float64(service)
	if !measured || l.cold && !l.stalled(now) && !l.provenWarm(now) {
		capacity /= coldShare
	}
	if l.failures >= failureRun {
		capacity /= coldShare
	}
	return registrar.Weight(max(capacity, 1))
}
