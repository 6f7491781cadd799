package runner

import (
	"context"
	"crypto/tls"
	"time"

	"go.uber.org/zap"

	"github.com/peridotstage/peridotstage/internal/cli/supervisor"
	"github.com/peridotstage/peridotstage/internal/control/driver"
	"github.com/peridotstage/peridotstage/internal/control/granter"
	"github.com/peridotstage/peridotstage/internal/control/leaser"
	"github.com/peridotstage/peridotstage/internal/control/planner"
	"github.com/peridotstage/peridotstage/internal/control/publisher"
	"github.com/peridotstage/peridotstage/internal/front/administrator"
	"github.com/peridotstage/peridotstage/internal/front/connector"
	"github.com/peridotstage/peridotstage/internal/report/burner"
	"github.com/peridotstage/peridotstage/internal/report/exporter"
	"github.com/peridotstage/peridotstage/internal/report/recorder"
	"github.com/peridotstage/peridotstage/internal/secret/loader"
	"github.com/peridotstage/peridotstage/internal/setting/parser"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// faultReporter logs faults that nodes report.
type faultReporter struct {
	recorder *recorder.Recorder
}

// DigestDiffers logs that the configuration of a node differs from the one of its revision.
func (f faultReporter) DigestDiffers(machine registrar.MachineName, revision registrar.Revision) {
	f.recorder.Error(recorder.DigestDiffers, zap.String("machine", string(machine)), zap.Uint64("revision", uint64(revision)))
}

// controlCore holds the components that all control instances have, on a trusted network or not.
type controlCore struct {
	ledger        *planner.Ledger
	updates       *publisher.Publisher
	peers         *connector.Peers
	log           *driver.Driver
	sessions      *leaser.Leaser
	collector     *connector.Collector
	announcements *announcer
	recorder      *recorder.Recorder
	host          parser.Host
}

// newControlCore connects the components. clientTLS is nil on a trusted network. The caller opens the log.
func newControlCore(host parser.Host, log *driver.Driver, clientTLS func() *tls.Config, rec *recorder.Recorder) *controlCore {
	c := &controlCore{updates: &publisher.Publisher{}, sessions: &leaser.Leaser{}, log: log, recorder: rec, host: host}
	c.ledger = planner.NewLedger(c.updates)
	c.peers = &connector.Peers{TLS: clientTLS, Recorder: rec, Sender: log.Name, Address: host.ControlAddress, Addresses: log}
	log.StateMachine, log.Sender, log.Forwarder, log.Recorder = c.ledger, c.peers, c.peers, rec
	c.collector = &connector.Collector{
		Name: log.Name, StartedAt: time.Now(), Leaser: c.sessions, Directory: log, TLS: clientTLS, Traffic: &c.peers.Traffic,
	}
	c.announcements = newAnnouncer(log, rec)
	return c
}

// exporter returns the exporter with the metrics that all control instances have.
func (c *controlCore) exporter(ctx context.Context) (*exporter.Exporter, error) {
	e, err := supervisor.NewExporter(c.host, func(now time.Time) error {
		if ctx.Err() != nil {
			return supervisor.ErrStopping
		}
		if _, ok := c.log.StateAge(now); !ok {
			return errNoLeader
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	return e, exportControl(e, c.ledger.World, c.sessions, &c.peers.Traffic)
}

func (c *controlCore) granter() *granter.Granter {
	return &granter.Granter{
		World: c.ledger.World, Publisher: c.updates, Leaser: c.sessions, StateAger: c.log,
		Announcer: c.announcements, Reporter: faultReporter{c.recorder},
	}
}

func (c *controlCore) upkeep() *upkeep {
	return &upkeep{World: c.ledger.World, Log: c.log, Collector: c.collector, StateAger: c.log, Recorder: c.recorder}
}

// start runs in g the components that all control instances have.
func (c *controlCore) start(g *supervisor.Group, server *connector.Server) {
	g.Run(c.log.Run)
	g.Run(c.peers.Run)
	if !server.Address.IsValid() {
		server.Address = c.host.ControlAddress
	}
	server.Consensus, server.Collector = c.log, c.collector
	g.Run(server.Run)
	g.Run(c.announcements.run)
}

// Control runs a control instance until ctx ends.
func Control(ctx context.Context, source supervisor.Source[parser.Control], rec *recorder.Recorder) error {
	cfg := source.Settings
	keys, err := loader.Load(cfg.Keys)
	if err != nil {
		return err
	}
	reload := supervisor.NewReload(source, rec, keys)
	c := newControlCore(cfg.Host, &driver.Driver{Name: cfg.Name, Folder: cfg.DataFolder, Members: cfg.Members}, keys.Client, rec)
	if err := c.log.Open(); err != nil {
		return err
	}
	e, err := c.exporter(ctx)
	if err != nil {
		return err
	}
	store := openBurnStore(cfg, rec)
	burns := store.collector
	reload.Setters = controlSetters(burns)
	report := burnReport(burns, c.ledger.World)
	if err := exportBurn(e, report); err != nil {
		return err
	}
	g := supervisor.NewGroup(ctx)
	c.start(g, &connector.Server{TLS: keys.Server, Heartbeats: &burnCollector{store: store, next: c.granter()}})
	g.Run((&administrator.Administrator{
		Address: cfg.APIAddress, TLS: keys.Server, Log: c.log, Ledger: c.ledger, Collector: c.collector, StateAger: c.log,
		Membership: c.log, Recorder: rec, Burn: report,
	}).Run)
	g.Run(c.upkeep().run)
	g.Run(store.run)
	g.Run(reload.Run)
	g.Run(e.Run)
	rec.Info(recorder.MachineStarted)
	return g.Wait()
}

// controlSetters returns the functions that apply the reloadable fields of a control instance.
func controlSetters(burns *burner.Collector) supervisor.Setters[parser.Control] {
	return supervisor.Setters[parser.Control]{
		"objectives": func(cfg parser.Control) { burns.SetObjectives(time.Now(), objectivesOf(cfg)) },
	}
}
