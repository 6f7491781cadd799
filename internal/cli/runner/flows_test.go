package runner_test

import (
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/peridotstage/peridotstage/internal/control/planner"
	"github.com/peridotstage/peridotstage/internal/fake/backend"
	"github.com/peridotstage/peridotstage/internal/fake/deployer"
	"github.com/peridotstage/peridotstage/internal/fake/faulter"
	"github.com/peridotstage/peridotstage/internal/fake/sprayer"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

const (
	// quicService and udpService are the indexes of the services in a faultyDeployment.
	quicService = 0
	udpService  = 1
	// silentLimit is the promised time until a connection without answers fails.
	silentLimit = 5 * time.Second
	// enforceLimit is the promised time until a withdrawn zone, a retired upstream or a configuration is in force.
	enforceLimit = 3 * time.Second
)

// faultyDeployment is a deployment of one QUIC and one plain UDP service with fault proxies on all links.
type faultyDeployment struct {
	*deployer.Deployment
	t        *testing.T
	sprayers []*sprayer.Sprayer
	backends []*backend.Backend
	echoes   []*backend.Echo
	// weights counts the weight changes, because each new weight has to differ from the previous one.
	weights registrar.Weight
}

func newFaultyDeployment(t *testing.T) *faultyDeployment {
	t.Helper()
	zones := []registrar.ZoneName{"johor-a", "johor-b", "johor-c"}
	d := deployer.New(t, deployer.Options{
		Controls: 1, Entries: 3, Region: "johor", Zones: zones, Faulty: true,
		Services: []deployer.Service{
			{Name: "order-desk", Transport: registrar.TransportQUIC, Slots: 8, Zones: append(zones, "johor-a")},
			{Name: "catalogue", Transport: registrar.TransportUDP, Slots: 8, Zones: append(zones, "johor-a")},
		},
	})
	s := &faultyDeployment{
		Deployment: d, t: t, echoes: d.Echoes(udpService), backends: d.Backends(quicService, nil),
		sprayers: []*sprayer.Sprayer{d.Fabric(quicService, 1), d.Fabric(udpService, 2)},
	}
	d.StartAll()
	d.Configure("estate")
	return s
}

// useEntries makes the sprayers send to the given entries only.
func (s *faultyDeployment) useEntries(entries ...int) {
	for service, f := range s.sprayers {
		s.Spray(f, service, entries...)
	}
}

func (s *faultyDeployment) nodeNames() []string {
	names := []string{"entry-0", "entry-1", "entry-2"}
	for service := range s.Services {
		for i := range s.Services[service].Zones {
			names = append(names, s.AgentName(service, i))
		}
	}
	return names
}

func (s *faultyDeployment) setFaults(f faulter.Faults) {
	for _, name := range s.nodeNames() {
		s.Link(name).SetFaults(f)
	}
	s.sprayers[quicService].SetFaults(f)
	// A plain UDP payload between the caller and an entry is protected only by the UDP checksum, which a proxy recomputes.
	f.Corrupt = 0
	s.sprayers[udpService].SetFaults(f)
}

func (s *faultyDeployment) applyUpstreamIntent(kind planner.IntentKind, service, i int, w registrar.Weight) {
	s.ApplyIntent(planner.Intent{Kind: kind, Upstream: &registrar.Upstream{Name: s.UpstreamName(service, i), Weight: w}})
}

// changeUpstreams makes several changes of both services in a row.
func (s *faultyDeployment) changeUpstreams(i int) {
	for service := range s.Services {
		s.applyUpstreamIntent(planner.RetireUpstream, service, i, 0)
		s.weights++
		s.applyUpstreamIntent(planner.ChangeUpstream, service, (i+1)%4, 20_000+3001*s.weights)
		s.applyUpstreamIntent(planner.RestoreUpstream, service, i, 0)
	}
}

// TestFlowsSurvive guards against an established flow that breaks after a planned change or the kill of an entry, also while
// updates reach entries at different times and links have faults. This includes plain UDP flows that are older than eight
// generations.
func TestFlowsSurvive(t *testing.T) {
	s := newFaultyDeployment(t)
	const flowCount = 25
	flows := []*deployer.Flows{s.OpenFlows(quicService, flowCount), s.OpenFlows(udpService, flowCount)}
	for _, c := range []struct {
		name   string
		change func()
	}{
		{"weights", func() {
			for i := range 4 {
				s.applyUpstreamIntent(planner.ChangeUpstream, quicService, i, registrar.Weight(2100*(i+1)))
				s.applyUpstreamIntent(planner.ChangeUpstream, udpService, i, registrar.Weight(2100*(i+1)))
			}
		}},
		{"many generations while an upstream is retired", func() {
			for service := range s.Services {
				s.applyUpstreamIntent(planner.RetireUpstream, service, 0, 0)
				for i := range 12 {
					s.applyUpstreamIntent(planner.ChangeUpstream, service, 1+i%3, registrar.Weight(3050+1000*i))
					time.Sleep(20 * time.Millisecond)
				}
				s.applyUpstreamIntent(planner.RestoreUpstream, service, 0, 0)
			}
		}},
		{"entry removed and added", func() {
			s.useEntries(0, 1)
			require.NoError(t, s.Process("entry-2").Stop())
			s.StartEntry(2)
			s.WaitReady()
			s.useEntries(0, 1, 2)
		}},
		{"updates reach entries unevenly", func() {
			s.CutControl("entry-0", true)
			s.changeUpstreams(1)
			time.Sleep(time.Second)
			s.changeUpstreams(2)
			s.CutControl("entry-0", false)
		}},
		{"loss, delay, duplicates and corruption during changes", func() {
			s.setFaults(faulter.Faults{Drop: 0.01, Duplicate: 0.02, Corrupt: 0.02, Delay: 0.2, MaxDelay: 5 * time.Millisecond})
			s.changeUpstreams(3)
			time.Sleep(time.Second)
			s.setFaults(faulter.Faults{})
		}},
		{"one-way cut from an entry to agents during changes", func() {
			for i := range 4 {
				s.Link(s.AgentName(quicService, i)).SetFaultsFrom(s.EntryAddr(1), faulter.Faults{Cut: true})
				s.Link(s.AgentName(udpService, i)).SetFaultsFrom(s.EntryAddr(1), faulter.Faults{Cut: true})
			}
			s.changeUpstreams(0)
			time.Sleep(time.Second)
			for i := range 4 {
				s.Link(s.AgentName(quicService, i)).SetFaultsFrom(s.EntryAddr(1), faulter.Faults{})
				s.Link(s.AgentName(udpService, i)).SetFaultsFrom(s.EntryAddr(1), faulter.Faults{})
			}
		}},
		{"entry frozen during changes", func() {
			s.Process("entry-1").Freeze()
			s.changeUpstreams(1)
			time.Sleep(time.Second)
			s.Process("entry-1").Thaw()
		}},
		{"entry killed during changes", func() {
			s.Process("entry-2").Kill()
			s.changeUpstreams(2)
			time.Sleep(time.Second)
			s.useEntries(0, 1)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var wg sync.WaitGroup
			done := make(chan struct{})
			broken := make([][]string, len(flows))
			for i, f := range flows {
				wg.Go(func() { broken[i] = f.During(func() { <-done }) })
			}
			c.change()
			close(done)
			wg.Wait()
			require.Empty(t, broken[quicService])
			require.Empty(t, broken[udpService])
		})
	}
}

// TestQuietCaller guards against answers that are lost when a caller sends nothing after the entry that it last used was
// killed, because the agent still sends them through that entry.
func TestQuietCaller(t *testing.T) {
	s := newFaultyDeployment(t)
	s.useEntries(0)
	var quiet []net.Conn
	for i := range 8 {
		conn, err := net.DialUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(s.CallerAddr(i), 0)), net.UDPAddrFromAddrPort(s.ServiceAddr(udpService)))
		require.NoError(t, err)
		defer conn.Close()
		_, err = conn.Write([]byte(backend.LatePrefix))
		require.NoError(t, err)
		quiet = append(quiet, conn)
	}
	time.Sleep(backend.LateTime / 4)
	s.Process("entry-0").Kill()
	s.useEntries(1, 2)
	others := s.OpenFlows(udpService, 40)
	for start := time.Now(); time.Since(start) < backend.LateTime; {
		require.Empty(t, others.Exchange())
	}
	b := make([]byte, 100)
	for _, conn := range quiet {
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(backend.LateTime)))
		_, err := conn.Read(b)
		require.NoError(t, err, "the answer got lost")
	}
}

// TestWrongService guards against sealed datagrams of one service that reach an upstream of another service after they arrive at
// its agents, whether unchanged, modified, truncated or replayed.
func TestWrongService(t *testing.T) {
	s := newFaultyDeployment(t)
	var mu sync.Mutex
	var captured [][]byte
	for _, name := range s.nodeNames() {
		s.Link(name).SetTap(func(_ time.Time, d []byte) {
			mu.Lock()
			defer mu.Unlock()
			captured = append(captured, append([]byte(nil), d...))
		})
	}
	udp := s.OpenFlows(udpService, 20)
	quic := s.OpenFlows(quicService, 5)
	conn, err := net.ListenPacket("udp", netip.AddrPortFrom(s.CallerAddr(0), 0).String())
	require.NoError(t, err)
	defer conn.Close()
	replay := func() {
		mu.Lock()
		defer mu.Unlock()
		for n, d := range captured {
			changed := append([]byte(nil), d...)
			changed[n%len(changed)] ^= 1
			for _, b := range [][]byte{d, changed, d[:len(d)/2]} {
				for _, name := range s.nodeNames() {
					_, err := conn.WriteTo(b, net.UDPAddrFromAddrPort(s.Link(name).To))
					require.NoError(t, err)
				}
			}
		}
	}
	replay()
	require.Empty(t, udp.Exchange())
	s.changeUpstreams(0)
	replay()
	require.Empty(t, udp.Exchange())
	require.Empty(t, quic.Exchange())
	for i, f := range []*deployer.Flows{quic, udp} {
		for upstream := range f.Holders() {
			require.True(t, strings.HasPrefix(upstream, string(s.Services[i].Name)), "%s answers for %s", upstream, s.Services[i].Name)
		}
	}
	served := int64(0)
	for _, b := range s.backends {
		served += b.Served()
	}
	for _, e := range s.echoes {
		require.Zero(t, e.Unexpected(), "%s got datagrams of the other service", e.Name)
	}
	require.Equal(t, int64(10), served, "requests that no caller made reached an upstream")
}

// TestSilentConnections guards against a request that hangs on a connection whose state is lost in the network, in either
// direction. Both ends have to detect the loss within 5 s, so that the request fails and new connections work.
func TestSilentConnections(t *testing.T) {
	s := newFaultyDeployment(t)
	quicSprayer := s.sprayers[quicService]
	for name, lose := range map[string]func(){
		"both directions":   quicSprayer.Forget,
		"way to entries":    func() { quicSprayer.SetDirections(faulter.Faults{Cut: true}, faulter.Faults{}) },
		"way to the caller": func() { quicSprayer.SetDirections(faulter.Faults{}, faulter.Faults{Cut: true}) },
	} {
		t.Run(name, func(t *testing.T) {
			defer quicSprayer.SetFaults(faulter.Faults{})
			caller := s.Caller(quicService, 0)
			_, err := caller.Get("/stock", time.Second)
			require.NoError(t, err)
			conn := caller.Connection()
			require.Eventually(t, func() bool { return s.LiveFlows("estate") > 0 }, silentLimit, 50*time.Millisecond)
			caller.StopDialing()
			lose()
			start := time.Now()
			ended := make(chan error, 1)
			go func() {
				_, err := caller.Get("/bytes?n=1000", 2*silentLimit)
				ended <- err
			}()
			err = <-ended
			t.Logf("the request ended after %s: %v", time.Since(start), err)
			require.Error(t, err)
			require.Less(t, time.Since(start), silentLimit, "the request did not end in time")
			<-conn.Done()
			require.Less(t, time.Since(start), silentLimit, "the caller did not notice in time")
			require.Eventually(t, func() bool { return s.LiveFlows("estate") == 0 }, silentLimit-time.Since(start), 50*time.Millisecond,
				"the agent did not notice in time")
			quicSprayer.SetFaults(faulter.Faults{})
			last := s.Caller(quicService, 1)
			_, err = last.Get("/stock", time.Second)
			require.NoError(t, err)
			require.Eventually(t, func() bool { return s.LiveFlows("estate") > 0 }, silentLimit, 50*time.Millisecond)
			last.Close()
			require.Eventually(t, func() bool { return s.LiveFlows("estate") == 0 }, silentLimit, 50*time.Millisecond)
		})
	}
	t.Run("control", func(t *testing.T) {
		stream := s.Streams("entry-0")[0]
		require.Positive(t, stream.Open())
		stream.Forget()
		require.Eventually(t, func() bool { return stream.Forgotten() == 0 }, silentLimit, 50*time.Millisecond)
		s.WaitReady()
	})
}
