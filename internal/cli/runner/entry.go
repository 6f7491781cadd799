package runner

import (
	"context"
	"errors"
	"time"

	"github.com/peridotstage/peridotstage/internal/control/leaser"
	"github.com/peridotstage/peridotstage/internal/control/subscriber"
	"github.com/peridotstage/peridotstage/internal/front/listener"
	"github.com/peridotstage/peridotstage/internal/front/spreader"
	"github.com/peridotstage/peridotstage/internal/report/burner"
	"github.com/peridotstage/peridotstage/internal/report/recorder"
	"github.com/peridotstage/peridotstage/internal/route/forwarder"
	"github.com/peridotstage/peridotstage/internal/secret/loader"
	"github.com/peridotstage/peridotstage/internal/setting/parser"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// Entry runs an entry until ctx ends.
func Entry(ctx context.Context, source Source[parser.Entry], rec *recorder.Recorder) error {
	cfg := source.Settings
	keys, err := loader.Load(cfg.Keys)
	if err != nil {
		return err
	}
	reload := newReload(source, rec, keys)
	n, err := newNode(cfg.Node, registrar.RoleEntry, keys, rec)
	if err != nil {
		return err
	}
	counts := n.counts
	meter := &burner.Meter{StartedAt: time.Now()}
	f := &forwarder.Forwarder{
		Stamper: keys.Stamper, Lease: n.subscriber, Counter: counts, Entry: cfg.DataAddress,
		Outages: meter, Spreader: spreader.NewHalfOfCores(),
	}
	l := &listener.Listener{
		Decider: f, Counter: counts, Keys: keys.Data, DataAddress: cfg.BindData(), AddressMap: cfg.AddressMap, ResetKey: keys.ResetKey,
		Recorder: rec, Newer: n.observeRevision,
		Meter: func(service registrar.ServiceName) listener.Traffic { return meter.Traffic(service) },
	}
	n.subscriber.Enforcers = []subscriber.Enforcer{f, l, counts, n}
	n.setMeter(meter)
	n.completeHeartbeat = func(*leaser.Heartbeat) {}
	e, err := newExporter(cfg.Host, func(now time.Time) error {
		return errors.Join(n.checkReady(now, f.Revision()), l.Problem())
	})
	if err != nil {
		return err
	}
	if err := n.exportMetrics(e, counts); err != nil {
		return err
	}
	if err := l.Run(); err != nil {
		return err
	}
	defer l.Stop()
	linger := &durationSetting{}
	linger.set(cfg.Linger)
	reload.setters = entrySetters(n, linger)
	// The entry keeps its lease and continues to forward during the linger time.
	g := newGroup(context.WithoutCancel(ctx))
	g.run(n.run)
	g.run(reload.run)
	g.run(e.Run)
	if !n.awaitStop(ctx, g) {
		return g.wait()
	}
	g.pause(linger.get())
	sendFinalBatch(g, n, meter)
	g.cancel(nil)
	return g.wait()
}

// entrySetters returns the functions that apply the reloadable fields of an entry.
func entrySetters(n *node, linger *durationSetting) setters[parser.Entry] {
	return setters[parser.Entry]{
		"lease_expired": func(cfg parser.Entry) { n.setLeaseExpired(cfg.LeaseExpired) },
		"linger":        func(cfg parser.Entry) { linger.set(cfg.Linger) },
	}
}
