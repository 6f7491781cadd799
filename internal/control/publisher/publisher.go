// Package publisher keeps the most recent updates of the configuration, so that a node receives only the updates that it
// lacks. A node that lacks older ones needs the full state.
package publisher

import (
	"sync"

	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// historyLimit is the number of updates kept. At 4,000 changes a day it covers a node that was away for half a day.
const historyLimit = 2048

// Publisher holds the most recent updates in order. The zero value is ready for use.
type Publisher struct {
	mu sync.RWMutex
	// updates is ordered by revision, without gaps.
	updates []registrar.Update
}

// Add appends an update. If its revision does not follow the newest one, all earlier updates are removed first.
func (p *Publisher) Add(u registrar.Update) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.updates); n > 0 && p.updates[n-1].Revision+1 != u.Revision {
		p.updates = nil
	}
	p.updates = append(p.updates, u)
	if excess := len(p.updates) - historyLimit; excess > 0 {
		p.updates = append([]registrar.Update(nil), p.updates[excess:]...)
	}
}

// Reset removes all updates.
func (p *Publisher) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.updates = nil
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
