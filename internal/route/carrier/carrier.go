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

// Kind says which way a datagram travels.
type Kind byte

// The kinds of datagram.
const (
	// Forward carries a caller's datagram from an entry, or on from an agent, to an agent.
	Forward Kind = 1
	// Answer carries an upstream's datagram from an agent to an entry.
	Answer Kind = 2
	// Notice tells the owner of a bucket that the agent that sends it holds a flow of the bucket.
	Notice Kind = 3
)

// Flags modify a forwarded datagram.
type Flags byte

// The flags of a datagram.
const (
	// Unclaimed says that no agent of the chain holds the flow, so the target may admit it.
	Unclaimed Flags = 1 << iota
	// Redirected says that the bucket's owner could not take the flow.
	Redirected
	// Direct says that the connection id named the target.
	Direct
)

// MaxAsked bounds how often a datagram is passed from agent to agent. It covers the longest chain, the way back to the
// owner, the second choice, and a few extra hops between agents at different revisions.
const MaxAsked = 12

// Header describes a datagram between machines.
type Header struct {
	Kind  Kind
	Flags Flags
	// asked lists the agents that have had the datagram, in order. It ends loops between agents whose revisions, and so
	// whose chains, differ.
	asked  [MaxAsked]registrar.UpstreamID
	nAsked uint8
	// Service and Target are checked by the receiver against its own configuration.
	Service registrar.ServiceID
	Target  registrar.UpstreamID
	// Revision is the configuration revision of the sender.
	Revision registrar.Revision
	Flow     registrar.Flow
	// Entry is the data address of the entry that took the datagram from the caller.
	Entry netip.AddrPort
}

// Has reports whether all given flags are set.
func (h *Header) Has(f Flags) bool { return h.Flags&f == f }

// Hops counts how often the datagram has been passed from agent to agent.
func (h *Header) Hops() int { return int(h.nAsked) }

// Asked returns the agent at position i of those that have had the datagram.
func (h *Header) Asked(i int) registrar.UpstreamID { return h.asked[i] }

// HasAsked reports whether an agent has had the datagram.
func (h *Header) HasAsked(u registrar.UpstreamID) bool {
	for _, a := range h.asked[:h.nAsked] {
		if a == u {
			return true
		}
	}
	return false
}

// AddAsked adds an agent to those that have had the datagram. It returns false if there is no room.
func (h *Header) AddAsked(u registrar.UpstreamID) bool {
	if h.nAsked == MaxAsked {
		return false
	}
	h.asked[h.nAsked] = u
	h.nAsked++
	return true
}

// ResetAsked removes all agents from those that have had the datagram.
func (h *Header) ResetAsked() { h.nAsked = 0 }

// DropReason says why a datagram was not passed.
type DropReason uint8

// The reasons for a drop. Passed means that there was none.
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

// Refusal returns the reason for a datagram that could not be parsed because of err.
func Refusal(err error) DropReason {
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
