package responder

import (
	"crypto/rand"
	"encoding/binary"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"

	"github.com/peridotstage/peridotstage/internal/route/stamper"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// connections is the set of open QUIC connections. The zero value is ready for use.
type connections struct {
	mu   sync.Mutex
	open map[*quic.Conn]*ackMonitor
}

func (s *connections) add(c *quic.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == nil {
		s.open = map[*quic.Conn]*ackMonitor{}
	}
	s.open[c] = &ackMonitor{}
}

func (s *connections) remove(c *quic.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
}

// closeIf closes the connections whose caller address matches.
func (s *connections) closeIf(match func(netip.Addr) bool) {
	s.mu.Lock()
	var matching []*quic.Conn
	for c := range s.open {
		if a, ok := c.RemoteAddr().(*net.UDPAddr); ok && match(a.AddrPort().Addr().Unmap()) {
			matching = append(matching, c)
		}
	}
	s.mu.Unlock()
	for _, c := range matching {
		_ = c.CloseWithError(errorCodeCut, "customer is cut off")
	}
}

// nonceSource returns values that are unique within a process. A random start makes repeats between processes unlikely.
type nonceSource struct {
	next atomic.Uint64
}

func (n *nonceSource) seed() error {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return eris.Wrap(err, "seed nonce")
	}
	n.next.Store(binary.BigEndian.Uint64(b[:]))
	return nil
}

// idGenerator issues connection ids that contain the id of the agent's upstream.
type idGenerator struct {
	stamper  *stamper.Stamper
	upstream *atomic.Uint32
	nonce    *nonceSource
}

// GenerateConnectionID returns a new connection id.
func (g *idGenerator) GenerateConnectionID() (quic.ConnectionID, error) {
	var b [stamper.Size]byte
	if err := g.stamper.Stamp(b[:], registrar.UpstreamID(g.upstream.Load()), g.nonce.next.Add(1)); err != nil {
		return quic.ConnectionID{}, err
	}
	return quic.ConnectionIDFromBytes(b[:]), nil
}

// ConnectionIDLen returns the length of connection ids in bytes.
func (g *idGenerator) ConnectionIDLen() int { return stamper.Size }
