package runner

import (
	"context"
	"crypto/tls"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/peridotstage/peridotstage/internal/admit/budgeter"
	"github.com/peridotstage/peridotstage/internal/admit/limiter"
	"github.com/peridotstage/peridotstage/internal/control/leaser"
	"github.com/peridotstage/peridotstage/internal/control/subscriber"
	"github.com/peridotstage/peridotstage/internal/front/connector"
	"github.com/peridotstage/peridotstage/internal/front/responder"
	"github.com/peridotstage/peridotstage/internal/report/recorder"
	"github.com/peridotstage/peridotstage/internal/request/claimer"
	"github.com/peridotstage/peridotstage/internal/request/dispatcher"
	"github.com/peridotstage/peridotstage/internal/route/counter"
	"github.com/peridotstage/peridotstage/internal/route/stamper"
	"github.com/peridotstage/peridotstage/internal/route/tracker"
	"github.com/peridotstage/peridotstage/internal/secret/loader"
	"github.com/peridotstage/peridotstage/internal/setting/parser"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

const (
	expireInterval = 5 * time.Second
	// drainTime bounds the wait for requests in progress at a planned stop.
	drainTime = 60 * time.Second
	// announceTime is the time in which an announcement is in force on other nodes: two heartbeats, and the change between.
	announceTime = 1200 * time.Millisecond
)

// Agent runs an agent until ctx ends and its requests are finished.
func Agent(ctx context.Context, cfg parser.Agent, rec *recorder.Recorder) error {
	keys, err := loader.Load(cfg.Keys)
	if err != nil {
		return err
	}
	pair, err := tls.LoadX509KeyPair(cfg.ServiceCertificate, cfg.ServiceKey)
	if err != nil {
		return eris.Wrap(err, "service_certificate_file")
	}
	n, err := newNode(cfg.Node, registrar.RoleAgent, keys, rec)
	if err != nil {
		return err
	}
	a := newAgent(cfg, keys, n)
	a.responder.Certificate = &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS13}
	a.responder.Recorder = rec
	defer a.pool.Close()
	defer a.claims.Close()
	if err := a.responder.Run(); err != nil {
		return err
	}
	// Heartbeats continue while the agent drains, because its lease must stay valid.
	g := newGroup(context.WithoutCancel(ctx))
	g.run(n.run)
	g.run((&connector.Server{Address: cfg.ControlAddress, TLS: keys.Server, Claims: a.owner}).Run)
	g.run(a.expire)
	rec.Info(recorder.MachineStarted)
	select {
	case <-ctx.Done():
	case <-g.ctx.Done():
		return g.wait()
	}
	err = a.drain(context.WithoutCancel(ctx))
	g.cancel(nil)
	_ = g.wait()
	return eris.Wrap(err, "drain")
}

// agent holds the parts of one agent.
type agent struct {
	cfg       parser.Agent
	node      *node
	counter   *counter.Counter
	admission *admission
	tracker   *tracker.Tracker
	owner     *claimer.Owner
	claims    *connector.Claims
	pool      *responder.Pool
	handler   *responder.Handler
	responder *responder.Responder
}

func newAgent(cfg parser.Agent, keys *loader.Material, n *node) *agent {
	l := &limiter.Limiter{Slots: cfg.Slots}
	l.Alarm = &alarm{limiter: l}
	directory := &claimer.Directory{}
	a := &agent{
		cfg: cfg, node: n, counter: &counter.Counter{},
		admission: &admission{service: cfg.Service, upstream: cfg.Upstream, limiter: l, directory: directory},
		owner:     &claimer.Owner{StartedAt: time.Now(), Directory: directory, Lease: n.subscriber},
		pool:      &responder.Pool{Address: cfg.UpstreamAddress, Broken: func() { l.TurnCold(time.Now()) }},
	}
	a.claims = &connector.Claims{TLS: keys.Client, Machine: cfg.Name, Local: a.owner}
	ids := &stamper.Stamper{Keys: keys.ConnectionIDs}
	a.tracker = &tracker.Tracker{
		Upstream: cfg.Upstream, Service: cfg.Service, Lease: n.subscriber, Admitter: a.admission, Counter: a.counter,
		Stamper: ids,
	}
	var attempts atomic.Uint64
	a.handler = &responder.Handler{
		Service: cfg.Service, Customers: a.tracker, Pool: a.pool,
		Dispatcher: &dispatcher.Dispatcher{
			Clock: clock{}, Admission: l, Budget: &budgeter.Budgeter{}, Claims: a.claims, Directory: directory,
			Lease: n.subscriber,
			Attempts: func() claimer.Attempt {
				return claimer.Attempt{Machine: cfg.Name, Incarnation: n.machine.Incarnation, Number: attempts.Add(1)}
			},
		},
	}
	a.responder = &responder.Responder{
		Tracker: a.tracker, Counter: a.counter, Key: keys.Data, Stamper: ids, ResetKey: keys.ResetKey,
		DataAddress: cfg.DataAddress, Handler: a.handler, Upstream: cfg.UpstreamAddress, Newer: n.newer,
	}
	n.subscriber.Enforcers = []subscriber.Enforcer{a.admission, a.tracker, a.responder}
	n.describe = a.describe
	return a
}

// describe completes a heartbeat.
func (a *agent) describe(h *leaser.Heartbeat) {
	h.Evidence = a.counter.Evidence()
	h.Announcement = &leaser.Announcement{
		Upstream: a.cfg.Upstream, Service: a.cfg.Service, Slots: a.cfg.Slots,
		Weight:     a.admission.limiter.Weight(time.Now()),
		OldestFlow: a.tracker.Stats().Oldest, Draining: a.admission.draining.Load(),
	}
}

// drain lets other agents take new flows, and ends when all requests are finished.
func (a *agent) drain(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, drainTime)
	defer cancel()
	a.admission.draining.Store(true)
	a.node.heartbeatNow()
	// Callers are asked to open new connections only when the other machines route them elsewhere.
	pause(ctx, announceTime)
	a.tracker.Drain()
	return a.responder.Shutdown(ctx, a.handler.InFlight)
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// expire forgets old flows and claims until ctx ends.
func (a *agent) expire(ctx context.Context) error {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			a.tracker.Expire(now)
			a.owner.Expire(now)
		}
	}
}
