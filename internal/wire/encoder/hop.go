package encoder

import (
	"encoding/binary"

	"github.com/rotisserie/eris"

	"github.com/peridotstage/peridotstage/internal/route/carrier"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// ErrHop means that a datagram about a stream flow has an unknown kind or version.
var ErrHop = eris.New("unknown hop datagram")

const (
	// hopVersion is the version of the format, in the upper half of the first byte.
	hopVersion = 1 << 4
	kindMask   = 1<<4 - 1
	// HopHeaderSize is the length in bytes of the header before a packet.
	HopHeaderSize = 8
	// searchingFlag is a bit of the byte that holds the reason.
	searchingFlag = 0x80
	// reportSize is the length in bytes of a report behind its header.
	reportSize    = 12
	acceptingFlag = 1
	coldFlag      = 2
)

// PutHop writes a header to the first HopHeaderSize bytes of b.
func PutHop(b []byte, h carrier.HopHeader) {
	b[0] = hopVersion | byte(h.Kind)
	b[1] = h.Step
	b[2] = byte(h.Reason)
	if h.Searching {
		b[2] |= searchingFlag
	}
	b[3] = 0
	binary.BigEndian.PutUint32(b[4:], uint32(h.Service))
}

// appendHop appends a header to b.
func appendHop(b []byte, h carrier.HopHeader) []byte {
	b = append(b, make([]byte, HopHeaderSize)...)
	PutHop(b[len(b)-HopHeaderSize:], h)
	return b
}

// ParseHop returns the header of a datagram and what follows it, which is a part of b.
func ParseHop(b []byte) (h carrier.HopHeader, rest []byte, err error) {
	if len(b) < HopHeaderSize {
		return h, nil, ErrShort
	}
	h = carrier.HopHeader{
		Kind: carrier.HopKind(b[0] & kindMask), Step: b[1], Reason: carrier.ReturnReason(b[2] &^ searchingFlag),
		Searching: b[2]&searchingFlag != 0, Service: carrier.ServiceTag(binary.BigEndian.Uint32(b[4:])),
	}
	if b[0]&^kindMask != hopVersion || h.Kind < carrier.HopPass || h.Kind > carrier.HopReport {
		return h, nil, ErrHop
	}
	return h, b[HopHeaderSize:], nil
}

// AppendHeld appends to b a datagram which says that an agent holds a flow.
func AppendHeld(b []byte, service carrier.ServiceTag, f registrar.Flow) []byte {
	b = appendHop(b, carrier.HopHeader{Kind: carrier.HopHeld, Service: service})
	return appendAddrPort(appendAddrPort(b, f.Caller), f.Service)
}

// ParseHeld returns the flow behind a header.
func ParseHeld(rest []byte) (registrar.Flow, error) {
	if len(rest) < 2*addrPortSize {
		return registrar.Flow{}, ErrShort
	}
	return registrar.Flow{Caller: parseAddrPort(rest), Service: parseAddrPort(rest[addrPortSize:])}, nil
}

// AppendReport appends a report datagram to b.
func AppendReport(b []byte, r carrier.LoadReport) []byte {
	b = appendHop(b, carrier.HopHeader{Kind: carrier.HopReport, Service: r.Service})
	var flags byte
	if r.Accepting {
		flags |= acceptingFlag
	}
	if r.Cold {
		flags |= coldFlag
	}
	b = append(b, flags, 0)
	b = binary.BigEndian.AppendUint16(b, r.Busy)
	b = binary.BigEndian.AppendUint16(b, r.Slots)
	b = binary.BigEndian.AppendUint16(b, r.Allowance)
	return binary.BigEndian.AppendUint32(b, r.WorkMicros)
}

// ParseReport returns the report behind a header.
func ParseReport(h carrier.HopHeader, rest []byte) (carrier.LoadReport, error) {
	if len(rest) < reportSize {
		return carrier.LoadReport{}, ErrShort
	}
	return carrier.LoadReport{
		Service: h.Service, Accepting: rest[0]&acceptingFlag != 0, Cold: rest[0]&coldFlag != 0,
		Busy: binary.BigEndian.Uint16(rest[2:]), Slots: binary.BigEndian.Uint16(rest[4:]),
		Allowance: binary.BigEndian.Uint16(rest[6:]), WorkMicros: binary.BigEndian.Uint32(rest[8:]),
	}, nil
}
