// Package silencer provides a TCP proxy that can silence its open connections permanently, like a middlebox that has lost its
// connection state, while new connections work. The kernel drops every segment that arrives on a silenced connection, so that
// neither data nor keepalive probes are acknowledged.
package silencer

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// Silencer is a TCP proxy. The exported fields must be set before Run.
type Silencer struct {
	// Listen is the address on which the proxy accepts connections.
	Listen netip.AddrPort
	// To is the address of the server.
	To netip.AddrPort

	ln    net.Listener
	mu    sync.Mutex
	pairs []*pair
}

// pair holds a connection from a client and the corresponding connection to the server.
type pair struct {
	mu     sync.Mutex
	silent bool
	conns  [2]net.Conn
}

// Run starts the proxy. Close stops it.
func (s *Silencer) Run() error {
	// Keepalive probes sent by the proxy would show the peers that the connection is alive, so they are disabled.
	listen := net.ListenConfig{KeepAlive: -1}
	ln, err := listen.Listen(context.Background(), "tcp", s.Listen.String())
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	s.ln = ln
	go func() {
		for {
			client, err := ln.Accept()
			if err != nil {
				return
			}
			server, err := (&net.Dialer{KeepAlive: -1}).Dial("tcp", s.To.String())
			if err != nil {
				_ = client.Close()
				continue
			}
			p := &pair{conns: [2]net.Conn{client, server}}
			s.mu.Lock()
			s.pairs = append(s.pairs, p)
			s.mu.Unlock()
			go p.copy(client, server)
			go p.copy(server, client)
		}
	}()
	return nil
}

// copy forwards the bytes of one direction. On a silenced pair it discards them, and does not forward the close of either
// side.
func (p *pair) copy(to io.Writer, from io.Reader) {
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		p.mu.Lock()
		silent := p.silent
		p.mu.Unlock()
		if silent && err == nil {
			continue
		}
		if n > 0 && !silent {
			if _, writeErr := to.Write(b[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			if !silent {
				p.close()
			}
			return
		}
	}
}

func (p *pair) close() {
	for _, c := range p.conns {
		_ = c.Close()
	}
}

// Silence silences all open connections permanently.
func (s *Silencer) Silence() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	var err error
	for _, p := range s.pairs {
		p.mu.Lock()
		p.silent = true
		p.mu.Unlock()
		for _, c := range p.conns {
			err = errors.Join(err, dropSegments(c))
		}
	}
	return err
}

// dropSegments makes the kernel drop all segments that arrive on a connection, with a socket filter (socket(7)) that
// accepts no bytes.
func dropSegments(c net.Conn) error {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return eris.Errorf("%T is not a TCP connection", c)
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return eris.Wrap(err, "silence connection")
	}
	var setErr error
	err = raw.Control(func(fd uintptr) {
		code := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K}
		setErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &code})
	})
	// A connection that has already been closed carries no more data, so it needs no filter.
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return eris.Wrap(errors.Join(err, setErr), "silence connection")
}

// Close stops the proxy and closes all connections.
func (s *Silencer) Close() {
	_ = s.ln.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.pairs {
		p.close()
	}
}
