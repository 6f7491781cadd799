// Package publisher keeps recent updates so that nodes get deltas, and falls back to the full state for nodes that are too
// far behind.
package publisher

import (
	"sync"

	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// historyLimit is the number of updates kept. At 4,000 changes a day it covers half a day of absence.
const historyLimit = 2048

// Publisher holds the newest updates in order. The zero value is ready for use.
type Publisher struct {
	mu sync.RWMutex
	// updates have consecutive revisions.
	updates []registrar.Update
}

// Add appends an update. An update that does not follow the newest one replaces the history.
func (p *Publisher) Add(u registrar.Update) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.updates); n > 0 && p.updates[n-1].Revision+1 != u.Revision {
		p.updates = nil
	}
	p.updates = append(p.updates, u)
	if extra := len(p.updates) - historyLimit; extra > 0 {
		p.updates = append([]registrar.Update(nil), p.updates[extra:]...)
	}
}

// Reset forgets all updates.
func (p *Publisher) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.updates = nil
}

// Since returns the updates after a revision up to and including another one. It returns false if some are not kept.
func (p *Publisher) Since(have, want registrar.Revision) ([]registrar.Update, bool) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	if have >= want {
		return nil, true
	}
	if len(p.updates) == 0 || p.updates[0].Revision > have+1 {
		return nil, false
	}
	first := int(have + 1 - p.updates[0].Revision)
	last := int(want + 1 - p.updates[0].Revision)
	if first > len(p.updates) || last > len(p.updates) {
		return nil, false
	}
	return p.updates[first:last:last], true
}
