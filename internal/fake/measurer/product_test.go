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
	// openFlows is the number of open flows over which no planned change may break one (design page, section 2).
	openFlows = 2000
	// requestPause is the time between two requests of a flow.
	requestPause = time.Second
	dialers      = 50
)

// estate is a deployment with callers.
type estate struct {
	*deployer.Deployment
	fabric *sprayer.Sprayer
	ctx    context.Context
	wg     sync.WaitGroup
	mu     sync.Mutex
	// callers, requests and failed are guarded by mu.
	callers          []*deployer.Caller
	requests, failed int
	// reasons counts the failures by status and the first line of the answer, or by error. It is guarded by mu.
	reasons map[string]int
}

func newEstate(t *testing.T, seed uint64) *estate {
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
	e := &estate{reasons: map[string]int{}, Deployment: d, fabric: d.Fabric(0, seed), ctx: ctx}
	d.StartAll()
	d.Configure("estate")
	t.Cleanup(func() { cancel(); e.wg.Wait() })
	return e
}

// grow opens flows until there are n, each of which sends a request every requestPause.
func (e *estate) grow(t *testing.T, n int) {
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
				e.wg.Go(func() { e.call(c) })
			}
		})
	}
	wg.Wait()
	e.mu.Lock()
	defer e.mu.Unlock()
	require.Zero(t, e.failed, "flows could not be opened")
}

func (e *estate) call(c *deployer.Caller) {
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

// broken returns the number of connections that were opened again, and of requests sent and failed.
func (e *estate) broken() (redials int64, requests, failed int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.callers {
		redials += c.Dials() - 1
	}
	return redials, e.requests, e.failed
}

func (e *estate) awaitReady(t *testing.T, a netip.Addr) {
	require.Eventually(t, func() bool { return e.Ready(a) }, deployer.WaitTime, deployer.PollTime)
}

// measureRollingRestart restarts every entry and then every agent under load.
func measureRollingRestart(t *testing.T, seed uint64) {
	e := newEstate(t, seed)
	e.grow(t, openFlows)
	began := time.Now()
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
	redials, requests, failed := e.broken()
	t.Logf("3 entries in %.1f s: %d flows, %d broken; %d requests, %d failed", time.Since(began).Seconds(), openFlows, redials, requests, failed)
	began = time.Now()
	for i := range e.Controls {
		require.NoError(t, e.Process(fmt.Sprintf("control-%d", i)).Stop())
		e.StartControl(i)
		e.awaitReady(t, e.ControlAddr(i))
	}
	time.Sleep(requestPause)
	again, all, bad := e.broken()
	t.Logf("3 control instances in %.1f s: %d flows, %d broken; %d requests, %d failed", time.Since(began).Seconds(), openFlows,
		again-redials, all-requests, bad-failed)
	redials, requests, failed = again, all, bad
	began = time.Now()
	for i := range e.Services[0].Zones {
		require.NoError(t, e.Process("agent-"+string(e.UpstreamName(0, i))).Stop())
		e.StartAgent(0, i)
		e.awaitReady(t, e.AgentAddr(0, i))
	}
	time.Sleep(requestPause)
	again, all, bad = e.broken()
	t.Logf("4 agents in %.1f s: %d connections opened again; %d requests, %d failed", time.Since(began).Seconds(), again-redials, all-requests, bad-failed)
	e.mu.Lock()
	defer e.mu.Unlock()
	for reason, n := range e.reasons {
		t.Logf("%d failed: %s", n, reason)
	}
}

// measureFootprint reads memory and processor time of one process of each role while the number of flows grows.
func measureFootprint(t *testing.T, seed uint64) {
	e := newEstate(t, seed)
	for _, n := range []int{0, 250, 500, 1000, openFlows} {
		e.grow(t, n)
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
	_, requests, failed := e.broken()
	t.Logf("%d requests, %d failed", requests, failed)
}
