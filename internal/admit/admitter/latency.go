package admitter

import (
	"math"
	"net/netip"
	"time"

	"github.com/peridotstage/peridotstage/internal/route/carrier"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

const (
	// lowerPriorityShare is the fraction of its target latency that a request may be expected to take, and of the queue of the
	// upstream that it may find in use, if the service has routes of higher priority. Under overload requests of lower priority
	// are therefore refused first.
	lowerPriorityShare = 0.6
	// retransmissionShare is the fraction for retransmitted opening packets. Their callers have waited for 200 ms or more;
	// admitting them like the first packets would displace requests that can still be answered in time.
	retransmissionShare = 0.5
)

// bound limits the load of the upstream up to which a flow is admitted.
type bound struct {
	// latency is the longest time that the request may be expected to take.
	latency time.Duration
	// queueShare is the largest fraction of the upstream's queue that may be in use.
	queueShare float64
}

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

// target returns the target latency of the route with the given address.
func (b *latencyBounds) target(address netip.AddrPort) time.Duration {
	if b != nil {
		if r, ok := b.world.Route(address); ok {
			return r.EffectiveTargetLatency()
		}
	}
	return registrar.DefaultTargetLatency
}

// bound returns the bound for the flow of an opening packet.
func (b *latencyBounds) bound(seg *carrier.Segment) bound {
	target, share := registrar.DefaultTargetLatency, 1.0
	if b == nil {
		return bound{latency: target, queueShare: share}
	}
	if r, ok := b.world.Route(seg.To); ok {
		target = r.EffectiveTargetLatency()
		if r.Priority > b.topPriority {
			share = lowerPriorityShare
		}
	}
	if seg.Attempt() > 0 {
		share *= retransmissionShare
	}
	return bound{latency: time.Duration(share * float64(target)), queueShare: share}
}
