package runner

import (
	"context"
	"crypto/tls"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/peridotstage/peridotstage/internal/control/leaser"
	"github.com/peridotstage/peridotstage/internal/control/subscriber"
	"github.com/peridotstage/peridotstage/internal/front/responder"
	"github.com/peridotstage/peridotstage/internal/report/recorder"
	"github.com/peridotstage/peridotstage/internal/route/counter"
	"github.com/peridotstage/peridotstage/internal/route/tracker"
	"github.com/peridotstage/peridotstage/internal/secret/loader"
	"github.com/peridotstage/peridotstage/internal/setting/parser"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

const expireInterval = 5 * time.Second

// openAdmitter admits all flows.
type openAdmitter struct{}

func (openAdmitter) AdmitFlow(time.Time) bool { return true }

// Agent runs an agent until ctx ends and its requests are finished.
func Agent(ctx context.Context, cfg parser.Agent, rec *recorder.Recorder) error {
	keys, err := loader.Load(cfg.Keys)
	if err != nil {
		return err
	}
	pair, err := loader.LoadPair(cfg.ServiceCertificate, cfg.ServiceKey)
	if err != nil {
		return eris.Wrap(err, "service_certificate_file")
	}
	n, err := newNode(cfg.Node, registrar.RoleAgent, keys, rec)
	if err != nil {
		return err
	}
	counts := &counter.Counter{}
	t := &tracker.Tracker{
		Machine: cfg.Name, Upstream: cfg.Upstream, Service: cfg.Service, Lease: n.subscriber, Admitter: openAdmitter{}, Counter: counts,
		Stamper: keys.Stamper,
	}
	r := &responder.Responder{
		Tracker: t, Counter: counts, Keys: keys.Data, Stamper: keys.Stamper, ResetKey: keys.ResetKey, DataAddress: cfg.BindData(),
		Certificate: &tls.Config{GetCertificate: pair.Get, MinVersion: tls.VersionTLS13},
		Handler:     &responder.Passer{Upstream: cfg.UpstreamAddress, Transport: &http.Transport{}},
		Upstream:    cfg.UpstreamAddress, Recorder: rec, Newer: n.newer,
	}
	var draining, stopped atomic.Bool
	n.subscriber.Enforcers = []subscriber.Enforcer{t, r}
	n.describe = func(h *leaser.Heartbeat) {
		h.Evidence = counts.Evidence()
		h.Announcement = &leaser.Announcement{
			Upstream: cfg.Upstream, Service: cfg.Service, Slots: cfg.Slots,
			Weight:     registrar.Weight(cfg.Slots) * registrar.WeightPerSlot,
			OldestFlow: t.Stats().Oldest, Draining: draining.Load(),
		}
		if stopped.Load() {
			h.Announcement.OldestFlow = 0
		}
	}
	if err := r.Run(); err != nil {
		return err
	}
	// Heartbeats continue while the agent drains, because its lease must stay valid.
	g := newGroup(context.WithoutCancel(ctx))
	g.run(n.run)
	g.run(reloadOnHangup(rec, keys, pair))
	g.run(func(ctx context.Context) error { return expireFlows(ctx, t, r) })
	rec.Info(recorder.MachineStarted)
	select {
	case <-ctx.Done():
	case <-g.ctx.Done():
		return g.wait()
	}
	draining.Store(true)
	n.heartbeatNow()
	drain, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Duration(cfg.Drain))
	defer cancel()
	err = r.Shutdown(drain)
	// Control learns that no flows are left here, so that chains leave this agent out at once.
	stopped.Store(true)
	n.lastHeartbeat(drain)
	g.cancel(nil)
	_ = g.wait()
	return eris.Wrap(err, "drain")
}

func expireFlows(ctx context.Context, t *tracker.Tracker, r *responder.Responder) error {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			t.Expire(now)
			r.Notify()
		}
	}
}
