package carrier

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// SegmentFlags are the control flags of a packet of a stream flow.
type SegmentFlags byte

// The flags of a segment.
const (
	// Open requests a flow; together with Acknowledge it accepts one.
	Open SegmentFlags = 1 << iota
	// Acknowledge means that Segment.Acknowledged holds a sequence number.
	Acknowledge
	// End means that the sender sends no more data.
	End
	// Reset aborts the flow.
	Reset
	// Returned means that an upstream does not hold the flow, or does not accept it. The rest of the packet is unchanged.
	Returned
)

// Segment holds the parts of a stream flow's packet that machines of the system read.
type Segment struct {
	From, To     netip.AddrPort
	Flags        SegmentFlags
	Sequence     uint32
	Acknowledged uint32
	// Payload shares the memory of the packet.
	Payload []byte
}

// Has reports whether all the given flags are set.
func (s *Segment) Has(f SegmentFlags) bool { return s.Flags&f == f }

// Opens reports whether a packet from a caller requests a flow.
func (s *Segment) Opens() bool { return s.Has(Open) && !s.Has(Acknowledge) }

// Attempt returns the number of times that the caller has sent the same opening packet before.
func (s *Segment) Attempt() uint32 { return s.Acknowledged }

// Flow returns the flow of a packet that a caller sent.
func (s *Segment) Flow() registrar.Flow { return registrar.Flow{Caller: s.From, Service: s.To} }

// ReverseFlow returns the flow of a packet that an upstream sent.
func (s *Segment) ReverseFlow() registrar.Flow { return registrar.Flow{Caller: s.To, Service: s.From} }

// ServiceTag is a hash of a service's name. It identifies the service in datagrams between machines.
type ServiceTag uint32

// TagOf returns the tag of a service.
func TagOf(name registrar.ServiceName) ServiceTag {
	return ServiceTag(xxhash.Sum64String(string(name)))
}

// HopKind is the kind of a datagram about stream flows between machines.
type HopKind byte

// The kinds of hop.
const (
	// HopPass carries a caller's packet from an entry to an agent.
	HopPass HopKind = 1
	// HopReturn carries a packet back to the entry, because the agent does not take it.
	HopReturn HopKind = 2
	// HopFlowFound tells an entry that the agent holds the flow that the entry was searching for.
	HopFlowFound HopKind = 3
	// HopSubscribe asks an agent for load reports.
	HopSubscribe HopKind = 4
	// HopReport carries the load report of an upstream to an entry.
	HopReport HopKind = 5
	// HopLookup asks an agent which flows of a list its upstream holds.
	HopLookup HopKind = 6
	// HopLookupAnswer carries the answer of an agent to a lookup.
	HopLookupAnswer HopKind = 7
)

// ReturnReason is the reason why an agent returns a packet.
type ReturnReason byte

// The return reasons.
const (
	// ReturnUnknownFlow means that the upstream does not hold the flow.
	ReturnUnknownFlow ReturnReason = 1 + iota
	// ReturnOtherService means that the upstream belongs to another service.
	ReturnOtherService
	// ReturnClosed means that the upstream takes no new flows: it is leaving or absent, or its zone is withdrawn.
	ReturnClosed
	// ReturnCold means that a cold upstream has received as many new flows as it is allowed for now.
	ReturnCold
	// ReturnRefused means that the upstream itself did not accept the flow.
	ReturnRefused
	// ReturnSilent means that the upstream has not answered.
	ReturnSilent
	// ReturnBusy means that the upstream has as many requests as it can answer in time.
	ReturnBusy
	// ReturnFailing means that the flow is a probe of a failing upstream that has just got another one.
	ReturnFailing
	// ReturnUndecided means that the upstream has neither answered the packet nor sent it back, so it may hold the flow.
	ReturnUndecided
	// ReturnFull means that the upstream has as many open flows as its service allows.
	ReturnFull
	returnReasonCount
)

var returnReasons = [returnReasonCount]string{
	"", "unknown_flow", "other_service", "closed", "cold", "refused", "silent", "busy", "failing", "undecided", "full",
}

// String returns the reason in snake case.
func (r ReturnReason) String() string {
	if r >= returnReasonCount {
		return "other"
	}
	return returnReasons[r]
}

// Outcome is what an upstream's answer says about the request.
type Outcome byte

// The outcomes of a request.
const (
	// OutcomeUnknown means that a packet does not begin an answer, or that its first bytes do not say how the request ended.
	OutcomeUnknown Outcome = iota
	// OutcomeSucceeded means that the upstream processed the request.
	OutcomeSucceeded
	// OutcomeFailed means that the upstream failed while it processed the request.
	OutcomeFailed
	// OutcomeNotRun means that the upstream had no room for the request and has not run it.
	OutcomeNotRun
)

// FailureShare is the fraction of requests that failed, in units of 1/AllFailed.
type FailureShare uint8

// AllFailed is the FailureShare if every request fails.
const AllFailed = 255

// Percent returns the share in percent.
func (s FailureShare) Percent() int { return int(s) * 100 / AllFailed }

// ReportTicks is a time between two load reports, in units of ReportTick.
type ReportTicks uint8

// ReportTick is the unit of ReportTicks, and MaxReportTicks the largest value that a header holds.
const (
	ReportTick                 = 10 * time.Millisecond
	MaxReportTicks ReportTicks = 1<<7 - 1
)

// HopHeader describes a datagram about stream flows between machines.
type HopHeader struct {
	Kind HopKind
	// Service is the tag of the service to which the flow was assigned, or which a report describes.
	Service ServiceTag
	// Step is the number of agents that were asked for the flow before; 0 if the entry knows or chooses the agent.
	Step uint8
	// Searching is true if the entry does not know which agent holds the flow.
	Searching bool
	// Probe is true in a pass if the entry counts the upstream as failing and the flow probes whether it still fails.
	Probe bool
	// Reason is set in a return.
	Reason ReturnReason
	// ReportTicks is the shortest time between two load reports that a subscription asks for. It is at most MaxReportTicks, and 0 in
	// other datagrams.
	ReportTicks ReportTicks
	// Waited is how long the opening packet in a pass has waited at the entry since its caller first sent it, at most MaxReportTicks. It
	// is 0 in other datagrams.
	Waited ReportTicks
}

// LookupID identifies a lookup of an entry, so that a late answer is not taken for that of another one.
type LookupID uint32

// MaxLookupFlows is the largest number of flows in a lookup. With it the datagram stays below a usual path MTU.
const MaxLookupFlows = 32

// Lookup is a list of flows that an entry asks an agent for.
type Lookup struct {
	ID LookupID
	// Flows holds 1 to MaxLookupFlows flows.
	Flows []registrar.Flow
}

// Holding is what an agent knows of a flow that an entry asks for.
type Holding byte

// The answers to a lookup.
const (
	// HoldingUnknown means that the upstream may hold the flow: the agent has started after it and does not know all its flows.
	HoldingUnknown Holding = iota
	// HoldingAbsent means that the upstream does not hold the flow.
	HoldingAbsent
	// HoldingHeld means that the upstream holds the flow, or that the flow has just been offered to it.
	HoldingHeld
)

// LookupAnswer is the answer of an agent to a lookup.
type LookupAnswer struct {
	ID LookupID
	// Holdings has one element for each flow of the lookup, in its order.
	Holdings []Holding
}

// Demand is a mean number of requests in flight, in units of 1/DemandUnit.
type Demand uint16

// DemandPeriod is the time over which a demand is a mean: the weight of a moment is 1/e after it.
const DemandPeriod = 2 * time.Second

// DemandUnit is the Demand of one request that is always in flight.
const DemandUnit Demand = 16

// LoadReport is the load of an upstream as its agent reports it to entries.
type LoadReport struct {
	Service ServiceTag
	// Accepting is true if the upstream takes new flows.
	Accepting bool
	// InFlight is the number of requests in flight at the upstream, including those that wait.
	InFlight uint16
	// Slots is the number of requests that the upstream processes at the same time.
	Slots uint16
	// ServiceTimeMicros is the mean processing time of a request at the upstream without queueing, in microseconds; 0 if unknown.
	ServiceTimeMicros uint32
	// Allowance is the number of new flows that a cold upstream may receive now; only valid if Cold is set.
	Allowance uint16
	Cold      bool
	// Failures is the recent share of failed requests.
	Failures FailureShare
	// ProbeDue is true if the upstream may get a probe, should it be failing.
	ProbeDue bool
	// Demand is the mean number of requests in flight over DemandPeriod; 0 if unknown, or if most flows carry one request only.
	Demand Demand
	// Flows is the number of open flows at the upstream; 0 if unknown.
	Flows uint16
}
