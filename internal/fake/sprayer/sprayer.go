// Package sprayer simulates the network fabric in front of the entries: it forwards each datagram of a caller to an entry
// chosen at random, and can drop, duplicate and delay datagrams.
package sprayer

import (
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/peridotstage/peridotstage/internal/fake/faulter"
	"github.com/peridotstage/peridotstage/internal/route/carrier"
)

const socketBufferBytes = 4 << 20

// Faults describes the faults of the links between callers and entries.
type Faults = faulter.Faults

// Sprayer forwards the datagrams of one service address. The exported fields must be set before Run.
type Sprayer struct {
	// Address is the service address, to which callers send.
	Address netip.AddrPort
	Seed    uint64

	// serviceConn receives the datagrams of callers.
	serviceConn *net.UDPConn
	mu          sync.Mutex
	// entries holds the addresses from which random chooses one for each datagram.
	random  *rand.Rand
	entries []netip.AddrPort
	// callers holds, for each caller, the socket that sends its datagrams to the entries.
	callers map[netip.AddrPort]*net.UDPConn
	// sources holds the source addresses that Rebind gave to callers.
	sources map[netip.AddrPort]netip.Addr
	// forgotten holds the callers whose datagrams are dropped after a call of Forget.
	forgotten map[netip.AddrPort]bool
	closed    bool
	wg        sync.WaitGroup
	// toEntries and toCallers are the links of the two directions.
	toEntries, toCallers faulter.Link
}

// SetEntries replaces the addresses of the entries to which datagrams are forwarded.
func (s *Sprayer) SetEntries(entries []netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries = append([]netip.AddrPort(nil), entries...)
}

// SetFaults replaces the faults of both directions.
func (s *Sprayer) SetFaults(f Faults) { s.SetDirections(f, f) }

// SetDirections replaces the faults of each direction.
func (s *Sprayer) SetDirections(toEntries, toCallers Faults) {
	s.toEntries.SetFaults(toEntries)
	s.toCallers.SetFaults(toCallers)
}

// Forget drops all further datagrams of the current callers in both directions, like a middlebox that has lost its flow
// state. New callers are not affected.
func (s *Sprayer) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for caller, conn := range s.callers {
		s.forgotten[caller] = true
		_ = conn.Close()
	}
}

// Rebind changes the source from which the entries receive the datagrams of each current caller: the address becomes the one that
// translate returns, and the port a new one, as after a NAT has lost its table. Datagrams to the old source addresses are dropped.
func (s *Sprayer) Rebind(translate func(netip.Addr) netip.Addr) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for caller, conn := range s.callers {
		s.sources[caller] = translate(caller.Addr())
		delete(s.callers, caller)
		_ = conn.Close()
	}
}

// Run starts forwarding datagrams. Close stops it.
func (s *Sprayer) Run() error {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(s.Address))
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	_ = conn.SetReadBuffer(socketBufferBytes)
	s.serviceConn = conn
	s.toEntries.Seed, s.toCallers.Seed = s.Seed+1, s.Seed+2
	s.random = rand.New(rand.NewPCG(s.Seed, s.Seed))
	s.forgotten = map[netip.AddrPort]bool{}
	s.callers = map[netip.AddrPort]*net.UDPConn{}
	s.sources = map[netip.AddrPort]netip.Addr{}
	s.wg.Go(s.forwardToEntries)
	return nil
}

// Close closes all sockets and waits until forwarding has stopped.
func (s *Sprayer) Close() {
	s.mu.Lock()
	s.closed = true
	_ = s.serviceConn.Close()
	for _, c := range s.callers {
		_ = c.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

func (s *Sprayer) forwardToEntries() {
	b := make([]byte, carrier.MaxDatagram)
	for {
		n, from, err := s.serviceConn.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		conn, to, ok := s.chooseRoute(from)
		if !ok {
			continue
		}
		s.toEntries.Pass(b[:n], func(p []byte) { _, _ = conn.WriteToUDPAddrPort(p, to) })
	}
}

// chooseRoute returns the socket of a caller and a random entry. The socket is bound to the caller's source address, so that
// the entries see the same source for the whole flow.
func (s *Sprayer) chooseRoute(caller netip.AddrPort) (*net.UDPConn, netip.AddrPort, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.forgotten[caller] || len(s.entries) == 0 {
		return nil, netip.AddrPort{}, false
	}
	conn := s.callers[caller]
	if conn == nil {
		source, ok := s.sources[caller]
		if !ok {
			source = caller.Addr()
		}
		var err error
		conn, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(source, 0)))
		if err != nil {
			return nil, netip.AddrPort{}, false
		}
		_ = conn.SetReadBuffer(socketBufferBytes)
		s.callers[caller] = conn
		s.wg.Go(func() { s.forwardToCaller(conn, caller) })
	}
	return conn, s.entries[s.random.IntN(len(s.entries))], true
}

func (s *Sprayer) forwardToCaller(conn *net.UDPConn, caller netip.AddrPort) {
	b := make([]byte, carrier.MaxDatagram)
	for {
		n, _, err := conn.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		s.toCallers.Pass(b[:n], func(p []byte) { _, _ = s.serviceConn.WriteToUDPAddrPort(p, caller) })
	}
}
