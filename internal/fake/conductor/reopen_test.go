package conductor_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/peridotstage/peridotstage/internal/control/planner"
	"github.com/peridotstage/peridotstage/internal/fake/conductor"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// TestReopenedAfterRetirement guards against lost QUIC connections from the address and port of a closed one whose agent admits
// no new flows: the retired agent and the owner of the bucket passed the first datagram back and forth until it was dropped.
func TestReopenedAfterRetirement(t *testing.T) {
	c := conductor.New([]conductor.Service{{Name: "order-desk", Transport: registrar.TransportQUIC, Zones: zones}}, 1)
	open := func(i int) *conductor.Agent {
		c.Send(0, conductor.Flow(0, i), conductor.Initial())
		all := c.Settle()
		require.Len(t, all, 1, "the first datagram of connection %d was lost", i)
		return all[0].Agent
	}
	const flows = 50
	retired := open(0)
	for i := range flows {
		open(i)
		for _, a := range c.Agents {
			a.Close(conductor.Flow(0, i).Caller)
		}
	}
	c.ApplyIntent(planner.Intent{Kind: planner.RetireUpstream, Upstream: &registrar.Upstream{Name: retired.Announcement.Upstream}})
	c.BeatAll()
	for i := range flows {
		require.NotSame(t, retired, open(i), "a retired upstream admitted a new flow")
	}
}
