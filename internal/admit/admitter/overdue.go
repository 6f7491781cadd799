package admitter

import (
	"time"

	"github.com/peridotstage/peridotstage/internal/route/carrier"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// Overdue is a packet that the upstream has not answered in time: the opening packet of a flow, or a packet of a flow that an entry
// searches for.
type Overdue struct {
	Action
	Packet []byte
}

// Tick returns the packets that another upstream is to get, because this one has not answered them, and removes expired flows.
func (a *Admitter) Tick(now time.Time) []Overdue {
	var overdue []Overdue
	idleTimeout := registrar.DefaultIdleTimeout
	if configured := a.idleTimeout.Load(); configured > 0 {
		idleTimeout = time.Duration(configured)
	}
	bounds := a.latencyBounds.Load()
	gap := now.Sub(a.tickedAt)
	wasPaused := gap > maxTickGap
	if !wasPaused {
		a.upstream.observe(gap)
	}
	a.tickedAt = now
	a.eachFlow(func(sh *shard, f registrar.Flow, fl *flow) {
		if fl.phase == opening && now.Sub(fl.phaseStartedAt) > acceptTimeout {
			a.stopCounting(now, fl)
			a.endFlow(fl)
			if a.upstream.markSilent(fl.phaseStartedAt) {
				a.changes.Add(1)
			}
			overdue = append(overdue, Overdue{Action: returnAction(fl, carrier.ReturnSilent), Packet: fl.unansweredPacket})
			// A late answer of the upstream still establishes the flow.
			fl.phase, fl.phaseStartedAt, fl.unansweredPacket = probing, now, nil
		}
		if fl.phase == probing && fl.searching && !wasPaused && now.Sub(fl.phaseStartedAt) > answerTimeout {
			if fl.unansweredPacket != nil {
				a.upstream.markUnanswered(f)
				overdue = append(overdue, Overdue{Action: returnAction(fl, carrier.ReturnUndecided), Packet: fl.unansweredPacket})
			}
			fl.phase, fl.phaseStartedAt, fl.unansweredPacket = unanswered, now, nil
		}
		if fl.pending && now.Sub(fl.phaseStartedAt) > pendingTimeout {
			a.stopCounting(now, fl)
		}
		if !wasPaused && fl.requestRunning && fl.outcomePending && a.upstream.silentFor(now, fl.requestStartedAt, bounds.target(f.Service)) {
			fl.outcomePending = false
			a.upstream.recordSilence(now)
			a.changes.Add(1)
		}
		if expired(now, fl, idleTimeout) {
			a.stopCounting(now, fl)
			a.endFlow(fl)
			a.forget(now, sh, f, fl)
		}
	})
	a.expireForgotten(now)
	return overdue
}

func expired(now time.Time, fl *flow, idleTimeout time.Duration) bool {
	switch fl.phase {
	case absent, probing, unanswered:
		return now.Sub(fl.phaseStartedAt) > absentRetention
	case closed:
		return now.Sub(fl.phaseStartedAt) > closedRetention
	default:
		return now.Sub(fl.lastPacketAt) > idleTimeout
	}
}
