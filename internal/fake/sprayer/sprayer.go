// Package sprayer is a stand-in for the fabric in front of the entries: it hands each datagram of a caller to an entry
// chosen at random, and can lose, duplicate and delay datagrams.
package sprayer

import (
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

const (
	maxDatagram  = 64 << 10
	socketBuffer = 4 << 20
)

// Faults are probabilities between 0 and 1 that apply to each datagram in each direction.
type Faults struct {
	Drop      float64
	Duplicate float64
	// Delay is the probability that a datagram is held for up to MaxDelay, which also reorders it.
	Delay    float64
	MaxDelay time.Duration
}

// Sprayer carries the datagrams of one service address. The exported fields are set before Run.
type Sprayer struct {
	// Address is where callers send to.
	Address netip.AddrPort
	Seed    uint64

	public *net.UDPConn
	mu     sync.Mutex
	// random, entries and faults may change while the sprayer runs.
	random  *rand.Rand
	entries []netip.AddrPort
	faults  Faults
	callers map[netip.AddrPort]*net.UDPConn
	closed  bool
	wg      sync.WaitGroup
}

// SetEntries replaces the entry addresses that datagrams are handed to.
func (s *Sprayer) SetEntries(entries []netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries = append([]netip.AddrPort(nil), entries...)
}

// SetFaults replaces the faults.
func (s *Sprayer) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Run starts carrying datagrams. Close ends it.
func (s *Sprayer) Run() error {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(s.Address))
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	_ = conn.SetReadBuffer(socketBuffer)
	s.public = conn
	s.random = rand.New(rand.NewPCG(s.Seed, s.Seed))
	s.callers = map[netip.AddrPort]*net.UDPConn{}
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
	b := make([]byte, maxDatagram)
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
		s.pass(b[:n], func(p []byte) { _, _ = conn.WriteToUDPAddrPort(p, to) })
	}
}

// pick returns the socket that stands for a caller and an entry. The socket is bound to the caller's IP address, so that
// the entries see the same source for the whole flow.
func (s *Sprayer) pick(caller netip.AddrPort) (*net.UDPConn, netip.AddrPort, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.entries) == 0 {
		return nil, netip.AddrPort{}, false
	}
	conn := s.callers[caller]
	if conn == nil {
		var err error
		conn, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(caller.Addr(), 0)))
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
	b := make([]byte, maxDatagram)
	for {
		n, _, err := conn.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		s.pass(b[:n], func(p []byte) { _, _ = s.public.WriteToUDPAddrPort(p, caller) })
	}
}

// pass sends a datagram with the present faults.
func (s *Sprayer) pass(payload []byte, send func([]byte)) {
	s.mu.Lock()
	f := s.faults
	drop := s.random.Float64() < f.Drop
	duplicate := s.random.Float64() < f.Duplicate
	var wait time.Duration
	if f.MaxDelay > 0 && s.random.Float64() < f.Delay {
		wait = time.Duration(s.random.Int64N(int64(f.MaxDelay)))
	}
	s.mu.Unlock()
	if drop {
		return
	}
	if duplicate {
		send(payload)
	}
	if wait == 0 {
		send(payload)
		return
	}
	held := append([]byte(nil), payload...)
	time.AfterFunc(wait, func() { send(held) })
}
