// Package runner builds each role from its components and runs it.
package runner

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
	// heartbeatInterval is the time between two heartbeats. It leaves time for four attempts within a lease.
	heartbeatInterval = 500 * time.Millisecond
	// heartbeatTimeout bounds one attempt, so that an unresponsive control instance costs less than half a lease. It doubles after
	// timeoutsPerDoubling consecutive timeouts, up to maxHeartbeatTimeout, because the link may be too slow for the reply.
	heartbeatTimeout    = 700 * time.Millisecond
	maxHeartbeatTimeout = 8 * heartbeatTimeout
	// timeoutsPerDoubling is larger than the number of control instances that usually fail at the same time, so that failed
	// instances alone do not lengthen the timeout.
	timeoutsPerDoubling = 3
	// retryInterval is the pause after a failed attempt before the next instance is tried.
	retryInterval = 100 * time.Millisecond
)

// node sends the heartbeats of an entry or agent to control and applies the replies.
type node struct {
	cfg        parser.Node
	machine    registrar.Machine
	subscriber *subscriber.Subscriber
	recorder   *recorder.Recorder
	clients    controlClients
	// completeHeartbeat adds the fields that depend on the role to a heartbeat.
	completeHeartbeat func(h *leaser.Heartbeat)
	// nextBatch returns new request counts for a heartbeat, or nil.
	nextBatch func(now time.Time, to netip.AddrPort) *burner.Batch
	// confirmBurn is called with the number of a batch that control has received.
	confirmBurn func(number uint64)
	// wake triggers an immediate heartbeat.
	wake chan struct{}
	// stopping is set once a planned stop has begun.
	stopping atomic.Bool
	// heartbeats and failedHeartbeats count the attempts that succeeded and failed.
	heartbeats, failedHeartbeats atomic.Int64
	// counts holds the evidence; evidenceReporter selects the part of it that each heartbeat carries.
	counts           *counter.Counter
	evidenceReporter subscriber.Reporter
	// expiryMu guards serveWithoutLease, which is true if the setting lease_expired is "serve".
	expiryMu          sync.Mutex
	serveWithoutLease bool
	// noCustomerTraffic is true if the node carries no traffic of customers, so that proofs do not include it.
	noCustomerTraffic bool
	// digest is the hash of the configuration; 0 until the first reply.
	digest uint64
}

func newNode(cfg parser.Node, role registrar.Role, keys *loader.Material, rec *recorder.Recorder) (*node, error) {
	incarnation, err := newIncarnation()
	if err != nil {
		return nil, err
	}
	n := &node{
		cfg: cfg, recorder: rec, wake: make(chan struct{}, 1), counts: &counter.Counter{},
		machine: registrar.Machine{
			Name: cfg.Name, Role: role, Zone: cfg.Zone, DataAddress: cfg.DataAddress,
			ControlAddress: cfg.ControlAddress, Incarnation: incarnation,
		},
		subscriber:        &subscriber.Subscriber{World: registrar.NewWorld()},
		serveWithoutLease: cfg.LeaseExpired == parser.LeaseExpiredServe,
	}
	n.clients.keys = keys
	n.clients.add(rotateInstances(cfg.Name, cfg.Control))
	return n, nil
}

func newIncarnation() (registrar.Incarnation, error) {
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

// setLeaseExpired changes whether the node serves or fences without a valid lease.
func (n *node) setLeaseExpired(v parser.LeaseExpired) {
	n.expiryMu.Lock()
	n.serveWithoutLease = v == parser.LeaseExpiredServe
	n.updateServesWithoutLease()
	n.expiryMu.Unlock()
	n.requestHeartbeat()
}

func (n *node) servesWithoutLease() bool {
	n.expiryMu.Lock()
	defer n.expiryMu.Unlock()
	return n.serveWithoutLease && !n.noCustomerTraffic
}

// Update applies the control instances of a configuration, and permits serving without a lease once the configuration records it.
func (n *node) Update(w *registrar.World) {
	n.clients.updateInstances(w)
	n.expiryMu.Lock()
	defer n.expiryMu.Unlock()
	n.updateServesWithoutLease()
}

// updateServesWithoutLease permits serving without a lease only once the log records it, because a proof concludes from the log
// that a missing node is fenced. A change to fencing takes effect at once, and so does any change on a node without customers.
func (n *node) updateServesWithoutLease() {
	if n.noCustomerTraffic {
		n.subscriber.SetServesWithoutLease(n.serveWithoutLease)
		return
	}
	m, ok := n.subscriber.World.Machine(n.machine.Name)
	n.subscriber.SetServesWithoutLease(n.serveWithoutLease && ok && m.ServesWithoutLease && m.Incarnation == n.machine.Incarnation)
}

// observeRevision requests a heartbeat if another machine has a newer revision.
func (n *node) observeRevision(r registrar.Revision) {
	if r <= n.subscriber.World.Revision() {
		return
	}
	n.requestHeartbeat()
}

func (n *node) requestHeartbeat() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// run sends heartbeats until ctx ends.
func (n *node) run(ctx context.Context) error {
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
		wait := heartbeatInterval
		c := n.clients.current()
		err := n.heartbeat(ctx, c, heartbeatTimeoutAfter(timeouts))
		if timeouts++; !eris.Is(err, context.DeadlineExceeded) {
			timeouts = 0
		}
		if err != nil && ctx.Err() == nil {
			n.recorder.Warn(recorder.HeartbeatFailed, zap.Stringer("control", c.Address), recorder.Err(err))
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
	d := heartbeatTimeout
	for ; timeouts >= timeoutsPerDoubling && d < maxHeartbeatTimeout; timeouts -= timeoutsPerDoubling {
		d *= 2
	}
	return d
}

// awaitStop logs that the machine has started and waits until ctx ends, which begins a planned stop. It returns false if the
// group ended first.
func (n *node) awaitStop(ctx context.Context, g *group) bool {
	n.recorder.Info(recorder.MachineStarted)
	select {
	case <-ctx.Done():
	case <-g.ctx.Done():
		return false
	}
	n.stopping.Store(true)
	n.recorder.Info(recorder.StopBegun)
	return true
}

// sendFinalHeartbeat reports the stop of the machine to the first control instance that answers.
func (n *node) sendFinalHeartbeat(ctx context.Context) {
	for _, c := range n.clients.list() {
		if n.heartbeat(ctx, c, heartbeatTimeout) == nil {
			return
		}
	}
}

func (n *node) heartbeat(ctx context.Context, c *connector.Client, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	h := leaser.Heartbeat{Machine: n.machine, Revision: n.subscriber.World.Revision(), ServesWithoutLease: n.servesWithoutLease()}
	h.Machine.ServesWithoutLease = h.ServesWithoutLease
	// The revision is read before the counts, so that the counts are never older than the revision in the same heartbeat.
	report := n.evidenceReporter.Next(n.counts.Evidence())
	h.Sequence, h.EvidenceBase, h.Evidence, h.Digest = report.Sequence, report.Base, report.Evidence, n.digest
	n.completeHeartbeat(&h)
	h.Burn = n.nextBatch(time.Now(), c.Address)
	r, sentAt, err := c.Heartbeat(ctx, h)
	if eris.Is(err, connector.ErrRefused) {
		n.recorder.Warn(recorder.AnnounceRefused, recorder.Err(err))
		err = nil
	}
	if err != nil {
		return err
	}
	n.evidenceReporter.Confirm()
	if r.WantEvidence {
		n.evidenceReporter.Restart()
		n.requestHeartbeat()
	}
	if h.Burn != nil {
		n.confirmBurn(h.Burn.Number)
	}
	before := n.subscriber.World.Revision()
	if err := n.subscriber.Accept(sentAt, r); err != nil {
		return err
	}
	if after := n.subscriber.World.Revision(); after != before || r.State != nil {
		n.digest = n.subscriber.World.Digest()
		n.recorder.Info(recorder.RevisionEnforced, zap.Uint64("revision", uint64(after)))
		// The next heartbeat reports the revision at once, so that a proof does not wait for the interval.
		n.requestHeartbeat()
	}
	if !r.Granted {
		return eris.New("control instance cannot grant a lease")
	}
	return nil
}
