package steerer

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/peridotstage/peridotstage/internal/route/carrier"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// fixedLease is a lease that is always valid or never.
type fixedLease bool

func (l fixedLease) Valid(time.Time) bool { return bool(l) }

var start = time.Unix(1000, 0)

const routeAddress = "198.18.0.1:443"

// testEntry is an entry with upstreams of two services.
type testEntry struct {
	*Steerer
	t *testing.T
}

func agentAddress(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 7720)
}

func withKind(kind registrar.ChangeKind, c registrar.Change) registrar.Change {
	c.Kind = kind
	return c
}

// newTestEntry returns an entry in zone a. Upstreams 1 to desks belong to service desk, the others to catalogue. Those with an
// odd number are in zone a, those with an even number in zone b.
func newTestEntry(t *testing.T, desks, catalogues int) *testEntry {
	w := registrar.NewWorld()
	changes := []registrar.Change{
		withKind(registrar.PutZone, registrar.Change{Zone: &registrar.Zone{Name: "a", Region: "r"}}),
		withKind(registrar.PutZone, registrar.Change{Zone: &registrar.Zone{Name: "b", Region: "r"}}),
		withKind(registrar.PutService, registrar.Change{Service: &registrar.Service{Name: "desk", Transport: registrar.TransportStream}}),
		withKind(registrar.PutService, registrar.Change{Service: &registrar.Service{Name: "catalogue", Transport: registrar.TransportStream}}),
		withKind(registrar.PutRoute, registrar.Change{Route: &registrar.Route{
			Name: "stock", Address: netip.MustParseAddrPort(routeAddress), Kind: registrar.RouteIdempotent, Timeout: 500,
			Targets: []registrar.Target{{Service: "desk", Weight: 1}},
		}}),
	}
	for n := 1; n <= desks+catalogues; n++ {
		service, zone := registrar.ServiceName("desk"), registrar.ZoneName("a")
		if n > desks {
			service = "catalogue"
		}
		if n%2 == 0 {
			zone = "b"
		}
		name := fmt.Sprint("side-", n)
		changes = append(changes,
			withKind(registrar.PutMachine, registrar.Change{Machine: &registrar.Machine{
				Name: registrar.MachineName(name), Role: registrar.RoleAgent, Zone: zone, DataAddress: agentAddress(n),
			}}),
			withKind(registrar.PutUpstream, registrar.Change{Upstream: &registrar.Upstream{
				Name: registrar.UpstreamName(name), Service: service, Zone: zone, Machine: registrar.MachineName(name), Slots: 2,
			}}))
	}
	require.NoError(t, w.Apply(registrar.Update{Revision: 1, Changes: changes}))
	s := &testEntry{Steerer: &Steerer{Zone: "a", World: w, Lease: fixedLease(true)}, t: t}
	s.Update(w)
	return s
}

func (s *testEntry) apply(kind registrar.ChangeKind, c registrar.Change) {
	require.NoError(s.t, s.World.Apply(registrar.Update{
		Revision: s.World.Revision() + 1, Changes: []registrar.Change{withKind(kind, c)},
	}))
	s.Update(s.World)
}

// report delivers a load report of agent n: busy requests in flight, 2 slots, and a service time of 10 ms.
func (s *testEntry) report(now time.Time, n, busy int) {
	s.reportServiceTime(now, n, busy, 10*time.Millisecond)
}

// reportServiceTime delivers a load report of agent n like report, with the given service time.
func (s *testEntry) reportServiceTime(now time.Time, n, busy int, serviceTime time.Duration) {
	s.Report(now, agentAddress(n), carrier.LoadReport{
		Service: carrier.TagOf("desk"), Accepting: true, InFlight: uint16(busy), Slots: 2, ServiceTimeMicros: uint32(serviceTime.Microseconds()),
	})
}

func packet(port int, flags carrier.SegmentFlags, attempt uint32) *carrier.Segment {
	return &carrier.Segment{
		From: netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), uint16(port)), To: netip.MustParseAddrPort(routeAddress),
		Flags: flags, Acknowledged: attempt,
	}
}

// TestShortestExpectedTime guards against placing new flows at a busy upstream while another one is idle.
func TestShortestExpectedTime(t *testing.T) {
	s := newTestEntry(t, 4, 1)
	s.report(start, 1, 6)
	s.report(start, 2, 5)
	s.report(start, 3, 0)
	s.report(start, 4, 7)
	for port := range 2 {
		d := s.FromCaller(start, packet(port, carrier.Open, 0))
		require.Equal(t, agentAddress(3), d.To)
		require.Equal(t, carrier.TagOf("desk"), d.Header.Service)
	}
	// Flows placed since the last report count as well. Otherwise a whole burst would go to the upstream that reported idle slots.
	flowsByAgent := map[netip.AddrPort]int{}
	for port := 10; port < 30; port++ {
		flowsByAgent[s.FromCaller(start, packet(port, carrier.Open, 0)).To]++
	}
	require.Len(t, flowsByAgent, 4)
}

// shortestExpectedTime returns the agent that the earlier policy chose for a new flow; it is kept as a baseline.
func (s *testEntry) shortestExpectedTime(now time.Time, seg *carrier.Segment) netip.AddrPort {
	route, ok := s.World.Route(seg.To)
	require.True(s.t, ok)
	hash := seg.Flow().Hash()
	candidates := s.current().poolFor(route, hash).candidates(now, hash, nil).healthy
	best := slices.MinFunc(candidates, func(a, b choice) int { return cmp.Compare(a.cost(s.Zone), b.cost(s.Zone)) })
	return best.member.address
}

// busiest returns the largest number of flows of one agent.
func busiest(flowsByAgent map[netip.AddrPort]int) int {
	return slices.Max(slices.Collect(maps.Values(flowsByAgent)))
}

// TestCalmBalance guards against most new flows going to one upstream while several are idle: because its service time is measured a
// little shorter, or because it is the only one that has been measured. The busiest upstream may get 1.05 of the mean.
func TestCalmBalance(t *testing.T) {
	const upstreams, flows = 8, 40_000
	tests := []struct {
		name string
		// serviceTime returns the service time that agent n reports, as it varies from report to report.
		serviceTime func(r *rand.Rand, n int) time.Duration
	}{
		{"equally fast", func(r *rand.Rand, _ int) time.Duration {
			return 12*time.Millisecond + time.Duration(r.Int64N(int64(8*time.Millisecond)))
		}},
		{"one a little faster", func(_ *rand.Rand, n int) time.Duration {
			return 15*time.Millisecond + time.Duration(min(n, 2))*time.Millisecond
		}},
		{"one measured", func(_ *rand.Rand, n int) time.Duration {
			if n == 1 {
				return 5 * time.Millisecond
			}
			return 0
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newTestEntry(t, 2*upstreams, 0)
			r := rand.New(rand.NewPCG(1, 2))
			flowsByAgent, baseline := map[netip.AddrPort]int{}, map[netip.AddrPort]int{}
			for port := range flows {
				// The upstreams with odd numbers are in the zone of the entry.
				for n := 1; n < 2*upstreams; n += 2 {
					s.reportServiceTime(start, n, 0, tt.serviceTime(r, n))
				}
				opening := packet(port, carrier.Open, 0)
				baseline[s.shortestExpectedTime(start, opening)]++
				flowsByAgent[s.FromCaller(start, opening).To]++
			}
			const mean = float64(flows) / upstreams
			t.Logf("busiest over mean: %.2f, %.2f with the earlier policy", float64(busiest(flowsByAgent))/mean, float64(busiest(baseline))/mean)
			require.LessOrEqual(t, float64(busiest(flowsByAgent)), 1.05*mean)
		})
	}
}

// reportFailures delivers a load report of agent n, which is idle and fails the given share of its requests.
func (s *testEntry) reportFailures(now time.Time, n int, share carrier.FailureShare, probeDue bool) {
	s.Report(now, agentAddress(n), carrier.LoadReport{
		Service: carrier.TagOf("desk"), Accepting: true, Slots: 2, ServiceTimeMicros: 10_000, Failures: share, ProbeDue: probeDue,
	})
}

// TestFailingUpstream guards against new flows at an upstream that fails although others do not, against more than one probe for each
// report that allows one, and against a probe with a request that its caller cannot repeat.
func TestFailingUpstream(t *testing.T) {
	s := newTestEntry(t, 4, 0)
	for n := 2; n <= 4; n++ {
		s.reportFailures(start, n, 0, true)
	}
	s.reportFailures(start, 1, carrier.AllFailed, true)
	probes := 0
	for port := range 40 {
		d := s.FromCaller(start, packet(port, carrier.Open, 0))
		require.Equal(t, d.To == agentAddress(1), d.Header.Probe)
		if d.Header.Probe {
			require.Equal(t, ReasonProbe, d.Reason)
			probes++
		}
	}
	require.Equal(t, 1, probes)
	route, _ := s.World.Route(netip.MustParseAddrPort(routeAddress))
	route.Kind = registrar.RouteNonIdempotent
	s.apply(registrar.PutRoute, registrar.Change{Route: &route})
	s.reportFailures(start, 1, carrier.AllFailed, true)
	for port := 50; port < 90; port++ {
		require.NotEqual(t, agentAddress(1), s.FromCaller(start, packet(port, carrier.Open, 0)).To)
	}
}

// TestFailingWithoutRoom guards against a request that is turned away while an upstream that fails some of its requests has room, and
// against one that is sent to an upstream that fails nearly all of them.
func TestFailingWithoutRoom(t *testing.T) {
	for share, want := range map[carrier.FailureShare]Action{carrier.AllFailed * 2 / 5: Pass, carrier.AllFailed: Drop} {
		s := newTestEntry(t, 2, 0)
		s.reportFailures(start, 1, share, false)
		s.Report(start, agentAddress(2), carrier.LoadReport{Service: carrier.TagOf("desk"), Accepting: true, Cold: true, Slots: 2})
		require.Equal(t, want, s.FromCaller(start, packet(1, carrier.Open, 0)).Action)
	}
}

// TestSpaceReports guards against load reports that fill the link of an entry, and against reports that are so seldom that a lost one
// makes an upstream look gone.
func TestSpaceReports(t *testing.T) {
	for _, agents := range []int{1, 46, 136, 1000} {
		for _, linkMbps := range []registrar.Mbps{1.5, 3.8, 12, 100} {
			spacing := time.Duration(SpaceReports(agents, linkMbps)) * carrier.ReportTick
			require.LessOrEqual(t, 3*spacing, reportLifetime)
			// An agent sends at most one report in 10 ms, and the spacing is rounded down to whole ticks.
			perSecond := float64(agents) / (spacing + carrier.ReportTick).Seconds()
			if spacing < time.Duration(maxReportTicks)*carrier.ReportTick {
				require.LessOrEqual(t, perSecond*reportWireSize, reportShare*linkMbps.BytesPerSecond(), "%d agents, %g Mbit/s", agents, linkMbps)
			}
		}
	}
	require.Zero(t, SpaceReports(136, 0))
	require.Zero(t, SpaceReports(10, 1000))
}

// TestIdleUpstreams guards against a flow at an upstream that is so slow that the caller notices, while a faster one is idle, and
// against one at an upstream whose slots are busy.
func TestIdleUpstreams(t *testing.T) {
	for port := range 20 {
		s := newTestEntry(t, 7, 0)
		s.reportServiceTime(start, 1, 1, 12*time.Millisecond)
		s.reportServiceTime(start, 3, 0, 25*time.Millisecond)
		s.reportServiceTime(start, 5, 2, 12*time.Millisecond)
		s.reportServiceTime(start, 7, 0, 80*time.Millisecond)
		require.Equal(t, agentAddress(1), s.FromCaller(start, packet(port, carrier.Open, 0)).To)
	}
}

// TestPrefersOwnZone guards against packets that cross between zones although an upstream in the entry's zone is as fast.
func TestPrefersOwnZone(t *testing.T) {
	s := newTestEntry(t, 4, 0)
	for port := range 10 {
		for n := 1; n <= 4; n++ {
			s.report(start, n, 0)
		}
		d := s.FromCaller(start, packet(port, carrier.Open, 0))
		require.Contains(t, []netip.AddrPort{agentAddress(1), agentAddress(3)}, d.To)
	}
}

// TestRetransmittedOpening guards against a retransmission that opens the flow at a second upstream while the first one accepts
// flows, and against a retransmission to an upstream that no longer reports.
func TestRetransmittedOpening(t *testing.T) {
	s := newTestEntry(t, 4, 0)
	s.report(start, 1, 0)
	first := s.FromCaller(start, packet(1, carrier.Open, 0)).To
	later := start.Add(200 * time.Millisecond)
	s.report(later, 1, 1)
	s.report(later, 3, 0)
	require.Equal(t, first, s.FromCaller(later, packet(1, carrier.Open, 1)).To)
	later = later.Add(reportLifetime + time.Millisecond)
	s.report(later, 3, 0)
	require.Equal(t, agentAddress(3), s.FromCaller(later, packet(1, carrier.Open, 2)).To)
}

// TestRetransmittedOpeningAfterRouteMoved guards against a copy of an opening packet that opens the flow at the service that the route
// has left since the first one.
func TestRetransmittedOpeningAfterRouteMoved(t *testing.T) {
	s := newTestEntry(t, 2, 2)
	reportAll := func(now time.Time) {
		for n := 1; n <= 2; n++ {
			s.report(now, n, 0)
			s.Report(now, agentAddress(2+n), carrier.LoadReport{Service: carrier.TagOf("catalogue"), Accepting: true, Slots: 2})
		}
	}
	reportAll(start)
	require.Equal(t, carrier.TagOf("desk"), s.FromCaller(start, packet(1, carrier.Open, 0)).Header.Service)
	s.moveRoute("catalogue")
	later := start.Add(600 * time.Millisecond)
	reportAll(later)
	require.Equal(t, carrier.TagOf("catalogue"), s.FromCaller(later, packet(1, carrier.Open, 2)).Header.Service)
}

// TestReturnedOpening guards against a new flow that is dropped, or sent to the same upstream again, after the first upstream
// returned it.
func TestReturnedOpening(t *testing.T) {
	s := newTestEntry(t, 3, 0)
	for n := 1; n <= 3; n++ {
		s.report(start, n, 0)
	}
	offered := map[netip.AddrPort]bool{}
	d := s.FromCaller(start, packet(1, carrier.Open, 0))
	for range 3 {
		require.Equal(t, Pass, d.Action)
		require.False(t, offered[d.To], "flow offered twice")
		offered[d.To] = true
		d = s.HandleReturned(start, d.To, carrier.HopHeader{Kind: carrier.HopReturn, Reason: carrier.ReturnClosed}, packet(1, carrier.Open, 0))
	}
	// Closed upstreams may be replaced before the caller's next retransmission, so the flow is not reset.
	require.Equal(t, Drop, d.Action)
	// A late return of an earlier transmission has no effect.
	d = s.HandleReturned(start, agentAddress(1), carrier.HopHeader{Reason: carrier.ReturnClosed}, packet(1, carrier.Open, 0))
	require.Equal(t, ReasonSuperseded, d.Reason)
}

// TestColdUpstream guards against placing more flows at a cold upstream than its load report allows until the next report.
func TestColdUpstream(t *testing.T) {
	s := newTestEntry(t, 1, 0)
	s.Report(start, agentAddress(1), carrier.LoadReport{
		Service: carrier.TagOf("desk"), Accepting: true, Slots: 2, Cold: true, Allowance: 3,
	})
	for port := range 3 {
		require.Equal(t, Pass, s.FromCaller(start, packet(port, carrier.Open, 0)).Action)
	}
	d := s.FromCaller(start, packet(9, carrier.Open, 0))
	require.Equal(t, ReasonNoRoom, d.Reason)
	require.Equal(t, Drop, d.Action)
}

// TestSearch guards against losing existing flows at an entry that has restarted or to which the router has moved them. The entry
// asks each agent of the service once, asks no agent of another service, and does not reset the flow.
func TestSearch(t *testing.T) {
	s := newTestEntry(t, 5, 3)
	data := packet(1, carrier.Acknowledge, 0)
	asked := map[netip.AddrPort]bool{}
	d := s.FromCaller(start, data)
	for range 5 {
		require.Equal(t, Pass, d.Action)
		require.True(t, d.Header.Searching)
		require.False(t, asked[d.To])
		asked[d.To] = true
		header := d.Header
		header.Kind, header.Reason = carrier.HopReturn, carrier.ReturnUnknownFlow
		d = s.HandleReturned(start, d.To, header, data)
	}
	require.Equal(t, Decision{Reason: ReasonNoFlow, Asked: 5}, d)
	for n := 6; n <= 8; n++ {
		require.NotContains(t, asked, agentAddress(n))
	}
	s.RecordHolder(start, agentAddress(4), data.Flow())
	d = s.FromCaller(start, data)
	require.Equal(t, agentAddress(4), d.To)
	require.False(t, d.Header.Searching)
}

// moveRoute routes new flows to a service.
func (s *testEntry) moveRoute(service registrar.ServiceName) {
	s.apply(registrar.PutRoute, registrar.Change{Route: &registrar.Route{
		Name: "stock", Address: netip.MustParseAddrPort(routeAddress), Kind: registrar.RouteIdempotent, Timeout: 500,
		Targets: []registrar.Target{{Service: service, Weight: 1}},
	}})
}

// restarted returns the entry after a restart: it has the configuration that control sends, and no flows.
func (s *testEntry) restarted() *testEntry {
	w := registrar.NewWorld()
	require.NoError(s.t, w.Restore(s.World.State()))
	next := &testEntry{Steerer: &Steerer{Zone: "a", World: w, Lease: fixedLease(true)}, t: s.t}
	next.Update(w)
	return next
}

// searchSteps returns the number of agents that the entry asks for the flow of a packet until it asks the one at holder; 0 if it does
// not ask that one.
func (s *testEntry) searchSteps(now time.Time, data *carrier.Segment, holder netip.AddrPort) int {
	d := s.FromCaller(now, data)
	for n := 1; d.Action == Pass; n++ {
		if d.To == holder {
			return n
		}
		header := d.Header
		header.Kind, header.Reason = carrier.HopReturn, carrier.ReturnUnknownFlow
		d = s.HandleReturned(now, d.To, header, data)
	}
	return 0
}

// TestSearchAfterRouteMoved guards against losing the open flows of a route that a configuration has moved to another service: after
// the entry of a flow has restarted, the flow must be found at the upstream of the previous service, however many upstreams the new
// one has.
func TestSearchAfterRouteMoved(t *testing.T) {
	const desks, catalogues = 60, 100
	s := newTestEntry(t, desks, catalogues)
	for n := 1; n <= desks; n++ {
		s.report(start, n, 0)
	}
	holders := map[int]netip.AddrPort{}
	for port := range 50 {
		holders[port] = s.FromCaller(start, packet(port, carrier.Open, 0)).To
	}
	s.moveRoute("catalogue")
	s = s.restarted()
	for n := 1; n <= desks; n++ {
		s.report(start, n, 0)
	}
	for n := desks + 1; n <= desks+catalogues; n++ {
		s.Report(start, agentAddress(n), carrier.LoadReport{Service: carrier.TagOf("catalogue"), Accepting: true, Slots: 2})
	}
	for port, holder := range holders {
		steps := s.searchSteps(start, packet(port, carrier.Acknowledge, 0), holder)
		require.NotZero(t, steps, "the flow of port %d at %s is not found", port, holder)
		require.LessOrEqual(t, steps, 2*maxCandidates)
		opened := s.FromCaller(start, packet(1000+port, carrier.Open, 0))
		require.Equal(t, carrier.TagOf("catalogue"), opened.Header.Service, "a new flow at the previous service")
	}
}

// TestSearchAfterWeightsChanged guards against losing the open flows of a target whose weight a configuration has set to 0 before it
// drops the target, as a gradual move does.
func TestSearchAfterWeightsChanged(t *testing.T) {
	s := newTestEntry(t, 3, 2)
	for _, targets := range [][]registrar.Target{
		{{Service: "desk", Weight: 0}, {Service: "catalogue", Weight: 1}},
		{{Service: "catalogue", Weight: 1}},
	} {
		s.apply(registrar.PutRoute, registrar.Change{Route: &registrar.Route{
			Name: "stock", Address: netip.MustParseAddrPort(routeAddress), Kind: registrar.RouteIdempotent, Timeout: 500, Targets: targets,
		}})
		for n := 1; n <= 3; n++ {
			require.NotZero(t, s.restarted().searchSteps(start, packet(1, carrier.Acknowledge, 0), agentAddress(n)))
		}
	}
}

// TestMovedFlow guards against an entry that keeps sending packets to an agent after the agent returned one as unknown.
func TestMovedFlow(t *testing.T) {
	s := newTestEntry(t, 3, 0)
	data := packet(1, carrier.Acknowledge, 0)
	s.RecordHolder(start, agentAddress(2), data.Flow())
	d := s.HandleReturned(start, agentAddress(2), carrier.HopHeader{Kind: carrier.HopReturn, Reason: carrier.ReturnUnknownFlow}, data)
	require.True(t, d.Header.Searching)
	require.Zero(t, s.Flows())
}

// TestWithdrawnZone guards against new flows to a withdrawn zone, and against interrupting the existing flows there.
func TestWithdrawnZone(t *testing.T) {
	s := newTestEntry(t, 4, 0)
	for n := 1; n <= 4; n++ {
		s.report(start, n, 0)
	}
	existing := packet(1, carrier.Acknowledge, 0)
	s.RecordHolder(start, agentAddress(1), existing.Flow())
	s.apply(registrar.PutZone, registrar.Change{Zone: &registrar.Zone{Name: "a", Region: "r", Withdrawn: true}})
	for port := 10; port < 30; port++ {
		d := s.FromCaller(start, packet(port, carrier.Open, 0))
		require.Contains(t, []netip.AddrPort{agentAddress(2), agentAddress(4)}, d.To)
	}
	require.Equal(t, agentAddress(1), s.FromCaller(start, existing).To)
}

// TestNoRoute guards against leaving a caller without an answer if its opening packet has no route, and against resetting an
// existing flow whose route this entry may not know yet.
func TestNoRoute(t *testing.T) {
	s := newTestEntry(t, 1, 0)
	opening := packet(1, carrier.Open, 0)
	opening.To = netip.MustParseAddrPort("198.18.0.9:443")
	require.Equal(t, Reset, s.FromCaller(start, opening).Action)
	data := packet(1, carrier.Acknowledge, 0)
	data.To = opening.To
	require.Equal(t, Drop, s.FromCaller(start, data).Action)
}

// TestNoUpstream guards against leaving a caller without an answer if the service has no upstreams.
func TestNoUpstream(t *testing.T) {
	s := newTestEntry(t, 0, 1)
	require.Equal(t, Reset, s.FromCaller(start, packet(1, carrier.Open, 0)).Action)
}

// TestWeights guards against targets whose share of the flows differs from their weights, and against entries that select
// different targets for a flow.
func TestWeights(t *testing.T) {
	r := registrar.Route{Targets: []registrar.Target{{Service: "desk", Weight: 90}, {Service: "catalogue", Weight: 10}}}
	toCatalogue := 0
	const flows = 20_000
	for port := range flows {
		if selectTarget(r, packet(port, 0, 0).Flow().Hash()) == "catalogue" {
			toCatalogue++
		}
	}
	require.InDelta(t, 0.1, float64(toCatalogue)/flows, 0.01)
}

// TestRankingKeepsOrder guards against longer searches after an upstream is added or removed, which must not reorder the others.
func TestRankingKeepsOrder(t *testing.T) {
	s := newTestEntry(t, 10, 0)
	p := s.current().pools["desk"]
	for port := range 50 {
		h := packet(port, 0, 0).Flow().Hash()
		all := p.ranked(h, func(*member) bool { return true })
		fewer := p.ranked(h, func(m *member) bool { return m.id != 3 })
		var want []*member
		for _, m := range all {
			if m.id != 3 {
				want = append(want, m)
			}
		}
		require.Equal(t, want, fewer)
	}
}

// TestReusedAddress guards against mistaking an upstream of another service for one that was at its address before: its load
// reports must be ignored, and it must receive no flows.
func TestReusedAddress(t *testing.T) {
	s := newTestEntry(t, 2, 0)
	s.report(start, 1, 0)
	s.Report(start, agentAddress(2), carrier.LoadReport{Service: carrier.TagOf("catalogue"), Accepting: true, Slots: 2})
	for port := range 20 {
		require.Equal(t, agentAddress(1), s.FromCaller(start, packet(port, carrier.Open, 0)).To)
	}
}

// TestExpire guards against a flow table that grows without bound.
func TestExpire(t *testing.T) {
	s := newTestEntry(t, 1, 0)
	s.report(start, 1, 0)
	s.FromCaller(start, packet(1, carrier.Open, 0))
	s.Expire(start.Add(registrar.DefaultIdleTimeout))
	require.Equal(t, 1, s.Flows())
	s.Expire(start.Add(registrar.DefaultIdleTimeout + time.Millisecond))
	require.Zero(t, s.Flows())
}

// TestNoLease guards against passing packets without a valid lease.
func TestNoLease(t *testing.T) {
	s := newTestEntry(t, 1, 0)
	s.report(start, 1, 0)
	s.Lease = fixedLease(false)
	require.Equal(t, Decision{Reason: ReasonNoLease}, s.FromCaller(start, packet(1, carrier.Open, 0)))
}

// TestSearchPassesDeadAgent guards against a search that ends early at a dead agent. A dead agent never returns the packet, so
// all agents that report are asked before it.
func TestSearchPassesDeadAgent(t *testing.T) {
	s := newTestEntry(t, 5, 0)
	data := packet(1, carrier.Acknowledge, 0)
	first := s.FromCaller(start, data).To
	now := start.Add(time.Second)
	for n := 1; n <= 5; n++ {
		s.report(start, n, 0)
		if agentAddress(n) != first {
			s.report(now, n, 0)
		}
	}
	d := s.FromCaller(now, data)
	for range 4 {
		require.NotEqual(t, first, d.To)
		header := d.Header
		header.Kind, header.Reason = carrier.HopReturn, carrier.ReturnUnknownFlow
		d = s.HandleReturned(now, d.To, header, data)
	}
	require.Equal(t, first, d.To)
}
