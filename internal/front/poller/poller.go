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

// socketBuffer is the size in bytes asked of the kernel for each direction of a socket. The default of about 200 KiB
// holds only some 150 full datagrams, too few for a burst of answers.
const socketBuffer = 4 << 20

// Socket is a UDP socket that nbio polls. It reads and writes with raw system calls into preallocated memory, because the
// standard wrappers allocate an address for each datagram.
type Socket struct {
	fd     int
	isIPv6 bool
	local  netip.AddrPort
	conn   *nbio.Conn
	// mu is held for reading during a send, so that the descriptor is not closed and reused in the middle of it.
	mu     sync.RWMutex
	closed bool
}

// Taker takes the datagrams that Drain reads.
type Taker interface {
	// Take handles a datagram of n bytes, which lies in the buffer given to Drain.
	Take(from netip.AddrPort, n int)
}

// reusePort lets several sockets share one address. The kernel spreads the datagrams over them by source address.
var reusePort = net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
	if err != nil {
		return err
	}
	return failure
}}

// Bind opens a socket. Several sockets may share one address. Poll has to follow.
func Bind(local netip.AddrPort) (*Socket, error) {
	packets, err := reusePort.ListenPacket(context.Background(), "udp", local.String())
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", local)
	}
	udp := packets.(*net.UDPConn)
	// The kernel may grant less; a smaller buffer costs only loss under bursts.
	_ = udp.SetReadBuffer(socketBuffer)
	_ = udp.SetWriteBuffer(socketBuffer)
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

// Poll lets an engine report the socket as readable. The engine's connection has the given session.
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

// Drain reads up to limit datagrams into in, one after the other. The poller calls it again if more are waiting.
func (s *Socket) Drain(limit int, in []byte, t Taker) {
	for range limit {
		var from unix.RawSockaddrInet6
		size := uint32(unsafe.Sizeof(from))
		n, _, errno := syscall.RawSyscall6(unix.SYS_RECVFROM, uintptr(s.fd),
			uintptr(unsafe.Pointer(unsafe.SliceData(in))), uintptr(len(in)), unix.MSG_DONTWAIT,
			uintptr(unsafe.Pointer(&from)), uintptr(unsafe.Pointer(&size)))
		if errno == unix.EINTR {
			continue
		}
		if errno != 0 {
			return
		}
		t.Take(addrPort(&from), int(n))
	}
}

func addrPort(sa *unix.RawSockaddrInet6) netip.AddrPort {
	port := uint16(sa.Port)<<8 | uint16(sa.Port)>>8
	if sa.Family == unix.AF_INET {
		sa4 := (*unix.RawSockaddrInet4)(unsafe.Pointer(sa))
		return netip.AddrPortFrom(netip.AddrFrom4(sa4.Addr), port)
	}
	return netip.AddrPortFrom(netip.AddrFrom16(sa.Addr).Unmap(), port)
}

// Send writes one datagram. A datagram that the kernel does not take is lost, as it could be on the network.
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
