package balancer

import (
	"math"
	"math/bits"

	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// candidate is a member of a generation with the inputs of its scores that do not depend on the bucket.
type candidate struct {
	upstream registrar.UpstreamID
	weight   float64
	// position is the position of the member in its table, counted from 1.
	position uint16
	// idLow is the lower half of the upstream id, shifted to its place in the first eight bytes of the hashed key.
	idLow uint64
	// ninthProduct and tenthProduct are the last two bytes of the key, each multiplied by prime5.
	ninthProduct, tenthProduct uint64
}

// scorer selects the members of a generation with the highest scores for the buckets of a service.
type scorer struct {
	// keyPrefix holds the bytes that all keys of the service share, in their places in the first eight bytes of a key.
	keyPrefix  uint64
	candidates []candidate
}

func newScorer(service registrar.ServiceID, members []registrar.Member) *scorer {
	s := &scorer{keyPrefix: uint64(service), candidates: make([]candidate, len(members))}
	for i, m := range members {
		s.candidates[i] = candidate{
			upstream: m.Upstream, weight: float64(m.Weight), position: uint16(i + 1),
			idLow:        uint64(m.Upstream&0xffff) << 48,
			ninthProduct: uint64(m.Upstream>>16&0xff) * prime5, tenthProduct: uint64(m.Upstream>>24) * prime5,
		}
	}
	return s
}

// The constants of XXH64, see github.com/Cyan4973/xxHash/blob/dev/doc/xxhash_spec.md.
const (
	prime1 uint64 = 0x9E3779B185EBCA87
	prime2 uint64 = 0xC2B2AE3D27D4EB4F
	prime3 uint64 = 0x165667B19E3779F9
	prime4 uint64 = 0x85EBCA77C2B2AE63
	prime5 uint64 = 0x27D4EB2F165667C5
)

// keyLength is the length in bytes of the hashed key: service id, bucket and upstream id, in little-endian order.
const keyLength = 10

// hash returns the XXH64 hash of the candidate's key; key holds the service id and the bucket. It is specialized for this key
// length and small enough to be inlined, because calls of a general hash function took a third of the time to compute a table.
func (c *candidate) hash(key uint64) uint64 {
	h := (prime5 + keyLength) ^ bits.RotateLeft64((key|c.idLow)*prime2, 31)*prime1
	h = bits.RotateLeft64(h, 27)*prime1 + prime4
	h = bits.RotateLeft64(h^c.ninthProduct, 11) * prime1
	h = bits.RotateLeft64(h^c.tenthProduct, 11) * prime1
	h = (h ^ h>>33) * prime2
	h = (h ^ h>>29) * prime3
	return h ^ h>>32
}

// uniform maps a hash to the interval (0, 1).
func uniform(h uint64) float64 { return (float64(int64(h>>11)) + 0.5) / (1 << 53) }

// rank orders candidates for one bucket. It holds the upper bound of a candidate's score as the bits of a float64 whose lowest
// 16 bits are replaced by the candidate's position. The bits of positive floats sort like the floats, so min and max
// of ranks select a bound together with its position without a branch.
type rank uint64

const positionMask = 1<<16 - 1

func newRank(bound float64, position uint16) rank {
	return rank(math.Float64bits(bound)&^positionMask | uint64(position))
}

func (r rank) bound() float64   { return math.Float64frombits(uint64(r) &^ positionMask) }
func (r rank) position() uint16 { return uint16(r & positionMask) }

// choose returns the two candidates with the highest scores. The score of a candidate with weight w and hash u in (0, 1) is
// w/-ln(u). Logarithms took half of the time to compute a table, so candidates are ranked by an upper bound of twice their score,
// w(1+u)/(1-u), and scores are computed only where the bounds do not decide the order.
func (s *scorer) choose(b Bucket, among []candidate) pick {
	key := s.keyPrefix | uint64(b)<<32
	var first, second, third rank
	for i := range among {
		c := &among[i]
		u := uniform(c.hash(key))
		next := newRank(c.weight*(1+u)/(1-u), c.position)
		first, next = max(first, next), min(first, next)
		second, next = max(second, next), min(second, next)
		third = max(third, next)
	}
	if second != 0 && s.certainlyHigher(first, second) && s.certainlyHigher(second, third) {
		return pick{owner: first.position(), second: second.position()}
	}
	return chooseByScore(key, among)
}

// maxRoundingError exceeds the relative error of a score and of the bound in a rank.
const maxRoundingError = 1e-9

// certainlyHigher reports whether the bounds prove that the score of a rank is higher than that of another one. With
// t = (1-u)/(1+u), -ln(u) is 2t(1 + t²/3 + t⁴/5 + ...), which is at most 2t(1 + t²/(3(1-t²))).
func (s *scorer) certainlyHigher(r, other rank) bool {
	bound := r.bound()
	t := s.candidates[r.position()-1].weight / bound
	excess := t * t / (3 * (1 - t*t))
	// If u is rounded to 1, the bound is not finite.
	return bound < math.MaxFloat64 && bound*(1-excess-maxRoundingError) > other.bound()
}

// chooseByScore returns the two candidates with the highest scores by computing all scores.
func chooseByScore(key uint64, among []candidate) pick {
	var first, second scored
	for i := range among {
		c := scored{among[i].position, among[i].upstream, among[i].weight / -math.Log(uniform(among[i].hash(key)))}
		switch {
		case c.outranks(first):
			first, second = c, first
		case c.outranks(second):
			second = c
		}
	}
	return pick{owner: first.position, second: second.position}
}

// scored is a candidate with its score for one bucket. The zero value stands for no candidate.
type scored struct {
	position uint16
	upstream registrar.UpstreamID
	score    float64
}

// outranks reports whether c has the higher score. At equal scores the lower upstream id ranks higher, so that the result does not
// depend on the order of the members.
func (c scored) outranks(other scored) bool {
	if other.position == 0 || c.score != other.score {
		return other.position == 0 || c.score > other.score
	}
	return c.upstream < other.upstream
}
