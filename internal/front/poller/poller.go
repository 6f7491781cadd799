// Package poller holds UDP sockets that an nbio engine polls.
package poller

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"unsafe"

	"github.com/lesismal/nbio"
	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// socketBufferSize is the size in bytes of the buffer that is requested from the kernel for each direction of a socket. The
// default of about 200 KiB holds only some 150 full datagrams, too few for a burst of answers.
const socketBufferSize = 4 << 20

// Socket is a UDP socket that nbio polls. It reads and writes with raw system calls into preallocated memory, because the
// standard wrappers allocate an address for each datagram.
type Socket struct {
	fd     int
	isIPv6 bool
	local  netip.AddrPort
	conn   *nbio.Conn
	// mu is read-locked during a send, so that the descriptor is not closed and reused meanwhile.
	mu     sync.RWMutex
	closed bool
}

// DatagramHandler handles the datagrams that Drain reads.
type DatagramHandler interface {
	// HandleDatagram handles a datagram of n bytes, which are at the start of the buffer given to Drain.
	HandleDatagram(from netip.AddrPort, n int)
}

// reusePort lets several sockets share one address. The kernel distributes the datagrams among them by source address.
var reusePort = net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
	if err != nil {
		return err
	}
	return optionErr
}}

// Bind opens a socket. Several sockets may share one address. Datagrams are read only after a call of Poll.
func Bind(local netip.AddrPort) (*Socket, error) {
	packetConn, err := reusePort.ListenPacket(context.Background(), "udp", local.String())
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", local)
	}
	udp := packetConn.(*net.UDPConn)
	// The kernel may grant less than requested. A smaller buffer only loses datagrams in bursts, so errors are ignored.
	_ = udp.SetReadBuffer(socketBufferSize)
	_ = udp.SetWriteBuffer(socketBufferSize)
	local = udp.LocalAddr().(*net.UDPAddr).AddrPort()
	conn, err := nbio.NBConn(udp)
	if err != nil {
		return nil, eris.Wrapf(err, "prepare %s", local)
	}
	s := &Socket{isIPv6: local.Addr().Is6() && !local.Addr().Is4In6(), local: local, conn: conn}
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, eris.Wrapf(err, "prepare %s", local)
	}
	if err := raw.Control(func(fd uintptr) { s.fd = int(fd) }); err != nil {
		return nil, eris.Wrapf(err, "prepare %s", local)
	}
	if err := unix.SetNonblock(s.fd, true); err != nil {
		return nil, eris.Wrapf(err, "prepare %s", local)
	}
	return s, nil
}

// Poll registers the socket with an engine, which then reports when it is readable. Session returns the given session on the
// engine's connection.
func (s *Socket) Poll(e *nbio.Engine, session any) error {
	s.conn.SetSession(session)
	_, err := e.AddConn(s.conn)
	return eris.Wrapf(err, "poll %s", s.local)
}

// Local returns the address that the socket is bound to.
func (s *Socket) Local() netip.AddrPort { return s.local }

// Close closes the socket. Datagrams sent later are dropped.
func (s *Socket) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	_ = s.conn.Close()
}

// Drain reads up to limit datagrams into buf, one after the other, and passes each to handler. The engine reports the socket as
// readable again if more are waiting.
func (s *Socket) Drain(limit int, buf []byte, handler DatagramHandler) {
	for range limit {
		var from unix.RawSockaddrInet6
		size := uint32(unsafe.Sizeof(from))
		n, _, errno := syscall.RawSyscall6(unix.SYS_RECVFROM, uintptr(s.fd),
			uintptr(unsafe.Pointer(unsafe.SliceData(buf))), uintptr(len(buf)), unix.MSG_DONTWAIT,
			uintptr(unsafe.Pointer(&from)), uintptr(unsafe.Pointer(&size)))
		if errno == unix.EINTR {
			continue
		}
		if errno != 0 {
			return
		}
		handler.HandleDatagram(addrPort(&from), int(n))
	}
}

// addrPort converts a socket address of the kernel, whose port is in network byte order.
func addrPort(sa *unix.RawSockaddrInet6) netip.AddrPort {
	port := uint16(sa.Port)<<8 | uint16(sa.Port)>>8
	if sa.Family == unix.AF_INET {
		sa4 := (*unix.RawSockaddrInet4)(unsafe.Pointer(sa))
		return netip.AddrPortFrom(netip.AddrFrom4(sa4.Addr), port)
	}
	return netip.AddrPortFrom(netip.AddrFrom16(sa.Addr).Unmap(), port)
}

// Send sends one datagram. It drops a datagram that the kernel does not accept, because the network may lose datagrams as well.
func (s *Socket) Send(to netip.AddrPort, payload []byte) {
	if len(payload) == 0 || !to.IsValid() {
		return
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.closed {
		return
	}
	port := to.Port()<<8 | to.Port()>>8
	if !s.isIPv6 {
		sa := unix.RawSockaddrInet4{Family: unix.AF_INET, Port: port, Addr: to.Addr().Unmap().As4()}
		s.sendTo(unsafe.Pointer(&sa), unsafe.Sizeof(sa), payload)
		return
	}
	sa := unix.RawSockaddrInet6{Family: unix.AF_INET6, Port: port, Addr: to.Addr().As16()}
	s.sendTo(unsafe.Pointer(&sa), unsafe.Sizeof(sa), payload)
}

func (s *Socket) sendTo(sa unsafe.Pointer, size uintptr, payload []byte) {
	for {
		_, _, errno := syscall.RawSyscall6(unix.SYS_SENDTO, uintptr(s.fd),
			uintptr(unsafe.Pointer(unsafe.SliceData(payload))), uintptr(len(payload)), unix.MSG_DONTWAIT,
			uintptr(sa), size)
		if errno != unix.EINTR {
			return
		}
	}
}
