package replicator

import (
	"slices"
	"time"

	"github.com/peridotstage/peridotstage/internal/control/elector"
)

// receive handles a message of another member.
func (r *Replica) receive(now time.Time, m Message) {
	r.heard.put(m.Sender, m.Address)
	if m.To != r.Self {
		// An instance that lost its disk gets messages for its old identity.
		if m.To == 0 {
			r.receiveUnaddressed(now, m)
		}
		return
	}
	sender := r.sender(m)
	switch b := m.Body.(type) {
	case VoteRequest:
		a, out := r.elector.Vote(now, b.Request)
		r.act(now, out)
		r.send(sender, VoteAnswer{a})
	case VoteAnswer:
		r.act(now, r.elector.Count(now, b.Answer))
	case Append:
		r.take(now, sender, m, b)
	case AppendAnswer:
		r.answered(now, sender, m, b)
	case SnapshotChunk:
		r.takeChunk(now, sender, m, b)
	case ChunkAnswer:
		r.chunkAnswered(now, sender, m, b)
	}
}

// sender returns where to answer. The sender may be missing in the own log.
func (r *Replica) sender(m Message) Member {
	members, _ := r.log.Members()
	for _, k := range members {
		if k.ID == m.From {
			return k
		}
	}
	return Member{ID: m.From, Name: m.Sender}
}

// take handles an append at a follower.
func (r *Replica) take(now time.Time, sender Member, m Message, a Append) {
	heard, out := r.elector.Hear(now, m.From, m.Term)
	r.act(now, out)
	answer := AppendAnswer{Prev: a.Prev.Index, SentAt: a.SentAt, ReadAt: r.reading(now)}
	if !heard {
		answer.Rejected = true
		r.send(sender, answer)
		return
	}
	base := r.log.Base()
	t, known := r.log.Term(a.Prev.Index)
	if a.Prev.Index >= base.Index && (!known || t != a.Prev.Term) {
		answer.Rejected, answer.Match = true, r.retryFrom(a.Prev)
		r.send(sender, answer)
		return
	}
	r.merge(a.Entries)
	answer.Match = max(a.Prev.Index+Index(len(a.Entries)), base.Index)
	r.commitTo(now, min(a.Commit, answer.Match))
	if a.Echo.Session == r.session {
		r.voucher.addEcho(echo{at: a.Echo.At, commit: a.Commit})
	}
	r.send(sender, answer)
}

// retryFrom returns an index before the first entry of the conflicting term, so that a leader skips whole terms.
func (r *Replica) retryFrom(prev Position) Index {
	last := r.log.Last().Index
	if prev.Index > last {
		return last
	}
	conflict, _ := r.log.Term(prev.Index)
	at := prev.Index
	for at > r.commit {
		if t, ok := r.log.Term(at); !ok || t != conflict {
			break
		}
		at--
	}
	return at
}

// merge writes the entries that the log does not have. Entries that agree stay, because a late append must not drop what a
// newer one has added.
func (r *Replica) merge(entries []Entry) {
	base := r.log.Base()
	for _, e := range entries {
		if e.Index <= base.Index {
			continue
		}
		if t, ok := r.log.Term(e.Index); ok && t == e.Term {
			continue
		}
		r.store(e)
	}
}

// answered handles the answer to an append at a leader.
func (r *Replica) answered(now time.Time, sender Member, m Message, a AppendAnswer) {
	p := r.confirmed(now, m, a.SentAt)
	if p == nil {
		return
	}
	p.mu.Lock()
	if a.ReadAt.Session != p.readAt.Session || a.ReadAt.At > p.readAt.At {
		p.readAt = a.ReadAt
	}
	r.adjust(now, sender, p, a)
	p.mu.Unlock()
	r.advance(now)
}

// confirmed takes note that a peer has answered in this term. It returns nil if the answer does not count.
func (r *Replica) confirmed(now time.Time, m Message, sentAt Reading) *Progress {
	r.act(now, r.elector.Observe(now, m.Term))
	role, _ := r.elector.Standing()
	p := r.peer(m.From)
	if role != elector.Leader || m.Term != r.elector.Ballot().Term || p == nil || sentAt.Session != r.session {
		return nil
	}
	r.elector.Confirm(m.From, r.startedAt.Add(sentAt.At))
	p.mu.Lock()
	p.heardAt = now
	p.mu.Unlock()
	return p
}

func (r *Replica) adjust(now time.Time, sender Member, p *Progress, a AppendAnswer) {
	if !a.Rejected {
		p.match = max(p.match, a.Match)
		p.next = max(p.next, p.match+1)
		if p.sending != nil && p.match >= p.sending.snapshot.Index {
			p.sending = nil
		}
		return
	}
	if p.sending != nil || a.Prev <= p.match {
		return
	}
	p.next = max(p.match+1, min(p.next, a.Prev, a.Match+1))
	r.feed(now, sender, p)
}

// majority returns the newest index that a majority of voters has made durable.
func (r *Replica) majority() Index {
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
