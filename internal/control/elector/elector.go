package elector

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"
)

// Electorate returns the ids of voters.
type Electorate interface {
	// Voters returns the current voters.
	Voters() []MemberID
	// PossibleLeaders returns the current voters and those of the membership before it. A leader that removes itself leads until its
	// removal is committed.
	PossibleLeaders() []MemberID
}

// Journal returns the position of the last log entry.
type Journal interface {
	Last() Position
}

// Rand is a source of random numbers.
type Rand interface {
	Int64N(n int64) int64
}

// Elector is the election state of one member. The exported fields are set before Start.
type Elector struct {
	Self       MemberID
	Electorate Electorate
	Journal    Journal
	Rand       Rand

	mu     sync.RWMutex
	ballot Ballot
	role   Role
	leader MemberID
	// electionDueAt is when a voter starts an election unless it receives an append from a leader first.
	electionDueAt time.Time
	// startDueAt is when a voter starts an election after its start at the latest, unless it receives an append.
	startDueAt time.Time
	// refuseUntil is the earliest time at which the lease of the leader that last sent an append can have expired. No vote is
	// granted before it.
	refuseUntil time.Time
	// preVote is true if the current round of a candidate asks for pre-votes.
	preVote bool
	granted map[MemberID]bool
	// incarnation identifies this start of the member. It is 0 once the member has answered an append or led: a lease may then
	// depend on it.
	incarnation Incarnation
	// restarted has the incarnations of the members that have answered no append since their start, as far as a member with an
	// incarnation knows them.
	restarted map[MemberID]Incarnation
	// confirmedAt is, for each voter, the sending time of the newest append that it has answered. Only a leader uses it.
	confirmedAt map[MemberID]time.Time
	electedAt   time.Time
}

// Start initializes the state from the durable ballot. A member may have answered an append just before it restarted, and the
// leader may hold its lease on that answer, so the member grants no vote for MinElection, unless all voters have restarted: then no
// lease is left.
func (e *Elector) Start(now time.Time, b Ballot) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ballot, e.role, e.leader = b, Follower, 0
	if b != (Ballot{}) {
		e.refuseUntil = now.Add(MinElection)
	}
	e.incarnation = Incarnation(e.Rand.Int64N(math.MaxInt64)) + 1
	e.restarted = map[MemberID]Incarnation{e.Self: e.incarnation}
	// If there is a leader, its append arrives within MinElection.
	e.startDueAt = now.Add(MinElection + time.Duration(e.Rand.Int64N(int64(minRoundTime))))
	e.electionDueAt = e.startDueAt
	if b != (Ballot{}) {
		// The rounds before startDueAt find out whether all voters have restarted. If there is a leader, their pre-votes have no effect.
		e.electionDueAt = now.Add(minStartDelay + time.Duration(e.Rand.Int64N(int64(minRoundTime))))
	}
}

// loseIncarnation records that a lease may depend on this member from now on.
func (e *Elector) loseIncarnation() { e.incarnation, e.restarted = 0, nil }

// covered reports whether all members that may lead are among those that have restarted.
func (e *Elector) covered(restarted map[MemberID]Incarnation) bool {
	leaders := e.Electorate.PossibleLeaders()
	return len(leaders) > 0 && !slices.ContainsFunc(leaders, func(m MemberID) bool { return restarted[m] == 0 })
}

// allRestarted returns the incarnations of the members that may lead if all have restarted, and nil otherwise.
func (e *Elector) allRestarted() map[MemberID]Incarnation {
	if e.incarnation == 0 || !e.covered(e.restarted) {
		return nil
	}
	return maps.Clone(e.restarted)
}

// noLeaseLeft reports whether a request shows that all voters have restarted. The incarnation of this member tells a request that was
// delayed until after a further restart; in between, the member may have answered an append.
func (e *Elector) noLeaseLeft(r Request) bool {
	return e.incarnation != 0 && r.Restarted[e.Self] == e.incarnation && e.covered(r.Restarted)
}

// resetElectionTimer draws a new random election timeout.
func (e *Elector) resetElectionTimer(now time.Time) {
	e.electionDueAt = now.Add(MinElection + time.Duration(e.Rand.Int64N(int64(MaxElection-MinElection))))
}

// Tick starts an election if the election timeout has passed, and deposes a leader that has lost contact with a majority
// (check-quorum).
func (e *Elector) Tick(now time.Time) Outcome {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.role == Leader {
		if now.Sub(e.lastQuorumContact(now)) > MaxElection {
			return e.becomeFollower(now, e.ballot.Term)
		}
		return Outcome{}
	}
	voters := e.Electorate.Voters()
	// A sole voter needs no election timeout. It waits only for the lease of a leader whose append it answered before the other
	// members lost their votes.
	soleVoter := len(voters) == 1 && voters[0] == e.Self && !now.Before(e.refuseUntil)
	if now.Before(e.electionDueAt) && !soleVoter {
		return Outcome{}
	}
	e.leader = 0
	e.resetElectionTimer(now)
	if !slices.Contains(voters, e.Self) {
		e.role = Follower
		return Outcome{}
	}
	return e.campaign(now, true)
}

// minTime returns the earlier of two times.
func minTime(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// minStartDelay is the shortest time from the start of a member to its first round. Members that start together have opened their
// sockets by then.
const minStartDelay = 20 * time.Millisecond

// minRoundTime is the shortest time that a round of votes waits for answers. It is longer than the round trip between regions.
const minRoundTime = 120 * time.Millisecond

// campaign starts a round of pre-votes or votes. The member grants its vote to itself, unless a lease may depend on it.
func (e *Elector) campaign(now time.Time, preVote bool) Outcome {
	var out Outcome
	e.role, e.preVote = Candidate, preVote
	term := e.ballot.Term + 1
	// Voters that have just started refuse their votes, and votes can be split, so the next round follows soon. Its pre-votes
	// do not affect members that receive appends from a leader.
	e.electionDueAt = now.Add(minRoundTime + time.Duration(e.Rand.Int64N(2*int64(minRoundTime))))
	if now.Before(e.startDueAt) {
		e.electionDueAt = minTime(e.electionDueAt, e.startDueAt)
	}
	if !preVote {
		e.ballot = Ballot{Term: term, VotedFor: e.Self}
		out.BallotChanged = true
	}
	restarted := e.allRestarted()
	e.granted = map[MemberID]bool{}
	if restarted != nil || !now.Before(e.refuseUntil) {
		e.granted[e.Self] = true
	}
	out.VoteRequest = &Request{From: e.Self, Term: term, Last: e.Journal.Last(), PreVote: preVote, Restarted: restarted}
	if e.wonRound() {
		return e.completeRound(now, out)
	}
	return out
}

// wonRound reports whether a majority of the voters has granted the current round.
func (e *Elector) wonRound() bool {
	voters := e.Electorate.Voters()
	grants := 0
	for _, v := range voters {
		if e.granted[v] {
			grants++
		}
	}
	return grants > len(voters)/2
}

// completeRound asks for votes after a won pre-vote, and becomes leader after a won vote.
func (e *Elector) completeRound(now time.Time, out Outcome) Outcome {
	if e.preVote {
		return e.campaign(now, false)
	}
	e.role, e.leader = Leader, e.Self
	e.loseIncarnation()
	e.confirmedAt, e.electedAt = map[MemberID]time.Time{}, now
	out.Elected, out.VoteRequest = true, nil
	return out
}

// becomeFollower makes the member a follower in the given term.
func (e *Elector) becomeFollower(now time.Time, term Term) Outcome {
	var out Outcome
	if term > e.ballot.Term {
		e.ballot = Ballot{Term: term}
		out.BallotChanged = true
		e.leader = 0
	}
	if e.role == Leader {
		out.Deposed = true
		e.leader = 0
		e.resetElectionTimer(now)
	}
	e.role = Follower
	return out
}

// Vote decides whether to grant a vote or a pre-vote.
func (e *Elector) Vote(now time.Time, r Request) (Answer, Outcome) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a := Answer{From: e.Self, Term: e.ballot.Term, PreVote: r.PreVote, Incarnation: e.incarnation}
	if e.leaderMayHoldLease(now) && !e.noLeaseLeft(r) || r.Term < e.ballot.Term || r.Last.Before(e.Journal.Last()) && r.PreVote {
		if until := now.Add(minRoundTime); e.electionDueAt.Before(until) && now.Before(e.startDueAt) && !r.Last.Before(e.Journal.Last()) {
			// The sender may be about to find out that all voters have restarted. A round of this member would split the votes.
			e.electionDueAt = minTime(until, e.startDueAt)
		}
		return a, Outcome{}
	}
	if r.PreVote {
		if r.Term > e.ballot.Term {
			a.Term, a.Granted = r.Term, true
			// The sender is about to ask for votes. An election started by this member at the same time would split them.
			if until := now.Add(2 * minRoundTime); e.electionDueAt.Before(until) {
				e.electionDueAt = until
			}
		}
		return a, Outcome{}
	}
	var out Outcome
	if r.Term > e.ballot.Term {
		out = e.becomeFollower(now, r.Term)
		a.Term = r.Term
	}
	if r.Last.Before(e.Journal.Last()) || e.role != Follower || e.ballot.VotedFor != 0 && e.ballot.VotedFor != r.From {
		return a, out
	}
	if e.ballot.VotedFor == 0 {
		e.ballot.VotedFor = r.From
		out.BallotChanged = true
	}
	e.resetElectionTimer(now)
	a.Granted = true
	return a, out
}

// leaderMayHoldLease reports whether a leader may hold a lease that depends on this voter.
func (e *Elector) leaderMayHoldLease(now time.Time) bool {
	if e.role == Leader {
		return now.Before(e.lastQuorumContact(now).Add(MinElection))
	}
	return now.Before(e.refuseUntil)
}

// CountVote counts the answer of a voter in the current round.
func (e *Elector) CountVote(now time.Time, a Answer) Outcome {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !a.Granted {
		if a.Term > e.ballot.Term {
			return e.becomeFollower(now, a.Term)
		}
		return e.countRestart(now, a)
	}
	wantTerm := e.ballot.Term
	if e.preVote {
		wantTerm++
	}
	if e.role != Candidate || a.PreVote != e.preVote || a.Term != wantTerm {
		return Outcome{}
	}
	e.granted[a.From] = true
	if !e.wonRound() {
		return Outcome{}
	}
	return e.completeRound(now, Outcome{})
}

// countRestart records that the sender of a refusal has restarted. Once all voters have, a candidate asks again and shows it.
func (e *Elector) countRestart(now time.Time, a Answer) Outcome {
	if e.incarnation == 0 || a.Incarnation == 0 || e.restarted[a.From] == a.Incarnation {
		return Outcome{}
	}
	e.restarted[a.From] = a.Incarnation
	if e.role != Candidate || e.allRestarted() == nil {
		return Outcome{}
	}
	return e.campaign(now, true)
}

// ReceiveAppend records the receipt of an append from a leader. It returns false if the term of the leader is out of date.
func (e *Elector) ReceiveAppend(now time.Time, leader MemberID, term Term) (bool, Outcome) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if term < e.ballot.Term {
		return false, Outcome{}
	}
	out := e.becomeFollower(now, term)
	e.leader = leader
	e.refuseUntil = now.Add(MinElection)
	e.loseIncarnation()
	e.resetElectionTimer(now)
	return true, out
}

// ObserveTerm makes the member a follower if the term of a received answer is newer than its own.
func (e *Elector) ObserveTerm(now time.Time, term Term) Outcome {
	e.mu.Lock()
	defer e.mu.Unlock()
	if term <= e.ballot.Term {
		return Outcome{}
	}
	return e.becomeFollower(now, term)
}

// ConfirmAppend records, at a leader, that a voter has answered an append of this term that was sent at sentAt.
func (e *Elector) ConfirmAppend(from MemberID, sentAt time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.role == Leader && sentAt.After(e.confirmedAt[from]) {
		e.confirmedAt[from] = sentAt
	}
}

// lastQuorumContact returns the newest time such that a majority of voters has answered appends sent at or after it, at the
// earliest the time of the election.
func (e *Elector) lastQuorumContact(now time.Time) time.Time {
	t, ok := e.quorumTime(now)
	if !ok || t.Before(e.electedAt) {
		return e.electedAt
	}
	return t
}

// quorumTime returns the newest time such that a majority has answered appends sent at or after it.
func (e *Elector) quorumTime(now time.Time) (time.Time, bool) {
	voters := e.Electorate.Voters()
	var times []time.Time
	for _, v := range voters {
		if v == e.Self {
			times = append(times, now)
		} else if t, ok := e.confirmedAt[v]; ok {
			times = append(times, t)
		}
	}
	majority := len(voters)/2 + 1
	if len(times) < majority {
		return time.Time{}, false
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[majority-1], true
}

// HoldsLease reports whether the member holds the leader lease: it is the leader, and no other member can have become leader.
func (e *Elector) HoldsLease(now time.Time) bool {
	e.mu.RLock()
	defer e.mu.RUnlock()
	if e.role != Leader {
		return false
	}
	t, ok := e.quorumTime(now)
	return ok && now.Before(t.Add(LeaseTime))
}

// Resign makes a leader a follower, for example because it has been removed from the membership.
func (e *Elector) Resign(now time.Time) Outcome {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.becomeFollower(now, e.ballot.Term)
}

// Ballot returns the current ballot.
func (e *Elector) Ballot() Ballot {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return e.ballot
}

// RoleAndLeader returns the role of the member and the id of the known leader, or 0 if none is known.
func (e *Elector) RoleAndLeader() (Role, MemberID) {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return e.role, e.leader
}
