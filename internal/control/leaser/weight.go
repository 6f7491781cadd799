package leaser

import (
	"cmp"
	"slices"
	"time"

	"github.com/peridotstage/peridotstage/internal/control/planner"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// maxWeights bounds the upstreams whose weights move in one revision, which is then about 400 KB in the log.
const maxWeights = 1024

// Weights returns the upstreams of which nothing but the weight has moved, at most maxWeights of them, the largest moves first.
// Each revision costs every node, and weights of 7,800 upstreams would make several a second on their own.
func Weights(now time.Time, w *registrar.World, sessions []Session) []planner.UpstreamFact {
	type move struct {
		fact   planner.UpstreamFact
		factor float64
	}
	var moves []move
	for _, s := range sessions {
		if s.Announcement == nil || !now.Before(s.HeardAt.Add(SilentAfter)) {
			continue
		}
		// A report of an earlier start, or of another machine, is left to the announcement of the newer one.
		if m, ok := w.Machine(s.Machine.Name); !ok || m != s.Machine {
			continue
		}
		fact := s.upstreamFact()
		u, had := w.Upstream(fact.Name)
		next := fact.Merge(u, had)
		if !had || next.Weight == u.Weight {
			continue
		}
		factor := float64(next.Weight) / float64(u.Weight)
		if next.Weight = u.Weight; next == u {
			moves = append(moves, move{fact, max(factor, 1/factor)})
		}
	}
	slices.SortStableFunc(moves, func(a, b move) int { return cmp.Compare(b.factor, a.factor) })
	var facts []planner.UpstreamFact
	for _, m := range moves[:min(len(moves), maxWeights)] {
		facts = append(facts, m.fact)
	}
	return facts
}
