package conductor_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/peridotstage/peridotstage/internal/fake/conductor"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// TestDrain guards the end of plain UDP flows at a planned stop: a flow that waits for an answer or has just been used
// stays until the deadline, one that has been quiet ends, and the next datagram of an ended flow starts a new one at
// another agent although the owner of its bucket was told that this agent holds it.
func TestDrain(t *testing.T) {
	const quiet = time.Second
	c := conductor.New([]conductor.Service{{Name: "catalogue", Transport: registrar.TransportUDP, Zones: zones}}, 1)
	send := func(f registrar.Flow) *conductor.Agent {
		c.Send(0, f, []byte("question"))
		all := c.Settle()
		require.Len(t, all, 1, "a datagram was lost")
		return all[0].Agent
	}
	var flows []registrar.Flow
	leaving := c.Agents[0]
	for i := 0; len(flows) < 3; i++ {
		if f := conductor.Flow(0, i); send(f) == leaving {
			flows = append(flows, f)
		}
	}
	answered, waiting, busy := flows[0], flows[1], flows[2]
	answer := func(f registrar.Flow) {
		_, ok := leaving.Answer(c.Now, f.Caller)
		require.True(t, ok)
	}
	answer(answered)
	answer(busy)
	leaving.Announcement.Draining, leaving.Announcement.OldestFlow = true, leaving.Stats().Oldest
	c.BeatAll()
	c.Settle()
	leaving.Drain(c.Now, quiet, c.Now.Add(10*quiet))
	require.Equal(t, 3, leaving.EndFlows(c.Now).Left, "a flow ended before it was quiet")
	c.Now = c.Now.Add(quiet)
	require.Same(t, leaving, send(waiting))
	c.BeatAll()
	require.Equal(t, 1, leaving.EndFlows(c.Now).Left)
	require.NotSame(t, leaving, send(answered), "an ended flow came back")
	require.NotSame(t, leaving, send(conductor.Flow(0, 1000)), "an agent that drains took a new flow")
	answer(waiting)
	require.Equal(t, 1, leaving.EndFlows(c.Now.Add(quiet)).Left, "a flow ended with an unanswered datagram")
	c.Now = c.Now.Add(quiet / 2)
	answer(waiting)
	require.Zero(t, leaving.EndFlows(c.Now.Add(quiet)).Left)
}
