package backend

import (
	"maps"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
)

// Rates are the probabilities, between 0 and 1, that the connection of a job breaks before or after the job runs.
type Rates struct {
	BreakBefore float64
	BreakAfter  float64
}

// faults holds the faults that a backend injects, and counts of the requests that it received.
type faults struct {
	cancelled atomic.Int64
	mu        sync.Mutex
	rates     Rates
	// arrivals is the number of POST /jobs requests that reached the backend, by idempotency key.
	arrivals map[string]int
	// deadline is the Request-Deadline header of the last request.
	deadline string
	requests int64
}

// SetRates replaces the rates of the injected faults.
func (f *faults) SetRates(r Rates) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rates = r
}

func (f *faults) currentRates() Rates {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rates
}

// arrivalCounts returns the map arrivals and creates it if necessary. Backend.mu guards the entries of the map.
func (f *faults) arrivalCounts() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.arrivals == nil {
		f.arrivals = map[string]int{}
	}
	return f.arrivals
}

// Arrivals returns the number of requests that reached the backend for each key, whether the job ran or not.
func (b *Backend) Arrivals() map[string]int {
	arrivals := b.arrivalCounts()
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(arrivals)
}

// Cancelled returns the number of requests that were cancelled while they occupied a slot.
func (f *faults) Cancelled() int64 { return f.cancelled.Load() }

func (f *faults) recordRequest(r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests++
	f.deadline = r.Header.Get("Request-Deadline")
}

// Requests returns the number of requests that arrived.
func (f *faults) Requests() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.requests
}

// Deadline returns the Request-Deadline header of the last request.
func (f *faults) Deadline() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.deadline
}

// breakConnection closes the connection of the request with the given probability, and reports whether it did.
func (f *faults) breakConnection(w http.ResponseWriter, share float64) bool {
	if share == 0 || rand.Float64() >= share {
		return false
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}
