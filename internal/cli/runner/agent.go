package runner

import (
	"context"
	"crypto/tls"
	"errors"
	"os"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/peridotstage/peridotstage/internal/admit/budgeter"
	"github.com/peridotstage/peridotstage/internal/admit/limiter"
	"github.com/peridotstage/peridotstage/internal/cli/supervisor"
	"github.com/peridotstage/peridotstage/internal/control/leaser"
	"github.com/peridotstage/peridotstage/internal/control/subscriber"
	"github.com/peridotstage/peridotstage/internal/front/connector"
	"github.com/peridotstage/peridotstage/internal/front/responder"
	"github.com/peridotstage/peridotstage/internal/report/burner"
	"github.com/peridotstage/peridotstage/internal/report/recorder"
	"github.com/peridotstage/peridotstage/internal/request/claimer"
	"github.com/peridotstage/peridotstage/internal/request/dispatcher"
	"github.com/peridotstage/peridotstage/internal/route/counter"
	"github.com/peridotstage/peridotstage/internal/route/tracker"
	"github.com/peridotstage/peridotstage/internal/secret/loader"
	"github.com/peridotstage/peridotstage/internal/setting/parser"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

const (
	// expiryInterval is the time between two removals of expired flows, claims and ledgers.
	expiryInterval = 5 * time.Second
	// leaveTimeout is the time within which new flows are no longer sent to a leaving upstream (design page, section 2).
	leaveTimeout = 3 * time.Second
	// leavePollInterval is how often a stopping agent checks its state in the configuration.
	leavePollInterval = 50 * time.Millisecond
	// heapGrowth is the percentage by which the heap of an agent may grow between two garbage collections (see GOGC). An idle
	// QUIC connection takes about 60 KiB of heap and stacks, and the default of 100% doubles that.
	heapGrowth = 50
)

// limitHeapGrowth sets heapGrowth unless the environment variable GOGC is set (see package runtime).
func limitHeapGrowth() {
	if _, ok := os.LookupEnv("GOGC"); !ok {
		debug.SetGCPercent(heapGrowth)
	}
}

// Agent runs an agent until ctx ends and its requests are finished.
func Agent(ctx context.Context, source supervisor.Source[parser.Agent], rec *recorder.Recorder) error {
	limitHeapGrowth()
	cfg := source.Settings
	keys, err := loader.Load(cfg.Keys)
	if err != nil {
		return err
	}
	pair, err := loader.LoadPair(cfg.ServiceCertificate, cfg.ServiceKey)
	if err != nil {
		return eris.Wrap(err, "service_certificate_file")
	}
	reload := supervisor.NewReload(source, rec, keys, pair)
	n, err := supervisor.NewNode(cfg.Node, registrar.RoleAgent, keys, rec)
	if err != nil {
		return err
	}
	a := newAgent(cfg, keys, n)
	a.responder.Certificate = &tls.Config{GetCertificate: pair.Get, MinVersion: tls.VersionTLS13}
	a.responder.Recorder = rec
	defer a.pool.Close()
	defer a.claims.Close()
	e, err := supervisor.NewExporter(cfg.Host, func(now time.Time) error {
		if _, ok := a.tracker.Self(); !ok {
			return errUnknownUpstream
		}
		if a.handover.recoveryPending(now) {
			return errClaimsNotRecovered
		}
		return n.CheckReady(now, n.Subscriber.World.Revision())
	})
	if err != nil {
		return err
	}
	if err := errors.Join(n.ExportMetrics(e, a.counter), exportRequests(e, a.tracker, a.meter)); err != nil {
		return err
	}
	if err := a.responder.Run(); err != nil {
		return err
	}
	reload.Setters = a.setters()
	// Heartbeats continue while the agent drains, because its lease must stay valid.
	g := supervisor.NewGroup(context.WithoutCancel(ctx))
	g.Run(n.Run)
	g.Run(reload.Run)
	g.Run(e.Run)
	g.Run((&connector.Server{Address: cfg.ControlAddress, TLS: keys.Server, Claims: a.owner, Ledgers: a.handover.holder}).Run)
	g.Run(a.handover.recoverLedger)
	g.Run(a.expire)
	if !n.AwaitStop(ctx, g) {
		return g.Wait()
	}
	a.handover.holder.Close()
	n.RequestHeartbeat()
	awaitNoNewFlows(g, a.tracker)
	drain, cancel := context.WithTimeout(context.WithoutCancel(ctx), a.drain.Get())
	defer cancel()
	err = a.responder.Drain(drain, a.handler.InFlight)
	// The requests of this agent have ended, so the ledger is sealed as late as possible.
	a.handover.handOver(g.Context())
	sendFinalBatch(g, n, a.meter)
	// The final heartbeat reports that no flows are left, so that control removes this agent from all chains at once. Until the
	// other machines have that configuration, the agent returns datagrams of its former callers to the agents that own them now.
	a.drained.Store(true)
	n.SendFinalHeartbeat(g.Context())
	awaitRemovalFromChains(g, a.tracker)
	err = errors.Join(err, a.responder.Close())
	g.Stop()
	_ = g.Wait()
	return eris.Wrap(err, "drain")
}

// awaitNoNewFlows waits until the configuration assigns new flows to other upstreams and the entries have had time to receive
// this configuration. Until then the agent forwards new flows to other agents, and these flows would be lost if the agent
// stopped.
func awaitNoNewFlows(g *supervisor.Group, t *tracker.Tracker) {
	for deadline := time.Now().Add(leaveTimeout); time.Now().Before(deadline) && g.Context().Err() == nil; g.Pause(leavePollInterval) {
		if u, ok := t.Self(); !ok || u.Draining || u.Silent {
			g.Pause(2 * supervisor.HeartbeatInterval)
			return
		}
	}
}

// awaitRemovalFromChains waits until the configuration no longer lists the agent in any chain and the other machines have had
// time to receive this configuration.
func awaitRemovalFromChains(g *supervisor.Group, t *tracker.Tracker) {
	for deadline := time.Now().Add(leaveTimeout); time.Now().Before(deadline) && g.Context().Err() == nil; g.Pause(leavePollInterval) {
		if u, ok := t.Self(); !ok || u.Silent {
			g.Pause(2 * supervisor.HeartbeatInterval)
			return
		}
	}
}

// agent holds the components of one agent.
type agent struct {
	cfg       parser.Agent
	node      *supervisor.Node
	counter   *counter.Counter
	meter     *burner.Meter
	admission *admission
	tracker   *tracker.Tracker
	owner     *claimer.Owner
	claims    *connector.Claims
	handover  *handover
	pool      *responder.Pool
	handler   *responder.Handler
	responder *responder.Responder
	// slots and drain are the settings in force.
	slots atomic.Uint32
	drain supervisor.DurationSetting
	// drained is true once a planned stop has ended all flows.
	drained atomic.Bool
}

func newAgent(cfg parser.Agent, keys *loader.Material, n *supervisor.Node) *agent {
	l := &limiter.Limiter{Slots: cfg.Slots, Watcher: coldStartLogger{n.Recorder}}
	l.Alarm = &limiterTimer{limiter: l}
	directory := &claimer.Directory{}
	a := &agent{
		cfg: cfg, node: n, counter: n.Counts, meter: &burner.Meter{StartedAt: time.Now()},
		admission: &admission{service: cfg.Service, upstream: cfg.Upstream, limiter: l, directory: directory},
		owner:     &claimer.Owner{StartedAt: time.Now(), Recovers: true, Directory: directory, Lease: n.Subscriber},
		pool:      &responder.Pool{Address: cfg.UpstreamAddress, OnUnexpectedClose: func() { l.TurnCold(time.Now()) }},
	}
	a.claims = &connector.Claims{TLS: keys.Client, Machine: cfg.Name, Local: a.owner}
	a.handover = newHandover(cfg, n, a.owner, a.claims)
	a.tracker = &tracker.Tracker{
		Machine: cfg.Name, Upstream: cfg.Upstream, Service: cfg.Service, Lease: n.Subscriber, Admitter: l,
		Counter: a.counter, Stamper: keys.Stamper, Refusals: a.meter,
	}
	var attempts atomic.Uint64
	a.handler = &responder.Handler{
		Service: cfg.Service, Customers: a.tracker, Pool: a.pool,
		Dispatcher: &dispatcher.Dispatcher{
			Clock: clock{}, Admission: l, Budget: &budgeter.Budgeter{}, Claims: a.claims, Directory: directory,
			Lease: n.Subscriber,
			Attempts: func() claimer.Attempt {
				return claimer.Attempt{Machine: cfg.Name, Incarnation: n.Machine.Incarnation, Number: attempts.Add(1)}
			},
		},
	}
	a.responder = &responder.Responder{
		Tracker: a.tracker, Counter: a.counter, Keys: keys.Data, Stamper: keys.Stamper, ResetKey: keys.ResetKey,
		DataAddress: cfg.BindData(), Upstream: cfg.UpstreamAddress, FlowQuiet: time.Duration(cfg.FlowQuiet), Newer: n.ObserveRevision,
		Answers: &answerMeter{meter: a.meter, service: cfg.Service, customers: a.tracker},
		Handler: &meteredHandler{next: a.handler, meter: a.meter, service: cfg.Service, customers: a.tracker},
	}
	n.Subscriber.Enforcers = []subscriber.Enforcer{a.admission, a.tracker, a.responder, a.handler, a.counter, n}
	n.SetMeter(a.meter)
	n.CompleteHeartbeat = a.describe
	a.slots.Store(uint32(cfg.Slots))
	a.drain.Set(cfg.Drain)
	return a
}

// setters returns the functions that apply the reloadable fields of an agent.
func (a *agent) setters() supervisor.Setters[parser.Agent] {
	return supervisor.Setters[parser.Agent]{
		"lease_expired": func(cfg parser.Agent) { a.node.SetLeaseExpired(cfg.LeaseExpired) },
		"slots": func(cfg parser.Agent) {
			a.slots.Store(uint32(cfg.Slots))
			a.admission.limiter.SetSlots(time.Now(), cfg.Slots)
		},
		"drain": func(cfg parser.Agent) { a.drain.Set(cfg.Drain) },
	}
}

// describe adds the announcement of the upstream to a heartbeat.
func (a *agent) describe(h *leaser.Heartbeat) {
	h.Announcement = &leaser.Announcement{
		Upstream: a.cfg.Upstream, Service: a.cfg.Service, Slots: registrar.Slots(a.slots.Load()),
		Weight:     a.admission.limiter.Weight(time.Now()),
		OldestFlow: a.tracker.Stats().OldestGeneration, Draining: a.node.Stopping(),
	}
	if a.drained.Load() {
		h.Announcement.OldestFlow = 0
	}
}

// expire removes expired flows, claims and held ledgers periodically until ctx ends.
func (a *agent) expire(ctx context.Context) error {
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			a.tracker.Expire(now)
			a.owner.Expire(now)
			a.handover.holder.Expire(now)
			a.responder.Notify()
		}
	}
}
