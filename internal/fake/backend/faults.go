package backend

import (
	"maps"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
)

// Rates are the shares of jobs whose connection breaks before or after the job ran.
type Rates struct {
	BreakBefore float64
	BreakAfter  float64
}

// faults is what a backend does wrong, and what it has seen.
type faults struct {
	cancelled atomic.Int64
	mu        sync.Mutex
	now       Rates
	seen      map[string]int
	deadline  string
	requests  int64
}

// SetRates changes the faults.
func (f *faults) SetRates(r Rates) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = r
}

func (f *faults) rates() Rates {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// arrived returns the counts of jobs that reached the backend by key.
func (f *faults) arrived() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.seen == nil {
		f.seen = map[string]int{}
	}
	return f.seen
}

// Arrivals returns how often the job of each key reached the backend, whether it ran or not.
func (b *Backend) Arrivals() map[string]int {
	all := b.arrived()
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(all)
}

// Cancelled returns the number of requests that were cancelled in their slot.
func (f *faults) Cancelled() int64 { return f.cancelled.Load() }

func (f *faults) see(r *http.Request) {
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

// Deadline returns the Request-Deadline of the last request.
func (f *faults) Deadline() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.deadline
}

// breaks ends the connection of a share of the requests.
func (f *faults) breaks(w http.ResponseWriter, share float64) bool {
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
