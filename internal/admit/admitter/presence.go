package admitter

import (
	"slices"
	"time"

	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

const (
	// missedCheckIns is how many check-in intervals must have passed without a check-in before an upstream can count as ended. One check-in
	// may have gone to an earlier process of the agent.
	missedCheckIns = 2
	// minUnanswered is how many flows the upstream must have left without an answer, since single packets are lost, and minUnansweredTime
	// for how long. A running upstream sends packets of flows that it does not hold back at once. One that holds all these flows, and
	// is busy with their requests, answers at least one within the time for which callers wait.
	minUnanswered     = 3
	minUnansweredTime = 5 * time.Second
)

// presence is the evidence of whether the upstream runs. Times are those for which the agent has run; they exclude pauses, after which
// check-ins and packets may wait to be read.
type presence struct {
	observed time.Duration
	// checkedInAt is the time of the newest check-in; 0 if there was none.
	checkedInAt time.Duration
	// unanswered holds up to minUnanswered flows of which the upstream has neither answered nor sent back a packet in time since its newest
	// packet or check-in, the first of them at unansweredAt.
	unanswered   []registrar.Flow
	unansweredAt time.Duration
}

// missed reports whether the upstream has missed its check-ins. It never has if their interval is not known.
func (p *presence) missed(interval time.Duration) bool {
	return interval > 0 && p.observed-p.checkedInAt >= missedCheckIns*interval
}

// silent reports whether the upstream has left packets unanswered for long enough.
func (p *presence) silent() bool {
	return len(p.unanswered) >= minUnanswered && p.observed-p.unansweredAt >= minUnansweredTime
}

// endedLocked reports whether the upstream has ended without notice. Missed check-ins alone do not prove it: an upstream that runs may be
// late with them, or unable to reach the agent. It must also be silent, or the agent must be stopping where that shows the same.
func (u *upstream) endedLocked(a *Admitter) bool {
	return u.presence.missed(a.CheckInInterval) && (u.presence.silent() || a.StopsAfterUpstream && u.stopping)
}

// observe records that the agent has run for a time.
func (u *upstream) observe(d time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.presence.observed += d
}

// heard records that the upstream has sent a packet.
func (p *presence) heard() { p.unanswered = p.unanswered[:0] }

// checkedIn records that the upstream has sent a check-in.
func (p *presence) checkedIn() {
	p.heard()
	p.checkedInAt = p.observed
}

// markHeard records that the upstream has sent a packet.
func (u *upstream) markHeard() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.presence.heard()
}

// markCheckedIn records that the upstream, or another process at its address, has sent a check-in.
func (u *upstream) markCheckedIn() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.presence.checkedIn()
}

// markUnanswered records that the upstream has neither answered nor sent back a packet of a flow in time.
func (u *upstream) markUnanswered(f registrar.Flow) {
	u.mu.Lock()
	defer u.mu.Unlock()
	p := &u.presence
	if len(p.unanswered) == minUnanswered || slices.Contains(p.unanswered, f) {
		return
	}
	if len(p.unanswered) == 0 {
		p.unansweredAt = p.observed
	}
	p.unanswered = append(p.unanswered, f)
}

// hasEnded reports whether the upstream holds no flows because it has ended: it has said so, or there is no evidence that it runs. A process that
// starts later holds no flows of before either.
func (u *upstream) hasEnded(a *Admitter) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.left || u.endedLocked(a)
}

// Idle reports whether a stopping agent has nothing left to do. While it cannot tell whether its upstream holds flows, it goes on to watch
// for evidence that the upstream has ended, so that its last announcement can say so.
func (a *Admitter) Idle(now time.Time) bool {
	return a.Flows() == 0 && (a.CheckInInterval == 0 || a.HoldsNoFlows(now))
}
