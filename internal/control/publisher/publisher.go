// Package publisher keeps the most recent updates of the configuration, so that a node receives only the updates that it
// lacks. A node that lacks older ones needs the full state.
package publisher

import (
	"slices"
	"sync"

	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

const (
	// historyLimit is the number of updates kept. At 4,000 changes a day it covers a node that was away for half a day.
	historyLimit = 2048
	// maxHistoryChanges bounds the changes in the updates that are kept, each of some 300 bytes: an operator may change every route in each
	// update. The newest update is kept whatever its size.
	maxHistoryChanges = 32 << 10
)

// Publisher holds the most recent updates in order. The zero value is ready for use.
type Publisher struct {
	mu sync.RWMutex
	// updates is ordered by revision, without gaps.
	updates []registrar.Update
	// changes is the number of changes in updates.
	changes int
}

// Add appends an update. If its revision does not follow the newest one, all earlier updates are removed first.
func (p *Publisher) Add(u registrar.Update) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.updates); n > 0 && p.updates[n-1].Revision+1 != u.Revision {
		p.updates, p.changes = nil, 0
	}
	p.updates = append(p.updates, u)
	p.changes += len(u.Changes)
	p.trim()
}

// trim removes the oldest updates beyond the bounds of the history. The caller holds the lock.
func (p *Publisher) trim() {
	excess := 0
	for len(p.updates)-excess > historyLimit || p.changes > maxHistoryChanges && excess < len(p.updates)-1 {
		p.changes -= len(p.updates[excess].Changes)
		excess++
	}
	if excess > 0 {
		p.updates = slices.Clone(p.updates[excess:])
	}
}

// Reset removes all updates.
func (p *Publisher) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.updates, p.changes = nil, 0
}

// Since returns the updates after one revision, up to and including another. It returns false if some of them are missing.
func (p *Publisher) Since(after, upTo registrar.Revision) ([]registrar.Update, bool) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	if after >= upTo {
		return nil, true
	}
	if len(p.updates) == 0 || p.updates[0].Revision > after+1 {
		return nil, false
	}
	first := int(after + 1 - p.updates[0].Revision)
	end := int(upTo + 1 - p.updates[0].Revision)
	if first > len(p.updates) || end > len(p.updates) {
		return nil, false
	}
	return p.updates[first:end:end], true
}
