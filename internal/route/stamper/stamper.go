// Package stamper issues and verifies QUIC connection ids that contain the id of the upstream that holds the connection, in the
// manner of QUIC-LB (draft-ietf-quic-load-balancers). A keyed tag prevents callers from forging ids to select an upstream.
package stamper

import (
	"encoding/binary"
	"sync/atomic"

	"github.com/dchest/siphash"
	"github.com/rotisserie/eris"

	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// Size is the length of a connection id in bytes: key id 1, upstream id 4, nonce 5, tag 6.
const Size = 16

const (
	upstreamOffset = 1
	nonceOffset    = 5
	tagOffset      = 10
	tagSize        = Size - tagOffset
)

// ErrNoKey means that a stamper has no key.
var ErrNoKey = eris.New("no connection id key")

// KeyID selects one of the keys that are valid at the same time while keys rotate.
type KeyID byte

// Key is a 128-bit key.
type Key struct {
	ID     KeyID
	K0, K1 uint64
}

// Stamper issues and verifies connection ids. The exported fields are set before first use.
type Stamper struct {
	// Keys are the keys until the first call of Rotate. All of them verify ids; the first one issues new ids.
	Keys []Key

	// rotated holds the keys of the last call of Rotate; nil before.
	rotated atomic.Pointer[[]Key]
}

// Rotate replaces the keys. Verify rejects ids that were issued with a key that is no longer among them.
func (s *Stamper) Rotate(keys []Key) { s.rotated.Store(&keys) }

func (s *Stamper) keys() []Key {
	if keys := s.rotated.Load(); keys != nil {
		return *keys
	}
	return s.Keys
}

// Stamp writes a connection id for an upstream into id, which must hold Size bytes.
func (s *Stamper) Stamp(id []byte, u registrar.UpstreamID, nonce uint64) error {
	keys := s.keys()
	if len(keys) == 0 {
		return ErrNoKey
	}
	k := keys[0]
	var nonceBytes [8]byte
	binary.BigEndian.PutUint64(nonceBytes[:], nonce)
	id[0] = byte(k.ID)
	binary.BigEndian.PutUint32(id[upstreamOffset:], uint32(u))
	copy(id[nonceOffset:tagOffset], nonceBytes[3:])
	t := computeTag(k, id)
	copy(id[tagOffset:Size], t[:])
	return nil
}

// Verify returns the upstream that a connection id names, or false if the id was not issued with a known key.
func (s *Stamper) Verify(id []byte) (registrar.UpstreamID, bool) {
	if len(id) != Size {
		return 0, false
	}
	for _, k := range s.keys() {
		if byte(k.ID) != id[0] {
			continue
		}
		if computeTag(k, id) == [tagSize]byte(id[tagOffset:]) {
			return registrar.UpstreamID(binary.BigEndian.Uint32(id[upstreamOffset:])), true
		}
	}
	return 0, false
}

// computeTag returns the tag over the bytes of a connection id before the tag.
func computeTag(k Key, id []byte) [tagSize]byte {
	var full [8]byte
	binary.BigEndian.PutUint64(full[:], siphash.Hash(k.K0, k.K1, id[:tagOffset]))
	return [tagSize]byte(full[:tagSize])
}
