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
	quicService = 0
	udpService  = 1
	// silentLimit is the promise about connections that have gone silent.
	silentLimit = 5 * time.Second
	// enforceLimit is the promise about withdrawn zones, retired upstreams and configurations.
	enforceLimit = 3 * time.Second
)

// site is a deployment of one QUIC and one plain UDP service with fault proxies on all links.
type site struct {
	*deployer.Deployment
	t        *testing.T
	fabrics  []*sprayer.Sprayer
	backends []*backend.Backend
	echoes   []*backend.Echo
	// weights counts the weights that were set, since each has to differ from the one before.
	weights registrar.Weight
}

func newSite(t *testing.T) *site {
	t.Helper()
	zones := []registrar.ZoneName{"johor-a", "johor-b", "johor-c"}
	d := deployer.New(t, deployer.Options{
		Controls: 1, Entries: 3, Region: "johor", Zones: zones, Faulty: true,
		Services: []deployer.Service{
			{Name: "order-desk", Transport: registrar.TransportQUIC, Slots: 8, Zones: append(zones, "johor-a")},
			{Name: "catalogue", Transport: registrar.TransportUDP, Slots: 8, Zones: append(zones, "johor-a")},
		},
	})
	s := &site{
		Deployment: d, t: t, echoes: d.Echoes(udpService), backends: d.Backends(quicService, nil),
		fabrics: []*sprayer.Sprayer{d.Fabric(quicService, 1), d.Fabric(udpService, 2)},
	}
	d.StartAll()
	d.Configure("estate")
	return s
}

// spray makes the fabrics use the given entries.
func (s *site) spray(entries ...int) {
	for service, f := range s.fabrics {
		s.Spray(f, service, entries...)
	}
}

func (s *site) nodes() []string {
	names := []string{"entry-0", "entry-1", "entry-2"}
	for service := range s.Services {
		for i := range s.Services[service].Zones {
			names = append(names, s.AgentName(service, i))
		}
	}
	return names
}

func (s *site) setFaults(f faulter.Faults) {
	for _, name := range s.nodes() {
		s.Link(name).SetFaults(f)
	}
	s.fabrics[quicService].SetFaults(f)
	// Nothing protects a plain UDP payload between the caller and an entry but the checksum of UDP, which a proxy renews.
	f.Corrupt = 0
	s.fabrics[udpService].SetFaults(f)
}

func (s *site) upstream(kind planner.IntentKind, service, i int, w registrar.Weight) {
	s.Carry(planner.Intent{Kind: kind, Upstream: &registrar.Upstream{Name: s.UpstreamName(service, i), Weight: w}})
}

// reshape makes several changes of both services in a row.
func (s *site) reshape(i int) {
	for service := range s.Services {
		s.upstream(planner.RetireUpstream, service, i, 0)
		s.weights++
		s.upstream(planner.ChangeUpstream, service, (i+1)%4, 20_000+3001*s.weights)
		s.upstream(planner.RestoreUpstream, service, i, 0)
	}
}

// TestFlowsSurvive guards promise 1: no planned change, and no entry that is killed, breaks an established flow, also
// while updates reach entries unevenly and links have faults. The first version of the data path broke plain UDP flows
// here once eight generations had passed.
func TestFlowsSurvive(t *testing.T) {
	s := newSite(t)
	const flowCount = 25
	flows := []*deployer.Flows{s.OpenFlows(quicService, flowCount), s.OpenFlows(udpService, flowCount)}
	for _, c := range []struct {
		name   string
		change func()
	}{
		{"weights", func() {
			for i := range 4 {
				s.upstream(planner.ChangeUpstream, quicService, i, registrar.Weight(2100*(i+1)))
				s.upstream(planner.ChangeUpstream, udpService, i, registrar.Weight(2100*(i+1)))
			}
		}},
		{"many generations while an upstream is retired", func() {
			for service := range s.Services {
				s.upstream(planner.RetireUpstream, service, 0, 0)
				for i := range 12 {
					s.upstream(planner.ChangeUpstream, service, 1+i%3, registrar.Weight(3050+1000*i))
					time.Sleep(20 * time.Millisecond)
				}
				s.upstream(planner.RestoreUpstream, service, 0, 0)
			}
		}},
		{"entry removed and added", func() {
			s.spray(0, 1)
			require.NoError(t, s.Process("entry-2").Stop())
			s.StartEntry(2)
			s.WaitReady()
			s.spray(0, 1, 2)
		}},
		{"updates reach entries unevenly", func() {
			s.CutControl("entry-0", true)
			s.reshape(1)
			time.Sleep(time.Second)
			s.reshape(2)
			s.CutControl("entry-0", false)
		}},
		{"loss, delay, duplicates and corruption during changes", func() {
			s.setFaults(faulter.Faults{Drop: 0.01, Duplicate: 0.02, Corrupt: 0.02, Delay: 0.2, MaxDelay: 5 * time.Millisecond})
			s.reshape(3)
			time.Sleep(time.Second)
			s.setFaults(faulter.Faults{})
		}},
		{"one-way cut from an entry to agents during changes", func() {
			for i := range 4 {
				s.Link(s.AgentName(quicService, i)).SetFaultsFrom(s.EntryAddr(1), faulter.Faults{Cut: true})
				s.Link(s.AgentName(udpService, i)).SetFaultsFrom(s.EntryAddr(1), faulter.Faults{Cut: true})
			}
			s.reshape(0)
			time.Sleep(time.Second)
			for i := range 4 {
				s.Link(s.AgentName(quicService, i)).SetFaultsFrom(s.EntryAddr(1), faulter.Faults{})
				s.Link(s.AgentName(udpService, i)).SetFaultsFrom(s.EntryAddr(1), faulter.Faults{})
			}
		}},
		{"entry frozen during changes", func() {
			s.Process("entry-1").Freeze()
			s.reshape(1)
			time.Sleep(time.Second)
			s.Process("entry-1").Thaw()
		}},
		{"entry killed during changes", func() {
			s.Process("entry-2").Kill()
			s.reshape(2)
			time.Sleep(time.Second)
			s.spray(0, 1)
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

// TestQuietCaller guards that an answer reaches a caller that stays quiet after the entry it last used was killed. Answers
// that stick to that entry get lost.
func TestQuietCaller(t *testing.T) {
	s := newSite(t)
	s.spray(0)
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
	s.spray(1, 2)
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

// TestWrongService guards promise 2: sealed datagrams of one service that arrive at the agents of the other one, as they
// are, changed, cut short or later again, reach no upstream there.
func TestWrongService(t *testing.T) {
	s := newSite(t)
	var mu sync.Mutex
	var captured [][]byte
	for _, name := range s.nodes() {
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
				for _, name := range s.nodes() {
					_, err := conn.WriteTo(b, net.UDPAddrFromAddrPort(s.Link(name).To))
					require.NoError(t, err)
				}
			}
		}
	}
	replay()
	require.Empty(t, udp.Exchange())
	s.reshape(0)
	replay()
	require.Empty(t, udp.Exchange())
	require.Empty(t, quic.Exchange())
	for i, f := range []*deployer.Flows{quic, udp} {
		for holder := range f.Holders() {
			require.True(t, strings.HasPrefix(holder, string(s.Services[i].Name)), "%s answers for %s", holder, s.Services[i].Name)
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

// TestSilentConnections guards that both ends find a connection that something in between has lost track of within 5 s,
// whichever direction is lost, that its request ends with an error, and that new connections work.
func TestSilentConnections(t *testing.T) {
	s := newSite(t)
	fabric := s.fabrics[quicService]
	for name, lose := range map[string]func(){
		"both directions":   fabric.Forget,
		"way to entries":    func() { fabric.SetDirections(faulter.Faults{Cut: true}, faulter.Faults{}) },
		"way to the caller": func() { fabric.SetDirections(faulter.Faults{}, faulter.Faults{Cut: true}) },
	} {
		t.Run(name, func(t *testing.T) {
			defer fabric.SetFaults(faulter.Faults{})
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
			fabric.SetFaults(faulter.Faults{})
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
