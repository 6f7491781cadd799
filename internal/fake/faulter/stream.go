package faulter

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// copyBuffer is the size in bytes of the buffer for each direction of a connection.
const copyBuffer = 64 << 10

// Stream carries TCP connections, and can lose the bytes of either direction without closing anything, as a middlebox
// does that lost track of a connection. The exported fields are set before Run.
type Stream struct {
	// Address may have port 0; Run then replaces it by the port that it got.
	Address netip.AddrPort
	To      netip.AddrPort

	listener net.Listener
	mu       sync.Mutex
	// toServerCut and toClientCut lose the bytes of a direction on all connections.
	toServerCut, toClientCut bool
	// delay is how long bytes are held before they are passed on.
	delay  time.Duration
	pairs  map[*pair]struct{}
	closed bool
	wg     sync.WaitGroup
}

// pair is one connection with its two halves.
type pair struct {
	client, server net.Conn
	// forgotten pairs lose all bytes for good.
	forgotten bool
	// ended counts the directions whose sender has closed its end.
	ended int
}

// Run starts carrying connections. Close ends it.
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

// Close ends all connections.
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

// Cut loses the bytes of the given directions until it is called again. Bytes lost meanwhile do not come back, so a
// connection that carried any is broken for good.
func (s *Stream) Cut(toServer, toClient bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.toServerCut, s.toClientCut = toServer, toClient
}

// SetDelay holds all bytes for a time, in both directions.
func (s *Stream) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// Reset ends all connections with a TCP reset at both ends.
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

// Forget loses all further bytes of the connections that are open now. New connections work.
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

// Forgotten returns the number of forgotten connections that either end still holds open.
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
		s.wg.Go(func() { s.carry(p, server, client, &s.toServerCut) })
		s.wg.Go(func() { s.carry(p, client, server, &s.toClientCut) })
	}
}

func (p *pair) close() {
	_ = p.client.Close()
	_ = p.server.Close()
}

func (s *Stream) carry(p *pair, to, from net.Conn, cut *bool) {
	b := make([]byte, copyBuffer)
	for {
		n, err := from.Read(b)
		s.mu.Lock()
		lost, delay := *cut || p.forgotten, s.delay
		if err != nil {
			p.ended++
		}
		// While bytes are lost, an end does not learn that the other one is closed.
		if err != nil && (!lost || p.ended == 2) {
			p.close()
			delete(s.pairs, p)
		}
		s.mu.Unlock()
		if err != nil {
			return
		}
		if !lost {
			time.Sleep(delay)
			_, _ = to.Write(b[:n])
		}
	}
}
