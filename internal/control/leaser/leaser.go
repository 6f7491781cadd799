// Package leaser keeps, at a control instance, the session of each node: when it was last heard, until when it may hold a
// lease, what it announces and what it has counted for each customer.
package leaser

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/peridotstage/peridotstage/internal/control/subscriber"
	"github.com/peridotstage/peridotstage/internal/route/counter"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// ErrTaken means that another machine announces the same upstream and its lease is still valid.
var ErrTaken = eris.New("upstream is announced by another machine")

const shardCount = 16

// SilentAfter is how long an agent may be silent before its upstream gets no new flows.
const SilentAfter = 10 * time.Second

// Announcement is what an agent says about its upstream.
type Announcement struct {
	Upstream registrar.UpstreamName
	Service  registrar.ServiceName
	Slots    registrar.Slots
	Weight   registrar.Weight
	// OldestFlow is the generation in which the oldest live flow was admitted; 0 without flows.
	OldestFlow registrar.Revision
	Draining   bool
}

// Heartbeat is one report of a node.
type Heartbeat struct {
	Machine      registrar.Machine
	Revision     registrar.Revision
	Announcement *Announcement
	Evidence     []counter.Evidence
	ServeExpired bool
}

// Session is what a control instance knows about a node.
type Session struct {
	Heartbeat
	HeardAt time.Time
	// LeaseUntil is the latest time at which a lease granted here can still be valid.
	LeaseUntil time.Time
}

type shard struct {
	mu       sync.Mutex
	sessions map[registrar.MachineName]Session
}

// Leaser holds the sessions of one control instance. The zero value is ready for use.
type Leaser struct {
	// Elsewhere knows the sessions of the other control instances; nil if there are none. It is set before first use.
	Elsewhere Elsewhere

	shards [shardCount]shard
}

func (l *Leaser) shard(name registrar.MachineName) *shard {
	return &l.shards[xxhash.Sum64String(string(name))%shardCount]
}

// Record stores a heartbeat. If granted is true, the reply to it grants a lease.
func (l *Leaser) Record(now time.Time, h Heartbeat, granted bool) {
	s := l.shard(h.Machine.Name)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sessions == nil {
		s.sessions = map[registrar.MachineName]Session{}
	}
	next := Session{Heartbeat: h, HeardAt: now, LeaseUntil: s.sessions[h.Machine.Name].LeaseUntil}
	if granted {
		next.LeaseUntil = now.Add(subscriber.LeaseTime)
	}
	s.sessions[h.Machine.Name] = next
}

// Session returns the session of a machine.
func (l *Leaser) Session(name registrar.MachineName) (Session, bool) {
	s := l.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.sessions[name]
	return v, ok
}

// Sessions returns all sessions sorted by machine name.
func (l *Leaser) Sessions() []Session {
	var all []Session
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		for _, v := range s.sessions {
			all = append(all, v)
		}
		s.mu.Unlock()
	}
	slices.SortFunc(all, func(a, b Session) int { return cmp.Compare(a.Machine.Name, b.Machine.Name) })
	return all
}

// Changes returns what has to change in the configuration so that it agrees with a heartbeat. It returns ErrTaken if the
// announced upstream belongs to a machine that still holds a lease.
func (l *Leaser) Changes(now time.Time, w *registrar.World, h Heartbeat) ([]registrar.Change, error) {
	var changes []registrar.Change
	if old, ok := w.Machine(h.Machine.Name); !ok || old != h.Machine {
		m := h.Machine
		changes = append(changes, registrar.Change{Kind: registrar.PutMachine, Machine: &m})
	}
	a := h.Announcement
	if a == nil {
		return changes, nil
	}
	old, had := w.Upstream(a.Upstream)
	if had && old.Machine != h.Machine.Name {
		if now.Before(l.leaseUntil(old.Machine)) {
			return nil, eris.Wrapf(ErrTaken, "upstream %q, machine %q", a.Upstream, old.Machine)
		}
	}
	next := old
	next.Name, next.Service, next.Zone, next.Machine = a.Upstream, a.Service, h.Machine.Zone, h.Machine.Name
	next.Slots = a.Slots
	// A draining agent without flows is as good as gone: chains need not pass through it any more.
	next.Draining, next.Silent = a.Draining, a.Draining && a.OldestFlow == 0
	if !had || weightMoved(old.Weight, a.Weight) {
		next.Weight = a.Weight
	}
	if next != old {
		changes = append(changes, registrar.Change{Kind: registrar.PutUpstream, Upstream: &next})
	}
	return changes, nil
}

// weightMoved reports a difference of more than 20%. Smaller ones would move buckets without a gain in balance.
func weightMoved(old, next registrar.Weight) bool {
	d := int64(next) - int64(old)
	return max(d, -d)*5 > int64(old)
}

// Silent returns the upstreams that have to be marked silent because their agent has not been heard. The caller must have
// collected sessions for at least SilentAfter.
func (l *Leaser) Silent(now time.Time, w *registrar.World) []registrar.Change {
	var changes []registrar.Change
	for _, u := range w.Upstreams() {
		s, ok := l.Session(u.Machine)
		if u.Silent || ok && now.Before(s.HeardAt.Add(SilentAfter)) {
			continue
		}
		u.Silent = true
		changes = append(changes, registrar.Change{Kind: registrar.PutUpstream, Upstream: &u})
	}
	return changes
}
