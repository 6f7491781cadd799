package admitter

import (
	"math"
	"time"

	"github.com/peridotstage/peridotstage/internal/route/carrier"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

const (
	// otherShare is the part of its target latency that a request may be expected to take if routes of the service are more
	// urgent. What is left keeps room for those: under overload the less urgent ones are turned away first.
	otherShare = 0.6
	// lateShare is the part for copies of an opening packet. Their callers have waited for 200 ms or more, so they must not take
	// the place of requests that can still be answered in time.
	lateShare = 0.5
	// defaultTarget stands for the target latency of a route without one.
	defaultTarget = 200 * time.Millisecond
)

// urgency says how long the requests of each route to a service may be expected to take. It is immutable.
type urgency struct {
	world *registrar.World
	// first is the priority of the most urgent routes.
	first registrar.Priority
}

func newUrgency(w *registrar.World, service registrar.ServiceName) *urgency {
	u := &urgency{world: w, first: math.MaxUint8}
	for _, r := range w.Routes() {
		if r.Allows(service) {
			u.first = min(u.first, r.Priority)
		}
	}
	return u
}

// bound returns how long the request of an opening packet may be expected to take for the upstream to get it.
func (u *urgency) bound(seg *carrier.Segment) time.Duration {
	bound, share := defaultTarget, 1.0
	if u == nil {
		return bound
	}
	if r, ok := u.world.Route(seg.To); ok {
		if r.TargetLatency > 0 {
			bound = time.Duration(r.TargetLatency) * time.Millisecond
		}
		if r.Priority > u.first {
			share = otherShare
		}
	}
	if seg.Attempt() > 0 {
		share *= lateShare
	}
	return time.Duration(share * float64(bound))
}
