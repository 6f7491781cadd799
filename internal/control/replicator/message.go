// Package replicator decides how the control instances keep one log: replication, commit, snapshots and membership. It holds
// no disk, socket or goroutine; package driver owns those.
package replicator

import (
	"net/netip"
	"time"

	"github.com/peridotstage/peridotstage/internal/control/elector"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// Names of elector that the log uses throughout.
type (
	// MemberID identifies the disk of a control instance.
	MemberID = elector.MemberID
	// Term counts elections.
	Term = elector.Term
	// Index is the place of an entry in the log.
	Index = elector.Index
	// Position is the index and term of an entry.
	Position = elector.Position
)

// Member is one member of the log.
type Member struct {
	// ID is 0 until an instance with this name has joined.
	ID      MemberID              `json:"id"`
	Name    registrar.MachineName `json:"name"`
	Address netip.AddrPort        `json:"address"`
	Voter   bool                  `json:"voter"`
	// Returning is true for a learner that takes the place of a voter of the same name, whose disk was lost.
	Returning bool `json:"returning,omitempty"`
	// Volatile is true for an instance that keeps nothing when its process ends. It votes only while no other can.
	Volatile bool `json:"volatile,omitempty"`
}

// Members is the membership, sorted by name and id.
type Members []Member

// Entry is one item of the log. An entry without Members and Command is made by a new leader.
type Entry struct {
	Position
	Command []byte
	// Members is set if the entry changes the membership. It is in force as soon as it is in the log.
	Members Members
}

// Snapshot is the state after the entry at Position.
type Snapshot struct {
	Position
	Members Members
	State   []byte
}

// Reading is a reading of the clock of one process.
type Reading struct {
	// Session distinguishes processes. It is drawn at random at each start.
	Session uint64
	// At is the time since the process started.
	At time.Duration
}

// Message goes from one member to another.
type Message struct {
	From, To MemberID
	// Sender is the name of the sender.
	Sender registrar.MachineName
	// Address is where the sender takes calls; not valid if only the settings and the log say so.
	Address netip.AddrPort
	Term    Term
	Body    Body
}

// Body is the content of a message: one of the types below.
type Body interface{ body() }

// VoteRequest asks for a vote.
type VoteRequest struct{ elector.Request }

// VoteAnswer answers a VoteRequest.
type VoteAnswer struct{ elector.Answer }

// Append carries entries from the leader. An empty one is a heartbeat.
type Append struct {
	// Prev is the position of the entry before Entries.
	Prev    Position
	Entries []Entry
	Commit  Index
	// SentAt is returned in the answer.
	SentAt Reading
	// Echo is the newest reading that the leader has from the follower. It is zero unless the leader holds its lease and
	// knows every confirmed entry.
	Echo Reading
}

// AppendAnswer answers an Append, and a SnapshotChunk that completes a snapshot.
type AppendAnswer struct {
	// Match is the newest index at which the follower's log equals the leader's; with Rejected, an index from which the
	// leader should try again.
	Match    Index
	Rejected bool
	// Prev is the index that was rejected.
	Prev   Index
	SentAt Reading
	// ReadAt is the follower's clock.
	ReadAt Reading
}

// SnapshotChunk carries a part of a snapshot.
type SnapshotChunk struct {
	Position Position
	Members  Members
	Offset   int
	Total    int
	Data     []byte
	SentAt   Reading
}

// ChunkAnswer says how much of a snapshot has arrived.
type ChunkAnswer struct {
	Position Position
	Received int
	SentAt   Reading
}

// Join asks the leader to take in an instance that has no place in the log.
type Join struct {
	// Volatile says that the sender keeps nothing when its process ends.
	Volatile bool
	// Relayed is set if another instance passes the request on.
	Relayed *Member
}

// Probe asks whether an instance has a log. It is sent by the instance that founds the log.
type Probe struct {
	// Unsafe says that the log may have had confirmed entries and is lost, as far as the sender knows.
	Unsafe bool
}

// ProbeAnswer says whether the instance may be made a founding voter.
type ProbeAnswer struct {
	// Empty is true if the disk holds nothing but the identity.
	Empty bool
	// Unwritten is true if the log has never had an entry, although there may be a ballot.
	Unwritten bool
	// Volatile says that the sender keeps nothing when its process ends.
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
