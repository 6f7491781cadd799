// Package listener is the UDP front end of an entry, built on nbio. It translates between datagrams and the decisions of
// the forwarder.
package listener

import (
	"net/netip"
	"sync"
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

// maxDatagram is the largest datagram in bytes that the listener takes.
const maxDatagram = 64 << 10

// readBatch is the number of datagrams read from one socket before the poller looks at the others.
const readBatch = 64

// Decider decides about datagrams.
type Decider interface {
	FromCaller(now time.Time, f registrar.Flow, payload []byte, h *carrier.Header) (netip.AddrPort, carrier.DropReason)
	FromAgent(now time.Time, h *carrier.Header) carrier.DropReason
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

	engine *nbio.Engine
	data   *socket
	// mu guards services. It is held for reading while an answer is sent.
	mu       sync.RWMutex
	services map[netip.AddrPort]*socket
	scratch  sync.Pool
}

// scratch holds the memory for one datagram in progress.
type scratch struct {
	header carrier.Header
	out    []byte
}

// Run opens the socket for agents and starts polling. Stop ends it.
func (l *Listener) Run() error {
	l.scratch.New = func() any { return &scratch{out: make([]byte, 0, maxDatagram)} }
	l.services = map[netip.AddrPort]*socket{}
	l.engine = nbio.NewEngine(nbio.Config{Name: "entry"})
	l.engine.OnRead(func(c *nbio.Conn) {
		if s, ok := c.Session().(*socket); ok {
			s.drain(readBatch)
		}
	})
	if err := l.engine.Start(); err != nil {
		return eris.Wrap(err, "start poller")
	}
	s, err := openSocket(l.engine, l.DataAddress, l.fromAgent)
	if err != nil {
		return err
	}
	l.data = s
	return nil
}

// Stop closes all sockets.
func (l *Listener) Stop() { l.engine.Stop() }

// Update opens sockets for new services and closes those of removed ones.
func (l *Listener) Update(w *registrar.World) {
	live := map[netip.AddrPort]bool{}
	for _, s := range w.Services() {
		live[s.Address] = true
		l.open(s.Address)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for a, s := range l.services {
		if !live[a] {
			s.close()
			delete(l.services, a)
		}
	}
}

func (l *Listener) open(service netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.services[service] != nil {
		return
	}
	local := service
	if mapped, ok := l.AddressMap[service.Addr()]; ok {
		local = netip.AddrPortFrom(mapped, service.Port())
	}
	s, err := openSocket(l.engine, local, func(from netip.AddrPort, payload []byte) { l.fromCaller(from, service, payload) })
	if err != nil {
		l.Recorder.Error(recorder.ListenFailed, zap.Stringer("service_address", service), recorder.Err(err))
		return
	}
	l.services[service] = s
}

func (l *Listener) fromCaller(from, service netip.AddrPort, payload []byte) {
	sc := l.scratch.Get().(*scratch)
	defer l.scratch.Put(sc)
	flow := registrar.Flow{Caller: from, Service: service}
	to, reason := l.Decider.FromCaller(time.Now(), flow, payload, &sc.header)
	if reason != carrier.Passed {
		return
	}
	sc.out = l.Keys.Append(sc.out[:0], &sc.header, payload)
	l.data.send(to, sc.out)
}

func (l *Listener) fromAgent(_ netip.AddrPort, datagram []byte) {
	sc := l.scratch.Get().(*scratch)
	defer l.scratch.Put(sc)
	payload, err := l.Keys.Parse(datagram, &sc.header)
	if err != nil {
		l.Counter.Drop(carrier.DropBadSeal)
		return
	}
	l.Newer(sc.header.Revision)
	if l.Decider.FromAgent(time.Now(), &sc.header) != carrier.Passed {
		return
	}
	l.mu.RLock()
	defer l.mu.RUnlock()
	if s := l.services[sc.header.Flow.Service]; s != nil {
		s.send(sc.header.Flow.Caller, payload)
	}
}
