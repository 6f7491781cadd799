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

// maxSockets bounds the sockets that share one address unless settings ask for more. Each socket has kernel buffers.
const maxSockets = 4

// Decider decides about datagrams.
type Decider interface {
	FromCaller(now time.Time, f registrar.Flow, payload []byte, h *carrier.Header) (netip.AddrPort, carrier.DropReason)
	FromAgent(now time.Time, h *carrier.Header) carrier.DropReason
}

// Traffic counts the datagrams of one service. It is called for each datagram, so it must neither wait nor allocate.
type Traffic interface {
	// Forwarded counts a datagram that was passed on, in either direction, after d.
	Forwarded(d time.Duration)
	Drop()
}

// service is a service address that the entry takes datagrams at.
type service struct {
	sockets []*socket
	// traffic changes if another service takes the address over; nil without a meter.
	traffic atomic.Pointer[Traffic]
}

// forwarded counts a datagram that the entry began to handle at a time.
func (s *service) forwarded(began time.Time) {
	if t := s.traffic.Load(); t != nil {
		(*t).Forwarded(time.Since(began))
	}
}

func (s *service) drop() {
	if t := s.traffic.Load(); t != nil {
		(*t).Drop()
	}
}

// Listener holds the sockets of an entry. The exported fields are set before Run.
type Listener struct {
	Decider Decider
	Counter *counter.Counter
	Keys    *encoder.Keyring
	// DataAddress is the address of the socket for agents.
	DataAddress netip.AddrPort
	// AddressMap gives the local address to bind for a service address.
	AddressMap map[netip.Addr]netip.Addr
	Recorder   *recorder.Recorder
	// Newer is called with each revision that an agent's datagram carries.
	Newer func(registrar.Revision)
	// Meter returns the counts of a service; nil for none.
	Meter func(registrar.ServiceName) Traffic
	// ResetKey derives the tokens of stateless resets, as the agents derive them.
	ResetKey [32]byte
	// Sockets is the number of sockets that share each address, and the number of pollers; 0 selects one for each
	// processor, at most maxSockets.
	Sockets int

	engine *nbio.Engine
	data   []*socket
	// updateMu orders updates. Datagrams only load services, whose map is replaced and never changed.
	updateMu sync.Mutex
	services atomic.Pointer[map[netip.AddrPort]*service]
	// unbound holds why service addresses could not be bound at the newest update.
	unbound []error
	scratch sync.Pool
}

// scratch holds the memory for one datagram in progress.
type scratch struct {
	header carrier.Header
	// buffer has room for a header in front of the datagram of n bytes, so that sealing does not copy the payload.
	buffer []byte
	n      int
	// receive is that of the socket which is read.
	receive receiver
}

// Take handles the datagram of n bytes in the buffer.
func (sc *scratch) Take(from netip.AddrPort, n int) {
	sc.n = n
	sc.receive(from, sc)
}

func (sc *scratch) datagram() []byte { return sc.buffer[encoder.HeaderSize:][:sc.n] }

// Run opens the sockets for agents and starts polling. Stop ends it.
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
	data, err := openSockets(l.engine, l.Sockets, l.DataAddress, l.fromAgent)
	if err != nil {
		return err
	}
	l.data = data
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
	l.unbound = nil
	for _, s := range w.Services() {
		v := before[s.Address]
		if v == nil || v.sockets == nil {
			v = &service{}
			v.sockets = l.open(s.Address, v)
		}
		if l.Meter != nil {
			traffic := l.Meter(s.Name)
			v.traffic.Store(&traffic)
		}
		after[s.Address] = v
	}
	l.services.Store(&after)
	for a, v := range before {
		if after[a] == nil {
			closeAll(v.sockets)
		}
	}
}

// Problem returns why the entry does not take the datagrams of every service, or nil if it does.
func (l *Listener) Problem() error {
	l.updateMu.Lock()
	defer l.updateMu.Unlock()
	return errors.Join(l.unbound...)
}

// open returns no sockets if the address cannot be bound; the next update tries again.
func (l *Listener) open(address netip.AddrPort, v *service) []*socket {
	local := address
	if mapped, ok := l.AddressMap[address.Addr()]; ok {
		local = netip.AddrPortFrom(mapped, address.Port())
	}
	sockets, err := openSockets(l.engine, l.Sockets, local, func(from netip.AddrPort, sc *scratch) {
		l.fromCaller(registrar.Flow{Caller: from, Service: address}, v, sc)
	})
	if err != nil {
		l.unbound = append(l.unbound, err)
		l.Recorder.Error(recorder.ListenFailed, zap.Stringer("service_address", address), recorder.Err(err))
	}
	return sockets
}

func (l *Listener) fromCaller(flow registrar.Flow, v *service, sc *scratch) {
	began := time.Now()
	payload := sc.datagram()
	to, reason := l.Decider.FromCaller(began, flow, payload, &sc.header)
	if reason != carrier.Passed {
		v.drop()
		l.reset(reason, flow, sc)
		return
	}
	// The payload already lies behind the room for the header.
	sealed := l.Keys.Append(sc.buffer[:0], &sc.header, payload)
	l.data[int(flow.Caller.Port())%len(l.data)].Send(to, sealed)
	v.forwarded(began)
}

func (l *Listener) fromAgent(_ netip.AddrPort, sc *scratch) {
	began := time.Now()
	payload, err := l.Keys.Parse(sc.datagram(), &sc.header)
	if err != nil {
		l.Counter.Drop(carrier.Refusal(err))
		return
	}
	l.Newer(sc.header.Revision)
	flow := sc.header.Flow
	v := (*l.services.Load())[flow.Service]
	if l.Decider.FromAgent(began, &sc.header) != carrier.Passed {
		if v != nil {
			v.drop()
		}
		return
	}
	if v != nil && len(v.sockets) > 0 {
		v.sockets[int(flow.Caller.Port())%len(v.sockets)].Send(flow.Caller, payload)
		v.forwarded(began)
	}
}
