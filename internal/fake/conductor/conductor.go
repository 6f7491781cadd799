// Package conductor runs the decision packages of entries, agents and control in one process with typed events and a manual
// clock. It opens no socket: datagrams and heartbeats are values that a test delivers, drops or reorders.
package conductor

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"github.com/peridotstage/peridotstage/internal/control/granter"
	"github.com/peridotstage/peridotstage/internal/control/leaser"
	"github.com/peridotstage/peridotstage/internal/control/planner"
	"github.com/peridotstage/peridotstage/internal/control/publisher"
	"github.com/peridotstage/peridotstage/internal/control/subscriber"
	"github.com/peridotstage/peridotstage/internal/front/spreader"
	"github.com/peridotstage/peridotstage/internal/route/carrier"
	"github.com/peridotstage/peridotstage/internal/route/counter"
	"github.com/peridotstage/peridotstage/internal/route/forwarder"
	"github.com/peridotstage/peridotstage/internal/route/stamper"
	"github.com/peridotstage/peridotstage/internal/route/tracker"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

const (
	dataPort = 7002
	// initialBytes is the smallest UDP payload that may carry a client's QUIC Initial packet (RFC 9000, section 14.1).
	initialBytes = 1200
)

// Service describes a service. It has one upstream for each element of Zones.
type Service struct {
	Name      registrar.ServiceName
	Transport registrar.Transport
	Zones     []registrar.ZoneName
}

// Node holds what entries and agents have in common.
type Node struct {
	Machine    registrar.Machine
	Subscriber *subscriber.Subscriber
	// Announcement is nil for entries.
	Announcement *leaser.Announcement
}

// Entry is an entry that receives datagrams by method calls instead of sockets.
type Entry struct {
	Node
	*forwarder.Forwarder
}

// Agent is an agent that receives datagrams by method calls instead of sockets.
type Agent struct {
	Node
	*tracker.Tracker
	// Service is the index of the service in Conductor.Services.
	Service int
	// Full makes the agent refuse new flows.
	Full bool
	// Refused lists the customer of each refused flow, in order.
	Refused []registrar.CustomerName
	// nonce is the nonce of the last connection ID that Established made.
	nonce uint64
}

// AdmitFlow implements tracker.Admitter.
func (a *Agent) AdmitFlow(time.Time) bool { return !a.Full }

// Unserved implements tracker.Refusals.
func (a *Agent) Unserved(_ registrar.ServiceName, customer registrar.CustomerName) {
	a.Refused = append(a.Refused, customer)
}

// Datagram is a datagram in flight to an agent.
type Datagram struct {
	To      netip.AddrPort
	Header  carrier.Header
	Payload []byte
}

// Delivery is a datagram that an agent delivered to its upstream.
type Delivery struct {
	Agent   *Agent
	Flow    registrar.Flow
	Payload []byte
}

// Conductor is a deployment of one control instance, entries and agents.
type Conductor struct {
	// Now is the current time of the manual clock, which the whole deployment shares.
	Now      time.Time
	Services []Service
	Ledger   *planner.Ledger
	Granter  *granter.Granter
	Entries  []*Entry
	Agents   []*Agent
	// Flight holds the datagrams in flight.
	Flight    []Datagram
	idStamper *stamper.Stamper
	// lastRequest is the number of the operator's latest request.
	lastRequest planner.RequestNumber
}

// New builds a deployment of one control instance, entries and one agent for each upstream. All services have a contract with
// one customer.
func New(services []Service, entries int) *Conductor {
	c := &Conductor{
		Now: time.Unix(1_800_000_000, 0), Services: services,
		idStamper: &stamper.Stamper{Keys: []stamper.Key{{ID: 1, K0: 2, K1: 3}}},
	}
	updates := &publisher.Publisher{}
	c.Ledger = planner.NewLedger(updates)
	c.Granter = &granter.Granter{
		World: c.Ledger.World, Publisher: updates, Leaser: &leaser.Leaser{}, StateAger: CurrentState{}, Announcer: c, Reporter: c,
	}
	addedZones := map[registrar.ZoneName]bool{}
	c.ApplyIntent(planner.Intent{Kind: planner.AddCustomer, Customer: &registrar.Customer{Name: "estate"}})
	for i, s := range services {
		for _, z := range s.Zones {
			if !addedZones[z] {
				addedZones[z] = true
				c.ApplyIntent(planner.Intent{Kind: planner.AddZone, Zone: &registrar.Zone{Name: z, Region: "johor"}})
			}
		}
		c.ApplyIntent(planner.Intent{Kind: planner.AddService, Service: &registrar.Service{
			Name: s.Name, Address: Address(i), Transport: s.Transport,
		}})
		c.ApplyIntent(planner.Intent{Kind: planner.AddContract, Contract: &registrar.Contract{
			Name: registrar.ContractName(s.Name), Customer: "estate", Service: s.Name,
			SourcePrefixes: []netip.Prefix{netip.MustParsePrefix("10.9.0.0/16")},
		}})
		for u, z := range s.Zones {
			c.addAgent(i, u, z)
		}
	}
	for i := range entries {
		c.Entries = append(c.Entries, c.newEntry(i))
	}
	c.BeatAll()
	return c
}

// Address returns the address of a service.
func Address(service int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 8, 0, byte(1 + service)}), 8443)
}

// Flow returns flow i of a service. Each flow has a caller address of its own.
func Flow(service, i int) registrar.Flow {
	caller := netip.AddrFrom4([4]byte{10, 9, byte(i >> 8), byte(i)})
	return registrar.Flow{Caller: netip.AddrPortFrom(caller, uint16(1000+i)), Service: Address(service)}
}

func (c *Conductor) newEntry(i int) *Entry {
	m := registrar.Machine{
		Name: registrar.MachineName(fmt.Sprintf("entry-%d", i)), Role: registrar.RoleEntry, Zone: c.Services[0].Zones[0],
		DataAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(i)}), dataPort), Incarnation: 1,
	}
	e := &Entry{Node: Node{Machine: m, Subscriber: &subscriber.Subscriber{World: registrar.NewWorld()}}}
	e.Forwarder = &forwarder.Forwarder{
		Stamper: c.idStamper, Lease: e.Subscriber, Counter: &counter.Counter{}, Entry: m.DataAddress, Spreader: spreader.Spreader(4),
	}
	e.Subscriber.Enforcers = []subscriber.Enforcer{e.Forwarder}
	return e
}

// RestartEntry replaces an entry by a new one, which has no configuration until its first heartbeat.
func (c *Conductor) RestartEntry(i int) { c.Entries[i] = c.newEntry(i) }

func (c *Conductor) addAgent(service, i int, z registrar.ZoneName) {
	s := c.Services[service]
	name := registrar.UpstreamName(fmt.Sprintf("%s-%d", s.Name, i))
	m := registrar.Machine{
		Name: registrar.MachineName("agent-" + name), Role: registrar.RoleAgent, Zone: z,
		DataAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(2 + service), byte(1 + i)}), dataPort), Incarnation: 1,
	}
	a := &Agent{Service: service, Node: Node{
		Machine: m, Subscriber: &subscriber.Subscriber{World: registrar.NewWorld()},
		Announcement: &leaser.Announcement{Upstream: name, Service: s.Name, Slots: 2, Weight: 2000},
	}}
	a.Tracker = &tracker.Tracker{
		Machine: m.Name, Upstream: name, Service: s.Name, Lease: a.Subscriber, Admitter: a, Counter: &counter.Counter{},
		Stamper: c.idStamper, Refusals: a,
	}
	a.Subscriber.Enforcers = []subscriber.Enforcer{a.Tracker}
	c.Agents = append(c.Agents, a)
}

// Notify adds the pending notices of an agent to the datagrams in flight.
func (c *Conductor) Notify(a *Agent) {
	a.Notices(c.Now, func(to netip.AddrPort, h *carrier.Header) {
		c.Flight = append(c.Flight, Datagram{To: to, Header: *h})
	})
}

// Announce implements granter.Announcer. It applies the facts to the ledger immediately, without batching.
func (c *Conductor) Announce(_ registrar.MachineName, f planner.Facts) {
	c.apply(planner.Command{Kind: planner.CommandSystem, Facts: &f})
}

// Refusal implements granter.Announcer. It returns nil because announcements are never refused here.
func (c *Conductor) Refusal(registrar.MachineName) error { return nil }

// DigestDiffers implements granter.Reporter.
func (c *Conductor) DigestDiffers(m registrar.MachineName, at registrar.Revision) {
	panic(fmt.Sprintf("machine %s differs from control at revision %d", m, at))
}

func (c *Conductor) apply(cmd planner.Command) planner.Result {
	entry, err := json.Marshal(cmd)
	if err != nil {
		panic(err)
	}
	var r planner.Result
	if err := json.Unmarshal(c.Ledger.Apply(0, entry), &r); err != nil {
		panic(err)
	}
	return r
}

// ApplyIntent plans an intent and confirms the plan. The result of a refused intent holds its failure.
func (c *Conductor) ApplyIntent(in planner.Intent) planner.Result {
	c.lastRequest++
	r := c.apply(planner.Command{Kind: planner.CommandPlan, Operator: "op", Number: c.lastRequest, Intent: &in})
	if r.Failure != nil {
		return r
	}
	c.lastRequest++
	return c.apply(planner.Command{Kind: planner.CommandConfirm, Operator: "op", Number: c.lastRequest, Plan: r.Plan.ID})
}

// Beat sends one heartbeat of a node to control and applies the reply. If the reply changes the configuration of an agent, Beat
// also adds the pending notices of the agent to the datagrams in flight.
func (c *Conductor) Beat(n *Node) error {
	h := leaser.Heartbeat{Machine: n.Machine, Revision: n.Subscriber.World.Revision(), Announcement: n.Announcement}
	r, err := c.Granter.Heartbeat(c.Now, h)
	if err != nil {
		return err
	}
	previousRevision := n.Subscriber.World.Revision()
	if err := n.Subscriber.Accept(c.Now, r); err != nil {
		return err
	}
	for _, a := range c.Agents {
		if &a.Node == n && previousRevision != n.Subscriber.World.Revision() {
			c.Notify(a)
		}
	}
	return nil
}

// Nodes returns all agents and then all entries.
func (c *Conductor) Nodes() []*Node {
	var all []*Node
	for _, a := range c.Agents {
		all = append(all, &a.Node)
	}
	for _, e := range c.Entries {
		all = append(all, &e.Node)
	}
	return all
}

// BeatAll sends two heartbeats of each node, so that every node enforces the latest revision.
func (c *Conductor) BeatAll() {
	for range 2 {
		for _, n := range c.Nodes() {
			if err := c.Beat(n); err != nil {
				panic(err)
			}
		}
	}
}

// Send passes a caller's datagram to an entry. It adds the forwarded datagram to those in flight, or returns the reason why the
// entry dropped the datagram.
func (c *Conductor) Send(entry int, f registrar.Flow, payload []byte) carrier.DropReason {
	var h carrier.Header
	to, reason := c.Entries[entry].FromCaller(c.Now, f, payload, &h)
	if reason == carrier.Passed {
		c.Flight = append(c.Flight, Datagram{To: to, Header: h, Payload: payload})
	}
	return reason
}

// Step delivers datagram i of those in flight to the agent at its address. It returns false unless the agent delivered the
// datagram to its upstream.
func (c *Conductor) Step(i int) (Delivery, bool) {
	d := c.Flight[i]
	c.Flight = append(c.Flight[:i], c.Flight[i+1:]...)
	for _, a := range c.Agents {
		if a.Node.Machine.DataAddress != d.To {
			continue
		}
		v := a.Receive(c.Now, &d.Header, d.Payload)
		if v.Action == tracker.PassOn || v.Notify {
			c.Flight = append(c.Flight, Datagram{To: v.To, Header: v.Header, Payload: d.Payload})
		}
		return Delivery{Agent: a, Flow: d.Header.Flow, Payload: d.Payload}, v.Action == tracker.Deliver
	}
	return Delivery{}, false
}

// Settle delivers datagrams until none is in flight, and returns those that reached an upstream.
func (c *Conductor) Settle() []Delivery {
	var all []Delivery
	for len(c.Flight) > 0 {
		if d, ok := c.Step(0); ok {
			all = append(all, d)
		}
	}
	return all
}

// Initial returns a datagram with an Initial packet, which opens a QUIC connection.
func Initial() []byte {
	b := make([]byte, initialBytes)
	b[0], b[5] = 0xc0, 8
	binary.BigEndian.PutUint32(b[1:], 1)
	return b
}

// Established returns a datagram of an established QUIC connection whose connection ID names the agent's upstream.
func (c *Conductor) Established(a *Agent) []byte {
	b := make([]byte, 64)
	b[0] = 0x40
	u, _ := a.Self()
	a.nonce++
	if err := c.idStamper.Stamp(b[1:], u.ID, a.nonce); err != nil {
		panic(err)
	}
	return b
}
