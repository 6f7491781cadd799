// Package tracker decides, at an agent, what happens to each datagram that another machine forwards: deliver it to a flow
// of this agent, pass it along the chain of its bucket, admit a new flow, or drop it.
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
	Valid(now time.Time) bool
}

// Admitter decides whether the upstream can take one more flow.
type Admitter interface {
	AdmitFlow(now time.Time) bool
}

// Refusals counts the tries of callers to start a flow that no agent could take.
type Refusals interface {
	Unserved(service registrar.ServiceName, customer registrar.CustomerName)
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
	// Keep says that the datagram was for the tracker itself.
	Keep
)

// Verdict is the decision about one datagram.
type Verdict struct {
	Action Action
	Reason carrier.DropReason
	// Notify is set for Deliver if Header has to be sent to To as a notice besides.
	Notify bool
	// To and Header are set for PassOn and Notify.
	To     netip.AddrPort
	Header carrier.Header
}

// Tracker holds the flows of one agent. The exported fields are set before first use.
type Tracker struct {
	// Machine is this agent. An agent that has lost its upstream to another machine takes nothing.
	Machine  registrar.MachineName
	Upstream registrar.UpstreamName
	Service  registrar.ServiceName
	Lease    Lease
	Admitter Admitter
	Counter  *counter.Counter
	Stamper  *stamper.Stamper
	// Refusals is told of flows that are refused at admission; nil for nobody.
	Refusals Refusals

	// routeMu is held for reading while a datagram is decided, so that a cut falls clearly before or after it.
	routeMu   sync.RWMutex
	route     *resolver.Route
	self      registrar.UpstreamView
	ok        bool
	entries   *entrySet
	customers map[registrar.CustomerName]*counter.Customer
	shards    [shardCount]flowShard
	epochOnce sync.Once
	epoch     time.Time
}

// instant converts a clock reading. The first reading is instant 1, so that 0 stands for never.
func (t *Tracker) instant(now time.Time) instant {
	t.epochOnce.Do(func() { t.epoch = now.Add(-1) })
	return instant(now.Sub(t.epoch))
}

func (t *Tracker) flowIdle() time.Duration {
	if t.route.Service.Transport == registrar.TransportQUIC {
		return quicFlowIdle
	}
	return udpFlowIdle
}

// Update replaces the route by that of the configuration. It forgets the flows of customers that are cut off, and all flows
// if the zone is withdrawn or the upstream is not this agent's any more. It is not called by two goroutines at once.
func (t *Tracker) Update(w *registrar.World) {
	v, ok := w.View(t.Service)
	var route *resolver.Route
	if ok {
		// Tables take milliseconds to compute, so datagrams are decided by the old route meanwhile.
		route = resolver.New(v, w.Revision(), t.route, balancer.AllGenerations)
	}
	entries := newEntrySet(w, t.entries)
	customers := map[registrar.CustomerName]*counter.Customer{}
	for _, c := range v.Contracts {
		customers[c.Customer] = t.Counter.Customer(c.Customer)
	}
	t.routeMu.Lock()
	defer t.routeMu.Unlock()
	before := t.self
	t.route, t.entries, t.customers, t.self, t.ok = route, entries, customers, registrar.UpstreamView{}, false
	if route != nil {
		t.self, t.ok = route.UpstreamNamed(t.Upstream)
		t.ok = t.ok && (t.Machine == "" || t.self.Machine == t.Machine)
	}
	if !t.ok || t.self.ZoneWithdrawn || t.self.ID != before.ID {
		t.forget(func(*flowRecord) bool { return true })
	}
	if route == nil {
		return
	}
	cut := map[*counter.Customer]bool{}
	route.CutCustomers(func(name registrar.CustomerName, at registrar.Revision) {
		cut[customers[name]] = true
		customers[name].EnforceCut(at)
	})
	if len(cut) > 0 {
		t.forget(func(r *flowRecord) bool { return cut[r.customer] })
	}
}

// Self returns this agent's upstream. ok is false until the configuration contains it.
func (t *Tracker) Self() (u registrar.UpstreamView, ok bool) {
	t.routeMu.RLock()
	defer t.routeMu.RUnlock()
	return t.self, t.ok
}

// MayPass reports whether the agent may pass on what callers have sent. A process that was frozen finds datagrams in its
// queues that arrived before its lease ended.
func (t *Tracker) MayPass(now time.Time) bool {
	if !t.Lease.Valid(now) {
		return false
	}
	t.routeMu.RLock()
	defer t.routeMu.RUnlock()
	return t.ok && !t.self.ZoneWithdrawn
}

// Allowed reports whether the customer of a source address may use this agent at present, and the customer's name.
func (t *Tracker) Allowed(addr netip.Addr) (registrar.CustomerName, bool) {
	t.routeMu.RLock()
	defer t.routeMu.RUnlock()
	if !t.ok || t.self.ZoneWithdrawn {
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
	if h.Kind != carrier.Forward && h.Kind != carrier.Notice {
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
	c := customer{name: name, counts: t.customers[name]}
	if cut {
		c.counts.Drop()
		return dropped(carrier.DropCut)
	}
	if h.Kind == carrier.Notice {
		return t.noted(t.instant(now), h, c)
	}
	t.entries.heard(t.instant(now), h.Entry)
	v := t.place(now, h, payload, c)
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
