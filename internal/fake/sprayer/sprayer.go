// Package sprayer is a stand-in for the fabric in front of the entries: it hands each datagram of a caller to an entry
// chosen at random, and can lose, duplicate and delay datagrams.
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

const socketBuffer = 4 << 20

// Faults are those of the links between callers and entries.
type Faults = faulter.Faults

// Sprayer carries the datagrams of one service address. The exported fields are set before Run.
type Sprayer struct {
	// Address is where callers send to.
	Address netip.AddrPort
	Seed    uint64

	public *net.UDPConn
	mu     sync.Mutex
	// random and entries may change while the sprayer runs.
	random  *rand.Rand
	entries []netip.AddrPort
	callers map[netip.AddrPort]*net.UDPConn
	// sources are the IP addresses that stand for callers whose address has changed.
	sources map[netip.AddrPort]netip.Addr
	// forgotten holds the callers whose datagrams are lost for good.
	forgotten map[netip.AddrPort]bool
	closed    bool
	wg        sync.WaitGroup
	// toEntries and toCallers are the two directions.
	toEntries, toCallers faulter.Link
}

// SetEntries replaces the entry addresses that datagrams are handed to.
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

// Forget loses all further datagrams of the callers that have been seen so far, in both directions, as a middlebox does
// that lost track of their flows. New callers are carried.
func (s *Sprayer) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for caller, conn := range s.callers {
		s.forgotten[caller] = true
		_ = conn.Close()
	}
}

// Rebind gives each caller that has been seen so far a new port towards the entries, or a new address if change returns
// another one, as an address translator does that lost its table. Datagrams to the old addresses are lost.
func (s *Sprayer) Rebind(change func(netip.Addr) netip.Addr) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for caller, conn := range s.callers {
		s.sources[caller] = change(caller.Addr())
		delete(s.callers, caller)
		_ = conn.Close()
	}
}

// Run starts carrying datagrams. Close ends it.
func (s *Sprayer) Run() error {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(s.Address))
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	_ = conn.SetReadBuffer(socketBuffer)
	s.public = conn
	s.toEntries.Seed, s.toCallers.Seed = s.Seed+1, s.Seed+2
	s.random = rand.New(rand.NewPCG(s.Seed, s.Seed))
	s.forgotten = map[netip.AddrPort]bool{}
	s.callers = map[netip.AddrPort]*net.UDPConn{}
	s.sources = map[netip.AddrPort]netip.Addr{}
	s.wg.Go(s.fromCallers)
	return nil
}

// Close ends all transport.
func (s *Sprayer) Close() {
	s.mu.Lock()
	s.closed = true
	_ = s.public.Close()
	for _, c := range s.callers {
		_ = c.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

func (s *Sprayer) fromCallers() {
	b := make([]byte, carrier.MaxDatagram)
	for {
		n, from, err := s.public.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		conn, to, ok := s.pick(from)
		if !ok {
			continue
		}
		s.toEntries.Pass(b[:n], func(p []byte) { _, _ = conn.WriteToUDPAddrPort(p, to) })
	}
}

// pick returns the socket that stands for a caller and an entry. The socket is bound to the caller's IP address, so that
// the entries see the same source for the whole flow.
func (s *Sprayer) pick(caller netip.AddrPort) (*net.UDPConn, netip.AddrPort, bool) {
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
		_ = conn.SetReadBuffer(socketBuffer)
		s.callers[caller] = conn
		s.wg.Go(func() { s.toCaller(conn, caller) })
	}
	return conn, s.entries[s.random.IntN(len(s.entries))], true
}

func (s *Sprayer) toCaller(conn *net.UDPConn, caller netip.AddrPort) {
	b := make([]byte, carrier.MaxDatagram)
	for {
		n, _, err := conn.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		s.toCallers.Pass(b[:n], func(p []byte) { _, _ = s.public.WriteToUDPAddrPort(p, caller) })
	}
}
