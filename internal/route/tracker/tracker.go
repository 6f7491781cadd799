// Package tracker decides, at an agent, what happens to each datagram that another machine forwards: deliver it to a flow
// of this agent, pass it along the chain of its bucket, admit a new flow, or drop it.
package tracker

import (
	"encoding/binary"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/peridotstage/peridotstage/internal/route/balancer"
	"github.com/peridotstage/peridotstage/internal/route/carrier"
	"github.com/peridotstage/peridotstage/internal/route/counter"
	"github.com/peridotstage/peridotstage/internal/route/resolver"
	"github.com/peridotstage/peridotstage/internal/route/stamper"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// Lease tells whether the machine may act on the configuration that it holds.
type Lease interface {
	Valid(now time.Time) bool
}

// Admitter decides whether the upstream can take one more flow.
type Admitter interface {
	AdmitFlow(now time.Time) bool
}

// Action is what the agent does with a datagram.
type Action uint8

// The actions of a verdict.
const (
	// Drop discards the datagram for the reason of the verdict.
	Drop Action = iota
	// Deliver hands the datagram to this agent's connection of the flow.
	Deliver
	// PassOn sends the datagram to another agent.
	PassOn
)

// Verdict is the decision about one datagram.
type Verdict struct {
	Action Action
	Reason carrier.DropReason
	// To and Header are set for PassOn.
	To     netip.AddrPort
	Header carrier.Header
}

const (
	shardCount = 64
	// flowIdle is how long a flow may stay without packets. It exceeds the QUIC idle timeout of 30 s.
	flowIdle = 120 * time.Second
	// callerQuiet is how long after the caller's last packet answers keep using the same entry.
	callerQuiet = 300 * time.Millisecond
	// recentEntries is the number of entries that a flow remembers for its answers.
	recentEntries = 2
	// longHeader is the bit that marks QUIC packets with a long header (RFC 9000, section 17.2).
	longHeader = 0x80
)

// flowRecord is the state of one flow.
type flowRecord struct {
	// entries are ordered by their last packet, newest first; unused ones are zero.
	entries  [recentEntries]netip.AddrPort
	customer *counter.Customer
	name     registrar.CustomerName
	// redirect is the upstream that holds the flow, or zero if this agent does.
	redirect registrar.UpstreamID
	// generation is the newest generation when the flow was admitted.
	generation registrar.Revision
	// quietAt is when the entry of the last packet stops being the only one used for answers.
	quietAt time.Time
	// expireAt is when the flow is forgotten.
	expireAt time.Time
	answers  uint32
}

type flowShard struct {
	mu    sync.Mutex
	flows map[registrar.Flow]*flowRecord
}

// Tracker holds the flows of one agent. The exported fields are set before first use.
type Tracker struct {
	Upstream registrar.UpstreamName
	Service  registrar.ServiceName
	Lease    Lease
	Admitter Admitter
	Counter  *counter.Counter
	Stamper  *stamper.Stamper

	// routeMu is held for reading while a datagram is decided, so that a cut falls clearly before or after it.
	routeMu sync.RWMutex
	route   *resolver.Route
	self    registrar.UpstreamView
	ok      bool
	shards  [shardCount]flowShard
	// draining is true once new connections belong to other agents.
	draining atomic.Bool
}

// Drain passes new connections to other agents, also those of callers whose earlier connection is still open here.
func (t *Tracker) Drain() { t.draining.Store(true) }

func (t *Tracker) shard(f registrar.Flow) *flowShard {
	var key [18]byte
	ip := f.Caller.Addr().As16()
	copy(key[:], ip[:])
	binary.LittleEndian.PutUint16(key[16:], f.Caller.Port())
	return &t.shards[xxhash.Sum64(key[:])%shardCount]
}

// Update replaces the route by that of the configuration and forgets the flows of customers that are cut off.
func (t *Tracker) Update(w *registrar.World) {
	v, ok := w.View(t.Service)
	at := w.Revision()
	t.routeMu.Lock()
	defer t.routeMu.Unlock()
	t.ok = false
	if !ok {
		t.route = nil
		return
	}
	t.route = resolver.New(v, at, t.route)
	t.self, t.ok = t.route.UpstreamNamed(t.Upstream)
	cut := map[registrar.CustomerName]bool{}
	t.route.CutCustomers(func(name registrar.CustomerName, at registrar.Revision) {
		cut[name] = true
		t.Counter.Customer(name).EnforceCut(at)
	})
	if len(cut) > 0 {
		t.forget(func(_ registrar.Flow, r *flowRecord) bool { return cut[r.name] })
	}
}

// Self returns this agent's upstream. ok is false until the configuration contains it.
func (t *Tracker) Self() (u registrar.UpstreamView, ok bool) {
	t.routeMu.RLock()
	defer t.routeMu.RUnlock()
	return t.self, t.ok
}

// Allowed reports whether the customer of a source address may use the service at present, and the customer's name.
func (t *Tracker) Allowed(addr netip.Addr) (registrar.CustomerName, bool) {
	t.routeMu.RLock()
	defer t.routeMu.RUnlock()
	if t.route == nil {
		return "", false
	}
	name, cut, ok := t.route.Customer(addr)
	return name, ok && !cut
}

// Receive decides about a forwarded datagram.
func (t *Tracker) Receive(now time.Time, h *carrier.Header, payload []byte) Verdict {
	v := t.receive(now, h, payload)
	if v.Action == Drop {
		t.Counter.Drop(v.Reason)
	}
	return v
}

func dropped(r carrier.DropReason) Verdict { return Verdict{Reason: r} }

func (t *Tracker) receive(now time.Time, h *carrier.Header, payload []byte) Verdict {
	if h.Kind != carrier.Forward {
		return dropped(carrier.DropMalformed)
	}
	if !t.Lease.Valid(now) {
		return dropped(carrier.DropNoLease)
	}
	t.routeMu.RLock()
	defer t.routeMu.RUnlock()
	switch {
	case !t.ok:
		return dropped(carrier.DropUnknownService)
	case h.Service != t.route.Service.ID || h.Flow.Service != t.route.Service.Address:
		return dropped(carrier.DropWrongService)
	case h.Target != t.self.ID:
		return dropped(carrier.DropWrongTarget)
	case t.self.ZoneWithdrawn:
		return dropped(carrier.DropZoneWithdrawn)
	}
	name, cut, ok := t.route.Customer(h.Flow.Caller.Addr())
	if !ok {
		return dropped(carrier.DropNoContract)
	}
	customer := t.Counter.Customer(name)
	if cut {
		customer.Drop()
		return dropped(carrier.DropCut)
	}
	v := t.place(now, h, payload, name, customer)
	switch v.Action {
	case Deliver:
		customer.Pass(now)
	case Drop:
		customer.Drop()
	}
	return v
}

// place finds the agent that holds or should hold the flow.
func (t *Tracker) place(now time.Time, h *carrier.Header, payload []byte, name registrar.CustomerName, customer *counter.Customer) Verdict {
	s := t.shard(h.Flow)
	s.mu.Lock()
	defer s.mu.Unlock()
	if v, moved := t.move(h, payload); moved {
		return v
	}
	if r := s.flows[h.Flow]; r != nil {
		r.expireAt = now.Add(flowIdle)
		if r.redirect != 0 && !h.Has(carrier.Direct) {
			return t.passTo(h, r.redirect, carrier.Redirected)
		}
		r.redirect = 0
		r.seen(now, h.Entry)
		return Verdict{Action: Deliver}
	}
	if h.Has(carrier.Direct) {
		s.add(now, h, t.record(name, customer))
		return Verdict{Action: Deliver}
	}
	if !h.Has(carrier.Redirected) {
		if v, done := t.follow(h); done {
			return v
		}
	}
	return t.admit(now, s, h, payload, name, customer)
}

// move passes the handshake of a new connection to the owner of its bucket while this agent drains. Packets of established
// connections are short or name this agent in their connection id, so they stay.
func (t *Tracker) move(h *carrier.Header, payload []byte) (Verdict, bool) {
	long := len(payload) > 0 && payload[0]&longHeader != 0
	if !t.draining.Load() || h.Has(carrier.Direct) || !long || t.route.Service.Transport != registrar.TransportQUIC {
		return Verdict{}, false
	}
	chain := t.route.Chain(balancer.BucketOf(h.Flow))
	if chain.Len() == 0 || chain.At(0) == t.self.ID {
		return Verdict{}, false
	}
	return t.passTo(h, chain.At(0), carrier.Unclaimed), true
}

// follow passes a datagram of an unknown flow along the chain of its bucket. It returns false if the flow may start here.
func (t *Tracker) follow(h *carrier.Header) (Verdict, bool) {
	chain := t.route.Chain(balancer.BucketOf(h.Flow))
	at := chain.Index(t.self.ID)
	switch {
	case chain.Len() == 0:
		return dropped(carrier.DropNoUpstream), true
	case h.Has(carrier.Unclaimed):
		if at == 0 {
			return Verdict{}, false
		}
		// The sender and this agent disagree about the owner, so the chain is followed once more from its start.
		return t.passTo(h, chain.At(0), 0), true
	case at < 0:
		return t.passTo(h, chain.At(0), 0), true
	case at+1 < chain.Len():
		return t.passTo(h, chain.At(at+1), 0), true
	case at > 0:
		return t.passTo(h, chain.At(0), carrier.Unclaimed), true
	}
	return Verdict{}, false
}

// admit starts a flow here or passes it to the second choice of its bucket.
func (t *Tracker) admit(now time.Time, s *flowShard, h *carrier.Header, payload []byte, name registrar.CustomerName, customer *counter.Customer) Verdict {
	if !t.mayStart(payload) {
		return dropped(carrier.DropUnknownFlow)
	}
	if t.takesNewFlows() && t.Admitter.AdmitFlow(now) {
		s.add(now, h, t.record(name, customer))
		return Verdict{Action: Deliver}
	}
	second := t.route.Newest().Choice(balancer.BucketOf(h.Flow)).Second
	if h.Has(carrier.Redirected) || second == 0 || second == t.self.ID {
		return dropped(carrier.DropRefused)
	}
	v := t.passTo(h, second, carrier.Redirected)
	if v.Action == PassOn {
		r := t.record(name, customer)
		r.redirect = second
		s.add(now, h, r)
	}
	return v
}

func (t *Tracker) mayStart(payload []byte) bool {
	if t.route.Service.Transport == registrar.TransportUDP {
		return true
	}
	kind, _ := stamper.Parse(payload)
	return kind == stamper.Initial
}

func (t *Tracker) takesNewFlows() bool { return !t.self.Retired && !t.self.Silent }

func (t *Tracker) record(name registrar.CustomerName, customer *counter.Customer) *flowRecord {
	return &flowRecord{name: name, customer: customer, generation: t.route.Newest().Revision}
}

func (t *Tracker) passTo(h *carrier.Header, to registrar.UpstreamID, flags carrier.Flags) Verdict {
	u, ok := t.route.Upstream(to)
	switch {
	case to == t.self.ID || h.Hops >= balancer.MaxHops:
		return dropped(carrier.DropHopLimit)
	case !ok || !u.DataAddress.IsValid():
		return dropped(carrier.DropNoUpstream)
	case u.ZoneWithdrawn:
		return dropped(carrier.DropZoneWithdrawn)
	}
	next := *h
	next.Hops++
	next.Target = to
	next.Flags = flags
	next.Revision = t.route.Revision
	return Verdict{Action: PassOn, To: u.DataAddress, Header: next}
}

func (s *flowShard) add(now time.Time, h *carrier.Header, r *flowRecord) {
	if s.flows == nil {
		s.flows = map[registrar.Flow]*flowRecord{}
	}
	r.expireAt = now.Add(flowIdle)
	r.seen(now, h.Entry)
	s.flows[h.Flow] = r
	if r.redirect == 0 {
		r.customer.AddFlows(1)
	}
}

func (r *flowRecord) seen(now time.Time, entry netip.AddrPort) {
	if r.entries[0] != entry {
		r.entries[1] = r.entries[0]
		r.entries[0] = entry
	}
	r.quietAt = now.Add(callerQuiet)
}

// Answer returns the header of an answer on a flow and the entry to send it through. It returns false if the flow is not
// known or may not be answered.
func (t *Tracker) Answer(now time.Time, f registrar.Flow) (carrier.Header, bool) {
	if !t.Lease.Valid(now) {
		return carrier.Header{}, false
	}
	t.routeMu.RLock()
	defer t.routeMu.RUnlock()
	if !t.ok || t.self.ZoneWithdrawn {
		return carrier.Header{}, false
	}
	f.Service = t.route.Service.Address
	s := t.shard(f)
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.flows[f]
	if r == nil {
		return carrier.Header{}, false
	}
	r.expireAt = now.Add(flowIdle)
	entry := r.entries[0]
	if now.After(r.quietAt) && r.entries[1].IsValid() {
		r.answers++
		entry = r.entries[r.answers%recentEntries]
	}
	return carrier.Header{
		Kind: carrier.Answer, Service: t.route.Service.ID, Target: t.self.ID, Revision: t.route.Revision, Flow: f, Entry: entry,
	}, true
}

// Close forgets a flow.
func (t *Tracker) Close(f registrar.Flow) {
	t.routeMu.RLock()
	if t.route != nil {
		f.Service = t.route.Service.Address
	}
	t.routeMu.RUnlock()
	s := t.shard(f)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(f)
}

func (s *flowShard) remove(f registrar.Flow) {
	r := s.flows[f]
	if r == nil {
		return
	}
	delete(s.flows, f)
	if r.redirect == 0 {
		r.customer.AddFlows(-1)
	}
}

// Expire forgets the flows that have been idle too long.
func (t *Tracker) Expire(now time.Time) {
	t.forget(func(_ registrar.Flow, r *flowRecord) bool { return now.After(r.expireAt) })
}

func (t *Tracker) forget(match func(registrar.Flow, *flowRecord) bool) {
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for f, r := range s.flows {
			if match(f, r) {
				s.remove(f)
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
			if st.Oldest == 0 || r.generation < st.Oldest {
				st.Oldest = r.generation
			}
		}
		s.mu.Unlock()
	}
	return st
}
