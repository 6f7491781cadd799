package explainer

import (
	"time"

	"github.com/peridotstage/peridotstage/internal/report/recorder"
)

// heartbeatMemory is how long a failed heartbeat explains that an entry has no lease.
const heartbeatMemory = 10 * time.Second

// startTime is the maximum time from the first line of a process to its event "machine started".
const startTime = time.Second

// machineState is what the logs have said of a machine so far. Times are zero if the event has not occurred.
type machineState struct {
	firstLineAt, lastLineAt time.Time
	// silentFrom and silentTo are the times of the lines around the longest recent silence.
	silentFrom, silentTo time.Time
	// lostPowerAt is the time of the last line before the newest start that followed no planned stop, and startedAt the time of that
	// start. A process may write some lines before it says that it has started.
	lostPowerAt, startedAt time.Time
	// stopAt is the time of the newest planned stop.
	stopAt time.Time
	// isStopping is true from a planned stop to the next start.
	isStopping bool
	// leftAt is the time at which the upstream last said that it ends.
	leftAt time.Time
	// agentProcess is the process of the agent that the upstream checks in at, and upstream the name that it gave. Both are empty if
	// no upstream has checked in.
	agentProcess, upstream string
	// replacedAt is the time at which another process of the upstream first checked in.
	replacedAt time.Time
	coldUntil  time.Time
	isFailing  bool
	// heartbeatFailedAt is the time of the newest failed heartbeat.
	heartbeatFailedAt time.Time
}

// take applies a line of the machine. It returns true if the line shows that the machine started without a planned stop before.
func (m *machineState) take(l *Line) (recovered bool) {
	if m.firstLineAt.IsZero() {
		m.firstLineAt = l.At
	} else if isRecent := l.At.Sub(m.silentTo) < startTime; !isRecent || l.At.Sub(m.lastLineAt) > m.silentTo.Sub(m.silentFrom) {
		m.silentFrom, m.silentTo = m.lastLineAt, l.At
	}
	switch l.Event {
	case recorder.MachineStarted.Number:
		recovered = m.start(l.At)
	case recorder.StopBegun.Number, recorder.MachineStopped.Number, recorder.MachineFailed.Number:
		m.stopAt, m.isStopping = l.At, true
	case recorder.UpstreamLeaves.Number:
		m.leftAt = l.At
	case recorder.UpstreamCheckedIn.Number:
		if m.upstream != "" && (l.Upstream != m.upstream || l.Sequence == 1) {
			m.replacedAt = l.At
		}
		m.agentProcess, m.upstream = l.Machine, l.Upstream
		if l.ColdMS > 0 {
			m.coldUntil = l.At.Add(time.Duration(l.ColdMS) * time.Millisecond)
		}
	case recorder.UpstreamFails.Number:
		m.isFailing = true
	case recorder.UpstreamRecovered.Number:
		m.isFailing = false
	case recorder.HeartbeatFailed.Number:
		m.heartbeatFailedAt = l.At
	}
	m.lastLineAt = l.At
	return recovered
}

// start applies the start of a process of the machine. It returns true if it is the first process after a loss of power.
func (m *machineState) start(at time.Time) bool {
	isPlanned, isFirst := m.isStopping, at.Sub(m.firstLineAt) < startTime
	m.isStopping, m.isFailing = false, false
	if isPlanned || isFirst {
		return false
	}
	wasStarted := at.Sub(m.startedAt) < startTime
	m.startedAt = at
	if wasStarted {
		return false
	}
	m.lostPowerAt = m.silentFrom
	return true
}

// gapTracker groups the machines of a zone that had no power at the same time.
type gapTracker struct {
	gaps []PowerGap
}

// gapGrouping is the maximum time between the starts of machines that belong to one gap.
const gapGrouping = 2 * time.Second

// add adds the gap of a machine that has just started.
func (t *gapTracker) add(g PowerGap) {
	for i := len(t.gaps) - 1; i >= 0 && g.To.Sub(t.gaps[i].To) < gapGrouping; i-- {
		last := &t.gaps[i]
		if last.Zone != g.Zone {
			continue
		}
		// The machines write at different times before the power goes, so the newest line is the closest to it.
		if g.From.After(last.From) {
			last.From = g.From
		}
		last.To = g.To
		last.Machines += g.Machines
		return
	}
	t.gaps = append(t.gaps, g)
}
