// Package supervisor holds what the processes of all roles share: functions that run until the first one fails, settings that are reloaded,
// the heartbeats of entries and agents to control, readiness and metrics.
package supervisor

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/peridotstage/peridotstage/internal/control/leaser"
	"github.com/peridotstage/peridotstage/internal/control/subscriber"
	"github.com/peridotstage/peridotstage/internal/front/connector"
	"github.com/peridotstage/peridotstage/internal/report/burner"
	"github.com/peridotstage/peridotstage/internal/report/recorder"
	"github.com/peridotstage/peridotstage/internal/route/counter"
	"github.com/peridotstage/peridotstage/internal/secret/loader"
	"github.com/peridotstage/peridotstage/internal/setting/parser"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

const (
	// HeartbeatInterval is the time between two heartbeats. It leaves time for four attempts within a lease.
	HeartbeatInterval = 500 * time.Millisecond
	// HeartbeatTimeout bounds one attempt, so that an unresponsive control instance costs less than half a lease. It doubles after
	// timeoutsPerDoubling consecutive timeouts, up to maxHeartbeatTimeout, because the link may be too slow for the reply.
	HeartbeatTimeout    = 700 * time.Millisecond
	maxHeartbeatTimeout = 8 * HeartbeatTimeout
	// timeoutsPerDoubling is larger than the number of control instances that usually fail at the same time, so that failed
	// instances alone do not lengthen the timeout.
	timeoutsPerDoubling = 3
	// retryInterval is the pause after a failed attempt before the next instance is tried.
	retryInterval = 100 * time.Millisecond
)

// Node sends the heartbeats of an entry or agent to control and applies the replies.
type Node struct {
	Machine    registrar.Machine
	Subscriber *subscriber.Subscriber
	Recorder   *recorder.Recorder
	// CompleteHeartbeat adds the fields that depend on the role to a heartbeat. The role sets it before Run.
	CompleteHeartbeat func(h *leaser.Heartbeat)
	// NextBatch returns new request counts for a heartbeat, or nil. The role sets it before Run.
	NextBatch func(now time.Time, to netip.AddrPort) *burner.Batch
	// ConfirmBurn is called with the number of a batch that control has received. It may be nil if NextBatch returns only nil.
	ConfirmBurn func(number uint64)
	// Counts holds the evidence; evidenceReporter selects the part of it that each heartbeat carries.
	Counts *counter.Counter
	// NoCustomerTraffic is true if the node carries no traffic of customers, so that proofs do not include it.
	NoCustomerTraffic bool

	clients          controlClients
	evidenceReporter subscriber.Reporter
	// wake triggers an immediate heartbeat.
	wake chan struct{}
	// stopping is set once a planned stop has begun.
	stopping atomic.Bool
	// heartbeats and failedHeartbeats count the attempts that succeeded and failed.
	heartbeats, failedHeartbeats atomic.Int64
	// expiryMu guards serveWithoutLease, which is true if the setting lease_expired is "serve".
	expiryMu          sync.Mutex
	serveWithoutLease bool
	// digest is the hash of the configuration; 0 until the first reply.
	digest uint64
}

// NewNode returns a node with a new incarnation. keys is nil on a trusted network.
func NewNode(cfg parser.Node, role registrar.Role, keys *loader.Material, rec *recorder.Recorder) (*Node, error) {
	incarnation, err := NewIncarnation()
	if err != nil {
		return nil, err
	}
	n := &Node{
		Recorder: rec, wake: make(chan struct{}, 1), Counts: &counter.Counter{},
		Machine: registrar.Machine{
			Name: cfg.Name, Role: role, Zone: cfg.Zone, DataAddress: cfg.DataAddress,
			ControlAddress: cfg.ControlAddress, Incarnation: incarnation,
		},
		Subscriber:        &subscriber.Subscriber{World: registrar.NewWorld()},
		serveWithoutLease: cfg.LeaseExpired == parser.LeaseExpiredServe,
	}
	n.clients.keys = keys
	n.clients.add(rotateInstances(cfg.Name, cfg.Control))
	return n, nil
}

// NewIncarnation draws the incarnation of a process.
func NewIncarnation() (registrar.Incarnation, error) {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return 0, eris.Wrap(err, "draw incarnation")
	}
	return registrar.Incarnation(binary.BigEndian.Uint64(b[:]) >> 1), nil
}

// rotateInstances rotates the list of control instances by a hash of the machine name, which spreads the nodes over them.
func rotateInstances(name registrar.MachineName, control []netip.AddrPort) []netip.AddrPort {
	if len(control) == 0 {
		return nil
	}
	first := int(xxhash.Sum64String(string(name)) % uint64(len(control)))
	return append(append([]netip.AddrPort(nil), control[first:]...), control[:first]...)
}

// SetMeter makes the node send the batches of m with its heartbeats.
func (n *Node) SetMeter(m *burner.Meter) {
	n.ConfirmBurn = m.Confirm
	n.NextBatch = m.Batch
}

// SetLeaseExpired changes whether the node serves or fences without a valid lease.
func (n *Node) SetLeaseExpired(v parser.LeaseExpired) {
	n.expiryMu.Lock()
	n.serveWithoutLease = v == parser.LeaseExpiredServe
	n.updateServesWithoutLease()
	n.expiryMu.Unlock()
	n.RequestHeartbeat()
}

func (n *Node) servesWithoutLease() bool {
	n.expiryMu.Lock()
	defer n.expiryMu.Unlock()
	return n.serveWithoutLease && !n.NoCustomerTraffic
}

// Update applies the control instances of a configuration, and permits serving without a lease once the configuration records it.
func (n *Node) Update(w *registrar.World) {
	n.clients.updateInstances(w)
	n.expiryMu.Lock()
	defer n.expiryMu.Unlock()
	n.updateServesWithoutLease()
}

// updateServesWithoutLease permits serving without a lease only once the log records it, because a proof concludes from the log
// that a missing node is fenced. A change to fencing takes effect at once, and so does any change on a node without customers.
func (n *Node) updateServesWithoutLease() {
	if n.NoCustomerTraffic {
		n.Subscriber.SetServesWithoutLease(n.serveWithoutLease)
		return
	}
	m, ok := n.Subscriber.World.Machine(n.Machine.Name)
	n.Subscriber.SetServesWithoutLease(n.serveWithoutLease && ok && m.ServesWithoutLease && m.Incarnation == n.Machine.Incarnation)
}

// ObserveRevision requests a heartbeat if another machine has a newer revision.
func (n *Node) ObserveRevision(r registrar.Revision) {
	if r <= n.Subscriber.World.Revision() {
		return
	}
	n.RequestHeartbeat()
}

// RequestHeartbeat makes the node send a heartbeat at once. It does not block.
func (n *Node) RequestHeartbeat() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// Run sends heartbeats until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	// timeouts counts the consecutive attempts that timed out.
	timeouts := 0
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-n.wake:
		}
		wait := HeartbeatInterval
		c := n.clients.current()
		err := n.heartbeat(ctx, c, heartbeatTimeoutAfter(timeouts))
		if timeouts++; !eris.Is(err, context.DeadlineExceeded) {
			timeouts = 0
		}
		if err != nil && ctx.Err() == nil {
			n.Recorder.Warn(recorder.HeartbeatFailed, zap.Stringer("control", c.Address), recorder.Err(err))
			n.clients.selectNext()
			n.evidenceReporter.Restart()
			wait = retryInterval
			n.failedHeartbeats.Add(1)
		} else {
			n.heartbeats.Add(1)
		}
		timer.Reset(wait)
	}
}

// heartbeatTimeoutAfter returns the timeout of a heartbeat after a number of consecutive timeouts.
func heartbeatTimeoutAfter(timeouts int) time.Duration {
	d := HeartbeatTimeout
	for ; timeouts >= timeoutsPerDoubling && d < maxHeartbeatTimeout; timeouts -= timeoutsPerDoubling {
		d *= 2
	}
	return d
}

// AwaitStop logs that the machine has started and waits until ctx ends, which begins a planned stop. It returns false if the
// group ended first.
func (n *Node) AwaitStop(ctx context.Context, g *Group) bool {
	n.Recorder.Info(recorder.MachineStarted)
	select {
	case <-ctx.Done():
	case <-g.ctx.Done():
		return false
	}
	n.stopping.Store(true)
	n.Recorder.Info(recorder.StopBegun)
	return true
}

// Stopping reports whether a planned stop has begun.
func (n *Node) Stopping() bool { return n.stopping.Load() }

// AddControl adds control instances to those that the node tries.
func (n *Node) AddControl(addresses []netip.AddrPort) { n.clients.add(addresses) }

// SendFinalHeartbeat reports the stop of the machine to the first control instance that answers.
func (n *Node) SendFinalHeartbeat(ctx context.Context) {
	for _, c := range n.clients.list() {
		if n.heartbeat(ctx, c, HeartbeatTimeout) == nil {
			return
		}
	}
}

func (n *Node) heartbeat(ctx context.Context, c *connector.Client, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	h := leaser.Heartbeat{Machine: n.Machine, Revision: n.Subscriber.World.Revision(), ServesWithoutLease: n.servesWithoutLease()}
	h.Machine.ServesWithoutLease = h.ServesWithoutLease
	// The revision is read before the counts, so that the counts are never older than the revision in the same heartbeat.
	report := n.evidenceReporter.Next(n.Counts.Evidence())
	h.Sequence, h.EvidenceBase, h.Evidence, h.Digest = report.Sequence, report.Base, report.Evidence, n.digest
	n.CompleteHeartbeat(&h)
	h.Burn = n.NextBatch(time.Now(), c.Address)
	r, sentAt, err := c.Heartbeat(ctx, h)
	if eris.Is(err, connector.ErrRefused) {
		n.Recorder.Warn(recorder.AnnounceRefused, recorder.Err(err))
		err = nil
	}
	if err != nil {
		return err
	}
	n.evidenceReporter.Confirm()
	if r.WantEvidence {
		n.evidenceReporter.Restart()
		n.RequestHeartbeat()
	}
	if h.Burn != nil {
		n.ConfirmBurn(h.Burn.Number)
	}
	before := n.Subscriber.World.Revision()
	if err := n.Subscriber.Accept(sentAt, r); err != nil {
		return err
	}
	if after := n.Subscriber.World.Revision(); after != before || r.State != nil {
		n.digest = n.Subscriber.World.Digest()
		n.Recorder.Info(recorder.RevisionEnforced, zap.Uint64("revision", uint64(after)))
		// The next heartbeat reports the revision at once, so that a proof does not wait for the interval.
		n.RequestHeartbeat()
	}
	if !r.Granted {
		return eris.New("control instance cannot grant a lease")
	}
	return nil
}
