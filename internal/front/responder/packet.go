package responder

import (
	"encoding/binary"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"
)

// inboundLimit is the number of datagrams that wait for QUIC before further ones are dropped.
const inboundLimit = 4096

// usualDatagram is the initial size of buffers in bytes. It holds a datagram of the usual path MTU.
const usualDatagram = 1500

// packet is one datagram of a caller.
type packet struct {
	buffer *[]byte
	from   netip.AddrPort
}

// addressCacheSize is the number of caller addresses kept in the form that QUIC wants. It is a power of two.
const addressCacheSize = 4096

// packetConn is the net.PacketConn below QUIC. Its peers are callers; datagrams travel through entries.
type packetConn struct {
	local netip.AddrPort
	send  func(to netip.AddrPort, payload []byte)
	// mayPass is asked before each datagram is handed to QUIC; nil means yes.
	mayPass func() bool
	buffers sync.Pool
	// addresses is a direct-mapped cache that saves an allocation per datagram. Only ReadFrom, which one goroutine calls,
	// uses it.
	addresses [addressCacheSize]*net.UDPAddr
	inbound   chan packet
	closed    chan struct{}
	once      sync.Once
	// expired is closed and replaced when a read deadline in the past is set.
	mu      sync.Mutex
	expired chan struct{}
}

func newPacketConn(local netip.AddrPort, send func(netip.AddrPort, []byte)) *packetConn {
	c := &packetConn{
		local: local, send: send, inbound: make(chan packet, inboundLimit), closed: make(chan struct{}),
		expired: make(chan struct{}),
	}
	c.buffers.New = func() any { b := make([]byte, 0, usualDatagram); return &b }
	return c
}

// deliver hands over a copy of a datagram. It returns false if too many are waiting.
func (c *packetConn) deliver(from netip.AddrPort, payload []byte) bool {
	b := c.buffers.Get().(*[]byte)
	*b = append((*b)[:0], payload...)
	select {
	case c.inbound <- packet{buffer: b, from: from}:
		return true
	default:
		c.buffers.Put(b)
		return false
	}
}

func (c *packetConn) address(from netip.AddrPort) *net.UDPAddr {
	ip := from.Addr().As16()
	slot := &c.addresses[(binary.LittleEndian.Uint32(ip[12:])*2654435761>>16^uint32(from.Port()))%addressCacheSize]
	if *slot == nil || (*slot).AddrPort() != from {
		*slot = net.UDPAddrFromAddrPort(from)
	}
	return *slot
}

// ReadFrom returns the next datagram.
func (c *packetConn) ReadFrom(b []byte) (int, net.Addr, error) {
	c.mu.Lock()
	expired := c.expired
	c.mu.Unlock()
	for {
		select {
		case p := <-c.inbound:
			n := copy(b, *p.buffer)
			c.buffers.Put(p.buffer)
			if c.mayPass == nil || c.mayPass() {
				return n, c.address(p.from), nil
			}
		case <-expired:
			return 0, nil, os.ErrDeadlineExceeded
		case <-c.closed:
			return 0, nil, net.ErrClosed
		}
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
