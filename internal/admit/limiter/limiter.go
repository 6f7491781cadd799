// Package limiter decides how many requests an upstream runs at a time. It measures the upstream itself and does not ask
// the upstream's health or load endpoints, because those lag and mislead.
package limiter

import (
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// Errors of Enter and Ticket.Err. Each of them means that the request did not get a slot and never will.
var (
	// ErrFull means that the queue is full.
	ErrFull = eris.New("queue is full")
	// ErrDeadline means that the request cannot be finished before its deadline.
	ErrDeadline = eris.New("deadline cannot be met")
	// ErrCancelled means that the caller gave up while the request was queued.
	ErrCancelled = eris.New("cancelled while queued")
)

const (
	// queueLimit bounds the requests that wait. It exceeds the callers that an order desk of 2,000 connections over three
	// upstreams has waiting at once; deadlines bound the wait itself.
	queueLimit = 1024
	// flowWait is the expected wait in the queue from which new flows are sent to the second choice of their bucket.
	flowWait = 1 * time.Second
)

// Alarm calls Limiter.Advance at a time. A later call replaces the earlier one. It must not call back before SetAlarm has
// returned, because the limiter's lock is held.
type Alarm interface {
	SetAlarm(at time.Time)
}

type state uint8

const (
	queued state = iota
	running
	ended
)

// Ticket is the place of one request.
type Ticket struct {
	deadline time.Time
	ready    chan struct{}
	// The fields below are guarded by the limiter's lock; err may be read once ready is closed.
	state     state
	startedAt time.Time
	err       error
}

// Ready is closed once the request has a slot or is refused.
func (t *Ticket) Ready() <-chan struct{} { return t.ready }

// Err tells, after Ready, why the request was refused; nil if it has a slot.
func (t *Ticket) Err() error { return t.err }

// Limiter limits the requests to one upstream. The exported fields are set before first use.
type Limiter struct {
	// Slots is the number at the start. SetSlots changes it later.
	Slots registrar.Slots
	// Alarm may be nil if Advance is called regularly.
	Alarm Alarm
	// Watcher may be nil.
	Watcher Watcher

	mu sync.Mutex
	gauge
	// queue is ordered by deadline, earliest first.
	queue []*Ticket
	// active holds the requests that have a slot, oldest first.
	active []*Ticket
	// pacedUntil is the earliest start of the next request while the limit is below one slot.
	pacedUntil time.Time
}

// Enter asks for a slot. The ticket is granted or refused at once or later. A nil ticket comes with the reason for the
// refusal.
func (l *Limiter) Enter(now, deadline time.Time) (*Ticket, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.begin(now, l.Slots, l.Watcher)
	l.wakeIdle(now, len(l.active))
	at, _ := slices.BinarySearchFunc(l.queue, deadline, func(t *Ticket, d time.Time) int {
		if t.deadline.After(d) {
			return 1
		}
		return -1
	})
	if now.Add(l.wait(at + len(l.active))).Add(l.needs()).After(deadline) {
		return nil, ErrDeadline
	}
	if len(l.queue) >= queueLimit {
		return nil, ErrFull
	}
	t := &Ticket{deadline: deadline, ready: make(chan struct{})}
	l.queue = slices.Insert(l.queue, at, t)
	l.advance(now)
	return t, nil
}

// needs is the time that a request is expected to need in its slot. In an overload each request starts as late as its deadline
// allows, so without an allowance for the deviation half of them would miss it.
func (l *Limiter) needs() time.Duration { return l.service + l.service/8 + 2*l.deviation }

// wait estimates the time until the request behind n others gets a slot.
func (l *Limiter) wait(n int) time.Duration {
	ahead := float64(n + 1 - int(max(l.limit, 1)))
	if ahead <= 0 {
		return 0
	}
	return time.Duration(ahead / l.limit * float64(l.service))
}

// Advance refuses requests that cannot meet their deadline any more and starts those whose turn it is.
func (l *Limiter) Advance(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.begin(now, l.Slots, l.Watcher)
	l.advance(now)
}

func (l *Limiter) advance(now time.Time) {
	for len(l.queue) > 0 && l.mayStart(now) {
		t := l.queue[0]
		l.queue = slices.Delete(l.queue, 0, 1)
		if now.Add(l.needs()).After(t.deadline) {
			t.end(ErrDeadline)
			continue
		}
		t.state, t.startedAt = running, now
		l.active = append(l.active, t)
		close(t.ready)
	}
	l.refuseLate(now)
	l.setAlarm(now)
}

func (l *Limiter) mayStart(now time.Time) bool {
	return len(l.active) < l.atOnce(now) && !now.Before(l.pacedUntil)
}

// atOnce returns how many requests may run at once. While one of them shows by its age that the upstream may have turned cold,
// none starts beside it. After a slow answer the next request runs alone, because it decides whether the upstream is cold.
func (l *Limiter) atOnce(now time.Time) int {
	held, stuck := false, false
	for _, t := range l.active {
		from, until := l.hold(t.startedAt)
		held = held || now.After(from) && now.Before(until)
		stuck = stuck || from.Before(until) && !now.Before(until)
	}
	if held || l.slow > 0 && !stuck {
		return 1
	}
	return max(int(l.limit), 1)
}

// released returns the earliest time at which a running request that has not ended lets others start again.
func (l *Limiter) released(now time.Time) (at time.Time, ok bool) {
	for _, t := range l.active {
		if _, until := l.hold(t.startedAt); until.After(now) && (!ok || until.Before(at)) {
			at, ok = until, true
		}
	}
	return at, ok
}

// refuseLate refuses the queued requests that would finish after their deadline even if everything ahead of them runs at the
// measured speed.
func (l *Limiter) refuseLate(now time.Time) {
	kept := l.queue[:0]
	for _, t := range l.queue {
		if now.Add(l.needs()).After(t.deadline) || now.Add(l.wait(len(kept))).After(t.deadline) {
			t.end(ErrDeadline)
			continue
		}
		kept = append(kept, t)
	}
	clear(l.queue[len(kept):])
	l.queue = kept
}

func (l *Limiter) setAlarm(now time.Time) {
	if l.Alarm == nil || len(l.queue) == 0 {
		return
	}
	at := l.queue[0].deadline.Add(-l.needs())
	if len(l.active) == 0 && l.pacedUntil.After(now) && l.pacedUntil.Before(at) {
		at = l.pacedUntil
	}
	if until, ok := l.released(now); ok && until.Before(at) {
		at = until
	}
	l.Alarm.SetAlarm(at)
}

func (t *Ticket) end(err error) {
	t.state, t.err = ended, err
	close(t.ready)
}

// Cancel gives up a queued request. It returns false if the request already has a slot, which Leave must give back.
func (l *Limiter) Cancel(now time.Time, t *Ticket) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t.state == queued {
		if i := slices.Index(l.queue, t); i >= 0 {
			l.queue = slices.Delete(l.queue, i, i+1)
		}
		t.end(ErrCancelled)
		l.advance(now)
	}
	return t.state == ended
}

// Result says how the upstream handled a request.
type Result uint8

// The results of a request.
const (
	// Served means that the upstream answered in full.
	Served Result = iota
	// Failed means that the upstream answered with an error of its own (status 500 and above).
	Failed
	// Lost means that the connection broke, was refused or went silent.
	Lost
	// Abandoned means that the caller or the deadline ended the request; it says little about the upstream.
	Abandoned
)

// Leave gives a slot back.
func (l *Limiter) Leave(now time.Time, t *Ticket, r Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t.state != running {
		return
	}
	t.state = ended
	l.active = slices.DeleteFunc(l.active, func(a *Ticket) bool { return a == t })
	l.observe(now, r, now.Sub(t.startedAt))
	if l.limit < 1 {
		// After a request of time d, a pause of d*(1/limit-1) keeps the mean load at limit.
		l.pacedUntil = now.Add(time.Duration((1/l.limit - 1) * float64(min(max(now.Sub(t.startedAt), minService), maxPace))))
	}
	l.advance(now)
}

// TurnCold starts a cold start, for example when the upstream's connections break or its zone returns.
func (l *Limiter) TurnCold(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.begin(now, l.Slots, l.Watcher)
	l.cool(now, Returned)
}

// SetSlots changes the number of requests that the upstream serves at once. Requests beyond a lower number finish.
func (l *Limiter) SetSlots(now time.Time, slots registrar.Slots) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.begin(now, slots, l.Watcher)
	l.setSlots(slots)
	l.advance(now)
}

// AdmitFlow reports whether a new flow should stay with this upstream. Flows cost the upstream nothing by themselves, so the
// answer is no only if requests wait long or the upstream fails.
func (l *Limiter) AdmitFlow(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.begin(now, l.Slots, l.Watcher)
	return l.failures < failureRun && len(l.queue) < queueLimit/2 && l.wait(len(l.queue)+len(l.active)) < flowWait
}

// Stats is a reading of the limiter.
type Stats struct {
	Limit   float64
	Queued  int
	Running int
	Service time.Duration
	Cold    bool
}

// Stats returns a reading.
func (l *Limiter) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Stats{Limit: l.limit, Queued: len(l.queue), Running: len(l.active), Service: l.service, Cold: l.cold}
}
