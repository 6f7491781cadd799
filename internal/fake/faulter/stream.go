package faulter

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// copyBufferBytes is the size of the buffer for each direction of a connection.
const copyBufferBytes = 64 << 10

// Stream proxies TCP connections. It can discard the bytes of either direction without closing a connection, like a
// middlebox that has lost its connection state. The exported fields must be set before Run.
type Stream struct {
	// Address is where the proxy listens. If its port is 0, Run replaces it with the port that the system assigned.
	Address netip.AddrPort
	// To is the address of the server.
	To netip.AddrPort

	listener net.Listener
	mu       sync.Mutex
	// toServerCut and toClientCut discard the bytes of one direction on all connections.
	toServerCut, toClientCut bool
	// delay is the time between receiving and forwarding bytes.
	delay  time.Duration
	pairs  map[*pair]struct{}
	closed bool
	wg     sync.WaitGroup
}

// pair holds a connection from a client and the corresponding connection to the server.
type pair struct {
	client, server net.Conn
	// forgotten is set once all further bytes of both directions are discarded.
	forgotten bool
	// ended is the number of directions, 0 to 2, whose sender has closed its connection.
	ended int
}

// Run starts accepting connections. Close stops it.
func (s *Stream) Run() error {
	l, err := net.Listen("tcp", s.Address.String())
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	s.listener = l
	s.Address = l.Addr().(*net.TCPAddr).AddrPort()
	s.pairs = map[*pair]struct{}{}
	s.wg.Go(s.accept)
	return nil
}

// Close closes the listener and all connections.
func (s *Stream) Close() {
	s.mu.Lock()
	s.closed = true
	_ = s.listener.Close()
	for p := range s.pairs {
		p.close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

// Cut discards the bytes of the given directions until Cut is called again. Discarded bytes are not retransmitted, so a
// connection stays unusable after any of its bytes have been discarded.
func (s *Stream) Cut(toServer, toClient bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.toServerCut, s.toClientCut = toServer, toClient
}

// SetDelay sets the delay of all bytes in both directions.
func (s *Stream) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// Reset closes all connections with a TCP reset to both the client and the server.
func (s *Stream) Reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for p := range s.pairs {
		for _, c := range []net.Conn{p.client, p.server} {
			if t, ok := c.(*net.TCPConn); ok {
				_ = t.SetLinger(0)
			}
		}
		p.close()
	}
}

// Forget discards all further bytes of the open connections. New connections are not affected.
func (s *Stream) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for p := range s.pairs {
		p.forgotten = true
	}
}

// Open returns the number of open connections.
func (s *Stream) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.pairs)
}

// Forgotten returns the number of forgotten connections that the client or the server still keeps open.
func (s *Stream) Forgotten() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for p := range s.pairs {
		if p.forgotten {
			n++
		}
	}
	return n
}

func (s *Stream) accept() {
	for {
		client, err := s.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", s.To.String())
		if err != nil {
			_ = client.Close()
			continue
		}
		s.mu.Lock()
		p := &pair{client: client, server: server}
		s.pairs[p] = struct{}{}
		if s.closed {
			p.close()
		}
		s.mu.Unlock()
		s.wg.Go(func() { s.forward(p, server, client, &s.toServerCut) })
		s.wg.Go(func() { s.forward(p, client, server, &s.toClientCut) })
	}
}

func (p *pair) close() {
	_ = p.client.Close()
	_ = p.server.Close()
}

// forward copies the bytes of one direction until its sender closes the connection. cut points to the field of s that tells
// whether the bytes of this direction are discarded. It is guarded by s.mu.
func (s *Stream) forward(p *pair, to, from net.Conn, cut *bool) {
	b := make([]byte, copyBufferBytes)
	for {
		n, err := from.Read(b)
		s.mu.Lock()
		discarding, delay := *cut || p.forgotten, s.delay
		if err != nil {
			p.ended++
		}
		// While bytes are discarded, neither side learns that the other one has closed its connection.
		if err != nil && (!discarding || p.ended == 2) {
			p.close()
			delete(s.pairs, p)
		}
		s.mu.Unlock()
		if err != nil {
			return
		}
		if !discarding {
			time.Sleep(delay)
			_, _ = to.Write(b[:n])
		}
	}
}
