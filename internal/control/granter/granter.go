// Package granter decides, at a control instance, how to answer the heartbeats of nodes.
package granter

import (
	"time"

	"github.com/peridotstage/peridotstage/internal/control/leaser"
	"github.com/peridotstage/peridotstage/internal/control/publisher"
	"github.com/peridotstage/peridotstage/internal/control/subscriber"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// Authority tells whether this instance knows the newest confirmed revision.
type Authority interface {
	// Vouch returns how old the knowledge is. ok is false if it is too old to grant leases.
	Vouch(now time.Time) (age time.Duration, ok bool)
}

// Proposer writes changes that the system makes itself to the log.
type Proposer interface {
	// ProposeChanges proposes changes that were worked out for a revision.
	ProposeChanges(base registrar.Revision, changes []registrar.Change) error
}

// Granter answers heartbeats. The exported fields are set before first use.
type Granter struct {
	World     *registrar.World
	Publisher *publisher.Publisher
	Leaser    *leaser.Leaser
	Authority Authority
	Proposer  Proposer
}

// Heartbeat records the heartbeat of a node and returns the reply. The error says why the node's announcement was refused;
// the reply is valid all the same.
func (g *Granter) Heartbeat(now time.Time, h leaser.Heartbeat) (subscriber.Reply, error) {
	base := g.World.Revision()
	changes, refusal := g.Leaser.Changes(now, g.World, h)
	if len(changes) > 0 {
		refusal = g.Proposer.ProposeChanges(base, changes)
	}
	r := g.reply(now, h.Revision)
	g.Leaser.Record(now, h, r.Granted)
	return r, refusal
}

func (g *Granter) reply(now time.Time, have registrar.Revision) subscriber.Reply {
	// Authority is asked before the revision is read, so that the revision is at least as new as the age says.
	age, ok := g.Authority.Vouch(now)
	r := subscriber.Reply{Revision: g.World.Revision(), Age: age, Granted: ok}
	updates, known := g.Publisher.Since(have, r.Revision)
	if known {
		r.Updates = updates
		return r
	}
	st := g.World.State()
	r.State, r.Revision = &st, st.Revision
	return r
}
