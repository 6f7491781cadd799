package replicator

import (
	"sync"
	"time"

	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// Progress is what a leader knows about one peer, under its own lock.
type Progress struct {
	mu sync.Mutex
	// name is that of the peer's instance. It does not change.
	name registrar.MachineName
	// match is the newest index known to be durable at the peer; next is the index to send next.
	match, next Index
	// commit is the commit index that was sent last.
	commit Index
	// heardAt is when the peer answered last.
	heardAt time.Time
	// addedAt is when the leader began to send to the peer.
	addedAt time.Time
	// readAt is the newest clock reading of the peer.
	readAt Reading
	// sending is the snapshot on its way to the peer, or nil.
	sending *transfer
}

// transfer is the state of a snapshot on its way.
type transfer struct {
	snapshot Snapshot
	received int
	// sentAt is when the chunk after received was sent.
	sentAt time.Time
}

// ProgressStatus is a copy for reports.
type ProgressStatus struct {
	Match            Index
	HeardAt, AddedAt time.Time
}

// Status returns a copy for reports.
func (p *Progress) Status() ProgressStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	return ProgressStatus{Match: p.match, HeardAt: p.heardAt, AddedAt: p.addedAt}
}
