package responder

import (
	"net/netip"
	"sync"
	"time"

	"github.com/peridotstage/peridotstage/internal/report/burner"
)

const (
	// askStep is the time within which datagrams of a flow are timed as one. It is the least bound of objectives.
	askStep = 1 * time.Millisecond
	// maxWaiting bounds the times that a flow keeps. Later datagrams are timed from the last of them, so they look slower.
	maxWaiting = 64
	// sweepInterval is how often datagrams without an answer are looked for.
	sweepInterval = 1 * time.Second
)

// AnswerMeter counts the datagrams of plain UDP callers by the time to the next answer.
type AnswerMeter interface {
	Answered(caller netip.Addr, d time.Duration, failed bool, n int)
}

// asked are datagrams that a caller sent at nearly the same time.
type asked struct {
	at time.Time
	n  int
}

// waitingAnswers are the datagrams of a flow since its last answer, oldest first.
type waitingAnswers struct {
	mu    sync.Mutex
	asked []asked
}

// ask notes a datagram of the caller.
func (w *waitingAnswers) ask(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if n := len(w.asked); n > 0 && (now.Sub(w.asked[n-1].at) < askStep || n == maxWaiting) {
		w.asked[n-1].n++
		return
	}
	w.asked = append(w.asked, asked{now, 1})
}

// answered passes the time that each waiting datagram took to record. An answer of the upstream answers all of them, because
// nothing in plain UDP says which one it is for.
func (w *waitingAnswers) answered(now time.Time, record func(d time.Duration, n int)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.asked {
		record(now.Sub(a.at), a.n)
	}
	w.asked = w.asked[:0]
}

// expire removes the datagrams that were sent before a time and returns how many there were.
func (w *waitingAnswers) expire(before time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	sum, kept := 0, w.asked[:0]
	for _, a := range w.asked {
		if a.at.Before(before) {
			sum += a.n
			continue
		}
		kept = append(kept, a)
	}
	w.asked = kept
	return sum
}

func (r *relay) record(caller netip.AddrPort, d time.Duration, failed bool, n int) {
	if r.meter != nil && n > 0 {
		r.meter.Answered(caller.Addr(), d, failed, n)
	}
}

// sweep counts the datagrams without an answer as failed until done is closed.
func (r *relay) sweep(done <-chan struct{}) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case now := <-ticker.C:
			r.expire(now.Add(-burner.AnswerLimit))
		}
	}
}

// expire counts datagrams that were sent before a time and got no answer as failed.
func (r *relay) expire(before time.Time) {
	r.mu.Lock()
	flows := make(map[netip.AddrPort]*relayFlow, len(r.flows))
	for caller, f := range r.flows {
		flows[caller] = f
	}
	r.mu.Unlock()
	for caller, f := range flows {
		r.record(caller, 0, true, f.answers.expire(before))
	}
}
