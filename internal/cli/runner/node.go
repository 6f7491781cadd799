// Package runner builds each role from its parts and runs it.
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
	// heartbeatInterval leaves four tries within a lease.
	heartbeatInterval = 500 * time.Millisecond
	// heartbeatTimeout bounds one try, so that a silent control instance costs less than half a lease. It doubles after
	// silentInstances have been silent in turn, up to maxHeartbeatTimeout: the link may be too slow for the reply.
	heartbeatTimeout    = 700 * time.Millisecond
	maxHeartbeatTimeout = 8 * heartbeatTimeout
	// silentInstances is more than fail at a time on an ordinary day.
	silentInstances = 3
	// retryInterval is the wait after a failed try before the next instance is asked.
	retryInterval = 100 * time.Millisecond
)

// node keeps an entry or agent in touch with control.
type node struct {
	cfg        parser.Node
	machine    registrar.Machine
	subscriber *subscriber.Subscriber
	recorder   *recorder.Recorder
	clients    controlClients
	// describe completes a heartbeat.
	describe func(h *leaser.Heartbeat)
	// batch returns new request counts for a heartbeat, or nil.
	batch func(now time.Time, to netip.AddrPort) *burner.Batch
	// confirmBurn is called with the number of a batch that control has taken.
	confirmBurn func(number uint64)
	// wake asks for a heartbeat at once.
	wake chan struct{}
	// stopping is set once a planned stop has begun.
	stopping atomic.Bool
	// heartbeats and missed count the tries that succeeded and failed.
	heartbeats, missed atomic.Int64
	// counts holds the evidence, which reporter picks from.
	counts   *counter.Counter
	reporter subscriber.Reporter
	// expiryMu guards serves, which is the choice of lease_expired in the settings.
	expiryMu sync.Mutex
	serves   bool
	// unproved is true if the node carries no customer's traffic, so that no proof has to name it.
	unproved bool
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
		subscriber: &subscriber.Subscriber{World: registrar.NewWorld()},
		serves:     cfg.LeaseExpired == parser.LeaseExpiredServe,
	}
	n.clients.keys = keys
	n.clients.add(preferred(cfg.Name, cfg.Control))
	return n, nil
}

func newIncarnation() (registrar.Incarnation, error) {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return 0, eris.Wrap(err, "draw incarnation")
	}
	return registrar.Incarnation(binary.BigEndian.Uint64(b[:]) >> 1), nil
}

// preferred rotates the control instances so that nodes spread over them.
func preferred(name registrar.MachineName, control []netip.AddrPort) []netip.AddrPort {
	if len(control) == 0 {
		return nil
	}
	first := int(xxhash.Sum64String(string(name)) % uint64(len(control)))
	return append(append([]netip.AddrPort(nil), control[first:]...), control[:first]...)
}

// setLeaseExpired changes what the node does without a lease.
func (n *node) setLeaseExpired(v parser.LeaseExpired) {
	n.expiryMu.Lock()
	n.serves = v == parser.LeaseExpiredServe
	n.permitServing()
	n.expiryMu.Unlock()
	n.heartbeatNow()
}

func (n *node) servesExpired() bool {
	n.expiryMu.Lock()
	defer n.expiryMu.Unlock()
	return n.serves && !n.unproved
}

// Update learns of control instances, and lets the node serve without a lease once the configuration says that it does.
func (n *node) Update(w *registrar.World) {
	n.clients.learn(w)
	n.expiryMu.Lock()
	defer n.expiryMu.Unlock()
	n.permitServing()
}

// permitServing waits for the log before the node serves without a lease, because a proof concludes from the log that a missing
// node is fenced. A node that is to fence does so at once, and one that no proof concerns need not wait.
func (n *node) permitServing() {
	if n.unproved {
		n.subscriber.ServeExpired(n.serves)
		return
	}
	m, ok := n.subscriber.World.Machine(n.machine.Name)
	n.subscriber.ServeExpired(n.serves && ok && m.ServesExpired && m.Incarnation == n.machine.Incarnation)
}

// newer asks for a heartbeat if another machine has a newer revision.
func (n *node) newer(r registrar.Revision) {
	if r <= n.subscriber.World.Revision() {
		return
	}
	n.heartbeatNow()
}

func (n *node) heartbeatNow() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// run sends heartbeats until ctx ends.
func (n *node) run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	// silent counts the tries in a row that ended by their timeout.
	silent := 0
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-n.wake:
		}
		wait := heartbeatInterval
		c := n.clients.current()
		err := n.heartbeat(ctx, c, timeoutAfter(silent))
		if silent++; !eris.Is(err, context.DeadlineExceeded) {
			silent = 0
		}
		if err != nil && ctx.Err() == nil {
			n.recorder.Warn(recorder.HeartbeatFailed, zap.Stringer("control", c.Address), recorder.Err(err))
			n.clients.next()
			n.reporter.Restart()
			wait = retryInterval
			n.missed.Add(1)
		} else {
			n.heartbeats.Add(1)
		}
		timer.Reset(wait)
	}
}

// timeoutAfter returns the timeout of a heartbeat after a number of silent tries in a row.
func timeoutAfter(silent int) time.Duration {
	d := heartbeatTimeout
	for ; silent >= silentInstances && d < maxHeartbeatTimeout; silent -= silentInstances {
		d *= 2
	}
	return d
}

// awaitStop says that the machine has started, and waits until ctx ends, which begins a planned stop. It returns false if the group
// has ended by itself.
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

// lastHeartbeat reports the end of the machine to the first control instance that answers.
func (n *node) lastHeartbeat(ctx context.Context) {
	for _, c := range n.clients.list() {
		if n.heartbeat(ctx, c, heartbeatTimeout) == nil {
			return
		}
	}
}

func (n *node) heartbeat(ctx context.Context, c *connector.Client, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	h := leaser.Heartbeat{Machine: n.machine, Revision: n.subscriber.World.Revision(), ServeExpired: n.servesExpired()}
	h.Machine.ServesExpired = h.ServeExpired
	// The revision is read before the counts, so that the counts are never older than the revision that they are sent with.
	report := n.reporter.Next(n.counts.Evidence())
	h.Sequence, h.EvidenceBase, h.Evidence, h.Digest = report.Sequence, report.Base, report.Evidence, n.digest
	n.describe(&h)
	h.Burn = n.batch(time.Now(), c.Address)
	r, sentAt, err := c.Heartbeat(ctx, h)
	if eris.Is(err, connector.ErrRefused) {
		n.recorder.Warn(recorder.AnnounceRefused, recorder.Err(err))
		err = nil
	}
	if err != nil {
		return err
	}
	n.reporter.Confirm()
	if r.WantEvidence {
		n.reporter.Restart()
		n.heartbeatNow()
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
		n.heartbeatNow()
	}
	if !r.Granted {
		return eris.New("control instance cannot grant a lease")
	}
	return nil
}
