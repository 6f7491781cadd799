package conductor_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/peridotstage/peridotstage/internal/fake/conductor"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// TestDrain guards against plain UDP flows that end too early or too late at a planned stop: a flow that awaits an answer or
// was used recently stays until the deadline, and an idle flow ends. The next datagram of an ended flow starts a new flow at
// another agent, although the owner of its bucket was notified that the draining agent holds it.
func TestDrain(t *testing.T) {
	const idleTime = time.Second
	c := conductor.New([]conductor.Service{{Name: "catalogue", Transport: registrar.TransportUDP, Zones: zones}}, 1)
	send := func(f registrar.Flow) *conductor.Agent {
		c.Send(0, f, []byte("question"))
		all := c.Settle()
		require.Len(t, all, 1, "a datagram was lost")
		return all[0].Agent
	}
	var flows []registrar.Flow
	draining := c.Agents[0]
	for i := 0; len(flows) < 3; i++ {
		if f := conductor.Flow(0, i); send(f) == draining {
			flows = append(flows, f)
		}
	}
	answered, waiting, busy := flows[0], flows[1], flows[2]
	answer := func(f registrar.Flow) {
		_, ok := draining.Answer(c.Now, f.Caller)
		require.True(t, ok)
	}
	answer(answered)
	answer(busy)
	draining.Announcement.Draining, draining.Announcement.OldestFlow = true, draining.Stats().OldestGeneration
	c.BeatAll()
	c.Settle()
	draining.Drain(c.Now, idleTime, c.Now.Add(10*idleTime))
	require.Equal(t, 3, draining.EndFlows(c.Now).Remaining, "a flow ended before it was idle")
	c.Now = c.Now.Add(idleTime)
	require.Same(t, draining, send(waiting))
	c.BeatAll()
	require.Equal(t, 1, draining.EndFlows(c.Now).Remaining)
	require.NotSame(t, draining, send(answered), "an ended flow returned to the draining agent")
	require.NotSame(t, draining, send(conductor.Flow(0, 1000)), "the draining agent admitted a new flow")
	answer(waiting)
	require.Equal(t, 1, draining.EndFlows(c.Now.Add(idleTime)).Remaining, "a flow ended with an unanswered datagram")
	c.Now = c.Now.Add(idleTime / 2)
	answer(waiting)
	require.Zero(t, draining.EndFlows(c.Now.Add(idleTime)).Remaining)
}
