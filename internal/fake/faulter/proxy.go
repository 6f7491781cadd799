package faulter

import (
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/peridotstage/peridotstage/internal/route/carrier"
)

const socketBuffer = 4 << 20

// Proxy carries the datagrams that are sent to one address on to another. It carries no answers: machines address each
// other by announced addresses, so a proxy in front of each machine covers both directions. The exported fields are set
// before Run.
type Proxy struct {
	Address netip.AddrPort
	To      netip.AddrPort
	Seed    uint64

	conn *net.UDPConn
	mu   sync.Mutex
	tap  func(at time.Time, datagram []byte)
	// links are keyed by the address of the sender; the link of the zero address serves senders without one of their own.
	links map[netip.Addr]*Link
	wg    sync.WaitGroup
}

// Run starts carrying datagrams. Close ends it.
func (p *Proxy) Run() error {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(p.Address))
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	_ = conn.SetReadBuffer(socketBuffer)
	p.conn = conn
	p.wg.Go(p.carry)
	return nil
}

// Close ends all transport.
func (p *Proxy) Close() {
	_ = p.conn.Close()
	p.wg.Wait()
}

// SetFaults replaces the faults of all senders without faults of their own.
func (p *Proxy) SetFaults(f Faults) { p.link(netip.Addr{}).SetFaults(f) }

// SetFaultsFrom replaces the faults of one sender.
func (p *Proxy) SetFaultsFrom(sender netip.Addr, f Faults) { p.link(sender).SetFaults(f) }

func (p *Proxy) link(sender netip.Addr) *Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.links == nil {
		p.links = map[netip.Addr]*Link{}
	}
	if p.links[sender] == nil {
		p.links[sender] = &Link{Seed: p.Seed}
	}
	return p.links[sender]
}

func (p *Proxy) linkFrom(sender netip.Addr) *Link {
	p.mu.Lock()
	l := p.links[sender]
	p.mu.Unlock()
	if l == nil {
		l = p.link(netip.Addr{})
	}
	return l
}

func (p *Proxy) carry() {
	b := make([]byte, carrier.MaxDatagram)
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		p.linkFrom(from.Addr().Unmap()).Pass(b[:n], p.send)
	}
}

func (p *Proxy) send(d []byte) {
	p.mu.Lock()
	tap := p.tap
	p.mu.Unlock()
	if tap != nil {
		tap(time.Now(), d)
	}
	_, _ = p.conn.WriteToUDPAddrPort(d, p.To)
}

// SetTap sets a function that gets each datagram that is sent on, and when.
func (p *Proxy) SetTap(tap func(at time.Time, datagram []byte)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tap = tap
}
