package relayer

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"

	"github.com/peridotstage/peridotstage/internal/cli/supervisor"
	"github.com/peridotstage/peridotstage/internal/control/leaser"
	"github.com/peridotstage/peridotstage/internal/control/subscriber"
	"github.com/peridotstage/peridotstage/internal/front/streamer"
	"github.com/peridotstage/peridotstage/internal/report/exporter"
	"github.com/peridotstage/peridotstage/internal/report/recorder"
	"github.com/peridotstage/peridotstage/internal/route/carrier"
	"github.com/peridotstage/peridotstage/internal/route/locator"
	"github.com/peridotstage/peridotstage/internal/route/steerer"
	"github.com/peridotstage/peridotstage/internal/setting/parser"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// errNoReports is the reason why an entry is not ready before any agent has reported.
var errNoReports = eris.New("no agent has reported")

// Entry returns the role of an entry of stream services on a platform.
func Entry(p Platform) func(context.Context, supervisor.Source[parser.StreamEntry], *recorder.Recorder) error {
	return func(ctx context.Context, source supervisor.Source[parser.StreamEntry], rec *recorder.Recorder) error {
		return runEntry(ctx, source, p, rec)
	}
}

func runEntry(ctx context.Context, source supervisor.Source[parser.StreamEntry], p Platform, rec *recorder.Recorder) error {
	cfg := source.Settings
	reload := supervisor.NewReload(source, rec)
	n, err := newStreamNode(cfg.StreamNode, registrar.RoleEntry, rec)
	if err != nil {
		return err
	}
	drops := &dropCounter{}
	s := &steerer.Steerer{
		Zone: cfg.Zone, World: n.Subscriber.World, Lease: n.Subscriber, Link: registrar.Mbps(cfg.LinkMbps),
		MaxWaiting: cfg.MaxWaiting,
	}
	if cfg.FlowLookup {
		s.UseLookups(&confirmer{Subscriber: n.Subscriber, request: n.RequestHeartbeat}, carrier.LookupID(rand.Uint32()))
	}
	front := streamer.NewEntry()
	front.Steerer, front.Codec, front.Recorder, front.Observer = s, p.Codec(), rec, drops
	front.FlowLookup, front.MaxWaiting = cfg.FlowLookup, cfg.MaxWaiting
	front.CallerAddress, front.DataAddress, front.CallerPort = cfg.CallerAddress, cfg.DataAddress, cfg.CallerAddress.Port()
	n.Subscriber.Enforcers = []subscriber.Enforcer{s, front, n}
	n.CompleteHeartbeat = func(*leaser.Heartbeat) {}
	ready := func(now time.Time) error {
		if err := n.CheckReady(now, n.Subscriber.World.Revision()); err != nil {
			return err
		}
		if !s.HasAcceptingUpstream(now) {
			return errNoReports
		}
		return nil
	}
	e, err := supervisor.NewExporter(cfg.Host, ready)
	if err != nil {
		return err
	}
	lookups := e.Counter("stream_lookups", "Lookups of stream flows, by result.", func(emit exporter.Emit) {
		s.EachLookupResult(func(r locator.Result, n int64) { emit(n, attribute.String("result", string(r))) })
	})
	if err := errors.Join(lookups, n.ExportMetrics(e, n.Counts), exportStream(e, drops, s.Flows, rec), exportWaits(e, s)); err != nil {
		return err
	}
	linger := &supervisor.DurationSetting{}
	linger.Set(cfg.Linger)
	reload.Setters = streamSetters[parser.StreamEntry](n, linger)
	return runWithLinger(ctx, n, linger, func() {}, func() bool { return false },
		front.Run, reload.Run, supervisor.ServeMetrics(e, rec), supervisor.Serve(cfg.ReadyAddress, supervisor.ReadyHandler(ready)))
}

// confirmInterval is the shortest time between two heartbeats that lookups of flows ask for. It bounds the control traffic while many flows
// are lost at once.
const confirmInterval = 250 * time.Millisecond

// confirmer lets lookups of flows ask for a heartbeat, after whose answer the configuration is known to be recent.
type confirmer struct {
	*subscriber.Subscriber
	request func()

	// mu guards requestedAt.
	mu          sync.Mutex
	requestedAt time.Time
}

// Confirm implements steerer.Confirmer.
func (c *confirmer) Confirm(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.requestedAt) >= confirmInterval {
		c.requestedAt = now
		c.request()
	}
}
