package relayer

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/peridotstage/peridotstage/internal/admit/admitter"
	"github.com/peridotstage/peridotstage/internal/cli/supervisor"
	"github.com/peridotstage/peridotstage/internal/control/leaser"
	"github.com/peridotstage/peridotstage/internal/control/subscriber"
	"github.com/peridotstage/peridotstage/internal/front/streamer"
	"github.com/peridotstage/peridotstage/internal/report/exporter"
	"github.com/peridotstage/peridotstage/internal/report/recorder"
	"github.com/peridotstage/peridotstage/internal/route/carrier"
	"github.com/peridotstage/peridotstage/internal/setting/parser"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// Agent returns the role of an agent beside an upstream of a stream service on a platform.
func Agent(p Platform) func(context.Context, supervisor.Source[parser.StreamAgent], *recorder.Recorder) error {
	return func(ctx context.Context, source supervisor.Source[parser.StreamAgent], rec *recorder.Recorder) error {
		return runAgent(ctx, source, p, rec)
	}
}

func runAgent(ctx context.Context, source supervisor.Source[parser.StreamAgent], p Platform, rec *recorder.Recorder) error {
	cfg := source.Settings
	reload := supervisor.NewReload(source, rec)
	n, err := newStreamNode(cfg.StreamNode, registrar.RoleAgent, rec)
	if err != nil {
		return err
	}
	drops := &dropCounter{}
	a := &admitter.Admitter{
		Service: cfg.Service, Zone: cfg.Zone, Address: cfg.UpstreamAddress, ColdFactor: cfg.ColdFactor, ColdSlack: cfg.ColdSlack,
		MaxFlowAge: time.Duration(cfg.MaxFlowAge), CheckInInterval: time.Duration(cfg.CheckInInterval),
		StopsAfterUpstream: cfg.StopsAfterUpstream, StartedAt: time.Now(),
	}
	front := streamer.NewAgent()
	front.Admitter, front.Codec, front.Recorder, front.Observer = a, p.Codec(), rec, drops
	front.DataAddress, front.OutboundAddress, front.UpstreamAddress = cfg.DataAddress, cfg.OutboundAddress, cfg.UpstreamAddress
	front.CallerPort, front.Service = cfg.CallerAddress.Port(), carrier.TagOf(cfg.Service)
	n.Subscriber.Enforcers = []subscriber.Enforcer{a, n}
	n.CompleteHeartbeat = func(h *leaser.Heartbeat) { h.Announcement = announcement(time.Now(), cfg, a) }
	checkIns := &checkIns{admitter: a, recorder: rec, changed: func() {
		front.Notify()
		n.RequestHeartbeat()
	}}
	// The agent serves its local upstream whether or not control answers, so it is ready until it stops.
	ready := func(time.Time) error {
		if n.Stopping() {
			return supervisor.ErrStopping
		}
		return nil
	}
	e, err := supervisor.NewExporter(cfg.Host, ready)
	if err != nil {
		return err
	}
	latency, err := e.Latency("upstream_seconds", "Time of requests at the upstream.")
	if err != nil {
		return err
	}
	front.Latency = latency
	failures := e.Gauge("upstream_failed_percent", "Share of the latest requests that the upstream failed or did not answer.",
		func(emit exporter.Emit) { emit(int64(a.Report(time.Now()).Failures.Percent())) })
	if err := errors.Join(failures, n.ExportMetrics(e, n.Counts), exportStream(e, drops, a.Flows, rec)); err != nil {
		return err
	}
	linger := &supervisor.DurationSetting{}
	linger.Set(cfg.Linger)
	reload.Setters = streamSetters[parser.StreamAgent](n, linger)
	stop := func() {
		a.Stop()
		front.Notify()
	}
	return runWithLinger(ctx, n, linger, stop, func() bool { return a.Idle(time.Now()) },
		front.Run, reload.Run, supervisor.ServeMetrics(e, rec), supervisor.Serve(cfg.ReadyAddress, supervisor.ReadyHandler(ready)),
		supervisor.Serve(cfg.CheckInAddress, p.CheckIns(checkIns)))
}

// announcement returns the announcement of the upstream to control, or nil until the upstream has checked in or has ended. The upstream
// has the name of its machine.
func announcement(now time.Time, cfg parser.StreamAgent, a *admitter.Admitter) *leaser.Announcement {
	state, ok := a.Announcement()
	if !ok {
		return nil
	}
	out := &leaser.Announcement{
		Upstream: registrar.UpstreamName(cfg.Name), Service: cfg.Service, Slots: state.Slots,
		Weight: registrar.Weight(state.Slots) * registrar.WeightPerSlot, Draining: state.Draining,
	}
	// Stream services do not use generations, so any nonzero revision can stand for that of the oldest flow. Control calls the upstream
	// silent if there is none, and entries then reset its flows. An agent that has started after its upstream may not know them.
	if !state.Draining || !a.HoldsNoFlows(now) {
		out.OldestFlow = 1
	}
	return out
}

// checkIns logs and applies the reports of upstreams, and notifies entries and control at once.
type checkIns struct {
	admitter *admitter.Admitter
	recorder *recorder.Recorder
	changed  func()
}

// CheckIn handles the report of an upstream.
func (c *checkIns) CheckIn(now time.Time, in admitter.CheckIn) error {
	if err := c.admitter.CheckIn(now, in); err != nil {
		c.recorder.Warn(recorder.CheckInRefused, zap.String("upstream", in.Name), recorder.Err(err))
		return err
	}
	c.recorder.Info(recorder.UpstreamCheckedIn, zap.String("upstream", in.Name), zap.Uint64("sequence", in.Sequence),
		zap.Bool("draining", in.Draining), zap.Uint32("cold_ms", uint32(in.ColdRemaining)), zap.Uint16("slots", uint16(in.Slots)))
	c.changed()
	return nil
}

// Leave handles the message by which an upstream announces its own stop.
func (c *checkIns) Leave(name string) {
	c.recorder.Info(recorder.UpstreamLeaves, zap.String("upstream", name))
	c.admitter.Leave(name)
	c.changed()
}
