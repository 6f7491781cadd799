// Package responder is the front end of an agent. It receives forwarded datagrams, terminates QUIC and HTTP/3 for the callers
// of its service, and relays plain UDP.
package responder

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/peridotstage/peridotstage/internal/report/recorder"
	"github.com/peridotstage/peridotstage/internal/route/carrier"
	"github.com/peridotstage/peridotstage/internal/route/counter"
	"github.com/peridotstage/peridotstage/internal/route/stamper"
	"github.com/peridotstage/peridotstage/internal/route/tracker"
	"github.com/peridotstage/peridotstage/internal/wire/encoder"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

const (
	// socketBuffer is the size in bytes of each kernel buffer of the data socket.
	socketBuffer = 4 << 20
	// idleTimeout is advertised as the QUIC idle timeout of both ends. It is longer than silenceTimeout plus
	// silenceCheckInterval, because QUIC drops an idle connection without telling the caller. Some callers enforce a minimum of
	// their own, which is 5 s in quic-go unless configured lower.
	idleTimeout = 2700 * time.Millisecond
	// quicKeepAlivePeriod is the interval of QUIC pings for callers that permit no probes.
	quicKeepAlivePeriod = 1 * time.Second
	// quietTime is the time without requests after which a planned stop ends. It gives callers time to act on GOAWAY.
	quietTime = 2 * time.Second
	// drainPollInterval is how often plain UDP flows are checked during a planned stop.
	drainPollInterval = 100 * time.Millisecond
	// errorCodeCut is the QUIC application error code for connections of customers that were cut off.
	errorCodeCut quic.ApplicationErrorCode = 0x1001
	// errorCodeSilent is the QUIC application error code for connections on which the caller has stopped acknowledging.
	errorCodeSilent quic.ApplicationErrorCode = 0x1002
)

// Responder serves the callers of one agent. The exported fields are set before Run.
type Responder struct {
	Tracker     *tracker.Tracker
	Counter     *counter.Counter
	Keys        *encoder.Keyring
	Stamper     *stamper.Stamper
	ResetKey    [32]byte
	DataAddress netip.AddrPort
	// Certificate is presented to callers.
	Certificate *tls.Config
	Handler     http.Handler
	Upstream    netip.AddrPort
	// Answers counts the datagrams of plain UDP callers; nil counts nothing.
	Answers  AnswerMeter
	Recorder *recorder.Recorder
	// FlowQuiet is the time without datagrams after which a plain UDP flow ends during a planned stop.
	FlowQuiet time.Duration
	// Newer is called with each revision that a datagram carries.
	Newer func(registrar.Revision)

	udp   *net.UDPConn
	nonce nonceSource
	// upstream is this agent's registrar.UpstreamID, which changes if the upstream is removed and announced again.
	upstream atomic.Uint32
	buffers  sync.Pool
	done     chan struct{}
	// noticesPending is true while the notices for the newest configuration are unsent because the agent has no lease.
	noticesPending atomic.Bool
	// mu guards the fields below, which are set once the configuration contains the service.
	mu     sync.Mutex
	conn   *packetConn
	server *http3.Server
	quic   *quic.Transport
	relay  *relay
	conns  connections
}

// Run opens the socket, starts the goroutines that receive datagrams and monitor connections, and returns. Close stops them.
func (r *Responder) Run() error {
	udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(r.DataAddress))
	if err != nil {
		return eris.Wrapf(err, "listen on %s", r.DataAddress)
	}
	_ = udp.SetReadBuffer(socketBuffer)
	_ = udp.SetWriteBuffer(socketBuffer)
	if err := r.nonce.seed(); err != nil {
		return err
	}
	r.udp = udp
	r.buffers.New = func() any { b := make([]byte, 0, encoder.MaxHeaderSize+initialBufferSize); return &b }
	r.done = make(chan struct{})
	go r.receive()
	go r.monitorConnections()
	return nil
}

// Drain asks callers to open new connections elsewhere (GOAWAY), waits until no request is in progress and closes all
// connections. The tracker decides when plain UDP flows end. Datagrams that belong to other agents are still forwarded to
// them until Close.
func (r *Responder) Drain(ctx context.Context, inFlight func() int64) error {
	r.mu.Lock()
	server, transport, relay := r.server, r.quic, r.relay
	r.mu.Unlock()
	if relay != nil {
		r.drainRelay(ctx, relay)
	}
	var err error
	if server != nil {
		shutdownCtx, cancel := context.WithCancel(ctx)
		go func() {
			defer cancel()
			waitUntilQuiet(shutdownCtx, inFlight)
		}()
		// Cancellation after the quiet time is no error: callers may keep idle connections open and do not delay the stop.
		if err = server.Shutdown(shutdownCtx); errors.Is(err, context.Canceled) {
			err = nil
		}
		cancel()
	}
	if transport != nil {
		_ = transport.Close()
	}
	return err
}

// Close closes the socket and stops the goroutines that Run started.
func (r *Responder) Close() error {
	close(r.done)
	return r.udp.Close()
}

// drainRelay waits until all plain UDP flows have ended, at most until the deadline of ctx.
func (r *Responder) drainRelay(ctx context.Context, relay *relay) {
	now := time.Now()
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = now
	}
	r.Tracker.Drain(now, r.FlowQuiet, deadline)
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	cutFlows := 0
	for {
		d := r.Tracker.EndFlows(time.Now())
		cutFlows += d.EndedAtDeadline
		relay.closeUntracked()
		if d.Remaining == 0 {
			break
		}
		<-ticker.C
	}
	// The flows have ended, so answers to the remaining datagrams can no longer be delivered.
	relay.failUnanswered(time.Now())
	if cutFlows > 0 {
		r.Recorder.Warn(recorder.FlowsCut, zap.Int("flows", cutFlows))
	}
}

// waitUntilQuiet returns when no request has been in progress for quietTime, or when ctx ends.
func waitUntilQuiet(ctx context.Context, inFlight func() int64) {
	ticker := time.NewTicker(quietTime / 20)
	defer ticker.Stop()
	quietAt := time.Now().Add(quietTime)
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if inFlight() > 0 {
				quietAt = now.Add(quietTime)
			}
			if now.After(quietAt) {
				return
			}
		}
	}
}

func (r *Responder) receive() {
	b := make([]byte, carrier.MaxDatagram)
	out := make([]byte, 0, carrier.MaxDatagram)
	var h carrier.Header
	for {
		n, _, err := r.udp.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		payload, err := r.Keys.Parse(b[:n], &h)
		if err != nil {
			r.Counter.Drop(carrier.ParseDropReason(err))
			continue
		}
		r.Newer(h.Revision)
		v := r.Tracker.Receive(time.Now(), &h, payload)
		switch v.Action {
		case tracker.Deliver:
			r.deliver(h.Flow, payload)
			if v.Notify {
				r.notify(v.To, &v.Header)
			}
		case tracker.PassOn:
			out = r.Keys.Append(out[:0], &v.Header, payload)
			_, _ = r.udp.WriteToUDPAddrPort(out, v.To)
		}
	}
}

func (r *Responder) deliver(f registrar.Flow, payload []byte) {
	r.mu.Lock()
	conn, relay := r.conn, r.relay
	r.mu.Unlock()
	switch {
	case conn != nil:
		if !conn.deliver(f.Caller, payload) {
			r.Counter.Drop(carrier.DropQueueFull)
		}
	case relay != nil:
		relay.deliver(f.Caller, payload)
	}
}

// sendAnswer sends a datagram to a caller through an entry.
func (r *Responder) sendAnswer(caller netip.AddrPort, payload []byte) {
	h, ok := r.Tracker.Answer(time.Now(), caller)
	if !ok {
		r.Counter.Drop(carrier.DropUnknownFlow)
		return
	}
	b := r.buffers.Get().(*[]byte)
	defer r.buffers.Put(b)
	*b = r.Keys.Append((*b)[:0], &h, payload)
	_, _ = r.udp.WriteToUDPAddrPort(*b, h.Entry)
}

// notify sends a flow notice of the tracker to another agent.
func (r *Responder) notify(to netip.AddrPort, h *carrier.Header) {
	b := r.buffers.Get().(*[]byte)
	defer r.buffers.Put(b)
	*b = r.Keys.Append((*b)[:0], h, nil)
	_, _ = r.udp.WriteToUDPAddrPort(*b, to)
}

// Notify sends notices of the plain UDP flows that this agent serves in buckets of other agents to these agents.
func (r *Responder) Notify() { r.Tracker.Notices(time.Now(), r.notify) }

// Update starts serving once the configuration contains the service, and closes the connections of customers that may no
// longer use it.
func (r *Responder) Update(w *registrar.World) {
	if err := r.start(w); err != nil {
		r.Recorder.Error(recorder.ListenFailed, recorder.Err(err))
	}
	notAllowed := func(addr netip.Addr) bool {
		_, ok := r.Tracker.Allowed(addr)
		return !ok
	}
	u, _ := r.Tracker.Self()
	idChanged := r.upstream.Swap(uint32(u.ID)) != uint32(u.ID)
	// Connection ids that contain the previous upstream id can no longer be routed to this agent.
	r.conns.closeIf(func(addr netip.Addr) bool { return idChanged || notAllowed(addr) })
	r.mu.Lock()
	relay := r.relay
	r.mu.Unlock()
	if relay != nil {
		relay.closeIf(func(addr netip.Addr) bool { return idChanged || notAllowed(addr) })
	}
	r.noticesPending.Store(true)
	r.sendPendingNotices()
}

// sendPendingNotices sends the pending notices once the agent may serve. The prober repeats the call, because the lease is
// extended only after an update.
func (r *Responder) sendPendingNotices() {
	if r.Tracker.MayPass(time.Now()) && r.noticesPending.CompareAndSwap(true, false) {
		r.Notify()
	}
}

func (r *Responder) start(w *registrar.World) error {
	u, ok := r.Tracker.Self()
	if !ok {
		return nil
	}
	s, ok := w.Service(u.Service)
	if !ok {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.conn != nil || r.relay != nil {
		return nil
	}
	if s.Transport == registrar.TransportUDP {
		r.relay = newRelay(r.Upstream, r.sendAnswer, r.Tracker, r.Answers)
		go r.relay.sweep(r.done)
		return nil
	}
	r.upstream.Store(uint32(u.ID))
	return r.startQUIC(s)
}

func (r *Responder) startQUIC(s registrar.Service) error {
	conn := newPacketConn(s.Address, r.sendAnswer)
	conn.mayDeliver = func() bool { return r.Tracker.MayPass(time.Now()) }
	reset := quic.StatelessResetKey(r.ResetKey)
	r.quic = &quic.Transport{
		Conn:                  conn,
		ConnectionIDGenerator: &idGenerator{stamper: r.Stamper, upstream: &r.upstream, nonce: &r.nonce},
		StatelessResetKey:     &reset,
	}
	ln, err := r.quic.ListenEarly(http3.ConfigureTLSConfig(r.Certificate), &quic.Config{
		MaxIdleTimeout: idleTimeout, KeepAlivePeriod: quicKeepAlivePeriod,
	})
	if err != nil {
		return eris.Wrap(err, "listen for QUIC")
	}
	r.server = &http3.Server{
		Handler: r.Handler,
		ConnContext: func(ctx context.Context, c *quic.Conn) context.Context {
			r.track(c)
			return withConn(ctx, c.Context())
		},
	}
	r.conn = conn
	server := r.server
	go func() { _ = server.ServeListener(ln) }()
	return nil
}

// track registers a connection until it ends.
func (r *Responder) track(c *quic.Conn) {
	r.conns.add(c)
	context.AfterFunc(c.Context(), func() {
		r.conns.remove(c)
		if a, ok := c.RemoteAddr().(*net.UDPAddr); ok {
			caller := a.AddrPort()
			r.Tracker.Close(netip.AddrPortFrom(caller.Addr().Unmap(), caller.Port()))
		}
	})
}
