package admitter

import (
	"math"
	"time"

	"github.com/peridotstage/peridotstage/internal/route/carrier"
)

const (
	// repeatWeight is the weight of the newest request in the share of requests whose flows carried one before.
	repeatWeight = 1.0 / 32
	// minRepeatShare is the share from which flows count as long, so that the demand says how much later requests an upstream can expect.
	// Where a flow carries one request, the requests of the moment say more than a mean over seconds.
	minRepeatShare = 0.5
)

// demand is the mean number of requests in flight with exponentially decaying weights. It is brought up to date when the number changes
// and when it is reported.
type demand struct {
	mean      float64
	updatedAt time.Time
	// startedAt is the time of the first update.
	startedAt time.Time
	// repeatShare is the moving average of the share of requests whose flows carried one before.
	repeatShare float64
}

// advance adds the time since the last update, in which inFlight requests were in flight.
func (d *demand) advance(now time.Time, inFlight int) {
	if d.startedAt.IsZero() {
		d.startedAt, d.updatedAt = now, now
	}
	// Packets are handled concurrently, so times may be out of order by a little.
	if elapsed := now.Sub(d.updatedAt); elapsed > 0 {
		decay := math.Exp(-elapsed.Seconds() / carrier.DemandPeriod.Seconds())
		d.mean = float64(inFlight) + (d.mean-float64(inFlight))*decay
		d.updatedAt = now
	}
}

// report returns the demand for a load report. It is 0, which means unknown, in the first DemandPeriod and while flows carry one request.
func (d *demand) report(now time.Time, inFlight int) carrier.Demand {
	d.advance(now, inFlight)
	if now.Sub(d.startedAt) < carrier.DemandPeriod || d.repeatShare < minRepeatShare {
		return 0
	}
	return carrier.Demand(min(max(math.Round(d.mean*float64(carrier.DemandUnit)), 1), math.MaxUint16))
}

// recordRepeat records a request. repeated is true if its flow carried one before.
func (u *upstream) recordRepeat(repeated bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	newest := 0.0
	if repeated {
		newest = 1
	}
	u.demand.repeatShare += repeatWeight * (newest - u.demand.repeatShare)
}
