package registrar

import (
	"encoding/binary"
	"encoding/json"

	"github.com/cespare/xxhash/v2"
)

// kindOf tells objects of different kinds apart that have equal fields.
func kindOf(object any) byte {
	switch object.(type) {
	case Zone:
		return 1
	case Service:
		return 2
	case Upstream:
		return 3
	case Customer:
		return 4
	case Contract:
		return 5
	case Machine:
		return 6
	case Route:
		return 7
	case Release:
		return 8
	}
	return 0
}

func objectHash(object any) uint64 {
	b, err := json.Marshal(object)
	if err != nil {
		// All fields of objects are plain data, so encoding cannot fail.
		panic(err)
	}
	return xxhash.Sum64(append(b, kindOf(object)))
}

// Digest returns a hash of the configuration. Equal configurations have equal digests.
func (w *World) Digest() uint64 {
	_, digest := w.RevisionDigest()
	return digest
}

// RevisionDigest returns the revision and the digest of one and the same configuration. The hash of the objects is kept up to
// date by each change, because hashing all of them takes 24 ms at 7,800 upstreams. The digest finds faults; it does not
// withstand a deliberate collision.
func (w *World) RevisionDigest() (Revision, uint64) {
	w.applyMu.Lock()
	defer w.applyMu.Unlock()
	var b [24]byte
	binary.LittleEndian.PutUint64(b[0:], w.revision.Load())
	binary.LittleEndian.PutUint32(b[8:], uint32(w.nextServiceID))
	binary.LittleEndian.PutUint32(b[12:], uint32(w.nextUpstreamID))
	binary.LittleEndian.PutUint64(b[16:], w.sum)
	return w.Revision(), xxhash.Sum64(b[:])
}
