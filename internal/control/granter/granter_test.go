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

// fakeControl implements Announcer, StateAger and Reporter.
type fakeControl struct {
	stateIsRecent    bool
	announced        []planner.Facts
	wrongDigestCount int
}

func (c *fakeControl) StateAge(time.Time) (time.Duration, bool) { return 0, c.stateIsRecent }

func (c *fakeControl) Announce(_ registrar.MachineName, facts planner.Facts) {
	c.announced = append(c.announced, facts)
}

func (c *fakeControl) DigestDiffers(registrar.MachineName, registrar.Revision) { c.wrongDigestCount++ }

var t0 = time.Unix(1_800_000_000, 0)

// newGranter returns a granter whose configuration is the result of a number of updates.
func newGranter(t *testing.T, updateCount int) (*Granter, *fakeControl) {
	c := &fakeControl{stateIsRecent: true}
	g := &Granter{
		World: registrar.NewWorld(), Publisher: &publisher.Publisher{}, Leaser: &leaser.Leaser{}, StateAger: c, Announcer: c,
		Reporter: c,
	}
	for i := range updateCount {
		u := registrar.Update{Revision: registrar.Revision(i + 1), Changes: []registrar.Change{{
			Kind: registrar.PutZone, Zone: &registrar.Zone{Name: "a", Region: "r", Withdrawn: i%2 == 1},
		}}}
		require.NoError(t, g.World.Apply(u))
		g.Publisher.Add(u)
	}
	return g, c
}

// node is a subscriber that counts the configurations put into force.
type node struct {
	subscriber.Subscriber
	enforcedCount int
}

func (n *node) Update(*registrar.World) { n.enforcedCount++ }

func newNode() *node {
	n := &node{}
	n.World = registrar.NewWorld()
	n.Enforcers = []subscriber.Enforcer{n}
	return n
}

// heartbeat sends a heartbeat to g and applies the reply.
func (n *node) heartbeat(t *testing.T, g *Granter, now time.Time) subscriber.Reply {
	h := leaser.Heartbeat{Machine: registrar.Machine{Name: "entry-0"}, Revision: n.World.Revision(), Digest: n.World.Digest()}
	reply, err := g.Heartbeat(now, h)
	require.NoError(t, err)
	require.NoError(t, n.Accept(now, reply))
	return reply
}

// TestHeartbeatUpdates guards against a reply with more updates than the node lacks, and against a node that does not reach the
// newest revision.
func TestHeartbeatUpdates(t *testing.T) {
	g, _ := newGranter(t, 10)
	n := newNode()
	r := n.heartbeat(t, g, t0)
	require.Len(t, r.Updates, 10)
	require.Equal(t, g.World.Digest(), n.World.Digest())
	r = n.heartbeat(t, g, t0)
	require.Empty(t, r.Updates)
	require.Nil(t, r.State)

	g, _ = newGranter(t, maxInitialUpdates+1)
	n = newNode()
	require.NotNil(t, n.heartbeat(t, g, t0).State, "a node without a configuration did not get the full state")
	require.Equal(t, g.World.Digest(), n.World.Digest())
	require.True(t, n.Valid(t0))
}

// TestRepair guards against a node that keeps a configuration whose digest is wrong for its revision.
func TestRepair(t *testing.T) {
	g, c := newGranter(t, 4)
	n := newNode()
	wrongState := g.World.State()
	wrongState.Zones[0].Region = "elsewhere"
	require.NoError(t, n.World.Restore(wrongState))
	r := n.heartbeat(t, g, t0)
	require.NotNil(t, r.State)
	require.Equal(t, 1, c.wrongDigestCount)
	require.Equal(t, 1, n.enforcedCount, "the repaired configuration is not in force")
	require.Equal(t, g.World.Digest(), n.World.Digest())
	require.Nil(t, n.heartbeat(t, g, t0).State)
	// A node whose digest stays wrong does not get the full state with every heartbeat.
	require.NoError(t, n.World.Restore(wrongState))
	require.Nil(t, n.heartbeat(t, g, t0.Add(time.Second)).State)
	require.NotNil(t, n.heartbeat(t, g, t0.Add(repairInterval+time.Second)).State)
}

// TestAnnounce guards against writing an announcement to the log that changes nothing or will be refused, and against a refusal
// that is not reported to the node.
func TestAnnounce(t *testing.T) {
	g, c := newGranter(t, 1)
	c.stateIsRecent = false
	h := leaser.Heartbeat{
		Machine:      registrar.Machine{Name: "agent-0", Zone: "a"},
		Announcement: &leaser.Announcement{Upstream: "u", Service: "s", Slots: 1, Weight: 1000},
	}
	r, err := g.Heartbeat(t0, h)
	require.ErrorIs(t, err, ErrRefused)
	require.ErrorContains(t, err, `service "s" does not exist`)
	require.False(t, r.Granted, "an instance with outdated state granted a lease")
	require.Len(t, c.announced, 1, "the new machine was not announced")
	s, _ := g.Leaser.Session("agent-0")
	require.True(t, s.LeaseUntil.IsZero())
	require.NoError(t, g.World.Apply(registrar.Update{Revision: 2, Changes: []registrar.Change{
		{Kind: registrar.PutMachine, Machine: &h.Machine},
	}}))
	_, err = g.Heartbeat(t0, h)
	require.ErrorIs(t, err, ErrRefused)
	require.Len(t, c.announced, 1, "a refused announcement was queued for the log")
	h.Announcement = nil
	_, err = g.Heartbeat(t0, h)
	require.NoError(t, err)
	require.Len(t, c.announced, 1, "a heartbeat that changes nothing was queued for the log")
}

// TestServesWithoutLease guards against a first lease for a node that continues to serve without a lease while only this instance
// knows of the node.
func TestServesWithoutLease(t *testing.T) {
	g, _ := newGranter(t, 1)
	h := leaser.Heartbeat{Machine: registrar.Machine{Name: "entry-0", Incarnation: 7, ServesWithoutLease: true}, ServesWithoutLease: true}
	configured := h.Machine
	for i, wantGranted := range []bool{false, false, true} {
		r, err := g.Heartbeat(t0, h)
		require.NoError(t, err)
		require.Equal(t, wantGranted, r.Granted)
		configured.Incarnation = registrar.Incarnation(6 + i)
		require.NoError(t, g.World.Apply(registrar.Update{Revision: registrar.Revision(2 + i), Changes: []registrar.Change{
			{Kind: registrar.PutMachine, Machine: &configured},
		}}))
	}
}
