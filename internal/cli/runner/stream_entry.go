package runner

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"github.com/peridotstage/peridotstage/internal/control/leaser"
	"github.com/peridotstage/peridotstage/internal/control/subscriber"
	"github.com/peridotstage/peridotstage/internal/front/streamer"
	"github.com/peridotstage/peridotstage/internal/report/recorder"
	"github.com/peridotstage/peridotstage/internal/route/steerer"
	"github.com/peridotstage/peridotstage/internal/setting/parser"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// errNoReports means that no agent has reported yet.
var errNoReports = eris.New("no agent has reported")

// StreamEntry returns the role of an entry of stream services on a platform.
func StreamEntry(p Platform) func(context.Context, Source[parser.StreamEntry], *recorder.Recorder) error {
	return func(ctx context.Context, source Source[parser.StreamEntry], rec *recorder.Recorder) error {
		return runStreamEntry(ctx, source, p, rec)
	}
}

func runStreamEntry(ctx context.Context, source Source[parser.StreamEntry], p Platform, rec *recorder.Recorder) error {
	cfg := source.Settings
	reload := newReload(source, rec)
	n, err := newStreamNode(cfg.StreamNode, registrar.RoleEntry, rec)
	if err != nil {
		return err
	}
	drops := &dropCounter{}
	s := &steerer.Steerer{Zone: cfg.Zone, World: n.subscriber.World, Lease: n.subscriber}
	front := streamer.NewEntry()
	front.Steerer, front.Codec, front.Recorder, front.Observer = s, p.Codec(), rec, drops
	front.CallerAddress, front.DataAddress, front.CallerPort = cfg.CallerAddress, cfg.DataAddress, cfg.CallerAddress.Port()
	n.subscriber.Enforcers = []subscriber.Enforcer{s, front, n}
	n.describe = func(*leaser.Heartbeat) {}
	ready := func(now time.Time) error {
		if err := n.ready(now, n.subscriber.World.Revision()); err != nil {
			return err
		}
		if !s.Known(now) {
			return errNoReports
		}
		return nil
	}
	e, err := newExporter(cfg.Host, ready)
	if err != nil {
		return err
	}
	if err := errors.Join(n.export(e, n.counts), exportStream(e, drops, s.Flows, rec)); err != nil {
		return err
	}
	linger := &span{}
	linger.set(cfg.Linger)
	reload.setters = streamEntrySetters(n, linger)
	return lingering(ctx, n, rec, linger, func() {}, func() bool { return false },
		front.Run, reload.run, serveMetrics(e, rec), serving(cfg.ReadyAddress, readyHandler(ready)))
}

// serving returns a function that serves a handler at an address.
func serving(address netip.AddrPort, h http.Handler) func(context.Context) error {
	return func(ctx context.Context) error { return serveHTTP(ctx, address, h) }
}

// lingering runs a machine of stream services until ctx ends, and lets it go on forwarding for a time after that, or until it
// is idle. begin is called when the planned stop begins.
func lingering(ctx context.Context, n *node, rec *recorder.Recorder, linger *span, begin func(), idle func() bool,
	run ...func(context.Context) error,
) error {
	g := newGroup(context.WithoutCancel(ctx))
	g.run(n.run)
	for _, f := range run {
		g.run(f)
	}
	rec.Info(recorder.MachineStarted)
	select {
	case <-ctx.Done():
	case <-g.ctx.Done():
		return g.wait()
	}
	n.stopping.Store(true)
	rec.Info(recorder.StopBegun)
	begin()
	n.heartbeatNow()
	for end := time.Now().Add(linger.get()); time.Now().Before(end) && g.ctx.Err() == nil && !idle(); {
		g.pause(lingerPoll)
	}
	// Control learns at once that nothing is held here any more.
	farewell, cancel := context.WithTimeout(g.ctx, farewellTime)
	defer cancel()
	n.lastHeartbeat(farewell)
	g.cancel(nil)
	return g.wait()
}

// farewellTime bounds the last heartbeat of a machine that stops.
const farewellTime = 500 * time.Millisecond

// lingerPoll is how often a machine that stops looks whether it is idle.
const lingerPoll = 100 * time.Millisecond

func streamEntrySetters(n *node, linger *span) setters[parser.StreamEntry] {
	return setters[parser.StreamEntry]{
		"linger": func(cfg parser.StreamEntry) { linger.set(cfg.Linger) },
		"seeds":  func(cfg parser.StreamEntry) { n.clients.add(cfg.Control()) },
	}
}
