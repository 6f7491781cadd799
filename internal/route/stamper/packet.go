package stamper

import "encoding/binary"

// Kind classifies a QUIC datagram by its first packet (RFC 9000 section 17).
type Kind int

// The kinds of QUIC datagram.
const (
	// Malformed datagrams are not QUIC or are truncated.
	Malformed Kind = iota
	// Initial datagrams may start a connection.
	Initial
	// LongHeader datagrams belong to a handshake in progress.
	LongHeader
	// ShortHeader datagrams belong to an established connection.
	ShortHeader
)

const (
	longHeaderBit      = 0x80
	packetTypeMask     = 0x30
	versionOffset      = 1
	longIDLengthOffset = 5
	maxIDLength        = 20
	minShortPacket     = 1 + Size
	minInitialBytes    = 1200
	version1           = 1
)

// Parse returns the kind of a QUIC datagram and its destination connection id. The id is a part of b.
func Parse(b []byte) (Kind, []byte) {
	if len(b) == 0 {
		return Malformed, nil
	}
	if b[0]&longHeaderBit == 0 {
		if len(b) < minShortPacket {
			return Malformed, nil
		}
		return ShortHeader, b[1:minShortPacket]
	}
	if len(b) <= longIDLengthOffset {
		return Malformed, nil
	}
	n := int(b[longIDLengthOffset])
	if n > maxIDLength || len(b) < longIDLengthOffset+1+n {
		return Malformed, nil
	}
	id := b[longIDLengthOffset+1 : longIDLengthOffset+1+n]
	version := binary.BigEndian.Uint32(b[versionOffset:])
	if version == 0 {
		// Only servers send version negotiation packets.
		return Malformed, nil
	}
	// The packet types of other versions are not known. The server answers such a packet with the versions that it
	// supports, so the packet is treated as the start of a connection (RFC 9000 section 6.1).
	if (version != version1 || b[0]&packetTypeMask == 0) && len(b) >= minInitialBytes {
		return Initial, id
	}
	return LongHeader, id
}
