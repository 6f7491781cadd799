// Package relayer builds and runs the roles of stream services, which relay the packets of stream flows between callers and upstreams.
package relayer

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"github.com/peridotstage/peridotstage/internal/cli/supervisor"
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
func newStreamNode(cfg parser.StreamNode, role registrar.Role, rec *recorder.Recorder) (*supervisor.Node, error) {
	rec.Warn(recorder.TrustedNetwork)
	n, err := supervisor.NewNode(parser.Node{
		Machine: parser.Machine{Host: cfg.Host}, DataAddress: cfg.DataAddress, Control: cfg.Control(), LeaseExpired: cfg.LeaseExpired,
	}, role, nil, rec)
	if err != nil {
		return nil, err
	}
	// Stream flows have no customers: no proof names the node, and no burn report counts its requests.
	n.NoCustomerTraffic = true
	n.NextBatch = func(time.Time, netip.AddrPort) *burner.Batch { return nil }
	return n, nil
}

// streamSettings are the settings of an entry or agent of stream services.
type streamSettings interface{ Common() parser.StreamNode }

// streamSetters returns the functions that apply the reloadable fields of entries and agents of stream services.
func streamSetters[T streamSettings](n *supervisor.Node, linger *supervisor.DurationSetting) supervisor.Setters[T] {
	return supervisor.Setters[T]{
		"linger": func(cfg T) { linger.Set(cfg.Common().Linger) },
		"seeds":  func(cfg T) { n.AddControl(cfg.Common().Control()) },
	}
}

// runWithLinger runs a machine of stream services until ctx ends, and then continues to forward for the linger time or until
// the machine is idle. begin is called when the planned stop begins.
func runWithLinger(ctx context.Context, n *supervisor.Node, linger *supervisor.DurationSetting, begin func(), idle func() bool,
	run ...func(context.Context) error,
) error {
	g := supervisor.NewGroup(context.WithoutCancel(ctx))
	g.Run(n.Run)
	for _, f := range run {
		g.Run(f)
	}
	if !n.AwaitStop(ctx, g) {
		return g.Wait()
	}
	begin()
	n.RequestHeartbeat()
	for end := time.Now().Add(linger.Get()); time.Now().Before(end) && g.Context().Err() == nil && !idle(); {
		g.Pause(lingerPollInterval)
	}
	// The final heartbeat tells control at once that this machine holds no more flows.
	finalCtx, cancel := context.WithTimeout(g.Context(), finalHeartbeatTimeout)
	defer cancel()
	n.SendFinalHeartbeat(finalCtx)
	g.Stop()
	return g.Wait()
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
