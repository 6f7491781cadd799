package carrier

import (
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// SegmentFlags are the control bits of a packet of a stream flow.
type SegmentFlags byte

// The flags of a segment.
const (
	// Open asks for a flow; with Acknowledge it accepts one.
	Open SegmentFlags = 1 << iota
	// Acknowledge says that Segment.Acknowledged holds a number.
	Acknowledge
	// End says that the sender sends nothing more.
	End
	// Reset breaks the flow off.
	Reset
	// Returned says that an upstream does not hold the flow, or does not accept it. The packet is otherwise as its sender
	// wrote it.
	Returned
)

// Segment is what machines of the system read of a packet of a stream flow.
type Segment struct {
	From, To     netip.AddrPort
	Flags        SegmentFlags
	Sequence     uint32
	Acknowledged uint32
	// Payload is a part of the packet.
	Payload []byte
}

// Has reports whether all the given flags are set.
func (s *Segment) Has(f SegmentFlags) bool { return s.Flags&f == f }

// Opens reports whether the packet of a caller asks for a flow.
func (s *Segment) Opens() bool { return s.Has(Open) && !s.Has(Acknowledge) }

// Attempt returns how many copies of an opening packet went before this one.
func (s *Segment) Attempt() uint32 { return s.Acknowledged }

// Flow returns the flow of a packet that a caller sent.
func (s *Segment) Flow() registrar.Flow { return registrar.Flow{Caller: s.From, Service: s.To} }

// ReverseFlow returns the flow of a packet that an upstream sent.
func (s *Segment) ReverseFlow() registrar.Flow { return registrar.Flow{Caller: s.To, Service: s.From} }

// ServiceTag stands for the name of a service in datagrams between machines.
type ServiceTag uint32

// TagOf returns the tag of a service.
func TagOf(name registrar.ServiceName) ServiceTag {
	return ServiceTag(xxhash.Sum64String(string(name)))
}

// HopKind says what a datagram between machines is about a stream flow.
type HopKind byte

// The kinds of hop.
const (
	// HopPass carries a caller's packet from an entry to an agent.
	HopPass HopKind = 1
	// HopReturn carries it back, because the agent does not take it.
	HopReturn HopKind = 2
	// HopHeld tells an entry that the agent holds the flow of a packet that the entry was looking for.
	HopHeld HopKind = 3
	// HopSubscribe asks an agent for reports.
	HopSubscribe HopKind = 4
	// HopReport tells an entry how busy an upstream is.
	HopReport HopKind = 5
)

// ReturnReason says why an agent does not take a packet.
type ReturnReason byte

// The reasons for a return.
const (
	// ReturnUnknown means that the upstream does not hold the flow.
	ReturnUnknown ReturnReason = 1 + iota
	// ReturnService means that the upstream belongs to another service.
	ReturnService
	// ReturnClosed means that the upstream takes no new flows: it leaves, is not there, or its zone is withdrawn.
	ReturnClosed
	// ReturnCold means that a cold upstream has got what it bears for now.
	ReturnCold
	// ReturnRefused means that the upstream itself did not accept the flow.
	ReturnRefused
	// ReturnSilent means that the upstream has not answered.
	ReturnSilent
	// ReturnBusy means that the upstream has as much work as it can do in time.
	ReturnBusy
	returnReasonCount
)

var returnReasons = [returnReasonCount]string{
	"", "unknown_flow", "other_service", "closed", "cold", "refused", "silent", "busy",
}

// String returns the reason in snake case.
func (r ReturnReason) String() string {
	if r >= returnReasonCount {
		return "other"
	}
	return returnReasons[r]
}

// HopHeader describes a datagram about a stream flow between machines.
type HopHeader struct {
	Kind HopKind
	// Service is the tag of the service that the flow was placed at, or that a report is about.
	Service ServiceTag
	// Step counts the agents that were asked for a flow before; 0 if the entry knows or chooses the agent.
	Step uint8
	// Searching is true if the entry does not know where the flow is.
	Searching bool
	// Reason is set in a return.
	Reason ReturnReason
}

// LoadReport is what an agent tells entries about its upstream.
type LoadReport struct {
	Service ServiceTag
	// Accepting is true if the upstream takes new flows.
	Accepting bool
	// Busy is how many requests the upstream works on or holds.
	Busy uint16
	// Slots is how many requests the upstream works on at once.
	Slots uint16
	// WorkMicros is the mean time of a request at the upstream without waiting, in microseconds; 0 if unknown.
	WorkMicros uint32
	// Allowance is how many new flows a cold upstream may get now; only valid if Cold.
	Allowance uint16
	Cold      bool
}
