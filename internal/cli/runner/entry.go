// Package runner builds the roles of QUIC and UDP services and of control from their components and runs them.
package runner

import (
	"context"
	"errors"
	"time"

	"github.com/peridotstage/peridotstage/internal/cli/supervisor"
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
func Entry(ctx context.Context, source supervisor.Source[parser.Entry], rec *recorder.Recorder) error {
	cfg := source.Settings
	keys, err := loader.Load(cfg.Keys)
	if err != nil {
		return err
	}
	reload := supervisor.NewReload(source, rec, keys)
	n, err := supervisor.NewNode(cfg.Node, registrar.RoleEntry, keys, rec)
	if err != nil {
		return err
	}
	counts := n.Counts
	meter := &burner.Meter{StartedAt: time.Now()}
	f := &forwarder.Forwarder{
		Stamper: keys.Stamper, Lease: n.Subscriber, Counter: counts, Entry: cfg.DataAddress,
		Outages: meter, Spreader: spreader.NewHalfOfCores(),
	}
	l := &listener.Listener{
		Decider: f, Counter: counts, Keys: keys.Data, DataAddress: cfg.BindData(), AddressMap: cfg.AddressMap, ResetKey: keys.ResetKey,
		Recorder: rec, Newer: n.ObserveRevision,
		Meter: func(service registrar.ServiceName) listener.Traffic { return meter.Traffic(service) },
	}
	n.Subscriber.Enforcers = []subscriber.Enforcer{f, l, counts, n}
	n.SetMeter(meter)
	n.CompleteHeartbeat = func(*leaser.Heartbeat) {}
	e, err := supervisor.NewExporter(cfg.Host, func(now time.Time) error {
		return errors.Join(n.CheckReady(now, f.Revision()), l.Problem())
	})
	if err != nil {
		return err
	}
	if err := n.ExportMetrics(e, counts); err != nil {
		return err
	}
	if err := l.Run(); err != nil {
		return err
	}
	defer l.Stop()
	linger := &supervisor.DurationSetting{}
	linger.Set(cfg.Linger)
	reload.Setters = entrySetters(n, linger)
	// The entry keeps its lease and continues to forward during the linger time.
	g := supervisor.NewGroup(context.WithoutCancel(ctx))
	g.Run(n.Run)
	g.Run(reload.Run)
	g.Run(e.Run)
	if !n.AwaitStop(ctx, g) {
		return g.Wait()
	}
	g.Pause(linger.Get())
	sendFinalBatch(g, n, meter)
	g.Stop()
	return g.Wait()
}

// entrySetters returns the functions that apply the reloadable fields of an entry.
func entrySetters(n *supervisor.Node, linger *supervisor.DurationSetting) supervisor.Setters[parser.Entry] {
	return supervisor.Setters[parser.Entry]{
		"lease_expired": func(cfg parser.Entry) { n.SetLeaseExpired(cfg.LeaseExpired) },
		"linger":        func(cfg parser.Entry) { linger.Set(cfg.Linger) },
	}
}
