package runner

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/peridotstage/peridotstage/internal/control/driver"
	"github.com/peridotstage/peridotstage/internal/control/gatherer"
	"github.com/peridotstage/peridotstage/internal/control/granter"
	"github.com/peridotstage/peridotstage/internal/control/leaser"
	"github.com/peridotstage/peridotstage/internal/control/planner"
	"github.com/peridotstage/peridotstage/internal/control/publisher"
	"github.com/peridotstage/peridotstage/internal/front/administrator"
	"github.com/peridotstage/peridotstage/internal/front/connector"
	"github.com/peridotstage/peridotstage/internal/report/recorder"
	"github.com/peridotstage/peridotstage/internal/secret/loader"
	"github.com/peridotstage/peridotstage/internal/setting/parser"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

const (
	silentInterval = 1 * time.Second
	// systemProposeTime bounds the wait for a change that the system makes itself. It is shorter than heartbeatTimeout, so
	// that a node gets its reply even while the log makes no progress.
	systemProposeTime = 500 * time.Millisecond
)

// proposer writes system changes to the log.
type proposer struct {
	log administrator.Log
}

// ProposeChanges proposes changes that were worked out for revision base as one entry and returns why they were not applied.
func (p *proposer) ProposeChanges(base registrar.Revision, changes []registrar.Change) error {
	entry, err := json.Marshal(planner.Command{
		Kind: planner.CommandSystem, AtMilli: time.Now().UnixMilli(), Changes: changes, Base: base,
	})
	if err != nil {
		return eris.Wrap(err, "encode changes")
	}
	ctx, cancel := context.WithTimeout(context.Background(), systemProposeTime)
	defer cancel()
	out, err := p.log.Propose(ctx, entry)
	if err != nil {
		return err
	}
	var r planner.Result
	if err := json.Unmarshal(out, &r); err != nil {
		return eris.Wrap(err, "decode result")
	}
	if r.Failure != nil {
		return r.Failure
	}
	return nil
}

// Control runs a control instance until ctx ends.
func Control(ctx context.Context, cfg parser.Control, rec *recorder.Recorder) error {
	keys, err := loader.Load(cfg.Keys)
	if err != nil {
		return err
	}
	updates := &publisher.Publisher{}
	ledger := planner.NewLedger(updates)
	peers := &connector.Peers{TLS: keys.Client, Recorder: rec}
	log := &driver.Driver{
		Name: cfg.Name, Folder: cfg.DataFolder, Members: cfg.Members, Machine: ledger, Sender: peers, Forwarder: peers,
		Recorder: rec,
	}
	peers.Addresses = log
	if err := log.Open(); err != nil {
		return err
	}
	sessions := &leaser.Leaser{}
	all := &gatherer.Gatherer{Local: sessions, Directory: log, Asker: peers}
	sessions.Elsewhere = all
	p := &proposer{log: log}
	e, err := newExporter(cfg.Machine, func(time.Time) error {
		if ctx.Err() != nil {
			return errStopping
		}
		return nil
	})
	if err != nil {
		return err
	}
	if err := exportControl(e, ledger.World, sessions); err != nil {
		return err
	}
	g := newGroup(ctx)
	g.run(log.Run)
	g.run(peers.Run)
	g.run((&connector.Server{
		Address: cfg.ControlAddress, TLS: keys.Server, Consensus: log, Reporter: all,
		Heartbeats: &granter.Granter{
			World: ledger.World, Publisher: updates, Leaser: sessions, Authority: log, Proposer: p,
		},
	}).Run)
	g.run((&administrator.Administrator{
		Address: cfg.APIAddress, TLS: keys.Server, Log: log, Ledger: ledger, Leaser: sessions, Recorder: rec,
		Gatherer: all, Membership: log,
	}).Run)
	g.run(func(ctx context.Context) error { return markSilent(ctx, ledger.World, log, all, p) })
	g.run(reloadOnHangup(rec, keys))
	g.run(e.Run)
	rec.Info(recorder.MachineStarted)
	return g.wait()
}

// leadership tells whether this instance is the leader.
type leadership interface {
	Leading(now time.Time) bool
}

// markSilent takes upstreams that no control instance hears any more out of new generations. Only the leader does it.
func markSilent(ctx context.Context, w *registrar.World, l leadership, all *gatherer.Gatherer, p *proposer) error {
	ticker := time.NewTicker(silentInterval)
	defer ticker.Stop()
	var since time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			if !l.Leading(now) {
				since = time.Time{}
				continue
			}
			if since.IsZero() {
				since = now
			}
			base := w.Revision()
			changes := all.Silent(ctx, w)
			// A new leader may not have heard of all nodes yet.
			if len(changes) > 0 && now.Sub(since) >= leaser.SilentAfter {
				// A failed proposal is tried again in the next round.
				_ = p.ProposeChanges(base, changes)
			}
		}
	}
}
