// Package elector decides which control instance is the leader: terms, pre-vote, votes, check-quorum and the leader lease
// (Ongaro, "Consensus: Bridging Theory and Practice", chapters 3, 6 and 9).
package elector

import "time"

// MemberID identifies the disk of a control instance. An instance that starts with an empty disk draws a random id, so after
// the loss of its disk it is a different member.
type MemberID uint64

// Term counts elections. Each term has at most one leader.
type Term uint64

// Incarnation identifies one start of a member. 0 stands for none.
type Incarnation uint64

// Index is the index of an entry in the log. The first entry has index 1.
type Index uint64

// Position is the index of a log entry and the term it was made in.
type Position struct {
	Index Index
	Term  Term
}

// Before reports whether a log that ends at p is less up to date than one that ends at q.
func (p Position) Before(q Position) bool {
	return p.Term < q.Term || p.Term == q.Term && p.Index < q.Index
}

// Ballot is the term and the vote of a member. It is made durable before any message that depends on it is sent; a member that
// forgot it could vote twice in one term.
type Ballot struct {
	Term Term
	// VotedFor is the member that received the vote in Term, or 0 if none did.
	VotedFor MemberID
}

// Request asks a voter for its vote.
type Request struct {
	From MemberID
	Term Term
	Last Position
	// PreVote is true for a pre-vote: the voter says whether it would grant the vote, and no term changes.
	PreVote bool
	// Restarted has the incarnations of the members that have restarted, so that no lease is left; nil unless these are all members that
	// may lead, as far as the sender knows.
	Restarted map[MemberID]Incarnation
}

// Answer is the reply to a Request.
type Answer struct {
	From MemberID
	// Term is the term of the request if the vote is granted, and the term of the voter otherwise.
	Term    Term
	Granted bool
	PreVote bool
	// Incarnation is set if the voter has answered no append since its start.
	Incarnation Incarnation
}

// Role is the Raft role of a member.
type Role uint8

// Raft roles.
const (
	Follower Role = iota
	Candidate
	Leader
)

// String returns the name of the role.
func (r Role) String() string { return [...]string{"follower", "candidate", "leader"}[r] }

// Timeouts of the protocol.
const (
	// MinElection and MaxElection bound the random election timeout.
	MinElection = 400 * time.Millisecond
	MaxElection = 800 * time.Millisecond
	// LeaseTime is the length of the leader lease, counted from the sending of an append that a majority has answered. Voters
	// refuse votes for MinElection after an append; the difference allows for clock drift.
	LeaseTime = MinElection - 40*time.Millisecond
)

// Outcome tells the caller what to do after an election step.
type Outcome struct {
	// BallotChanged is true if the ballot has changed and needs to be made durable.
	BallotChanged bool
	// VoteRequest is the vote request to send to all other voters, or nil.
	VoteRequest *Request
	// Elected is true if the member has become leader, Deposed if it has stopped being leader.
	Elected, Deposed bool
}
