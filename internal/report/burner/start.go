package burner

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

const (
	// maxRanges is the maximum number of ranges that an instance keeps for a start. A new range begins each time the node sends
	// batches to this instance again after it sent some to another one.
	maxRanges = 64
	// maxStarts is the maximum number of starts kept for a machine.
	maxStarts = 8
)

// BatchRange is a range of consecutive batch numbers and the time in which the batches arrived.
type BatchRange struct {
	First uint64    `json:"first"`
	Last  uint64    `json:"last"`
	Since time.Time `json:"since"`
	Until time.Time `json:"until"`
}

// StartData records which batches of one start of a node have arrived.
type StartData struct {
	Incarnation registrar.Incarnation `json:"incarnation"`
	StartedAt   time.Time             `json:"started_at"`
	// Stopped is set if the node has sent all its counts and stopped as planned.
	Stopped bool `json:"stopped,omitempty"`
	// Batches are ordered by number. The ranges of one instance are not adjacent, because addBatch extends a range by the number
	// that follows it. Ranges merged from several instances may be adjacent or overlap.
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

func (s *StartData) hasBatch(number uint64) bool {
	return slices.ContainsFunc(s.Batches, func(b BatchRange) bool { return b.First <= number && number <= b.Last })
}

// addBatch records a batch that has not arrived before.
func (s *StartData) addBatch(number uint64, at time.Time) {
	if i := slices.IndexFunc(s.Batches, func(b BatchRange) bool { return b.Last+1 == number }); i >= 0 {
		s.Batches[i].Last, s.Batches[i].Until = number, at
		return
	}
	s.Batches = append(s.Batches, BatchRange{First: number, Last: number, Since: at, Until: at})
	slices.SortFunc(s.Batches, func(a, b BatchRange) int { return cmp.Compare(a.First, b.First) })
	if len(s.Batches) > maxRanges {
		s.Batches = s.Batches[1:]
	}
}

// Doubtful is a batch that another instance may have counted: the batch was sent there first, but no reply arrived. A merged
// report counts it only if no other instance has a batch with its number.
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

// merge adds the batches that another instance has of the same start.
func (s *StartData) merge(o StartData) {
	s.Stopped = s.Stopped || o.Stopped
	s.Batches = append(slices.Clone(s.Batches), o.Batches...)
	slices.SortFunc(s.Batches, func(a, b BatchRange) int {
		return cmp.Or(cmp.Compare(a.First, b.First), cmp.Compare(a.Last, b.Last))
	})
}

// lostBatches describes the gaps in the batch numbers that end after from. Numbers begin at 1.
func (s *StartData) lostBatches(machine registrar.MachineName, from time.Time) []string {
	var all []string
	var last uint64
	for _, b := range s.Batches {
		switch {
		case b.First <= last+1 || !b.Since.After(from):
		case last == 0:
			all = append(all, fmt.Sprintf("data of %s only since %s", machine, formatTime(b.Since)))
		default:
			all = append(all, fmt.Sprintf("%d batches of %s lost before %s", b.First-last-1, machine, formatTime(b.Since)))
		}
		last = max(last, b.Last)
	}
	return all
}

func formatTime(t time.Time) string { return t.UTC().Format(time.TimeOnly) }

// NodeData records which batches of a node have arrived.
type NodeData struct {
	Machine registrar.MachineName `json:"machine"`
	// Service is the service of an agent. It is empty for an entry, whose data concerns all services.
	Service registrar.ServiceName `json:"service,omitempty"`
	// Starts are ordered by time.
	Starts []StartData `json:"starts"`
}

func (n *NodeData) mergeStart(s StartData) {
	if i := slices.IndexFunc(n.Starts, func(o StartData) bool { return o.Incarnation == s.Incarnation }); i >= 0 {
		n.Starts[i].merge(s)
		return
	}
	n.Starts = append(n.Starts, s)
	slices.SortFunc(n.Starts, func(a, b StartData) int { return a.StartedAt.Compare(b.StartedAt) })
}

// missingData returns the reasons why the data of the node does not cover the time between from and until.
func (n *NodeData) missingData(from, until time.Time) []string {
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
			all = append(all, fmt.Sprintf("last counts of %s before it started again at %s", n.Machine, formatTime(n.Starts[i+1].StartedAt)))
		case newest && !s.Stopped && until.Sub(last) > maxBatchGap:
			all = append(all, fmt.Sprintf("no data of %s since %s", n.Machine, formatTime(last)))
		}
		all = append(all, s.lostBatches(n.Machine, from)...)
	}
	return all
}
