// Package leaser keeps, at a control instance, the session of each node: when it was last heard, until when it may hold a
// lease, what it announces and what it has counted for each customer.
package leaser

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/peridotstage/peridotstage/internal/control/planner"
	"github.com/peridotstage/peridotstage/internal/control/subscriber"
	"github.com/peridotstage/peridotstage/internal/report/burner"
	"github.com/peridotstage/peridotstage/internal/route/counter"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

const shardCount = 16

// KeepTime is how long an earlier start, or a machine that is not heard any more, is remembered. About 620 machines are
// restarted or replaced a day, so some 26 are remembered in vain.
const KeepTime = time.Hour

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
	Machine  registrar.Machine
	Revision registrar.Revision
	// Digest is the hash of the configuration at Revision; 0 if unknown.
	Digest       uint64
	Announcement *Announcement
	// Evidence was counted after the node began to enforce Revision.
	Evidence []counter.Evidence
	// Sequence counts the heartbeats of the node since its start.
	Sequence uint64
	// EvidenceBase is the heartbeat that Evidence adds to; 0 if Evidence is complete.
	EvidenceBase uint64
	ServeExpired bool
	// Burn holds new request counts; nil most of the time.
	Burn *burner.Batch
}

// Session is what a control instance knows about one start of a node.
type Session struct {
	Heartbeat
	HeardAt time.Time
	// LeaseUntil is the latest time at which a lease granted here can still be valid.
	LeaseUntil time.Time
	// EvidenceKnown is false if Evidence is not complete.
	EvidenceKnown bool
}

// keepStarts is how many starts of a machine are remembered at least while they are recent.
const keepStarts = 4

type shard struct {
	mu sync.Mutex
	// sessions holds the starts of each machine, the one heard last at the end.
	sessions map[registrar.MachineName][]Session
}

// Leaser holds the sessions of one control instance. The zero value is ready for use.
type Leaser struct {
	shards [shardCount]shard
}

func (l *Leaser) shard(name registrar.MachineName) *shard {
	return &l.shards[xxhash.Sum64String(string(name))%shardCount]
}

// Record stores a heartbeat. If granted is true, the reply to it grants a lease. It returns true if the node has to send its
// evidence in full, because what it sent adds to something that is not known here.
func (l *Leaser) Record(now time.Time, h Heartbeat, granted bool) (wantEvidence bool) {
	s := l.shard(h.Machine.Name)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sessions == nil {
		s.sessions = map[registrar.MachineName][]Session{}
	}
	starts := s.sessions[h.Machine.Name]
	var old Session
	if i := slices.IndexFunc(starts, func(v Session) bool { return v.Machine.Incarnation == h.Machine.Incarnation }); i >= 0 {
		old = starts[i]
		starts = slices.Delete(slices.Clone(starts), i, i+1)
	}
	next := old.next(now, h)
	if granted {
		next.LeaseUntil = now.Add(subscriber.LeaseTime)
	}
	s.sessions[h.Machine.Name] = append(prune(now, starts), next)
	return !next.EvidenceKnown
}

// next returns the session after one more heartbeat.
func (s Session) next(now time.Time, h Heartbeat) Session {
	n := Session{Heartbeat: h, HeardAt: now, LeaseUntil: s.LeaseUntil, EvidenceKnown: true}
	if h.EvidenceBase == 0 {
		return n
	}
	n.EvidenceKnown = s.EvidenceKnown && s.Sequence == h.EvidenceBase
	n.Evidence = overlay(s.Evidence, h.Evidence)
	return n
}

// overlay replaces the counts of the customers that are named in changed. Both lists are sorted by customer.
func overlay(old, changed []counter.Evidence) []counter.Evidence {
	if len(changed) == 0 {
		return old
	}
	all := slices.Clone(old)
	for _, e := range changed {
		i, found := slices.BinarySearchFunc(all, e.Customer, func(v counter.Evidence, name registrar.CustomerName) int {
			return cmp.Compare(v.Customer, name)
		})
		if found {
			all[i] = e
		} else {
			all = slices.Insert(all, i, e)
		}
	}
	return all
}

// prune forgets earlier starts that are old, or many, and can hold no lease.
func prune(now time.Time, starts []Session) []Session {
	extra := len(starts) + 1 - keepStarts
	return slices.DeleteFunc(slices.Clone(starts), func(s Session) bool {
		if !now.After(s.LeaseUntil) {
			return false
		}
		extra--
		return extra >= 0 || now.After(s.HeardAt.Add(KeepTime))
	})
}

// Session returns the session of the start of a machine that was heard last.
func (l *Leaser) Session(name registrar.MachineName) (Session, bool) {
	s := l.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	starts := s.sessions[name]
	if len(starts) == 0 {
		return Session{}, false
	}
	return starts[len(starts)-1], true
}

// Sessions returns the sessions of all starts sorted by machine name, the newest start of a machine last.
func (l *Leaser) Sessions() []Session {
	var all []Session
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		for _, starts := range s.sessions {
			all = append(all, starts...)
		}
		s.mu.Unlock()
	}
	slices.SortStableFunc(all, func(a, b Session) int { return cmp.Compare(a.Machine.Name, b.Machine.Name) })
	return all
}

// Newest returns the session of the newest start of each machine, sorted by machine name.
func (l *Leaser) Newest() []Session {
	var newest []Session
	for _, s := range l.Sessions() {
		if n := len(newest); n > 0 && newest[n-1].Machine.Name == s.Machine.Name {
			newest[n-1] = s
			continue
		}
		newest = append(newest, s)
	}
	return newest
}

// Facts returns what a heartbeat says that differs from the configuration, except a moved weight. The configuration may be
// older than that of the log, which decides in the end.
func Facts(w *registrar.World, h Heartbeat) planner.Facts {
	var f planner.Facts
	old, _ := w.Machine(h.Machine.Name)
	if old != h.Machine {
		f.Machines = append(f.Machines, planner.MachineFact{Machine: h.Machine, Previous: old.Incarnation})
	}
	if h.Announcement == nil {
		return f
	}
	fact := h.upstreamFact()
	u, had := w.Upstream(fact.Name)
	next := fact.Merge(u, had)
	if next.Weight = u.Weight; !had || next != u {
		f.Upstreams = append(f.Upstreams, fact)
	}
	return f
}

func (h Heartbeat) upstreamFact() planner.UpstreamFact {
	a := h.Announcement
	return planner.UpstreamFact{
		Name: a.Upstream, Service: a.Service, Zone: h.Machine.Zone, Machine: h.Machine.Name,
		Incarnation: h.Machine.Incarnation, Slots: a.Slots, Weight: a.Weight, Draining: a.Draining,
		Stopped: a.Draining && a.OldestFlow == 0,
	}
}
