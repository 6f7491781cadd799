// Package granter answers the heartbeats of nodes at a control instance: it grants leases and sends configuration updates.
package granter

import (
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/peridotstage/peridotstage/internal/control/leaser"
	"github.com/peridotstage/peridotstage/internal/control/planner"
	"github.com/peridotstage/peridotstage/internal/control/publisher"
	"github.com/peridotstage/peridotstage/internal/control/subscriber"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

const (
	// maxInitialUpdates is the largest number of updates sent to a node without a configuration. Above it, the full state is
	// smaller.
	maxInitialUpdates = 64
	// repairInterval is the shortest time between two full states sent to a node whose digest differs. At the design size the
	// state takes several megabytes.
	repairInterval = 10 * time.Second
)

// StateAger returns the age of the configuration that this instance knows.
type StateAger interface {
	// StateAge returns an upper bound on the age of the configuration: the instance knows every revision that was confirmed
	// longer ago than that. ok is false if the configuration may be too old to grant leases.
	StateAge(now time.Time) (age time.Duration, ok bool)
}

// Announcer writes the announcements of nodes to the control log in batches.
type Announcer interface {
	// Announce queues the facts that one machine reported, without blocking.
	Announce(machine registrar.MachineName, facts planner.Facts)
}

// ErrRefused means that an announcement contradicts the configuration.
var ErrRefused = eris.New("announcement refused")

// Reporter records faults.
type Reporter interface {
	// DigestDiffers records that a machine's configuration at a revision has a wrong digest.
	DigestDiffers(machine registrar.MachineName, revision registrar.Revision)
}

// Granter answers heartbeats. The exported fields are set before first use.
type Granter struct {
	World     *registrar.World
	Publisher *publisher.Publisher
	Leaser    *leaser.Leaser
	StateAger StateAger
	Announcer Announcer
	Reporter  Reporter

	digests   digestCache
	fullState stateCache
	// repairMu guards repairedAt, which holds the time of the last repair of each machine whose digest differed.
	repairMu   sync.Mutex
	repairedAt map[registrar.MachineName]time.Time
}

// digestCache caches the digest of the newest revision, because computing the digest reads the whole configuration.
type digestCache struct {
	mu       sync.Mutex
	revision registrar.Revision
	digest   uint64
}

// get returns the digest of a revision if the revision is the newest one. It returns false without blocking while another
// goroutine computes the digest.
func (c *digestCache) get(w *registrar.World, revision registrar.Revision) (uint64, bool) {
	if !c.mu.TryLock() {
		return 0, false
	}
	defer c.mu.Unlock()
	if newest := w.Revision(); newest != revision {
		return 0, false
	}
	if c.revision != revision || c.digest == 0 {
		c.revision, c.digest = w.RevisionDigest()
	}
	return c.digest, c.revision == revision
}

// stateCache caches the full state of the newest revision for all nodes that need it. When a data centre comes back, about 70
// nodes request the full state from one instance at the same time.
type stateCache struct {
	mu    sync.Mutex
	state *registrar.State
}

// get returns the full state of the newest revision. The caller must not modify the state, because replies share it.
func (c *stateCache) get(w *registrar.World) *registrar.State {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == nil || c.state.Revision != w.Revision() {
		st := w.State()
		c.state = &st
	}
	return c.state
}

// Heartbeat records the heartbeat of a node and returns the reply. The error says why the node's announcement was refused; the
// reply is valid also with an error.
func (g *Granter) Heartbeat(now time.Time, h leaser.Heartbeat) (subscriber.Reply, error) {
	refusal := g.announce(h)
	reply := g.reply(now, h)
	reply.WantEvidence = g.Leaser.Record(now, h, reply.Granted)
	return reply, refusal
}

// announce queues the facts of a heartbeat that differ from the configuration. Facts that would be refused are not written to the
// log, because a node repeats its announcement with every heartbeat.
func (g *Granter) announce(h leaser.Heartbeat) error {
	facts := leaser.Facts(g.World, h)
	if facts.Empty() {
		return nil
	}
	changed, refusals := planner.Preview(g.World, facts)
	if changed {
		g.Announcer.Announce(h.Machine.Name, facts)
	}
	if len(refusals) > 0 {
		return eris.Wrap(ErrRefused, refusals[0].Message)
	}
	return nil
}

// reply returns the reply to a heartbeat, without WantEvidence.
func (g *Granter) reply(now time.Time, h leaser.Heartbeat) subscriber.Reply {
	// The age is read before the revision, so that the revision is at least as new as the age says.
	age, ok := g.StateAger.StateAge(now)
	reply := subscriber.Reply{Revision: g.World.Revision(), Age: age, Granted: ok && g.coveredByProofs(h)}
	updates, complete := g.Publisher.Since(h.Revision, reply.Revision)
	if h.Revision == 0 && len(updates) > maxInitialUpdates {
		complete = false
	}
	if complete && !g.needsRepair(now, h) {
		reply.Updates = updates
		return reply
	}
	reply.State = g.fullState.get(g.World)
	reply.Revision = reply.State.Revision
	return reply
}

// coveredByProofs reports whether every proof covers the node. A node that continues to serve without a lease gets its first lease
// only after the configuration names it. Otherwise, if this instance were lost, a proof could leave the node out.
func (g *Granter) coveredByProofs(h leaser.Heartbeat) bool {
	if !h.ServesWithoutLease {
		return true
	}
	m, ok := g.World.Machine(h.Machine.Name)
	return ok && m.Incarnation == h.Machine.Incarnation && m.ServesWithoutLease
}

// needsRepair reports whether the digest of the node's configuration is wrong and repairInterval has passed since the last repair.
// It records the repair.
func (g *Granter) needsRepair(now time.Time, h leaser.Heartbeat) bool {
	if h.Digest == 0 {
		return false
	}
	want, ok := g.digests.get(g.World, h.Revision)
	if !ok || want == h.Digest {
		return false
	}
	g.repairMu.Lock()
	defer g.repairMu.Unlock()
	if lastRepair, ok := g.repairedAt[h.Machine.Name]; ok && now.Before(lastRepair.Add(repairInterval)) {
		return false
	}
	if g.repairedAt == nil {
		g.repairedAt = map[registrar.MachineName]time.Time{}
	}
	g.repairedAt[h.Machine.Name] = now
	g.Reporter.DigestDiffers(h.Machine.Name, h.Revision)
	return true
}
