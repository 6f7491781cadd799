package checker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/peridotstage/peridotstage/internal/control/planner"
	"github.com/peridotstage/peridotstage/internal/fake/backend"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// Mix is a set of faults that are injected during a run.
type Mix struct {
	Name string
	// Disturb returns a function that injects faults until its context ends.
	Disturb func(system *System) func(ctx context.Context, r *rand.Rand)
}

// Mixes are the fault mixes of section 2 of the design page.
var Mixes = []Mix{
	{"lost_answers", lostAnswers},
	{"agents_killed", agentsKilled},
	{"upstreams_retired", upstreamsRetired},
	{"all", allFaults},
}

// lostAnswers breaks connections between agents and upstreams before and after a job runs.
func lostAnswers(system *System) func(ctx context.Context, r *rand.Rand) {
	return func(ctx context.Context, _ *rand.Rand) {
		system.setRates(backend.Rates{BreakBefore: 0.02, BreakAfter: 0.03})
		<-ctx.Done()
		system.setRates(backend.Rates{})
	}
}

func (system *System) setRates(r backend.Rates) {
	for _, b := range system.Backends {
		b.SetRates(r)
	}
}

// sleep waits for d and reports whether it did so before ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// agentsKilled kills random agents, each of which is also a claim owner, and starts them again.
func agentsKilled(system *System) func(ctx context.Context, r *rand.Rand) {
	return func(ctx context.Context, r *rand.Rand) {
		for wait := time.Second; sleep(ctx, wait); wait = time.Duration(2000+r.IntN(3000)) * time.Millisecond {
			i := r.IntN(len(system.Backends))
			system.Process(fmt.Sprintf("agent-%s", system.UpstreamName(0, i))).Kill()
			sleep(ctx, time.Duration(r.IntN(1000))*time.Millisecond)
			system.StartAgent(0, i)
		}
	}
}

// upstreamsRetired retires random upstreams and restores each one after 500 ms.
func upstreamsRetired(system *System) func(ctx context.Context, r *rand.Rand) {
	return func(ctx context.Context, r *rand.Rand) {
		for sleep(ctx, 500*time.Millisecond) {
			u := registrar.Upstream{Name: system.UpstreamName(0, r.IntN(len(system.Backends)))}
			system.ApplyIntent(planner.Intent{Kind: planner.RetireUpstream, Upstream: &u})
			sleep(ctx, 500*time.Millisecond)
			system.ApplyIntent(planner.Intent{Kind: planner.RestoreUpstream, Upstream: &u})
		}
	}
}

// allFaults injects the faults of the other three mixes at the same time.
func allFaults(system *System) func(ctx context.Context, r *rand.Rand) {
	return func(ctx context.Context, r *rand.Rand) {
		done := make(chan struct{})
		go func() {
			defer close(done)
			agentsKilled(system)(ctx, rand.New(rand.NewPCG(r.Uint64(), 2)))
		}()
		system.setRates(backend.Rates{BreakBefore: 0.02, BreakAfter: 0.03})
		upstreamsRetired(system)(ctx, r)
		<-done
		system.setRates(backend.Rates{})
	}
}
