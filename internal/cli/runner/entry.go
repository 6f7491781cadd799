package runner

import (
	"context"

	"github.com/peridotstage/peridotstage/internal/control/leaser"
	"github.com/peridotstage/peridotstage/internal/control/subscriber"
	"github.com/peridotstage/peridotstage/internal/front/listener"
	"github.com/peridotstage/peridotstage/internal/report/recorder"
	"github.com/peridotstage/peridotstage/internal/route/counter"
	"github.com/peridotstage/peridotstage/internal/route/forwarder"
	"github.com/peridotstage/peridotstage/internal/secret/loader"
	"github.com/peridotstage/peridotstage/internal/setting/parser"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// Entry runs an entry until ctx ends.
func Entry(ctx context.Context, cfg parser.Entry, rec *recorder.Recorder) error {
	keys, err := loader.Load(cfg.Keys)
	if err != nil {
		return err
	}
	n, err := newNode(cfg.Node, registrar.RoleEntry, keys, rec)
	if err != nil {
		return err
	}
	counts := &counter.Counter{}
	f := &forwarder.Forwarder{
		Stamper: keys.Stamper, Lease: n.subscriber, Counter: counts, Entry: cfg.DataAddress,
	}
	l := &listener.Listener{
		Decider: f, Counter: counts, Keys: keys.Data, DataAddress: cfg.BindData(), AddressMap: cfg.AddressMap, ResetKey: keys.ResetKey,
		Recorder: rec, Newer: n.newer,
	}
	n.subscriber.Enforcers = []subscriber.Enforcer{f, l}
	n.describe = func(h *leaser.Heartbeat) { h.Evidence = counts.Evidence() }
	if err := l.Run(); err != nil {
		return err
	}
	defer l.Stop()
	g := newGroup(ctx)
	g.run(n.run)
	g.run(reloadOnHangup(rec, keys))
	rec.Info(recorder.MachineStarted)
	return g.wait()
}
