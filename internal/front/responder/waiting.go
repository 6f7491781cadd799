package responder

import (
	"net/netip"
	"sync"
	"time"

	"github.com/peridotstage/peridotstage/internal/report/burner"
)

const (
	// batchWindow is the time within which datagrams of a flow share one send time. It is the smallest latency bound of an objective.
	batchWindow = 1 * time.Millisecond
	// maxBatches bounds the batches of a flow. Further datagrams join the last batch, so their measured time is too long.
	maxBatches = 64
	// sweepInterval is how often unanswered datagrams are checked against burner.AnswerLimit.
	sweepInterval = 1 * time.Second
)

// AnswerMeter counts the datagrams of plain UDP callers by the time until the next answer.
type AnswerMeter interface {
	Answered(caller netip.Addr, d time.Duration, failed bool, n int)
}

// datagramBatch is a number of datagrams that a caller sent within batchWindow.
type datagramBatch struct {
	sentAt time.Time
	count  int
}

// unansweredDatagrams are the datagrams of a flow since its last answer, oldest first.
type unansweredDatagrams struct {
	mu      sync.Mutex
	batches []datagramBatch
}

// add records a datagram that the caller sent.
func (w *unansweredDatagrams) add(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if n := len(w.batches); n > 0 && (now.Sub(w.batches[n-1].sentAt) < batchWindow || n == maxBatches) {
		w.batches[n-1].count++
		return
	}
	w.batches = append(w.batches, datagramBatch{now, 1})
}

// removeAnswered removes all batches and calls record with the waiting time and the count of each. One answer of the upstream
// counts for all datagrams sent before it, because plain UDP does not say which datagram an answer belongs to.
func (w *unansweredDatagrams) removeAnswered(now time.Time, record func(d time.Duration, n int)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.batches {
		record(now.Sub(a.sentAt), a.count)
	}
	w.batches = w.batches[:0]
}

// removeSentBefore removes the datagrams that were sent before a time and returns how many there were.
func (w *unansweredDatagrams) removeSentBefore(before time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	removed, kept := 0, w.batches[:0]
	for _, a := range w.batches {
		if a.sentAt.Before(before) {
			removed += a.count
			continue
		}
		kept = append(kept, a)
	}
	w.batches = kept
	return removed
}

func (r *relay) recordAnswer(caller netip.AddrPort, d time.Duration, failed bool, n int) {
	if r.meter != nil && n > 0 {
		r.meter.Answered(caller.Addr(), d, failed, n)
	}
}

// sweep regularly counts the datagrams without an answer as failed. It returns when done is closed.
func (r *relay) sweep(done <-chan struct{}) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case now := <-ticker.C:
			r.failUnanswered(now.Add(-burner.AnswerLimit))
		}
	}
}

// failUnanswered counts datagrams that were sent before a time and got no answer as failed.
func (r *relay) failUnanswered(before time.Time) {
	r.mu.Lock()
	flows := make(map[netip.AddrPort]*relayFlow, len(r.flows))
	for caller, f := range r.flows {
		flows[caller] = f
	}
	r.mu.Unlock()
	for caller, f := range flows {
		r.recordAnswer(caller, 0, true, f.unanswered.removeSentBefore(before))
	}
}
