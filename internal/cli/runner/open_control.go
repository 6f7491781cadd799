package runner

import (
	"context"
	"net/netip"
	"time"

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
func OpenControl(p Platform) func(context.Context, Source[parser.OpenControl], *recorder.Recorder) error {
	return func(ctx context.Context, source Source[parser.OpenControl], rec *recorder.Recorder) error {
		return runOpenControl(ctx, source, p, rec)
	}
}

func runOpenControl(ctx context.Context, source Source[parser.OpenControl], p Platform, rec *recorder.Recorder) error {
	cfg := source.Settings
	rec.Warn(recorder.TrustedNetwork)
	reload := newReload(source, rec)
	reload.setters = openControlSetters()
	name := controlName(cfg.ControlAddress)
	volatile := cfg.DataFolder == ""
	if volatile {
		rec.Info(recorder.VolatileInstance)
	}
	seeds := map[registrar.MachineName]netip.AddrPort{}
	for _, a := range cfg.Control() {
		seeds[controlName(a)] = a
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
	incarnation, err := newIncarnation()
	if err != nil {
		return err
	}
	r := &registration{core: c, machine: registrar.Machine{
		Name: name, Role: registrar.RoleControl, Zone: cfg.Zone, ControlAddress: cfg.ControlAddress, Incarnation: incarnation,
	}}
	u := c.upkeep()
	u.Departed = r.departed
	orders := &administrator.Orders{Log: c.log, World: c.ledger.World, Zones: cfg.Zones, Recorder: rec}
	g := newGroup(ctx)
	c.start(g, &connector.Server{Heartbeats: c.granter(), Address: cfg.LocalControl})
	g.run(serveFunc(cfg.OperatorAddress, &pacer.Handler{Next: p.Operators(orders), Link: registrar.Mbps(cfg.LinkMbps)}))
	g.run(r.run)
	g.run(u.run)
	g.run(reload.run)
	g.run(serveMetrics(e, rec))
	rec.Info(recorder.MachineStarted)
	return g.wait()
}

// openControlSetters returns setters that do nothing, so that a reload accepts changes of fields that are used only at the start.
// A running instance knows the members from the log, and the platform changes both fields in the file of a running instance.
func openControlSetters() setters[parser.OpenControl] {
	ignore := func(parser.OpenControl) {}
	return setters[parser.OpenControl]{"seeds": ignore, "founding": ignore}
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
