package encoder

import (
	"encoding/binary"

	"github.com/rotisserie/eris"

	"github.com/peridotstage/peridotstage/internal/route/carrier"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// ErrHop means that a hop datagram, which carries a packet of a stream flow or a message about one, has an unknown kind or
// version.
var ErrHop = eris.New("hop datagram has an unknown kind or version")

const (
	// hopVersion is version 1 of the format, stored in the upper four bits of the first byte.
	hopVersion = 1 << 4
	// kindMask selects the lower four bits of the first byte, which hold the kind.
	kindMask = 1<<4 - 1
	// HopHeaderSize is the length in bytes of the header of a hop datagram.
	HopHeaderSize = 8
	// searchingFlag is the bit for HopHeader.Searching in the third byte, which also holds the return reason.
	searchingFlag = 0x80
	// probeFlag is the bit for HopHeader.Probe in the fourth byte, which earlier versions send as 0 and do not read. The bits above it
	// hold HopHeader.ReportTicks.
	probeFlag         = 1
	reportTicksOffset = 1
	// reportSize is the length in bytes of a load report without the header.
	reportSize = 12
	// acceptingFlag, coldFlag and probeDueFlag are the bits for the flags of a LoadReport in the first byte of a load report. The
	// second byte is the share of failed requests, which earlier versions send as 0 and do not read.
	acceptingFlag = 1
	coldFlag      = 2
	probeDueFlag  = 4
)

// PutHop encodes a header into the first HopHeaderSize bytes of b.
func PutHop(b []byte, h carrier.HopHeader) {
	b[0] = hopVersion | byte(h.Kind)
	b[1] = h.Step
	b[2] = byte(h.Reason)
	if h.Searching {
		b[2] |= searchingFlag
	}
	b[3] = byte(h.ReportTicks) << reportTicksOffset
	if h.Probe {
		b[3] |= probeFlag
	}
	binary.BigEndian.PutUint32(b[4:], uint32(h.Service))
}

// appendHop appends a header to b.
func appendHop(b []byte, h carrier.HopHeader) []byte {
	b = append(b, make([]byte, HopHeaderSize)...)
	PutHop(b[len(b)-HopHeaderSize:], h)
	return b
}

// ParseHop decodes the header of a datagram. It returns the bytes after the header as a subslice of b.
func ParseHop(b []byte) (h carrier.HopHeader, rest []byte, err error) {
	if len(b) < HopHeaderSize {
		return h, nil, ErrShort
	}
	h = carrier.HopHeader{
		Kind: carrier.HopKind(b[0] & kindMask), Step: b[1], Reason: carrier.ReturnReason(b[2] &^ searchingFlag),
		Searching: b[2]&searchingFlag != 0, Probe: b[3]&probeFlag != 0,
		ReportTicks: carrier.ReportTicks(b[3] >> reportTicksOffset), Service: carrier.ServiceTag(binary.BigEndian.Uint32(b[4:])),
	}
	if b[0]&^kindMask != hopVersion || h.Kind < carrier.HopPass || h.Kind > carrier.HopReport {
		return h, nil, ErrHop
	}
	return h, b[HopHeaderSize:], nil
}

// AppendHeld appends to b a HopFlowFound datagram, which tells an entry that the agent holds flow f.
func AppendHeld(b []byte, service carrier.ServiceTag, f registrar.Flow) []byte {
	b = appendHop(b, carrier.HopHeader{Kind: carrier.HopFlowFound, Service: service})
	return appendAddrPort(appendAddrPort(b, f.Caller), f.Service)
}

// ParseHeld decodes the flow from the bytes after the header of a HopFlowFound datagram.
func ParseHeld(rest []byte) (registrar.Flow, error) {
	if len(rest) < 2*addrPortSize {
		return registrar.Flow{}, ErrShort
	}
	return registrar.Flow{Caller: parseAddrPort(rest), Service: parseAddrPort(rest[addrPortSize:])}, nil
}

// AppendReport appends a datagram with a load report to b.
func AppendReport(b []byte, r carrier.LoadReport) []byte {
	b = appendHop(b, carrier.HopHeader{Kind: carrier.HopReport, Service: r.Service})
	var flags byte
	if r.Accepting {
		flags |= acceptingFlag
	}
	if r.Cold {
		flags |= coldFlag
	}
	if r.ProbeDue {
		flags |= probeDueFlag
	}
	b = append(b, flags, byte(r.Failures))
	b = binary.BigEndian.AppendUint16(b, r.InFlight)
	b = binary.BigEndian.AppendUint16(b, r.Slots)
	b = binary.BigEndian.AppendUint16(b, r.Allowance)
	return binary.BigEndian.AppendUint32(b, r.ServiceTimeMicros)
}

// ParseReport decodes a load report from its header and the bytes after it.
func ParseReport(h carrier.HopHeader, rest []byte) (carrier.LoadReport, error) {
	if len(rest) < reportSize {
		return carrier.LoadReport{}, ErrShort
	}
	return carrier.LoadReport{
		Service: h.Service, Accepting: rest[0]&acceptingFlag != 0, Cold: rest[0]&coldFlag != 0,
		ProbeDue: rest[0]&probeDueFlag != 0, Failures: carrier.FailureShare(rest[1]),
		InFlight: binary.BigEndian.Uint16(rest[2:]), Slots: binary.BigEndian.Uint16(rest[4:]),
		Allowance: binary.BigEndian.Uint16(rest[6:]), ServiceTimeMicros: binary.BigEndian.Uint32(rest[8:]),
	}, nil
}
