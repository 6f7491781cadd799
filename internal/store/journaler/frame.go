// Package journaler keeps records in checksummed files: a journal of size-bounded segments, and snapshots. A record is
// durable when Append returns.
package journaler

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"github.com/rotisserie/eris"
)

// Kind says what a record holds. Its values belong to the user of the journal.
type Kind uint8

// Record is one item of the journal.
type Record struct {
	Kind Kind
	Body []byte
}

// Errors of the decoder.
var (
	// ErrCorrupt means that durable bytes have changed. The files must be restored or removed by an operator.
	ErrCorrupt = eris.New("journal is corrupted")
	errFrame   = eris.New("no valid frame")
)

const (
	// frameHeader is magic, length and checksum, 4 bytes each.
	frameHeader  = 12
	recordHeader = 5
	// maxFrame bounds the memory that a damaged length can claim.
	maxFrame = 1 << 30
)

// frameMagic begins each frame, so that the search for frames after damage is cheap.
var frameMagic = []byte{0xf5, 'P', 'S', 0x1a}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// segmentID numbers segment files in the order of their creation.
type segmentID uint64

// checksum covers the position of the frame, so that a copy of a frame inside a record is not taken for a frame.
func checksum(id segmentID, offset int64, payload []byte) uint32 {
	var at [20]byte
	binary.BigEndian.PutUint64(at[:], uint64(id))
	binary.BigEndian.PutUint64(at[8:], uint64(offset))
	binary.BigEndian.PutUint32(at[16:], uint32(len(payload)))
	return crc32.Update(crc32.Checksum(at[:], castagnoli), castagnoli, payload)
}

// encodeFrame encodes the records of one Append. They share a checksum, so a torn write loses all of them or none.
func encodeFrame(id segmentID, offset int64, records []Record) []byte {
	size := frameHeader
	for _, r := range records {
		size += recordHeader + len(r.Body)
	}
	b := make([]byte, frameHeader, size)
	for _, r := range records {
		b = append(b, byte(r.Kind))
		b = binary.BigEndian.AppendUint32(b, uint32(len(r.Body)))
		b = append(b, r.Body...)
	}
	copy(b, frameMagic)
	binary.BigEndian.PutUint32(b[4:], uint32(len(b)-frameHeader))
	binary.BigEndian.PutUint32(b[8:], checksum(id, offset, b[frameHeader:]))
	return b
}

// decodeFrame decodes the frame at the start of b, which lies at the given place, and returns its length.
func decodeFrame(id segmentID, offset int64, b []byte) ([]Record, int, error) {
	if len(b) < frameHeader || !bytes.Equal(b[:len(frameMagic)], frameMagic) {
		return nil, 0, errFrame
	}
	n := int(binary.BigEndian.Uint32(b[4:]))
	if n > maxFrame || n > len(b)-frameHeader {
		return nil, 0, errFrame
	}
	payload := b[frameHeader : frameHeader+n]
	if checksum(id, offset, payload) != binary.BigEndian.Uint32(b[8:]) {
		return nil, 0, errFrame
	}
	records, err := decodeRecords(payload)
	return records, frameHeader + n, err
}

func decodeRecords(b []byte) ([]Record, error) {
	var records []Record
	for len(b) > 0 {
		if len(b) < recordHeader {
			return nil, errFrame
		}
		n := int(binary.BigEndian.Uint32(b[1:]))
		if n > len(b)-recordHeader {
			return nil, errFrame
		}
		records = append(records, Record{Kind: Kind(b[0]), Body: b[recordHeader : recordHeader+n]})
		b = b[recordHeader+n:]
	}
	return records, nil
}

// frameAfter reports whether a valid frame starts anywhere in b, whose first byte lies at offset.
func frameAfter(id segmentID, offset int64, b []byte) bool {
	for at := 0; ; at++ {
		i := bytes.Index(b[at:], frameMagic)
		if i < 0 {
			return false
		}
		at += i
		if _, _, err := decodeFrame(id, offset+int64(at), b[at:]); err == nil {
			return true
		}
	}
}
