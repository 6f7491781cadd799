package checker

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/peridotstage/peridotstage/internal/fake/deployer"
	"github.com/peridotstage/peridotstage/internal/request/dispatcher"
)

// Load describes requests that are sent at a fixed rate, without waiting for the answers to earlier requests.
type Load struct {
	// Rate is the number of requests per second.
	Rate int
	// For is how long requests are sent.
	For time.Duration
	// Deadline is the time from the start of each request to its deadline.
	Deadline time.Duration
	// Flows is the number of flows among which the requests are distributed.
	Flows int
	// FlowLength is the number of requests after which a flow is replaced by a new one. With 0, flows are never replaced.
	FlowLength int
	// Every is n if every n-th request is a POST with an idempotency key. With 0, all requests are GET requests.
	Every int
}

// Second counts, by outcome, the requests that began in one second.
type Second struct{ Done, NotRun, Unknown, NoAnswer int }

// Result holds the counts of a load, in total and for each second.
type Result struct {
	Second
	Seconds []Second
	Sent    int
	// Elapsed is the time from the first request to the last answer.
	Elapsed time.Duration
	// Errors describes the first five failures.
	Errors []string
}

// flow holds a caller that is replaced after a number of requests.
type flow struct {
	mu     sync.Mutex
	caller *deployer.Caller
	// remaining is the number of requests before the caller is replaced.
	remaining int
	// inFlight waits for the requests that use the caller.
	inFlight *sync.WaitGroup
}

// acquire returns the caller for the next request, and a wait group on which the request calls Done when it ends. A caller that is
// replaced is closed after its last request has ended.
func (f *flow) acquire(system *System, i, length int) (*deployer.Caller, *sync.WaitGroup) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.caller == nil || length > 0 && f.remaining == 0 {
		if f.caller != nil {
			old, inFlight := f.caller, f.inFlight
			go func() {
				inFlight.Wait()
				old.Close()
			}()
		}
		f.caller, f.remaining, f.inFlight = system.Caller(0, i%callerCount), length, &sync.WaitGroup{}
	}
	f.remaining--
	f.inFlight.Add(1)
	return f.caller, f.inFlight
}

// Apply sends the requests of a load and waits for their answers.
func (system *System) Apply(t testing.TB, l Load) *Result {
	t.Helper()
	res := &Result{Seconds: make([]Second, int(l.For/time.Second)+1)}
	flows := make([]flow, l.Flows)
	var mu sync.Mutex
	var wg sync.WaitGroup
	var keys atomic.Int64
	started := time.Now()
	interval := time.Second / time.Duration(l.Rate)
	for ; time.Since(started) < l.For; res.Sent++ {
		time.Sleep(time.Until(started.Add(time.Duration(res.Sent) * interval)))
		n := res.Sent
		second := int(time.Since(started) / time.Second)
		wg.Go(func() {
			c, inFlight := flows[n%l.Flows].acquire(system, n, l.FlowLength)
			defer inFlight.Done()
			header := http.Header{}
			method, path := http.MethodGet, "/stock"
			if l.Every > 0 && n%l.Every == 0 {
				method, path = http.MethodPost, "/jobs"
				header.Set("Idempotency-Key", Key(fmt.Sprintf("load-%d", keys.Add(1))))
			}
			deadline := time.Now().Add(l.Deadline)
			header.Set("Request-Deadline", strconv.FormatInt(deadline.UnixMilli(), 10))
			// The agent answers by the deadline; the caller waits 2 s longer for that answer.
			ctx, cancel := context.WithDeadline(context.Background(), deadline.Add(2*time.Second))
			defer cancel()
			a, err := c.Do(ctx, method, path, header, nil)
			mu.Lock()
			defer mu.Unlock()
			for _, s := range []*Second{&res.Second, &res.Seconds[min(second, len(res.Seconds)-1)]} {
				s.add(a, err)
			}
			if (err != nil || a.Status != http.StatusOK) && len(res.Errors) < 5 {
				res.Errors = append(res.Errors, fmt.Sprintf("%s %s: %d %s %v", method, path, a.Status, a.Body, err))
			}
		})
	}
	wg.Wait()
	res.Elapsed = time.Since(started)
	for i := range flows {
		if c := flows[i].caller; c != nil {
			c.Close()
		}
	}
	return res
}

func (s *Second) add(a deployer.Answer, err error) {
	switch o := dispatcher.Outcome(a.Header.Get(outcomeHeader)); {
	case err != nil:
		s.NoAnswer++
	case o == dispatcher.Done && a.Status == http.StatusOK:
		s.Done++
	case o == dispatcher.NotRun:
		s.NotRun++
	default:
		s.Unknown++
	}
}

// String returns the counts in one line.
func (r *Result) String() string {
	return fmt.Sprintf("sent %d, done %d, not run %d, unknown %d, no answer %d", r.Sent, r.Done, r.NotRun, r.Unknown, r.NoAnswer)
}

// Requests returns the number of requests that arrived at the backends.
func (system *System) Requests() int64 {
	var n int64
	for _, b := range system.Backends {
		n += b.Requests()
	}
	return n
}

// Served returns the number of requests that each backend served.
func (system *System) Served() []int64 {
	var served []int64
	for _, b := range system.Backends {
		served = append(served, b.Served())
	}
	return served
}

// Capacity returns the number of requests per second that the backends can serve together.
func (system *System) Capacity() float64 {
	sum := 0.0
	for _, b := range system.Backends {
		sum += float64(b.Slots) / b.ServiceTime.Seconds()
	}
	return sum
}

// Imbalance returns the highest utilization of a backend divided by the mean utilization, for the requests served after an
// earlier result of Served.
func (system *System) Imbalance(earlier []int64) float64 {
	sum, highest := 0.0, 0.0
	for i, b := range system.Backends {
		load := float64(b.Served()-earlier[i]) * b.ServiceTime.Seconds() / float64(b.Slots)
		sum += load
		highest = max(highest, load)
	}
	return highest * float64(len(system.Backends)) / sum
}
