// Package silencer is a TCP proxy whose open connections can go silent for good, as if a middlebox had lost track of them,
// while new connections work. The kernel drops every segment that arrives on a silent connection, so that neither data nor
// probes are acknowledged.
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

// Silencer is one proxy. The exported fields are set before Run.
type Silencer struct {
	Listen netip.AddrPort
	To     netip.AddrPort

	ln    net.Listener
	mu    sync.Mutex
	pairs []*pair
}

// pair is a connection and its continuation.
type pair struct {
	mu     sync.Mutex
	silent bool
	conns  [2]net.Conn
}

// Run starts the proxy. Close ends it.
func (s *Silencer) Run() error {
	// Probes of the proxy itself would be a sign of life.
	listen := net.ListenConfig{KeepAlive: -1}
	ln, err := listen.Listen(context.Background(), "tcp", s.Listen.String())
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	s.ln = ln
	go func() {
		for {
			in, err := ln.Accept()
			if err != nil {
				return
			}
			out, err := (&net.Dialer{KeepAlive: -1}).Dial("tcp", s.To.String())
			if err != nil {
				_ = in.Close()
				continue
			}
			p := &pair{conns: [2]net.Conn{in, out}}
			s.mu.Lock()
			s.pairs = append(s.pairs, p)
			s.mu.Unlock()
			go p.copy(in, out)
			go p.copy(out, in)
		}
	}()
	return nil
}

// copy carries bytes one way. A silent pair loses them, and the end of either side too.
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
			if _, werr := to.Write(b[:n]); werr != nil {
				err = werr
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

// Silence makes all open connections silent.
func (s *Silencer) Silence() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	var err error
	for _, p := range s.pairs {
		p.mu.Lock()
		p.silent = true
		p.mu.Unlock()
		for _, c := range p.conns {
			err = errors.Join(err, discard(c))
		}
	}
	return err
}

// discard makes the kernel drop what arrives on a connection, by a socket filter (socket(7)) that accepts no byte.
func discard(c net.Conn) error {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return eris.Errorf("%T is not a TCP connection", c)
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return eris.Wrap(err, "silence connection")
	}
	var failure error
	err = raw.Control(func(fd uintptr) {
		code := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K}
		failure = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &code})
	})
	// A connection that has ended meanwhile carries nothing either.
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return eris.Wrap(errors.Join(err, failure), "silence connection")
}

// Close ends the proxy and all connections.
func (s *Silencer) Close() {
	_ = s.ln.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.pairs {
		p.close()
	}
}
