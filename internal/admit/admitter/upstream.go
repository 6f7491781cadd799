package admitter

import (
	"math"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/peridotstage/peridotstage/internal/route/carrier"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

const (
	// coldWindow is the span in which the new flows of a cold upstream are counted. It is longer than the second of the bound,
	// because packets may be held up on their way.
	coldWindow = 1200 * time.Millisecond
	// roomGrowth is how long an upstream must refuse nothing to be offered one request more than it last had room for.
	roomGrowth = 2 * time.Second
	// unmeasuredCrowd bounds the requests for each slot of an upstream whose speed is not known.
	unmeasuredCrowd = 4
	// workShare is the weight of the newest request in the mean time of requests.
	workShare = 0.1
	// keepIncarnations is how many ended starts of an upstream are remembered, so that their late check-ins change nothing.
	keepIncarnations = 16
)

// ErrCheckIn means that a check-in names no upstream to use.
var ErrCheckIn = eris.New("check-in is not about the upstream beside this agent")

// Start identifies one start of an upstream.
type Start struct {
	Name string
	// BornMilli is when the upstream started by its own clock, in Unix milliseconds.
	BornMilli int64
}

// CheckIn is what an upstream reports about itself.
type CheckIn struct {
	Start
	Service  registrar.ServiceName
	Address  netip.AddrPort
	Slots    registrar.Slots
	Draining bool
	// Cold is how long the upstream stays cold.
	Cold registrar.Millis
	// Sequence grows with each check-in of a start.
	Sequence uint64
}

// upstream is the state of the upstream, under its own lock.
type upstream struct {
	mu sync.Mutex
	// known is false until the first check-in.
	known    bool
	start    Start
	ended    []Start
	sequence uint64
	slots    registrar.Slots
	// leaving is true once the start has reported that it drains, or that it ends.
	leaving bool
	// silentSince is when the upstream was offered a flow that it has not answered; zero if it answers.
	silentSince time.Time
	// withdrawn is true while the zone is.
	withdrawn bool
	// stopping is true once a planned stop of the agent has begun.
	stopping bool
	coldRate float64
	coldEnd  time.Time
	// suspect is true from a sign that the upstream has started again until its next check-in.
	suspect bool
	// admitted are the times of new flows within coldWindow.
	admitted []time.Time
	busy     int
	// room is how many requests the upstream had room for when it last refused one, at roomAt; 0 if it has not refused any.
	room   int
	roomAt time.Time
	// work is the mean time of a request without waiting; 0 if unknown.
	work time.Duration
}

// closedLocked reports whether the upstream takes no new flows.
func (u *upstream) closedLocked() bool { return !u.known || u.leaving || u.withdrawn || u.stopping }

func (u *upstream) coldLocked(now time.Time) bool { return u.suspect || now.Before(u.coldEnd) }

// allowanceLocked returns how many new flows a cold upstream may get now. One less than the bound is used, since a copy of an
// opening packet counts as well.
func (u *upstream) allowanceLocked(now time.Time, a *Admitter) int {
	limit := int(math.Floor(u.coldRate*a.ColdFactor)) + int(a.ColdSlack) - 1
	return max(limit-len(u.admitted), 0)
}

// trimLocked forgets the admissions before the window.
func (u *upstream) trimLocked(now time.Time) {
	from := now.Add(-coldWindow)
	n := 0
	for n < len(u.admitted) && u.admitted[n].Before(from) {
		n++
	}
	u.admitted = slices.Delete(u.admitted, 0, n)
}

// admit takes a new flow, or says why not.
func (u *upstream) admit(now time.Time, a *Admitter, bound time.Duration) carrier.ReturnReason {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.trimLocked(now)
	switch {
	case u.closedLocked():
		return carrier.ReturnClosed
	case !u.silentSince.IsZero():
		return carrier.ReturnSilent
	case u.coldLocked(now) && u.allowanceLocked(now, a) == 0:
		return carrier.ReturnCold
	case u.crowdedLocked(now, bound):
		return carrier.ReturnBusy
	}
	u.admitted = append(u.admitted, now)
	return 0
}

// crowdedLocked reports whether a further request would probably not be answered within a bound. An upstream with a free slot
// is never crowded, however slow it is.
func (u *upstream) crowdedLocked(now time.Time, bound time.Duration) bool {
	ahead, slots := u.busy+1, int(max(u.slots, 1))
	if room := u.roomLocked(now); room > 0 && ahead > max(room, slots) {
		return true
	}
	if ahead <= slots || u.work == 0 {
		return ahead > unmeasuredCrowd*slots
	}
	return u.work*time.Duration(ahead)/time.Duration(slots) > bound
}

// overflowed notes that the upstream had no room for a request that came when there were crowd of them.
func (u *upstream) overflowed(now time.Time, crowd int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	room := u.roomLocked(now)
	if least := max(int(u.slots), 1); crowd-1 < least {
		// Another agent of the same machine or a health check may have taken a slot; nothing is learned from it.
		crowd = least + 1
	}
	if room == 0 || crowd-1 < room {
		u.room, u.roomAt = crowd-1, now
	}
}

// roomLocked returns how many requests the upstream holds as far as is known, or 0. What is known ages: the room grows by one
// for each roomGrowth, so that a wrong guess is mended.
func (u *upstream) roomLocked(now time.Time) int {
	if u.room == 0 {
		return 0
	}
	return u.room + int(now.Sub(u.roomAt)/roomGrowth)
}

// heard notes a sign of life. It reports whether the upstream was silent.
func (u *upstream) heard() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	was := !u.silentSince.IsZero()
	u.silentSince = time.Time{}
	return was
}

// fellSilent notes that a flow offered at a time was not answered. It reports whether the upstream was not silent before.
func (u *upstream) fellSilent(offered time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	was := !u.silentSince.IsZero()
	if !was {
		u.silentSince = offered
	}
	return !was
}

// lostFlow notes that the upstream does not hold a flow that it had accepted: it has started again. It reports whether this is
// news.
func (u *upstream) lostFlow() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	was := u.suspect
	u.suspect = true
	return !was
}

func (u *upstream) addBusy(n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.busy += n
}

func (u *upstream) busyNow() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.busy
}

// sample takes the time of a request that began among crowd requests. Time that it waited for a slot is taken out.
func (u *upstream) sample(d time.Duration, crowd int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if waves := float64(crowd) / float64(max(u.slots, 1)); waves > 1 {
		d = time.Duration(float64(d) / waves)
	}
	if u.work == 0 {
		u.work = d
		return
	}
	u.work += time.Duration(workShare * float64(d-u.work))
}

func (u *upstream) configure(withdrawn bool, coldRate float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.withdrawn && !withdrawn {
		// The upstreams of a zone that returns may have turned cold meanwhile; the next check-in tells.
		u.suspect = true
	}
	u.withdrawn, u.coldRate = withdrawn, coldRate
}

// take handles a check-in. fresh is true if it is the first one of a start.
func (u *upstream) take(now time.Time, c CheckIn) (fresh bool, err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if slices.Contains(u.ended, c.Start) {
		return false, eris.Wrapf(ErrCheckIn, "start %q has ended", c.Name)
	}
	fresh = !u.known || u.start != c.Start
	if fresh {
		u.beginLocked(c)
	} else if c.Sequence <= u.sequence {
		// A late copy of an older check-in.
		return false, nil
	}
	u.sequence, u.slots, u.suspect = c.Sequence, c.Slots, false
	u.silentSince = time.Time{}
	u.leaving = u.leaving || c.Draining
	u.coldEnd = now.Add(time.Duration(c.Cold) * time.Millisecond)
	return fresh, nil
}

func (u *upstream) beginLocked(c CheckIn) {
	if u.known {
		u.ended = append(u.ended, u.start)
		if extra := len(u.ended) - keepIncarnations; extra > 0 {
			u.ended = slices.Delete(u.ended, 0, extra)
		}
	}
	u.known, u.start, u.leaving, u.work, u.room = true, c.Start, false, 0, 0
}

// CheckIn takes what the upstream reports. It returns ErrCheckIn if the report is about another one.
func (a *Admitter) CheckIn(now time.Time, c CheckIn) error {
	if c.Service != a.Service || c.Address != a.Address || c.Slots == 0 {
		return eris.Wrapf(ErrCheckIn, "service %q at %s with %d slots, want service %q at %s",
			c.Service, c.Address, c.Slots, a.Service, a.Address)
	}
	fresh, err := a.upstream.take(now, c)
	if err != nil {
		return err
	}
	if fresh {
		a.forgetFlows()
	}
	a.changes.Add(1)
	return nil
}

// Leave notes that the start of the upstream with a name ends. Other starts are not concerned.
func (a *Admitter) Leave(name string) {
	a.upstream.mu.Lock()
	defer a.upstream.mu.Unlock()
	if a.upstream.start.Name == name {
		a.upstream.leaving = true
		a.changes.Add(1)
	}
}

// Stop begins a planned stop: no new flows are taken.
func (a *Admitter) Stop() {
	a.upstream.mu.Lock()
	defer a.upstream.mu.Unlock()
	a.upstream.stopping = true
	a.changes.Add(1)
}

// Announcement is what control is told about the upstream.
type Announcement struct {
	Slots registrar.Slots
	// Draining is true if the upstream or the agent leaves.
	Draining bool
}

// Announcement returns what control is told; ok is false until the upstream has checked in.
func (a *Admitter) Announcement() (an Announcement, ok bool) {
	u := &a.upstream
	u.mu.Lock()
	defer u.mu.Unlock()
	return Announcement{Slots: u.slots, Draining: u.leaving || u.stopping}, u.known
}

// Report returns how busy the upstream is.
func (a *Admitter) Report(now time.Time) carrier.LoadReport {
	u := &a.upstream
	u.mu.Lock()
	defer u.mu.Unlock()
	u.trimLocked(now)
	r := carrier.LoadReport{
		Service: a.tag(), Accepting: !u.closedLocked() && u.silentSince.IsZero(), Cold: u.coldLocked(now),
		Busy: uint16(min(max(u.busy, 0), math.MaxUint16)), Slots: uint16(u.slots),
		WorkMicros: uint32(min(u.work.Microseconds(), math.MaxUint32)),
	}
	if r.Cold {
		r.Allowance = uint16(min(u.allowanceLocked(now, a), math.MaxUint16))
	}
	return r
}
