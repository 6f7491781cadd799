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
	upkeepInterval = 1 * time.Second
	// goneInterval is how often machines that have gone are looked for.
	goneInterval = 1 * time.Minute
	// batchInterval is how long moves of weights, and generations to trim, are collected into one revision. Whatever the number of
	// upstreams, they make at most 12 revisions a minute. New flows follow a change of speed that much later; the limiter of the
	// agent does not wait.
	batchInterval = 5 * time.Second
)

// upkeep marks silent upstreams, moves weights and trims generations from what all control instances have heard.
type upkeep struct {
	World     *registrar.World
	Log       administrator.Log
	Collector *connector.Collector
	Authority granter.Authority
	Recorder  *recorder.Recorder
	// Departed returns machines that have left; nil if none can.
	Departed func() []planner.GoneFact

	// failingSince is when each instance was first out of reach; instances that answer are not in it.
	failingSince map[registrar.MachineName]time.Time
	// goneAt is when machines that have gone are looked for next.
	goneAt time.Time
	// batchAt is when weights may move, and generations be trimmed, next.
	batchAt time.Time
}

// run works until ctx ends. Only the instance whose knowledge has no age, which is the leader, does the work.
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
		// An instance that is removed from the log still counts for a time, so every instance keeps track of the members.
		u.Collector.Observe(now)
		gone := !now.Before(u.goneAt)
		if gone {
			u.goneAt = now.Add(goneInterval)
			u.Collector.Leaser.Expire(now)
		}
		if age, ok := u.Authority.Vouch(time.Now()); !ok || age > 0 {
			clear(u.failingSince)
			// An earlier leader may have written a batch just now.
			u.batchAt = now.Add(batchInterval)
			continue
		}
		u.step(ctx, gone)
	}
}

func (u *upkeep) step(ctx context.Context, gone bool) {
	// Nodes are judged at the time before the question, so that a pause of this process does not make them look silent.
	now := time.Now()
	instances := u.Collector.Collect(ctx, connector.Question{Brief: true})
	sessions := leaser.Merge(instances)
	var f planner.Facts
	if u.heardAll(now, instances) {
		f = leaser.Upkeep(now, u.World, sessions)
		if gone && runFor(now, instances, leaser.KeepTime) {
			f.Gone = leaser.Gone(now, u.World, sessions)
		}
	}
	if u.Departed != nil {
		f.Gone = append(f.Gone, u.Departed()...)
	}
	if now.Before(u.batchAt) {
		f.Trims = nil
	} else {
		u.batchAt = now.Add(batchInterval)
		f.Upstreams = leaser.Weights(now, u.World, sessions)
	}
	if f.Empty() {
		return
	}
	if _, err := proposeFacts(ctx, u.Log, f); err != nil {
		// The next round tries again.
		u.Recorder.Warn(recorder.ProposalFailed, recorder.Err(err))
	}
}

// runFor reports whether all instances answer and have been running for a time.
func runFor(now time.Time, instances []leaser.Instance, d time.Duration) bool {
	return !slices.ContainsFunc(instances, func(i leaser.Instance) bool {
		return !i.Answered || !now.After(i.StartedAt.Add(d))
	})
}

// heardAll reports whether each instance has either been running for long enough to have heard its nodes or been out of reach
// for so long that its nodes have moved to others.
func (u *upkeep) heardAll(now time.Time, instances []leaser.Instance) bool {
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
