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

// Load describes requests that arrive at a fixed rate, whether earlier ones are answered or not.
type Load struct {
	// Rate is in requests a second.
	Rate int
	For  time.Duration
	// Deadline is the time each request is given.
	Deadline time.Duration
	// Flows is the number of flows that the requests are spread over.
	Flows int
	// FlowLength is the number of requests after which a flow is replaced by a new one; 0 keeps flows.
	FlowLength int
	// Every makes one request in so many a POST with a key; 0 sends only GET requests.
	Every int
}

// Second counts the ends of the requests that began in one second.
type Second struct{ Done, NotRun, Unknown, NoAnswer int }

// Result is the outcome of a load.
type Result struct {
	Second
	Seconds []Second
	Sent    int
	// Elapsed ends with the last answer.
	Elapsed time.Duration
	// Errors are the first few failures.
	Errors []string
}

// flow is one caller that is replaced after a number of requests.
type flow struct {
	mu     sync.Mutex
	caller *deployer.Caller
	left   int
	users  *sync.WaitGroup
}

func (f *flow) take(e *Estate, i, length int) (*deployer.Caller, *sync.WaitGroup) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.caller == nil || length > 0 && f.left == 0 {
		if f.caller != nil {
			old, users := f.caller, f.users
			go func() {
				users.Wait()
				old.Close()
			}()
		}
		f.caller, f.left, f.users = e.Caller(0, i%callerCount), length, &sync.WaitGroup{}
	}
	f.left--
	f.users.Add(1)
	return f.caller, f.users
}

// Apply sends the load.
func (e *Estate) Apply(t testing.TB, l Load) *Result {
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
		at := int(time.Since(started) / time.Second)
		wg.Go(func() {
			c, users := flows[n%l.Flows].take(e, n, l.FlowLength)
			defer users.Done()
			header := http.Header{}
			method, path := http.MethodGet, "/stock"
			if l.Every > 0 && n%l.Every == 0 {
				method, path = http.MethodPost, "/jobs"
				header.Set("Idempotency-Key", Key(fmt.Sprintf("load-%d", keys.Add(1))))
			}
			deadline := time.Now().Add(l.Deadline)
			header.Set("Request-Deadline", strconv.FormatInt(deadline.UnixMilli(), 10))
			// The agent answers by the deadline; the caller waits a little longer for that answer.
			ctx, cancel := context.WithDeadline(context.Background(), deadline.Add(2*time.Second))
			defer cancel()
			a, err := c.Do(ctx, method, path, header, nil)
			mu.Lock()
			defer mu.Unlock()
			for _, s := range []*Second{&res.Second, &res.Seconds[min(at, len(res.Seconds)-1)]} {
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
	switch o := dispatcher.Outcome(a.Header.Get(outcome)); {
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

// String prints the result.
func (r *Result) String() string {
	return fmt.Sprintf("sent %d, done %d, not run %d, unknown %d, no answer %d", r.Sent, r.Done, r.NotRun, r.Unknown, r.NoAnswer)
}

// Requests returns the number of requests that arrived at the backends.
func (e *Estate) Requests() int64 {
	var n int64
	for _, b := range e.Backends {
		n += b.Requests()
	}
	return n
}

// Served returns the number of requests that each backend served.
func (e *Estate) Served() []int64 {
	var all []int64
	for _, b := range e.Backends {
		all = append(all, b.Served())
	}
	return all
}

// Capacity returns the requests a second that the backends can serve together.
func (e *Estate) Capacity() float64 {
	sum := 0.0
	for _, b := range e.Backends {
		sum += float64(b.Slots) / b.ServiceTime.Seconds()
	}
	return sum
}

// Imbalance returns the load for capacity, max over mean, of what the backends served since a reading of Served.
func (e *Estate) Imbalance(since []int64) float64 {
	sum, most := 0.0, 0.0
	for i, b := range e.Backends {
		load := float64(b.Served()-since[i]) * b.ServiceTime.Seconds() / float64(b.Slots)
		sum += load
		most = max(most, load)
	}
	return most * float64(len(e.Backends)) / sum
}
