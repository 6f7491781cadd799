// Package ejector decides which upstreams of a service fail so many more requests than the others that new flows avoid them. It
// judges by the answers to callers, because a status check may succeed while requests fail. An agent counts the outcomes of its
// upstream with Outcomes; an entry compares the upstreams of a service with Threshold.
package ejector

import (
	"slices"
	"time"

	"github.com/peridotstage/peridotstage/internal/route/carrier"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

const (
	// outcomeWeight is the weight of the newest outcome in the moving average. Two failures in a row exceed minFailing, and twelve
	// successes in a row undo a total failure.
	outcomeWeight = 1.0 / 8
	// outcomeLifetime is how long outcomes count after the newest one, so that an upstream that nobody probes gets flows again.
	outcomeLifetime = 10 * time.Second
	// probeInterval is the time from a probe that has failed to the next one. It bounds how many requests fail in probes.
	probeInterval = 400 * time.Millisecond
	// unansweredProbeInterval is the time from a probe without an answer to the next one. It is longer, because the caller of such a
	// request has usually no time left to repeat it.
	unansweredProbeInterval = time.Second
	// minFailing is the smallest share of failed requests at which an upstream counts as failing. A healthy upstream that fails
	// single requests stays below it.
	minFailing = 0.2
	// baselineSlots is the fraction of a service's slots whose upstreams fail least. They are the baseline for the others, so at
	// least this fraction of the capacity is never ejected.
	baselineSlots = 0.25
	// baselineMultiple is how much the threshold rises with the share of failed requests of the baseline. Upstreams that all fail
	// alike differ by chance, and must not be ejected for it.
	baselineMultiple = 1.25
)

// Outcomes is the recent share of failed requests of one upstream, and the time of its next probe. The caller guards it.
type Outcomes struct {
	// failing is the moving average of the outcomes, from 0 (all succeeded) to 1 (all failed).
	failing float64
	// newestAt is the time of the newest outcome.
	newestAt time.Time
	// probeAt is the time from which the next probe is allowed.
	probeAt time.Time
}

// RecordSuccess records a request that succeeded. It allows the next probe at once, so that a recovered upstream soon gets its
// share of new flows again.
func (o *Outcomes) RecordSuccess(now time.Time) {
	o.record(now, 0)
	o.probeAt = now
}

// RecordFailure records a request whose answer says that it failed.
func (o *Outcomes) RecordFailure(now time.Time) {
	o.record(now, 1)
	if next := now.Add(probeInterval); next.Before(o.probeAt) {
		o.probeAt = next
	}
}

// RecordSilence records a request without an answer.
func (o *Outcomes) RecordSilence(now time.Time) { o.record(now, 1) }

// record adds an outcome to the moving average: 0 for a success, 1 for a failure.
func (o *Outcomes) record(now time.Time, outcome float64) {
	o.failing = o.current(now) + outcomeWeight*(outcome-o.current(now))
	o.newestAt = now
}

func (o *Outcomes) current(now time.Time) float64 {
	if now.Sub(o.newestAt) > outcomeLifetime {
		return 0
	}
	return o.failing
}

// Share returns the recent share of failed requests.
func (o *Outcomes) Share(now time.Time) carrier.FailureShare {
	return carrier.FailureShare(o.current(now)*carrier.AllFailed + 0.5)
}

// Fails reports whether the upstream fails so many requests that entries may count it as failing.
func Fails(s carrier.FailureShare) bool { return float64(s) > minFailing*carrier.AllFailed }

// ProbeDue reports whether the upstream may get a probe.
func (o *Outcomes) ProbeDue(now time.Time) bool { return !now.Before(o.probeAt) }

// StartProbe reserves the probe that is due. It returns false if none is due.
func (o *Outcomes) StartProbe(now time.Time) bool {
	if !o.ProbeDue(now) {
		return false
	}
	o.probeAt = now.Add(unansweredProbeInterval)
	return true
}

// Upstream is what an entry knows about the failures of an upstream.
type Upstream struct {
	Share carrier.FailureShare
	Slots registrar.Slots
}

// Threshold returns the share of failed requests above which an upstream of a service is failing. It reorders all.
func Threshold(all []Upstream) carrier.FailureShare {
	slices.SortFunc(all, func(a, b Upstream) int { return int(a.Share) - int(b.Share) })
	var sum, counted float64
	for _, u := range all {
		sum += float64(u.Slots)
	}
	var baseline carrier.FailureShare
	for _, u := range all {
		if counted += float64(u.Slots); counted >= baselineSlots*sum {
			baseline = u.Share
			break
		}
	}
	threshold := minFailing*carrier.AllFailed + baselineMultiple*float64(baseline)
	return carrier.FailureShare(min(threshold, carrier.AllFailed))
}
