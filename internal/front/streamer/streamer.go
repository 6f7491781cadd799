// Package streamer is the UDP front end of entries and agents for stream flows, built on nbio. It carries out the
// decisions of packages steerer and admitter, and forwards packets unchanged.
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
	// ClearReturned removes the mark that an upstream set on a packet, which restores the packet that the caller sent.
	ClearReturned(packet []byte)
	// RequestID returns the id of the request that begins in a payload, or an empty string if none begins there.
	RequestID(payload []byte) string
	// Outcome returns what the answer that begins in a payload says about the request.
	Outcome(payload []byte) carrier.Outcome
}

// Observer counts dropped packets. Its method is called while a packet is handled, so a call that blocks delays the packets
// behind it.
type Observer interface {
	// Dropped counts a packet that was not forwarded.
	Dropped(reason string)
}

// buffer holds one datagram with room for a header in front of it.
type buffer struct {
	bytes   []byte
	segment carrier.Segment
	handle  func(from netip.AddrPort, b *buffer, n int)
}

// newBuffer returns a new buffer, for a pool.
func newBuffer() any { return &buffer{bytes: make([]byte, encoder.HopHeaderSize+maxPacket)} }

// HandleDatagram handles a datagram of n bytes.
func (b *buffer) HandleDatagram(from netip.AddrPort, n int) { b.handle(from, b, n) }

// datagram returns the n bytes that were received.
func (b *buffer) datagram(n int) []byte { return b.bytes[encoder.HopHeaderSize:][:n] }

// withHeader writes a header in front of the datagram of n bytes and returns both.
func (b *buffer) withHeader(h carrier.HopHeader, n int) []byte {
	encoder.PutHop(b.bytes, h)
	return b.bytes[:encoder.HopHeaderSize+n]
}

// socket is a polled socket with the handler of its datagrams.
type socket struct {
	*poller.Socket
	handle func(from netip.AddrPort, b *buffer, n int)
}

// sockets holds the poller of all sockets of one process, and the buffers to receive into.
type sockets struct {
	engine  *nbio.Engine
	buffers sync.Pool
}

// start starts receiving on bound sockets, with a single poller, because small machines have one core. Sockets are bound before, since
// that may fail: if an engine is stopped just after its start, its poller spins and never ends.
func (s *sockets) start(name string, bound ...*socket) error {
	s.buffers.New = newBuffer
	s.engine = nbio.NewEngine(nbio.Config{Name: name, NPoller: 1})
	s.engine.OnRead(func(c *nbio.Conn) {
		p, ok := c.Session().(*socket)
		if !ok {
			return
		}
		b := s.buffers.Get().(*buffer)
		b.handle = p.handle
		p.Drain(readBatch, b.bytes[encoder.HopHeaderSize:], b)
		s.buffers.Put(b)
	})
	if err := s.engine.Start(); err != nil {
		return eris.Wrap(err, "start poller")
	}
	for _, p := range bound {
		if err := p.Poll(s.engine, p); err != nil {
			return err
		}
	}
	return nil
}

// bind opens a socket whose datagrams go to handle. The handler is called only after start.
func bind(local netip.AddrPort, handle func(from netip.AddrPort, b *buffer, n int)) (*socket, error) {
	polled, err := poller.Bind(local)
	return &socket{Socket: polled, handle: handle}, err
}
