package runner

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/peridotstage/peridotstage/internal/control/granter"
	"github.com/peridotstage/peridotstage/internal/control/leaser"
	"github.com/peridotstage/peridotstage/internal/control/planner"
	"github.com/peridotstage/peridotstage/internal/control/publisher"
	"github.com/peridotstage/peridotstage/internal/control/replicator"
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

// ProposeChanges proposes changes as one entry and returns why they were not applied.
func (p *proposer) ProposeChanges(changes []registrar.Change) error {
	entry, err := json.Marshal(planner.Command{
		Kind: planner.CommandSystem, AtMilli: time.Now().UnixMilli(), Changes: changes,
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

// soleAuthority vouches always, because a single instance knows every confirmed revision.
type soleAuthority struct{}

func (soleAuthority) Vouch(time.Time) (time.Duration, bool) { return 0, true }

// Control runs a control instance until ctx ends.
func Control(ctx context.Context, cfg parser.Control, rec *recorder.Recorder) error {
	keys, err := loader.Load(cfg.Keys)
	if err != nil {
		return err
	}
	updates := &publisher.Publisher{}
	ledger := planner.NewLedger(updates)
	log := &replicator.Local{Machine: ledger}
	sessions := &leaser.Leaser{}
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
	g.run((&connector.Server{
		Address: cfg.ControlAddress, TLS: keys.Server,
		Heartbeats: &granter.Granter{
			World: ledger.World, Publisher: updates, Leaser: sessions, Authority: soleAuthority{}, Proposer: p,
		},
	}).Run)
	g.run((&administrator.Administrator{
		Address: cfg.APIAddress, TLS: keys.Server, Log: log, Ledger: ledger, Leaser: sessions, Recorder: rec,
	}).Run)
	g.run(func(ctx context.Context) error { return markSilent(ctx, ledger.World, sessions, p) })
	g.run(reloadOnHangup(rec, keys))
	g.run(e.Run)
	rec.Info(recorder.MachineStarted)
	return g.wait()
}

// markSilent takes upstreams that are not heard any more out of new generations.
func markSilent(ctx context.Context, w *registrar.World, l *leaser.Leaser, p *proposer) error {
	// A fresh instance has heard nobody yet, so it waits for the first heartbeats.
	timer := time.NewTimer(leaser.SilentAfter)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-timer.C:
			if changes := l.Silent(now, w); len(changes) > 0 {
				// A failed proposal is tried again in the next round.
				_ = p.ProposeChanges(changes)
			}
			timer.Reset(silentInterval)
		}
	}
}
