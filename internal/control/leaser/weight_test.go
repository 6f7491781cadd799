package leaser

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/peridotstage/peridotstage/internal/control/planner"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// TestWeights guards against a separate revision for each changed weight, against other announced changes that are delayed until
// weights are written, and against changes that are never written: every announced difference is either a fact or a changed weight.
func TestWeights(t *testing.T) {
	const count = maxWeightChanges + 7
	w := registrar.NewWorld()
	changes := []registrar.Change{
		{Kind: registrar.PutZone, Zone: &registrar.Zone{Name: "a", Region: "r"}},
		{Kind: registrar.PutService, Service: &registrar.Service{
			Name: "s", Address: netip.MustParseAddrPort("192.0.2.1:443"), Transport: registrar.TransportQUIC,
		}},
	}
	var sessions []Session
	for i := range count {
		m := registrar.Machine{Name: registrar.MachineName(fmt.Sprint("agent-", i)), Role: registrar.RoleAgent, Zone: "a", Incarnation: 1}
		u := registrar.Upstream{
			Name: registrar.UpstreamName(fmt.Sprint("u", i)), Service: "s", Zone: "a", Machine: m.Name, Slots: 1, Weight: 1000,
			Pinned: i == 0,
		}
		changes = append(changes, registrar.Change{Kind: registrar.PutMachine, Machine: &m},
			registrar.Change{Kind: registrar.PutUpstream, Upstream: &u})
		sessions = append(sessions, Session{HeardAt: t0, Heartbeat: Heartbeat{Machine: m, Announcement: &Announcement{
			Upstream: u.Name, Service: "s", Slots: 1, Weight: 1300, OldestFlow: 1,
		}}})
	}
	require.NoError(t, w.Apply(registrar.Update{Revision: 1, Changes: changes}))
	sessions[1].Announcement.Weight = 1100
	sessions[2].HeardAt = t0.Add(-SilentAfter)
	sessions[3].Machine.Incarnation = 2
	sessions[4].Announcement.Draining = true
	sessions[5].Announcement.Service = "other"
	sessions[count-1].Announcement.Weight = 10

	for i, s := range sessions {
		f := Facts(w, s.Heartbeat)
		require.Equal(t, i == 3, len(f.Machines) > 0, "agent %d", i)
		require.Equal(t, i == 4 || i == 5, len(f.Upstreams) > 0, "agent %d", i)
	}
	facts := ChangedWeights(t0, w, sessions)
	require.Len(t, facts, maxWeightChanges)
	require.Equal(t, registrar.UpstreamName(fmt.Sprint("u", count-1)), facts[0].Name, "the largest change is not the first")
	for _, f := range facts {
		require.NotContains(t, []registrar.UpstreamName{"u0", "u1", "u2", "u3", "u4", "u5"}, f.Name)
	}
	changed, refusals := planner.Preview(w, planner.Facts{Upstreams: facts})
	require.True(t, changed)
	require.Empty(t, refusals)

	sessions[6].HeardAt, sessions[7].HeardAt = t0.Add(-time.Minute), t0.Add(-time.Minute)
	require.Len(t, ChangedWeights(t0, w, sessions), count-8, "weights of silent agents are changed")
}
