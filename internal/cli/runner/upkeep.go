package runner

import (
	"context"
	"slices"
	"time"

	"github.com/peridotstage/peridotstage/internal/control/granter"
	"github.com/peridotstage/peridotstage/internal/control/leaser"
	"github.com/peridotstage/peridotstage/internal/control/planner"
	"github.com/peridotstage/peridotstage/internal/front/administrator"
	"github.com/peridotstage/peridotstage/internal/front/connector"
	"github.com/peridotstage/peridotstage/internal/report/recorder"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

const (
	// upkeepInterval is how often the leader looks for silent upstreams, changed weights and generations that no flow needs.
	upkeepInterval = 1 * time.Second
	// departureCheckInterval is how often each instance checks for machines that have left.
	departureCheckInterval = 1 * time.Minute
	// batchInterval is the minimum time between two revisions that change weights or remove generations that no flow needs. It
	// limits such revisions to 12 a minute for any number of upstreams. A change of capacity affects the placement of new flows
	// with this delay; the limiter of the agent reacts at once.
	batchInterval = 5 * time.Second
)

// upkeep marks silent upstreams, adjusts weights and removes departed machines and generations that no flow needs, based on the
// sessions of all control instances.
type upkeep struct {
	World     *registrar.World
	Log       administrator.Log
	Collector *connector.Collector
	StateAger granter.StateAger
	Recorder  *recorder.Recorder
	// Departed returns machines that have left; nil if none can.
	Departed func() []planner.GoneFact

	// failingSince holds the time at which each unreachable instance first failed to answer.
	failingSince map[registrar.MachineName]time.Time
	// nextDepartureCheckAt is the time of the next check for machines that have left.
	nextDepartureCheckAt time.Time
	// nextBatchAt is the earliest time of the next weight change or trim.
	nextBatchAt time.Time
}

// run proposes changes periodically until ctx ends. Only the leader, whose state has age 0, proposes any.
func (u *upkeep) run(ctx context.Context) error {
	u.failingSince = map[registrar.MachineName]time.Time{}
	ticker := time.NewTicker(upkeepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		now := time.Now()
		// A recently removed instance still counts, because leases that it granted may be valid. Every instance tracks the
		// members, so that a new leader knows the removed ones.
		u.Collector.Observe(now)
		checkDepartures := !now.Before(u.nextDepartureCheckAt)
		if checkDepartures {
			u.nextDepartureCheckAt = now.Add(departureCheckInterval)
			u.Collector.Leaser.Expire(now)
		}
		if age, ok := u.StateAger.StateAge(time.Now()); !ok || age > 0 {
			clear(u.failingSince)
			// The previous leader may have just written a batch.
			u.nextBatchAt = now.Add(batchInterval)
			continue
		}
		u.runOnce(ctx, checkDepartures)
	}
}

func (u *upkeep) runOnce(ctx context.Context, checkDepartures bool) {
	// Silence is measured at the time before the sessions are collected, so that a pause of this process makes no node look silent.
	now := time.Now()
	instances := u.Collector.Collect(ctx, connector.SessionQuery{Brief: true})
	sessions := leaser.Merge(instances)
	var f planner.Facts
	if u.sessionsComplete(now, instances) {
		f = leaser.UpkeepFacts(now, u.World, sessions)
		if checkDepartures && allRunningFor(now, instances, leaser.SessionRetention) {
			f.Gone = leaser.GoneMachines(now, u.World, sessions)
		}
	}
	if u.Departed != nil {
		f.Gone = append(f.Gone, u.Departed()...)
	}
	if now.Before(u.nextBatchAt) {
		f.Trims = nil
	} else {
		u.nextBatchAt = now.Add(batchInterval)
		f.Upstreams = leaser.ChangedWeights(now, u.World, sessions)
	}
	if f.Empty() {
		return
	}
	if _, err := proposeFacts(ctx, u.Log, f); err != nil {
		// The next run retries.
		u.Recorder.Warn(recorder.ProposalFailed, recorder.Err(err))
	}
}

// allRunningFor reports whether all instances answer and have been running for longer than d.
func allRunningFor(now time.Time, instances []leaser.Instance, d time.Duration) bool {
	return !slices.ContainsFunc(instances, func(i leaser.Instance) bool {
		return !i.Answered || !now.After(i.StartedAt.Add(d))
	})
}

// sessionsComplete reports whether each instance has either been running long enough to have received heartbeats of its nodes, or
// been unreachable for so long that its nodes have moved to other instances.
func (u *upkeep) sessionsComplete(now time.Time, instances []leaser.Instance) bool {
	all := true
	for _, i := range instances {
		if i.Answered {
			delete(u.failingSince, i.Name)
			all = all && now.After(i.StartedAt.Add(leaser.SilentAfter))
			continue
		}
		since, ok := u.failingSince[i.Name]
		if !ok {
			u.failingSince[i.Name] = now
		}
		all = all && ok && now.After(since.Add(leaser.SilentAfter))
	}
	return all
}
