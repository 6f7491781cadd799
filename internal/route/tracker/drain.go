package tracker

import (
	"math"
	"net/netip"
	"time"

	"github.com/peridotstage/peridotstage/internal/route/carrier"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// answerTimeout is how long datagrams of a flow without traffic still count as unanswered. Without this limit, datagrams that
// never get an answer would keep a long-lived flow from ending.
const answerTimeout = 30 * time.Second

// drain bounds the plain UDP flows at a planned stop. It is immutable.
type drain struct {
	// quietPeriod is how long a flow without an unanswered datagram must have carried no packet before it ends.
	quietPeriod time.Duration
	// handOverAt is the time after which a flow ends as soon as it has no unanswered datagram, so that a busy caller moves to
	// another agent between two exchanges.
	handOverAt nanotime
	// deadline is the time at which all remaining flows end.
	deadline nanotime
}

// DrainStatus is the state of the plain UDP flows at a planned stop.
type DrainStatus struct {
	// Remaining is the number of flows that the agent still holds after the call.
	Remaining int
	// EndedAtDeadline is the number of flows that this call ended because of the deadline.
	EndedAtDeadline int
}

// Drain starts to drain the plain UDP flows at a planned stop: the agent admits no new flows and returns the datagrams of ended
// ones to the owner of their bucket, which admits them as new flows. EndFlows ends the flows one by one.
func (t *Tracker) Drain(now time.Time, quietPeriod time.Duration, deadline time.Time) {
	end := t.sinceEpoch(deadline)
	handOver := min(quietPeriod, deadline.Sub(now)/2)
	t.routeMu.Lock()
	defer t.routeMu.Unlock()
	t.drain = &drain{quietPeriod: quietPeriod, handOverAt: end.add(-handOver), deadline: end}
}

// EndFlows ends the flows that have carried no packet for the quiet period, and all flows after the deadline.
func (t *Tracker) EndFlows(now time.Time) DrainStatus {
	t.routeMu.RLock()
	defer t.routeMu.RUnlock()
	var d DrainStatus
	if t.drain == nil {
		return d
	}
	nowNanos := t.sinceEpoch(now)
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for caller, r := range s.flows {
			switch {
			case !r.live():
			case !t.drain.ends(nowNanos, &r):
				d.Remaining++
			default:
				if !t.drain.mayEnd(nowNanos, &r) {
					d.EndedAtDeadline++
				}
				s.remove(caller)
			}
		}
		s.mu.Unlock()
	}
	return d
}

// ends reports whether a flow has to end now.
func (d *drain) ends(now nanotime, r *flowRecord) bool { return now >= d.deadline || d.mayEnd(now, r) }

// mayEnd reports whether a flow can end now without losing an answer.
func (d *drain) mayEnd(now nanotime, r *flowRecord) bool {
	return r.unanswered == 0 && (now >= d.handOverAt || now >= r.lastPacketAt().add(d.quietPeriod))
}

// draining reports whether the agent is draining its plain UDP flows.
func (t *Tracker) draining() bool {
	return t.drain != nil && t.route.Service.Transport == registrar.TransportUDP
}

// lastPacketAt returns the time of the last datagram of a plain UDP flow in either direction.
func (r *flowRecord) lastPacketAt() nanotime { return r.expireAt.add(-udpIdleTimeout) }

// countRequest counts a datagram of the caller as unanswered. It must be called before expireAt, from which the time of the last
// datagram is computed, is renewed.
func (r *flowRecord) countRequest(now nanotime) {
	if now >= r.lastPacketAt().add(answerTimeout) {
		r.unanswered = 0
	}
	if r.unanswered < math.MaxUint16 {
		r.unanswered++
	}
}

// countAnswer counts an answer. An upstream may send more answers than it has received datagrams.
func (r *flowRecord) countAnswer() {
	if r.unanswered > 0 {
		r.unanswered--
	}
}

// Holds reports whether this agent holds the flow of a caller.
func (t *Tracker) Holds(caller netip.AddrPort) bool {
	key := endpointOf(caller)
	s := t.shardOf(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	r, found := s.flows[key]
	return found && r.live()
}

// searchesChain reports whether a datagram of an unknown flow is passed along the chain to find the holder of the flow. The owner
// of the bucket has already searched the chain before it redirects a datagram, but a draining agent has to return the datagrams
// of ended flows.
func (t *Tracker) searchesChain(h *carrier.Header) bool {
	return !h.Has(carrier.Redirected) || t.draining()
}
