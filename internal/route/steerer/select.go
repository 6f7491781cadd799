package steerer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/peridotstage/peridotstage/internal/admit/ejector"
	"github.com/peridotstage/peridotstage/internal/route/carrier"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

const (
	// shortlistMean is the mean number of upstreams in the shortlist, which are selected by rank alone. It leaves room for some that are
	// tried, failing or without room, and is rarely below maxCandidates by chance.
	shortlistMean = 2 * maxCandidates
	// maxShortlist is the largest length of a shortlist. It is practically never exceeded, as the length has a Poisson distribution.
	maxShortlist = 3 * shortlistMean
)

// rankedChoice is a choice with the score of its upstream, which ranks it.
type rankedChoice struct {
	choice
	score uint64
}

// selection collects the candidates for a new flow.
type selection struct {
	pool  *pool
	now   time.Time
	hash  uint64
	tried []registrar.UpstreamID
	// count is the number of healthy candidates so far, and scores holds their scores in the order of their rank. The candidates are passed
	// beside the selection: in a field they would be allocated, by the rules of the compiler's escape analysis.
	count   int
	scores  [maxCandidates]uint64
	failing []rankedChoice
	// threshold is the share of failed requests above which an upstream is failing, once thresholdKnown is true. It is needed only if a
	// candidate fails requests.
	threshold      carrier.FailureShare
	thresholdKnown bool
}

// candidates returns the upstreams that have room, without those already tried. It is small enough to be inlined, so that the candidates
// are on the stack of the caller.
func (p *pool) candidates(now time.Time, hash uint64, tried []registrar.UpstreamID) candidates {
	var healthy [maxCandidates]choice
	return p.selectCandidates(healthy[:0], now, hash, tried)
}

// selectCandidates returns the candidates; healthy is the empty slice that holds them. Usually they are among the first by rank, which
// are found without a look at the loads of the others.
func (p *pool) selectCandidates(healthy []choice, now time.Time, hash uint64, tried []registrar.UpstreamID) candidates {
	s := selection{pool: p, now: now, hash: hash, tried: tried}
	var shortlist [maxShortlist]rankedIndex
	first, lowest := p.shortlist(shortlist[:0], hash)
	for _, r := range first {
		if s.complete() {
			break
		}
		healthy = s.add(healthy, p.open[r.index], r.score)
	}
	if !s.complete() && lowest > 0 {
		healthy = s.addBelow(healthy, lowest)
	}
	return candidates{healthy: healthy, failing: s.rankedFailing(), hasOpen: len(p.open) > 0}
}

// rankedIndex is the index of an upstream in pool.open with its score.
type rankedIndex struct {
	score uint64
	index int
}

// shortlist appends the upstreams with a score of at least lowest to first and sorts them by rank. Scores are evenly distributed, so
// lowest follows from the number of upstreams. A sorted list of the best so far would change often at the beginning.
func (p *pool) shortlist(first []rankedIndex, hash uint64) (_ []rankedIndex, lowest uint64) {
	if n := uint64(len(p.open)); n > shortlistMean {
		lowest = math.MaxUint64 - math.MaxUint64/n*shortlistMean
	}
	for i, idHash := range p.idHashes {
		score := mix(hash ^ idHash)
		if score < lowest {
			continue
		}
		if len(first) == cap(first) {
			return nil, math.MaxUint64
		}
		first = append(first, rankedIndex{score, i})
	}
	for i := 1; i < len(first); i++ {
		for j := i; j > 0 && first[j-1].score < first[j].score; j-- {
			first[j-1], first[j] = first[j], first[j-1]
		}
	}
	return first, lowest
}

// complete reports whether all candidates are known.
func (s *selection) complete() bool { return s.count == maxCandidates }

// add adds an upstream with a score above that of the last candidate, or if there are fewer than maxCandidates, to the candidates if it
// has room.
func (s *selection) add(healthy []choice, m *member, score uint64) []choice {
	e, age, hasRoom := m.load.estimate(s.now, s.pool.maxFlows)
	if !hasRoom || slices.Contains(s.tried, m.id) {
		return healthy
	}
	c := choice{estimate: e, member: m, reportAge: age}
	if s.fails(e.failures) {
		s.failing = append(s.failing, rankedChoice{c, score})
		return healthy
	}
	if !s.complete() {
		healthy = append(healthy, choice{})
		s.count++
	}
	i := s.count - 1
	for ; i > 0 && s.scores[i-1] < score; i-- {
		healthy[i], s.scores[i] = healthy[i-1], s.scores[i-1]
	}
	healthy[i], s.scores[i] = c, score
	return healthy
}

// addBelow adds the upstreams with a score below highest. It looks at the loads of those only that rank before the last candidate.
func (s *selection) addBelow(healthy []choice, highest uint64) []choice {
	for i, idHash := range s.pool.idHashes {
		score := mix(s.hash ^ idHash)
		if score < highest && (!s.complete() || score > s.scores[maxCandidates-1]) {
			healthy = s.add(healthy, s.pool.open[i], score)
		}
	}
	return healthy
}

// fails reports whether an upstream with the given share of failed requests is failing.
func (s *selection) fails(share carrier.FailureShare) bool {
	// The threshold is never below the share from which ejector.Fails is true.
	if !ejector.Fails(share) {
		return false
	}
	if !s.thresholdKnown {
		s.threshold, s.thresholdKnown = s.pool.failureThreshold(s.now), true
	}
	return share > s.threshold
}

// rankedFailing returns the failing upstreams in front of the last candidate, or all if there are fewer candidates than maxCandidates.
func (s *selection) rankedFailing() []choice {
	if len(s.failing) == 0 {
		return nil
	}
	slices.SortFunc(s.failing, func(a, b rankedChoice) int { return cmp.Compare(b.score, a.score) })
	var all []choice
	for _, r := range s.failing {
		if !s.complete() || r.score > s.scores[maxCandidates-1] {
			all = append(all, r.choice)
		}
	}
	return all
}
