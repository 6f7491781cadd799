// Package journaler stores records in a checksummed journal of size-limited segments, and snapshots in checksummed files.
package journaler

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"github.com/rotisserie/eris"
)

// Kind is the type of a record. The user of the journal defines the values.
type Kind uint8

// Record is an entry of the journal.
type Record struct {
	Kind Kind
	Body []byte
}

// Errors of the decoder.
var (
	// ErrCorrupt means that durable data was changed or lost. An operator has to restore or remove the files.
	ErrCorrupt      = eris.New("journal is corrupted")
	errInvalidFrame = eris.New("no valid frame")
)

const (
	// frameHeaderSize is the size in bytes of the magic, the length and the checksum of a frame, 4 bytes each.
	frameHeaderSize = 12
	// recordHeaderSize is the size in bytes of the kind (1 byte) and the length (4 bytes) of a record.
	recordHeaderSize = 5
	// maxPayloadSize is the largest payload of a frame, in bytes. It bounds the memory that a damaged length can claim.
	maxPayloadSize = 1 << 30
)

// frameMagic is at the start of each frame. It makes the search for valid frames after damaged data cheap.
var frameMagic = []byte{0xf5, 'P', 'S', 0x1a}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// segmentID is the number of a segment file, in the order of creation.
type segmentID uint64

// checksum returns the CRC-32C of a frame. It covers the position of the frame, so that a copy of a frame inside a record is not
// mistaken for a frame.
func checksum(id segmentID, offset int64, payload []byte) uint32 {
	var position [20]byte
	binary.BigEndian.PutUint64(position[:], uint64(id))
	binary.BigEndian.PutUint64(position[8:], uint64(offset))
	binary.BigEndian.PutUint32(position[16:], uint32(len(payload)))
	return crc32.Update(crc32.Checksum(position[:], castagnoli), castagnoli, payload)
}

// encodeFrame encodes the records of one write. The records share a checksum, so that a torn write loses all of them or none.
func encodeFrame(id segmentID, offset int64, records []Record) []byte {
	size := frameHeaderSize
	for _, r := range records {
		size += recordHeaderSize + len(r.Body)
	}
	b := make([]byte, frameHeaderSize, size)
	for _, r := range records {
		b = append(b, byte(r.Kind))
		b = binary.BigEndian.AppendUint32(b, uint32(len(r.Body)))
		b = append(b, r.Body...)
	}
	copy(b, frameMagic)
	binary.BigEndian.PutUint32(b[4:], uint32(len(b)-frameHeaderSize))
	binary.BigEndian.PutUint32(b[8:], checksum(id, offset, b[frameHeaderSize:]))
	return b
}

// decodeFrame decodes the frame at the start of b, which begins at the given offset of the segment. It returns the records and the
// size of the frame in bytes.
func decodeFrame(id segmentID, offset int64, b []byte) ([]Record, int, error) {
	if len(b) < frameHeaderSize || !bytes.Equal(b[:len(frameMagic)], frameMagic) {
		return nil, 0, errInvalidFrame
	}
	payloadSize := int(binary.BigEndian.Uint32(b[4:]))
	if payloadSize > maxPayloadSize || payloadSize > len(b)-frameHeaderSize {
		return nil, 0, errInvalidFrame
	}
	payload := b[frameHeaderSize : frameHeaderSize+payloadSize]
	if checksum(id, offset, payload) != binary.BigEndian.Uint32(b[8:]) {
		return nil, 0, errInvalidFrame
	}
	records, err := decodeRecords(payload)
	return records, frameHeaderSize + payloadSize, err
}

func decodeRecords(b []byte) ([]Record, error) {
	var records []Record
	for len(b) > 0 {
		if len(b) < recordHeaderSize {
			return nil, errInvalidFrame
		}
		bodySize := int(binary.BigEndian.Uint32(b[1:]))
		if bodySize > len(b)-recordHeaderSize {
			return nil, errInvalidFrame
		}
		records = append(records, Record{Kind: Kind(b[0]), Body: b[recordHeaderSize : recordHeaderSize+bodySize]})
		b = b[recordHeaderSize+bodySize:]
	}
	return records, nil
}

// containsFrame reports whether a valid frame starts anywhere in b, which begins at the given offset of the segment.
func containsFrame(id segmentID, offset int64, b []byte) bool {
	for start := 0; ; start++ {
		i := bytes.Index(b[start:], frameMagic)
		if i < 0 {
			return false
		}
		start += i
		if _, _, err := decodeFrame(id, offset+int64(start), b[start:]); err == nil {
			return true
		}
	}
}
