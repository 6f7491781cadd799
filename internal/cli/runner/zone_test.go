package runner_test

import (
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

// startTraffic exchanges datagrams on established and new flows until the returned function is called.
func (s *faultyDeployment) startTraffic() (stop func()) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	for service := range s.Services {
		// With 40 flows, it is very unlikely that one of 4 upstreams gets none.
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

// recordArrivals records the time of the last datagram that was sent to each agent of a zone, in Unix nanoseconds.
func (s *faultyDeployment) recordArrivals(zone registrar.ZoneName) map[string]*atomic.Int64 {
	last := map[string]*atomic.Int64{}
	for service := range s.Services {
		for i, z := range s.Services[service].Zones {
			if z != zone {
				continue
			}
			lastNanos := &atomic.Int64{}
			last[s.AgentName(service, i)] = lastNanos
			s.Link(s.AgentName(service, i)).SetTap(func(now time.Time, _ []byte) { lastNanos.Store(now.UnixNano()) })
		}
	}
	return last
}

// TestZoneWithdrawn guards against a machine that sends a datagram to a withdrawn zone later than 3 s after the confirmation: a
// reachable machine, one that is cut off from control, or one that was frozen and thawed. It also guards against broken flows of
// other zones. With leases that never expire, entries that are cut off would continue to send.
func TestZoneWithdrawn(t *testing.T) {
	s := newFaultyDeployment(t)
	lastDatagrams := s.recordArrivals(zoneA)
	stop := s.startTraffic()
	cutOff := []string{"entry-0", s.AgentName(quicService, 0), s.AgentName(udpService, 0)}
	for _, name := range cutOff {
		s.CutControl(name, true)
	}
	s.Process("entry-1").Freeze()
	s.Process(s.AgentName(udpService, 3)).Freeze()
	s.ApplyIntent(planner.Intent{Kind: planner.WithdrawZone, Zone: &registrar.Zone{Name: zoneA}})
	confirmedAt := time.Now()
	time.Sleep(enforceLimit + time.Second)
	s.Process("entry-1").Thaw()
	s.Process(s.AgentName(udpService, 3)).Thaw()
	time.Sleep(2 * time.Second)
	stop()
	for _, name := range cutOff {
		s.CutControl(name, false)
	}
	s.WaitReady()
	for name, lastNanos := range lastDatagrams {
		require.NotZero(t, lastNanos.Load(), "%s got no datagram at all", name)
		require.Less(t, time.Unix(0, lastNanos.Load()).Sub(confirmedAt), enforceLimit, "a datagram was sent to %s", name)
	}
	for service, zones := range map[int]int{quicService: 4, udpService: 4} {
		for upstream := range s.OpenFlows(service, 10).Holders() {
			require.NotEqual(t, string(s.UpstreamName(service, 0)), upstream)
			require.NotEqual(t, string(s.UpstreamName(service, zones-1)), upstream)
		}
	}
}

// TestZoneReturns guards against flows of other zones that break while a zone is withdrawn and returned, and against a returned
// zone that gets no new flows.
func TestZoneReturns(t *testing.T) {
	s := newFaultyDeployment(t)
	s.ApplyIntent(planner.Intent{Kind: planner.WithdrawZone, Zone: &registrar.Zone{Name: zoneA}})
	s.WaitReady()
	for service := range s.Services {
		flows := s.OpenFlows(service, 20)
		broken := flows.During(func() {
			s.ApplyIntent(planner.Intent{Kind: planner.ReturnZone, Zone: &registrar.Zone{Name: zoneA}})
			s.WaitReady()
			require.Contains(t, s.OpenFlows(service, 40).Holders(), string(s.UpstreamName(service, 0)))
			s.ApplyIntent(planner.Intent{Kind: planner.WithdrawZone, Zone: &registrar.Zone{Name: zoneA}})
			time.Sleep(enforceLimit)
		})
		require.Empty(t, broken)
	}
}

// TestWithdrawnCallers guards against callers of a withdrawn zone that wait for their idle timeout instead of being told at once
// that their connection is closed.
func TestWithdrawnCallers(t *testing.T) {
	s := newFaultyDeployment(t)
	var zoneCallers []*deployer.Caller
	for i := 0; len(zoneCallers) < 3; i++ {
		caller := s.Caller(quicService, i)
		a, err := caller.Get("/stock", enforceLimit)
		require.NoError(t, err)
		if a.Header.Get("Backend") == string(s.UpstreamName(quicService, 0)) {
			zoneCallers = append(zoneCallers, caller)
		}
	}
	// A keep-alive may already end a connection before its next request.
	for _, caller := range zoneCallers {
		caller.StopDialing()
	}
	s.ApplyIntent(planner.Intent{Kind: planner.WithdrawZone, Zone: &registrar.Zone{Name: zoneA}})
	s.WaitReady()
	for _, caller := range zoneCallers {
		var reset *quic.StatelessResetError
		_, err := caller.Get("/stock", enforceLimit)
		require.Error(t, err)
		require.ErrorAs(t, caller.CloseCause(enforceLimit), &reset, "%v", err)
		caller.ResumeDialing()
		_, err = caller.Get("/stock", enforceLimit)
		require.NoError(t, err)
	}
}

// TestRetiredUpstream guards against a retired upstream that still gets new flows after 3 s, for example from an entry that is
// cut off from control, and against a retired upstream that loses its established flows.
func TestRetiredUpstream(t *testing.T) {
	s := newFaultyDeployment(t)
	flows := s.OpenFlows(udpService, 30)
	s.CutControl("entry-0", true)
	s.CutControl(s.AgentName(udpService, 0), true)
	s.applyUpstreamIntent(planner.RetireUpstream, udpService, 0, 0)
	time.Sleep(enforceLimit)
	s.CutControl(s.AgentName(udpService, 0), false)
	require.NotContains(t, s.OpenFlows(udpService, 60).Holders(), string(s.UpstreamName(udpService, 0)))
	s.CutControl("entry-0", false)
	require.Empty(t, flows.Exchange())
	require.Contains(t, flows.Holders(), string(s.UpstreamName(udpService, 0)))
}
