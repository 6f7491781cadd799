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

const socketBufferBytes = 4 << 20

// Proxy forwards the datagrams sent to one address to another address. It forwards no answers: machines send to each other's
// announced addresses, so a proxy in front of each machine covers both directions. The exported fields must be
// set before Run.
type Proxy struct {
	// Address is where the proxy listens.
	Address netip.AddrPort
	// To is where the proxy sends datagrams.
	To   netip.AddrPort
	Seed uint64

	conn *net.UDPConn
	mu   sync.Mutex
	// tap is called with each forwarded datagram, unless it is nil.
	tap func(sentAt time.Time, datagram []byte)
	// links holds the link of each sender address. The link of the zero address applies to all other senders.
	links map[netip.Addr]*Link
	wg    sync.WaitGroup
}

// Run starts forwarding datagrams. Close stops it.
func (p *Proxy) Run() error {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(p.Address))
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	_ = conn.SetReadBuffer(socketBufferBytes)
	p.conn = conn
	p.wg.Go(p.forward)
	return nil
}

// Close closes the socket and waits until forwarding has stopped.
func (p *Proxy) Close() {
	_ = p.conn.Close()
	p.wg.Wait()
}

// SetFaults replaces the faults of all senders for which SetFaultsFrom was not called.
func (p *Proxy) SetFaults(f Faults) { p.link(netip.Addr{}).SetFaults(f) }

// SetFaultsFrom replaces the faults of one sender.
func (p *Proxy) SetFaultsFrom(sender netip.Addr, f Faults) { p.link(sender).SetFaults(f) }

// link returns the link of a sender and creates it if necessary.
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

// linkFrom returns the link that applies to datagrams from a sender.
func (p *Proxy) linkFrom(sender netip.Addr) *Link {
	p.mu.Lock()
	l := p.links[sender]
	p.mu.Unlock()
	if l == nil {
		l = p.link(netip.Addr{})
	}
	return l
}

func (p *Proxy) forward() {
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

func (p *Proxy) send(datagram []byte) {
	p.mu.Lock()
	tap := p.tap
	p.mu.Unlock()
	if tap != nil {
		tap(time.Now(), datagram)
	}
	_, _ = p.conn.WriteToUDPAddrPort(datagram, p.To)
}

// SetTap sets a function that receives each forwarded datagram and the time at which it is sent.
func (p *Proxy) SetTap(tap func(sentAt time.Time, datagram []byte)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tap = tap
}
