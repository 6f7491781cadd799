package runner_test

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/peridotstage/peridotstage/internal/fake/backend"
	"github.com/peridotstage/peridotstage/internal/fake/deployer"
	"github.com/peridotstage/peridotstage/internal/fake/sprayer"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// callers is a group of callers, each of which sends requests on a connection of its own.
type callers struct {
	all    []*deployer.Caller
	cancel context.CancelFunc
	wg     sync.WaitGroup
	mu     sync.Mutex
	// requests and failed are guarded by mu.
	requests int
	failed   []error
}

func startCallers(d *deployer.Deployment, n int) *callers {
	ctx, cancel := context.WithCancel(context.Background())
	cs := &callers{cancel: cancel}
	for i := range n {
		c := d.Caller(0, i%8)
		cs.all = append(cs.all, c)
		cs.wg.Go(func() {
			for ctx.Err() == nil {
				a, err := c.Get("/stock", 10*time.Second)
				cs.mu.Lock()
				cs.requests++
				if err != nil || a.Status != http.StatusOK {
					cs.failed = append(cs.failed, err)
				}
				cs.mu.Unlock()
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	return cs
}

// stop ends the load and returns the number of requests, the errors of those that failed, and the number of reconnects.
func (cs *callers) stop() (requests int, failed []error, redials int64) {
	cs.cancel()
	cs.wg.Wait()
	for _, c := range cs.all {
		redials += c.Dials() - 1
	}
	return cs.requests, cs.failed, redials
}

// restartEntry restarts entry i as the operating page describes it: the fabric excludes the entry once it is not ready.
func restartEntry(t *testing.T, d *deployer.Deployment, fabric *sprayer.Sprayer, i int) {
	name := d.EntryName(i)
	p := d.Process(name)
	p.Terminate()
	require.Eventually(t, func() bool { return !d.Ready(d.EntryAddr(i)) }, deployer.WaitTime, deployer.PollTime)
	select {
	case <-p.Exited():
		require.Fail(t, "entry ended before it reported that it is not ready")
	default:
	}
	fabric.SetEntries(d.EntryAddresses(0, i))
	require.NoError(t, p.Stop())
	d.StartEntry(i)
	require.Eventually(t, func() bool { return d.Ready(d.EntryAddr(i)) }, deployer.WaitTime, deployer.PollTime)
	fabric.SetEntries(d.EntryAddresses(0, -1))
}

// TestRollingRestart guards against a planned restart that breaks flows of entries, interrupts requests of agents, or makes
// a request run twice.
func TestRollingRestart(t *testing.T) {
	d := newDeployment(t, 3, 3, 4, 4)
	backends := d.Backends(0, nil)
	served := func() (n int64) {
		for _, b := range backends {
			n += b.Served()
		}
		return n
	}
	fabric := d.Fabric(0, 1)
	d.StartAll()
	d.Configure("estate")

	total := 0
	load := startCallers(d, 40)
	for i := range d.Entries {
		restartEntry(t, d, fabric, i)
	}
	requests, failed, redials := load.stop()
	total += requests
	t.Logf("entries: %d requests, %d failed, %d connections broken", requests, len(failed), redials)
	require.Empty(t, failed)
	require.Zero(t, redials, "flows broken by planned restarts of entries")

	load = startCallers(d, 40)
	for i := range d.Controls {
		require.NoError(t, d.Process(fmt.Sprintf("control-%d", i)).Stop())
		d.StartControl(i)
		require.Eventually(t, func() bool { return d.Ready(d.ControlAddr(i)) }, deployer.WaitTime, deployer.PollTime)
	}
	requests, failed, redials = load.stop()
	total += requests
	t.Logf("control: %d requests, %d failed, %d connections broken", requests, len(failed), redials)
	require.Empty(t, failed)
	require.Zero(t, redials, "flows broken by planned restarts of control instances")

	load = startCallers(d, 40)
	for i := range d.Services[0].Zones {
		name := "agent-" + string(d.UpstreamName(0, i))
		require.NoError(t, d.Process(name).Stop(), name)
		d.StartAgent(0, i)
		require.Eventually(t, func() bool { return d.Ready(d.AgentAddr(0, i)) }, deployer.WaitTime, deployer.PollTime, name)
	}
	requests, failed, redials = load.stop()
	total += requests
	t.Logf("agents: %d requests, %d failed, %d connections opened again", requests, len(failed), redials)
	require.Empty(t, failed)
	require.EqualValues(t, total, served(), "requests served more or less than once")
}

// TestReadiness guards against a machine that reports ready while it cannot serve: before its first lease, while its
// lease has expired, or while a socket of a service is not open.
func TestReadiness(t *testing.T) {
	d := newSmallDeployment(t)
	d.StartEntry(0)
	d.StartAgent(0, 0)
	agent, entry := d.AgentAddr(0, 0), d.EntryAddr(0)
	for _, a := range []netip.Addr{entry, agent} {
		require.Eventually(t, func() bool {
			return d.Metrics(a)["peridotstage_heartbeats_total"] > 0
		}, deployer.WaitTime, deployer.PollTime)
	}
	require.False(t, d.Ready(entry), "ready without a lease")
	require.False(t, d.Ready(agent), "ready without a lease")

	control := d.StartControl(0)
	require.Eventually(t, func() bool { return d.Ready(entry) }, deployer.WaitTime, deployer.PollTime)
	require.False(t, d.Ready(agent), "ready although its zone and service do not exist")
	d.StartEntry(1)
	d.StartAgent(0, 1)
	d.Configure("estate")
	require.Eventually(t, func() bool { return d.Ready(agent) }, deployer.WaitTime, deployer.PollTime)

	control.Freeze()
	require.Eventually(t, func() bool { return !d.Ready(entry) && !d.Ready(agent) }, deployer.WaitTime, deployer.PollTime)
	control.Thaw()
	require.Eventually(t, func() bool { return d.Ready(entry) && d.Ready(agent) }, deployer.WaitTime, deployer.PollTime)
}

// TestControlReadiness guards against a control instance that reports ready while it knows no leader.
func TestControlReadiness(t *testing.T) {
	d := deployer.New(t, deployer.Options{Controls: 3, Region: "johor", Zones: []registrar.ZoneName{"johor-a"}})
	a := d.ControlAddr(0)
	d.StartControl(0)
	require.Eventually(t, func() bool { return len(d.Metrics(a)) > 0 }, deployer.WaitTime, deployer.PollTime)
	require.False(t, d.Ready(a), "ready without a majority")
	others := []*deployer.Process{d.StartControl(1), d.StartControl(2)}
	require.Eventually(t, func() bool { return d.Ready(a) }, deployer.WaitTime, deployer.PollTime)
	for _, p := range others {
		p.Freeze()
	}
	require.Eventually(t, func() bool { return !d.Ready(a) }, deployer.WaitTime, deployer.PollTime)
}

// TestStopFinishesRequests guards against a planned stop that interrupts a request in progress.
func TestStopFinishesRequests(t *testing.T) {
	d := newSmallDeployment(t)
	// Longer than the agent waits before it drains, so that the request is still in progress then.
	const serviceTime = 3 * time.Second
	backends := d.Backends(0, func(_ int, b *backend.Backend) { b.ServiceTime = serviceTime })
	d.Fabric(0, 1)
	d.StartAll()
	d.Configure("estate")
	// There is only one request, because an upstream in cold start may not get a second one at the same time.
	result := make(chan error, 1)
	go func() {
		a, err := d.Caller(0, 0).Get("/stock", deployer.WaitTime)
		if err == nil && a.Status != http.StatusOK {
			err = fmt.Errorf("status %d: %s", a.Status, a.Body)
		}
		result <- err
	}()
	inFlight := func() bool { return backends[0].InFlight()+backends[1].InFlight() == 1 }
	require.Eventually(t, inFlight, deployer.WaitTime, deployer.PollTime)
	for i, b := range backends {
		if b.InFlight() == 1 {
			require.NoError(t, d.Process("agent-"+string(d.UpstreamName(0, i))).Stop())
		}
	}
	require.NoError(t, <-result)
}
