package tracker

import (
	"math"
	"net/netip"
	"time"

	"github.com/peridotstage/peridotstage/internal/route/carrier"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// answerWait is how long datagrams of a flow without traffic still count as unanswered. Those that no answer came for would
// otherwise keep a long-lived flow from ever being quiet.
const answerWait = 30 * time.Second

// drain bounds the plain UDP flows at a planned stop. It is immutable.
type drain struct {
	// quiet is how long a flow without an unanswered datagram must have carried nothing before it ends.
	quiet time.Duration
	// handOverAt is from when a flow ends at its first moment without an unanswered datagram, so that a busy caller moves
	// to another agent between two exchanges.
	handOverAt instant
	// deadline is when all flows end.
	deadline instant
}

// Drained is the state of the plain UDP flows at a planned stop.
type Drained struct {
	// Left is the number of flows that the agent still holds.
	Left int
	// Cut is the number of flows that this call ended because of the deadline.
	Cut int
}

// Drain begins the end of the plain UDP flows at a planned stop: the agent takes no new ones and returns the datagrams of
// ended ones to the owner of their bucket, which takes them as new flows. EndFlows ends the flows one by one.
func (t *Tracker) Drain(now time.Time, quiet time.Duration, deadline time.Time) {
	end := t.instant(deadline)
	handOver := min(quiet, deadline.Sub(now)/2)
	t.routeMu.Lock()
	defer t.routeMu.Unlock()
	t.drain = &drain{quiet: quiet, handOverAt: end.add(-handOver), deadline: end}
}

// EndFlows ends the flows that have been quiet for long enough, and all of them after the deadline.
func (t *Tracker) EndFlows(now time.Time) Drained {
	t.routeMu.RLock()
	defer t.routeMu.RUnlock()
	var d Drained
	if t.drain == nil {
		return d
	}
	at := t.instant(now)
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for caller, r := range s.flows {
			switch {
			case !r.live():
			case !t.drain.over(at, &r):
				d.Left++
			default:
				if !t.drain.settled(at, &r) {
					d.Cut++
				}
				s.remove(caller)
			}
		}
		s.mu.Unlock()
	}
	return d
}

// over reports whether a flow ends.
func (d *drain) over(now instant, r *flowRecord) bool { return now >= d.deadline || d.settled(now, r) }

// settled reports whether a flow may end without the loss of an answer.
func (d *drain) settled(now instant, r *flowRecord) bool {
	return r.unanswered == 0 && (now >= d.handOverAt || now >= r.activeAt().add(d.quiet))
}

// drains reports whether the agent is ending its plain UDP flows.
func (t *Tracker) drains() bool {
	return t.drain != nil && t.route.Service.Transport == registrar.TransportUDP
}

// activeAt is when the last datagram of a plain UDP flow passed, in either direction.
func (r *flowRecord) activeAt() instant { return r.expireAt.add(-udpFlowIdle) }

// asked counts a datagram that waits for an answer. It is called before the time of the last datagram is renewed.
func (r *flowRecord) asked(now instant) {
	if now >= r.activeAt().add(answerWait) {
		r.unanswered = 0
	}
	if r.unanswered < math.MaxUint16 {
		r.unanswered++
	}
}

// answered counts an answer. An upstream may send more answers than it got datagrams.
func (r *flowRecord) answered() {
	if r.unanswered > 0 {
		r.unanswered--
	}
}

// Holds reports whether this agent holds the flow of a caller.
func (t *Tracker) Holds(caller netip.AddrPort) bool {
	key := endpointOf(caller)
	s := t.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.flows[key]
	return ok && r.live()
}

// seeks reports whether the holder of an unknown flow is looked for along the chain. The owner of the bucket has already
// done so for a datagram that it redirects, but an agent that drains has to return the datagrams of ended flows.
func (t *Tracker) seeks(h *carrier.Header) bool { return !h.Has(carrier.Redirected) || t.drains() }
