// Package leaser keeps the sessions of nodes at a control instance. A session holds the last heartbeat of a node with its
// announcement and evidence, and the latest time at which the node may hold a lease.
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

// SessionRetention is how long the session of an earlier incarnation, or of a machine that sends no heartbeats, is kept. About
// 620 machines are restarted or replaced a day, so about 26 such sessions are kept at a time.
const SessionRetention = time.Hour

// SilentAfter is the time without a heartbeat from an agent after which its upstream gets no new flows.
const SilentAfter = 10 * time.Second

// Announcement is an agent's description of its upstream.
type Announcement struct {
	Upstream registrar.UpstreamName
	Service  registrar.ServiceName
	// Slots and Weight are 0 if the upstream ended before it sent this process of the agent a check-in. Control then keeps those that it
	// has.
	Slots  registrar.Slots
	Weight registrar.Weight
	// OldestFlow is the generation in which the oldest live flow was admitted; 0 without flows.
	OldestFlow registrar.Revision
	Draining   bool
}

// Heartbeat is the content of one heartbeat of a node.
type Heartbeat struct {
	Machine registrar.Machine
	// Revision is the revision that the node enforces.
	Revision registrar.Revision
	// Digest is the hash of the configuration at Revision; 0 if unknown.
	Digest       uint64
	Announcement *Announcement
	// Evidence was counted after the node began to enforce Revision.
	Evidence []counter.Evidence
	// Sequence is the number of the heartbeat, counted from the start of the node's process.
	Sequence uint64
	// EvidenceBase is the sequence number of the heartbeat whose evidence Evidence updates; 0 if Evidence is complete.
	EvidenceBase uint64
	// ServesWithoutLease is true if the node continues to serve without a valid lease.
	ServesWithoutLease bool
	// Burn holds new request counts. Most heartbeats have none, and it is nil.
	Burn *burner.Batch
}

// Session is what a control instance knows about one incarnation of a node.
type Session struct {
	Heartbeat
	// HeardAt is the time at which the heartbeat was received.
	HeardAt time.Time
	// LeaseUntil is the latest time at which a lease granted here can still be valid.
	LeaseUntil time.Time
	// EvidenceKnown is true if Evidence is complete.
	EvidenceKnown bool
}

// keptIncarnations is the number of incarnations of a machine whose sessions are kept for the whole retention time.
// Sessions of older ones are dropped once they can hold no lease.
const keptIncarnations = 4

type shard struct {
	mu sync.Mutex
	// sessions holds the sessions of the incarnations of each machine, the one with the last heartbeat at the end.
	sessions map[registrar.MachineName][]Session
}

// Leaser holds the sessions of one control instance. The zero value is ready for use.
type Leaser struct {
	shards [shardCount]shard
}

// shard returns the shard that holds the sessions of a machine.
func (l *Leaser) shard(name registrar.MachineName) *shard {
	return &l.shards[xxhash.Sum64String(string(name))%shardCount]
}

// Record stores a heartbeat. granted is true if the reply to the heartbeat grants a lease. Record returns true if the node must
// send complete evidence, because the evidence that it sent updates a heartbeat that this instance does not have.
func (l *Leaser) Record(now time.Time, h Heartbeat, granted bool) (wantEvidence bool) {
	s := l.shard(h.Machine.Name)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sessions == nil {
		s.sessions = map[registrar.MachineName][]Session{}
	}
	machineSessions := s.sessions[h.Machine.Name]
	var previous Session
	if i := slices.IndexFunc(machineSessions, func(v Session) bool { return v.Machine.Incarnation == h.Machine.Incarnation }); i >= 0 {
		previous = machineSessions[i]
		machineSessions = slices.Delete(slices.Clone(machineSessions), i, i+1)
	}
	session := previous.update(now, h)
	if granted {
		session.LeaseUntil = now.Add(subscriber.LeaseTime)
	}
	s.sessions[h.Machine.Name] = append(prune(now, machineSessions), session)
	return !session.EvidenceKnown
}

// update returns the session after another heartbeat of the same incarnation.
func (s Session) update(now time.Time, h Heartbeat) Session {
	updated := Session{Heartbeat: h, HeardAt: now, LeaseUntil: s.LeaseUntil, EvidenceKnown: true}
	if h.EvidenceBase == 0 {
		return updated
	}
	updated.EvidenceKnown = s.EvidenceKnown && s.Sequence == h.EvidenceBase
	updated.Evidence = mergeEvidence(s.Evidence, h.Evidence)
	return updated
}

// mergeEvidence returns old with the evidence of the customers in changed replaced or added. Both lists are sorted by customer.
func mergeEvidence(old, changed []counter.Evidence) []counter.Evidence {
	if len(changed) == 0 {
		return old
	}
	merged := slices.Clone(old)
	for _, e := range changed {
		i, found := slices.BinarySearchFunc(merged, e.Customer, func(v counter.Evidence, name registrar.CustomerName) int {
			return cmp.Compare(v.Customer, name)
		})
		if found {
			merged[i] = e
		} else {
			merged = slices.Insert(merged, i, e)
		}
	}
	return merged
}

// prune removes the sessions that can hold no lease and either have exceeded the retention time or, together with the session that
// is about to be added, exceed keptIncarnations.
func prune(now time.Time, machineSessions []Session) []Session {
	excess := len(machineSessions) + 1 - keptIncarnations
	return slices.DeleteFunc(slices.Clone(machineSessions), func(s Session) bool {
		if !now.After(s.LeaseUntil) {
			return false
		}
		excess--
		return excess >= 0 || now.After(s.HeardAt.Add(SessionRetention))
	})
}

// Session returns the session with the last heartbeat of a machine.
func (l *Leaser) Session(name registrar.MachineName) (Session, bool) {
	s := l.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	machineSessions := s.sessions[name]
	if len(machineSessions) == 0 {
		return Session{}, false
	}
	return machineSessions[len(machineSessions)-1], true
}

// Sessions returns the sessions of all incarnations, sorted by machine name and then by the time of the last heartbeat.
func (l *Leaser) Sessions() []Session {
	var all []Session
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		for _, machineSessions := range s.sessions {
			all = append(all, machineSessions...)
		}
		s.mu.Unlock()
	}
	slices.SortStableFunc(all, func(a, b Session) int { return cmp.Compare(a.Machine.Name, b.Machine.Name) })
	return all
}

// NewestSessions returns the session with the last heartbeat of each machine, sorted by machine name.
func (l *Leaser) NewestSessions() []Session {
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

// Facts returns the facts of a heartbeat that differ from the configuration, except a changed weight. The configuration may be
// older than that of the control log, which decides when the facts are applied.
func Facts(w *registrar.World, h Heartbeat) planner.Facts {
	var facts planner.Facts
	configured, _ := w.Machine(h.Machine.Name)
	if configured != h.Machine {
		facts.Machines = append(facts.Machines, planner.MachineFact{Machine: h.Machine, Previous: configured.Incarnation})
	}
	if h.Announcement == nil {
		return facts
	}
	fact := h.upstreamFact()
	upstream, exists := w.Upstream(fact.Name)
	if fact.Stopped && fact.Slots == 0 {
		if !exists {
			return facts
		}
		fact.Slots, fact.Weight = upstream.Slots, upstream.Weight
	}
	next := fact.Merge(upstream, exists)
	if next.Weight = upstream.Weight; !exists || next != upstream {
		facts.Upstreams = append(facts.Upstreams, fact)
	}
	return facts
}

// upstreamFact returns the announcement of a heartbeat as a fact. It panics if the heartbeat has none.
func (h Heartbeat) upstreamFact() planner.UpstreamFact {
	a := h.Announcement
	return planner.UpstreamFact{
		Name: a.Upstream, Service: a.Service, Zone: h.Machine.Zone, Machine: h.Machine.Name,
		Incarnation: h.Machine.Incarnation, Slots: a.Slots, Weight: a.Weight, Draining: a.Draining,
		Stopped: a.Draining && a.OldestFlow == 0,
	}
}
