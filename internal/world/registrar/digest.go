package registrar

import (
	"encoding/binary"
	"encoding/json"

	"github.com/cespare/xxhash/v2"
)

// kindNumber returns a number for the kind of an object. It is part of the hash, so that objects of different kinds with
// equal fields have different hashes.
func kindNumber(object any) byte {
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

// objectHash returns the hash of an object. It leaves out the former services of a route, which machines of older versions do not
// keep: their digests would differ during a rolling upgrade, and control would send them the full state again and again.
func objectHash(object any) uint64 {
	if r, ok := object.(Route); ok {
		r.FormerServices, r.LacksFormer = nil, false
		object = r
	}
	b, err := json.Marshal(object)
	if err != nil {
		// All fields of objects are plain data, so encoding cannot fail.
		panic(err)
	}
	return xxhash.Sum64(append(b, kindNumber(object)))
}

// Digest returns a hash of the configuration. Equal configurations have equal digests.
func (w *World) Digest() uint64 {
	_, digest := w.RevisionDigest()
	return digest
}

// RevisionDigest returns the revision and the digest of the same configuration. Each change updates the sum of the object
// hashes, because hashing all objects takes 24 ms at 7,800 upstreams. The digest detects faults; it does not resist
// deliberate collisions.
func (w *World) RevisionDigest() (Revision, uint64) {
	w.applyMu.Lock()
	defer w.applyMu.Unlock()
	var b [24]byte
	binary.LittleEndian.PutUint64(b[0:], w.revision.Load())
	binary.LittleEndian.PutUint32(b[8:], uint32(w.nextServiceID))
	binary.LittleEndian.PutUint32(b[12:], uint32(w.nextUpstreamID))
	binary.LittleEndian.PutUint64(b[16:], w.hashSum)
	return w.Revision(), xxhash.Sum64(b[:])
}
