package burner

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

const (
	// keepRanges bounds the ranges of a start. A node opens one each time it comes back to an instance.
	keepRanges = 64
	// keepStarts bounds the starts of a machine.
	keepStarts = 8
)

// BatchRange is a run of batches without a gap.
type BatchRange struct {
	First uint64    `json:"first"`
	Last  uint64    `json:"last"`
	Since time.Time `json:"since"`
	Until time.Time `json:"until"`
}

// StartData says which batches of one start of a node have arrived.
type StartData struct {
	Incarnation registrar.Incarnation `json:"incarnation"`
	StartedAt   time.Time             `json:"started_at"`
	// Stopped says that the node has sent all its counts and stopped as planned.
	Stopped bool `json:"stopped,omitempty"`
	// Batches are ordered by number. Those of one instance do not touch.
	Batches []BatchRange `json:"batches"`
}

func (s *StartData) lastBatchAt() time.Time {
	var at time.Time
	for _, b := range s.Batches {
		if b.Until.After(at) {
			at = b.Until
		}
	}
	return at
}

func (s *StartData) has(number uint64) bool {
	return slices.ContainsFunc(s.Batches, func(b BatchRange) bool { return b.First <= number && number <= b.Last })
}

// add notes a batch that has not arrived before.
func (s *StartData) add(number uint64, at time.Time) {
	if i := slices.IndexFunc(s.Batches, func(b BatchRange) bool { return b.Last+1 == number }); i >= 0 {
		s.Batches[i].Last, s.Batches[i].Until = number, at
		return
	}
	s.Batches = append(s.Batches, BatchRange{First: number, Last: number, Since: at, Until: at})
	slices.SortFunc(s.Batches, func(a, b BatchRange) int { return cmp.Compare(a.First, b.First) })
	if len(s.Batches) > keepRanges {
		s.Batches = s.Batches[1:]
	}
}

// Doubtful is a batch that was sent to another instance before, which may have counted it although its reply was lost. It counts
// only if no other instance has its number.
type Doubtful struct {
	Machine registrar.MachineName `json:"machine"`
	StartData
	Number uint64       `json:"number"`
	At     time.Time    `json:"at"`
	Lines  []DoubtfulAt `json:"lines"`
}

// DoubtfulAt are the counts of a doubtful batch for one line.
type DoubtfulAt struct {
	Service  registrar.ServiceName  `json:"service"`
	Customer registrar.CustomerName `json:"customer,omitempty"`
	RequestCounts
}

// merge joins the batches that two instances have of the same start.
func (s *StartData) merge(o StartData) {
	s.Stopped = s.Stopped || o.Stopped
	s.Batches = append(slices.Clone(s.Batches), o.Batches...)
	slices.SortFunc(s.Batches, func(a, b BatchRange) int {
		return cmp.Or(cmp.Compare(a.First, b.First), cmp.Compare(a.Last, b.Last))
	})
}

// lost returns the gaps in the numbers, which begin at 1, that end after a time.
func (s *StartData) lost(machine registrar.MachineName, from time.Time) []string {
	var all []string
	var last uint64
	for _, b := range s.Batches {
		switch {
		case b.First <= last+1 || !b.Since.After(from):
		case last == 0:
			all = append(all, fmt.Sprintf("data of %s only since %s", machine, clock(b.Since)))
		default:
			all = append(all, fmt.Sprintf("%d batches of %s lost before %s", b.First-last-1, machine, clock(b.Since)))
		}
		last = max(last, b.Last)
	}
	return all
}

func clock(t time.Time) string { return t.UTC().Format(time.TimeOnly) }

// NodeData says which batches of a node have arrived.
type NodeData struct {
	Machine registrar.MachineName `json:"machine"`
	// Service is that of an agent; it is empty for an entry, whose data counts for all services.
	Service registrar.ServiceName `json:"service,omitempty"`
	// Starts are ordered by time.
	Starts []StartData `json:"starts"`
}

func (n *NodeData) start(s StartData) {
	if i := slices.IndexFunc(n.Starts, func(o StartData) bool { return o.Incarnation == s.Incarnation }); i >= 0 {
		n.Starts[i].merge(s)
		return
	}
	n.Starts = append(n.Starts, s)
	slices.SortFunc(n.Starts, func(a, b StartData) int { return a.StartedAt.Compare(b.StartedAt) })
}

// missing returns why the data of the node does not cover the time from one time to another.
func (n *NodeData) missing(from, at time.Time) []string {
	if len(n.Starts) == 0 {
		return []string{fmt.Sprintf("no data of %s", n.Machine)}
	}
	var all []string
	for i, s := range n.Starts {
		last := s.lastBatchAt()
		newest := i == len(n.Starts)-1
		switch {
		case !newest && !last.After(from):
		case !newest && !s.Stopped:
			all = append(all, fmt.Sprintf("last counts of %s before it started again at %s", n.Machine, clock(n.Starts[i+1].StartedAt)))
		case newest && !s.Stopped && at.Sub(last) > missingAfter:
			all = append(all, fmt.Sprintf("no data of %s since %s", n.Machine, clock(last)))
		}
		all = append(all, s.lost(n.Machine, from)...)
	}
	return all
}
