package limiter

import (
	"time"

	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

const (
	// minLimit is the limit at the beginning of a cold start: a quarter of one slot, enforced by pauses between requests.
	minLimit = 0.25
	// settleTime is how long an upstream without a known warm service time runs one request at a time. If the
	// upstream stays cold for longer, its service time keeps falling after settleTime.
	settleTime = 10 * time.Second
	// maxColdTime ends a cold start whose service time stays high, because the upstream has become permanently slower.
	maxColdTime = 30 * time.Second
	// limitStepBelowOne is the increase of the limit after a success while the limit is below one slot; limitStep is the increase
	// from one slot on.
	limitStepBelowOne, limitStep = 0.025, 0.125
	// recoveryFactor is the factor by which a success at the known warm service time raises a limit below one slot.
	recoveryFactor = 1.25
	// recoverySuccesses is the number of successes at the warm service time that end a cold start before settleTime.
	recoverySuccesses = 20
	// provenSuccesses is the number of consecutive successes at the known warm service time that restore the announced weight;
	// the limit still rises in its own steps. With 20, an upstream with two requests per second announced a quarter of its
	// capacity for more than 40 s after the return of its zone.
	provenSuccesses = 5
	// lowLoadWait is the time after settleTime from which provenSuccesses samples are enough instead of minSamples.
	lowLoadWait = 5 * time.Second
	// slowFactor is the multiple of the warm service time above which a request is slow. The service time in a cold start is a
	// larger multiple.
	slowFactor = 2
	// minSlowRequests is the number of slow requests, each started after the previous one ended, that start a cold start. A single
	// slow request, or one stall of the machine that delays the requests in all slots, does not.
	minSlowRequests = 2
	// minSlowMultiple is the least sum of the durations of the slow requests that start a cold start, in warm service times. Three
	// requests reach it at four times the warm service time, and five at 2.5 times. With two requests, whatever their durations, late
	// answers of a busy machine counted as a cold start several times a minute.
	minSlowMultiple = 10
	// minSlowTime is the time from the first to the last slow request that starts a cold start. Service times of about 1 ms rise
	// to several times their value in each stall of a busy machine.
	minSlowTime = 40 * time.Millisecond
	// holdFactor bounds, in warm service times, how long a slow request that is still running keeps others from starting. Such a
	// request is the first sign of an unannounced cold start; without a bound, one request that takes minutes would block all
	// others.
	holdFactor = 8
	// failureThreshold is the number of consecutive failures after which the upstream counts as cold and admits no new flows.
	failureThreshold = 5
	// idleTimeout is the time without requests after which the state of the upstream is unknown and the limit restarts from at
	// most one slot.
	idleTimeout = 10 * time.Second
	// minServiceTime keeps estimates and pauses above the resolution of timers.
	minServiceTime = 50 * time.Microsecond
	// maxPacedTime bounds the request duration that pauses are computed from, so that a stuck request does not block the upstream.
	maxPacedTime = 1 * time.Second
	// meanWindow is the number of requests that the moving average of the service time covers, and minSamples is the number from
	// which the average is announced.
	meanWindow, minSamples = 256, 16
	// ReferenceServiceTime is the service time at which one slot has the weight registrar.WeightPerSlot. All agents use the same
	// value, so that the weights of different upstreams are comparable.
	ReferenceServiceTime = 10 * time.Millisecond
	// minColdTime is how long a cold start has to last before it changes the announced weight of an upstream that was measured
	// before. A shorter one counts as a stall, because each change of a weight moves buckets to other upstreams.
	minColdTime = 3 * time.Second
	// coldDivisor divides the capacity that a cold upstream announces.
	coldDivisor = 4
)

// Reason is the cause of a cold start.
type Reason string

// The reasons of a cold start.
const (
	ReasonStarted   Reason = "agent started"
	ReasonAnnounced Reason = "announced"
	ReasonSlower    Reason = "service time rose"
	ReasonFailing   Reason = "failures in a row"
	ReasonBroken    Reason = "connection broke"
)

// Watcher is notified of cold starts and their ends. It is called with the limiter's lock held.
type Watcher interface {
	ColdStart(Reason)
	Warm()
}

// estimator measures the service time of an upstream and derives its concurrency limit. The limiter's lock guards it.
type estimator struct {
	watcher Watcher
	slots   registrar.Slots
	// limit is the concurrency limit, between minLimit and slots.
	limit     float64
	cold      bool
	coldSince time.Time
	// coldReason is the reason of the latest cold start.
	coldReason Reason
	// settled is true if the samples began settleTime after a cold start without a known warm service time.
	settled     bool
	lastEventAt time.Time
	// successes, slowRequests and failures are the numbers of consecutive requests of each kind.
	successes, slowRequests, failures int
	// slowMultiple is the sum of the durations of the consecutive slow requests, in warm service times.
	slowMultiple float64
	// serviceTime is the moving average of the request durations, at least minServiceTime.
	serviceTime time.Duration
	samples     int
	// lastSlowEnd is the end of the last request that was counted as slow.
	lastSlowEnd time.Time
	// firstSlowEnd is the end of the first of the consecutive slow requests.
	firstSlowEnd time.Time
	// baseline and deviation are the mean and the mean deviation of the warm service time; baseline is 0 while unknown.
	baseline, deviation time.Duration
	// previousServiceTime is the service time that was measured before the cold start; 0 while unknown.
	previousServiceTime time.Duration
	// peerWeight is the weight per slot of the service's other upstreams; 0 while unknown.
	peerWeight registrar.Weight
}

// initialize starts a cold start on first use, because the upstream may have just started. Later calls do nothing.
func (e *estimator) initialize(now time.Time, slots registrar.Slots, w Watcher) {
	if e.slots != 0 {
		return
	}
	e.slots, e.watcher = max(slots, 1), w
	e.serviceTime = minServiceTime
	e.lastEventAt = now
	e.startCold(now, ReasonStarted)
}

// setSlots changes the number of slots. If the number grows, the limit rises with successes, as after a cold start.
func (e *estimator) setSlots(slots registrar.Slots) {
	e.slots = max(slots, 1)
	e.limit = min(e.limit, float64(e.slots))
}

func (e *estimator) startCold(now time.Time, reason Reason) {
	if e.watcher != nil && (!e.cold || e.coldSince.IsZero()) {
		e.watcher.ColdStart(reason)
	}
	if !e.cold && e.samples >= minSamples {
		e.previousServiceTime = e.serviceTime
	}
	e.limit, e.cold, e.coldSince, e.coldReason, e.settled = minLimit, true, now, reason, false
	e.successes = 0
	e.endSlowRequests()
	if e.baseline == 0 {
		e.samples = 0
	}
}

// noteArrival records the arrival of a request. After idleTimeout without requests the limit falls to one slot.
func (e *estimator) noteArrival(now time.Time, running int) {
	if running == 0 && now.Sub(e.lastEventAt) > idleTimeout && e.limit > 1 {
		e.limit = 1
	}
	e.lastEventAt = now
}

func (e *estimator) recordResult(now time.Time, result Result, runTime time.Duration) {
	e.lastEventAt = now
	switch result {
	case Served:
		e.failures = 0
		e.recordSuccess(now, max(runTime, minServiceTime))
	case Failed:
		// A single failure may be caused by the request itself; consecutive failures indicate a fault of the upstream.
		if e.failures++; e.failures >= failureThreshold {
			e.startCold(now, ReasonFailing)
		}
	case Lost:
		e.failures++
		e.startCold(now, ReasonBroken)
	case Abandoned:
		if e.isSlow(runTime) {
			e.recordSlow(now, runTime)
		}
	}
}

func (e *estimator) isSlow(runTime time.Duration) bool {
	return e.baseline > 0 && runTime > e.slowThreshold()
}

// slowThreshold is the duration above which a request counts as slow. It is valid only if the baseline is known.
func (e *estimator) slowThreshold() time.Duration {
	return max(slowFactor*e.baseline, e.baseline+4*e.deviation+time.Millisecond)
}

// holdWindow returns the time span in which a running request that started at startedAt counts as slow and keeps other requests
// from starting. The span is empty while the warm service time is unknown.
func (e *estimator) holdWindow(startedAt time.Time) (holdStart, holdEnd time.Time) {
	if e.baseline == 0 {
		return holdStart, holdEnd
	}
	holdStart = startedAt.Add(e.slowThreshold())
	return holdStart, holdStart.Add(min(holdFactor*e.baseline+minSlowTime, maxPacedTime))
}

func (e *estimator) recordSlow(now time.Time, runTime time.Duration) {
	if now.Add(-runTime).Before(e.lastSlowEnd) {
		return
	}
	e.lastSlowEnd = now
	if e.slowRequests++; e.slowRequests == 1 {
		e.firstSlowEnd = now
	}
	e.slowMultiple += float64(runTime) / float64(e.baseline)
	if e.slowRequests >= minSlowRequests && e.slowMultiple >= minSlowMultiple && now.Sub(e.firstSlowEnd) >= minSlowTime && !e.cold {
		e.startCold(now, ReasonSlower)
	}
}

// endSlowRequests ends a series of consecutive slow requests.
func (e *estimator) endSlowRequests() { e.slowRequests, e.slowMultiple = 0, 0 }

func (e *estimator) recordSuccess(now time.Time, runTime time.Duration) {
	if e.cold && !e.settled && e.previousServiceTime == 0 && now.Sub(e.coldSince) >= settleTime {
		e.settled, e.samples = true, 0
	}
	e.updateServiceTime(runTime)
	if e.isSlow(runTime) {
		e.recordSlow(now, runTime)
	} else {
		e.endSlowRequests()
	}
	if e.cold {
		e.raiseLimit(now, runTime)
		return
	}
	e.limit = min(e.limit+limitStep, float64(e.slots))
	e.updateBaseline(runTime)
}

// updateServiceTime updates the mean of the request durations. It is exact for the first meanWindow samples and exponentially
// weighted afterwards.
func (e *estimator) updateServiceTime(runTime time.Duration) {
	e.samples++
	e.serviceTime += (runTime - e.serviceTime) / time.Duration(min(e.samples, meanWindow))
	e.serviceTime = max(e.serviceTime, minServiceTime)
}

func (e *estimator) updateBaseline(runTime time.Duration) {
	if e.baseline == 0 {
		e.baseline, e.deviation = runTime, runTime/2
		return
	}
	difference := runTime - e.baseline
	e.baseline += difference / 32
	e.deviation += (max(difference, -difference) - e.deviation) / 32
}

// raiseLimit raises the limit of a cold upstream after a success. The limit stays at one slot until settleTime has passed or
// recoverySuccesses requests have succeeded. It does not rise while requests are slower than the known warm service time, unless
// the rise of the service time is the only sign of a cold start: then it rises to one slot, because an upstream that has become
// slower for good would otherwise get a quarter of a slot for maxColdTime.
func (e *estimator) raiseLimit(now time.Time, runTime time.Duration) {
	elapsed := now.Sub(e.coldSince)
	if e.isSlow(runTime) && elapsed < maxColdTime {
		e.successes = 0
		if e.coldReason == ReasonSlower && e.limit < 1 {
			e.limit = min(e.limit+limitStepBelowOne, 1)
		}
		return
	}
	e.successes++
	warm := elapsed >= settleTime || e.baseline > 0 && e.successes >= recoverySuccesses
	switch {
	case e.limit < 1 && e.baseline > 0 && elapsed < maxColdTime:
		e.limit = min(e.limit*recoveryFactor, 1)
	case e.limit < 1:
		e.limit = min(e.limit+limitStepBelowOne, 1)
	case warm && e.limit+limitStep < float64(e.slots):
		e.limit += limitStep
	case warm:
		e.limit, e.cold = float64(e.slots), false
		if elapsed >= minColdTime && !e.settled {
			e.samples = 0
		}
		if elapsed >= maxColdTime {
			e.baseline, e.previousServiceTime = 0, 0
		}
		e.updateBaseline(runTime)
		if e.watcher != nil {
			e.watcher.Warm()
		}
	}
}

// UnmeasuredWeight is the weight per slot that an upstream announces while neither it nor its peers have been measured.
const UnmeasuredWeight = registrar.WeightPerSlot / coldDivisor

// SetPeerWeight sets the weight per slot that is assumed for an upstream without measurements, taken from its peers. Only the
// first call has an effect: an assumption that followed the peers would create a feedback loop with peers that assume a weight
// themselves.
func (l *Limiter) SetPeerWeight(weightPerSlot registrar.Weight) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.peerWeight == 0 {
		l.peerWeight = weightPerSlot
	}
}

// isProvenWarm reports whether a cold upstream may announce its whole capacity again: it has either answered often enough at the
// known warm service time, or was measured after settleTime.
func (e *estimator) isProvenWarm(now time.Time) bool {
	if e.previousServiceTime > 0 {
		return e.cold && e.successes >= provenSuccesses && now.Sub(e.coldSince) >= minColdTime
	}
	return e.cold && e.settled && e.isMeasured(now)
}

// isMeasured reports whether the mean service time has enough samples to be announced.
func (e *estimator) isMeasured(now time.Time) bool {
	return e.samples >= minSamples ||
		e.settled && e.samples >= provenSuccesses && now.Sub(e.coldSince) >= settleTime+lowLoadWait
}

// mayBeStall reports whether an unannounced cold start is still so short that it may be a stall.
func (e *estimator) mayBeStall(now time.Time) bool {
	return e.cold && e.coldReason != ReasonAnnounced && e.baseline > 0 && e.failures < failureThreshold && now.Sub(e.coldSince) < minColdTime
}

// announcedServiceTime returns the service time that the announced weight is computed from, and whether it was measured.
func (e *estimator) announcedServiceTime(now time.Time) (time.Duration, bool) {
	switch {
	case e.previousServiceTime > 0 && (e.isProvenWarm(now) || !e.cold && e.samples < minSamples):
		return e.previousServiceTime, true
	case e.baseline == 0 && !e.isMeasured(now):
		peerWeight := e.peerWeight
		if peerWeight == 0 {
			peerWeight = registrar.WeightPerSlot
		}
		return ReferenceServiceTime * time.Duration(registrar.WeightPerSlot) / time.Duration(peerWeight), false
	}
	return e.serviceTime, e.isMeasured(now)
}

// Weight returns the capacity to announce: the number of slots, weighted by the ratio of ReferenceServiceTime to the measured
// service time. While the upstream is cold or has too few samples, the capacity is divided by coldDivisor. The later step to the
// whole capacity exceeds the 20% below which control ignores a change, so the weight in force then equals the measured one.
func (l *Limiter) Weight(now time.Time) registrar.Weight {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.initialize(now, l.Slots, l.Watcher)
	serviceTime, measured := l.announcedServiceTime(now)
	capacity := float64(l.slots) * float64(registrar.WeightPerSlot) * float64(ReferenceServiceTime) / float64(serviceTime)
	if !measured || l.cold && !l.mayBeStall(now) && !l.isProvenWarm(now) {
		capacity /= coldDivisor
	}
	if l.failures >= failureThreshold {
		capacity /= coldDivisor
	}
	return registrar.Weight(max(capacity, 1))
}
