package steerer

import (
	"time"

	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

const (
	// roomLifetime is how long the count of a service's room is used, since counting looks at every upstream.
	roomLifetime = 10 * time.Millisecond
	// openingLead is the time from the release of an opening packet to the first request on its flow. Slots that are freed within it and two
	// report intervals count as room. Without that, slots stay empty during a shortage. maxLead bounds the sum of both, since a longer
	// queue at the upstream ignores the order at the entry.
	openingLead   = 10 * time.Millisecond
	leadIntervals = 2
	maxLead       = 80 * time.Millisecond
	// A request in a shortage is expected to take shortageServiceTimes mean service times besides the wait for a slot, since half of them
	// take longer than the mean. maxShortageShare bounds the estimate to a fraction of the target latency. Otherwise all requests would
	// count as late while upstreams are cold, and their order would be lost.
	shortageServiceTimes = 2
	maxShortageShare     = 0.7
)

// room is how many new flows fit at an upstream, or at all upstreams of a service.
type room struct {
	// idle counts idle slots, and the allowance of cold upstreams.
	idle int
	// lead also counts the slots that will be idle when the first requests arrive.
	lead int
}

// serviceRoom is what the load reports of a service have shown.
type serviceRoom struct {
	room
	countedAt time.Time
	// movedAt is when a report has last shown room while packets waited.
	movedAt time.Time
	// serviceTime is the mean service time of the upstreams that take flows; 0 if unknown.
	serviceTime time.Duration
}

// take counts a flow that leaves for an upstream.
func (r *room) take() {
	r.idle--
	r.lead--
}

// lateAt returns the time from which a request is probably answered after its target latency.
func lateAt(sentAt time.Time, target, serviceTime time.Duration) time.Time {
	return sentAt.Add(target - min(shortageServiceTimes*serviceTime+maxLead, time.Duration(maxShortageShare*float64(target))))
}

// room returns the room of a service as counted within roomLifetime. The queue must be locked.
func (s *Steerer) room(now time.Time, name registrar.ServiceName) *serviceRoom {
	if r := s.waiting.rooms[name]; r != nil && now.Sub(r.countedAt) < roomLifetime {
		return r
	}
	return s.countRoom(now, name)
}

// countRoom counts the room of a service. The queue must be locked.
func (s *Steerer) countRoom(now time.Time, name registrar.ServiceName) *serviceRoom {
	r := s.waiting.rooms[name]
	if r == nil {
		r = &serviceRoom{}
		s.waiting.rooms[name] = r
	}
	r.countedAt, r.room, r.serviceTime = now, room{}, 0
	p := s.current().pools[name]
	if p == nil {
		return r
	}
	var sum time.Duration
	measured := 0
	for _, m := range p.members {
		if !m.takesNewFlows {
			continue
		}
		free, serviceTime := m.load.roomAndServiceTime(now)
		r.idle += free.idle
		r.lead += free.lead
		if serviceTime > 0 {
			sum += serviceTime
			measured++
		}
	}
	if measured > 0 {
		r.serviceTime = sum / time.Duration(measured)
	}
	return r
}

// isOpen reports whether any upstream of the pool takes new flows by configuration.
func (p *pool) isOpen() bool { return p != nil && len(p.open) > 0 }

// room returns how many new flows fit at the upstream.
func (l *load) room(now time.Time) room {
	r, _ := l.roomAndServiceTime(now)
	return r
}

// roomAndServiceTime returns how many new flows fit at the upstream, and its service time if it is known and takes flows.
func (l *load) roomAndServiceTime(now time.Time) (room, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.newest
	if l.reportedAt.IsZero() || now.Sub(l.reportedAt) > reportLifetime || !r.Accepting {
		return room{}, 0
	}
	serviceTime := time.Duration(r.ServiceTimeMicros) * time.Microsecond
	if r.Cold {
		left := max(int(r.Allowance)-l.placedSinceReport, 0)
		return room{idle: left, lead: left}, serviceTime
	}
	free := int(r.Slots) - int(r.InFlight) - l.placedSinceReport
	return room{idle: max(free, 0), lead: max(free+l.freedSlots(serviceTime), 0)}, serviceTime
}

// freedSlots returns how many slots of a busy upstream are freed before the first request of a flow arrives that leaves now.
func (l *load) freedSlots(serviceTime time.Duration) int {
	if serviceTime == 0 {
		return 0
	}
	lead := min(openingLead+leadIntervals*min(l.interval, maxLead), maxLead)
	return int((time.Duration(l.newest.Slots)*lead + serviceTime - 1) / serviceTime)
}

// placeInRoom places a flow at an upstream whose report shows room; others would return the packet. A request that is late anyway only
// uses idle slots.
func (s *Steerer) placeInRoom(p callerPacket, late bool) Decision {
	return s.placeAmong(p, s.current().poolFor(p.route, p.hash).candidatesInRoom(p.now, p.hash, late), nil)
}

// candidatesInRoom returns the upstreams whose reports show room; for a request that is late anyway, an idle slot.
func (p *pool) candidatesInRoom(now time.Time, hash uint64, late bool) candidates {
	s, healthy := selection{pool: p, now: now, hash: hash}, make([]choice, 0, maxCandidates)
	for i, m := range p.open {
		score := mix(hash ^ p.idHashes[i])
		if s.complete() && score <= s.scores[maxCandidates-1] {
			continue
		}
		if free := m.load.room(now); free.idle > 0 || free.lead > 0 && !late {
			healthy = s.add(healthy, m, score)
		}
	}
	return candidates{healthy: healthy, failing: s.rankedFailing(), hasOpen: len(p.open) > 0}
}
