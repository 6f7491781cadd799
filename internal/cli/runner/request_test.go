package runner_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/peridotstage/peridotstage/internal/fake/backend"
	"github.com/peridotstage/peridotstage/internal/fake/checker"
	"github.com/peridotstage/peridotstage/internal/fake/deployer"
	"github.com/peridotstage/peridotstage/internal/fake/silencer"
	"github.com/peridotstage/peridotstage/internal/report/recorder"
)

// TestAtMostOnce runs jobs with real processes. It guards against a job that runs twice, a job that reached an upstream but is
// reported as "not run", and a job that gets the answer to another one. The measurements at_most_once_* run each mix with 10,000
// jobs.
func TestAtMostOnce(t *testing.T) {
	e := checker.New(t, 5, 2, func(_ int, b *backend.Backend) { b.ServiceTime = 20 * time.Millisecond })
	e.AwaitClaims(t)
	for seed, m := range checker.Mixes {
		t.Run(m.Name, func(t *testing.T) {
			report := e.Run(t, 400, 100*time.Millisecond, uint64(seed)+1, m.Disturb(e))
			t.Log(report)
			report.Require(t)
		})
	}
}

// TestColdStart guards against upstreams that collapse under load after a cold start, announced or not, and against a service
// that stops answering meanwhile. A concurrency limit that starts at the number of slots fails the test.
func TestColdStart(t *testing.T) {
	e := checker.New(t, 3, 2, func(_ int, b *backend.Backend) {
		b.ServiceTime, b.ColdFor, b.ColdFactor, b.ColdLimit = 10*time.Millisecond, 3*time.Second, 4, 1
	})
	load := checker.Load{Rate: 60, For: 15 * time.Second, Deadline: 3 * time.Second, Flows: 12, Every: 6}
	r := e.Apply(t, load)
	t.Log("announced: ", r)
	requireNoneOverloaded(t, e, r)
	var wg sync.WaitGroup
	wg.Go(func() {
		time.Sleep(2 * time.Second)
		_ = e.Backends[0].Restart(100 * time.Millisecond)
		// Requests in flight finish while this unannounced cold start begins.
		e.Backends[1].ColdGrace = 2
		e.Backends[1].TurnCold()
	})
	load.For = 8 * time.Second
	r = e.Apply(t, load)
	wg.Wait()
	t.Log("unannounced: ", r)
	requireNoneOverloaded(t, e, r)
}

func requireNoneOverloaded(t *testing.T, e *checker.System, r *checker.Result) {
	t.Helper()
	for _, b := range e.Backends {
		require.False(t, b.Failed(), "%s collapsed under load", b.Name)
	}
	for i, s := range r.Seconds[:len(r.Seconds)-1] {
		require.Positive(t, s.Done, "no answers in second %d: %v", i, r.Errors)
	}
}

// TestOverload guards against a collapse at a load of 3x the capacity. It fails if successful answers stay below 0.85 of the
// capacity or if requests cause 1.1 or more attempts each. The service time is long against the delays of a busy machine, which
// at 20 ms lengthened requests by a quarter; the limiter's TestLastingOverload covers 20 ms.
func TestOverload(t *testing.T) {
	e := checker.New(t, 3, 2, func(_ int, b *backend.Backend) { b.ServiceTime = 60 * time.Millisecond })
	warm := checker.Load{Rate: 50, For: 14 * time.Second, Deadline: 3 * time.Second, Flows: 60}
	w := e.Apply(t, warm)
	t.Log("warm: ", w, w.Errors)
	capacity := e.Capacity()
	before := e.Requests()
	r := e.Apply(t, checker.Load{Rate: int(3 * capacity), For: 6 * time.Second, Deadline: time.Second, Flows: 60})
	t.Logf("overload: %v; arrivals %d; capacity %.0f/s; %v", r, e.Requests()-before, capacity, r.Errors)
	require.GreaterOrEqual(t, float64(r.Done), 0.85*capacity*r.Elapsed.Seconds())
	require.Less(t, float64(e.Requests()-before), 1.1*float64(r.Sent))
}

// TestBalance guards against an uneven load on upstreams whose speeds differ by 1:8 and whose health endpoints all report
// healthy. It fails if the maximum of load divided by capacity exceeds 1.15 times the mean of that ratio. Weights that do not
// follow the measured capacity fail the test. At a shortest service time of 10 ms, delays of a busy machine were a part of the
// capacities that the agents measured.
func TestBalance(t *testing.T) {
	e := checker.New(t, 4, 2, func(i int, b *backend.Backend) { b.ServiceTime = 30 * time.Millisecond << i })
	load := checker.Load{Rate: 50, For: 18 * time.Second, Deadline: 3 * time.Second, Flows: 60, FlowLength: 1}
	t.Log("warm: ", e.Apply(t, load))
	since := e.Served()
	load.Rate, load.For = int(0.6*e.Capacity()), 30*time.Second
	t.Log("balanced: ", e.Apply(t, load))
	imbalance := e.Imbalance(since)
	t.Logf("load for capacity, max over mean: %.3f", imbalance)
	require.LessOrEqual(t, imbalance, 1.15)
}

// TestDeadlineAndCancellation guards against an upstream that does not receive the deadline of a request or its cancellation.
func TestDeadlineAndCancellation(t *testing.T) {
	e := checker.New(t, 1, 2, func(_ int, b *backend.Backend) { b.ServiceTime = 3 * time.Second })
	b, c := e.Backends[0], e.Caller(0, 0)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = c.Do(ctx, http.MethodGet, "/stock", nil, nil)
	}()
	require.Eventually(t, func() bool { return b.Requests() == 1 }, deployer.WaitTime, deployer.PollTime)
	cancel()
	<-done
	require.Eventually(t, func() bool { return b.Cancelled() == 1 }, time.Second, deployer.PollTime, "cancellation is lost")

	deadline := strconv.FormatInt(time.Now().Add(time.Second).UnixMilli(), 10)
	a, err := c.Do(context.Background(), http.MethodGet, "/stock", http.Header{"Request-Deadline": {deadline}}, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusGatewayTimeout, a.Status)
	require.Equal(t, "unknown", a.Header.Get("Request-Outcome"))
	require.Equal(t, deadline, b.Deadline())
	require.Eventually(t, func() bool { return b.Cancelled() == 2 }, time.Second, deployer.PollTime, "the deadline is not kept")

	a, err = c.Do(context.Background(), http.MethodGet, "/stock", http.Header{"Request-Deadline": {"1000"}}, nil)
	require.NoError(t, err)
	require.Equal(t, "not-run", a.Header.Get("Request-Outcome"))
	require.Equal(t, int64(2), b.Requests(), "a request reached the upstream after its deadline")
}

// TestPlannedStop guards against requests that are interrupted while agents stop and start again as planned.
func TestPlannedStop(t *testing.T) {
	e := checker.New(t, 3, 2, func(_ int, b *backend.Backend) { b.ServiceTime = 50 * time.Millisecond })
	e.AwaitClaims(t)
	var wg sync.WaitGroup
	wg.Go(func() {
		for i := range 2 {
			if err := e.Process("agent-" + string(e.UpstreamName(0, i))).Stop(); err != nil {
				t.Errorf("planned stop: %v", err)
			}
			e.StartAgent(0, i)
			// The keys are 58 s in the future, so a restarted claim owner does not vote on them for 65 s - 58 s = 7 s. If two of
			// three owners do not vote, there is no majority.
			time.Sleep(10 * time.Second)
		}
	})
	r := e.Apply(t, checker.Load{Rate: 30, For: 30 * time.Second, Deadline: 5 * time.Second, Flows: 20, FlowLength: 30, Every: 5})
	wg.Wait()
	require.Zero(t, r.Unknown+r.NoAnswer+r.NotRun, "requests were interrupted: %v %v", r, r.Errors)
}

// TestRestartsInARow guards against requests with an idempotency key that end as unknown or not run while all agents of a service
// restart as planned, one right after the other. This happens if restarted claim owners do not vote on claims, or if the owners
// of a claim need the votes of two agents of which one is stopped.
func TestRestartsInARow(t *testing.T) {
	e := checker.New(t, 3, 2, func(_ int, b *backend.Backend) { b.ServiceTime = 20 * time.Millisecond })
	e.AwaitClaims(t)
	restart := func(i int) {
		name := "agent-" + string(e.UpstreamName(0, i))
		if err := e.Process(name).Stop(); err != nil {
			t.Errorf("planned stop: %v", err)
		}
		e.StartAgent(0, i)
		for deadline := time.Now().Add(deployer.WaitTime); !e.Ready(e.AgentAddr(0, i)) && time.Now().Before(deadline); {
			time.Sleep(deployer.PollTime)
		}
		if !strings.Contains(e.Log(name), recorder.LedgerRestored.Message) {
			t.Errorf("%s has not restored its claim ledger", name)
		}
	}
	report := e.Run(t, 600, 300*time.Millisecond, 1, func(context.Context, *rand.Rand) {
		startedAt := time.Now()
		var wg sync.WaitGroup
		wg.Go(func() {
			for i := range e.Backends {
				restart(i)
			}
			t.Logf("restarts took %v", time.Since(startedAt))
		})
		r := e.Apply(t, checker.Load{Rate: 20, For: 10 * time.Second, Deadline: 5 * time.Second, Flows: 20, FlowLength: 10, Every: 1})
		wg.Wait()
		if t.Log(r); r.Unknown+r.NoAnswer+r.NotRun > 0 {
			t.Errorf("keyed requests failed: %v %v", r, r.Errors)
		}
	})
	t.Log(report)
	report.Require(t)
}

// TestSilentUpstreamConnection guards against requests that hang on a connection whose state a middlebox has lost, instead of
// ending within 5 s with a correct outcome, and against later requests that do not work at once on new connections.
func TestSilentUpstreamConnection(t *testing.T) {
	var s *silencer.Silencer
	e := checker.New(t, 1, 2, func(_ int, b *backend.Backend) {
		s = &silencer.Silencer{Listen: b.Address}
		b.ServiceTime = 500 * time.Millisecond
		b.Address = addPort(b.Address, 1)
		s.To = b.Address
		require.NoError(t, s.Run())
	})
	defer s.Close()
	e.AwaitClaims(t)
	c := e.Caller(0, 0)
	type outcome struct {
		answer deployer.Answer
		err    error
	}
	outcomes := make(chan outcome, 1)
	before := e.Requests()
	key := checker.Key("silent")
	go func() {
		a, err := checker.Post(c, key, 20*time.Second)
		outcomes <- outcome{a, err}
	}()
	require.Eventually(t, func() bool { return e.Requests() > before }, deployer.WaitTime, deployer.PollTime)
	require.NoError(t, s.Silence())
	silencedAt := time.Now()
	result := <-outcomes
	require.NoError(t, result.err)
	require.Equal(t, "unknown", result.answer.Header.Get("Request-Outcome"))
	require.Less(t, time.Since(silencedAt), 5*time.Second)
	a, err := c.Get("/stock", 5*time.Second)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, a.Status)
	a, err = checker.Post(e.Caller(0, 1), key, 5*time.Second)
	require.NoError(t, err)
	require.Equal(t, "unknown", a.Header.Get("Request-Outcome"), "a resend ran again or hides the first run")
	require.Equal(t, 1, e.Backends[0].Arrivals()[key])
}

func addPort(a netip.AddrPort, n uint16) netip.AddrPort {
	return netip.AddrPortFrom(a.Addr(), a.Port()+n)
}

// callersOfEach returns n callers of each upstream, connected.
func callersOfEach(t *testing.T, e *checker.System, n int) []*deployer.Caller {
	t.Helper()
	var callers []*deployer.Caller
	counts := map[string]int{}
	for i := 0; len(callers) < n*len(e.Backends); i++ {
		c := e.Caller(0, i)
		a, err := c.Get("/stock", deployer.WaitTime)
		require.NoError(t, err)
		upstream := a.Header.Get("Backend")
		if counts[upstream] == n {
			c.Close()
			continue
		}
		counts[upstream]++
		callers = append(callers, c)
	}
	return callers
}

// TestProofLongRequests guards against a proof that says "stopped" while requests of the customer still run at an upstream, or wait
// in a queue and start later. Claimed requests do not end with the connection of their caller.
func TestProofLongRequests(t *testing.T) {
	e := checker.New(t, 2, 1, nil)
	e.AwaitClaims(t)
	callers := callersOfEach(t, e, 3)
	for _, b := range e.Backends {
		b.SetServiceTime(20 * time.Second)
	}
	var wg sync.WaitGroup
	for i, c := range callers {
		wg.Go(func() {
			defer c.Close()
			a, err := checker.Post(c, checker.Key(fmt.Sprintf("long-%d", i)), 15*time.Second)
			assert.False(t, err == nil && a.Status == http.StatusOK, "a customer that was cut off got an answer")
		})
	}
	inFlight := func() (n int64) {
		for _, b := range e.Backends {
			n += b.InFlight()
		}
		return n
	}
	require.Eventually(t, func() bool { return inFlight() == 2 }, deployer.WaitTime, deployer.PollTime)
	e.CutOff("estate")
	require.Zero(t, inFlight(), "a request of the customer still runs at an upstream")
	arrived := e.Requests()
	wg.Wait()
	require.Equal(t, arrived, e.Requests(), "a request reached an upstream after the proof")
}
