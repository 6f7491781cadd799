package admitter

import (
	"math"
	"time"

	"github.com/peridotstage/peridotstage/internal/route/carrier"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

const (
	// lowerPriorityShare is the fraction of its target latency that a request may be expected to take if the service has routes
	// of higher priority. Under overload requests of lower priority are therefore refused first.
	lowerPriorityShare = 0.6
	// retransmissionShare is the fraction for retransmitted opening packets. Their callers have waited for 200 ms or more;
	// admitting them like the first packets would displace requests that can still be answered in time.
	retransmissionShare = 0.5
)

// latencyBounds derives from the configuration how long requests of a route may be expected to take. It is immutable.
type latencyBounds struct {
	world *registrar.World
	// topPriority is the highest priority among the routes to the service, which is the smallest number.
	topPriority registrar.Priority
}

func newLatencyBounds(w *registrar.World, service registrar.ServiceName) *latencyBounds {
	b := &latencyBounds{world: w, topPriority: math.MaxUint8}
	for _, r := range w.Routes() {
		if r.Allows(service) {
			b.topPriority = min(b.topPriority, r.Priority)
		}
	}
	return b
}

// bound returns the expected latency up to which the flow of an opening packet is admitted.
func (b *latencyBounds) bound(seg *carrier.Segment) time.Duration {
	bound, share := registrar.DefaultTargetLatency, 1.0
	if b == nil {
		return bound
	}
	if r, ok := b.world.Route(seg.To); ok {
		bound = r.EffectiveTargetLatency()
		if r.Priority > b.topPriority {
			share = lowerPriorityShare
		}
	}
	if seg.Attempt() > 0 {
		share *= retransmissionShare
	}
	return time.Duration(share * float64(bound))
}
