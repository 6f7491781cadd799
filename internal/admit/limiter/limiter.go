// Package limiter limits the number of requests that an upstream runs at a time. The limit adapts to measured service times and
// failures, not to the upstream's health or load endpoints, because those report late and may be wrong.
package limiter

import (
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// Errors of Enter and Ticket.Err. Each means that the request did not and will not get a slot.
var (
	// ErrFull means that the queue is full.
	ErrFull = eris.New("queue is full")
	// ErrDeadline means that the request cannot be finished before its deadline.
	ErrDeadline = eris.New("deadline cannot be met")
	// ErrCancelled means that the caller cancelled the request while it was queued.
	ErrCancelled = eris.New("cancelled while queued")
)

const (
	// maxQueued bounds the number of queued requests. It exceeds the number of callers that wait at one upstream of an order desk
	// with 2,000 connections over three upstreams; deadlines bound the wait itself.
	maxQueued = 1024
	// maxFlowWait is the expected wait in the queue from which new flows go to the second choice of their bucket.
	maxFlowWait = 1 * time.Second
)

// Alarm calls Limiter.Advance at the time of the last SetAlarm call. Calling Advance from within SetAlarm deadlocks, because the
// limiter's lock is held.
type Alarm interface {
	SetAlarm(at time.Time)
}

type state uint8

const (
	queued state = iota
	running
	ended
)

// Ticket is the place of one request in the queue or in a slot.
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

// Err returns the reason for the refusal after Ready is closed; nil if the request has a slot.
func (t *Ticket) Err() error { return t.err }

// Limiter limits the requests to one upstream. The exported fields are set before first use.
type Limiter struct {
	// Slots is the initial number of slots. SetSlots changes it later.
	Slots registrar.Slots
	// Alarm may be nil if Advance is called periodically.
	Alarm Alarm
	// Watcher may be nil.
	Watcher Watcher

	mu sync.Mutex
	estimator
	// queue is ordered by deadline, earliest first.
	queue []*Ticket
	// active holds the requests that have a slot, oldest first.
	active []*Ticket
	// nextStartAt is the earliest start of the next request while the limit is below one slot.
	nextStartAt time.Time
}

// Enter requests a slot. The request is granted or refused at once or later, which the ticket reports. A request that cannot meet
// its deadline or finds the queue full gets an error instead of a ticket.
func (l *Limiter) Enter(now, deadline time.Time) (*Ticket, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.initialize(now, l.Slots, l.Watcher)
	l.noteArrival(now, len(l.active))
	position, _ := slices.BinarySearchFunc(l.queue, deadline, func(t *Ticket, d time.Time) int {
		if t.deadline.After(d) {
			return 1
		}
		return -1
	})
	if now.Add(l.expectedWait(position + len(l.active))).Add(l.expectedRunTime()).After(deadline) {
		return nil, ErrDeadline
	}
	if len(l.queue) >= maxQueued {
		return nil, ErrFull
	}
	t := &Ticket{deadline: deadline, ready: make(chan struct{})}
	l.queue = slices.Insert(l.queue, position, t)
	l.advance(now)
	return t, nil
}

// expectedRunTime is the time that a request is expected to occupy its slot. Under overload each request starts as late as its
// deadline allows, so without the margin for the deviation half of the requests would miss their deadlines.
func (l *Limiter) expectedRunTime() time.Duration {
	return l.serviceTime + l.serviceTime/8 + 2*l.deviation
}

// expectedWait estimates the time until a request gets a slot, with requestsAhead queued and running requests before it.
func (l *Limiter) expectedWait(requestsAhead int) time.Duration {
	requestsToFinish := float64(requestsAhead + 1 - int(max(l.limit, 1)))
	if requestsToFinish <= 0 {
		return 0
	}
	return time.Duration(requestsToFinish / l.limit * float64(l.serviceTime))
}

// Advance refuses queued requests that can no longer meet their deadlines, and starts requests while slots are free.
func (l *Limiter) Advance(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.initialize(now, l.Slots, l.Watcher)
	l.advance(now)
}

func (l *Limiter) advance(now time.Time) {
	for len(l.queue) > 0 && l.mayStart(now) {
		t := l.queue[0]
		l.queue = slices.Delete(l.queue, 0, 1)
		if now.Add(l.expectedRunTime()).After(t.deadline) {
			t.end(ErrDeadline)
			continue
		}
		t.state, t.startedAt = running, now
		l.active = append(l.active, t)
		close(t.ready)
	}
	l.refuseUnmeetable(now)
	l.setAlarm(now)
}

func (l *Limiter) mayStart(now time.Time) bool {
	return len(l.active) < l.concurrency(now) && !now.Before(l.nextStartAt)
}

// concurrency returns how many requests may run at once. While a running request takes so long that the upstream may have turned
// cold, no other request starts. After a slow answer the next request runs alone, because its duration decides whether the
// upstream is cold.
func (l *Limiter) concurrency(now time.Time) int {
	holding, stuck := false, false
	for _, t := range l.active {
		holdStart, holdEnd := l.holdWindow(t.startedAt)
		holding = holding || now.After(holdStart) && now.Before(holdEnd)
		stuck = stuck || holdStart.Before(holdEnd) && !now.Before(holdEnd)
	}
	if holding || l.slowRequests > 0 && !stuck {
		return 1
	}
	return max(int(l.limit), 1)
}

// nextHoldEnd returns the earliest time at which a slow running request stops keeping others from starting.
func (l *Limiter) nextHoldEnd(now time.Time) (earliest time.Time, ok bool) {
	for _, t := range l.active {
		if _, holdEnd := l.holdWindow(t.startedAt); holdEnd.After(now) && (!ok || holdEnd.Before(earliest)) {
			earliest, ok = holdEnd, true
		}
	}
	return earliest, ok
}

// refuseUnmeetable refuses the queued requests that would miss their deadlines even if all requests ahead of them take the
// measured service time.
func (l *Limiter) refuseUnmeetable(now time.Time) {
	kept := l.queue[:0]
	for _, t := range l.queue {
		if now.Add(l.expectedRunTime()).After(t.deadline) || now.Add(l.expectedWait(len(kept))).After(t.deadline) {
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
	alarmAt := l.queue[0].deadline.Add(-l.expectedRunTime())
	if len(l.active) == 0 && l.nextStartAt.After(now) && l.nextStartAt.Before(alarmAt) {
		alarmAt = l.nextStartAt
	}
	if holdEnd, ok := l.nextHoldEnd(now); ok && holdEnd.Before(alarmAt) {
		alarmAt = holdEnd
	}
	l.Alarm.SetAlarm(alarmAt)
}

func (t *Ticket) end(err error) {
	t.state, t.err = ended, err
	close(t.ready)
}

// Cancel removes a queued request. It returns false if the request already has a slot; the caller then releases it with Leave.
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

// Result is how the upstream handled a request.
type Result uint8

// The results of a request.
const (
	// Served means that the upstream answered in full.
	Served Result = iota
	// Failed means that the upstream answered with an error of its own (status 500 and above).
	Failed
	// Lost means that the connection was refused, broke or timed out.
	Lost
	// Abandoned means that the caller cancelled the request or that its deadline passed. Only the duration of such a request is
	// evidence about the upstream.
	Abandoned
)

// Leave releases the slot of a request and records the result.
func (l *Limiter) Leave(now time.Time, t *Ticket, result Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t.state != running {
		return
	}
	t.state = ended
	l.active = slices.DeleteFunc(l.active, func(a *Ticket) bool { return a == t })
	l.recordResult(now, result, now.Sub(t.startedAt))
	if l.limit < 1 {
		// After a request of duration d, a pause of d*(1/limit-1) keeps the mean load at limit.
		l.nextStartAt = now.Add(time.Duration((1/l.limit - 1) * float64(min(max(now.Sub(t.startedAt), minServiceTime), maxPacedTime))))
	}
	l.advance(now)
}

// TurnCold begins a cold start, for example when the upstream's connections break or its zone returns.
func (l *Limiter) TurnCold(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.initialize(now, l.Slots, l.Watcher)
	l.startCold(now, ReasonAnnounced)
}

// SetSlots changes the number of slots. If the number falls, running requests in excess of it still finish.
func (l *Limiter) SetSlots(now time.Time, slots registrar.Slots) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.initialize(now, slots, l.Watcher)
	l.setSlots(slots)
	l.advance(now)
}

// AdmitFlow reports whether a new flow should be placed on this upstream. A flow without requests costs the upstream nothing, so
// AdmitFlow returns false only if queued requests wait long or the upstream fails.
func (l *Limiter) AdmitFlow(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.initialize(now, l.Slots, l.Watcher)
	return l.failures < failureThreshold && len(l.queue) < maxQueued/2 && l.expectedWait(len(l.queue)+len(l.active)) < maxFlowWait
}

// Stats is a snapshot of the limiter's state.
type Stats struct {
	Limit       float64
	Queued      int
	Running     int
	ServiceTime time.Duration
	Cold        bool
}

// Stats returns a snapshot of the state.
func (l *Limiter) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Stats{Limit: l.limit, Queued: len(l.queue), Running: len(l.active), ServiceTime: l.serviceTime, Cold: l.cold}
}
