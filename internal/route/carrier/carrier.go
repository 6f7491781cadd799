// Package carrier defines the typed header of datagrams that entries and agents exchange.
package carrier

import (
	"errors"
	"net/netip"

	"github.com/rotisserie/eris"

	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// ErrVersion means that a datagram has an unknown format version.
var ErrVersion = eris.New("unknown datagram version")

// MaxDatagram is the size in bytes of a buffer that holds any UDP datagram. The length field of UDP has 16 bits (RFC 768).
const MaxDatagram = 64 << 10

// Kind is the purpose of a datagram: it forwards, answers or notifies.
type Kind byte

// The kinds of datagram.
const (
	// Forward carries a caller's datagram from an entry or an agent to an agent.
	Forward Kind = 1
	// Answer carries an upstream's datagram from an agent to an entry.
	Answer Kind = 2
	// Notice tells the owner of a bucket that the sending agent holds a flow of the bucket.
	Notice Kind = 3
)

// Flags modify a forwarded datagram.
type Flags byte

// The flags of a datagram.
const (
	// NoHolder means that no agent of the chain holds the flow, so the target may admit it.
	NoHolder Flags = 1 << iota
	// Redirected means that the owner of the bucket did not take the flow and redirected it to the target.
	Redirected
	// Direct means that the connection id names the target.
	Direct
)

// MaxHops is the maximum number of hops of a datagram between agents. It covers the longest chain, the hop back to the
// owner, the second choice, and a few extra hops between agents at different revisions.
const MaxHops = 12

// Header describes a datagram between machines.
type Header struct {
	Kind  Kind
	Flags Flags
	// visited lists the agents that have forwarded the datagram, in order. It prevents forwarding loops between agents whose
	// chains differ because they are at different revisions.
	visited      [MaxHops]registrar.UpstreamID
	visitedCount uint8
	// The receiver checks Service and Target against its own configuration.
	Service registrar.ServiceID
	Target  registrar.UpstreamID
	// Revision is the configuration revision of the sender.
	Revision registrar.Revision
	Flow     registrar.Flow
	// Entry is the data address of the entry that received the datagram from the caller.
	Entry netip.AddrPort
}

// Has reports whether all given flags are set.
func (h *Header) Has(f Flags) bool { return h.Flags&f == f }

// Hops returns how often the datagram has been passed from agent to agent.
func (h *Header) Hops() int { return int(h.visitedCount) }

// VisitedAt returns the agent that forwarded the datagram at hop i, counted from 0.
func (h *Header) VisitedAt(i int) registrar.UpstreamID { return h.visited[i] }

// HasVisited reports whether an agent has already forwarded the datagram.
func (h *Header) HasVisited(u registrar.UpstreamID) bool {
	for _, a := range h.visited[:h.visitedCount] {
		if a == u {
			return true
		}
	}
	return false
}

// AddVisited appends an agent to those that have forwarded the datagram. It returns false at the hop limit.
func (h *Header) AddVisited(u registrar.UpstreamID) bool {
	if h.visitedCount == MaxHops {
		return false
	}
	h.visited[h.visitedCount] = u
	h.visitedCount++
	return true
}

// ResetVisited clears the list of agents that have forwarded the datagram.
func (h *Header) ResetVisited() { h.visitedCount = 0 }

// DropReason is the reason why a datagram was dropped.
type DropReason uint8

// The drop reasons. Passed means that the datagram was not dropped.
const (
	Passed DropReason = iota
	DropUnknownService
	DropNoLease
	DropNoContract
	DropCut
	DropMalformed
	DropNoUpstream
	DropWrongService
	DropWrongTarget
	DropZoneWithdrawn
	DropUnknownFlow
	DropHopLimit
	DropRefused
	DropBadSeal
	DropQueueFull
	DropBadVersion
	dropReasonCount
)

// DropReasonCount is the number of drop reasons, Passed included.
const DropReasonCount = int(dropReasonCount)

var dropNames = [DropReasonCount]string{
	"passed", "unknown_service", "no_lease", "no_contract", "cut", "malformed", "no_upstream", "wrong_service",
	"wrong_target", "zone_withdrawn", "unknown_flow", "hop_limit", "refused", "bad_seal", "queue_full", "bad_version",
}

// ParseDropReason returns the drop reason for a datagram whose parsing failed with err.
func ParseDropReason(err error) DropReason {
	if errors.Is(err, ErrVersion) {
		return DropBadVersion
	}
	return DropBadSeal
}

// String returns the snake-case name of the reason.
func (d DropReason) String() string {
	if int(d) < len(dropNames) {
		return dropNames[d]
	}
	return "unknown"
}
