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
	// udpFlowIdle is how long a plain UDP flow may stay without packets.
	udpFlowIdle = 120 * time.Second
	// quicFlowIdle is how long the addresses of a QUIC connection are remembered. Probes refresh those of open connections
	// every second, and connection ids find a connection whose addresses are forgotten.
	quicFlowIdle = 10 * time.Second
	// callerQuiet is how long after the caller's last packet answers keep using the same entry.
	callerQuiet = 300 * time.Millisecond
	// recentEntries is the number of entries that a flow remembers for its answers.
	recentEntries = 2
)

// instant is a point in time in nanoseconds since the epoch of the tracker. It takes a third of the memory of time.Time.
type instant int64

func (i instant) add(d time.Duration) instant { return i + instant(d) }

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
	entries [recentEntries]endpoint
	// redirect is the upstream that holds the flow, or zero if this agent does.
	redirect registrar.UpstreamID
	answers  uint32
	// closed records are those of ended QUIC connections. They are kept for a while, since the caller may send on and has to
	// be told that the connection is gone.
	closed bool
	// unanswered counts the datagrams of the caller that no answer has come for.
	unanswered uint16
	customer   *counter.Customer
	// generation is the newest generation when the flow was admitted.
	generation registrar.Revision
	// seenAt is when the caller's last packet arrived.
	seenAt instant
	// expireAt is when the flow is forgotten.
	expireAt instant
}

// live reports whether the record stands for a flow that this agent holds.
func (r *flowRecord) live() bool { return r.redirect == 0 && !r.closed }

func (r *flowRecord) seen(now instant, entry netip.AddrPort) {
	if e := endpointOf(entry); r.entries[0] != e {
		r.entries[1] = r.entries[0]
		r.entries[0] = e
	}
	r.seenAt = now
}

// flowShard holds the flows of some callers. The service address is the same for all flows of an agent.
type flowShard struct {
	mu    sync.Mutex
	flows map[endpoint]flowRecord
}

func (s *flowShard) put(caller endpoint, r flowRecord) {
	if s.flows == nil {
		s.flows = map[endpoint]flowRecord{}
	}
	if old, had := s.flows[caller]; had && old.live() {
		old.customer.AddFlows(-1)
	}
	s.flows[caller] = r
	if r.live() {
		r.customer.AddFlows(1)
	}
}

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

func (t *Tracker) shard(caller endpoint) *flowShard {
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
	s := t.shard(key)
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

// Expire forgets the flows that have been idle too long.
func (t *Tracker) Expire(now time.Time) {
	at := t.instant(now)
	t.forget(func(r *flowRecord) bool { return at > r.expireAt })
}

func (t *Tracker) forget(match func(*flowRecord) bool) {
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
	// Oldest is the oldest generation in which a live flow was admitted; 0 without flows.
	Oldest registrar.Revision
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
			if st.Oldest == 0 || r.generation < st.Oldest {
				st.Oldest = r.generation
			}
		}
		s.mu.Unlock()
	}
	return st
}
