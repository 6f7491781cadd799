// Package queuer holds the opening packets that wait at an entry because no upstream has room for their flows. It decides which of them
// leaves first when room appears, which is dropped when the queue is full, and which has waited too long. It holds no packet bytes, no
// socket and no clock.
package queuer

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

const (
	// callerDivisor bounds the opening packets of one caller address to this fraction of a full queue.
	callerDivisor = 4
	// maxCallersPerOpening bounds the callers whose placements are counted, for each opening packet that the queue may hold.
	maxCallersPerOpening = 4
)

// Opening is an opening packet that waits.
type Opening struct {
	Flow    registrar.Flow
	Service registrar.ServiceName
	// Priority is that of the route; 0 comes first.
	Priority registrar.Priority
	// Attempt is the number of copies that the caller sent before the newest one.
	Attempt uint32
	// SentAt is when the caller sent the first copy.
	SentAt time.Time
	// LateAt is the time from which the request would probably be answered after its target latency.
	LateAt time.Time
	// ExpiresAt is when the wait ends.
	ExpiresAt time.Time
	// ReadyAt is the time before which the packet may not leave; zero if it may leave at once.
	ReadyAt time.Time
}

// waiting is an opening packet in the queue.
type waiting struct {
	Opening
	caller *caller
	// group is nil until ReadyAt.
	group *group
	late  bool
	// dueAt is the next time at which the queue has to look at the packet, and timer its index in the heap of timers.
	dueAt time.Time
	timer int
}

// caller is an address of callers with waiting packets, or with placements during the present shortage.
type caller struct {
	address netip.Addr
	waiting int
	// placements is the number of packets that have left the queue for an upstream during the shortage.
	placements int
	groups     []*group
}

// group holds the packets of one caller in one class, oldest first.
type group struct {
	class   *class
	caller  *caller
	packets []*waiting
	// next and last are the indices in the heaps of the class.
	next, last int
}

// rank is the number of placements of the caller before the packet at the end of the group leaves.
func (g *group) rank() int { return g.caller.placements + len(g.packets) }

func (g *group) oldest() *waiting   { return g.packets[0] }
func (g *group) youngest() *waiting { return g.packets[len(g.packets)-1] }

// class holds the packets of one service that come before or after all others of the service, apart from their callers and age.
type class struct {
	late     bool
	priority registrar.Priority
	groups   map[*caller]*group
	// next is the heap of groups by the order of leaving, and last that by the order of being dropped.
	next, last heap[*group]
	waiting    int
	// waitingSince is when the first packet came after a time without any.
	waitingSince time.Time
}

func newClass(late bool, priority registrar.Priority) *class {
	return &class{
		late: late, priority: priority, groups: map[*caller]*group{},
		next: heap[*group]{before: leavesBefore, setIndex: func(g *group, i int) { g.next = i }},
		last: heap[*group]{before: droppedBefore, setIndex: func(g *group, i int) { g.last = i }},
	}
}

// leavesBefore orders groups of one class by the placements of their callers, and then by age.
func leavesBefore(a, b *group) bool {
	if a.caller.placements != b.caller.placements {
		return a.caller.placements < b.caller.placements
	}
	return a.oldest().SentAt.Before(b.oldest().SentAt)
}

// droppedBefore orders groups of one class by which of their youngest packets would leave last. A caller with many waiting packets
// thus loses them before a caller with few.
func droppedBefore(a, b *group) bool {
	if a.rank() != b.rank() {
		return a.rank() > b.rank()
	}
	return a.youngest().SentAt.After(b.youngest().SentAt)
}

// compareClasses orders the classes of a service.
func compareClasses(a, b *class) int {
	if a.late != b.late {
		if a.late {
			return 1
		}
		return -1
	}
	return cmp.Compare(a.priority, b.priority)
}

// service holds the classes of one service in their order. Empty classes stay until the service has no waiting packet.
type service struct {
	classes []*class
	// waiting includes packets that are not ready.
	waiting int
}

func (s *service) class(late bool, priority registrar.Priority) *class {
	c := newClass(late, priority)
	i, found := slices.BinarySearchFunc(s.classes, c, compareClasses)
	if !found {
		s.classes = slices.Insert(s.classes, i, c)
	}
	return s.classes[i]
}

// Queue holds the waiting opening packets of an entry. It is not safe for concurrent use: the order compares all waiting packets, so the
// caller guards the whole queue with one lock.
type Queue struct {
	// Max is the largest number of waiting packets. It is set before first use.
	Max int

	flows    map[registrar.Flow]*waiting
	services map[registrar.ServiceName]*service
	callers  map[netip.Addr]*caller
	timers   heap[*waiting]
	// expired holds the packets that have expired since the last call of Expired.
	expired []Opening
}

// New returns a queue for up to limit opening packets.
func New(limit int) *Queue {
	return &Queue{
		Max: limit, flows: map[registrar.Flow]*waiting{}, services: map[registrar.ServiceName]*service{}, callers: map[netip.Addr]*caller{},
		timers: heap[*waiting]{
			before:   func(a, b *waiting) bool { return a.dueAt.Before(b.dueAt) },
			setIndex: func(w *waiting, i int) { w.timer = i },
		},
	}
}

// Len returns the number of waiting packets, with those that have expired and that Expired has not returned yet.
func (q *Queue) Len() int { return len(q.flows) + len(q.expired) }

// Waiting returns the number of packets that wait for a service.
func (q *Queue) Waiting(name registrar.ServiceName) int {
	if s := q.services[name]; s != nil {
		return s.waiting
	}
	return 0
}

// Services returns the services that packets wait for.
func (q *Queue) Services() []registrar.ServiceName {
	names := make([]registrar.ServiceName, 0, len(q.services))
	for name := range q.services {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Ahead returns the number of ready packets of a service that come before a new one of the given priority that can be answered within its
// target latency, whoever their callers are, and since when any of them or others before them have waited.
func (q *Queue) Ahead(now time.Time, name registrar.ServiceName, priority registrar.Priority) (n int, since time.Time) {
	q.advance(now)
	s := q.services[name]
	if s == nil {
		return 0, since
	}
	for _, c := range s.classes {
		if c.late || c.priority > priority {
			break
		}
		if c.waiting > 0 && c.waitingSince.After(since) {
			since = c.waitingSince
		}
		n += c.waiting
	}
	return n, since
}

// Copy records another copy of a waiting opening packet, which keeps its place. It reports whether the flow waits.
func (q *Queue) Copy(now time.Time, f registrar.Flow, attempt uint32) bool {
	q.advance(now)
	w := q.flows[f]
	if w == nil {
		return false
	}
	w.Attempt = max(w.Attempt, attempt)
	return true
}

// Add makes an opening packet wait, unless its flow waits already. If the queue is full, or the caller has too many packets in it, the
// packet that comes last in the order is dropped and returned, which may be the new one.
func (q *Queue) Add(now time.Time, o Opening) (dropped Opening, full bool) {
	q.advance(now)
	if q.flows[o.Flow] != nil {
		return dropped, false
	}
	w := &waiting{Opening: o, caller: q.caller(o.Flow.Caller.Addr()), late: !now.Before(o.LateAt)}
	q.flows[o.Flow] = w
	w.caller.waiting++
	q.service(o.Service).waiting++
	q.start(w, now)
	last := w
	switch {
	case w.caller.waiting > max(q.Max/callerDivisor, 1):
		last = lastOf(w.caller.groups, w)
	case len(q.flows) > q.Max:
		last = q.last(w)
	default:
		return dropped, false
	}
	q.remove(last)
	return last.Opening, true
}

// Return makes a packet that Take has returned wait again at its old place.
func (q *Queue) Return(now time.Time, o Opening) (dropped Opening, full bool) {
	if c := q.callers[o.Flow.Caller.Addr()]; c != nil && c.placements > 0 {
		q.countPlacement(c, -1)
	}
	return q.Add(now, o)
}

// Take removes and returns the packet of a service that leaves next, and counts a placement of its caller. ok is false if none is ready;
// packets whose requests would be late are only taken if mayBeLate is true.
func (q *Queue) Take(now time.Time, name registrar.ServiceName, mayBeLate bool) (o Opening, ok bool) {
	q.advance(now)
	s := q.services[name]
	if s == nil {
		return o, false
	}
	for _, c := range s.classes {
		if c.late && !mayBeLate {
			return o, false
		}
		if g, found := c.next.first(); found {
			w := g.oldest()
			q.countPlacement(w.caller, 1)
			q.remove(w)
			return w.Opening, true
		}
	}
	return o, false
}

// Move changes the service that packets wait for, where service returns another one.
func (q *Queue) Move(now time.Time, serviceOf func(o Opening) registrar.ServiceName) {
	q.advance(now)
	for _, w := range q.flows {
		name := serviceOf(w.Opening)
		if name == w.Service {
			continue
		}
		q.ungroup(w)
		q.leaveService(w)
		w.Service = name
		q.service(name).waiting++
		q.timers.remove(w.timer)
		q.start(w, now)
	}
}

// Expired returns the packets that have expired since its last call, in no order.
func (q *Queue) Expired(now time.Time) []Opening {
	q.advance(now)
	expired := q.expired
	q.expired = nil
	return expired
}

func (q *Queue) service(name registrar.ServiceName) *service {
	s := q.services[name]
	if s == nil {
		s = &service{}
		q.services[name] = s
	}
	return s
}

// caller returns the record of a caller address. If there are too many, those without waiting packets are forgotten.
func (q *Queue) caller(a netip.Addr) *caller {
	if c := q.callers[a]; c != nil {
		return c
	}
	if len(q.callers) >= maxCallersPerOpening*q.Max {
		q.forgetPlacements()
	}
	c := &caller{address: a}
	q.callers[a] = c
	return c
}

func (q *Queue) forgetPlacements() {
	for a, c := range q.callers {
		if c.waiting == 0 {
			delete(q.callers, a)
		}
	}
}

// countPlacement changes the placements of a caller and the order of its groups.
func (q *Queue) countPlacement(c *caller, n int) {
	c.placements += n
	for _, g := range c.groups {
		g.class.next.fix(g.next)
		g.class.last.fix(g.last)
	}
}

// start schedules a packet that is in no group, and puts it in one if it is ready.
func (q *Queue) start(w *waiting, now time.Time) {
	w.dueAt = w.ExpiresAt
	if now.Before(w.ReadyAt) {
		w.dueAt = earlier(w.dueAt, w.ReadyAt)
	} else {
		w.late = !now.Before(w.LateAt)
		if !w.late {
			w.dueAt = earlier(w.dueAt, w.LateAt)
		}
		q.group(w, now)
	}
	q.timers.push(w)
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// group puts a packet in the group of its caller and class.
func (q *Queue) group(w *waiting, now time.Time) {
	c := q.service(w.Service).class(w.late, w.Priority)
	g := c.groups[w.caller]
	if g == nil {
		g = &group{class: c, caller: w.caller, packets: []*waiting{w}}
		c.groups[w.caller] = g
		w.caller.groups = append(w.caller.groups, g)
		c.next.push(g)
		c.last.push(g)
	} else {
		g.packets = slices.Insert(g.packets, g.position(w), w)
		c.next.fix(g.next)
		c.last.fix(g.last)
	}
	if c.waiting++; c.waiting == 1 {
		c.waitingSince = now
	}
	w.group = g
}

// position returns the index of the first packet of the group that is younger than w. Most packets are the youngest when they come.
func (g *group) position(w *waiting) int {
	if !w.SentAt.Before(g.youngest().SentAt) {
		return len(g.packets)
	}
	i, _ := slices.BinarySearchFunc(g.packets, w, func(a, b *waiting) int {
		if a.SentAt.After(b.SentAt) {
			return 1
		}
		return -1
	})
	return i
}

// indexOf returns the index of a packet of the group.
func (g *group) indexOf(w *waiting) int {
	i, _ := slices.BinarySearchFunc(g.packets, w, func(a, b *waiting) int { return a.SentAt.Compare(b.SentAt) })
	for g.packets[i] != w {
		i++
	}
	return i
}

// ungroup removes a packet from its group, if it is in one.
func (q *Queue) ungroup(w *waiting) {
	g := w.group
	if g == nil {
		return
	}
	w.group = nil
	g.class.waiting--
	if len(g.packets) > 1 {
		i := g.indexOf(w)
		g.packets = slices.Delete(g.packets, i, i+1)
		g.class.next.fix(g.next)
		g.class.last.fix(g.last)
		return
	}
	g.class.next.remove(g.next)
	g.class.last.remove(g.last)
	delete(g.class.groups, g.caller)
	i := slices.Index(g.caller.groups, g)
	g.caller.groups = slices.Delete(g.caller.groups, i, i+1)
}

func (q *Queue) leaveService(w *waiting) {
	s := q.services[w.Service]
	if s.waiting--; s.waiting == 0 {
		delete(q.services, w.Service)
	}
}

// remove removes a packet. When the last one leaves, the shortage has ended and the placements are forgotten.
func (q *Queue) remove(w *waiting) {
	q.ungroup(w)
	q.leaveService(w)
	q.timers.remove(w.timer)
	delete(q.flows, w.Flow)
	w.caller.waiting--
	if len(q.flows) == 0 {
		clear(q.callers)
	} else if w.caller.waiting == 0 && w.caller.placements == 0 {
		delete(q.callers, w.caller.address)
	}
}

// advance handles the packets that have expired, become ready or become late.
func (q *Queue) advance(now time.Time) {
	for {
		w, found := q.timers.first()
		if !found || now.Before(w.dueAt) {
			return
		}
		if !now.Before(w.ExpiresAt) {
			q.remove(w)
			q.expired = append(q.expired, w.Opening)
			continue
		}
		q.ungroup(w)
		q.timers.remove(w.timer)
		q.start(w, now)
	}
}

// last returns the packet that comes last in the order of all services, or w if none is ready.
func (q *Queue) last(w *waiting) *waiting {
	var groups []*group
	for _, s := range q.services {
		for _, c := range slices.Backward(s.classes) {
			if g, found := c.last.first(); found {
				groups = append(groups, g)
				break
			}
		}
	}
	return lastOf(groups, w)
}

// lastOf returns the packet that comes last among those of the groups, or w if there are none.
func lastOf(groups []*group, w *waiting) *waiting {
	if len(groups) == 0 {
		return w
	}
	worst := groups[0]
	for _, g := range groups[1:] {
		if order := compareClasses(g.class, worst.class); order > 0 || order == 0 && droppedBefore(g, worst) {
			worst = g
		}
	}
	return worst.youngest()
}
