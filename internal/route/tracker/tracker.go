// Package tracker decides, at an agent, what to do with each datagram that another machine forwards: deliver it to a flow of
// this agent, pass it along the chain of its bucket, admit a new flow, or drop it.
package tracker

import (
	"net/netip"
	"sync"
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

// Admitter controls the admission of new flows at the upstream.
type Admitter interface {
	// AdmitFlow reports whether the upstream can take one more flow.
	AdmitFlow(now time.Time) bool
}

// Refusals counts the attempts of callers to start a flow that no agent could take.
type Refusals interface {
	// Unserved counts one such attempt.
	Unserved(service registrar.ServiceName, customer registrar.CustomerName)
}

// Action is what the agent does with a datagram.
type Action uint8

// The possible actions.
const (
	// Drop discards the datagram for the reason of the verdict.
	Drop Action = iota
	// Deliver hands the datagram to this agent's connection of the flow.
	Deliver
	// PassOn sends the datagram to another agent.
	PassOn
	// Consume means that the tracker has processed the datagram itself, so nothing is left to do.
	Consume
)

// Verdict is the decision about one datagram.
type Verdict struct {
	Action Action
	Reason carrier.DropReason
	// Notify is set for Deliver if Header has to be sent to To as a notice as well.
	Notify bool
	// To and Header are set for PassOn and Notify.
	To     netip.AddrPort
	Header carrier.Header
}

// Tracker holds the flows of one agent. The exported fields are set before first use.
type Tracker struct {
	// Machine is the machine of this agent. An agent whose upstream has moved to another machine accepts no datagrams.
	Machine  registrar.MachineName
	Upstream registrar.UpstreamName
	Service  registrar.ServiceName
	Lease    Lease
	Admitter Admitter
	Counter  *counter.Counter
	Stamper  *stamper.Stamper
	// Refusals counts the flows that are refused at admission. It may be nil.
	Refusals Refusals

	// routeMu is held for reading during the decision about a datagram, so that each decision is made either before or after a
	// cut of the customer.
	routeMu sync.RWMutex
	route   *resolver.Route
	self    registrar.UpstreamView
	// configured is true if the configuration contains this agent's upstream.
	configured bool
	entries    *entrySet
	customers  map[registrar.CustomerName]*counter.Customer
	// drain is set once a planned stop has begun to end the plain UDP flows.
	drain     *drain
	shards    [shardCount]flowShard
	epochOnce sync.Once
	epoch     time.Time
}

// sinceEpoch converts a clock reading to a nanotime. The first reading is 1, so that 0 stands for never.
func (t *Tracker) sinceEpoch(now time.Time) nanotime {
	t.epochOnce.Do(func() { t.epoch = now.Add(-1) })
	return nanotime(now.Sub(t.epoch))
}

// idleTimeout returns the idle timeout of flows of the service's transport.
func (t *Tracker) idleTimeout() time.Duration {
	if t.route.Service.Transport == registrar.TransportQUIC {
		return quicIdleTimeout
	}
	return udpIdleTimeout
}

// Update replaces the route by that of the configuration. It removes the flows of customers that are cut off, and all flows if
// the zone is withdrawn or the upstream no longer belongs to this agent. It is not safe for concurrent calls.
func (t *Tracker) Update(w *registrar.World) {
	v, ok := w.View(t.Service)
	var route *resolver.Route
	if ok {
		// Computing the tables takes milliseconds, so they are computed without the lock while the old route is still in use.
		route = resolver.New(v, w.Revision(), t.route, balancer.AllGenerations)
	}
	entries := newEntrySet(w, t.entries)
	customers := map[registrar.CustomerName]*counter.Customer{}
	for _, c := range v.Contracts {
		customers[c.Customer] = t.Counter.Customer(c.Customer)
	}
	t.routeMu.Lock()
	defer t.routeMu.Unlock()
	previousSelf := t.self
	t.route, t.entries, t.customers, t.self, t.configured = route, entries, customers, registrar.UpstreamView{}, false
	if route != nil {
		t.self, t.configured = route.UpstreamNamed(t.Upstream)
		t.configured = t.configured && (t.Machine == "" || t.self.Machine == t.Machine)
	}
	if !t.configured || t.self.ZoneWithdrawn || t.self.ID != previousSelf.ID {
		t.removeFlows(func(*flowRecord) bool { return true })
	}
	if route == nil {
		return
	}
	cutCustomers := map[*counter.Customer]bool{}
	route.CutCustomers(func(name registrar.CustomerName, cutRevision registrar.Revision) {
		cutCustomers[customers[name]] = true
		customers[name].RecordCut(cutRevision)
	})
	if len(cutCustomers) > 0 {
		t.removeFlows(func(r *flowRecord) bool { return cutCustomers[r.customer] })
	}
}

// Self returns this agent's upstream. ok is false until the configuration contains it.
func (t *Tracker) Self() (u registrar.UpstreamView, ok bool) {
	t.routeMu.RLock()
	defer t.routeMu.RUnlock()
	return t.self, t.configured
}

// MayPass reports whether the agent may still pass on received datagrams. A process that was suspended may have datagrams in its
// queues that arrived before its lease ended.
func (t *Tracker) MayPass(now time.Time) bool {
	if !t.Lease.Valid(now) {
		return false
	}
	t.routeMu.RLock()
	defer t.routeMu.RUnlock()
	return t.configured && !t.self.ZoneWithdrawn
}

// Allowed returns the customer of a source address and whether the customer may use this agent at present.
func (t *Tracker) Allowed(addr netip.Addr) (registrar.CustomerName, bool) {
	t.routeMu.RLock()
	defer t.routeMu.RUnlock()
	if !t.configured || t.self.ZoneWithdrawn {
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

func drop(r carrier.DropReason) Verdict { return Verdict{Reason: r} }

// receive makes the decision for Receive without counting drops by reason.
func (t *Tracker) receive(now time.Time, h *carrier.Header, payload []byte) Verdict {
	if h.Kind != carrier.Forward && h.Kind != carrier.Notice {
		return drop(carrier.DropMalformed)
	}
	if !t.Lease.Valid(now) {
		return drop(carrier.DropNoLease)
	}
	t.routeMu.RLock()
	defer t.routeMu.RUnlock()
	switch {
	case !t.configured:
		return drop(carrier.DropUnknownService)
	case h.Service != t.route.Service.ID || h.Flow.Service != t.route.Service.Address:
		return drop(carrier.DropWrongService)
	case h.Target != t.self.ID:
		return drop(carrier.DropWrongTarget)
	case t.self.ZoneWithdrawn:
		return drop(carrier.DropZoneWithdrawn)
	}
	name, cut, ok := t.route.Customer(h.Flow.Caller.Addr())
	if !ok {
		return drop(carrier.DropNoContract)
	}
	c := customer{name: name, counts: t.customers[name]}
	if cut {
		c.counts.Drop()
		return drop(carrier.DropCut)
	}
	if h.Kind == carrier.Notice {
		return t.recordHolder(t.sinceEpoch(now), h, c)
	}
	t.entries.recordPacket(t.sinceEpoch(now), h.Entry)
	v := t.decide(now, h, payload, c)
	switch v.Action {
	case Deliver:
		c.counts.Pass(now)
	case Drop:
		c.counts.Drop()
		if v.Reason == carrier.DropRefused && t.Refusals != nil {
			t.Refusals.Unserved(t.Service, c.name)
		}
	}
	return v
}
