package runner_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/stretchr/testify/require"

	"github.com/peridotstage/peridotstage/internal/control/planner"
	"github.com/peridotstage/peridotstage/internal/fake/deployer"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

const zoneA registrar.ZoneName = "johor-a"

// traffic sends datagrams on established and new flows until the returned function is called.
func (s *site) traffic() (stop func()) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	for service := range s.Services {
		// With 40 flows, hardly ever does one of 4 upstreams get none.
		flows := s.OpenFlows(service, 40)
		wg.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
					flows.Exchange()
				}
			}
		})
	}
	return func() {
		close(done)
		wg.Wait()
	}
}

// arrivals notes when the last datagram was sent to each agent of a zone.
func (s *site) arrivals(zone registrar.ZoneName) map[string]*atomic.Int64 {
	last := map[string]*atomic.Int64{}
	for service := range s.Services {
		for i, z := range s.Services[service].Zones {
			if z != zone {
				continue
			}
			at := &atomic.Int64{}
			last[s.AgentName(service, i)] = at
			s.Link(s.AgentName(service, i)).SetTap(func(now time.Time, _ []byte) { at.Store(now.UnixNano()) })
		}
	}
	return last
}

// TestZoneWithdrawn guards promise 4: no machine sends a datagram to a withdrawn zone later than 3 s after the
// confirmation, whether it is cut off from control, frozen and thawed, or well, and the flows of other zones stay whole.
// With leases that never end, entries that are cut off go on sending.
func TestZoneWithdrawn(t *testing.T) {
	s := newSite(t)
	last := s.arrivals(zoneA)
	stop := s.traffic()
	cutOff := []string{"entry-0", s.AgentName(quicService, 0), s.AgentName(udpService, 0)}
	for _, name := range cutOff {
		s.CutControl(name, true)
	}
	s.Process("entry-1").Freeze()
	s.Process(s.AgentName(udpService, 3)).Freeze()
	s.Carry(planner.Intent{Kind: planner.WithdrawZone, Zone: &registrar.Zone{Name: zoneA}})
	confirmed := time.Now()
	time.Sleep(enforceLimit + time.Second)
	s.Process("entry-1").Thaw()
	s.Process(s.AgentName(udpService, 3)).Thaw()
	time.Sleep(2 * time.Second)
	stop()
	for _, name := range cutOff {
		s.CutControl(name, false)
	}
	s.WaitReady()
	for name, at := range last {
		require.NotZero(t, at.Load(), "%s got no datagram at all", name)
		require.Less(t, time.Unix(0, at.Load()).Sub(confirmed), enforceLimit, "a datagram was sent to %s", name)
	}
	for service, zones := range map[int]int{quicService: 4, udpService: 4} {
		for holder := range s.OpenFlows(service, 10).Holders() {
			require.NotEqual(t, string(s.UpstreamName(service, 0)), holder)
			require.NotEqual(t, string(s.UpstreamName(service, zones-1)), holder)
		}
	}
}

// TestZoneReturns guards that the flows of the other zones stay whole while a zone leaves and returns, and that the zone
// gets new flows again.
func TestZoneReturns(t *testing.T) {
	s := newSite(t)
	s.Carry(planner.Intent{Kind: planner.WithdrawZone, Zone: &registrar.Zone{Name: zoneA}})
	s.WaitReady()
	for service := range s.Services {
		flows := s.OpenFlows(service, 20)
		broken := flows.During(func() {
			s.Carry(planner.Intent{Kind: planner.ReturnZone, Zone: &registrar.Zone{Name: zoneA}})
			s.WaitReady()
			require.Contains(t, s.OpenFlows(service, 40).Holders(), string(s.UpstreamName(service, 0)))
			s.Carry(planner.Intent{Kind: planner.WithdrawZone, Zone: &registrar.Zone{Name: zoneA}})
			time.Sleep(enforceLimit)
		})
		require.Empty(t, broken)
	}
}

// TestWithdrawnCallers guards that callers of a withdrawn zone are told at once that their connection is gone, instead of
// waiting for their idle timeout.
func TestWithdrawnCallers(t *testing.T) {
	s := newSite(t)
	var inside []*deployer.Caller
	for i := 0; len(inside) < 3; i++ {
		caller := s.Caller(quicService, i)
		a, err := caller.Get("/stock", enforceLimit)
		require.NoError(t, err)
		if a.Header.Get("Backend") == string(s.UpstreamName(quicService, 0)) {
			inside = append(inside, caller)
		}
	}
	s.Carry(planner.Intent{Kind: planner.WithdrawZone, Zone: &registrar.Zone{Name: zoneA}})
	s.WaitReady()
	for _, caller := range inside {
		var reset *quic.StatelessResetError
		conn := caller.Connection()
		_, err := caller.Get("/stock", enforceLimit)
		require.Error(t, err)
		// The request may fail a moment before the connection's context ends.
		require.Eventually(t, func() bool { return conn.Err() != nil }, enforceLimit, deployer.PollTime, "%v", err)
		require.ErrorAs(t, context.Cause(conn), &reset, "%v", err)
		_, err = caller.Get("/stock", enforceLimit)
		require.NoError(t, err)
	}
}

// TestRetiredUpstream guards promise 8: an upstream that was retired gets no new flow after 3 s, even from an entry that is
// cut off from control, and keeps its own.
func TestRetiredUpstream(t *testing.T) {
	s := newSite(t)
	flows := s.OpenFlows(udpService, 30)
	s.CutControl("entry-0", true)
	s.CutControl(s.AgentName(udpService, 0), true)
	s.upstream(planner.RetireUpstream, udpService, 0, 0)
	time.Sleep(enforceLimit)
	s.CutControl(s.AgentName(udpService, 0), false)
	require.NotContains(t, s.OpenFlows(udpService, 60).Holders(), string(s.UpstreamName(udpService, 0)))
	s.CutControl("entry-0", false)
	require.Empty(t, flows.Exchange())
	require.Contains(t, flows.Holders(), string(s.UpstreamName(udpService, 0)))
}
