package steerer

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/peridotstage/peridotstage/internal/admit/queuer"
	"github.com/peridotstage/peridotstage/internal/route/carrier"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

const (
	// maxWait is how long after the first copy an opening packet leaves at the latest. The caller ends its attempt after 1.4 s.
	maxWait = 1300 * time.Millisecond
	// returnPause is how long a packet that an agent returned waits at least. It covers the way to the agent and a newer load report.
	returnPause = 20 * time.Millisecond
	// movingTime bounds how long new packets wait behind others while no report shows room. It lets the queues of the upstreams drain, which
	// hold as many requests as agents expect to be answered in time. After it, requests on open flows fill the upstreams, and an agent may admit new
	// flows beyond the room that its report shows. A shorter time would let fresh packets of lower
	// priority pass those that wait.
	movingTime = 300 * time.Millisecond
)

// copyDelays are the times from the first copy of an opening packet to each copy.
var copyDelays = [...]time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

// waitingOpenings holds the opening packets that wait for room. One lock guards them all, because the order in which they leave, and the
// one that is dropped when the queue is full, depend on all of them. The lock is held for a few microseconds. While no packet waits, a
// packet of an open flow does not take it, and an opening packet takes it only if there is no room for it.
type waitingOpenings struct {
	mu    sync.Mutex
	queue *queuer.Queue
	// rooms holds the room of the services that packets wait for.
	rooms map[registrar.ServiceName]*serviceRoom
	// view is the configuration by which the services of the waiting packets were chosen.
	view *view
	// count is the number of waiting packets, which is read without the lock.
	count atomic.Int64
	stats [waitOutcomeCount]atomic.Int64
}

// WaitOutcome is the end of a wait for room.
type WaitOutcome int

// The outcomes of a wait.
const (
	// WaitPlaced means that the packet left for an upstream.
	WaitPlaced WaitOutcome = iota
	// WaitReturned means that an agent returned the packet after that, so that it waits again.
	WaitReturned
	// WaitExpired means that no room appeared in time.
	WaitExpired
	// WaitQueueFull means that the packet gave way to others in a full queue.
	WaitQueueFull
	// WaitWithdrawn means that the route or all its upstreams were withdrawn.
	WaitWithdrawn
	waitOutcomeCount
)

var waitOutcomes = [waitOutcomeCount]string{"placed", "returned", "expired", "queue_full", "withdrawn"}

// String returns the outcome in snake case.
func (o WaitOutcome) String() string { return waitOutcomes[o] }

// Ended is the decision about a packet that does not wait any more.
type Ended struct {
	Flow     registrar.Flow
	Decision Decision
}

// Waiting returns the number of opening packets that wait for room.
func (s *Steerer) Waiting() int { return int(s.waiting.count.Load()) }

// WaitOutcomes calls f with the number of waits that ended with each outcome.
func (s *Steerer) WaitOutcomes(f func(o WaitOutcome, n int64)) {
	for o := range s.waiting.stats {
		f(WaitOutcome(o), s.waiting.stats[o].Load())
	}
}

// locked calls f with the queue locked.
func (w *waitingOpenings) locked(limit int, f func(q *queuer.Queue)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.queue == nil {
		w.queue, w.rooms = queuer.New(limit), map[registrar.ServiceName]*serviceRoom{}
	}
	f(w.queue)
	w.count.Store(int64(w.queue.Len()))
}

func (s *Steerer) withQueue(f func(q *queuer.Queue)) { s.waiting.locked(s.MaxWaiting, f) }

// openFlow handles an opening packet: it goes to an upstream, or waits for room if waiting is on.
func (s *Steerer) openFlow(p callerPacket) Decision {
	if s.MaxWaiting == 0 {
		return s.openNow(p)
	}
	if s.Waiting() > 0 {
		if d, waits := s.joinWaiting(p); waits {
			return d
		}
	}
	d := s.openNow(p)
	if d.Action == Drop && d.Reason == ReasonNoRoom {
		return s.waitOr(p, d)
	}
	return d
}

// joinWaiting makes a packet wait if its flow waits already, or if packets that come before it leave for the room that appears.
func (s *Steerer) joinWaiting(p callerPacket) (d Decision, waits bool) {
	yields := false
	s.withQueue(func(q *queuer.Queue) {
		if waits = q.Copy(p.now, p.flow, p.seg.Attempt()); waits || p.record() != nil && p.seg.Attempt() > 0 {
			return
		}
		service := selectTarget(p.route, p.hash)
		if ahead, since := q.Ahead(p.now, service, p.route.Priority); ahead > 0 {
			r := s.room(p.now, service)
			yields = r.lead <= ahead && p.now.Sub(later(r.movedAt, since)) <= movingTime
		}
	})
	if yields {
		return s.waitOr(p, Decision{Reason: ReasonNoRoom}), true
	}
	return Decision{Action: Wait, Reason: ReasonNoRoom, WaitsAlready: true}, waits
}

// waitOr makes the opening packet of a flow wait that has no upstream. If it is too old for that, the decision is otherwise.
func (s *Steerer) waitOr(p callerPacket, otherwise Decision) Decision {
	sentAt := p.now.Add(-copyDelays[min(int(p.seg.Attempt()), len(copyDelays)-1)])
	o := queuer.Opening{
		Flow: p.flow, Priority: p.route.Priority, Attempt: p.seg.Attempt(), SentAt: sentAt,
		ExpiresAt: sentAt.Add(min(maxWait, time.Duration(p.route.Timeout)*time.Millisecond)),
	}
	if !p.now.Before(o.ExpiresAt) {
		return otherwise
	}
	s.remove(p.shard, p.flow)
	return s.enqueue(p, o, (*queuer.Queue).Add)
}

// enqueue adds an opening packet to the queue, for the service that its route now selects.
func (s *Steerer) enqueue(p callerPacket, o queuer.Opening, add func(*queuer.Queue, time.Time, queuer.Opening) (queuer.Opening, bool)) Decision {
	o.Service = selectTarget(p.route, p.hash)
	var dropped queuer.Opening
	var full bool
	s.withQueue(func(q *queuer.Queue) {
		r := s.room(p.now, o.Service)
		o.LateAt = lateAt(o.SentAt, p.route.EffectiveTargetLatency(), r.serviceTime)
		dropped, full = add(q, p.now, o)
	})
	if !full {
		return Decision{Action: Wait, Reason: ReasonNoRoom}
	}
	ended := s.endWait(p.now, dropped, WaitQueueFull)
	if dropped.Flow == o.Flow {
		return ended.Decision
	}
	return Decision{Action: Wait, Reason: ReasonNoRoom, Displaced: &ended}
}

// endWait decides about a packet that has expired or that others displaced. A caller that sends no more copies is told at once that the
// queue is full. After an expiry its attempt is over almost as soon, so that a reset would gain nothing.
func (s *Steerer) endWait(now time.Time, o queuer.Opening, outcome WaitOutcome) Ended {
	s.waiting.stats[outcome].Add(1)
	d := Decision{Reason: ReasonWaitExpired, Waited: now.Sub(o.SentAt)}
	if outcome == WaitQueueFull {
		d.Reason = ReasonQueueFull
		if o.Attempt >= lastAttempt {
			d.Action = Reset
		}
	}
	return Ended{Flow: o.Flow, Decision: d}
}

// returnToWait handles an opening packet for which no agent had room: it waits, or waits again if it has waited before.
func (s *Steerer) returnToWait(p callerPacket, rec *flowRecord, d Decision) Decision {
	if s.MaxWaiting == 0 || d.Reason != ReasonNoRoom || !s.current().poolFor(p.route, p.hash).isOpen() {
		return d
	}
	if rec.waited == nil {
		return s.waitOr(p, d)
	}
	s.waiting.stats[WaitReturned].Add(1)
	return s.waitAgain(p, *rec.waited)
}

// waitsAgain reports whether a packet that has waited, and that an agent returned for the given reason, waits again. It is not tried
// elsewhere, because the reports of others are used for the packets that come first.
func waitsAgain(rec *flowRecord, reason carrier.ReturnReason) bool {
	return rec.waited != nil && meansNoRoom(reason)
}

// waitAgain puts a packet back that found no room. If it has expired meanwhile, the queue reports that at the next tick.
func (s *Steerer) waitAgain(p callerPacket, o queuer.Opening) Decision {
	o.ReadyAt, o.Attempt = p.now.Add(returnPause), max(o.Attempt, p.seg.Attempt())
	d := s.enqueue(p, o, (*queuer.Queue).Return)
	d.WaitsAlready = true
	return d
}

// ReleaseAt returns the decisions about waiting packets that leave because of the newest load report of the agent at an address.
func (s *Steerer) ReleaseAt(now time.Time, agent netip.AddrPort) []Ended {
	if s.Waiting() == 0 {
		return nil
	}
	m := s.current().memberAt(agent)
	if m == nil || !m.takesNewFlows {
		return nil
	}
	return s.release(now, m.service, m.load.room(now), nil)
}

// ReleaseAll returns the decisions about all waiting packets that leave now or have expired. It is called every 20 ms.
func (s *Steerer) ReleaseAll(now time.Time) []Ended {
	if s.Waiting() == 0 {
		return nil
	}
	var ended []Ended
	var expired []queuer.Opening
	rooms := map[registrar.ServiceName]room{}
	v := s.current()
	s.withQueue(func(q *queuer.Queue) {
		expired = q.Expired(now)
		s.followConfiguration(now, q, v)
		for _, name := range q.Services() {
			if rooms[name] = s.countRoom(now, name).room; !v.pools[name].isOpen() {
				// Their placement decides that no upstream takes them any more.
				rooms[name] = room{idle: q.Waiting(name), lead: q.Waiting(name)}
			}
		}
	})
	for _, o := range expired {
		ended = append(ended, s.endWait(now, o, WaitExpired))
	}
	for name, r := range rooms {
		ended = s.release(now, name, r, ended)
	}
	return ended
}

// followConfiguration makes packets wait for the services that a new configuration selects.
func (s *Steerer) followConfiguration(now time.Time, q *queuer.Queue, v *view) {
	if s.waiting.view == v {
		return
	}
	s.waiting.view = v
	clear(s.waiting.rooms)
	q.Move(now, func(o queuer.Opening) registrar.ServiceName {
		if r, ok := s.World.Route(o.Flow.Service); ok {
			return selectTarget(r, o.Flow.Hash())
		}
		return o.Service
	})
}

// release lets as many packets leave that wait for a service as there is room for.
func (s *Steerer) release(now time.Time, name registrar.ServiceName, r room, ended []Ended) []Ended {
	if r.lead > 0 {
		s.withQueue(func(*queuer.Queue) { s.room(now, name).movedAt = now })
	}
	for i := range r.lead {
		var o queuer.Opening
		var ok bool
		s.withQueue(func(q *queuer.Queue) {
			if o, ok = q.Take(now, name, i < r.idle); ok {
				s.room(now, name).take()
			}
		})
		if !ok {
			return ended
		}
		d := s.placeWaiting(now, o)
		if d.Displaced != nil {
			ended = append(ended, *d.Displaced)
		}
		if d.Action == Wait {
			return ended
		}
		ended = append(ended, Ended{Flow: o.Flow, Decision: d})
	}
	return ended
}

// placeWaiting places a packet that has waited, by the present configuration. If there is no room after all, it waits again.
func (s *Steerer) placeWaiting(now time.Time, o queuer.Opening) Decision {
	seg := &carrier.Segment{From: o.Flow.Caller, To: o.Flow.Service, Flags: carrier.Open, Acknowledged: o.Attempt}
	p, ok, d := s.lockFlow(now, seg)
	if ok {
		defer p.unlock()
		d = s.placeInRoom(p, !now.Before(o.LateAt))
	}
	switch {
	case d.Action == Pass:
		s.waiting.stats[WaitPlaced].Add(1)
		if rec := p.record(); rec != nil {
			rec.waited = &o
		}
		d.Header.Waited = ticksOf(now.Sub(o.SentAt))
	case ok && d.Reason == ReasonNoRoom:
		return s.waitAgain(p, o)
	default:
		s.waiting.stats[WaitWithdrawn].Add(1)
	}
	d.Waited = now.Sub(o.SentAt)
	return d
}

// ticksOf returns a time in units of carrier.ReportTick, bounded by what a header holds.
func ticksOf(d time.Duration) carrier.ReportTicks {
	return carrier.ReportTicks(min(d/carrier.ReportTick, time.Duration(carrier.MaxReportTicks)))
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
