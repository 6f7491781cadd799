// Package checker sends jobs while faults are injected and compares the outcomes that callers received with the runs that
// the backends recorded.
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
	// workers is the number of goroutines that send jobs.
	workers = 24
	// keyLifetime is the time from the creation of an idempotency key to the deadline that it carries.
	keyLifetime = 58 * time.Second
	// maxAttempts is how often a job is sent at most.
	maxAttempts = 4
	// callerCount is the number of source addresses of callers.
	callerCount   = 100
	outcomeHeader = "Request-Outcome"
)

// System is a deployment with one QUIC service and its backends.
type System struct {
	*deployer.Deployment
	Backends []*backend.Backend
}

// New starts a deployment with two entries and one service with the given number of upstreams. change, if not nil, may
// adjust each backend before it starts.
func New(t testing.TB, upstreams int, slots registrar.Slots, change func(i int, b *backend.Backend)) *System {
	t.Helper()
	zones := []registrar.ZoneName{"johor-a", "johor-b", "johor-c"}
	s := deployer.Service{Name: "order-desk", Transport: registrar.TransportQUIC, Slots: slots}
	for i := range upstreams {
		s.Zones = append(s.Zones, zones[i%len(zones)])
	}
	d := deployer.New(t, deployer.Options{
		Controls: 1, Entries: 2, Region: "johor", Zones: zones, Services: []deployer.Service{s},
	})
	system := &System{Deployment: d, Backends: d.Backends(0, change)}
	d.Fabric(0, 1)
	d.StartAll()
	d.Configure("estate")
	return system
}

// Key returns a new idempotency key.
func Key(name string) string {
	return fmt.Sprintf("%d-%s", time.Now().Add(keyLifetime).UnixMilli(), name)
}

// Post sends a job once.
func Post(c *deployer.Caller, key string, timeout time.Duration) (deployer.Answer, error) {
	return post(c, key, timeout, http.Header{})
}

func post(c *deployer.Caller, key string, timeout time.Duration, header http.Header) (deployer.Answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	header.Set("Idempotency-Key", key)
	return c.Do(ctx, http.MethodPost, "/jobs", header, []byte("job "+key))
}

// randomDeadline returns headers that give a quarter of the jobs a deadline so short that it often passes while the job is
// queued, so that the job ends with the outcome not-run.
func randomDeadline(r *rand.Rand) http.Header {
	h := http.Header{}
	if r.IntN(4) == 0 {
		deadline := time.Now().Add(time.Duration(20+r.IntN(60)) * time.Millisecond)
		h.Set("Request-Deadline", strconv.FormatInt(deadline.UnixMilli(), 10))
	}
	return h
}

// AwaitClaims waits until claim owners grant claims. An owner grants a claim only if the timestamp of the key is
// far enough after the start of its agent.
func (system *System) AwaitClaims(t testing.TB) {
	t.Helper()
	c := system.Caller(0, 0)
	n := 0
	require.Eventually(t, func() bool {
		n++
		a, err := Post(c, Key(fmt.Sprintf("warm-%d", n)), time.Second)
		return err == nil && a.Status == http.StatusOK
	}, 2*deployer.WaitTime, 200*time.Millisecond)
}

// Tally counts the outcomes of a run.
type Tally struct {
	// Silent counts jobs without an answer to any attempt.
	Done, NotRun, Unknown, Silent int64
	// SecondRuns counts jobs that ran or arrived more than once.
	SecondRuns int64
	// FalseNotRun counts jobs that were reported as not run but reached a backend.
	FalseNotRun int64
	// WrongAnswers counts jobs that were reported as done without exactly one run or with a wrong answer.
	WrongAnswers int64
	// Resends counts the attempts after the first one of each job.
	Resends int64
	Elapsed time.Duration
}

// String returns the counts in one line.
func (tally *Tally) String() string {
	return fmt.Sprintf("done %d, not run %d, unknown %d, no answer %d; resends %d; second runs %d, false not run %d, wrong answers %d; %.1f s",
		tally.Done, tally.NotRun, tally.Unknown, tally.Silent, tally.Resends, tally.SecondRuns, tally.FalseNotRun, tally.WrongAnswers, tally.Elapsed.Seconds())
}

// reportedOutcome is the outcome that a caller received for one key. Both fields are false if the outcome is unknown.
type reportedOutcome struct {
	done, notRun bool
}

// Run sends jobs from many callers and resends jobs without an answer on new flows. disturb injects faults at the same time. Each
// caller pauses before its next job for a random time of at most twice meanPause.
func (system *System) Run(t testing.TB, jobs int, meanPause time.Duration, seed uint64, disturb func(ctx context.Context, r *rand.Rand)) *Tally {
	t.Helper()
	started := time.Now()
	tally := &Tally{}
	reported := make(map[string]reportedOutcome, jobs)
	var mu sync.Mutex
	var next atomic.Int64
	var wg, faults sync.WaitGroup
	ctx, stop := context.WithCancel(context.Background())
	faults.Go(func() { disturb(ctx, rand.New(rand.NewPCG(seed, 1))) })
	for w := range workers {
		wg.Go(func() {
			r := rand.New(rand.NewPCG(seed, uint64(w)+2))
			c := system.Caller(0, r.IntN(callerCount))
			for i := next.Add(1); i <= int64(jobs); i = next.Add(1) {
				key := Key(fmt.Sprintf("%d-%d", seed, i))
				var rec reportedOutcome
				c, rec = system.send(c, key, r, tally)
				mu.Lock()
				reported[key] = rec
				mu.Unlock()
				time.Sleep(time.Duration(r.Int64N(int64(2 * meanPause))))
			}
			c.Close()
		})
	}
	wg.Wait()
	stop()
	faults.Wait()
	// Jobs whose callers have stopped waiting may still be running. They end within this time.
	time.Sleep(2 * time.Second)
	tally.Elapsed = time.Since(started)
	system.check(t, reported, tally)
	return tally
}

// send sends one job, at most maxAttempts times, until its outcome is known. It returns the caller for the next job.
func (system *System) send(c *deployer.Caller, key string, r *rand.Rand, tally *Tally) (*deployer.Caller, reportedOutcome) {
	for attempt := range maxAttempts {
		if attempt > 0 {
			atomic.AddInt64(&tally.Resends, 1)
			c.Close()
			c = system.Caller(0, r.IntN(callerCount))
		}
		a, err := post(c, key, time.Duration(200+r.IntN(1800))*time.Millisecond, randomDeadline(r))
		if err != nil {
			continue
		}
		switch dispatcher.Outcome(a.Header.Get(outcomeHeader)) {
		case dispatcher.Done:
			if !strings.HasSuffix(string(a.Body), "ran "+key+"\n") {
				atomic.AddInt64(&tally.WrongAnswers, 1)
			}
			atomic.AddInt64(&tally.Done, 1)
			return c, reportedOutcome{done: true}
		case dispatcher.NotRun:
			atomic.AddInt64(&tally.NotRun, 1)
			return c, reportedOutcome{notRun: true}
		}
		if attempt == maxAttempts-1 {
			atomic.AddInt64(&tally.Unknown, 1)
			return c, reportedOutcome{}
		}
	}
	atomic.AddInt64(&tally.Silent, 1)
	return c, reportedOutcome{}
}

// check compares the outcomes that callers received with the requests and runs that the backends recorded.
func (system *System) check(t testing.TB, reported map[string]reportedOutcome, tally *Tally) {
	runs, arrivals := map[string]int{}, map[string]int{}
	for _, b := range system.Backends {
		for key, n := range b.Runs() {
			runs[key] += n
		}
		for key, n := range b.Arrivals() {
			arrivals[key] += n
		}
	}
	for key, rec := range reported {
		if runs[key] > 1 || arrivals[key] > 1 {
			tally.SecondRuns++
			t.Logf("%s: %d runs, %d arrivals", key, runs[key], arrivals[key])
		}
		if rec.notRun && arrivals[key] > 0 {
			tally.FalseNotRun++
			t.Logf("%s: reported as not run, %d arrivals", key, arrivals[key])
		}
		if rec.done && runs[key] != 1 {
			tally.WrongAnswers++
			t.Logf("%s: reported as done, %d runs", key, runs[key])
		}
	}
}

// Require fails the test if SecondRuns, FalseNotRun or WrongAnswers is not zero.
func (tally *Tally) Require(t testing.TB) {
	t.Helper()
	require.Zero(t, tally.SecondRuns, "jobs that ran or arrived more than once")
	require.Zero(t, tally.FalseNotRun, "jobs reported as not run that reached a backend")
	require.Zero(t, tally.WrongAnswers, "jobs reported as done without exactly one run or with a wrong response")
}
