package balancer

import (
	"math"
	"math/bits"

	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// candidate is a member of a generation with the parts of its scores that do not depend on the bucket.
type candidate struct {
	upstream registrar.UpstreamID
	weight   float64
	// position is that of the member in its table, counted from 1.
	position uint16
	// low is the part of the hashed key's first eight bytes that names the member.
	low uint64
	// ninth and tenth are the last two bytes of the key, each times prime5.
	ninth, tenth uint64
}

// contest decides which members of a generation win the buckets of a service.
type contest struct {
	// prefix holds the bytes that all keys of the service share, in their places in the first eight.
	prefix uint64
	all    []candidate
}

func newContest(service registrar.ServiceID, members []registrar.Member) *contest {
	s := &contest{prefix: uint64(service), all: make([]candidate, len(members))}
	for i, m := range members {
		s.all[i] = candidate{
			upstream: m.Upstream, weight: float64(m.Weight), position: uint16(i + 1),
			low:   uint64(m.Upstream&0xffff) << 48,
			ninth: uint64(m.Upstream>>16&0xff) * prime5, tenth: uint64(m.Upstream>>24) * prime5,
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

// hash returns the XXH64 hash of a key; key holds its service id and bucket. It is written out, and small enough to be inlined,
// because the calls of a general hash function took a third of the time of a table.
func (c *candidate) hash(key uint64) uint64 {
	h := (prime5 + keyLength) ^ bits.RotateLeft64((key|c.low)*prime2, 31)*prime1
	h = bits.RotateLeft64(h, 27)*prime1 + prime4
	h = bits.RotateLeft64(h^c.ninth, 11) * prime1
	h = bits.RotateLeft64(h^c.tenth, 11) * prime1
	h = (h ^ h>>33) * prime2
	h = (h ^ h>>29) * prime3
	return h ^ h>>32
}

// draw maps a hash to the interval (0, 1).
func draw(h uint64) float64 { return (float64(int64(h>>11)) + 0.5) / (1 << 53) }

// rank orders candidates for one bucket. It holds the upper bound of a candidate's score as the bits of a float64, the lowest of
// which are replaced by the candidate's position: bits of positive floats sort like the floats, and the position rides along
// without a branch.
type rank uint64

const positionMask = 1<<16 - 1

func newRank(bound float64, position uint16) rank {
	return rank(math.Float64bits(bound)&^positionMask | uint64(position))
}

func (r rank) bound() float64   { return math.Float64frombits(uint64(r) &^ positionMask) }
func (r rank) position() uint16 { return uint16(r & positionMask) }

// choose returns the two candidates with the highest scores. The score of a candidate with weight w and draw u is w/-ln(u).
// Logarithms took half of the time of a table, so candidates are ranked by an upper bound of twice their score, w(1+u)/(1-u),
// and scores are computed only where the bounds leave the order open.
func (s *contest) choose(b Bucket, among []candidate) pick {
	key := s.prefix | uint64(b)<<32
	var first, second, third rank
	for i := range among {
		c := &among[i]
		u := draw(c.hash(key))
		next := newRank(c.weight*(1+u)/(1-u), c.position)
		first, next = max(first, next), min(first, next)
		second, next = max(second, next), min(second, next)
		third = max(third, next)
	}
	if second != 0 && s.surpasses(first, second) && s.surpasses(second, third) {
		return pick{owner: first.position(), second: second.position()}
	}
	return chooseByScore(key, among)
}

// roundingError is more than the relative error of a score and of the bound in a rank.
const roundingError = 1e-9

// surpasses reports that the score of a rank is certainly higher than that of another one. With t = (1-u)/(1+u), -ln(u) is
// 2t(1 + t²/3 + t⁴/5 + ...), which is at most 2t(1 + t²/(3(1-t²))).
func (s *contest) surpasses(r, other rank) bool {
	bound := r.bound()
	t := s.all[r.position()-1].weight / bound
	excess := t * t / (3 * (1 - t*t))
	// A draw that is rounded to 1 has no finite bound.
	return bound < math.MaxFloat64 && bound*(1-excess-roundingError) > other.bound()
}

func chooseByScore(key uint64, among []candidate) pick {
	var first, second contender
	for i := range among {
		c := contender{among[i].position, among[i].upstream, among[i].weight / -math.Log(draw(among[i].hash(key)))}
		switch {
		case c.wins(first):
			first, second = c, first
		case c.wins(second):
			second = c
		}
	}
	return pick{owner: first.position, second: second.position}
}

// contender is a candidate for one bucket with its score. The zero value stands for none.
type contender struct {
	position uint16
	upstream registrar.UpstreamID
	score    float64
}

// wins orders contenders by score. The lower id wins a tie, so that the order of the members does not matter.
func (c contender) wins(other contender) bool {
	if other.position == 0 || c.score != other.score {
		return other.position == 0 || c.score > other.score
	}
	return c.upstream < other.upstream
}
