// Package backend simulates an upstream: an HTTP server with a limited number of slots and a cold start, which counts the
// jobs that it runs.
package backend

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// maxBodyBytes bounds the size of the response body that a caller may request.
const maxBodyBytes = 64 << 20

// Backend is a simulated upstream. The exported fields must be set before Run.
//
// GET /stock returns the name of the backend, GET /bytes?n=N returns N bytes, and POST /jobs runs a job under the
// Idempotency-Key of the request. GET /health always returns status 200, even after the backend has failed.
type Backend struct {
	Name    string
	Address netip.AddrPort
	Slots   int
	// ServiceTime is how long a request occupies a slot.
	ServiceTime time.Duration
	// ColdFor is how long a cold start lasts. While cold, a request takes ColdFactor times as long, and the backend fails if
	// more than ColdLimit requests are in flight. The first ColdGrace requests beyond the limit are tolerated, because requests may
	// already be on their way when a cold start begins without notice.
	ColdFor    time.Duration
	ColdFactor int
	ColdLimit  int
	ColdGrace  int64

	faults

	slots    chan struct{}
	server   *http.Server
	inFlight atomic.Int64
	served   atomic.Int64
	failed   atomic.Bool
	// serviceNanos overrides ServiceTime, in nanoseconds, unless it is 0.
	serviceNanos atomic.Int64
	// busyNanos is the total time that answered requests occupied slots, in nanoseconds.
	busyNanos atomic.Int64
	mu        sync.Mutex
	// warmAt is when the cold start ends.
	warmAt time.Time
	runs   map[string]int
	// excess is the number of requests beyond ColdLimit since the cold start began.
	excess atomic.Int64
}

// Run starts the server. Close stops it.
func (b *Backend) Run() error {
	b.slots = make(chan struct{}, b.Slots)
	b.runs = map[string]int{}
	return b.listen()
}

func (b *Backend) listen() error {
	b.TurnCold()
	ln, err := net.Listen("tcp", b.Address.String())
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /stock", func(w http.ResponseWriter, r *http.Request) {
		b.serve(w, r, func() { fmt.Fprintln(w, b.Name) })
	})
	mux.HandleFunc("GET /bytes", func(w http.ResponseWriter, r *http.Request) {
		b.serve(w, r, func() { writeBytes(w, r) })
	})
	mux.HandleFunc("POST /jobs", func(w http.ResponseWriter, r *http.Request) {
		key := r.Header.Get("Idempotency-Key")
		b.increment(b.arrivalCounts(), key)
		if b.breakConnection(w, b.currentRates().BreakBefore) {
			return
		}
		b.serve(w, r, func() {
			b.increment(b.runs, key)
			if !b.breakConnection(w, b.currentRates().BreakAfter) {
				fmt.Fprintf(w, "%s ran %s\n", b.Name, key)
			}
		})
	})
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	b.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = b.server.Serve(ln) }()
	return nil
}

// Close stops the server and closes all connections.
func (b *Backend) Close() { _ = b.server.Close() }

// Restart closes all connections and starts the server again after downtime, with a cold start.
func (b *Backend) Restart(downtime time.Duration) error {
	b.Close()
	time.Sleep(downtime)
	return b.listen()
}

// TurnCold begins a cold start.
func (b *Backend) TurnCold() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.warmAt = time.Now().Add(b.ColdFor)
	b.excess.Store(0)
}

// Failed reports whether the backend failed because it received too many requests during a cold start.
func (b *Backend) Failed() bool { return b.failed.Load() }

// Served returns the number of requests answered.
func (b *Backend) Served() int64 { return b.served.Load() }

// SetServiceTime changes how long later requests occupy a slot.
func (b *Backend) SetServiceTime(d time.Duration) { b.serviceNanos.Store(int64(d)) }

// Busy returns the total time that answered requests occupied slots.
func (b *Backend) Busy() time.Duration { return time.Duration(b.busyNanos.Load()) }

// InFlight returns the number of requests in progress.
func (b *Backend) InFlight() int64 { return b.inFlight.Load() }

// Runs returns the number of runs of the job of each key.
func (b *Backend) Runs() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.runs)
}

// serve waits for a slot, occupies it for the service time, and then calls answer.
func (b *Backend) serve(w http.ResponseWriter, r *http.Request, answer func()) {
	b.recordRequest(r)
	// net/http detects a closed connection and cancels the request context only after the body has been read.
	_, _ = io.Copy(io.Discard, r.Body)
	active := b.inFlight.Add(1)
	defer b.inFlight.Add(-1)
	b.mu.Lock()
	cold := time.Now().Before(b.warmAt)
	b.mu.Unlock()
	if cold && b.ColdLimit > 0 && int(active) > b.ColdLimit && b.excess.Add(1) > b.ColdGrace {
		b.failed.Store(true)
	}
	if b.failed.Load() {
		http.Error(w, "backend failed during its cold start", http.StatusInternalServerError)
		return
	}
	select {
	case b.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-b.slots }()
	d := b.ServiceTime
	if v := b.serviceNanos.Load(); v != 0 {
		d = time.Duration(v)
	}
	if cold {
		d *= time.Duration(max(b.ColdFactor, 1))
	}
	if !sleep(r.Context(), d) {
		b.cancelled.Add(1)
		return
	}
	b.served.Add(1)
	b.busyNanos.Add(int64(d))
	w.Header().Set("Backend", b.Name)
	answer()
}

// sleep waits for d and reports whether it did so before ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func writeBytes(w http.ResponseWriter, r *http.Request) {
	n, err := strconv.Atoi(r.URL.Query().Get("n"))
	if err != nil || n < 0 || n > maxBodyBytes {
		http.Error(w, "n is not a size", http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(n))
	_, _ = w.Write(Pattern(n))
}

// Pattern returns the body of the response to GET /bytes?n=N, for N = n.
func Pattern(n int) []byte {
	b := make([]byte, n)
	for i := range b {
		b[i] = byte(i*7 + i>>8)
	}
	return b
}

func (b *Backend) increment(counts map[string]int, key string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts[key]++
}
