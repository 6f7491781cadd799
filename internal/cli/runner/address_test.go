package runner_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/stretchr/testify/require"

	"github.com/peridotstage/peridotstage/internal/control/planner"
	"github.com/peridotstage/peridotstage/internal/fake/deployer"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// askUntilAnswered sends a datagram from a new port until it is answered, and returns the name of the upstream that answered.
func askUntilAnswered(t *testing.T, from netip.Addr, to netip.AddrPort, question string) (upstream string) {
	t.Helper()
	conn, err := net.DialUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(from, 0)), net.UDPAddrFromAddrPort(to))
	require.NoError(t, err)
	defer conn.Close()
	b := make([]byte, 1<<10)
	require.Eventually(t, func() bool {
		_, _ = conn.Write([]byte(question))
		_ = conn.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
		n, err := conn.Read(b)
		upstream, _, _ = strings.Cut(string(b[:n]), " ")
		return err == nil && strings.HasSuffix(string(b[:n]), question)
	}, deployer.WaitTime, time.Millisecond, "%s is not answered", question)
	return upstream
}

// TestIPv6 guards against an IPv6 service or caller address that is lost between entry and agent.
func TestIPv6(t *testing.T) {
	zones := []registrar.ZoneName{"johor-a"}
	d := deployer.New(t, deployer.Options{
		Controls: 1, Entries: 1, Region: "johor", Zones: zones,
		Services: []deployer.Service{{Name: "telemetry", Transport: registrar.TransportUDP, Slots: 2, Zones: zones}},
	})
	d.Echoes(0)
	d.StartAll()
	free, err := net.ListenPacket("udp", "[::1]:0")
	require.NoError(t, err)
	address := netip.MustParseAddrPort(free.LocalAddr().String())
	require.NoError(t, free.Close())
	d.ApplyIntent(planner.Intent{Kind: planner.AddZone, Zone: &registrar.Zone{Name: "johor-a", Region: "johor"}})
	d.ApplyIntent(planner.Intent{Kind: planner.AddCustomer, Customer: &registrar.Customer{Name: "estate"}})
	d.ApplyIntent(planner.Intent{Kind: planner.AddService, Service: &registrar.Service{
		Name: "telemetry", Address: address, Transport: registrar.TransportUDP,
	}})
	d.ApplyIntent(planner.Intent{Kind: planner.AddContract, Contract: &registrar.Contract{
		Name: "estate-telemetry", Customer: "estate", Service: "telemetry",
		SourcePrefixes: []netip.Prefix{netip.MustParsePrefix("::1/128")},
	}})
	d.WaitReady()
	require.Equal(t, "telemetry-0", askUntilAnswered(t, address.Addr(), address, "question 1"))
}

// TestUpstreamChangesService guards against an upstream that, after it switched to another service under the same address, still
// receives datagrams of the earlier service or none of the new one. Callers of the earlier service continue to send. It also
// guards against accepting an announcement that uses the earlier upstream name for the new service.
func TestUpstreamChangesService(t *testing.T) {
	zones := []registrar.ZoneName{"johor-a", "johor-b"}
	d := deployer.New(t, deployer.Options{
		Controls: 1, Entries: 2, Region: "johor", Zones: zones,
		Services: []deployer.Service{
			{Name: "catalogue", Transport: registrar.TransportUDP, Slots: 2, Zones: zones},
			{Name: "telemetry", Transport: registrar.TransportUDP, Slots: 2, Zones: zones},
		},
	})
	for i := range d.Services {
		d.Echoes(i)
		d.Fabric(i, uint64(i))
	}
	d.StartAll()
	d.Configure("estate")
	askAll := func(s int) map[string]int {
		countByUpstream := map[string]int{}
		for n := range 40 {
			countByUpstream[askUntilAnswered(t, d.CallerAddr(n), d.ServiceAddr(s), fmt.Sprintf("question %s %d", d.Services[s].Name, n))]++
		}
		return countByUpstream
	}
	require.Contains(t, askAll(0), "catalogue-0")
	for _, c := range []struct {
		name     registrar.UpstreamName
		accepted bool
	}{{"catalogue-0", false}, {"telemetry-9", true}} {
		d.Process("agent-catalogue-0").Kill()
		s := d.AgentSettings(1, 0)
		for _, field := range []string{"name", "zone", "control_address", "metrics_address", "keys", "data_address", "upstream_address"} {
			s[field] = d.AgentSettings(0, 0)[field]
		}
		s["upstream"] = c.name
		d.Start("agent", "agent-catalogue-0", s)
		require.Equal(t, map[string]int{"catalogue-1": 40}, askAll(0), "the upstream, now %s, serves its earlier service", c.name)
		if !c.accepted {
			require.NotContains(t, askAll(1), "catalogue-0")
			require.Contains(t, d.Log("agent-catalogue-0"), `\"catalogue-0\" belongs to service`)
			continue
		}
		require.Eventually(t, func() bool { return askAll(1)["catalogue-0"] > 0 }, deployer.WaitTime, time.Millisecond)
	}
}

// TestCallerMoves guards against a QUIC connection that breaks, or a request that gets no answer, when the address of its
// caller changes during the request: through NAT rebinding, which the caller does not notice, or connection migration. The new
// address may reach another entry.
func TestCallerMoves(t *testing.T) {
	d := newSmallDeployment(t)
	d.Backends(0, nil)
	fabric := d.Fabric(0, 1)
	d.StartAll()
	d.Configure("estate")
	next := 100
	other := func(netip.Addr) netip.Addr { next++; return d.CallerAddr(next) }
	for _, c := range []struct {
		name string
		move func(c *deployer.Caller) error
	}{
		{"new port", func(*deployer.Caller) error { fabric.Rebind(func(a netip.Addr) netip.Addr { return a }); return nil }},
		{"new address", func(*deployer.Caller) error { fabric.Rebind(other); return nil }},
		{"new address at another entry", func(*deployer.Caller) error {
			d.Spray(fabric, 0, 1)
			fabric.Rebind(other)
			return nil
		}},
		{"migration", func(c *deployer.Caller) error {
			ctx, cancel := context.WithTimeout(context.Background(), silentLimit)
			defer cancel()
			return c.Migrate(ctx, other(netip.Addr{}))
		}},
		{"migration to another entry", func(c *deployer.Caller) error {
			ctx, cancel := context.WithTimeout(context.Background(), silentLimit)
			defer cancel()
			d.Spray(fabric, 0, 1)
			return c.Migrate(ctx, other(netip.Addr{}))
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			d.Spray(fabric, 0, 0)
			caller := d.Caller(0, 0)
			defer caller.Close()
			first, err := caller.Get("/stock", silentLimit)
			require.NoError(t, err)
			caller.StopDialing()
			large := make(chan error, 1)
			go func() {
				a, err := caller.Get("/bytes?n=4000000", 2*silentLimit)
				if err == nil && len(a.Body) != 4_000_000 {
					err = errors.New("the answer is cut short")
				}
				large <- err
			}()
			require.NoError(t, c.move(caller))
			for range 5 {
				a, err := caller.Get("/stock", silentLimit)
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, a.Status)
				require.Equal(t, first.Body, a.Body, "the connection moved to another agent")
			}
			require.NoError(t, <-large, "a request in progress was not answered")
			require.NoError(t, caller.Connection().Err(), "the connection ended")
		})
	}
}

// TestAgentDies guards against a request that hangs, or appears to be answered, after the agent of its QUIC connection has died.
// The request has to fail within 5 s: by a stateless reset if the agent restarts, and by a timeout if not.
func TestAgentDies(t *testing.T) {
	d := newSmallDeployment(t)
	d.Backends(0, nil)
	d.Fabric(0, 1)
	d.StartAll()
	d.Configure("estate")
	for name, comesBack := range map[string]bool{"for good": false, "and comes back": true} {
		t.Run(name, func(t *testing.T) {
			caller := d.Caller(0, 0)
			a, err := caller.Get("/stock", silentLimit)
			require.NoError(t, err)
			caller.StopDialing()
			holder := 0
			for i := range d.Services[0].Zones {
				if string(d.UpstreamName(0, i))+"\n" == string(a.Body) {
					holder = i
				}
			}
			d.Process(d.AgentName(0, holder)).Kill()
			begin := time.Now()
			if comesBack {
				d.StartAgent(0, holder)
			}
			a, err = caller.Get("/stock", 2*silentLimit)
			took := time.Since(begin)
			t.Logf("the request ended after %s: %v", took, err)
			require.Error(t, err, "a request without a connection was answered: %d", a.Status)
			require.Less(t, took, silentLimit)
			var reset *quic.StatelessResetError
			cause := caller.CloseCause(silentLimit - took)
			require.Error(t, cause, "the caller did not notice in time")
			require.Equal(t, comesBack, errors.As(cause, &reset), "%v", cause)
			if !comesBack {
				d.StartAgent(0, holder)
			}
			d.WaitReady()
		})
	}
}
