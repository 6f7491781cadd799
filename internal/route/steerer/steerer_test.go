package steerer

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/peridotstage/peridotstage/internal/route/carrier"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// leased is a lease that is valid while true.
type leased bool

func (l leased) Valid(time.Time) bool { return bool(l) }

var start = time.Unix(1000, 0)

const routeAddress = "198.18.0.1:443"

// site is an entry with upstreams of two services.
type site struct {
	*Steerer
	t *testing.T
}

func agentAddress(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 7720)
}

func change(kind registrar.ChangeKind, c registrar.Change) registrar.Change {
	c.Kind = kind
	return c
}

// newSite returns an entry in zone a. Upstreams 1 to desks are of service desk, the further ones of catalogue; they stand in
// zones a and b by turns.
func newSite(t *testing.T, desks, catalogues int) *site {
	w := registrar.NewWorld()
	changes := []registrar.Change{
		change(registrar.PutZone, registrar.Change{Zone: &registrar.Zone{Name: "a", Region: "r"}}),
		change(registrar.PutZone, registrar.Change{Zone: &registrar.Zone{Name: "b", Region: "r"}}),
		change(registrar.PutService, registrar.Change{Service: &registrar.Service{Name: "desk", Transport: registrar.TransportStream}}),
		change(registrar.PutService, registrar.Change{Service: &registrar.Service{Name: "catalogue", Transport: registrar.TransportStream}}),
		change(registrar.PutRoute, registrar.Change{Route: &registrar.Route{
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
			change(registrar.PutMachine, registrar.Change{Machine: &registrar.Machine{
				Name: registrar.MachineName(name), Role: registrar.RoleAgent, Zone: zone, DataAddress: agentAddress(n),
			}}),
			change(registrar.PutUpstream, registrar.Change{Upstream: &registrar.Upstream{
				Name: registrar.UpstreamName(name), Service: service, Zone: zone, Machine: registrar.MachineName(name), Slots: 2,
			}}))
	}
	require.NoError(t, w.Apply(registrar.Update{Revision: 1, Changes: changes}))
	s := &site{Steerer: &Steerer{Zone: "a", World: w, Lease: leased(true)}, t: t}
	s.Update(w)
	return s
}

func (s *site) apply(kind registrar.ChangeKind, c registrar.Change) {
	require.NoError(s.t, s.World.Apply(registrar.Update{
		Revision: s.World.Revision() + 1, Changes: []registrar.Change{change(kind, c)},
	}))
	s.Update(s.World)
}

// report sends a report of an agent with busy requests of 10 ms each on 2 slots.
func (s *site) report(now time.Time, n, busy int) {
	s.Report(now, agentAddress(n), carrier.LoadReport{
		Service: carrier.TagOf("desk"), Accepting: true, Busy: uint16(busy), Slots: 2, WorkMicros: 10_000,
	})
}

func packet(port int, flags carrier.SegmentFlags, attempt uint32) *carrier.Segment {
	return &carrier.Segment{
		From: netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), uint16(port)), To: netip.MustParseAddrPort(routeAddress),
		Flags: flags, Acknowledged: attempt,
	}
}

// TestPlacesAtLeastWait guards against new flows that wait at a busy upstream while another one is free.
func TestPlacesAtLeastWait(t *testing.T) {
	s := newSite(t, 4, 1)
	s.report(start, 1, 6)
	s.report(start, 2, 5)
	s.report(start, 3, 0)
	s.report(start, 4, 7)
	for port := range 2 {
		d := s.FromCaller(start, packet(port, carrier.Open, 0))
		require.Equal(t, agentAddress(3), d.To)
		require.Equal(t, carrier.TagOf("desk"), d.Header.Service)
	}
	// What has been placed since a report counts as well: 2 slots are taken, and a burst must not all go to one upstream.
	seen := map[netip.AddrPort]int{}
	for port := 10; port < 30; port++ {
		seen[s.FromCaller(start, packet(port, carrier.Open, 0)).To]++
	}
	require.Len(t, seen, 4)
}

// TestPrefersOwnZone guards against packets that cross between zones although the own zone is as good.
func TestPrefersOwnZone(t *testing.T) {
	s := newSite(t, 4, 0)
	for port := range 10 {
		for n := 1; n <= 4; n++ {
			s.report(start, n, 0)
		}
		d := s.FromCaller(start, packet(port, carrier.Open, 0))
		require.Contains(t, []netip.AddrPort{agentAddress(1), agentAddress(3)}, d.To)
	}
}

// TestCopyOfOpeningPacket guards against two upstreams that get copies of one opening packet while the first one is well, and
// against a copy that goes to an upstream which has fallen silent.
func TestCopyOfOpeningPacket(t *testing.T) {
	s := newSite(t, 4, 0)
	s.report(start, 1, 0)
	first := s.FromCaller(start, packet(1, carrier.Open, 0)).To
	later := start.Add(200 * time.Millisecond)
	s.report(later, 1, 1)
	s.report(later, 3, 0)
	require.Equal(t, first, s.FromCaller(later, packet(1, carrier.Open, 1)).To)
	later = later.Add(reportLife + time.Millisecond)
	s.report(later, 3, 0)
	require.Equal(t, agentAddress(3), s.FromCaller(later, packet(1, carrier.Open, 2)).To)
}

// TestReturnedOpening guards against a flow that is lost, or offered to the same upstream again, because the first one did not
// take it.
func TestReturnedOpening(t *testing.T) {
	s := newSite(t, 3, 0)
	for n := 1; n <= 3; n++ {
		s.report(start, n, 0)
	}
	seen := map[netip.AddrPort]bool{}
	d := s.FromCaller(start, packet(1, carrier.Open, 0))
	for range 3 {
		require.Equal(t, Pass, d.Verb)
		require.False(t, seen[d.To], "offered twice")
		seen[d.To] = true
		d = s.Returned(start, d.To, carrier.HopHeader{Kind: carrier.HopReturn, Reason: carrier.ReturnClosed}, packet(1, carrier.Open, 0))
	}
	// Upstreams that leave may be replaced before the caller's next copy, so the flow is not reset.
	require.Equal(t, Drop, d.Verb)
	// A late return of another copy changes nothing.
	d = s.Returned(start, agentAddress(1), carrier.HopHeader{Reason: carrier.ReturnClosed}, packet(1, carrier.Open, 0))
	require.Equal(t, ReasonSuperseded, d.Reason)
}

// TestColdUpstream guards against more new flows for a cold upstream than its report allows, before the next report comes.
func TestColdUpstream(t *testing.T) {
	s := newSite(t, 1, 0)
	s.Report(start, agentAddress(1), carrier.LoadReport{
		Service: carrier.TagOf("desk"), Accepting: true, Slots: 2, Cold: true, Allowance: 3,
	})
	for port := range 3 {
		require.Equal(t, Pass, s.FromCaller(start, packet(port, carrier.Open, 0)).Verb)
	}
	d := s.FromCaller(start, packet(9, carrier.Open, 0))
	require.Equal(t, ReasonNoRoom, d.Reason)
	require.Equal(t, Drop, d.Verb)
}

// TestSearch guards against open flows that an entry loses because it has started or the router has moved them: it asks each
// agent of the service once, never one of another service, and never resets.
func TestSearch(t *testing.T) {
	s := newSite(t, 5, 3)
	data := packet(1, carrier.Acknowledge, 0)
	asked := map[netip.AddrPort]bool{}
	d := s.FromCaller(start, data)
	for range 5 {
		require.Equal(t, Pass, d.Verb)
		require.True(t, d.Header.Searching)
		require.False(t, asked[d.To])
		asked[d.To] = true
		header := d.Header
		header.Kind, header.Reason = carrier.HopReturn, carrier.ReturnUnknown
		d = s.Returned(start, d.To, header, data)
	}
	require.Equal(t, Decision{Reason: ReasonNoFlow}, d)
	for n := 6; n <= 8; n++ {
		require.NotContains(t, asked, agentAddress(n))
	}
	s.Held(start, agentAddress(4), data.Flow())
	d = s.FromCaller(start, data)
	require.Equal(t, agentAddress(4), d.To)
	require.False(t, d.Header.Searching)
}

// TestMovedFlow guards against an entry that goes on sending to an agent which says that it does not hold the flow.
func TestMovedFlow(t *testing.T) {
	s := newSite(t, 3, 0)
	data := packet(1, carrier.Acknowledge, 0)
	s.Held(start, agentAddress(2), data.Flow())
	d := s.Returned(start, agentAddress(2), carrier.HopHeader{Kind: carrier.HopReturn, Reason: carrier.ReturnUnknown}, data)
	require.True(t, d.Header.Searching)
	require.Zero(t, s.Flows())
}

// TestWithdrawnZone guards against new flows for a zone that is taken out, and against open flows that are cut by it.
func TestWithdrawnZone(t *testing.T) {
	s := newSite(t, 4, 0)
	for n := 1; n <= 4; n++ {
		s.report(start, n, 0)
	}
	held := packet(1, carrier.Acknowledge, 0)
	s.Held(start, agentAddress(1), held.Flow())
	s.apply(registrar.PutZone, registrar.Change{Zone: &registrar.Zone{Name: "a", Region: "r", Withdrawn: true}})
	for port := 10; port < 30; port++ {
		d := s.FromCaller(start, packet(port, carrier.Open, 0))
		require.Contains(t, []netip.AddrPort{agentAddress(2), agentAddress(4)}, d.To)
	}
	require.Equal(t, agentAddress(1), s.FromCaller(start, held).To)
}

// TestNoRoute guards against an opening packet without a route that is left waiting, and against a reset of a flow whose route
// this entry may not know yet.
func TestNoRoute(t *testing.T) {
	s := newSite(t, 1, 0)
	opening := packet(1, carrier.Open, 0)
	opening.To = netip.MustParseAddrPort("198.18.0.9:443")
	require.Equal(t, Reset, s.FromCaller(start, opening).Verb)
	data := packet(1, carrier.Acknowledge, 0)
	data.To = opening.To
	require.Equal(t, Drop, s.FromCaller(start, data).Verb)
}

// TestNoUpstream guards against a caller that waits for a service without upstreams.
func TestNoUpstream(t *testing.T) {
	s := newSite(t, 0, 1)
	require.Equal(t, Reset, s.FromCaller(start, packet(1, carrier.Open, 0)).Verb)
}

// TestWeights guards against targets that get another share of the flows than their weights say, and against entries that
// select different targets for a flow.
func TestWeights(t *testing.T) {
	r := registrar.Route{Targets: []registrar.Target{{Service: "desk", Weight: 90}, {Service: "catalogue", Weight: 10}}}
	n := 0
	const flows = 20_000
	for port := range flows {
		if targetOf(r, packet(port, 0, 0).Flow().Hash()) == "catalogue" {
			n++
		}
	}
	require.InDelta(t, 0.1, float64(n)/flows, 0.01)
}

// TestRankingKeepsOrder guards against a search that grows long because an upstream came or went: the order of the others stays.
func TestRankingKeepsOrder(t *testing.T) {
	s := newSite(t, 10, 0)
	f := s.current().fleets["desk"]
	for port := range 50 {
		h := packet(port, 0, 0).Flow().Hash()
		all := f.ranked(h, func(*member) bool { return true })
		fewer := f.ranked(h, func(m *member) bool { return m.id != 3 })
		var want []*member
		for _, m := range all {
			if m.id != 3 {
				want = append(want, m)
			}
		}
		require.Equal(t, want, fewer)
	}
}

// TestReusedAddress guards against reports and flows of an upstream that has gone for one of another service which has started
// at the same address.
func TestReusedAddress(t *testing.T) {
	s := newSite(t, 2, 0)
	s.report(start, 1, 0)
	s.Report(start, agentAddress(2), carrier.LoadReport{Service: carrier.TagOf("catalogue"), Accepting: true, Slots: 2})
	for port := range 20 {
		require.Equal(t, agentAddress(1), s.FromCaller(start, packet(port, carrier.Open, 0)).To)
	}
}

// TestExpire guards against a table that grows without bound.
func TestExpire(t *testing.T) {
	s := newSite(t, 1, 0)
	s.report(start, 1, 0)
	s.FromCaller(start, packet(1, carrier.Open, 0))
	s.Expire(start.Add(registrar.DefaultIdle))
	require.Equal(t, 1, s.Flows())
	s.Expire(start.Add(registrar.DefaultIdle + time.Millisecond))
	require.Zero(t, s.Flows())
}

// TestNoLease guards against packets that are passed on without a configuration.
func TestNoLease(t *testing.T) {
	s := newSite(t, 1, 0)
	s.report(start, 1, 0)
	s.Lease = leased(false)
	require.Equal(t, Decision{Reason: ReasonNoLease}, s.FromCaller(start, packet(1, carrier.Open, 0)))
}

// TestSearchPassesDeadAgent guards against a search that stops at an agent which has gone without a word: it never returns the
// packet, so all agents that report are asked before it.
func TestSearchPassesDeadAgent(t *testing.T) {
	s := newSite(t, 5, 0)
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
		header.Kind, header.Reason = carrier.HopReturn, carrier.ReturnUnknown
		d = s.Returned(now, d.To, header, data)
	}
	require.Equal(t, first, d.To)
}
