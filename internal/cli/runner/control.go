package runner

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/peridotstage/peridotstage/internal/control/driver"
	"github.com/peridotstage/peridotstage/internal/control/granter"
	"github.com/peridotstage/peridotstage/internal/control/leaser"
	"github.com/peridotstage/peridotstage/internal/control/planner"
	"github.com/peridotstage/peridotstage/internal/control/publisher"
	"github.com/peridotstage/peridotstage/internal/front/administrator"
	"github.com/peridotstage/peridotstage/internal/front/connector"
	"github.com/peridotstage/peridotstage/internal/report/burner"
	"github.com/peridotstage/peridotstage/internal/report/recorder"
	"github.com/peridotstage/peridotstage/internal/secret/loader"
	"github.com/peridotstage/peridotstage/internal/setting/parser"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// faultReporter logs faults of nodes.
type faultReporter struct {
	recorder *recorder.Recorder
}

// DigestDiffers logs that a node enforced another configuration than the one of its revision.
func (f faultReporter) DigestDiffers(machine registrar.MachineName, at registrar.Revision) {
	f.recorder.Error(recorder.DigestDiffers, zap.String("machine", string(machine)), zap.Uint64("revision", uint64(at)))
}

// Control runs a control instance until ctx ends.
func Control(ctx context.Context, source Source[parser.Control], rec *recorder.Recorder) error {
	cfg := source.Settings
	keys, err := loader.Load(cfg.Keys)
	if err != nil {
		return err
	}
	reload := newReload(source, rec, keys)
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
	collector := &connector.Collector{Name: cfg.Name, StartedAt: time.Now(), Leaser: sessions, Directory: log, TLS: keys.Client, Traffic: &peers.Traffic}
	announcements := newAnnouncer(log, rec)
	e, err := newExporter(cfg.Machine, func(now time.Time) error {
		if ctx.Err() != nil {
			return errStopping
		}
		if _, ok := log.Vouch(now); !ok {
			return errNoLeader
		}
		return nil
	})
	if err != nil {
		return err
	}
	store := openBurnStore(cfg, rec)
	burns := store.collector
	reload.setters = controlSetters(burns)
	report := burnReport(burns, ledger.World)
	if err := errors.Join(exportControl(e, ledger.World, sessions, &peers.Traffic), exportBurn(e, report)); err != nil {
		return err
	}
	g := newGroup(ctx)
	g.run(log.Run)
	g.run(peers.Run)
	g.run((&connector.Server{
		Address: cfg.ControlAddress, TLS: keys.Server, Consensus: log,
		Heartbeats: &burnCollector{store: store, next: &granter.Granter{
			World: ledger.World, Publisher: updates, Leaser: sessions, Authority: log,
			Announcer: announcements, Reporter: faultReporter{rec},
		}},
		Collector: collector,
	}).Run)
	g.run((&administrator.Administrator{
		Address: cfg.APIAddress, TLS: keys.Server, Log: log, Ledger: ledger, Collector: collector, Authority: log,
		Membership: log, Recorder: rec, Burn: report,
	}).Run)
	g.run(announcements.run)
	g.run((&upkeep{World: ledger.World, Log: log, Collector: collector, Authority: log, Recorder: rec}).run)
	g.run(store.run)
	g.run(reload.run)
	g.run(e.Run)
	rec.Info(recorder.MachineStarted)
	return g.wait()
}

// controlSetters put the fields of a control instance into force that can be reloaded.
func controlSetters(burns *burner.Collector) setters[parser.Control] {
	return setters[parser.Control]{
		"objectives": func(cfg parser.Control) { burns.SetObjectives(time.Now(), objectivesOf(cfg)) },
	}
}
