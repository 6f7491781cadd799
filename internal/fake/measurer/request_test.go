package measurer

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/peridotstage/peridotstage/internal/fake/backend"
	"github.com/peridotstage/peridotstage/internal/fake/checker"
)

// mixJobs is the number of jobs for each failure mix (design page, section 2).
const mixJobs = 10_000

func init() {
	for _, m := range checker.Mixes {
		register("at_most_once_"+m.Name, func(t *testing.T, seed uint64) { measureAtMostOnce(t, seed, m) })
	}
	register("overload", measureOverload)
	register("cold_start", measureColdStart)
	register("imbalance", measureImbalance)
	register("weight_moves", measureWeightMoves)
}

func measureAtMostOnce(t *testing.T, seed uint64, m checker.Mix) {
	e := checker.New(t, 5, 2, func(_ int, b *backend.Backend) { b.ServiceTime = 20 * time.Millisecond })
	e.AwaitClaims(t)
	y := e.Run(t, mixJobs, 20*time.Millisecond, seed, m.Disturb(e))
	t.Logf("%s: %v", m.Name, y)
	y.Require(t)
}

func measureOverload(t *testing.T, _ uint64) {
	e := checker.New(t, 3, 2, func(_ int, b *backend.Backend) { b.ServiceTime = 20 * time.Millisecond })
	e.Apply(t, checker.Load{Rate: 150, For: 14 * time.Second, Deadline: 3 * time.Second, Flows: 60})
	capacity, before := e.Capacity(), e.Requests()
	r := e.Apply(t, checker.Load{Rate: int(3 * capacity), For: 20 * time.Second, Deadline: time.Second, Flows: 60})
	goodput := float64(r.Done) / (capacity * r.Elapsed.Seconds())
	amplification := float64(e.Requests()-before) / float64(r.Sent)
	t.Logf("3x overload: %v; goodput %.3f of capacity; tries at upstreams for each request %.3f", r, goodput, amplification)
	require.GreaterOrEqual(t, goodput, 0.85)
	require.Less(t, amplification, 1.1)
}

func measureColdStart(t *testing.T, _ uint64) {
	e := checker.New(t, 3, 2, func(_ int, b *backend.Backend) {
		b.ServiceTime, b.ColdFor, b.ColdFactor, b.ColdLimit = 10*time.Millisecond, 5*time.Second, 4, 1
	})
	load := checker.Load{Rate: 60, For: 20 * time.Second, Deadline: 3 * time.Second, Flows: 12}
	t.Log("announced: ", e.Apply(t, load))
	for round := range 3 {
		b := e.Backends[round%len(e.Backends)]
		restarted := make(chan error)
		go func() {
			time.Sleep(2 * time.Second)
			restarted <- b.Restart(200 * time.Millisecond)
		}()
		t.Logf("restart of %s: %v", b.Name, e.Apply(t, load))
		require.NoError(t, <-restarted)
	}
	for _, b := range e.Backends {
		require.False(t, b.Failed(), b.Name)
	}
}

func measureImbalance(t *testing.T, _ uint64) {
	e := checker.New(t, 4, 2, func(i int, b *backend.Backend) { b.ServiceTime = 10 * time.Millisecond << i })
	// Each request has a flow of its own, so that the slowest upstream gets enough flows for an accuracy of a few percent.
	load := checker.Load{Rate: 150, For: 25 * time.Second, Deadline: 3 * time.Second, Flows: 60, FlowLength: 1}
	t.Log("warm: ", e.Apply(t, load))
	since := e.Served()
	load.Rate, load.For = int(0.6*e.Capacity()), 40*time.Second
	r := e.Apply(t, load)
	x := e.Imbalance(since)
	for i, n := range e.Served() {
		t.Logf("%s: service time %v, %d requests", e.Backends[i].Name, e.Backends[i].ServiceTime, n-since[i])
	}
	t.Logf("speeds 1:8: %v; load for capacity, max over mean: %.3f", r, x)
	require.LessOrEqual(t, x, 1.15)
}

// measureWeightMoves counts the revisions that weight changes cause while the speeds of upstreams keep changing.
func measureWeightMoves(t *testing.T, seed uint64) {
	const upstreams, span = 8, time.Minute
	e := checker.New(t, upstreams, 2, func(_ int, b *backend.Backend) { b.ServiceTime = 20 * time.Millisecond })
	load := checker.Load{Rate: 200, For: 25 * time.Second, Deadline: 3 * time.Second, Flows: 60, FlowLength: 1}
	t.Log("warm: ", e.Apply(t, load))
	revision := func() float64 { return e.Metrics(e.ControlAddr(0))["peridotstage_revision"] }
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		r := rand.New(rand.NewPCG(seed, 0))
		ticker := time.NewTicker(time.Second)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				// Service times between 10 ms and 40 ms; each upstream changes every 8 s on average.
				e.Backends[r.IntN(upstreams)].SetServiceTime(time.Duration(10+r.IntN(31)) * time.Millisecond)
			}
		}
	}()
	firstRevision, busyBefore := revision(), make([]time.Duration, upstreams)
	for i, b := range e.Backends {
		busyBefore[i] = b.Busy()
	}
	load.For = span
	r := e.Apply(t, load)
	revisions := revision() - firstRevision
	var sum, most time.Duration
	for i, b := range e.Backends {
		sum += b.Busy() - busyBefore[i]
		most = max(most, b.Busy()-busyBefore[i])
	}
	t.Logf("%d upstreams: %v; %.0f revisions in %s; load for capacity, max over mean: %.3f", upstreams, r, revisions, span,
		float64(most)*upstreams/float64(sum))
}
