package tracer

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/peridotstage/peridotstage/internal/control/leaser"
	"github.com/peridotstage/peridotstage/internal/control/planner"
	"github.com/peridotstage/peridotstage/internal/route/counter"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var t0 = time.Unix(1_800_000_000, 0)

// session returns the session of an agent with an upstream of service "s", or of an entry if upstream is empty.
func session(machine string, zone registrar.ZoneName, upstream registrar.UpstreamName, evidence ...counter.Evidence) leaser.Session {
	s := leaser.Session{HeardAt: t0, LeaseUntil: t0}
	s.Machine = registrar.Machine{Name: registrar.MachineName(machine), Role: registrar.RoleEntry, Zone: zone}
	if s.Evidence = evidence; upstream != "" {
		s.Machine.Role = registrar.RoleAgent
		s.Announcement = &leaser.Announcement{Upstream: upstream, Service: "s"}
	}
	return s
}

// newFixture returns a configuration with two upstreams in two zones, and the sessions of three control instances. The last one
// did not answer.
func newFixture(t *testing.T) (*registrar.World, []leaser.Instance) {
	w := registrar.NewWorld()
	require.NoError(t, w.Apply(registrar.Update{Revision: 1, Changes: []registrar.Change{
		{Kind: registrar.PutZone, Zone: &registrar.Zone{Name: "a", Region: "r"}},
		{Kind: registrar.PutZone, Zone: &registrar.Zone{Name: "b", Region: "r"}},
		{Kind: registrar.PutService, Service: &registrar.Service{
			Name: "s", ID: 1, Address: netip.MustParseAddrPort("192.0.2.1:443"), Transport: registrar.TransportUDP, Generations: []registrar.Generation{
				{Revision: 1, Members: []registrar.Member{{Upstream: 1, Weight: 1000}, {Upstream: 2, Weight: 1000}}},
			},
		}},
		{Kind: registrar.PutUpstream, Upstream: &registrar.Upstream{Name: "u1", ID: 1, Service: "s", Zone: "a", Machine: "agent-1", Slots: 1, Weight: 1000}},
		{Kind: registrar.PutUpstream, Upstream: &registrar.Upstream{Name: "u2", ID: 2, Service: "s", Zone: "b", Machine: "agent-2", Slots: 1, Weight: 1000}},
	}}))
	oldSession := session("entry-1", "a", "", counter.Evidence{Customer: "c", Passed: 1})
	oldSession.HeardAt = t0.Add(-time.Minute)
	return w, []leaser.Instance{
		{Name: "control-0", Answered: true, Sessions: []leaser.Session{
			session("entry-1", "a", "", counter.Evidence{Customer: "c", Passed: 9, Dropped: 2}),
			session("agent-1", "a", "u1", counter.Evidence{Customer: "c", Passed: 5, LiveFlows: 3}, counter.Evidence{Customer: "d", LiveFlows: 1}),
		}},
		{Name: "control-1", Answered: true, Sessions: []leaser.Session{
			oldSession, session("agent-2", "b", "u2", counter.Evidence{Customer: "c", Passed: 4, LiveFlows: 1, Dropped: 1}),
		}},
		{Name: "control-2"},
	}
}

// TestTrace guards against a trace that counts a machine twice, omits a service without a contract that still has live flows, or
// omits an instance that did not answer.
func TestTrace(t *testing.T) {
	w, instances := newFixture(t)
	trace := New(t0, w, registrar.Customer{Name: "c"}, instances)
	require.Equal(t, []registrar.MachineName{"control-2"}, trace.UnresponsiveInstances)
	require.Len(t, trace.Entries, 1)
	require.True(t, trace.Entries[0].Leased)
	require.EqualValues(t, []uint64{9, 9, 3, 4}, []uint64{trace.PassedByEntries, trace.PassedByAgents, trace.Dropped, trace.LiveFlows})
	require.Len(t, trace.Upstreams, 2)
	require.Equal(t, 4096, trace.Upstreams[0].Buckets+trace.Upstreams[1].Buckets)
	require.Equal(t, []int{1, 0}, []int{trace.Zones[0].Entries, trace.Zones[1].Entries})
	require.EqualValues(t, []uint64{3, 1}, []uint64{trace.Zones[0].LiveFlows, trace.Zones[1].LiveFlows})
	require.False(t, New(t0.Add(time.Second), w, trace.Customer, instances).Entries[0].Leased)
	unrelated := New(t0, w, registrar.Customer{Name: "nobody"}, instances)
	require.Empty(t, unrelated.Upstreams, "the trace shows a service without a contract and without flows")
}

// TestShares guards against a plan that states a wrong percentage of a customer's flows.
func TestShares(t *testing.T) {
	w, instances := newFixture(t)
	for name, tc := range map[string]struct {
		intent       planner.Intent
		wantC, wantD int
	}{
		"zone":     {planner.Intent{Zone: &registrar.Zone{Name: "a"}}, 75, 100},
		"service":  {planner.Intent{Service: &registrar.Service{Name: "s"}}, 100, 100},
		"upstream": {planner.Intent{Upstream: &registrar.Upstream{Name: "u2"}}, 25, 0},
		"customer": {planner.Intent{Customer: &registrar.Customer{Name: "d"}}, 0, 100},
		"contract": {planner.Intent{Contract: &registrar.Contract{Name: "x", Customer: "c", Service: "s"}}, 100, 0},
		"other":    {planner.Intent{Contract: &registrar.Contract{Name: "x", Customer: "c", Service: "other"}}, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, []planner.Share{{Customer: "c", Percent: tc.wantC}, {Customer: "d", Percent: tc.wantD}},
				Shares(tc.intent, w, instances))
		})
	}
}
