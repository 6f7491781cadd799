package granter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/peridotstage/peridotstage/internal/control/leaser"
	"github.com/peridotstage/peridotstage/internal/control/planner"
	"github.com/peridotstage/peridotstage/internal/control/publisher"
	"github.com/peridotstage/peridotstage/internal/control/subscriber"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// control is a control instance's log, authority and fault log in one.
type control struct {
	ok     bool
	facts  []planner.Facts
	faults int
}

func (c *control) Vouch(time.Time) (time.Duration, bool)                   { return 0, c.ok }
func (c *control) Announce(_ registrar.MachineName, f planner.Facts)       { c.facts = append(c.facts, f) }
func (c *control) DigestDiffers(registrar.MachineName, registrar.Revision) { c.faults++ }

var t0 = time.Unix(1_800_000_000, 0)

func newGranter(t *testing.T, updates int) (*Granter, *control) {
	c := &control{ok: true}
	g := &Granter{
		World: registrar.NewWorld(), Publisher: &publisher.Publisher{}, Leaser: &leaser.Leaser{}, Authority: c, Announcer: c,
		Reporter: c,
	}
	for i := range updates {
		u := registrar.Update{Revision: registrar.Revision(i + 1), Changes: []registrar.Change{{
			Kind: registrar.PutZone, Zone: &registrar.Zone{Name: "a", Region: "r", Withdrawn: i%2 == 1},
		}}}
		require.NoError(t, g.World.Apply(u))
		g.Publisher.Add(u)
	}
	return g, c
}

// node is the node side of the heartbeats.
type node struct {
	subscriber.Subscriber
	enforced int
}

func (n *node) Update(*registrar.World) { n.enforced++ }

func newNode() *node {
	n := &node{}
	n.World = registrar.NewWorld()
	n.Enforcers = []subscriber.Enforcer{n}
	return n
}

func (n *node) beat(t *testing.T, g *Granter, now time.Time) subscriber.Reply {
	h := leaser.Heartbeat{Machine: registrar.Machine{Name: "entry-0"}, Revision: n.World.Revision(), Digest: n.World.Digest()}
	r, err := g.Heartbeat(now, h)
	require.NoError(t, err)
	require.NoError(t, n.Accept(now, r))
	return r
}

// TestDistribution guards against a node that gets more than the updates it lacks, or does not reach the newest revision.
func TestDistribution(t *testing.T) {
	g, _ := newGranter(t, 10)
	n := newNode()
	r := n.beat(t, g, t0)
	require.Len(t, r.Updates, 10)
	require.Equal(t, g.World.Digest(), n.World.Digest())
	r = n.beat(t, g, t0)
	require.Empty(t, r.Updates)
	require.Nil(t, r.State)

	g, _ = newGranter(t, newcomerUpdates+1)
	n = newNode()
	require.NotNil(t, n.beat(t, g, t0).State, "a newcomer gets the full state")
	require.Equal(t, g.World.Digest(), n.World.Digest())
	require.True(t, n.Valid(t0))
}

// TestRepair guards against a node that keeps a configuration other than that of its revision.
func TestRepair(t *testing.T) {
	g, c := newGranter(t, 4)
	n := newNode()
	wrong := g.World.State()
	wrong.Zones[0].Region = "elsewhere"
	require.NoError(t, n.World.Restore(wrong))
	r := n.beat(t, g, t0)
	require.NotNil(t, r.State)
	require.Equal(t, 1, c.faults)
	require.Equal(t, 1, n.enforced, "the repaired configuration is not in force")
	require.Equal(t, g.World.Digest(), n.World.Digest())
	require.Nil(t, n.beat(t, g, t0).State)
	// A node that stays wrong does not get the full state with every heartbeat.
	require.NoError(t, n.World.Restore(wrong))
	require.Nil(t, n.beat(t, g, t0.Add(time.Second)).State)
	require.NotNil(t, n.beat(t, g, t0.Add(repairInterval+time.Second)).State)
}

// TestAnnounce guards against announcements that are proposed without news or although they cannot be accepted, and against a
// refusal that the node does not hear of.
func TestAnnounce(t *testing.T) {
	g, c := newGranter(t, 1)
	c.ok = false
	h := leaser.Heartbeat{
		Machine:      registrar.Machine{Name: "agent-0", Zone: "a"},
		Announcement: &leaser.Announcement{Upstream: "u", Service: "s", Slots: 1, Weight: 1000},
	}
	r, err := g.Heartbeat(t0, h)
	require.ErrorIs(t, err, ErrRefused)
	require.ErrorContains(t, err, `service "s" does not exist`)
	require.False(t, r.Granted, "an instance that cannot vouch grants no lease")
	require.Len(t, c.facts, 1, "the machine is news")
	s, _ := g.Leaser.Session("agent-0")
	require.True(t, s.LeaseUntil.IsZero())
	require.NoError(t, g.World.Apply(registrar.Update{Revision: 2, Changes: []registrar.Change{
		{Kind: registrar.PutMachine, Machine: &h.Machine},
	}}))
	_, err = g.Heartbeat(t0, h)
	require.ErrorIs(t, err, ErrRefused)
	require.Len(t, c.facts, 1, "an announcement that is refused was proposed")
	h.Announcement = nil
	_, err = g.Heartbeat(t0, h)
	require.NoError(t, err)
	require.Len(t, c.facts, 1, "a heartbeat without news was proposed")
}

// TestServingNode guards against a first lease for a node that goes on without one and that only this instance knows of.
func TestServingNode(t *testing.T) {
	g, _ := newGranter(t, 1)
	h := leaser.Heartbeat{Machine: registrar.Machine{Name: "entry-0", Incarnation: 7, ServesExpired: true}, ServeExpired: true}
	known := h.Machine
	for i, granted := range []bool{false, false, true} {
		r, err := g.Heartbeat(t0, h)
		require.NoError(t, err)
		require.Equal(t, granted, r.Granted)
		known.Incarnation = registrar.Incarnation(6 + i)
		require.NoError(t, g.World.Apply(registrar.Update{Revision: registrar.Revision(2 + i), Changes: []registrar.Change{
			{Kind: registrar.PutMachine, Machine: &known},
		}}))
	}
}
