package runner

import (
	"context"
	"net/netip"
	"time"

	"github.com/peridotstage/peridotstage/internal/cli/supervisor"
	"github.com/peridotstage/peridotstage/internal/control/driver"
	"github.com/peridotstage/peridotstage/internal/control/planner"
	"github.com/peridotstage/peridotstage/internal/front/administrator"
	"github.com/peridotstage/peridotstage/internal/front/connector"
	"github.com/peridotstage/peridotstage/internal/front/pacer"
	"github.com/peridotstage/peridotstage/internal/report/recorder"
	"github.com/peridotstage/peridotstage/internal/setting/parser"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// registerInterval is how often an instance of an open group checks that the configuration contains it.
const registerInterval = 500 * time.Millisecond

// OpenControl returns the role of a control instance of an open group on a platform.
func OpenControl(p Platform) func(context.Context, supervisor.Source[parser.OpenControl], *recorder.Recorder) error {
	return func(ctx context.Context, source supervisor.Source[parser.OpenControl], rec *recorder.Recorder) error {
		return runOpenControl(ctx, source, p, rec)
	}
}

func runOpenControl(ctx context.Context, source supervisor.Source[parser.OpenControl], p Platform, rec *recorder.Recorder) error {
	cfg := source.Settings
	rec.Warn(recorder.TrustedNetwork)
	reload := supervisor.NewReload(source, rec)
	reload.Setters = openControlSetters()
	name := supervisor.ControlName(cfg.ControlAddress)
	volatile := cfg.DataFolder == ""
	if volatile {
		rec.Info(recorder.VolatileInstance)
	}
	seeds := map[registrar.MachineName]netip.AddrPort{}
	for _, a := range cfg.Control() {
		seeds[supervisor.ControlName(a)] = a
	}
	c := newControlCore(cfg.Host, &driver.Driver{
		Name: name, Folder: cfg.DataFolder, Volatile: volatile, Members: seeds, OpenMembership: true, Address: cfg.ControlAddress, Joining: !cfg.Founding,
	}, nil, rec)
	if err := c.log.Open(); err != nil {
		return err
	}
	e, err := c.exporter(ctx)
	if err != nil {
		return err
	}
	incarnation, err := supervisor.NewIncarnation()
	if err != nil {
		return err
	}
	r := &registration{core: c, machine: registrar.Machine{
		Name: name, Role: registrar.RoleControl, Zone: cfg.Zone, ControlAddress: cfg.ControlAddress, Incarnation: incarnation,
	}}
	u := c.upkeep()
	u.Departed = r.departed
	orders := &administrator.Orders{Log: c.log, World: c.ledger.World, Zones: cfg.Zones, Recorder: rec}
	g := supervisor.NewGroup(ctx)
	c.start(g, &connector.Server{Heartbeats: c.granter(), Address: cfg.LocalControl})
	g.Run(supervisor.Serve(cfg.OperatorAddress, &pacer.Handler{Next: p.Operators(orders), Link: registrar.Mbps(cfg.LinkMbps)}))
	g.Run(r.run)
	g.Run(u.run)
	g.Run(reload.Run)
	g.Run(supervisor.ServeMetrics(e, rec))
	rec.Info(recorder.MachineStarted)
	return g.Wait()
}

// openControlSetters returns setters that do nothing, so that a reload accepts changes of fields that are used only at the start.
// A running instance knows the members from the log, and the platform changes both fields in the file of a running instance.
func openControlSetters() supervisor.Setters[parser.OpenControl] {
	ignore := func(parser.OpenControl) {}
	return supervisor.Setters[parser.OpenControl]{"seeds": ignore, "founding": ignore}
}

// registration keeps an instance of an open group in the configuration, where nodes find it.
type registration struct {
	core    *controlCore
	machine registrar.Machine
}

// run announces the instance whenever the configuration does not contain it, until ctx ends.
func (r *registration) run(ctx context.Context) error {
	ticker := time.NewTicker(registerInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		old, _ := r.core.ledger.World.Machine(r.machine.Name)
		if _, ok := r.core.log.StateAge(time.Now()); ok && old != r.machine {
			r.core.announcements.Announce(r.machine.Name, planner.Facts{
				Machines: []planner.MachineFact{{Machine: r.machine, Previous: old.Incarnation}},
			})
		}
	}
}

// departed returns the control instances in the configuration that are no longer members of the log.
func (r *registration) departed() []planner.GoneFact {
	members := map[registrar.MachineName]bool{}
	for _, m := range r.core.log.Status() {
		members[m.Name] = true
	}
	var gone []planner.GoneFact
	for _, m := range r.core.ledger.World.Machines() {
		if m.Role == registrar.RoleControl && !members[m.Name] {
			gone = append(gone, planner.GoneFact{Machine: m.Name, Incarnation: m.Incarnation})
		}
	}
	return gone
}
