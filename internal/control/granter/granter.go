// Package granter decides, at a control instance, how to answer the heartbeats of nodes.
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
	// newcomerUpdates is how many updates a node without a configuration gets; with more, the full state is smaller.
	newcomerUpdates = 64
	// repairInterval bounds how often a node whose digest differs gets the full state. At the design size the state is several
	// megabytes.
	repairInterval = 10 * time.Second
)

// Authority tells whether this instance knows the newest confirmed revision.
type Authority interface {
	// Vouch returns how old the knowledge is. ok is false if it is too old to grant leases.
	Vouch(now time.Time) (age time.Duration, ok bool)
}

// Announcer writes what nodes announce to the log, batched with other announcements.
type Announcer interface {
	// Announce queues facts that one machine reported. It does not wait.
	Announce(machine registrar.MachineName, f planner.Facts)
}

// ErrRefused means that an announcement contradicts the configuration.
var ErrRefused = eris.New("announcement refused")

// Reporter is told about faults.
type Reporter interface {
	DigestDiffers(machine registrar.MachineName, at registrar.Revision)
}

// Granter answers heartbeats. The exported fields are set before first use.
type Granter struct {
	World     *registrar.World
	Publisher *publisher.Publisher
	Leaser    *leaser.Leaser
	Authority Authority
	Announcer Announcer
	Reporter  Reporter

	digest digestCache
	full   stateCache
	// repairMu guards repairedAt, which holds the last repair of each machine whose digest differed.
	repairMu   sync.Mutex
	repairedAt map[registrar.MachineName]time.Time
}

// digestCache holds the digest of the newest revision, because computing it costs a pass over the whole configuration.
type digestCache struct {
	mu       sync.Mutex
	revision registrar.Revision
	digest   uint64
}

// at returns the digest of a revision if it is the newest one. It does not wait for another goroutine that computes it.
func (c *digestCache) at(w *registrar.World, r registrar.Revision) (uint64, bool) {
	if !c.mu.TryLock() {
		return 0, false
	}
	defer c.mu.Unlock()
	if newest := w.Revision(); newest != r {
		return 0, false
	}
	if c.revision != r || c.digest == 0 {
		c.revision, c.digest = w.RevisionDigest()
	}
	return c.digest, c.revision == r
}

// stateCache holds the full state of the newest revision, which newcomers share. When a data centre comes back, some 70 nodes
// ask one instance for it at the same time.
type stateCache struct {
	mu    sync.Mutex
	state *registrar.State
}

// at returns the full state of the newest revision. It must not be changed.
func (c *stateCache) at(w *registrar.World) *registrar.State {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == nil || c.state.Revision != w.Revision() {
		st := w.State()
		c.state = &st
	}
	return c.state
}

// Heartbeat records the heartbeat of a node and returns the reply. The error says why the node's announcement was refused;
// the reply is valid all the same.
func (g *Granter) Heartbeat(now time.Time, h leaser.Heartbeat) (subscriber.Reply, error) {
	refusal := g.announce(h)
	r := g.reply(now, h)
	r.WantEvidence = g.Leaser.Record(now, h, r.Granted)
	return r, refusal
}

// announce queues what a heartbeat says that differs from the configuration. What contradicts it is not written to the log,
// since a node repeats its announcement with every heartbeat.
func (g *Granter) announce(h leaser.Heartbeat) error {
	f := leaser.Facts(g.World, h)
	if f.Empty() {
		return nil
	}
	changes, refusals := planner.Preview(g.World, f)
	if changes {
		g.Announcer.Announce(h.Machine.Name, f)
	}
	if len(refusals) > 0 {
		return eris.Wrap(ErrRefused, refusals[0].Message)
	}
	return nil
}

func (g *Granter) reply(now time.Time, h leaser.Heartbeat) subscriber.Reply {
	// Authority is asked before the revision is read, so that the revision is at least as new as the age says.
	age, ok := g.Authority.Vouch(now)
	r := subscriber.Reply{Revision: g.World.Revision(), Age: age, Granted: ok && g.accountable(h)}
	updates, known := g.Publisher.Since(h.Revision, r.Revision)
	if h.Revision == 0 && len(updates) > newcomerUpdates {
		known = false
	}
	if known && !g.differs(now, h) {
		r.Updates = updates
		return r
	}
	r.State = g.full.at(g.World)
	r.Revision = r.State.Revision
	return r
}

// accountable reports whether every proof takes a node into account. One that goes on without a lease must be in the
// configuration first: if this instance was lost, nobody else might know of the node.
func (g *Granter) accountable(h leaser.Heartbeat) bool {
	if !h.ServeExpired {
		return true
	}
	m, ok := g.World.Machine(h.Machine.Name)
	return ok && m.Incarnation == h.Machine.Incarnation && m.ServesExpired
}

// differs reports that the node's configuration is not what it should be, and that it is time to repair it.
func (g *Granter) differs(now time.Time, h leaser.Heartbeat) bool {
	if h.Digest == 0 {
		return false
	}
	want, ok := g.digest.at(g.World, h.Revision)
	if !ok || want == h.Digest {
		return false
	}
	g.repairMu.Lock()
	defer g.repairMu.Unlock()
	if last, ok := g.repairedAt[h.Machine.Name]; ok && now.Before(last.Add(repairInterval)) {
		return false
	}
	if g.repairedAt == nil {
		g.repairedAt = map[registrar.MachineName]time.Time{}
	}
	g.repairedAt[h.Machine.Name] = now
	g.Reporter.DigestDiffers(h.Machine.Name, h.Revision)
	return true
}
