package conductor_test

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/peridotstage/peridotstage/internal/control/planner"
	"github.com/peridotstage/peridotstage/internal/control/subscriber"
	"github.com/peridotstage/peridotstage/internal/fake/conductor"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

var zones = []registrar.ZoneName{"johor-a", "johor-b", "johor-c"}

func services() []conductor.Service {
	return []conductor.Service{
		{Name: "order-desk", Transport: registrar.TransportUDP, Zones: []registrar.ZoneName{"johor-a", "johor-b", "johor-c", "johor-a"}},
		{Name: "catalogue", Transport: registrar.TransportQUIC, Zones: zones},
	}
}

// model holds the deployment under test and what its nodes and flows have done so far, which later steps are checked against.
type model struct {
	t require.TestingT
	c *conductor.Conductor
	// holders maps each flow to the agent that admitted it last.
	holders map[registrar.Flow]*conductor.Agent
	// evacuated maps each flow that has moved out of a withdrawn zone to the agent in that zone that admitted it first.
	evacuated map[registrar.Flow]*conductor.Agent
	// withdrawnAt holds the time at which the withdrawal of each withdrawn zone was confirmed.
	withdrawnAt map[registrar.ZoneName]time.Time
	// revisions holds the latest revision seen at each node.
	revisions map[*conductor.Node]registrar.Revision
}

// checkDelivery fails the test if a delivery reached another service, a withdrawn zone, or an agent that did not admit the flow.
// A withdrawal gives up the flows of its zone, so an agent outside the zone may admit such a flow again, once. Until the
// withdrawal is in force in the zone, nodes at an older revision may still send datagrams to the agent there.
func (m *model) checkDelivery(d conductor.Delivery) {
	require.Equal(m.t, conductor.Address(d.Agent.Service), d.Flow.Service, "datagram reached another service")
	zone := d.Agent.Node.Machine.Zone
	agentZone, _ := d.Agent.Subscriber.World.Zone(zone)
	require.False(m.t, agentZone.Withdrawn, "an agent delivered a datagram in zone %s, which its configuration holds as withdrawn", zone)
	if confirmedAt, ok := m.withdrawnAt[zone]; ok {
		require.False(m.t, m.c.Now.After(confirmedAt.Add(subscriber.LeaseTime)), "zone %s got a datagram %s after its withdrawal", zone,
			m.c.Now.Sub(confirmedAt))
	}
	holder := m.holders[d.Flow]
	switch {
	case holder == nil:
		m.holders[d.Flow] = d.Agent
		return
	case d.Agent == m.evacuated[d.Flow]:
		return
	case m.inWithdrawnZone(holder) && !m.inWithdrawnZone(d.Agent):
		m.evacuated[d.Flow], m.holders[d.Flow] = holder, d.Agent
		return
	}
	require.Equal(m.t, holder.Node.Machine.Name, d.Agent.Node.Machine.Name, "flow %s moved to another agent", d.Flow.Caller)
}

// inWithdrawnZone reports whether the withdrawal of an agent's zone has been confirmed.
func (m *model) inWithdrawnZone(a *conductor.Agent) bool {
	_, withdrawn := m.withdrawnAt[a.Node.Machine.Zone]
	return withdrawn
}

func newModel(t require.TestingT) *model {
	return &model{
		t: t, c: conductor.New(services(), 3), holders: map[registrar.Flow]*conductor.Agent{},
		evacuated: map[registrar.Flow]*conductor.Agent{}, withdrawnAt: map[registrar.ZoneName]time.Time{},
		revisions: map[*conductor.Node]registrar.Revision{},
	}
}

func (m *model) step(i int) {
	if d, ok := m.c.Step(i); ok {
		m.checkDelivery(d)
	}
}

func (m *model) settle() {
	for len(m.c.Flight) > 0 {
		m.step(0)
	}
}

// payload returns the datagram that the caller of a flow sends next.
func (m *model) payload(service int, f registrar.Flow) []byte {
	if m.c.Services[service].Transport == registrar.TransportUDP {
		return []byte("job")
	}
	if a := m.holders[f]; a != nil {
		return m.c.Established(a)
	}
	return conductor.Initial()
}

func (m *model) checkRevisions() {
	for _, n := range m.c.Nodes() {
		r := n.Subscriber.World.Revision()
		require.GreaterOrEqual(m.t, r, m.revisions[n], "the revision of %s decreased", n.Machine.Name)
		m.revisions[n] = r
	}
}

func (m *model) withdrawZone(zone registrar.ZoneName) {
	if m.c.ApplyIntent(planner.Intent{Kind: planner.WithdrawZone, Zone: &registrar.Zone{Name: zone}}).Failure == nil {
		m.withdrawnAt[zone] = m.c.Now
	}
}

// returnZone returns a zone to service after all leases have expired, so that every node has dropped the flows of the zone.
func (m *model) returnZone(zone registrar.ZoneName) {
	m.c.Now = m.c.Now.Add(subscriber.LeaseTime + time.Millisecond)
	m.settle()
	m.c.BeatAll()
	m.settle()
	m.forgetFlows(zone)
	require.Nil(m.t, m.c.ApplyIntent(planner.Intent{Kind: planner.ReturnZone, Zone: &registrar.Zone{Name: zone}}).Failure)
	delete(m.withdrawnAt, zone)
}

// forgetFlows removes the flows of a zone from the model, since the withdrawal of a zone ends its flows.
func (m *model) forgetFlows(zone registrar.ZoneName) {
	inZone := func(_ registrar.Flow, a *conductor.Agent) bool { return a.Node.Machine.Zone == zone }
	maps.DeleteFunc(m.holders, inZone)
	maps.DeleteFunc(m.evacuated, inZone)
}

// TestDecisions guards the invariants of the data path under random orders of datagrams, updates, losses and restarts: a flow
// stays at the agent that admitted it, no datagram reaches another service or, once a withdrawal is in force or leases have
// expired, a withdrawn zone, and the revision of a node never decreases. Examples of such faults are an entry that sends
// a datagram to the middle of a chain of agents, past the agent of the flow, and agents at different revisions that pass a
// datagram in a loop.
func TestDecisions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"send": func(t *rapid.T) {
				service := rapid.IntRange(0, 1).Draw(t, "service")
				f := conductor.Flow(service, rapid.IntRange(0, 20).Draw(t, "flow"))
				m.c.Send(rapid.IntRange(0, 2).Draw(t, "entry"), f, m.payload(service, f))
				// A caller of a flow that has not been admitted yet waits for an answer.
				if m.holders[f] == nil {
					m.settle()
				}
			},
			"step": func(t *rapid.T) {
				if n := len(m.c.Flight); n > 0 {
					m.step(rapid.IntRange(0, n-1).Draw(t, "datagram"))
				}
			},
			"duplicate": func(t *rapid.T) {
				if n := len(m.c.Flight); n > 0 {
					m.c.Flight = append(m.c.Flight, m.c.Flight[rapid.IntRange(0, n-1).Draw(t, "datagram")])
				}
			},
			"misdirect": func(t *rapid.T) {
				// The datagram reaches another machine, to which the address has been reassigned.
				if n := len(m.c.Flight); n > 0 {
					a := m.c.Agents[rapid.IntRange(0, len(m.c.Agents)-1).Draw(t, "agent")]
					m.c.Flight[rapid.IntRange(0, n-1).Draw(t, "datagram")].To = a.Node.Machine.DataAddress
				}
			},
			"lose": func(t *rapid.T) {
				if n := len(m.c.Flight); n > 0 {
					i := rapid.IntRange(0, n-1).Draw(t, "datagram")
					m.c.Flight = append(m.c.Flight[:i], m.c.Flight[i+1:]...)
				}
			},
			"beat": func(t *rapid.T) {
				nodes := m.c.Nodes()
				require.NoError(t, m.c.Beat(nodes[rapid.IntRange(0, len(nodes)-1).Draw(t, "node")]))
			},
			"upstream": func(t *rapid.T) {
				a := m.c.Agents[rapid.IntRange(0, len(m.c.Agents)-1).Draw(t, "agent")]
				kind := rapid.SampledFrom([]planner.IntentKind{planner.RetireUpstream, planner.RestoreUpstream, planner.ChangeUpstream}).Draw(t, "kind")
				weight := registrar.Weight(rapid.IntRange(500, 8000).Draw(t, "weight"))
				m.c.ApplyIntent(planner.Intent{Kind: kind, Upstream: &registrar.Upstream{Name: a.Upstream, Weight: weight}})
			},
			"withdraw": func(t *rapid.T) {
				zone := rapid.SampledFrom(zones).Draw(t, "zone")
				if len(m.withdrawnAt) == 0 {
					m.withdrawZone(zone)
				}
			},
			"return": func(t *rapid.T) {
				for zone := range m.withdrawnAt {
					m.returnZone(zone)
				}
			},
			"full": func(t *rapid.T) {
				a := m.c.Agents[rapid.IntRange(0, len(m.c.Agents)-1).Draw(t, "agent")]
				a.Full = !a.Full
			},
			"restart": func(t *rapid.T) { m.c.RestartEntry(rapid.IntRange(0, 2).Draw(t, "entry")) },
			"wait": func(t *rapid.T) {
				m.c.Now = m.c.Now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(*rapid.T) { m.checkRevisions() },
		})
	})
}

// TestEvacuatedFlows guards against plain UDP flows of a withdrawn zone that move more than once, or move back when the zone
// returns. The nodes enforce the withdrawal one after the other, so an agent outside the zone admits a flow while other nodes
// still send its datagrams into the zone.
func TestEvacuatedFlows(t *testing.T) {
	const flows = 100
	m := newModel(t)
	send := func() {
		for i := range flows {
			m.c.Send(i%3, conductor.Flow(0, i), []byte("job"))
			m.settle()
		}
	}
	send()
	m.withdrawZone("johor-c")
	for _, n := range m.c.Nodes() {
		require.NoError(t, m.c.Beat(n))
		m.settle()
		send()
	}
	require.Greater(t, len(m.evacuated), flows/10, "too few flows were held in the withdrawn zone")
	for f := range m.evacuated {
		require.False(t, m.inWithdrawnZone(m.holders[f]), "flow %s still has its agent in the withdrawn zone", f.Caller)
	}
	m.returnZone("johor-c")
	m.c.BeatAll()
	send()
}

// TestWholePath guards against flows that move to another agent or lose datagrams while only some nodes have applied an
// update.
func TestWholePath(t *testing.T) {
	c := conductor.New(services(), 3)
	holders := map[int]string{}
	send := func(stage string) {
		for i := range 200 {
			c.Send(i%3, conductor.Flow(0, i), []byte("job"))
			got := c.Settle()
			require.Len(t, got, 1, "%s: flow %d", stage, i)
			name := string(got[0].Agent.Upstream)
			if holders[i] == "" {
				holders[i] = name
			}
			require.Equal(t, holders[i], name, "%s: flow %d", stage, i)
		}
	}
	send("start")
	for round := range 12 {
		weight := registrar.Weight(1000 * (1 + round%5*3))
		a := c.Agents[round%4]
		require.Nil(t, c.ApplyIntent(planner.Intent{Kind: planner.ChangeUpstream, Upstream: &registrar.Upstream{Name: a.Upstream, Weight: weight}}).Failure)
		for _, n := range c.Nodes()[:5+round%4] {
			require.NoError(t, c.Beat(n))
		}
		send(fmt.Sprintf("round %d, unevenly", round))
		// Entry 2 is updated only in every fourth round, so it lags up to four generations.
		for _, n := range c.Nodes() {
			if n != &c.Entries[2].Node || round%4 == 3 {
				require.NoError(t, c.Beat(n))
			}
		}
		c.Settle()
		send(fmt.Sprintf("round %d", round))
	}
}

// TestMain raises the number of steps of rapid from 30 to 100, because 30 steps rarely include the four or five events that
// a fault takes.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.steps").Value.String() == flag.Lookup("rapid.steps").DefValue {
		_ = flag.Set("rapid.steps", "100")
	}
	os.Exit(m.Run())
}
