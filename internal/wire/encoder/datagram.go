// Package encoder translates between typed values and the formats in which machines exchange them.
package encoder

import (
	"encoding/binary"
	"net/netip"
	"sync/atomic"

	"github.com/dchest/siphash"
	"github.com/rotisserie/eris"

	"github.com/peridotstage/peridotstage/internal/route/carrier"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// Errors of the datagram format.
var (
	// ErrShort means that a datagram ends before its header does.
	ErrShort = eris.New("datagram is too short")
	// ErrTag means that the authentication tag of a datagram matches none of the data keys.
	ErrTag = eris.New("datagram has an invalid authentication tag")
)

// DatagramVersion is the version of the datagram header.
const DatagramVersion = 2

// Key is a SipHash key that authenticates datagrams between machines.
type Key struct{ K0, K1 uint64 }

const (
	// fixedFieldsSize is the length in bytes of the version, kind, hop count, flags, service, target and revision.
	fixedFieldsSize = 4 + 4 + 4 + 8
	// addrPortSize is the length in bytes of an encoded IP address and port.
	addrPortSize = 16 + 2
	// TagSize is the length in bytes of the authentication tag, a SipHash of 128 bits.
	TagSize = 16
	// upstreamIDSize is the length in bytes of the upstream id that each forwarding agent adds to the header.
	upstreamIDSize = 4
	// HeaderSize is the length in bytes of the header of a datagram that no agent has forwarded. Each agent that forwards the
	// datagram adds its upstream id after the tag.
	HeaderSize = fixedFieldsSize + 3*addrPortSize + TagSize
	// MaxHeaderSize is the length in bytes of the header of a datagram that agents have forwarded carrier.MaxHops times.
	MaxHeaderSize = HeaderSize + carrier.MaxHops*upstreamIDSize
	tagOffset     = HeaderSize - TagSize
)

// AppendDatagram appends the header and the payload to b and writes the authentication tag into the header.
func AppendDatagram(b []byte, k Key, h *carrier.Header, payload []byte) []byte {
	start := len(b)
	b = append(b, DatagramVersion, byte(h.Kind), byte(h.Hops()), byte(h.Flags))
	b = binary.BigEndian.AppendUint32(b, uint32(h.Service))
	b = binary.BigEndian.AppendUint32(b, uint32(h.Target))
	b = binary.BigEndian.AppendUint64(b, uint64(h.Revision))
	b = appendAddrPort(b, h.Flow.Caller)
	b = appendAddrPort(b, h.Flow.Service)
	b = appendAddrPort(b, h.Entry)
	b = append(b, make([]byte, TagSize)...)
	for i := range h.Hops() {
		b = binary.BigEndian.AppendUint32(b, uint32(h.VisitedAt(i)))
	}
	b = append(b, payload...)
	seal(k, b[start:])
	return b
}

// seal computes the tag over the header and the payload and writes it into the header. The bytes of the tag must be zero
// when seal is called, because the tag covers them and Parse zeroes them before it verifies the tag.
func seal(k Key, d []byte) {
	h0, h1 := siphash.Hash128(k.K0, k.K1, d)
	binary.BigEndian.PutUint64(d[tagOffset:], h0)
	binary.BigEndian.PutUint64(d[tagOffset+8:], h1)
}

// Keyring holds the keys that are valid during a key rotation. Sent datagrams are authenticated with the first key. A received
// datagram is valid if its tag matches any of the keys.
type Keyring struct {
	keys atomic.Pointer[[]Key]
}

// NewKeyring returns a key ring with the given keys.
func NewKeyring(keys ...Key) *Keyring {
	r := &Keyring{}
	r.Replace(keys)
	return r
}

// Replace replaces all keys of the ring.
func (r *Keyring) Replace(keys []Key) { r.keys.Store(&keys) }

// Append appends the header and the payload to b, with a tag computed with the first key.
func (r *Keyring) Append(b []byte, h *carrier.Header, payload []byte) []byte {
	return AppendDatagram(b, (*r.keys.Load())[0], h, payload)
}

// Parse verifies a datagram with any of the keys, decodes its header into h and returns the payload, which is a subslice of d.
// It zeroes the tag in d.
func (r *Keyring) Parse(d []byte, h *carrier.Header) ([]byte, error) {
	if len(d) < HeaderSize {
		return nil, ErrShort
	}
	if d[0] != DatagramVersion {
		return nil, carrier.ErrVersion
	}
	t0 := binary.BigEndian.Uint64(d[tagOffset:])
	t1 := binary.BigEndian.Uint64(d[tagOffset+8:])
	clear(d[tagOffset:HeaderSize])
	if !verify(d, *r.keys.Load(), t0, t1) {
		return nil, ErrTag
	}
	payloadOffset := HeaderSize + int(d[2])*upstreamIDSize
	if d[2] > carrier.MaxHops || len(d) < payloadOffset {
		return nil, ErrShort
	}
	h.Kind, h.Flags = carrier.Kind(d[1]), carrier.Flags(d[3])
	h.ResetVisited()
	for offset := HeaderSize; offset < payloadOffset; offset += upstreamIDSize {
		h.AddVisited(registrar.UpstreamID(binary.BigEndian.Uint32(d[offset:])))
	}
	h.Service = registrar.ServiceID(binary.BigEndian.Uint32(d[4:]))
	h.Target = registrar.UpstreamID(binary.BigEndian.Uint32(d[8:]))
	h.Revision = registrar.Revision(binary.BigEndian.Uint64(d[12:]))
	h.Flow.Caller = parseAddrPort(d[fixedFieldsSize:])
	h.Flow.Service = parseAddrPort(d[fixedFieldsSize+addrPortSize:])
	h.Entry = parseAddrPort(d[fixedFieldsSize+2*addrPortSize:])
	return d[payloadOffset:], nil
}

// verify reports whether the tag of d computed with any of the keys equals the received tag, whose halves are t0 and t1.
func verify(d []byte, keys []Key, t0, t1 uint64) bool {
	for _, k := range keys {
		if h0, h1 := siphash.Hash128(k.K0, k.K1, d); (h0^t0)|(h1^t1) == 0 {
			return true
		}
	}
	return false
}

func appendAddrPort(b []byte, a netip.AddrPort) []byte {
	ip := a.Addr().As16()
	b = append(b, ip[:]...)
	return binary.BigEndian.AppendUint16(b, a.Port())
}

func parseAddrPort(b []byte) netip.AddrPort {
	ip := netip.AddrFrom16([16]byte(b[:16])).Unmap()
	return netip.AddrPortFrom(ip, binary.BigEndian.Uint16(b[16:]))
}
