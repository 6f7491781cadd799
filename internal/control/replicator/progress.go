package replicator

import (
	"sync"
	"time"

	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// Progress is the replication state of one peer at the leader, under its own lock.
type Progress struct {
	mu sync.Mutex
	// name is the instance name of the peer. It does not change.
	name registrar.MachineName
	// match is the newest index known to be durable at the peer. next is the index of the next entry to send.
	match, next Index
	// sentCommit is the commit index in the last append.
	sentCommit Index
	// answeredAt is when the last answer of the peer arrived.
	answeredAt time.Time
	// addedAt is when the leader began to send to the peer.
	addedAt time.Time
	// readAt is the newest clock reading received from the peer.
	readAt ClockReading
	// transfer is the snapshot being sent to the peer, or nil.
	transfer *snapshotTransfer
}

// snapshotTransfer is the state of sending a snapshot to a peer.
type snapshotTransfer struct {
	snapshot Snapshot
	// received is the number of bytes that the peer has confirmed.
	received int
	// sentAt is when the chunk at offset received was sent.
	sentAt time.Time
}

// ProgressStatus is a copy of the state of a Progress.
type ProgressStatus struct {
	Match               Index
	AnsweredAt, AddedAt time.Time
}

// Status returns a copy of the current state.
func (p *Progress) Status() ProgressStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	return ProgressStatus{Match: p.match, AnsweredAt: p.answeredAt, AddedAt: p.addedAt}
}
