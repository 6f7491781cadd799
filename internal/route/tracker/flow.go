package tracker

import (
	"encoding/binary"
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/peridotstage/peridotstage/internal/route/counter"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

const (
	shardCount = 64
	// udpIdleTimeout is how long a plain UDP flow is kept without packets.
	udpIdleTimeout = 120 * time.Second
	// quicIdleTimeout is how long the flow of a QUIC connection is kept without packets. Probes refresh the flows of open
	// connections every second, and datagrams of an expired flow are routed by their connection ids.
	quicIdleTimeout = 10 * time.Second
	// callerQuietPeriod is how long after the caller's last packet the answers are still sent through the entry of that packet.
	callerQuietPeriod = 300 * time.Millisecond
	// recentEntryCount is the number of recent entries that a flow record holds for sending answers.
	recentEntryCount = 2
)

// nanotime is a time in nanoseconds since the epoch of the tracker. It takes a third of the memory of a time.Time.
type nanotime int64

func (n nanotime) add(d time.Duration) nanotime { return n + nanotime(d) }

// endpoint is a compact netip.AddrPort without pointers. The zero value stands for no address.
type endpoint struct {
	ip   [16]byte
	port uint16
}

func endpointOf(a netip.AddrPort) endpoint {
	if !a.IsValid() {
		return endpoint{}
	}
	return endpoint{ip: a.Addr().As16(), port: a.Port()}
}

func (e endpoint) addrPort() netip.AddrPort {
	if e == (endpoint{}) {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(netip.AddrFrom16(e.ip).Unmap(), e.port)
}

// flowRecord is the state of one flow. Records are stored by value, so that a new flow costs no allocation of its own.
type flowRecord struct {
	// entries are ordered by their last packet, newest first; unused ones are zero.
	entries [recentEntryCount]endpoint
	// redirect is the upstream that holds the flow, or zero if this agent does.
	redirect registrar.UpstreamID
	// lateAnswers is the number of answers sent later than callerQuietPeriod after the caller's last packet.
	lateAnswers uint32
	// closed is true for an ended QUIC connection. Its record is kept until it expires, since the caller may still send packets
	// and has to be told that the connection is gone.
	closed bool
	// unanswered is the number of datagrams from the caller without an answer.
	unanswered uint16
	customer   *counter.Customer
	// generation is the generation that was the newest when the flow was admitted.
	generation registrar.Revision
	// callerPacketAt is the arrival time of the caller's last packet.
	callerPacketAt nanotime
	// expireAt is the time at which the record is removed.
	expireAt nanotime
}

// live reports whether this agent holds the flow and the flow is not closed.
func (r *flowRecord) live() bool { return r.redirect == 0 && !r.closed }

// recordPacket records the arrival of a packet from the caller through an entry.
func (r *flowRecord) recordPacket(now nanotime, entry netip.AddrPort) {
	if e := endpointOf(entry); r.entries[0] != e {
		r.entries[1] = r.entries[0]
		r.entries[0] = e
	}
	r.callerPacketAt = now
}

// flowShard holds a part of the flows by caller. The service address is the same for all flows of an agent.
type flowShard struct {
	mu    sync.Mutex
	flows map[endpoint]flowRecord
}

// put adds or replaces the record of a flow and updates the customer's number of live flows. The shard must be locked.
func (s *flowShard) put(caller endpoint, r flowRecord) {
	if s.flows == nil {
		s.flows = map[endpoint]flowRecord{}
	}
	if old, found := s.flows[caller]; found && old.live() {
		old.customer.AddFlows(-1)
	}
	s.flows[caller] = r
	if r.live() {
		r.customer.AddFlows(1)
	}
}

// remove removes the record of a flow and updates the customer's number of live flows. The shard must be locked.
func (s *flowShard) remove(caller endpoint) {
	r, ok := s.flows[caller]
	if !ok {
		return
	}
	delete(s.flows, caller)
	if r.live() {
		r.customer.AddFlows(-1)
	}
}

func (t *Tracker) shardOf(caller endpoint) *flowShard {
	var key [18]byte
	copy(key[:], caller.ip[:])
	binary.LittleEndian.PutUint16(key[16:], caller.port)
	return &t.shards[xxhash.Sum64(key[:])%shardCount]
}

// Close ends the flow of a caller.
func (t *Tracker) Close(caller netip.AddrPort) {
	t.routeMu.RLock()
	defer t.routeMu.RUnlock()
	key := endpointOf(caller)
	s := t.shardOf(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.flows[key]
	if !ok {
		return
	}
	if t.route == nil || t.route.Service.Transport == registrar.TransportUDP {
		s.remove(key)
		return
	}
	r.closed = true
	s.put(key, r)
}

// Expire removes the flows whose idle timeout has passed.
func (t *Tracker) Expire(now time.Time) {
	nowNanos := t.sinceEpoch(now)
	t.removeFlows(func(r *flowRecord) bool { return nowNanos > r.expireAt })
}

// removeFlows removes the flows for which match returns true.
func (t *Tracker) removeFlows(match func(*flowRecord) bool) {
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for caller, r := range s.flows {
			if match(&r) {
				s.remove(caller)
			}
		}
		s.mu.Unlock()
	}
}

// Stats summarises the flows of the agent.
type Stats struct {
	Flows int
	// OldestGeneration is the oldest generation in which one of the flows was admitted; 0 without flows.
	OldestGeneration registrar.Revision
}

// Stats returns a summary of the flows.
func (t *Tracker) Stats() Stats {
	var st Stats
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		st.Flows += len(s.flows)
		for _, r := range s.flows {
			if r.closed {
				st.Flows--
				continue
			}
			if st.OldestGeneration == 0 || r.generation < st.OldestGeneration {
				st.OldestGeneration = r.generation
			}
		}
		s.mu.Unlock()
	}
	return st
}
