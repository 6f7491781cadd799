package runner

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

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

// soleAuthority vouches always, because a single instance knows every confirmed revision.
type soleAuthority struct{}

func (soleAuthority) Vouch(time.Time) (time.Duration, bool) { return 0, true }

// peers returns a client for each other control instance.
func peers(cfg parser.Control, keys *loader.Material) map[registrar.MachineName]*connector.Client {
	all := map[registrar.MachineName]*connector.Client{}
	for name, address := range cfg.Members {
		if name != cfg.Name {
			all[name] = &connector.Client{Address: address, TLS: keys.Client}
		}
	}
	return all
}

// faultReporter logs faults of nodes.
type faultReporter struct {
	recorder *recorder.Recorder
}

// DigestDiffers logs that a node enforced another configuration than the one of its revision.
func (f faultReporter) DigestDiffers(machine registrar.MachineName, at registrar.Revision) {
	f.recorder.Error(recorder.DigestDiffers, zap.String("machine", string(machine)), zap.Uint64("revision", uint64(at)))
}

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
	authority := soleAuthority{}
	collector := &connector.Collector{Name: cfg.Name, StartedAt: time.Now(), Leaser: sessions, Peers: peers(cfg, keys)}
	announcements := newAnnouncer(log, rec)
	e, err := newExporter(cfg.Machine, func(time.Time) error {
		if ctx.Err() != nil {
			return errStopping
		}
		return nil
	})
	if err != nil {
		return err
	}
	burns := newCollector(cfg)
	report := burnReport(burns, ledger.World)
	if err := errors.Join(exportControl(e, ledger.World, sessions), exportBurn(e, report)); err != nil {
		return err
	}
	g := newGroup(ctx)
	g.run((&connector.Server{
		Address: cfg.ControlAddress, TLS: keys.Server,
		Heartbeats: &burnCollector{collector: burns, next: &granter.Granter{
			World: ledger.World, Publisher: updates, Leaser: sessions, Authority: authority,
			Announcer: announcements, Reporter: faultReporter{rec},
		}},
		Collector: collector,
	}).Run)
	g.run((&administrator.Administrator{
		Address: cfg.APIAddress, TLS: keys.Server, Log: log, Ledger: ledger, Collector: collector, Authority: authority,
		Recorder: rec, Burn: report,
	}).Run)
	g.run(announcements.run)
	g.run((&upkeep{World: ledger.World, Log: log, Collector: collector, Authority: authority, Recorder: rec}).run)
	g.run(reloadOnHangup(rec, keys))
	g.run(e.Run)
	rec.Info(recorder.MachineStarted)
	return g.wait()
}
