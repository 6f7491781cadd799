package responder

import (
	"net"
	"net/netip"
	"os"
	"sync"
	"time"
)

// inboundLimit is the number of datagrams that wait for QUIC before further ones are dropped.
const inboundLimit = 4096

// packet is one datagram of a caller.
type packet struct {
	payload []byte
	from    netip.AddrPort
}

// packetConn is the net.PacketConn below QUIC. Its peers are callers; datagrams travel through entries.
type packetConn struct {
	local   netip.AddrPort
	send    func(to netip.AddrPort, payload []byte)
	inbound chan packet
	closed  chan struct{}
	once    sync.Once
	// expired is closed and replaced when a read deadline in the past is set.
	mu      sync.Mutex
	expired chan struct{}
}

func newPacketConn(local netip.AddrPort, send func(netip.AddrPort, []byte)) *packetConn {
	return &packetConn{
		local: local, send: send, inbound: make(chan packet, inboundLimit), closed: make(chan struct{}),
		expired: make(chan struct{}),
	}
}

// deliver hands over a copy of a datagram. It returns false if too many are waiting.
func (c *packetConn) deliver(from netip.AddrPort, payload []byte) bool {
	p := packet{payload: append([]byte(nil), payload...), from: from}
	select {
	case c.inbound <- p:
		return true
	default:
		return false
	}
}

// ReadFrom returns the next datagram.
func (c *packetConn) ReadFrom(b []byte) (int, net.Addr, error) {
	c.mu.Lock()
	expired := c.expired
	c.mu.Unlock()
	select {
	case p := <-c.inbound:
		return copy(b, p.payload), net.UDPAddrFromAddrPort(p.from), nil
	case <-expired:
		return 0, nil, os.ErrDeadlineExceeded
	case <-c.closed:
		return 0, nil, net.ErrClosed
	}
}

// WriteTo sends a datagram to a caller.
func (c *packetConn) WriteTo(b []byte, to net.Addr) (int, error) {
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	default:
	}
	a := to.(*net.UDPAddr).AddrPort()
	c.send(netip.AddrPortFrom(a.Addr().Unmap(), a.Port()), b)
	return len(b), nil
}

// Close ends all reads.
func (c *packetConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}

// LocalAddr returns the address that callers use.
func (c *packetConn) LocalAddr() net.Addr { return net.UDPAddrFromAddrPort(c.local) }

// SetDeadline sets the read deadline; writes do not block.
func (c *packetConn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetReadDeadline supports only deadlines in the past, which QUIC uses to end a read, and the zero time.
func (c *packetConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.expired:
		if t.IsZero() {
			c.expired = make(chan struct{})
		}
	default:
		if !t.IsZero() && !t.After(time.Now()) {
			close(c.expired)
		}
	}
	return nil
}

// SetWriteDeadline does nothing, because writes do not block.
func (c *packetConn) SetWriteDeadline(time.Time) error { return nil }
