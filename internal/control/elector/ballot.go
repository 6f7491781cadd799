// Package elector decides who leads the control instances: terms, pre-vote, votes, check-quorum and the leader lease
// (Ongaro, "Consensus: Bridging Theory and Practice", chapters 3, 6 and 9).
package elector

import "time"

// MemberID identifies the disk of a control instance. It is drawn at random when the disk is empty, so an instance that
// has lost its disk is another member.
type MemberID uint64

// Term counts elections. Each term has at most one leader.
type Term uint64

// Index is the place of an entry in the log. The first entry has index 1.
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

// Ballot is what a member must not forget. It is durable before any message that follows from it is sent.
type Ballot struct {
	Term Term
	// For is the member that got the vote in Term; 0 for none.
	For MemberID
}

// Request asks a voter for its vote.
type Request struct {
	From MemberID
	Term Term
	Last Position
	// Pre asks whether the vote would be granted, without a new term.
	Pre bool
}

// Answer answers a Request.
type Answer struct {
	From MemberID
	// Term is the term of the request if the vote is granted, and the term of the voter otherwise.
	Term    Term
	Granted bool
	Pre     bool
}

// Role is the part that a member plays.
type Role uint8

// The roles.
const (
	Follower Role = iota
	Candidate
	Leader
)

// String returns the name of the role.
func (r Role) String() string { return [...]string{"follower", "candidate", "leader"}[r] }

// The times of the protocol.
const (
	// MinElection and MaxElection bound the silence after which a voter seeks election.
	MinElection = 400 * time.Millisecond
	MaxElection = 800 * time.Millisecond
	// LeaseTime runs from the sending of an append that a majority has answered. Voters refuse votes for MinElection after an
	// append; the difference allows for clocks that run at different speeds.
	LeaseTime = MinElection - 40*time.Millisecond
)

// Outcome is what a decision leads to.
type Outcome struct {
	// Voted is true if the ballot has changed.
	Voted bool
	// Ask is sent to all other voters if it is set.
	Ask *Request
	// Elected and Deposed are true if the member has become leader or has stopped being one.
	Elected, Deposed bool
}
