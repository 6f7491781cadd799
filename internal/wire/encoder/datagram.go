// Package encoder translates between typed values and the formats that travel between machines.
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
	// ErrTag means that a datagram was not sealed with the data key.
	ErrTag = eris.New("datagram has a wrong tag")
)

// DatagramVersion is the version of the datagram header.
const DatagramVersion = 2

// Key authenticates datagrams between machines.
type Key struct{ K0, K1 uint64 }

const (
	fixedSize    = 4 + 4 + 4 + 8
	addrPortSize = 16 + 2
	// TagSize is the length in bytes of the tag that ends a header.
	TagSize   = 16
	askedSize = 4
	// HeaderSize is the length in bytes of a header before the payload while no agent has passed the datagram on. Each
	// agent that does adds its upstream id of 4 bytes after the tag.
	HeaderSize = fixedSize + 3*addrPortSize + TagSize
	// MaxHeaderSize is the length in bytes of the longest header.
	MaxHeaderSize = HeaderSize + carrier.MaxAsked*askedSize
	tagAt         = HeaderSize - TagSize
)

// AppendDatagram appends the sealed header and the payload to b.
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
		b = binary.BigEndian.AppendUint32(b, uint32(h.Asked(i)))
	}
	b = append(b, payload...)
	seal(k, b[start:])
	return b
}

// seal writes the tag over the header and the payload, with the tag field itself taken as zero.
func seal(k Key, d []byte) {
	h0, h1 := siphash.Hash128(k.K0, k.K1, d)
	binary.BigEndian.PutUint64(d[tagAt:], h0)
	binary.BigEndian.PutUint64(d[tagAt+8:], h1)
}

// Keyring holds the keys that are valid at the same time while keys rotate. All of them verify; the first one seals.
type Keyring struct {
	keys atomic.Pointer[[]Key]
}

// NewKeyring returns a ring with the given keys.
func NewKeyring(keys ...Key) *Keyring {
	r := &Keyring{}
	r.Replace(keys)
	return r
}

// Replace puts other keys into the ring.
func (r *Keyring) Replace(keys []Key) { r.keys.Store(&keys) }

// Append appends the header, sealed with the first key, and the payload to b.
func (r *Keyring) Append(b []byte, h *carrier.Header, payload []byte) []byte {
	return AppendDatagram(b, (*r.keys.Load())[0], h, payload)
}

// Parse verifies a datagram with any of the keys, fills h and returns the payload, which is a part of d. It zeroes the tag in
// d.
func (r *Keyring) Parse(d []byte, h *carrier.Header) ([]byte, error) {
	if len(d) < HeaderSize {
		return nil, ErrShort
	}
	if d[0] != DatagramVersion {
		return nil, carrier.ErrVersion
	}
	t0 := binary.BigEndian.Uint64(d[tagAt:])
	t1 := binary.BigEndian.Uint64(d[tagAt+8:])
	clear(d[tagAt:HeaderSize])
	if !verify(d, *r.keys.Load(), t0, t1) {
		return nil, ErrTag
	}
	payloadAt := HeaderSize + int(d[2])*askedSize
	if d[2] > carrier.MaxAsked || len(d) < payloadAt {
		return nil, ErrShort
	}
	h.Kind, h.Flags = carrier.Kind(d[1]), carrier.Flags(d[3])
	h.ResetAsked()
	for at := HeaderSize; at < payloadAt; at += askedSize {
		h.AddAsked(registrar.UpstreamID(binary.BigEndian.Uint32(d[at:])))
	}
	h.Service = registrar.ServiceID(binary.BigEndian.Uint32(d[4:]))
	h.Target = registrar.UpstreamID(binary.BigEndian.Uint32(d[8:]))
	h.Revision = registrar.Revision(binary.BigEndian.Uint64(d[12:]))
	h.Flow.Caller = parseAddrPort(d[fixedSize:])
	h.Flow.Service = parseAddrPort(d[fixedSize+addrPortSize:])
	h.Entry = parseAddrPort(d[fixedSize+2*addrPortSize:])
	return d[payloadAt:], nil
}

// verify reports whether one of the keys yields the tag t0, t1.
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
