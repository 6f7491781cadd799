package elector

import (
	"slices"
	"sync"
	"time"
)

// Electorate knows the voters.
type Electorate interface {
	Voters() []MemberID
}

// Journal knows the end of the log.
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
	// electAt is when a voter seeks election unless it hears from a leader.
	electAt time.Time
	// stickyUntil is when the newest leader that was heard may have lost its lease. No vote is granted before.
	stickyUntil time.Time
	pre         bool
	granted     map[MemberID]bool
	// confirmed is, for each voter, when the newest append it has answered was sent. It is used by a leader.
	confirmed map[MemberID]time.Time
	electedAt time.Time
}

// Start begins with the durable ballot. A member that restarts may have promised an append just before, so it grants no
// vote for MinElection.
func (e *Elector) Start(now time.Time, b Ballot) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ballot, e.role, e.leader = b, Follower, 0
	if b != (Ballot{}) {
		e.stickyUntil = now.Add(MinElection)
	}
	// A member that starts hears a leader within MinElection if there is one.
	e.electAt = now.Add(MinElection + time.Duration(e.Rand.Int64N(int64(roundWait))))
}

func (e *Elector) delay(now time.Time) {
	e.electAt = now.Add(MinElection + time.Duration(e.Rand.Int64N(int64(MaxElection-MinElection))))
}

// Tick acts on the time that has passed.
func (e *Elector) Tick(now time.Time) Outcome {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.role == Leader {
		if now.Sub(e.heardFrom(now)) > MaxElection {
			return e.follow(now, e.ballot.Term)
		}
		return Outcome{}
	}
	voters := e.Electorate.Voters()
	// A sole voter has nobody to wait for but a leader that it has promised to follow before the others lost their votes.
	sole := len(voters) == 1 && voters[0] == e.Self && !now.Before(e.stickyUntil)
	if now.Before(e.electAt) && !sole {
		return Outcome{}
	}
	e.leader = 0
	e.delay(now)
	if !slices.Contains(voters, e.Self) {
		e.role = Follower
		return Outcome{}
	}
	return e.campaign(now, true)
}

// roundWait is how long a round of votes waits for answers at least. It is above the round trip between regions.
const roundWait = 120 * time.Millisecond

// campaign starts a round of pre-votes or votes. Its own vote counts at once.
func (e *Elector) campaign(now time.Time, pre bool) Outcome {
	var out Outcome
	e.role, e.pre = Candidate, pre
	term := e.ballot.Term + 1
	// Voters that started a moment ago refuse, and votes may be split, so the next round follows soon. Its pre-votes disturb
	// nobody who hears a leader.
	e.electAt = now.Add(roundWait + time.Duration(e.Rand.Int64N(2*int64(roundWait))))
	if !pre {
		e.ballot = Ballot{Term: term, For: e.Self}
		out.Voted = true
	}
	e.granted = map[MemberID]bool{e.Self: true}
	out.Ask = &Request{From: e.Self, Term: term, Last: e.Journal.Last(), Pre: pre}
	if e.won() {
		return e.advance(now, out)
	}
	return out
}

func (e *Elector) won() bool {
	voters := e.Electorate.Voters()
	n := 0
	for _, v := range voters {
		if e.granted[v] {
			n++
		}
	}
	return n > len(voters)/2
}

// advance moves on after a won round.
func (e *Elector) advance(now time.Time, out Outcome) Outcome {
	if e.pre {
		return e.campaign(now, false)
	}
	e.role, e.leader = Leader, e.Self
	e.confirmed, e.electedAt = map[MemberID]time.Time{}, now
	out.Elected, out.Ask = true, nil
	return out
}

// follow makes the member a follower in a term.
func (e *Elector) follow(now time.Time, term Term) Outcome {
	var out Outcome
	if term > e.ballot.Term {
		e.ballot = Ballot{Term: term}
		out.Voted = true
		e.leader = 0
	}
	if e.role == Leader {
		out.Deposed = true
		e.leader = 0
		e.delay(now)
	}
	e.role = Follower
	return out
}

// Vote decides on a request for a vote.
func (e *Elector) Vote(now time.Time, r Request) (Answer, Outcome) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a := Answer{From: e.Self, Term: e.ballot.Term, Pre: r.Pre}
	if e.sticky(now) || r.Term < e.ballot.Term || r.Last.Before(e.Journal.Last()) && r.Pre {
		return a, Outcome{}
	}
	if r.Pre {
		if r.Term > e.ballot.Term {
			a.Term, a.Granted = r.Term, true
			// The sender is about to ask for votes, which a round of this member would split.
			if until := now.Add(2 * roundWait); e.electAt.Before(until) {
				e.electAt = until
			}
		}
		return a, Outcome{}
	}
	var out Outcome
	if r.Term > e.ballot.Term {
		out = e.follow(now, r.Term)
		a.Term = r.Term
	}
	if r.Last.Before(e.Journal.Last()) || e.role != Follower || e.ballot.For != 0 && e.ballot.For != r.From {
		return a, out
	}
	if e.ballot.For == 0 {
		e.ballot.For = r.From
		out.Voted = true
	}
	e.delay(now)
	a.Granted = true
	return a, out
}

// sticky reports whether a leader may still rely on this voter.
func (e *Elector) sticky(now time.Time) bool {
	if e.role == Leader {
		return now.Before(e.heardFrom(now).Add(MinElection))
	}
	return now.Before(e.stickyUntil)
}

// Count takes the answer of a voter.
func (e *Elector) Count(now time.Time, a Answer) Outcome {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !a.Granted {
		if a.Term > e.ballot.Term {
			return e.follow(now, a.Term)
		}
		return Outcome{}
	}
	want := e.ballot.Term
	if e.pre {
		want++
	}
	if e.role != Candidate || a.Pre != e.pre || a.Term != want {
		return Outcome{}
	}
	e.granted[a.From] = true
	if !e.won() {
		return Outcome{}
	}
	return e.advance(now, Outcome{})
}

// Hear takes note of an append of a leader. It returns false if the leader's term is over.
func (e *Elector) Hear(now time.Time, leader MemberID, term Term) (bool, Outcome) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if term < e.ballot.Term {
		return false, Outcome{}
	}
	out := e.follow(now, term)
	e.leader = leader
	e.stickyUntil = now.Add(MinElection)
	e.delay(now)
	return true, out
}

// Observe takes note of the term of a member that answers.
func (e *Elector) Observe(now time.Time, term Term) Outcome {
	e.mu.Lock()
	defer e.mu.Unlock()
	if term <= e.ballot.Term {
		return Outcome{}
	}
	return e.follow(now, term)
}

// Confirm takes note, at a leader, that a voter has answered an append of this term that was sent at sentAt.
func (e *Elector) Confirm(from MemberID, sentAt time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.role == Leader && sentAt.After(e.confirmed[from]) {
		e.confirmed[from] = sentAt
	}
}

// heardFrom returns the time since which a majority of voters has been heard.
func (e *Elector) heardFrom(now time.Time) time.Time {
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
		} else if t, ok := e.confirmed[v]; ok {
			times = append(times, t)
		}
	}
	need := len(voters)/2 + 1
	if len(times) < need {
		return time.Time{}, false
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[need-1], true
}

// Leased reports whether the member is the leader and no other member can have become one.
func (e *Elector) Leased(now time.Time) bool {
	e.mu.RLock()
	defer e.mu.RUnlock()
	if e.role != Leader {
		return false
	}
	t, ok := e.quorumTime(now)
	return ok && now.Before(t.Add(LeaseTime))
}

// Resign makes a leader a follower, for example because it is no member any more.
func (e *Elector) Resign(now time.Time) Outcome {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.follow(now, e.ballot.Term)
}

// Ballot returns the current ballot.
func (e *Elector) Ballot() Ballot {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return e.ballot
}

// Standing returns the role and the known leader; 0 for none.
func (e *Elector) Standing() (Role, MemberID) {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return e.role, e.leader
}
