package replicator

import (
	"net/netip"

	"github.com/rotisserie/eris"

	"github.com/peridotstage/peridotstage/internal/control/elector"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// Errors of proposals.
var (
	// ErrNotLeader means that the proposal was not written here. Nothing has happened.
	ErrNotLeader = eris.New("not the leader")
	// ErrDropped means that another entry took the place of the proposal. Nothing has happened, and nothing later will.
	ErrDropped = eris.New("proposal was dropped by a change of leader")
	// ErrUncertain means that the proposal may or may not have been carried out, or may be later.
	ErrUncertain = eris.New("outcome of the proposal is unknown")
	// ErrMembership means that a change of the membership was refused.
	ErrMembership = eris.New("membership change refused")
)

// Token identifies a proposal to its proposer.
type Token uint64

// Event is something that happened to a member: one of the types below.
type Event interface{ event() }

// Tick says that time has passed.
type Tick struct{}

// Received is a message from another member.
type Received struct{ Message }

// Proposed asks for a new entry.
type Proposed struct {
	Token   Token
	Command []byte
	// Change is set instead of Command for a change of the membership.
	Change *Change
}

// Snapshotted says that a snapshot has become durable, so that entries up to it may be dropped.
type Snapshotted struct{ Snapshot Snapshot }

func (Tick) event()        {}
func (Received) event()    {}
func (Proposed) event()    {}
func (Snapshotted) event() {}

// Verb says how the membership changes.
type Verb string

// The verbs.
const (
	// AddMember takes in an instance as a learner.
	AddMember Verb = "add"
	// RemoveMember takes out a member.
	RemoveMember Verb = "remove"
	// PromoteMember makes a learner a voter.
	PromoteMember Verb = "promote"
)

// Change is an operator's change of the membership.
type Change struct {
	Verb    Verb                  `json:"verb"`
	Name    registrar.MachineName `json:"name"`
	Address netip.AddrPort        `json:"address"`
}

// Send is a message and the instance it goes to.
type Send struct {
	Name    registrar.MachineName
	Address netip.AddrPort
	Message Message
}

// Written says where a proposal was put, or why it was not.
type Written struct {
	Token    Token
	Position Position
	Err      error
}

// Effects are what a member has to do, in the order of the fields.
type Effects struct {
	// Failure ends the member if it is set. Nothing else in the effects may be carried out.
	Failure error
	// Install is a received snapshot, which replaces the whole log and state.
	Install *Snapshot
	// Ballot is set if it has changed.
	Ballot *elector.Ballot
	// Append are the entries to write, in order. An entry replaces all from its index on. Install, Ballot and Append must be
	// durable before Sends leave.
	Append []Entry
	Sends  []Send
	// Written tells the fate of proposals.
	Written []Written
	// Committed are the entries to apply, in order.
	Committed []Entry
}
