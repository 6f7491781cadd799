// Package forwarder decides, at an entry, which agent receives each datagram. It keeps no state about flows.
package forwarder

import (
	"encoding/binary"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/peridotstage/peridotstage/internal/route/balancer"
	"github.com/peridotstage/peridotstage/internal/route/carrier"
	"github.com/peridotstage/peridotstage/internal/route/counter"
	"github.com/peridotstage/peridotstage/internal/route/resolver"
	"github.com/peridotstage/peridotstage/internal/route/stamper"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// Lease tells whether the machine may act on the configuration that it holds.
type Lease interface {
	// Valid reports whether the lease is valid at the given time.
	Valid(now time.Time) bool
}

// Outages counts the attempts of callers to start a flow that no upstream could take.
type Outages interface {
	// Unserved counts one such attempt.
	Unserved(service registrar.ServiceName, customer registrar.CustomerName)
}

// Spreader runs independent tasks in parallel.
type Spreader interface {
	// Each calls task with 0 to n-1 and returns when all calls have returned.
	Each(n int, task func(i int))
}

const shardCount = 16

type shard struct {
	mu sync.RWMutex
	// routes are keyed by service address.
	routes map[netip.AddrPort]*entryRoute
}

// entryRoute is a route with the counts of its customers.
type entryRoute struct {
	*resolver.Route
	customers map[registrar.CustomerName]*counter.Customer
}

// Forwarder routes the datagrams of one entry. The exported fields are set before first use.
type Forwarder struct {
	Stamper *stamper.Stamper
	Lease   Lease
	Counter *counter.Counter
	// Outages counts new QUIC connections and plain UDP datagrams that are dropped because no upstream can take them. It may be
	// nil.
	Outages Outages
	// Entry is the data address that agents answer to.
	Entry netip.AddrPort
	// Spreader computes the routes of changed services in parallel. If it is nil, they are computed one after the other.
	Spreader Spreader

	shards   [shardCount]shard
	revision atomic.Uint64
	// newestUpstream is the highest upstream id in any configuration that the entry has received.
	newestUpstream atomic.Uint32
}

func (f *Forwarder) shard(a netip.AddrPort) *shard {
	ip := a.Addr().As16()
	return &f.shards[(binary.LittleEndian.Uint32(ip[12:])*31+uint32(a.Port()))%shardCount]
}

// Revision returns the newest revision that all routes conform to.
func (f *Forwarder) Revision() registrar.Revision { return registrar.Revision(f.revision.Load()) }

// Update replaces the routes of changed services and removes the routes of services that no longer exist.
func (f *Forwarder) Update(w *registrar.World) {
	revision := w.Revision()
	configured := map[netip.AddrPort]bool{}
	var changed []registrar.ServiceName
	for _, s := range w.Services() {
		configured[s.Address] = true
		if f.routeRevision(s) < w.ChangeRevision(s.Name) {
			changed = append(changed, s.Name)
		}
	}
	f.forEach(len(changed), func(i int) {
		if v, ok := w.View(changed[i]); ok {
			f.replaceRoute(v, revision)
		}
	})
	for i := range f.shards {
		s := &f.shards[i]
		s.mu.Lock()
		for a := range s.routes {
			if !configured[a] {
				delete(s.routes, a)
			}
		}
		s.mu.Unlock()
	}
	f.revision.Store(uint64(revision))
	f.newestUpstream.Store(max(f.newestUpstream.Load(), uint32(w.NewestUpstreamID())))
}

func (f *Forwarder) forEach(n int, task func(i int)) {
	if f.Spreader != nil {
		f.Spreader.Each(n, task)
		return
	}
	for i := range n {
		task(i)
	}
}

// enforcedRevision returns the newest revision that a route conforms to. It can be newer than the revision at which the route was
// built, because a revision replaces only the routes that it changes.
func (f *Forwarder) enforcedRevision(r *entryRoute) registrar.Revision {
	return max(r.Revision, f.Revision())
}

// routeRevision returns the revision at which the current route of a service was built, or 0 without a route.
func (f *Forwarder) routeRevision(service registrar.Service) registrar.Revision {
	s := f.shard(service.Address)
	s.mu.RLock()
	defer s.mu.RUnlock()
	if r := s.routes[service.Address]; r != nil && r.Service.ID == service.ID {
		return r.Revision
	}
	return 0
}

// replaceRoute builds the route of a service and replaces the current one.
func (f *Forwarder) replaceRoute(v registrar.ServiceView, revision registrar.Revision) {
	s := f.shard(v.Address)
	s.mu.RLock()
	old := s.routes[v.Address]
	s.mu.RUnlock()
	next := &entryRoute{customers: map[registrar.CustomerName]*counter.Customer{}}
	var previous *resolver.Route
	if old != nil {
		previous = old.Route
	}
	next.Route = resolver.New(v, revision, previous, balancer.NewestGeneration)
	for _, c := range v.Contracts {
		next.customers[c.Customer] = f.Counter.Customer(c.Customer)
	}
	// The lock waits for the decisions in progress, so that each passed datagram is counted either before or after the cut.
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.routes == nil {
		s.routes = map[netip.AddrPort]*entryRoute{}
	}
	s.routes[v.Address] = next
	next.CutCustomers(func(name registrar.CustomerName, cutRevision registrar.Revision) {
		next.customers[name].RecordCut(cutRevision)
	})
}

// FromCaller decides about a datagram that a caller sent to a service address. It fills h and returns the data address of
// the agent to send it to, unless the datagram is dropped. It does not allocate.
func (f *Forwarder) FromCaller(now time.Time, flow registrar.Flow, payload []byte, h *carrier.Header) (netip.AddrPort, carrier.DropReason) {
	to, reason := f.fromCaller(now, flow, payload, h)
	if reason != carrier.Passed {
		f.Counter.Drop(reason)
	}
	return to, reason
}

// fromCaller makes the decision for FromCaller without counting drops by reason.
func (f *Forwarder) fromCaller(now time.Time, flow registrar.Flow, payload []byte, h *carrier.Header) (netip.AddrPort, carrier.DropReason) {
	var none netip.AddrPort
	if !f.Lease.Valid(now) {
		return none, carrier.DropNoLease
	}
	s := f.shard(flow.Service)
	s.mu.RLock()
	defer s.mu.RUnlock()
	r := s.routes[flow.Service]
	if r == nil {
		return none, carrier.DropUnknownService
	}
	name, cut, ok := r.Customer(flow.Caller.Addr())
	if !ok {
		return none, carrier.DropNoContract
	}
	customer := r.customers[name]
	if cut {
		customer.Drop()
		return none, carrier.DropCut
	}
	target, flags, reason := f.selectTarget(r, flow, payload)
	if reason != carrier.Passed {
		customer.Drop()
		f.reportOutage(r, name, payload, reason)
		return none, reason
	}
	u, ok := r.Upstream(target)
	switch {
	case !ok:
		reason = carrier.DropWrongService
	case u.ZoneWithdrawn:
		reason = carrier.DropZoneWithdrawn
	case !u.DataAddress.IsValid():
		reason = carrier.DropNoUpstream
	}
	if reason != carrier.Passed {
		customer.Drop()
		f.reportOutage(r, name, payload, reason)
		return none, reason
	}
	customer.Pass(now)
	*h = carrier.Header{
		Kind: carrier.Forward, Flags: flags, Service: r.Service.ID, Target: target, Revision: f.enforcedRevision(r), Flow: flow,
		Entry: f.Entry,
	}
	return u.DataAddress, carrier.Passed
}

// reportOutage reports the first packet of a connection, or any plain UDP datagram, that no upstream can take. Agents cannot
// count these attempts, because they do not receive them.
func (f *Forwarder) reportOutage(r *entryRoute, customer registrar.CustomerName, payload []byte, reason carrier.DropReason) {
	if f.Outages == nil {
		return
	}
	if reason != carrier.DropNoUpstream && reason != carrier.DropZoneWithdrawn {
		return
	}
	if kind, _ := stamper.Parse(payload); kind == stamper.Initial || r.Service.Transport == registrar.TransportUDP {
		f.Outages.Unserved(r.Service.Name, customer)
	}
}

// selectTarget returns the upstream of a datagram: the one that its connection id names, or else the owner of its bucket.
func (f *Forwarder) selectTarget(r *entryRoute, flow registrar.Flow, payload []byte) (registrar.UpstreamID, carrier.Flags, carrier.DropReason) {
	if r.Service.Transport == registrar.TransportQUIC {
		kind, id := stamper.Parse(payload)
		if kind == stamper.Malformed {
			return 0, 0, carrier.DropMalformed
		}
		// If the upstream is newer than this entry's configuration, the agents of the bucket route the datagram to it.
		if u, ok := f.Stamper.Verify(id); ok && uint32(u) <= f.newestUpstream.Load() {
			return u, carrier.Direct, carrier.Passed
		}
	}
	chain := r.Chain(balancer.BucketOf(flow))
	if chain.Len() == 0 {
		return 0, 0, carrier.DropNoUpstream
	}
	return chain.At(0), 0, carrier.Passed
}

// FromAgent decides about an answer. An answer may be sent to the caller only from the address of the service that the agent
// belongs to.
func (f *Forwarder) FromAgent(now time.Time, h *carrier.Header) carrier.DropReason {
	reason := f.fromAgent(now, h)
	if reason != carrier.Passed {
		f.Counter.Drop(reason)
	}
	return reason
}

// fromAgent makes the decision for FromAgent without counting drops by reason.
func (f *Forwarder) fromAgent(now time.Time, h *carrier.Header) carrier.DropReason {
	if h.Kind != carrier.Answer {
		return carrier.DropMalformed
	}
	if !f.Lease.Valid(now) {
		return carrier.DropNoLease
	}
	s := f.shard(h.Flow.Service)
	s.mu.RLock()
	defer s.mu.RUnlock()
	r := s.routes[h.Flow.Service]
	if r == nil {
		return carrier.DropUnknownService
	}
	if r.Service.ID != h.Service {
		return carrier.DropWrongService
	}
	// An agent with a newer configuration may answer for an upstream that this entry's configuration does not contain yet. The
	// service id, which is never reused, still ties the answer to the service address.
	if u, ok := r.Upstream(h.Target); !ok && h.Revision <= f.enforcedRevision(r) {
		return carrier.DropWrongService
	} else if u.ZoneWithdrawn {
		return carrier.DropZoneWithdrawn
	}
	switch name, cut, ok := r.Customer(h.Flow.Caller.Addr()); {
	case !ok:
		return carrier.DropNoContract
	case cut:
		r.customers[name].Drop()
		return carrier.DropCut
	}
	return carrier.Passed
}
