package runner

import (
	"context"
	"crypto/tls"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/peridotstage/peridotstage/internal/control/leaser"
	"github.com/peridotstage/peridotstage/internal/control/subscriber"
	"github.com/peridotstage/peridotstage/internal/front/responder"
	"github.com/peridotstage/peridotstage/internal/report/burner"
	"github.com/peridotstage/peridotstage/internal/report/recorder"
	"github.com/peridotstage/peridotstage/internal/route/tracker"
	"github.com/peridotstage/peridotstage/internal/secret/loader"
	"github.com/peridotstage/peridotstage/internal/setting/parser"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

const (
	expireInterval = 5 * time.Second
	// leaveTime is within how long a leaving upstream gets no new work (design page, section 2).
	leaveTime = 3 * time.Second
	leavePoll = 50 * time.Millisecond
)

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
	counts := n.counts
	meter := &burner.Meter{StartedAt: time.Now()}
	t := &tracker.Tracker{
		Machine: cfg.Name, Upstream: cfg.Upstream, Service: cfg.Service, Lease: n.subscriber, Admitter: openAdmitter{}, Counter: counts,
		Stamper: keys.Stamper,
	}
	r := &responder.Responder{
		Tracker: t, Counter: counts, Keys: keys.Data, Stamper: keys.Stamper, ResetKey: keys.ResetKey, DataAddress: cfg.BindData(),
		Certificate: &tls.Config{GetCertificate: pair.Get, MinVersion: tls.VersionTLS13},
		Handler: &meteredHandler{
			next: &responder.Passer{Upstream: cfg.UpstreamAddress, Transport: &http.Transport{}}, meter: meter, customers: t,
		},
		Upstream: cfg.UpstreamAddress, Recorder: rec, Newer: n.newer,
	}
	var stopped atomic.Bool
	n.subscriber.Enforcers = []subscriber.Enforcer{t, r, counts}
	n.confirmBurn = meter.Confirm
	n.describe = func(h *leaser.Heartbeat) {
		h.Burn = meter.Batch(time.Now())
		h.Announcement = &leaser.Announcement{
			Upstream: cfg.Upstream, Service: cfg.Service, Slots: cfg.Slots,
			Weight:     registrar.Weight(cfg.Slots) * registrar.WeightPerSlot,
			OldestFlow: t.Stats().Oldest, Draining: n.stopping.Load(),
		}
		if stopped.Load() {
			h.Announcement.OldestFlow = 0
		}
	}
	e, err := newExporter(cfg.Machine, func(now time.Time) error {
		if _, ok := t.Self(); !ok {
			return errUnknownUpstream
		}
		return n.ready(now, n.subscriber.World.Revision())
	})
	if err != nil {
		return err
	}
	if err := errors.Join(n.export(e, counts), exportRequests(e, t, meter)); err != nil {
		return err
	}
	if err := r.Run(); err != nil {
		return err
	}
	// Heartbeats continue while the agent drains, because its lease must stay valid.
	g := newGroup(context.WithoutCancel(ctx))
	g.run(n.run)
	g.run(reloadOnHangup(rec, keys, pair))
	g.run(e.Run)
	g.run(func(ctx context.Context) error { return expireFlows(ctx, t, r) })
	rec.Info(recorder.MachineStarted)
	select {
	case <-ctx.Done():
	case <-g.ctx.Done():
		return g.wait()
	}
	n.stopping.Store(true)
	rec.Info(recorder.StopBegun)
	n.heartbeatNow()
	awaitNoNewFlows(g, t)
	drain, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Duration(cfg.Drain))
	defer cancel()
	err = r.Shutdown(drain)
	sendFinalBatch(g, n, meter)
	// Control learns that no flows are left here, so that chains leave this agent out at once.
	stopped.Store(true)
	n.lastHeartbeat(drain)
	g.cancel(nil)
	_ = g.wait()
	return eris.Wrap(err, "drain")
}

// awaitNoNewFlows waits until the configuration gives new flows to other upstreams and the entries have had time to get it.
// Until then the agent passes new flows on, which would be lost after its end.
func awaitNoNewFlows(g *group, t *tracker.Tracker) {
	for deadline := time.Now().Add(leaveTime); time.Now().Before(deadline) && g.ctx.Err() == nil; g.pause(leavePoll) {
		if u, ok := t.Self(); !ok || u.Draining || u.Silent {
			g.pause(2 * heartbeatInterval)
			return
		}
	}
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
