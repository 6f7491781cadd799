package measurer

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/peridotstage/peridotstage/internal/fake/deployer"
	"github.com/peridotstage/peridotstage/internal/fake/sprayer"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

func init() {
	register("rolling_restart", measureRollingRestart)
	register("footprint", measureFootprint)
}

const (
	// openFlows is the number of flows that are open during a planned change, which may break none of them (design page, section 2).
	openFlows = 2000
	// requestPause is the time between two requests of a flow.
	requestPause = time.Second
	// dialers is the number of goroutines that open flows.
	dialers = 50
)

// loadedDeployment is a deployment with callers that keep sending requests.
type loadedDeployment struct {
	*deployer.Deployment
	fabric *sprayer.Sprayer
	ctx    context.Context
	wg     sync.WaitGroup
	mu     sync.Mutex
	// callers, requests and failed are guarded by mu.
	callers          []*deployer.Caller
	requests, failed int
	// reasons counts the failed requests by status, first line of the answer and error. It is guarded by mu.
	reasons map[string]int
}

func newLoadedDeployment(t *testing.T, seed uint64) *loadedDeployment {
	zones := []registrar.ZoneName{"johor-a", "johor-b"}
	d := deployer.New(t, deployer.Options{
		Controls: 3, Entries: 3, Region: "johor", Zones: zones,
		Services: []deployer.Service{{
			Name: "order-desk", Transport: registrar.TransportQUIC, Slots: 8,
			Zones: []registrar.ZoneName{"johor-a", "johor-b", "johor-a", "johor-b"},
		}},
	})
	d.Backends(0, nil)
	ctx, cancel := context.WithCancel(context.Background())
	e := &loadedDeployment{reasons: map[string]int{}, Deployment: d, fabric: d.Fabric(0, seed), ctx: ctx}
	d.StartAll()
	d.Configure("estate")
	t.Cleanup(func() { cancel(); e.wg.Wait() })
	return e
}

// openFlowsUntil opens flows until n are open. Each flow sends a request every requestPause.
func (e *loadedDeployment) openFlowsUntil(t *testing.T, n int) {
	var wg sync.WaitGroup
	missing := make(chan int, n)
	for i := len(e.callers); i < n; i++ {
		missing <- i
	}
	close(missing)
	for range dialers {
		wg.Go(func() {
			for i := range missing {
				c := e.Caller(0, i%8)
				_, err := c.Get("/stock", deployer.WaitTime)
				e.mu.Lock()
				e.callers = append(e.callers, c)
				if err != nil {
					e.failed++
				}
				e.mu.Unlock()
				e.wg.Go(func() { e.sendRequests(c) })
			}
		})
	}
	wg.Wait()
	e.mu.Lock()
	defer e.mu.Unlock()
	require.Zero(t, e.failed, "flows could not be opened")
}

func (e *loadedDeployment) sendRequests(c *deployer.Caller) {
	ticker := time.NewTicker(requestPause)
	defer ticker.Stop()
	for {
		select {
		case <-e.ctx.Done():
			return
		case <-ticker.C:
		}
		a, err := c.Get("/stock", deployer.WaitTime)
		e.mu.Lock()
		e.requests++
		if err != nil || a.Status != http.StatusOK {
			e.failed++
			line, _, _ := strings.Cut(string(a.Body), "\n")
			e.reasons[fmt.Sprintf("%d %s %v", a.Status, line, err)]++
		}
		e.mu.Unlock()
	}
}

// counts returns the numbers of reopened connections, requests and failed requests.
func (e *loadedDeployment) counts() (redials int64, requests, failed int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.callers {
		redials += c.Dials() - 1
	}
	return redials, e.requests, e.failed
}

func (e *loadedDeployment) awaitReady(t *testing.T, a netip.Addr) {
	require.Eventually(t, func() bool { return e.Ready(a) }, deployer.WaitTime, deployer.PollTime)
}

// measureRollingRestart restarts every entry and then every agent under load.
func measureRollingRestart(t *testing.T, seed uint64) {
	e := newLoadedDeployment(t, seed)
	e.openFlowsUntil(t, openFlows)
	startedAt := time.Now()
	for i := range e.Entries {
		p := e.Process(e.EntryName(i))
		p.Terminate()
		require.Eventually(t, func() bool { return !e.Ready(e.EntryAddr(i)) }, deployer.WaitTime, deployer.PollTime)
		e.fabric.SetEntries(e.EntryAddresses(0, i))
		require.NoError(t, p.Stop())
		e.StartEntry(i)
		e.awaitReady(t, e.EntryAddr(i))
		e.fabric.SetEntries(e.EntryAddresses(0, -1))
	}
	time.Sleep(requestPause)
	redials, requests, failed := e.counts()
	t.Logf("3 entries in %.1f s: %d flows, %d broken; %d requests, %d failed", time.Since(startedAt).Seconds(), openFlows, redials, requests, failed)
	startedAt = time.Now()
	for i := range e.Controls {
		require.NoError(t, e.Process(fmt.Sprintf("control-%d", i)).Stop())
		e.StartControl(i)
		e.awaitReady(t, e.ControlAddr(i))
	}
	time.Sleep(requestPause)
	totalRedials, totalRequests, totalFailed := e.counts()
	t.Logf("3 control instances in %.1f s: %d flows, %d broken; %d requests, %d failed", time.Since(startedAt).Seconds(), openFlows,
		totalRedials-redials, totalRequests-requests, totalFailed-failed)
	redials, requests, failed = totalRedials, totalRequests, totalFailed
	startedAt = time.Now()
	for i := range e.Services[0].Zones {
		require.NoError(t, e.Process("agent-"+string(e.UpstreamName(0, i))).Stop())
		e.StartAgent(0, i)
		e.awaitReady(t, e.AgentAddr(0, i))
	}
	time.Sleep(requestPause)
	totalRedials, totalRequests, totalFailed = e.counts()
	t.Logf("4 agents in %.1f s: %d connections opened again; %d requests, %d failed", time.Since(startedAt).Seconds(), totalRedials-redials, totalRequests-requests, totalFailed-failed)
	e.mu.Lock()
	defer e.mu.Unlock()
	for reason, n := range e.reasons {
		t.Logf("%d failed: %s", n, reason)
	}
}

// measureFootprint measures memory and processor time of one process of each role while the number of flows grows.
func measureFootprint(t *testing.T, seed uint64) {
	e := newLoadedDeployment(t, seed)
	for _, n := range []int{0, 250, 500, 1000, openFlows} {
		e.openFlowsUntil(t, n)
		const span = 10 * time.Second
		roles := map[string]netip.Addr{"control": e.ControlAddr(0), "entry": e.EntryAddr(0), "agent": e.AgentAddr(0, 0)}
		before := map[string]float64{}
		for role, a := range roles {
			before[role] = e.Metrics(a)["process_cpu_seconds_total"]
		}
		time.Sleep(span)
		for role, a := range roles {
			m := e.Metrics(a)
			t.Logf("%4d flows, %d requests/s: %-7s %5.1f MiB, %5.2f%% of a core, %4.0f goroutines", n, n, role,
				m["process_resident_memory_bytes"]/(1<<20), 100*(m["process_cpu_seconds_total"]-before[role])/span.Seconds(),
				m["go_goroutines"])
		}
	}
	_, requests, failed := e.counts()
	t.Logf("%d requests, %d failed", requests, failed)
}
