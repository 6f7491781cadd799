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

// Mix is a set of failures that happen during a run.
type Mix struct {
	Name    string
	Disturb func(e *Estate) func(ctx context.Context, r *rand.Rand)
}

// Mixes are the failure mixes of the design page, section 2.
var Mixes = []Mix{
	{"lost_answers", lostAnswers},
	{"agents_killed", agentsKilled},
	{"upstreams_retired", upstreamsRetired},
	{"all", allFaults},
}

// lostAnswers breaks connections between agents and upstreams before and after the run.
func lostAnswers(e *Estate) func(ctx context.Context, r *rand.Rand) {
	return func(ctx context.Context, _ *rand.Rand) {
		e.setRates(backend.Rates{BreakBefore: 0.02, BreakAfter: 0.03})
		<-ctx.Done()
		e.setRates(backend.Rates{})
	}
}

func (e *Estate) setRates(r backend.Rates) {
	for _, b := range e.Backends {
		b.SetRates(r)
	}
}

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

// agentsKilled kills agents, which are claim owners too, and starts them again.
func agentsKilled(e *Estate) func(ctx context.Context, r *rand.Rand) {
	return func(ctx context.Context, r *rand.Rand) {
		for wait := time.Second; sleep(ctx, wait); wait = time.Duration(2000+r.IntN(3000)) * time.Millisecond {
			i := r.IntN(len(e.Backends))
			e.Process(fmt.Sprintf("agent-%s", e.UpstreamName(0, i))).Kill()
			sleep(ctx, time.Duration(r.IntN(1000))*time.Millisecond)
			e.StartAgent(0, i)
		}
	}
}

// upstreamsRetired retires upstreams and brings them back.
func upstreamsRetired(e *Estate) func(ctx context.Context, r *rand.Rand) {
	return func(ctx context.Context, r *rand.Rand) {
		for sleep(ctx, 500*time.Millisecond) {
			u := registrar.Upstream{Name: e.UpstreamName(0, r.IntN(len(e.Backends)))}
			e.Carry(planner.Intent{Kind: planner.RetireUpstream, Upstream: &u})
			sleep(ctx, 500*time.Millisecond)
			e.Carry(planner.Intent{Kind: planner.RestoreUpstream, Upstream: &u})
		}
	}
}

// allFaults is the other mixes together.
func allFaults(e *Estate) func(ctx context.Context, r *rand.Rand) {
	return func(ctx context.Context, r *rand.Rand) {
		done := make(chan struct{})
		go func() {
			defer close(done)
			agentsKilled(e)(ctx, rand.New(rand.NewPCG(r.Uint64(), 2)))
		}()
		e.setRates(backend.Rates{BreakBefore: 0.02, BreakAfter: 0.03})
		upstreamsRetired(e)(ctx, r)
		<-done
		e.setRates(backend.Rates{})
	}
}
