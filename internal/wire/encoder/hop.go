package encoder

import (
	"encoding/binary"
	"net/netip"
	"slices"

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
	// hold HopHeader.Waited in a pass, which earlier versions send as 0 and do not read, and HopHeader.ReportTicks otherwise.
	probeFlag         = 1
	reportTicksOffset = 1
	// minReportSize is the length in bytes of a load report of earlier versions without the header, and reportSize that of the present
	// one, which adds the demand and the flows.
	minReportSize, reportSize = 12, 16
	// lookupHeadSize is the length in bytes of the id and the number of flows in a lookup and its answer.
	lookupHeadSize = 5
	// flowSize is the length in bytes of an encoded flow, and flow4Size that of one with IPv4 addresses in a lookup.
	flowSize, flow4Size = 2 * addrPortSize, 2 * (4 + 2)
	// flow4Flag is the bit in the number of flows of a lookup that tells that all of them have IPv4 addresses. A lookup goes to every agent of
	// a route, and the short form takes a third of the bytes.
	flow4Flag = 0x80
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
	ticks := h.ReportTicks
	if h.Kind == carrier.HopPass {
		ticks = h.Waited
	}
	b[3] = byte(ticks) << reportTicksOffset
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
		Searching: b[2]&searchingFlag != 0, Probe: b[3]&probeFlag != 0, Service: carrier.ServiceTag(binary.BigEndian.Uint32(b[4:])),
	}
	if b[0]&^kindMask != hopVersion || h.Kind < carrier.HopPass || h.Kind > carrier.HopLookupAnswer {
		return h, nil, ErrHop
	}
	if ticks := carrier.ReportTicks(b[3] >> reportTicksOffset); h.Kind == carrier.HopPass {
		h.Waited = ticks
	} else {
		h.ReportTicks = ticks
	}
	return h, b[HopHeaderSize:], nil
}

// AppendHeld appends to b a HopFlowFound datagram, which tells an entry that the agent holds flow f.
func AppendHeld(b []byte, service carrier.ServiceTag, f registrar.Flow) []byte {
	b = appendHop(b, carrier.HopHeader{Kind: carrier.HopFlowFound, Service: service})
	return appendFlow(b, f)
}

func appendFlow(b []byte, f registrar.Flow) []byte {
	return appendAddrPort(appendAddrPort(b, f.Caller), f.Service)
}

func parseFlow(b []byte) registrar.Flow {
	return registrar.Flow{Caller: parseAddrPort(b), Service: parseAddrPort(b[addrPortSize:])}
}

// ParseHeld decodes the flow from the bytes after the header of a HopFlowFound datagram.
func ParseHeld(rest []byte) (registrar.Flow, error) {
	if len(rest) < flowSize {
		return registrar.Flow{}, ErrShort
	}
	return parseFlow(rest), nil
}

// AppendLookup appends to b a datagram that asks an agent of a service for flows.
func AppendLookup(b []byte, service carrier.ServiceTag, l carrier.Lookup) []byte {
	b = appendHop(b, carrier.HopHeader{Kind: carrier.HopLookup, Service: service})
	b = binary.BigEndian.AppendUint32(b, uint32(l.ID))
	if slices.ContainsFunc(l.Flows, func(f registrar.Flow) bool { return !f.Caller.Addr().Is4() || !f.Service.Addr().Is4() }) {
		b = append(b, byte(len(l.Flows)))
		for _, f := range l.Flows {
			b = appendFlow(b, f)
		}
		return b
	}
	b = append(b, byte(len(l.Flows))|flow4Flag)
	for _, f := range l.Flows {
		b = appendAddrPort4(appendAddrPort4(b, f.Caller), f.Service)
	}
	return b
}

func appendAddrPort4(b []byte, a netip.AddrPort) []byte {
	ip := a.Addr().As4()
	return binary.BigEndian.AppendUint16(append(b, ip[:]...), a.Port())
}

func parseFlow4(b []byte) registrar.Flow {
	return registrar.Flow{Caller: parseAddrPort4(b), Service: parseAddrPort4(b[flow4Size/2:])}
}

func parseAddrPort4(b []byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b)), binary.BigEndian.Uint16(b[4:]))
}

// ParseLookup decodes a lookup from the bytes after its header.
func ParseLookup(rest []byte) (carrier.Lookup, error) {
	if len(rest) < lookupHeadSize {
		return carrier.Lookup{}, ErrShort
	}
	l := carrier.Lookup{ID: carrier.LookupID(binary.BigEndian.Uint32(rest))}
	size, parse := flowSize, parseFlow
	if rest[lookupHeadSize-1]&flow4Flag != 0 {
		size, parse = flow4Size, parseFlow4
	}
	n := int(rest[lookupHeadSize-1] &^ flow4Flag)
	rest = rest[lookupHeadSize:]
	if n > carrier.MaxLookupFlows || len(rest) < n*size {
		return carrier.Lookup{}, ErrShort
	}
	l.Flows = make([]registrar.Flow, n)
	for i := range l.Flows {
		l.Flows[i] = parse(rest[i*size:])
	}
	return l, nil
}

// AppendLookupAnswer appends to b the answer to a lookup. service is that of the upstream of the answering agent.
func AppendLookupAnswer(b []byte, service carrier.ServiceTag, a carrier.LookupAnswer) []byte {
	b = appendHop(b, carrier.HopHeader{Kind: carrier.HopLookupAnswer, Service: service})
	b = append(binary.BigEndian.AppendUint32(b, uint32(a.ID)), byte(len(a.Holdings)))
	for _, h := range a.Holdings {
		b = append(b, byte(h))
	}
	return b
}

// ParseLookupAnswer decodes the answer to a lookup from the bytes after its header. A value that this version does not know becomes
// HoldingUnknown.
func ParseLookupAnswer(rest []byte) (carrier.LookupAnswer, error) {
	if len(rest) < lookupHeadSize {
		return carrier.LookupAnswer{}, ErrShort
	}
	a := carrier.LookupAnswer{ID: carrier.LookupID(binary.BigEndian.Uint32(rest))}
	n := int(rest[lookupHeadSize-1])
	rest = rest[lookupHeadSize:]
	if n > carrier.MaxLookupFlows || len(rest) < n {
		return carrier.LookupAnswer{}, ErrShort
	}
	a.Holdings = make([]carrier.Holding, n)
	for i := range a.Holdings {
		if h := carrier.Holding(rest[i]); h <= carrier.HoldingHeld {
			a.Holdings[i] = h
		}
	}
	return a, nil
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
	b = binary.BigEndian.AppendUint32(b, r.ServiceTimeMicros)
	b = binary.BigEndian.AppendUint16(b, uint16(r.Demand))
	return binary.BigEndian.AppendUint16(b, r.Flows)
}

// ParseReport decodes a load report from its header and the bytes after it.
func ParseReport(h carrier.HopHeader, rest []byte) (carrier.LoadReport, error) {
	if len(rest) < minReportSize {
		return carrier.LoadReport{}, ErrShort
	}
	r := carrier.LoadReport{
		Service: h.Service, Accepting: rest[0]&acceptingFlag != 0, Cold: rest[0]&coldFlag != 0,
		ProbeDue: rest[0]&probeDueFlag != 0, Failures: carrier.FailureShare(rest[1]),
		InFlight: binary.BigEndian.Uint16(rest[2:]), Slots: binary.BigEndian.Uint16(rest[4:]),
		Allowance: binary.BigEndian.Uint16(rest[6:]), ServiceTimeMicros: binary.BigEndian.Uint32(rest[8:]),
	}
	if len(rest) >= reportSize {
		r.Demand = carrier.Demand(binary.BigEndian.Uint16(rest[minReportSize:]))
		r.Flows = binary.BigEndian.Uint16(rest[minReportSize+2:])
	}
	return r, nil
}
