package responder

import (
	"encoding/binary"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"
)

// inboundQueueSize is the number of datagrams that may wait for QUIC; further ones are dropped.
const inboundQueueSize = 4096

// initialBufferSize is the initial size of buffers in bytes. It holds a datagram at a path MTU of 1500 bytes.
const initialBufferSize = 1500

// packet is one datagram of a caller.
type packet struct {
	buffer *[]byte
	caller netip.AddrPort
}

// addressCacheSize is the number of caller addresses cached as *net.UDPAddr, the type that QUIC needs. It is a power of two.
const addressCacheSize = 4096

// packetConn is the net.PacketConn that QUIC uses. Its peers are callers, whose datagrams are forwarded by entries.
type packetConn struct {
	local netip.AddrPort
	send  func(to netip.AddrPort, payload []byte)
	// mayDeliver reports whether a datagram may be handed to QUIC now; others are dropped. Nil means always.
	mayDeliver func() bool
	buffers    sync.Pool
	// addresses is a direct-mapped cache that saves an allocation per datagram. Only ReadFrom, which one goroutine calls,
	// uses it.
	addresses [addressCacheSize]*net.UDPAddr
	inbound   chan packet
	closed    chan struct{}
	once      sync.Once
	// mu guards expired, which is closed when a read deadline in the past is set and replaced when the deadline is removed.
	mu      sync.Mutex
	expired chan struct{}
}

func newPacketConn(local netip.AddrPort, send func(netip.AddrPort, []byte)) *packetConn {
	c := &packetConn{
		local: local, send: send, inbound: make(chan packet, inboundQueueSize), closed: make(chan struct{}),
		expired: make(chan struct{}),
	}
	c.buffers.New = func() any { b := make([]byte, 0, initialBufferSize); return &b }
	return c
}

// deliver queues a copy of a datagram for QUIC. It returns false if the queue is full.
func (c *packetConn) deliver(caller netip.AddrPort, payload []byte) bool {
	b := c.buffers.Get().(*[]byte)
	*b = append((*b)[:0], payload...)
	select {
	case c.inbound <- packet{buffer: b, caller: caller}:
		return true
	default:
		c.buffers.Put(b)
		return false
	}
}

func (c *packetConn) address(caller netip.AddrPort) *net.UDPAddr {
	ip := caller.Addr().As16()
	slot := &c.addresses[(binary.LittleEndian.Uint32(ip[12:])*2654435761>>16^uint32(caller.Port()))%addressCacheSize]
	if *slot == nil || (*slot).AddrPort() != caller {
		*slot = net.UDPAddrFromAddrPort(caller)
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
			if c.mayDeliver == nil || c.mayDeliver() {
				return n, c.address(p.caller), nil
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
