package replicator

import (
	"time"

	"github.com/peridotstage/peridotstage/internal/control/elector"
)

const (
	// maxChunkBytes bounds the data in one SnapshotChunk, so that it does not delay heartbeats on the same connection.
	maxChunkBytes = 256 << 10
	// chunkTimeout is how long a leader waits for the answer to a chunk before it sends the chunk again. It is shorter than the
	// election timeout, because no heartbeats are sent during a snapshot transfer.
	chunkTimeout = 300 * time.Millisecond
)

// flush sends new entries and the new commit index to the peers.
func (r *Replica) flush(now time.Time) {
	if role, _ := r.elector.RoleAndLeader(); role != elector.Leader {
		return
	}
	last := r.log.Last().Index
	r.forEachPeer(func(m Member, p *Progress) {
		for p.transfer == nil && p.next <= last && p.next <= p.match+maxInFlight {
			if !r.sendNext(now, m, p) {
				break
			}
		}
		if p.transfer == nil && p.sentCommit < r.commit {
			r.sendNext(now, m, p)
		}
	})
}

// heartbeat sends an append to a peer even if there are no new entries, or repeats a snapshot chunk that was not answered.
func (r *Replica) heartbeat(now time.Time, m Member, p *Progress) {
	if p.transfer == nil {
		r.sendNext(now, m, p)
		return
	}
	if now.Sub(p.transfer.sentAt) >= chunkTimeout {
		r.sendChunk(now, m, p)
	}
}

// sendNext sends the next entries to a peer, or begins a snapshot transfer if they are compacted. It reports whether entries were
// sent. The caller holds the lock of p.
func (r *Replica) sendNext(now time.Time, m Member, p *Progress) bool {
	if p.next <= r.log.Base().Index {
		p.transfer = &snapshotTransfer{snapshot: r.snapshot}
		r.sendChunk(now, m, p)
		return false
	}
	t, _ := r.log.Term(p.next - 1)
	a := Append{
		Prev: Position{Index: p.next - 1, Term: t}, Commit: r.commit, SentAt: r.readClock(now), Echo: r.echoReading(now, p),
	}
	if p.next <= p.match+maxInFlight {
		a.Entries = r.log.Slice(p.next, maxBatchBytes)
	}
	p.next += Index(len(a.Entries))
	p.sentCommit = r.commit
	r.send(m, a)
	return len(a.Entries) > 0
}

// echoReading returns the newest clock reading of a peer. It returns the zero value unless this leader holds its lease and has
// committed an entry of its term, because its commit index may otherwise not cover all confirmed entries.
func (r *Replica) echoReading(now time.Time, p *Progress) ClockReading {
	start := Index(r.termStart.Load())
	if start == 0 || r.commit < start || !r.elector.HoldsLease(now) {
		return ClockReading{}
	}
	return p.readAt
}

// sendChunk sends the next chunk of the snapshot being transferred to a peer. The caller holds the lock of p.
func (r *Replica) sendChunk(now time.Time, m Member, p *Progress) {
	t := p.transfer
	end := min(len(t.snapshot.State), t.received+maxChunkBytes)
	t.sentAt = now
	r.send(m, SnapshotChunk{
		Position: t.snapshot.Position, Members: t.snapshot.Members, Offset: t.received, Total: len(t.snapshot.State),
		Data: t.snapshot.State[t.received:end], SentAt: r.readClock(now),
	})
}

// handleChunk handles a part of a snapshot at a follower.
func (r *Replica) handleChunk(now time.Time, sender Member, m Message, c SnapshotChunk) {
	current, out := r.elector.ReceiveAppend(now, m.From, m.Term)
	r.applyOutcome(now, out)
	if !current {
		r.send(sender, AppendAnswer{Rejected: true, SentAt: c.SentAt})
		return
	}
	if r.coversSnapshot(now, c.Position) {
		r.send(sender, AppendAnswer{Match: c.Position.Index, SentAt: c.SentAt, ReadAt: r.readClock(now)})
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
	r.installSnapshot(now)
	r.send(sender, AppendAnswer{Match: c.Position.Index, SentAt: c.SentAt, ReadAt: r.readClock(now)})
}

// coversSnapshot reports whether the log has the entries that a snapshot at pos covers, and commits them. The snapshot is then
// not installed, because it would remove later entries that this member may have acknowledged.
func (r *Replica) coversSnapshot(now time.Time, pos Position) bool {
	if pos.Index <= r.commit {
		return true
	}
	if t, ok := r.log.Term(pos.Index); ok && t == pos.Term {
		r.commitTo(now, pos.Index)
		return true
	}
	return false
}

// installSnapshot replaces the log by the received snapshot.
func (r *Replica) installSnapshot(now time.Time) {
	s := r.incoming
	r.incoming = Snapshot{}
	r.snapshot = s
	r.log.Reset(s.Position, s.Members)
	r.commit = s.Index
	r.stateAge.setCommit(now, s.Index)
	r.effects.Install, r.effects.Append, r.effects.Committed = &s, nil, nil
}

// handleChunkAnswer sends the next part of a snapshot. An answer that does not advance the transfer is ignored, since heartbeat
// retransmits lost chunks.
func (r *Replica) handleChunkAnswer(now time.Time, sender Member, m Message, a ChunkAnswer) {
	p := r.recordAnswer(now, m, a.SentAt)
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.transfer
	if t == nil || a.Position != t.snapshot.Position || a.Received == t.received || a.Received > len(t.snapshot.State) {
		return
	}
	t.received = a.Received
	r.sendChunk(now, sender, p)
}
