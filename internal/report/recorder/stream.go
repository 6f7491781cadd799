package recorder

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// The events of stream flows and their requests.
var (
	FlowPlaced      = Event{3101, "flow placed"}
	FlowReset       = Event{3102, "flow reset"}
	PacketDropped   = Event{3103, "packet dropped"}
	FlowReturned    = Event{3104, "flow returned by agent"}
	LinesLeftOut    = Event{3105, "lines about flows left out"}
	FlowNotTaken    = Event{5301, "flow not taken"}
	RequestBegun    = Event{5302, "request begun"}
	RequestAnswered = Event{5303, "request answered"}
	UpstreamHeard   = Event{5304, "upstream checked in"}
	UpstreamLeaves  = Event{5305, "upstream leaves"}
	CheckInRefused  = Event{5306, "check-in refused"}
	OrderTaken      = Event{4401, "order taken"}
	OrderRefused    = Event{4402, "order refused"}
	MetricsFailed   = Event{1109, "metrics cannot be served"}
	// VolatileInstance is logged at the start of a control instance without a data folder.
	VolatileInstance = Event{1110, "instance keeps its state in memory and has no vote"}
	TrustedNetwork   = Event{1108, "network is trusted: connections and datagrams carry no keys"}
)

// maxFlowLines bounds the lines about flows that a process writes in a second. A line takes some 300 bytes and 10 us.
const maxFlowLines = 200

const (
	// maxRoutineLines bounds the lines about flows that go well, and maxSampledLines those with the lines of sampled flows, so
	// that refusals and losses find room.
	maxRoutineLines = maxFlowLines / 2
	maxSampledLines = maxFlowLines * 3 / 4
	// sampledPorts is how many callers' ports share one flow of the sample. The port decides, so all machines keep the lines of
	// the same flows.
	sampledPorts = 8
)

// routine reports whether an event happens to every flow that goes well.
func (e Event) routine() bool { return e == FlowPlaced || e == RequestBegun || e == RequestAnswered }

// linesFor returns the number of lines a second up to which an event of a flow may be written.
func linesFor(e Event, f registrar.Flow) int64 {
	switch {
	case !e.routine():
		return maxFlowLines
	case f.Caller.Port()%sampledPorts == 0:
		return maxSampledLines
	}
	return maxRoutineLines
}

// flowBudget bounds lines by the second.
type flowBudget struct {
	second  atomic.Int64
	written atomic.Int64
	left    atomic.Int64
}

// take reports whether another line may be written in a second that may have a number of lines, and how many were left out in an
// earlier second.
func (b *flowBudget) take(now time.Time, lines int64) (ok bool, left int64) {
	second := now.Unix()
	if old := b.second.Load(); old != second && b.second.CompareAndSwap(old, second) {
		b.written.Store(0)
		left = b.left.Swap(0)
	}
	if b.written.Add(1) > lines {
		b.written.Add(-1)
		b.left.Add(1)
		return false, left
	}
	return true, left
}

// Flow writes an event about a flow. Above a number of lines a second it only counts them, and says how many later.
func (r *Recorder) Flow(e Event, f registrar.Flow, fields ...zap.Field) {
	ok, left := r.budget.take(time.Now(), linesFor(e, f))
	if left > 0 {
		r.Info(LinesLeftOut, zap.Int64("lines", left))
	}
	if !ok {
		return
	}
	r.Info(e, append(fields, zap.Stringer("caller", f.Caller), zap.Stringer("address", f.Service))...)
}
