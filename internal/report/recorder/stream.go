package recorder

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// Events of stream flows and their requests, of orders, and of metrics, memory-only instances and trusted networks.
var (
	FlowPlaced        = Event{3101, "flow placed"}
	FlowReset         = Event{3102, "flow reset"}
	PacketDropped     = Event{3103, "packet dropped"}
	FlowReturned      = Event{3104, "flow returned by agent"}
	LinesLeftOut      = Event{3105, "lines about flows left out"}
	FlowLost          = Event{3106, "flow lost"}
	OpeningWaits      = Event{3107, "opening packet waits"}
	FlowNotTaken      = Event{5301, "flow not taken"}
	RequestBegun      = Event{5302, "request begun"}
	RequestAnswered   = Event{5303, "request answered"}
	UpstreamCheckedIn = Event{5304, "upstream checked in"}
	UpstreamLeaves    = Event{5305, "upstream leaves"}
	CheckInRefused    = Event{5306, "check-in refused"}
	UpstreamFails     = Event{5307, "upstream fails requests"}
	UpstreamRecovered = Event{5308, "upstream processes requests again"}
	OrderTaken        = Event{4401, "order taken"}
	OrderRefused      = Event{4402, "order refused"}
	MetricsFailed     = Event{1109, "metrics cannot be served"}
	// VolatileInstance is logged at the start of a control instance without a data folder.
	VolatileInstance = Event{1110, "instance keeps its state in memory and has no vote"}
	TrustedNetwork   = Event{1108, "network is trusted: connections and datagrams carry no keys"}
)

// maxFlowLines is the maximum number of lines about flows that a process writes per second. A line takes about 300 bytes and
// 10 us.
const maxFlowLines = 200

const (
	// maxRoutineLines is the line rate above which routine events of flows outside the sample are left out. maxSampledLines is
	// the line rate above which routine events of sampled flows are left out. The rest of maxFlowLines is reserved for refusals
	// and losses.
	maxRoutineLines = maxFlowLines / 2
	maxSampledLines = maxFlowLines * 3 / 4
	// samplingInterval defines the sample: the flows whose caller's port is a multiple of samplingInterval. Sampling by port
	// makes all machines keep the lines of the same flows.
	samplingInterval = 8
)

// isRoutine reports whether every successful flow causes the event, or may cause it in a shortage.
func (e Event) isRoutine() bool {
	return e == FlowPlaced || e == OpeningWaits || e == RequestBegun || e == RequestAnswered
}

// lineLimit returns the number of lines per second up to which an event of a flow is written.
func lineLimit(e Event, f registrar.Flow) int64 {
	switch {
	case !e.isRoutine():
		return maxFlowLines
	case InSample(f):
		return maxSampledLines
	}
	return maxRoutineLines
}

// flowLimiter limits the number of lines about flows per second.
type flowLimiter struct {
	// second is the Unix time of the second that the counts below belong to.
	second  atomic.Int64
	written atomic.Int64
	// omitted counts the lines left out since they were last reported.
	omitted atomic.Int64
}

// allow reports whether another line may be written in the second of now, given a limit of lines per second. At the first call
// in a second, omitted is the number of lines left out before it.
func (l *flowLimiter) allow(now time.Time, limit int64) (ok bool, omitted int64) {
	second := now.Unix()
	if previous := l.second.Load(); previous != second && l.second.CompareAndSwap(previous, second) {
		l.written.Store(0)
		omitted = l.omitted.Swap(0)
	}
	if l.written.Add(1) > limit {
		l.written.Add(-1)
		l.omitted.Add(1)
		return false, omitted
	}
	return true, omitted
}

// Flow writes an event about a flow. Above the limit of lines per second it only counts the events, and reports the count in a
// later second.
func (r *Recorder) Flow(e Event, f registrar.Flow, fields ...zap.Field) {
	ok, omitted := r.limiter.allow(time.Now(), lineLimit(e, f))
	if omitted > 0 {
		r.Info(LinesLeftOut, zap.Int64("lines", omitted))
	}
	if !ok {
		return
	}
	r.Info(e, append(fields, zap.Stringer("caller", f.Caller), zap.Stringer("address", f.Service))...)
}
