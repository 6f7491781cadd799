package replicator

import (
	"time"

	"github.com/peridotstage/peridotstage/internal/control/elector"
)

const (
	// chunkSize bounds one message of a snapshot, so that heartbeats on the same connection are not late.
	chunkSize = 256 << 10
	// chunkRetry is the wait for the answer to a chunk. It is below the election timeout, because chunks stand in for
	// heartbeats.
	chunkRetry = 300 * time.Millisecond
)

// flush sends what peers do not have yet.
func (r *Replica) flush(now time.Time) {
	if role, _ := r.elector.Standing(); role != elector.Leader {
		return
	}
	last := r.log.Last().Index
	r.eachPeer(func(m Member, p *Progress) {
		for p.sending == nil && p.next <= last && p.next <= p.match+maxUnanswered {
			if !r.feed(now, m, p) {
				break
			}
		}
		if p.sending == nil && p.commit < r.commit {
			r.feed(now, m, p)
		}
	})
}

// heartbeat sends to a peer even if there is nothing new.
func (r *Replica) heartbeat(now time.Time, m Member, p *Progress) {
	if p.sending == nil {
		r.feed(now, m, p)
		return
	}
	if now.Sub(p.sending.sentAt) >= chunkRetry {
		r.sendChunk(now, m, p)
	}
}

// feed sends the next entries to a peer, or begins a snapshot. It reports whether entries were sent. The progress is locked
// by the caller.
func (r *Replica) feed(now time.Time, m Member, p *Progress) bool {
	if p.next <= r.log.Base().Index {
		p.sending = &transfer{snapshot: r.snapshot}
		r.sendChunk(now, m, p)
		return false
	}
	t, _ := r.log.Term(p.next - 1)
	a := Append{
		Prev: Position{Index: p.next - 1, Term: t}, Commit: r.commit, SentAt: r.reading(now), Echo: r.echo(now, p),
	}
	if p.next <= p.match+maxUnanswered {
		a.Entries = r.log.Slice(p.next, maxBatch)
	}
	p.next += Index(len(a.Entries))
	p.commit = r.commit
	r.send(m, a)
	return len(a.Entries) > 0
}

// echo returns the newest reading of a peer if the leader may vouch for its commit index.
func (r *Replica) echo(now time.Time, p *Progress) Reading {
	start := Index(r.termStart.Load())
	if start == 0 || r.commit < start || !r.elector.Leased(now) {
		return Reading{}
	}
	return p.readAt
}

func (r *Replica) sendChunk(now time.Time, m Member, p *Progress) {
	t := p.sending
	end := min(len(t.snapshot.State), t.received+chunkSize)
	t.sentAt = now
	r.send(m, SnapshotChunk{
		Position: t.snapshot.Position, Members: t.snapshot.Members, Offset: t.received, Total: len(t.snapshot.State),
		Data: t.snapshot.State[t.received:end], SentAt: r.reading(now),
	})
}

// takeChunk handles a part of a snapshot at a follower.
func (r *Replica) takeChunk(now time.Time, sender Member, m Message, c SnapshotChunk) {
	heard, out := r.elector.Hear(now, m.From, m.Term)
	r.act(now, out)
	if !heard {
		r.send(sender, AppendAnswer{Rejected: true, SentAt: c.SentAt})
		return
	}
	if r.holds(now, c.Position) {
		r.send(sender, AppendAnswer{Match: c.Position.Index, SentAt: c.SentAt, ReadAt: r.reading(now)})
		return
	}
	if c.Position != r.incoming.Position || c.Offset == 0 {
		r.incoming = Snapshot{Position: c.Position, Members: c.Members}
	}
	if c.Offset == len(r.incoming.State) {
		r.incoming.State = append(r.incoming.State, c.Data...)
	}
	if len(r.incoming.State) < c.Total {
		r.send(sender, ChunkAnswer{Position: c.Position, Received: len(r.incoming.State), SentAt: c.SentAt})
		return
	}
	r.install(now)
	r.send(sender, AppendAnswer{Match: c.Position.Index, SentAt: c.SentAt, ReadAt: r.reading(now)})
}

// holds reports whether the log has the entries that a snapshot covers. Its suffix must then stay, because it may have been
// answered for.
func (r *Replica) holds(now time.Time, at Position) bool {
	if at.Index <= r.commit {
		return true
	}
	if t, ok := r.log.Term(at.Index); ok && t == at.Term {
		r.commitTo(now, at.Index)
		return true
	}
	return false
}

// install replaces the log by the received snapshot.
func (r *Replica) install(now time.Time) {
	s := r.incoming
	r.incoming = Snapshot{}
	r.snapshot = s
	r.log.Reset(s.Position, s.Members)
	r.commit = s.Index
	r.voucher.setCommit(now, s.Index)
	r.effects.Install, r.effects.Append, r.effects.Committed = &s, nil, nil
}

// chunkAnswered sends the next part of a snapshot. An answer that repeats the state is ignored, since the retry of
// heartbeat covers losses.
func (r *Replica) chunkAnswered(now time.Time, sender Member, m Message, a ChunkAnswer) {
	p := r.confirmed(now, m, a.SentAt)
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.sending
	if t == nil || a.Position != t.snapshot.Position || a.Received == t.received || a.Received > len(t.snapshot.State) {
		return
	}
	t.received = a.Received
	r.sendChunk(now, sender, p)
}
