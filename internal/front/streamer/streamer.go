// Package streamer is the UDP front end of entries and agents for stream flows, built on nbio. It carries out what packages
// steerer and admitter decide, and leaves packets as their senders wrote them.
package streamer

import (
	"net/netip"
	"sync"

	"github.com/lesismal/nbio"
	"github.com/rotisserie/eris"

	"github.com/peridotstage/peridotstage/internal/front/poller"
	"github.com/peridotstage/peridotstage/internal/route/carrier"
	"github.com/peridotstage/peridotstage/internal/wire/encoder"
)

const (
	// readBatch is the number of datagrams read from one socket before the poller looks at the others.
	readBatch = 64
	// maxPacket is the size in bytes of a buffer for one packet. Packets are at most a usual path MTU long.
	maxPacket = 2048
)

// Codec translates the packets of stream flows. It keeps no state.
type Codec interface {
	// Decode reads a packet. The payload of the segment is a part of the packet.
	Decode(packet []byte, s *carrier.Segment) error
	// AppendReset appends to b the packet that resets the flow of a caller's packet.
	AppendReset(b []byte, s *carrier.Segment) []byte
	// ClearReturned takes the mark of an upstream off a packet, which is then as the caller wrote it.
	ClearReturned(packet []byte)
	// RequestID returns the id of the request that begins in a payload; empty if there is none.
	RequestID(payload []byte) string
	// NotRun reports whether an answer that begins in a payload says that the upstream had no room for the request.
	NotRun(payload []byte) bool
}

// Observer is told about decisions. It is called for each of them, so it must not wait.
type Observer interface {
	// Dropped counts a packet that was not passed on.
	Dropped(reason string)
}

// buffer holds one datagram with room for a header in front of it.
type buffer struct {
	bytes   []byte
	segment carrier.Segment
	handle  func(from netip.AddrPort, b *buffer, n int)
}

// Take handles a datagram of n bytes.
func (b *buffer) Take(from netip.AddrPort, n int) { b.handle(from, b, n) }

// datagram returns the n bytes that were received.
func (b *buffer) datagram(n int) []byte { return b.bytes[encoder.HopHeaderSize:][:n] }

// wrapped returns the datagram of n bytes with a header in front.
func (b *buffer) wrapped(h carrier.HopHeader, n int) []byte {
	encoder.PutHop(b.bytes, h)
	return b.bytes[:encoder.HopHeaderSize+n]
}

// port is a polled socket with what is done with its datagrams.
type port struct {
	*poller.Socket
	handle func(from netip.AddrPort, b *buffer, n int)
}

// sockets polls the sockets of one process.
type sockets struct {
	engine  *nbio.Engine
	buffers sync.Pool
}

// start begins polling with one poller, since small machines have one core.
func (s *sockets) start(name string) error {
	s.buffers.New = func() any { return &buffer{bytes: make([]byte, encoder.HopHeaderSize+maxPacket)} }
	s.engine = nbio.NewEngine(nbio.Config{Name: name, NPoller: 1})
	s.engine.OnRead(func(c *nbio.Conn) {
		p, ok := c.Session().(*port)
		if !ok {
			return
		}
		b := s.buffers.Get().(*buffer)
		b.handle = p.handle
		p.Drain(readBatch, b.bytes[encoder.HopHeaderSize:], b)
		s.buffers.Put(b)
	})
	return eris.Wrap(s.engine.Start(), "start poller")
}

func bind(local netip.AddrPort, handle func(from netip.AddrPort, b *buffer, n int)) (*port, error) {
	socket, err := poller.Bind(local)
	return &port{Socket: socket, handle: handle}, err
}

// poll takes datagrams from now on.
func (s *sockets) poll(ports ...*port) error {
	for _, p := range ports {
		if err := p.Poll(s.engine, p); err != nil {
			return err
		}
	}
	return nil
}
