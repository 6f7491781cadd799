package replicator

import (
	"net/netip"

	"github.com/rotisserie/eris"

	"github.com/peridotstage/peridotstage/internal/control/elector"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// Errors of proposals.
var (
	// ErrNotLeader means that this member did not write the proposal. The proposal has no effect.
	ErrNotLeader = eris.New("not the leader")
	// ErrDropped means that another entry was committed at the index of the proposal. The proposal has no effect and never will.
	ErrDropped = eris.New("proposal was dropped by a change of leader")
	// ErrUncertain means that the proposal may have been applied, or may still be applied later.
	ErrUncertain = eris.New("outcome of the proposal is unknown")
	// ErrMembership means that a membership change was refused.
	ErrMembership = eris.New("membership change refused")
)

// Token identifies a proposal to its proposer.
type Token uint64

// Event is an input of Replica.Step: one of the types below.
type Event interface{ event() }

// Tick is sent at regular intervals to run timeouts.
type Tick struct{}

// Received is the receipt of a message from another member.
type Received struct{ Message }

// Proposed is a request to append a new entry.
type Proposed struct {
	Token   Token
	Command []byte
	// Change is set instead of Command for a change of the membership.
	Change *Change
}

// Snapshotted reports that a snapshot has become durable, so that the entries that it covers can be compacted.
type Snapshotted struct{ Snapshot Snapshot }

func (Tick) event()        {}
func (Received) event()    {}
func (Proposed) event()    {}
func (Snapshotted) event() {}

// Verb is the kind of a membership change.
type Verb string

// Kinds of membership changes.
const (
	// AddMember adds an instance as a learner.
	AddMember Verb = "add"
	// RemoveMember removes a member.
	RemoveMember Verb = "remove"
	// PromoteMember makes a learner a voter.
	PromoteMember Verb = "promote"
)

// Change is a membership change requested by an operator.
type Change struct {
	Verb    Verb                  `json:"verb"`
	Name    registrar.MachineName `json:"name"`
	Address netip.AddrPort        `json:"address"`
}

// Send is an outgoing message and its destination.
type Send struct {
	Name    registrar.MachineName
	Address netip.AddrPort
	Message Message
}

// Written is the log position of a proposal, or the error if it was not written.
type Written struct {
	Token    Token
	Position Position
	Err      error
}

// Effects are the actions that the caller carries out after Replica.Step, in the order of the fields.
type Effects struct {
	// Failure is a fatal error. If it is set, the caller stops the member and ignores all other effects.
	Failure error
	// Install is a received snapshot, which replaces the whole log and state.
	Install *Snapshot
	// Ballot is the new ballot, or nil if it has not changed.
	Ballot *elector.Ballot
	// Append are the entries to write, in order. An entry replaces all entries from its index on. The caller makes Install,
	// Ballot and Append durable before it sends Sends, because the receivers rely on these being stored.
	Append []Entry
	Sends  []Send
	// Written has one element for each proposal that was written or refused.
	Written []Written
	// Committed are the entries to apply, in order.
	Committed []Entry
}
