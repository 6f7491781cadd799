// Package checker sends jobs under faults and checks, against what the backends saw, that the outcomes told to callers are
// true.
package checker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/peridotstage/peridotstage/internal/fake/backend"
	"github.com/peridotstage/peridotstage/internal/fake/deployer"
	"github.com/peridotstage/peridotstage/internal/request/dispatcher"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

const (
	workers     = 24
	keyAhead    = 58 * time.Second
	maxAttempts = 4
	// callerCount is the number of source addresses.
	callerCount = 100
	outcome     = "Request-Outcome"
)

// Estate is a deployment with one QUIC service and its backends.
type Estate struct {
	*deployer.Deployment
	Backends []*backend.Backend
}

// New starts a deployment of one service with the given number of upstreams, which change may adjust, and two entries.
func New(t testing.TB, upstreams int, slots registrar.Slots, change func(i int, b *backend.Backend)) *Estate {
	t.Helper()
	zones := []registrar.ZoneName{"johor-a", "johor-b", "johor-c"}
	s := deployer.Service{Name: "order-desk", Transport: registrar.TransportQUIC, Slots: slots}
	for i := range upstreams {
		s.Zones = append(s.Zones, zones[i%len(zones)])
	}
	d := deployer.New(t, deployer.Options{
		Controls: 1, Entries: 2, Region: "johor", Zones: zones, Services: []deployer.Service{s},
	})
	e := &Estate{Deployment: d, Backends: d.Backends(0, change)}
	d.Fabric(0, 1)
	d.StartAll()
	d.Configure("estate")
	return e
}

// Key returns a new idempotency key.
func Key(name string) string { return fmt.Sprintf("%d-%s", time.Now().Add(keyAhead).UnixMilli(), name) }

// Post sends a job once.
func Post(c *deployer.Caller, key string, limit time.Duration) (deployer.Answer, error) {
	return post(c, key, limit, http.Header{})
}

func post(c *deployer.Caller, key string, limit time.Duration, header http.Header) (deployer.Answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	header.Set("Idempotency-Key", key)
	return c.Do(ctx, http.MethodPost, "/jobs", header, []byte("job "+key))
}

// hurry gives a part of the jobs deadlines that the queue often cannot meet, so that jobs end as not run.
func hurry(r *rand.Rand) http.Header {
	h := http.Header{}
	if r.IntN(4) == 0 {
		deadline := time.Now().Add(time.Duration(20+r.IntN(60)) * time.Millisecond)
		h.Set("Request-Deadline", strconv.FormatInt(deadline.UnixMilli(), 10))
	}
	return h
}

// AwaitClaims waits until claim owners grant, which takes until the keys lie far enough ahead of the start of the agents.
func (e *Estate) AwaitClaims(t testing.TB) {
	t.Helper()
	c := e.Caller(0, 0)
	n := 0
	require.Eventually(t, func() bool {
		n++
		a, err := Post(c, Key(fmt.Sprintf("warm-%d", n)), time.Second)
		return err == nil && a.Status == http.StatusOK
	}, 2*deployer.WaitTime, 200*time.Millisecond)
}

// Tally is the result of a run.
type Tally struct {
	Done, NotRun, Unknown, Silent int64
	// SecondRuns, FalseNotRun and WrongAnswers break promises 5 to 7.
	SecondRuns, FalseNotRun, WrongAnswers int64
	// Resends counts attempts after the first.
	Resends int64
	Elapsed time.Duration
}

// String prints the tally.
func (y *Tally) String() string {
	return fmt.Sprintf("done %d, not run %d, unknown %d, no answer %d; resends %d; second runs %d, false not run %d, wrong answers %d; %.1f s",
		y.Done, y.NotRun, y.Unknown, y.Silent, y.Resends, y.SecondRuns, y.FalseNotRun, y.WrongAnswers, y.Elapsed.Seconds())
}

// record is what a caller was told about one key.
type record struct {
	done, notRun bool
}

// Run sends jobs from many callers, resends those without an answer on new flows, and calls disturb meanwhile.
//
// Each caller pauses between its jobs, twice as long at most.
func (e *Estate) Run(t testing.TB, jobs int, between time.Duration, seed uint64, disturb func(ctx context.Context, r *rand.Rand)) *Tally {
	t.Helper()
	started := time.Now()
	y := &Tally{}
	told := make(map[string]record, jobs)
	var mu sync.Mutex
	var next atomic.Int64
	var wg, faults sync.WaitGroup
	ctx, stop := context.WithCancel(context.Background())
	faults.Go(func() { disturb(ctx, rand.New(rand.NewPCG(seed, 1))) })
	for w := range workers {
		wg.Go(func() {
			r := rand.New(rand.NewPCG(seed, uint64(w)+2))
			c := e.Caller(0, r.IntN(callerCount))
			for i := next.Add(1); i <= int64(jobs); i = next.Add(1) {
				key := Key(fmt.Sprintf("%d-%d", seed, i))
				var rec record
				c, rec = e.send(c, key, r, y)
				mu.Lock()
				told[key] = rec
				mu.Unlock()
				time.Sleep(time.Duration(r.Int64N(int64(2 * between))))
			}
			c.Close()
		})
	}
	wg.Wait()
	stop()
	faults.Wait()
	// Runs that a lost caller left behind end within this time.
	time.Sleep(2 * time.Second)
	y.Elapsed = time.Since(started)
	e.check(t, told, y)
	return y
}

// send leads one job to its outcome and returns the caller to go on with.
func (e *Estate) send(c *deployer.Caller, key string, r *rand.Rand, y *Tally) (*deployer.Caller, record) {
	for attempt := range maxAttempts {
		if attempt > 0 {
			atomic.AddInt64(&y.Resends, 1)
			c.Close()
			c = e.Caller(0, r.IntN(callerCount))
		}
		a, err := post(c, key, time.Duration(200+r.IntN(1800))*time.Millisecond, hurry(r))
		if err != nil {
			continue
		}
		switch dispatcher.Outcome(a.Header.Get(outcome)) {
		case dispatcher.Done:
			if !strings.HasSuffix(string(a.Body), "ran "+key+"\n") {
				atomic.AddInt64(&y.WrongAnswers, 1)
			}
			atomic.AddInt64(&y.Done, 1)
			return c, record{done: true}
		case dispatcher.NotRun:
			atomic.AddInt64(&y.NotRun, 1)
			return c, record{notRun: true}
		}
		if attempt == maxAttempts-1 {
			atomic.AddInt64(&y.Unknown, 1)
			return c, record{}
		}
	}
	atomic.AddInt64(&y.Silent, 1)
	return c, record{}
}

// check compares what callers were told with what the backends saw.
func (e *Estate) check(t testing.TB, told map[string]record, y *Tally) {
	runs, arrivals := map[string]int{}, map[string]int{}
	for _, b := range e.Backends {
		for key, n := range b.Runs() {
			runs[key] += n
		}
		for key, n := range b.Arrivals() {
			arrivals[key] += n
		}
	}
	for key, rec := range told {
		if runs[key] > 1 || arrivals[key] > 1 {
			y.SecondRuns++
			t.Logf("%s: %d runs, %d arrivals", key, runs[key], arrivals[key])
		}
		if rec.notRun && arrivals[key] > 0 {
			y.FalseNotRun++
			t.Logf("%s: told not run, %d arrivals", key, arrivals[key])
		}
		if rec.done && runs[key] != 1 {
			y.WrongAnswers++
			t.Logf("%s: told done, %d runs", key, runs[key])
		}
	}
}

// Require fails the test if a promise was broken.
func (y *Tally) Require(t testing.TB) {
	t.Helper()
	require.Zero(t, y.SecondRuns, "second runs")
	require.Zero(t, y.FalseNotRun, "false not run")
	require.Zero(t, y.WrongAnswers, "wrong answers")
}
