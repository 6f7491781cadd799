package main

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"net/netip"
)

// Bits of the flags field and sizes of the packet header.
const (
	flagReset   = 4
	flagSyn     = 8
	flagAck     = 16
	flagBounced = 32
	flagFin     = 64

	headerSize = 32
	maxData    = 1200
)

// sumKey is the key of the checksum, which only requesters and servers know.
const sumKey = 0x5eed2026

// flowKey names a flow by the requester's end and the route's address.
type flowKey struct{ requester, route netip.AddrPort }

func (k flowKey) String() string { return fmt.Sprintf("%v->%v", k.requester, k.route) }

// packet is a decoded packet. raw is the whole datagram.
type packet struct {
	src, dst netip.AddrPort
	flags    byte
	seq, ack uint32
	data     []byte
	raw      []byte
}

// encode returns the datagram of a packet.
func (p packet) encode() []byte {
	b := append(make([]byte, headerSize), p.data...)
	binary.LittleEndian.PutUint32(b[8:], p.seq)
	binary.LittleEndian.PutUint32(b[12:], p.ack)
	putAddress(b[16:], p.dst.Addr())
	binary.LittleEndian.PutUint16(b[20:], p.dst.Port())
	binary.LittleEndian.PutUint16(b[22:], p.src.Port())
	putAddress(b[24:], p.src.Addr())
	b[28] = p.flags
	binary.LittleEndian.PutUint16(b[30:], uint16(len(p.data)))
	binary.LittleEndian.PutUint32(b[4:], checksum(b))
	return b
}

func putAddress(b []byte, a netip.Addr) {
	ip := a.As4()
	binary.LittleEndian.PutUint32(b, binary.BigEndian.Uint32(ip[:]))
}

func address(b []byte) netip.Addr {
	var ip [4]byte
	binary.BigEndian.PutUint32(ip[:], binary.LittleEndian.Uint32(b))
	return netip.AddrFrom4(ip)
}

// checksum returns the keyed sum over all fields except echo, sum, pad and the bounced flag.
func checksum(b []byte) uint32 {
	c := bytes.Clone(b)
	clear(c[0:8])
	c[28] &^= flagBounced
	c[29] = 0
	h := fnv.New32a()
	_, _ = h.Write(binary.LittleEndian.AppendUint32(nil, sumKey))
	_, _ = h.Write(c)
	return h.Sum32()
}

// decode decodes a datagram. ok is false if it is not a packet; intact is false if its sender did not write it so.
func decode(b []byte) (p packet, ok, intact bool) {
	if len(b) < headerSize || len(b) != headerSize+int(binary.LittleEndian.Uint16(b[30:])) {
		return p, false, false
	}
	p = packet{
		src:   netip.AddrPortFrom(address(b[24:]), binary.LittleEndian.Uint16(b[22:])),
		dst:   netip.AddrPortFrom(address(b[16:]), binary.LittleEndian.Uint16(b[20:])),
		flags: b[28], seq: binary.LittleEndian.Uint32(b[8:]), ack: binary.LittleEndian.Uint32(b[12:]), data: b[headerSize:], raw: b,
	}
	return p, true, binary.LittleEndian.Uint32(b[4:]) == checksum(b)
}
