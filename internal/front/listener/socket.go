package listener

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

	"github.com/peridotstage/peridotstage/internal/wire/encoder"
)

// socketBuffer is the size in bytes asked of the kernel for each direction of a socket. The default of about 200 KiB
// holds only some 150 full datagrams, too few for a burst of answers.
const socketBuffer = 4 << 20

// socket is a UDP socket that nbio polls. It reads and writes with raw system calls into preallocated memory, because the
// standard wrappers allocate an address for each datagram.
type socket struct {
	fd      int
	isIPv6  bool
	local   netip.AddrPort
	conn    *nbio.Conn
	receive receiver
	// mu is held for reading during a send, so that the descriptor is not closed and reused in the middle of it.
	mu     sync.RWMutex
	closed bool
}

// receiver takes the datagram that a scratch holds.
type receiver func(from netip.AddrPort, sc *scratch)

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

// openSockets opens n sockets that share one address, or none.
func openSockets(e *nbio.Engine, n int, local netip.AddrPort, receive receiver) ([]*socket, error) {
	var all []*socket
	for range n {
		s, err := openSocket(e, local, receive)
		if err != nil {
			closeAll(all)
			return nil, err
		}
		all = append(all, s)
	}
	return all, nil
}

func closeAll(all []*socket) {
	for _, s := range all {
		s.close()
	}
}

func openSocket(e *nbio.Engine, local netip.AddrPort, receive receiver) (*socket, error) {
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
	s := &socket{
		isIPv6: local.Addr().Is6() && !local.Addr().Is4In6(), local: local, conn: conn, receive: receive,
	}
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
	conn.SetSession(s)
	if _, err := e.AddConn(conn); err != nil {
		return nil, eris.Wrapf(err, "poll %s", local)
	}
	return s, nil
}

func (s *socket) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	_ = s.conn.Close()
}

// drain reads up to limit datagrams. The poller calls it again if more are waiting.
func (s *socket) drain(limit int, sc *scratch) {
	in := sc.buffer[encoder.HeaderSize:]
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
		sc.n = int(n)
		s.receive(addrPort(&from), sc)
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

// send writes one datagram. A datagram that the kernel does not take is lost, as it could be on the network.
func (s *socket) send(to netip.AddrPort, payload []byte) {
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

func (s *socket) sendTo(sa unsafe.Pointer, size uintptr, payload []byte) {
	for {
		_, _, errno := syscall.RawSyscall6(unix.SYS_SENDTO, uintptr(s.fd),
			uintptr(unsafe.Pointer(unsafe.SliceData(payload))), uintptr(len(payload)), unix.MSG_DONTWAIT,
			uintptr(sa), size)
		if errno != unix.EINTR {
			return
		}
	}
}
