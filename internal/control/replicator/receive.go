package replicator

import (
	"slices"
	"time"

	"github.com/peridotstage/peridotstage/internal/control/elector"
)

// receive handles a message from another member.
func (r *Replica) receive(now time.Time, m Message) {
	r.learned.put(m.Sender, m.Address)
	if m.To != r.Self {
		// An instance that has lost its disk receives messages for its old member id, which are ignored.
		if m.To == 0 {
			r.receiveUnaddressed(now, m)
		}
		return
	}
	sender := r.senderOf(m)
	switch b := m.Body.(type) {
	case VoteRequest:
		a, out := r.elector.Vote(now, b.Request)
		r.applyOutcome(now, out)
		r.send(sender, VoteAnswer{a})
	case VoteAnswer:
		r.applyOutcome(now, r.elector.CountVote(now, b.Answer))
	case Append:
		r.handleAppend(now, sender, m, b)
	case AppendAnswer:
		r.handleAppendAnswer(now, sender, m, b)
	case SnapshotChunk:
		r.handleChunk(now, sender, m, b)
	case ChunkAnswer:
		r.handleChunkAnswer(now, sender, m, b)
	}
}

// senderOf returns the member to answer. The log of this member may not list the sender yet.
func (r *Replica) senderOf(m Message) Member {
	members, _ := r.log.Members()
	for _, k := range members {
		if k.ID == m.From {
			return k
		}
	}
	return Member{ID: m.From, Name: m.Sender}
}

// handleAppend handles an append at a follower.
func (r *Replica) handleAppend(now time.Time, sender Member, m Message, a Append) {
	current, out := r.elector.ReceiveAppend(now, m.From, m.Term)
	r.applyOutcome(now, out)
	answer := AppendAnswer{Prev: a.Prev.Index, SentAt: a.SentAt, ReadAt: r.readClock(now)}
	if !current {
		answer.Rejected = true
		r.send(sender, answer)
		return
	}
	base := r.log.Base()
	t, found := r.log.Term(a.Prev.Index)
	if a.Prev.Index >= base.Index && (!found || t != a.Prev.Term) {
		answer.Rejected, answer.Match = true, r.retryIndex(a.Prev)
		r.send(sender, answer)
		return
	}
	r.mergeEntries(a.Entries)
	answer.Match = max(a.Prev.Index+Index(len(a.Entries)), base.Index)
	r.commitTo(now, min(a.Commit, answer.Match))
	if a.Echo.Session == r.session {
		r.stateAge.addEcho(echo{readAt: a.Echo.At, commit: a.Commit})
	}
	r.send(sender, answer)
}

// retryIndex returns an index before the first entry of the conflicting term, so that the leader skips all entries of a term in
// one round trip.
func (r *Replica) retryIndex(prev Position) Index {
	last := r.log.Last().Index
	if prev.Index > last {
		return last
	}
	conflictTerm, _ := r.log.Term(prev.Index)
	i := prev.Index
	for i > r.commit {
		if t, ok := r.log.Term(i); !ok || t != conflictTerm {
			break
		}
		i--
	}
	return i
}

// mergeEntries appends the entries that the log does not have. Entries that the log has are kept together with those that follow
// them, because a delayed append would otherwise remove entries that a later append has added.
func (r *Replica) mergeEntries(entries []Entry) {
	base := r.log.Base()
	for _, e := range entries {
		if e.Index <= base.Index {
			continue
		}
		if t, ok := r.log.Term(e.Index); ok && t == e.Term {
			continue
		}
		r.appendEntry(e)
	}
}

// handleAppendAnswer handles the answer to an append at a leader.
func (r *Replica) handleAppendAnswer(now time.Time, sender Member, m Message, a AppendAnswer) {
	p := r.recordAnswer(now, m, a.SentAt)
	if p == nil {
		return
	}
	p.mu.Lock()
	if a.ReadAt.Session != p.readAt.Session || a.ReadAt.At > p.readAt.At {
		p.readAt = a.ReadAt
	}
	r.updateProgress(now, sender, p, a)
	p.mu.Unlock()
	r.advanceCommit(now)
}

// recordAnswer records that a peer has answered in this term and returns its progress. It returns nil if this member is not the
// leader of the term of the answer, does not know the peer, or sent the append before a restart.
func (r *Replica) recordAnswer(now time.Time, m Message, sentAt ClockReading) *Progress {
	r.applyOutcome(now, r.elector.ObserveTerm(now, m.Term))
	role, _ := r.elector.RoleAndLeader()
	p := r.peer(m.From)
	if role != elector.Leader || m.Term != r.elector.Ballot().Term || p == nil || sentAt.Session != r.session {
		return nil
	}
	r.elector.ConfirmAppend(m.From, r.startedAt.Add(sentAt.At))
	p.mu.Lock()
	p.answeredAt = now
	p.mu.Unlock()
	return p
}

// updateProgress updates the match and next index of a peer, and sends again after a rejection. The caller holds the lock of p.
func (r *Replica) updateProgress(now time.Time, sender Member, p *Progress, a AppendAnswer) {
	if !a.Rejected {
		p.match = max(p.match, a.Match)
		p.next = max(p.next, p.match+1)
		if p.transfer != nil && p.match >= p.transfer.snapshot.Index {
			p.transfer = nil
		}
		return
	}
	if p.transfer != nil || a.Prev <= p.match {
		return
	}
	p.next = max(p.match+1, min(p.next, a.Prev, a.Match+1))
	r.sendNext(now, sender, p)
}

// majorityMatch returns the newest index that is durable at a majority of voters.
func (r *Replica) majorityMatch() Index {
	var matches []Index
	for _, v := range r.log.Voters() {
		if v == r.Self {
			matches = append(matches, r.log.Last().Index)
			continue
		}
		var match Index
		if p := r.peer(v); p != nil {
			match = p.Status().Match
		}
		matches = append(matches, match)
	}
	if len(matches) == 0 {
		return 0
	}
	slices.Sort(matches)
	return matches[(len(matches)-1)/2]
}
