package leaser

import (
	"cmp"
	"slices"
	"time"

	"github.com/peridotstage/peridotstage/internal/control/planner"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// maxWeightChanges is the largest number of upstreams whose weights change in one revision, which then takes about 400 KB in the log.
const maxWeightChanges = 1024

// ChangedWeights returns up to maxWeightChanges upstreams for which only the announced weight differs from the configuration, the
// largest changes first. Every node has to process every revision, and a revision for each changed weight of 7,800 upstreams would
// make several a second.
func ChangedWeights(now time.Time, w *registrar.World, sessions []Session) []planner.UpstreamFact {
	type weightChange struct {
		fact planner.UpstreamFact
		// ratio is that of the larger to the smaller weight.
		ratio float64
	}
	var changes []weightChange
	for _, s := range sessions {
		if s.Announcement == nil || !now.Before(s.HeardAt.Add(SilentAfter)) {
			continue
		}
		// A session of an earlier incarnation, or of a machine that the configuration describes differently, is skipped. The
		// announcement of the newer incarnation reports its weight.
		if m, ok := w.Machine(s.Machine.Name); !ok || m != s.Machine {
			continue
		}
		fact := s.upstreamFact()
		upstream, exists := w.Upstream(fact.Name)
		next := fact.Merge(upstream, exists)
		if !exists || next.Weight == upstream.Weight {
			continue
		}
		ratio := float64(next.Weight) / float64(upstream.Weight)
		if next.Weight = upstream.Weight; next == upstream {
			changes = append(changes, weightChange{fact, max(ratio, 1/ratio)})
		}
	}
	slices.SortStableFunc(changes, func(a, b weightChange) int { return cmp.Compare(b.ratio, a.ratio) })
	var facts []planner.UpstreamFact
	for _, c := range changes[:min(len(changes), maxWeightChanges)] {
		facts = append(facts, c.fact)
	}
	return facts
}
