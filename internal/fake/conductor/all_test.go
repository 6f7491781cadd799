package conductor_test

import (
	"flag"
	"fmt"
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

// model is the simple account that the deployment is compared with.
type model struct {
	t *rapid.T
	c *conductor.Conductor
	// holders has the agent that admitted each flow.
	holders map[registrar.Flow]*conductor.Agent
	// outAt has when each withdrawn zone was confirmed as withdrawn.
	outAt     map[registrar.ZoneName]time.Time
	revisions map[*conductor.Node]registrar.Revision
}

// delivered checks one delivery against the promises.
func (m *model) delivered(d conductor.Delivery) {
	require.Equal(m.t, conductor.Address(d.Agent.Service), d.Flow.Service, "datagram reached another service")
	zone := d.Agent.Node.Machine.Zone
	known, _ := d.Agent.Subscriber.World.Zone(zone)
	require.False(m.t, known.Withdrawn, "an agent delivered in zone %s, which it knows as withdrawn", zone)
	if at, out := m.outAt[zone]; out {
		require.False(m.t, m.c.Now.After(at.Add(subscriber.LeaseTime)), "zone %s got a datagram %s after its withdrawal", zone, m.c.Now.Sub(at))
	}
	holder := m.holders[d.Flow]
	if holder == nil {
		m.holders[d.Flow] = d.Agent
		return
	}
	require.Equal(m.t, holder.Node.Machine.Name, d.Agent.Node.Machine.Name, "flow %s left its agent", d.Flow.Caller)
}

func (m *model) step(i int) {
	if d, ok := m.c.Step(i); ok {
		m.delivered(d)
	}
}

func (m *model) settle() {
	for len(m.c.Flight) > 0 {
		m.step(0)
	}
}

// payload returns what the caller of a flow would send.
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
		require.GreaterOrEqual(m.t, r, m.revisions[n], "%s went back in revision", n.Machine.Name)
		m.revisions[n] = r
	}
}

// giveUp forgets the flows of a zone, which operators give up by withdrawing it.
func (m *model) giveUp(zone registrar.ZoneName) {
	for f, a := range m.holders {
		if a.Node.Machine.Zone == zone {
			delete(m.holders, f)
		}
	}
}

// TestDecisions guards the promises of the data path against every order of datagrams, updates, losses and restarts that
// rapid draws: a flow stays at the agent that admitted it, no datagram reaches another service or, once a withdrawal is in
// force or leases have run out, a withdrawn zone, and no node goes back in revision. Caught by it: a chain that was
// entered in the middle and skipped the holder, and agents at different revisions that passed a datagram in a loop.
func TestDecisions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{
			t: t, c: conductor.New(services(), 3), holders: map[registrar.Flow]*conductor.Agent{},
			outAt: map[registrar.ZoneName]time.Time{}, revisions: map[*conductor.Node]registrar.Revision{},
		}
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
				// The address of a machine has come to belong to another one.
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
				m.c.Carry(planner.Intent{Kind: kind, Upstream: &registrar.Upstream{Name: a.Upstream, Weight: weight}})
			},
			"withdraw": func(t *rapid.T) {
				zone := rapid.SampledFrom(zones).Draw(t, "zone")
				if len(m.outAt) == 0 && m.c.Carry(planner.Intent{Kind: planner.WithdrawZone, Zone: &registrar.Zone{Name: zone}}).Failure == nil {
					m.outAt[zone] = m.c.Now
				}
			},
			"return": func(t *rapid.T) {
				for zone := range m.outAt {
					// Every node has dropped the flows of the zone before it returns, as the leases have run out.
					m.c.Now = m.c.Now.Add(subscriber.LeaseTime + time.Millisecond)
					m.settle()
					m.c.BeatAll()
					m.settle()
					m.giveUp(zone)
					require.Nil(t, m.c.Carry(planner.Intent{Kind: planner.ReturnZone, Zone: &registrar.Zone{Name: zone}}).Failure)
					delete(m.outAt, zone)
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

// TestWholePath guards that the decisions fit together without any socket: an entry, an agent and control carry a flow
// through its life, and an update that only some nodes have does not break it.
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
		require.Nil(t, c.Carry(planner.Intent{Kind: planner.ChangeUpstream, Upstream: &registrar.Upstream{Name: a.Upstream, Weight: weight}}).Failure)
		for _, n := range c.Nodes()[:5+round%4] {
			require.NoError(t, c.Beat(n))
		}
		send(fmt.Sprintf("round %d, unevenly", round))
		// Entry 2 falls up to four generations behind.
		for _, n := range c.Nodes() {
			if n != &c.Entries[2].Node || round%4 == 3 {
				require.NoError(t, c.Beat(n))
			}
		}
		c.Settle()
		send(fmt.Sprintf("round %d", round))
	}
}

// TestMain lengthens the runs of rapid, because 30 steps hardly ever hold the four or five events that a fault needs.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.steps").Value.String() == flag.Lookup("rapid.steps").DefValue {
		_ = flag.Set("rapid.steps", "100")
	}
	os.Exit(m.Run())
}
