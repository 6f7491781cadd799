// Package replicator implements the replicated log of the control instances on top of package elector: replication, commit,
// snapshots and membership. It does no I/O and starts no goroutine; package driver does.
package replicator

import (
	"net/netip"
	"time"

	"github.com/peridotstage/peridotstage/internal/control/elector"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// Aliases of types of package elector.
type (
	// MemberID identifies the disk of a control instance.
	MemberID = elector.MemberID
	// Term counts elections.
	Term = elector.Term
	// Index is the index of an entry in the log.
	Index = elector.Index
	// Position is the index and term of an entry.
	Position = elector.Position
)

// Member is one member of the log.
type Member struct {
	// ID is 0 if an operator has added the name and no instance has joined under it yet.
	ID      MemberID              `json:"id"`
	Name    registrar.MachineName `json:"name"`
	Address netip.AddrPort        `json:"address"`
	Voter   bool                  `json:"voter"`
	// Returning is true for a learner that becomes a voter without an operator, for example to replace a voter of the same name
	// whose disk was lost.
	Returning bool `json:"returning,omitempty"`
	// Volatile is true for an instance that stores nothing on disk. It is a voter only while no instance with a disk can be.
	Volatile bool `json:"volatile,omitempty"`
}

// Members is a membership, sorted by name and id.
type Members []Member

// Entry is one entry of the log. A new leader appends an entry without Command and Members to commit the entries of older terms.
type Entry struct {
	Position
	Command []byte
	// Members is the new membership if the entry changes it. It takes effect when the entry is appended, not when it is
	// committed.
	Members Members
}

// Snapshot is the state of the state machine after the entry at Position.
type Snapshot struct {
	Position
	Members Members
	State   []byte
}

// ClockReading is a clock reading of one process.
type ClockReading struct {
	// Session identifies the process. It is drawn at random at each start.
	Session uint64
	// At is the time since the process started.
	At time.Duration
}

// Message is a message from one member to another.
type Message struct {
	From, To MemberID
	// Sender is the name of the sender.
	Sender registrar.MachineName
	// Address is the address that the sender listens on. It is not valid if receivers take it from the settings or the log.
	Address netip.AddrPort
	Term    Term
	Body    Body
}

// Body is the content of a message: one of the types below.
type Body interface{ body() }

// VoteRequest asks for a vote.
type VoteRequest struct{ elector.Request }

// VoteAnswer is the reply to a VoteRequest.
type VoteAnswer struct{ elector.Answer }

// Append carries entries from the leader. An Append without entries is a heartbeat.
type Append struct {
	// Prev is the position of the entry before Entries.
	Prev    Position
	Entries []Entry
	Commit  Index
	// SentAt is the leader's clock when it sent the message. The follower returns it in the answer.
	SentAt ClockReading
	// Echo is the newest clock reading that the leader has received from the follower. It is zero unless the leader holds its
	// lease and has committed an entry of its term, so that Commit covers every entry confirmed before.
	Echo ClockReading
}

// AppendAnswer is the reply to an Append, and to a SnapshotChunk that completes a snapshot or whose snapshot the follower
// does not need.
type AppendAnswer struct {
	// Match is the newest index up to which the follower's log is known to equal the leader's. If Rejected is true, it is the
	// index that the leader tries next as the previous one.
	Match    Index
	Rejected bool
	// Prev is the index of Append.Prev.
	Prev   Index
	SentAt ClockReading
	// ReadAt is the follower's clock when it sent the answer.
	ReadAt ClockReading
}

// SnapshotChunk carries a part of a snapshot from the leader.
type SnapshotChunk struct {
	Position Position
	Members  Members
	Offset   int
	Total    int
	Data     []byte
	SentAt   ClockReading
}

// ChunkAnswer is the reply to a SnapshotChunk of an incomplete snapshot. Received is the number of bytes received so far.
type ChunkAnswer struct {
	Position Position
	Received int
	SentAt   ClockReading
}

// Join asks the leader to add an instance that is not a member.
type Join struct {
	// Volatile is true if the sender stores nothing on disk.
	Volatile bool
	// Relayed is the instance to add if the sender forwards its request, otherwise nil.
	Relayed *Member
}

// Probe asks whether an instance has a log. The instance that founds the log sends it.
type Probe struct {
	// Unsafe is true if, as far as the sender knows, all copies of the log are lost and the log may have had confirmed entries.
	Unsafe bool
}

// ProbeAnswer is the reply to a Probe. It says whether the instance can become a founding voter.
type ProbeAnswer struct {
	// Empty is true if the disk holds only the identity.
	Empty bool
	// Unwritten is true if the log has never had an entry. The disk may hold a ballot.
	Unwritten bool
	// Volatile is true if the sender stores nothing on disk.
	Volatile bool
}

func (VoteRequest) body()   {}
func (VoteAnswer) body()    {}
func (Append) body()        {}
func (AppendAnswer) body()  {}
func (SnapshotChunk) body() {}
func (ChunkAnswer) body()   {}
func (Join) body()          {}
func (Probe) body()         {}
func (ProbeAnswer) body()   {}
