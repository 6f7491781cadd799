package main

import (
	"encoding/binary"
	"errors"
	"hash/fnv"
	"net/netip"
)

// The bits of the flags field of a packet.
const (
	flagReset   = 4
	flagOpen    = 8
	flagAck     = 16
	flagBounced = 32
	flagEnd     = 64
)

const (
	headSize    = 32
	flagsOffset = 28
	maxData     = 1200
)

var errPacket = errors.New("malformed packet")

// packet is one datagram of a flow.
type packet struct {
	echo, sum, seq, ack uint32
	dst, src            netip.AddrPort
	flags, pad          byte
	data                []byte
}

func (p packet) has(flag byte) bool { return p.flags&flag != 0 }

// flowKey identifies a flow: the two ends, the requester first.
type flowKey struct{ requester, service netip.AddrPort }

// decode reads a packet.
func decode(b []byte) (packet, error) {
	if len(b) < headSize || len(b) != headSize+int(binary.LittleEndian.Uint16(b[30:])) {
		return packet{}, errPacket
	}
	return packet{
		echo: binary.LittleEndian.Uint32(b), sum: binary.LittleEndian.Uint32(b[4:]),
		seq: binary.LittleEndian.Uint32(b[8:]), ack: binary.LittleEndian.Uint32(b[12:]),
		dst:   netip.AddrPortFrom(readIP(b[16:]), binary.LittleEndian.Uint16(b[20:])),
		src:   netip.AddrPortFrom(readIP(b[24:]), binary.LittleEndian.Uint16(b[22:])),
		flags: b[flagsOffset], pad: b[29], data: b[headSize:],
	}, nil
}

func readIP(b []byte) netip.Addr {
	n := binary.LittleEndian.Uint32(b)
	return netip.AddrFrom4([4]byte{byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)})
}

func putIP(b []byte, a netip.Addr) {
	ip := a.As4()
	binary.LittleEndian.PutUint32(b, binary.BigEndian.Uint32(ip[:]))
}

// encode writes a packet with its sum.
func encode(p packet) []byte {
	b := make([]byte, headSize+len(p.data))
	binary.LittleEndian.PutUint32(b[8:], p.seq)
	binary.LittleEndian.PutUint32(b[12:], p.ack)
	putIP(b[16:], p.dst.Addr())
	binary.LittleEndian.PutUint16(b[20:], p.dst.Port())
	binary.LittleEndian.PutUint16(b[22:], p.src.Port())
	putIP(b[24:], p.src.Addr())
	b[flagsOffset] = p.flags
	binary.LittleEndian.PutUint16(b[30:], uint16(len(p.data)))
	copy(b[headSize:], p.data)
	binary.LittleEndian.PutUint32(b[4:], checksum(b))
	return b
}

// checksum is the sum of the stand-ins. It covers all fields except echo, the sum, pad and the bounced flag.
func checksum(b []byte) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte("key of the stand-ins"))
	_, _ = h.Write(b[8:flagsOffset])
	_, _ = h.Write([]byte{b[flagsOffset] &^ flagBounced})
	_, _ = h.Write(b[30:])
	return h.Sum32()
}

// intact reports whether a received packet is as its sender wrote it.
func intact(b []byte) bool { return binary.LittleEndian.Uint32(b[4:]) == checksum(b) }
