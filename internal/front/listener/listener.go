// Package listener is the UDP front end of an entry, built on nbio. It translates between datagrams and the decisions of
// the forwarder.
package listener

import (
	"errors"
	"net/netip"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/peridotstage/peridotstage/internal/report/recorder"
	"github.com/peridotstage/peridotstage/internal/route/carrier"
	"github.com/peridotstage/peridotstage/internal/route/counter"
	"github.com/peridotstage/peridotstage/internal/wire/encoder"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// readBatch is the number of datagrams read from one socket before the poller looks at the others.
const readBatch = 64

// maxSockets bounds the sockets that share one address unless settings ask for more, because each socket has kernel buffers.
const maxSockets = 4

// Decider decides whether a datagram is forwarded. FromCaller returns the address of the agent to forward to.
type Decider interface {
	FromCaller(now time.Time, f registrar.Flow, payload []byte, h *carrier.Header) (netip.AddrPort, carrier.DropReason)
	FromAgent(now time.Time, h *carrier.Header) carrier.DropReason
}

// Traffic counts the datagrams of one service. Its methods are called for each datagram, so one that blocks or allocates slows
// all forwarding.
type Traffic interface {
	// Forwarded counts a datagram that was forwarded in either direction, and the time d that the entry took to handle it.
	Forwarded(d time.Duration)
	// Drop counts a datagram that was not forwarded.
	Drop()
}

// service is a service address at which the entry receives datagrams.
type service struct {
	sockets []*socket
	// traffic is replaced when the address moves to another service; nil without a meter.
	traffic atomic.Pointer[Traffic]
}

// forwarded counts a datagram that the entry began to handle at startedAt.
func (s *service) forwarded(startedAt time.Time) {
	if t := s.traffic.Load(); t != nil {
		(*t).Forwarded(time.Since(startedAt))
	}
}

func (s *service) drop() {
	if t := s.traffic.Load(); t != nil {
		(*t).Drop()
	}
}

// Listener receives and sends the datagrams of an entry. The exported fields are set before Run.
type Listener struct {
	Decider Decider
	Counter *counter.Counter
	Keys    *encoder.Keyring
	// DataAddress is the address of the socket for agents.
	DataAddress netip.AddrPort
	// AddressMap maps the IP address of a service to the local IP address to bind; one that is not in the map is bound itself.
	AddressMap map[netip.Addr]netip.Addr
	Recorder   *recorder.Recorder
	// Newer is called with the revision in each datagram of an agent.
	Newer func(registrar.Revision)
	// Meter returns the traffic counters of a service; nil to count nothing.
	Meter func(registrar.ServiceName) Traffic
	// ResetKey is the key from which the entry and the agents derive the tokens of stateless resets.
	ResetKey [32]byte
	// Sockets is the number of sockets that share each address, and the number of pollers; 0 selects one for each
	// processor, at most maxSockets.
	Sockets int

	engine *nbio.Engine
	// dataSockets receive from agents and send to them.
	dataSockets []*socket
	// updateMu serializes updates. Forwarding reads services without a lock, because an update replaces the map and never
	// changes it.
	updateMu sync.Mutex
	services atomic.Pointer[map[netip.AddrPort]*service]
	// bindErrors holds the errors of service addresses that could not be bound at the newest update.
	bindErrors []error
	scratch    sync.Pool
}

// scratch holds a datagram while it is handled. Scratches are pooled to avoid an allocation for each datagram.
type scratch struct {
	header carrier.Header
	// buffer has room for a header in front of the datagram of n bytes, so that sealing does not copy the payload.
	buffer []byte
	n      int
	// receive is the handler of the socket that is read.
	receive receiver
}

// HandleDatagram handles the datagram of n bytes in the buffer.
func (sc *scratch) HandleDatagram(from netip.AddrPort, n int) {
	sc.n = n
	sc.receive(from, sc)
}

func (sc *scratch) datagram() []byte { return sc.buffer[encoder.HeaderSize:][:sc.n] }

// Run opens the sockets for agents, starts polling and returns. Stop ends the polling.
func (l *Listener) Run() error {
	if l.Sockets == 0 {
		l.Sockets = min(runtime.GOMAXPROCS(0), maxSockets)
	}
	l.scratch.New = func() any { return &scratch{buffer: make([]byte, encoder.HeaderSize+carrier.MaxDatagram)} }
	l.services.Store(&map[netip.AddrPort]*service{})
	l.engine = nbio.NewEngine(nbio.Config{Name: "entry", NPoller: l.Sockets})
	l.engine.OnRead(func(c *nbio.Conn) {
		if s, ok := c.Session().(*socket); ok {
			sc := l.scratch.Get().(*scratch)
			sc.receive = s.receive
			s.Drain(readBatch, sc.buffer[encoder.HeaderSize:], sc)
			l.scratch.Put(sc)
		}
	})
	if err := l.engine.Start(); err != nil {
		return eris.Wrap(err, "start poller")
	}
	dataSockets, err := openSockets(l.engine, l.Sockets, l.DataAddress, l.handleAgentDatagram)
	if err != nil {
		return err
	}
	l.dataSockets = dataSockets
	return nil
}

// Stop closes all sockets.
func (l *Listener) Stop() { l.engine.Stop() }

// Update opens sockets for new services and closes those of removed ones.
func (l *Listener) Update(w *registrar.World) {
	l.updateMu.Lock()
	defer l.updateMu.Unlock()
	before := *l.services.Load()
	after := map[netip.AddrPort]*service{}
	l.bindErrors = nil
	for _, s := range w.Services() {
		svc := before[s.Address]
		if svc == nil || svc.sockets == nil {
			svc = &service{}
			svc.sockets = l.open(s.Address, svc)
		}
		if l.Meter != nil {
			traffic := l.Meter(s.Name)
			svc.traffic.Store(&traffic)
		}
		after[s.Address] = svc
	}
	l.services.Store(&after)
	for address, svc := range before {
		if after[address] == nil {
			closeAll(svc.sockets)
		}
	}
}

// Problem returns the errors of service addresses that could not be bound, or nil if all are bound.
func (l *Listener) Problem() error {
	l.updateMu.Lock()
	defer l.updateMu.Unlock()
	return errors.Join(l.bindErrors...)
}

// open opens the sockets of a service address. It returns none if the address cannot be bound; the next update tries again.
func (l *Listener) open(address netip.AddrPort, svc *service) []*socket {
	local := address
	if mapped, ok := l.AddressMap[address.Addr()]; ok {
		local = netip.AddrPortFrom(mapped, address.Port())
	}
	sockets, err := openSockets(l.engine, l.Sockets, local, func(from netip.AddrPort, sc *scratch) {
		l.handleCallerDatagram(registrar.Flow{Caller: from, Service: address}, svc, sc)
	})
	if err != nil {
		l.bindErrors = append(l.bindErrors, err)
		l.Recorder.Error(recorder.ListenFailed, zap.Stringer("service_address", address), recorder.Err(err))
	}
	return sockets
}

// handleCallerDatagram forwards a datagram of a caller to an agent, or drops it.
func (l *Listener) handleCallerDatagram(flow registrar.Flow, svc *service, sc *scratch) {
	receivedAt := time.Now()
	payload := sc.datagram()
	to, reason := l.Decider.FromCaller(receivedAt, flow, payload, &sc.header)
	if reason != carrier.Passed {
		svc.drop()
		l.sendReset(reason, flow, sc)
		return
	}
	// The payload is already at its place behind the header, so Append does not copy it.
	sealed := l.Keys.Append(sc.buffer[:0], &sc.header, payload)
	l.dataSockets[int(flow.Caller.Port())%len(l.dataSockets)].Send(to, sealed)
	svc.forwarded(receivedAt)
}

// handleAgentDatagram forwards the payload of an agent's datagram to its caller, or drops it.
func (l *Listener) handleAgentDatagram(_ netip.AddrPort, sc *scratch) {
	receivedAt := time.Now()
	payload, err := l.Keys.Parse(sc.datagram(), &sc.header)
	if err != nil {
		l.Counter.Drop(carrier.ParseDropReason(err))
		return
	}
	l.Newer(sc.header.Revision)
	flow := sc.header.Flow
	svc := (*l.services.Load())[flow.Service]
	if l.Decider.FromAgent(receivedAt, &sc.header) != carrier.Passed {
		if svc != nil {
			svc.drop()
		}
		return
	}
	if svc != nil && len(svc.sockets) > 0 {
		svc.sockets[int(flow.Caller.Port())%len(svc.sockets)].Send(flow.Caller, payload)
		svc.forwarded(receivedAt)
	}
}
