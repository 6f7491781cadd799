package runner

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"github.com/peridotstage/peridotstage/internal/report/burner"
	"github.com/peridotstage/peridotstage/internal/report/exporter"
	"github.com/peridotstage/peridotstage/internal/report/recorder"
	"github.com/peridotstage/peridotstage/internal/setting/parser"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

const (
	// finalHeartbeatTimeout bounds the final heartbeat of a stopping machine.
	finalHeartbeatTimeout = 500 * time.Millisecond
	// lingerPollInterval is how often a stopping machine checks whether it is idle.
	lingerPollInterval = 100 * time.Millisecond
)

// newStreamNode returns the node of an entry or agent of stream services, on a trusted network.
func newStreamNode(cfg parser.StreamNode, role registrar.Role, rec *recorder.Recorder) (*node, error) {
	rec.Warn(recorder.TrustedNetwork)
	n, err := newNode(parser.Node{
		Machine: parser.Machine{Host: cfg.Host}, DataAddress: cfg.DataAddress, Control: cfg.Control(), LeaseExpired: cfg.LeaseExpired,
	}, role, nil, rec)
	if err != nil {
		return nil, err
	}
	// Stream flows have no customers: no proof names the node, and no burn report counts its requests.
	n.noCustomerTraffic = true
	n.nextBatch = func(time.Time, netip.AddrPort) *burner.Batch { return nil }
	return n, nil
}

// streamSettings are the settings of an entry or agent of stream services.
type streamSettings interface{ Common() parser.StreamNode }

// streamSetters returns the functions that apply the reloadable fields of entries and agents of stream services.
func streamSetters[T streamSettings](n *node, linger *durationSetting) setters[T] {
	return setters[T]{
		"linger": func(cfg T) { linger.set(cfg.Common().Linger) },
		"seeds":  func(cfg T) { n.clients.add(cfg.Common().Control()) },
	}
}

// runWithLinger runs a machine of stream services until ctx ends, and then continues to forward for the linger time or until
// the machine is idle. begin is called when the planned stop begins.
func runWithLinger(ctx context.Context, n *node, linger *durationSetting, begin func(), idle func() bool,
	run ...func(context.Context) error,
) error {
	g := newGroup(context.WithoutCancel(ctx))
	g.run(n.run)
	for _, f := range run {
		g.run(f)
	}
	if !n.awaitStop(ctx, g) {
		return g.wait()
	}
	begin()
	n.requestHeartbeat()
	for end := time.Now().Add(linger.get()); time.Now().Before(end) && g.ctx.Err() == nil && !idle(); {
		g.pause(lingerPollInterval)
	}
	// The final heartbeat tells control at once that this machine holds no more flows.
	finalCtx, cancel := context.WithTimeout(g.ctx, finalHeartbeatTimeout)
	defer cancel()
	n.sendFinalHeartbeat(finalCtx)
	g.cancel(nil)
	return g.wait()
}

// serveMetrics returns a function that serves metrics. Traffic does not depend on them, so a failure is only logged.
func serveMetrics(e *exporter.Exporter, rec *recorder.Recorder) func(context.Context) error {
	return func(ctx context.Context) error {
		if err := e.Run(ctx); err != nil {
			rec.Error(recorder.MetricsFailed, recorder.Err(err))
		}
		return nil
	}
}

// dropCounter counts dropped packets by reason, guarded by its own lock. The zero value is ready for use.
type dropCounter struct {
	mu    sync.Mutex
	drops map[string]int64
}

// Dropped counts a dropped packet.
func (d *dropCounter) Dropped(reason string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.drops == nil {
		d.drops = map[string]int64{}
	}
	d.drops[reason]++
}

func (d *dropCounter) emit(emit exporter.Emit) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for reason, n := range d.drops {
		emit(n, attribute.String("reason", reason))
	}
}

// exportStream adds the metrics of stream flows.
func exportStream(e *exporter.Exporter, d *dropCounter, flows func() int, rec *recorder.Recorder) error {
	return errors.Join(
		e.Counter("stream_packets_dropped", "Packets of stream flows that were not passed on, by reason.", d.emit),
		e.Gauge("stream_flows", "Stream flows that the machine knows.", func(emit exporter.Emit) { emit(int64(flows())) }),
		e.Counter("log_lines_lost", "Log lines that were lost because nobody read them in time.",
			func(emit exporter.Emit) { emit(int64(rec.Lost())) }),
	)
}
