package admitter

import (
	"math"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/peridotstage/peridotstage/internal/admit/ejector"
	"github.com/peridotstage/peridotstage/internal/route/carrier"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

const (
	// coldWindow is the sliding window in which the opening packets for a cold upstream are counted. It is longer than the second for
	// which the bound is stated, because packets may be delayed on their way to the upstream.
	coldWindow = 1200 * time.Millisecond
	// capacityGrowthInterval is the time without a refusal after which the learned capacity of the upstream grows by one request.
	capacityGrowthInterval = 2 * time.Second
	// unmeasuredRequestsPerSlot bounds the requests in flight per slot of an upstream whose service time is unknown.
	unmeasuredRequestsPerSlot = 4
	// serviceTimeWeight is the weight of the newest request in the moving average of the service time.
	serviceTimeWeight = 0.1
	// maxEndedProcesses is how many ended processes of the upstream are remembered, so that their late check-ins are rejected.
	maxEndedProcesses = 16
	// A process that started before the running one, by their own clocks, takes its place after minSuccessorCheckIns check-ins over
	// minSuccessorTime without one of the running process. It is an ended process whose check-ins were held up, or a new one after the clock
	// of its machine was set back; only the latter goes on checking in.
	minSuccessorCheckIns = 3
	minSuccessorTime     = 2 * time.Second
)

// ErrCheckIn means that a check-in is not about the running process of the agent's upstream.
var ErrCheckIn = eris.New("check-in is not about the upstream beside this agent")

// Start identifies one process of an upstream by its name and start time. A restarted process differs in at least one of them.
type Start struct {
	Name string
	// StartedMilli is the start time by the upstream's own clock, in Unix milliseconds.
	StartedMilli int64
}

// before reports whether the process started before another one, by their own clocks. Processes that do not tell their start time are in
// no order.
func (s Start) before(other Start) bool {
	return s.StartedMilli != 0 && other.StartedMilli != 0 && s.StartedMilli < other.StartedMilli
}

// CheckIn is a report of an upstream about itself.
type CheckIn struct {
	Start
	Service  registrar.ServiceName
	Address  netip.AddrPort
	Slots    registrar.Slots
	Draining bool
	// ColdRemaining is the remaining time for which the upstream stays cold.
	ColdRemaining registrar.Millis
	// Sequence increases with each check-in of one process of the upstream.
	Sequence uint64
}

// upstream is the state of the agent's upstream, guarded by its own lock.
type upstream struct {
	mu        sync.Mutex
	checkedIn bool
	// process is the running process of the upstream, and endedProcesses are the newest ones before it.
	process        Start
	endedProcesses []Start
	sequence       uint64
	// processKnownAt and checkedInAt are the times of the first and the newest check-in of the running process.
	processKnownAt, checkedInAt time.Time
	// seenFromStart is true if the agent has been running since before the running process could get its first flow.
	seenFromStart bool
	// successor is a process that has checked in since the running one, and may have replaced it.
	successor successor
	slots     registrar.Slots
	// draining is true once the running process has reported that it drains or ends.
	draining bool
	presence presence
	// silentSince is the time of the offer of a flow that the upstream did not answer in time; zero while it answers.
	silentSince time.Time
	// withdrawn is true while the zone is withdrawn.
	withdrawn bool
	// stopping is true once a planned stop of the agent has begun.
	stopping bool
	// left is true once the running process of the upstream has said that it ends.
	left      bool
	coldRate  float64
	coldUntil time.Time
	// restartSuspected is true from a sign of a restart, or from the return of the zone, until the next check-in. The upstream
	// counts as cold during this time.
	restartSuspected bool
	// admittedAt holds the times of the opening packets that were delivered within coldWindow, oldest first.
	admittedAt []time.Time
	inFlight   int
	// openFlows is the number of flows that count as open. maxFlows is the number that the upstream may hold; 0 means no limit.
	openFlows int
	maxFlows  registrar.FlowCount
	demand    demand
	// capacity is the number of requests that the upstream ran when it refused another one, at capacityLearnedAt; 0 if it has
	// refused none.
	capacity          int
	capacityLearnedAt time.Time
	// serviceTime is the moving average of the time of a request without its wait for a slot; 0 while unknown.
	serviceTime time.Duration
	// outcomes counts the failed requests. answeredAt is the time of the newest answer, whatever it says.
	outcomes   ejector.Outcomes
	answeredAt time.Time
}

// successor counts the check-ins of a process that started before the running one. The zero value counts none.
type successor struct {
	process  Start
	sequence uint64
	checkIns int
	// firstAt is the time of the first check-in.
	firstAt time.Time
}

// confirm counts a check-in and reports whether its process has replaced the running one.
func (s *successor) confirm(now time.Time, c CheckIn) bool {
	switch {
	case s.process != c.Start:
		*s = successor{process: c.Start, sequence: c.Sequence, checkIns: 1, firstAt: now}
	case c.Sequence > s.sequence:
		s.sequence = c.Sequence
		s.checkIns++
	}
	return s.checkIns >= minSuccessorCheckIns && now.Sub(s.firstAt) >= minSuccessorTime
}

// closedLocked reports whether the upstream accepts no new flows.
func (u *upstream) closedLocked() bool {
	return !u.checkedIn || u.draining || u.withdrawn || u.stopping
}

func (u *upstream) coldLocked(now time.Time) bool {
	return u.restartSuspected || now.Before(u.coldUntil)
}

// trimAdmittedLocked removes the opening packets that are older than coldWindow.
func (u *upstream) trimAdmittedLocked(now time.Time) {
	windowStart := now.Add(-coldWindow)
	expiredCount := 0
	for expiredCount < len(u.admittedAt) && u.admittedAt[expiredCount].Before(windowStart) {
		expiredCount++
	}
	u.admittedAt = slices.Delete(u.admittedAt, 0, expiredCount)
}

// admit admits a new flow within a bound, or returns the reason for its refusal. probe is true if the entry counts the upstream as
// failing. replacesOpen is true if the new flow replaces one that counts as open. An admitted flow counts as open.
func (u *upstream) admit(now time.Time, a *Admitter, b bound, probe, replacesOpen bool) carrier.ReturnReason {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.trimAdmittedLocked(now)
	switch {
	case u.closedLocked():
		return carrier.ReturnClosed
	case !u.silentSince.IsZero():
		return carrier.ReturnSilent
	case u.coldLocked(now) && u.allowanceLocked(now, a) == 0:
		return carrier.ReturnCold
	case u.fullLocked(replacesOpen):
		return carrier.ReturnFull
	case u.overloadedLocked(now, b):
		return carrier.ReturnBusy
	case probe && !u.outcomes.StartProbe(now):
		return carrier.ReturnFailing
	}
	u.admittedAt = append(u.admittedAt, now)
	u.openFlows++
	return 0
}

// overloadedLocked reports whether one more request would probably exceed the bound. An upstream with a free slot is never
// overloaded, however slow it is.
func (u *upstream) overloadedLocked(now time.Time, b bound) bool {
	requests, slots := u.inFlight+1, int(max(u.slots, 1))
	if capacity := u.capacityLocked(now); capacity > 0 && requests > slots+int(b.queueShare*float64(max(capacity-slots, 0))) {
		return true
	}
	if requests <= slots || u.serviceTime == 0 {
		return requests > unmeasuredRequestsPerSlot*slots
	}
	return u.serviceTime*time.Duration(requests)/time.Duration(slots) > b.latency
}

// recordRefusal records that the upstream had no room for a request; requestsAtStart is the number of requests in flight when
// that request began, including the request itself.
func (u *upstream) recordRefusal(now time.Time, requestsAtStart int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	capacity := u.capacityLocked(now)
	if minCapacity := max(int(u.slots), 1); requestsAtStart-1 < minCapacity {
		// A refusal while slots were free is no evidence of a lower capacity: another agent of the same machine or a health check
		// may have taken a slot. An upstream that goes on refusing with slots free fails its requests.
		requestsAtStart = minCapacity + 1
		u.outcomes.RecordFailure(now)
	}
	if capacity == 0 || requestsAtStart-1 < capacity {
		u.capacity, u.capacityLearnedAt = requestsAtStart-1, now
	}
}

// capacityLocked returns the learned capacity in requests, or 0 if it is unknown. It grows by one for each
// capacityGrowthInterval since the refusal, so that an underestimate is corrected.
func (u *upstream) capacityLocked(now time.Time) int {
	if u.capacity == 0 {
		return 0
	}
	return u.capacity + int(now.Sub(u.capacityLearnedAt)/capacityGrowthInterval)
}

// markResponsive records that the upstream sent a packet. It reports whether the upstream was silent.
func (u *upstream) markResponsive() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	wasSilent := !u.silentSince.IsZero()
	u.silentSince = time.Time{}
	u.presence.heard()
	return wasSilent
}

// markSilent records that a flow offered at offeredAt was not answered. It reports whether the upstream answered until then.
func (u *upstream) markSilent(offeredAt time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	wasSilent := !u.silentSince.IsZero()
	if !wasSilent {
		u.silentSince = offeredAt
	}
	return !wasSilent
}

// isSilent reports whether the upstream has not answered a flow in time, and has sent nothing since.
func (u *upstream) isSilent() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return !u.silentSince.IsZero()
}

// suspectRestart records that the upstream does not hold a flow that it had accepted, so it must have restarted. It reports
// whether no restart was suspected before.
func (u *upstream) suspectRestart() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	wasSuspected := u.restartSuspected
	u.restartSuspected = true
	return !wasSuspected
}

func (u *upstream) addInFlight(now time.Time, n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.demand.advance(now, u.inFlight)
	u.inFlight += n
}

func (u *upstream) currentInFlight() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.inFlight
}

// recordFailure records a request that failed. Its time does not count, because an upstream that fails at once would look fast.
func (u *upstream) recordFailure(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.outcomes.RecordFailure(now)
}

// recordSilence records a request that the upstream has not answered in time.
func (u *upstream) recordSilence(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.outcomes.RecordSilence(now)
}

// markAnswered records that an answer of the upstream has begun.
func (u *upstream) markAnswered(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.answeredAt = now
}

// silentFor reports whether the upstream has answered nothing since a request that began longer ago than patience. Such an upstream
// hangs: one that is slow or has a queue still answers requests that began earlier.
func (u *upstream) silentFor(now, requestStartedAt time.Time, patience time.Duration) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return now.Sub(requestStartedAt) > patience && u.answeredAt.Before(requestStartedAt)
}

// recordSuccess records a successful request and adds it to the moving average of the service time. The wait for a slot is removed
// by dividing by the number of rounds that requestsAtStart requests need on the slots.
func (u *upstream) recordSuccess(now time.Time, elapsed time.Duration, requestsAtStart int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.outcomes.RecordSuccess(now)
	if rounds := float64(requestsAtStart) / float64(max(u.slots, 1)); rounds > 1 {
		elapsed = time.Duration(float64(elapsed) / rounds)
	}
	if u.serviceTime == 0 {
		u.serviceTime = elapsed
		return
	}
	u.serviceTime += time.Duration(serviceTimeWeight * float64(elapsed-u.serviceTime))
}

func (u *upstream) configure(withdrawn bool, coldRate float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.withdrawn && !withdrawn {
		// The upstream may have turned cold while its zone was withdrawn; the next check-in reports whether it did.
		u.restartSuspected = true
	}
	u.withdrawn, u.coldRate = withdrawn, coldRate
}

// applyCheckIn applies a check-in. interval is the time between two check-ins, or 0 if it is not known. newProcess is true if it is the first
// check-in of a process.
func (u *upstream) applyCheckIn(now time.Time, c CheckIn, interval time.Duration) (newProcess bool, err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if slices.Contains(u.endedProcesses, c.Start) {
		return false, eris.Wrapf(ErrCheckIn, "start %q has ended", c.Name)
	}
	newProcess = !u.checkedIn || u.process != c.Start
	if newProcess {
		if u.checkedIn && c.before(u.process) && !u.successor.confirm(now, c) {
			return false, eris.Wrapf(ErrCheckIn, "start %q began before the running one, %q", c.Name, u.process.Name)
		}
		u.startProcessLocked(now, c, interval)
		u.replaceProcessLocked(c)
	} else if c.Sequence <= u.sequence {
		// A check-in that arrived out of order or twice.
		return false, nil
	}
	u.successor = successor{}
	u.sequence, u.slots, u.restartSuspected = c.Sequence, c.Slots, false
	u.silentSince, u.checkedInAt = time.Time{}, now
	u.draining = u.draining || c.Draining
	u.coldUntil = now.Add(time.Duration(c.ColdRemaining) * time.Millisecond)
	return newProcess, nil
}

// replaceProcessLocked makes the process of a check-in the running process.
func (u *upstream) replaceProcessLocked(c CheckIn) {
	if u.checkedIn {
		u.endedProcesses = append(u.endedProcesses, u.process)
		if excess := len(u.endedProcesses) - maxEndedProcesses; excess > 0 {
			u.endedProcesses = slices.Delete(u.endedProcesses, 0, excess)
		}
	}
	u.checkedIn, u.process, u.draining, u.left, u.serviceTime, u.capacity = true, c.Start, false, false, 0, 0
	u.outcomes = ejector.Outcomes{}
}

// CheckIn applies a check-in of the upstream. It returns ErrCheckIn if the check-in is about another upstream or an ended
// process.
func (a *Admitter) CheckIn(now time.Time, c CheckIn) error {
	// Also a check-in that is refused shows that a process runs beside the agent.
	a.upstream.markCheckedIn()
	if c.Service != a.Service || c.Address != a.Address || c.Slots == 0 {
		return eris.Wrapf(ErrCheckIn, "service %q at %s with %d slots, want service %q at %s",
			c.Service, c.Address, c.Slots, a.Service, a.Address)
	}
	newProcess, err := a.upstream.applyCheckIn(now, c, a.CheckInInterval)
	if err != nil {
		return err
	}
	if newProcess {
		a.dropFlows(now)
	}
	a.changes.Add(1)
	return nil
}

// Leave records that the upstream's process with the given name ends. Names of other processes are ignored.
func (a *Admitter) Leave(name string) {
	a.upstream.mu.Lock()
	defer a.upstream.mu.Unlock()
	if a.upstream.process.Name == name {
		a.upstream.draining, a.upstream.left = true, true
		a.changes.Add(1)
	}
}

// Stop begins a planned stop: no new flows are admitted.
func (a *Admitter) Stop() {
	a.upstream.mu.Lock()
	defer a.upstream.mu.Unlock()
	a.upstream.stopping = true
	a.changes.Add(1)
}

// Announcement is the state of the upstream that the agent announces to control.
type Announcement struct {
	// Slots is 0 if the upstream has ended without a check-in at this process of the agent.
	Slots registrar.Slots
	// Draining is true if the upstream drains or has ended, or if the agent stops.
	Draining bool
}

// Announcement returns the announcement to control; ok is false until the upstream has checked in or has ended.
func (a *Admitter) Announcement() (announcement Announcement, ok bool) {
	u := &a.upstream
	u.mu.Lock()
	defer u.mu.Unlock()
	ended := u.endedLocked(a)
	return Announcement{Slots: u.slots, Draining: u.draining || u.stopping || ended}, u.checkedIn || ended
}

// Report returns the load report of the upstream for the entries.
func (a *Admitter) Report(now time.Time) carrier.LoadReport {
	u := &a.upstream
	u.mu.Lock()
	defer u.mu.Unlock()
	u.trimAdmittedLocked(now)
	r := carrier.LoadReport{
		Service: a.tag(), Accepting: !u.closedLocked() && u.silentSince.IsZero(), Cold: u.coldLocked(now),
		InFlight: uint16(min(max(u.inFlight, 0), math.MaxUint16)), Slots: uint16(u.slots),
		ServiceTimeMicros: uint32(min(u.serviceTime.Microseconds(), math.MaxUint32)),
		Failures:          u.outcomes.Share(now), ProbeDue: u.outcomes.ProbeDue(now),
	}
	r.Demand = u.demand.report(now, u.inFlight)
	r.Flows = uint16(min(max(u.openFlows, 0), math.MaxUint16))
	if r.Cold {
		r.Allowance = uint16(min(u.allowanceLocked(now, a), math.MaxUint16))
	}
	return r
}
