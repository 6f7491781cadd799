// Package backend is a stand-in for an upstream: an HTTP server with a number of slots and a cold start, which counts what
// it runs.
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

// maxAnswer bounds the size in bytes that a caller may ask for.
const maxAnswer = 64 << 20

// Backend serves requests. The exported fields are set before Run.
//
// GET /stock answers with the name of the backend, GET /bytes?n=N with N bytes, and POST /jobs runs a job under the
// Idempotency-Key of the request. GET /health answers that all is well, whatever the state.
type Backend struct {
	Name    string
	Address netip.AddrPort
	Slots   int
	// ServiceTime is how long a request takes in a slot.
	ServiceTime time.Duration
	// ColdFor is how long a cold start lasts. While cold, a request takes ColdFactor times as long, and more than ColdLimit
	// requests at once make the backend fall over. ColdGrace requests beyond the limit are borne, since some are on their way
	// when a cold start begins unannounced.
	ColdFor    time.Duration
	ColdFactor int
	ColdLimit  int
	ColdGrace  int64

	faults

	slots    chan struct{}
	server   *http.Server
	inFlight atomic.Int64
	served   atomic.Int64
	fallen   atomic.Bool
	// speed is a service time that replaces ServiceTime, in nanoseconds; 0 for none.
	speed atomic.Int64
	// busy is the time in slots of all requests answered, in nanoseconds.
	busy atomic.Int64
	mu   sync.Mutex
	// warmAt is when the cold start ends.
	warmAt time.Time
	runs   map[string]int
	// excess counts the requests beyond ColdLimit since the cold start began.
	excess atomic.Int64
}

// Run starts serving. Close ends it.
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
		b.count(b.arrived(), key)
		if b.breaks(w, b.rates().BreakBefore) {
			return
		}
		b.serve(w, r, func() {
			b.count(b.runs, key)
			if !b.breaks(w, b.rates().BreakAfter) {
				fmt.Fprintf(w, "%s ran %s\n", b.Name, key)
			}
		})
	})
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	b.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = b.server.Serve(ln) }()
	return nil
}

// Close ends the backend at once.
func (b *Backend) Close() { _ = b.server.Close() }

// Restart ends all connections and comes back after a while, cold.
func (b *Backend) Restart(down time.Duration) error {
	b.Close()
	time.Sleep(down)
	return b.listen()
}

// TurnCold starts a cold start.
func (b *Backend) TurnCold() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.warmAt = time.Now().Add(b.ColdFor)
	b.excess.Store(0)
}

// Fallen reports whether the backend got more than it could bear during a cold start.
func (b *Backend) Fallen() bool { return b.fallen.Load() }

// Served returns the number of requests answered.
func (b *Backend) Served() int64 { return b.served.Load() }

// SetServiceTime changes how long a request takes from now on.
func (b *Backend) SetServiceTime(d time.Duration) { b.speed.Store(int64(d)) }

// Busy returns the time in slots of all requests answered.
func (b *Backend) Busy() time.Duration { return time.Duration(b.busy.Load()) }

// InFlight returns the number of requests in progress.
func (b *Backend) InFlight() int64 { return b.inFlight.Load() }

// Runs returns how often the job of each key ran.
func (b *Backend) Runs() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.runs)
}

func (b *Backend) serve(w http.ResponseWriter, r *http.Request, answer func()) {
	b.see(r)
	// The server notices the end of the connection, which cancels the request, only once the body has been read.
	_, _ = io.Copy(io.Discard, r.Body)
	n := b.inFlight.Add(1)
	defer b.inFlight.Add(-1)
	b.mu.Lock()
	cold := time.Now().Before(b.warmAt)
	b.mu.Unlock()
	if cold && b.ColdLimit > 0 && int(n) > b.ColdLimit && b.excess.Add(1) > b.ColdGrace {
		b.fallen.Store(true)
	}
	if b.fallen.Load() {
		http.Error(w, "fallen over", http.StatusInternalServerError)
		return
	}
	select {
	case b.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-b.slots }()
	d := b.ServiceTime
	if v := b.speed.Load(); v != 0 {
		d = time.Duration(v)
	}
	if cold {
		d *= time.Duration(max(b.ColdFactor, 1))
	}
	if !pause(r.Context(), d) {
		b.cancelled.Add(1)
		return
	}
	b.served.Add(1)
	b.busy.Add(int64(d))
	w.Header().Set("Backend", b.Name)
	answer()
}

func pause(ctx context.Context, d time.Duration) bool {
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
	if err != nil || n < 0 || n > maxAnswer {
		http.Error(w, "n is not a size", http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(n))
	_, _ = w.Write(Pattern(n))
}

// Pattern returns the n bytes that GET /bytes answers with.
func Pattern(n int) []byte {
	b := make([]byte, n)
	for i := range b {
		b[i] = byte(i*7 + i>>8)
	}
	return b
}

func (b *Backend) count(m map[string]int, key string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	m[key]++
}
