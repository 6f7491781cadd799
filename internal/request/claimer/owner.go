package claimer

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	shardCount = 64
	// maxRecords bounds the records of one shard; claims beyond it are not granted. All shards hold 262,144 records, which
	// is 120 s of 2,000 claims a second.
	maxRecords = 4096
	// maxStoredBytes bounds the answers of one shard, 64 MiB over all. Answers beyond it are not stored.
	maxStoredBytes = 1 << 20
)

// record is what an owner knows about one request.
type record struct {
	// state is Granted, Voided, Answered or Unanswered.
	state    Verdict
	digest   Digest
	holder   Attempt
	answer   *Answer
	expireAt time.Time
}

type ownerShard struct {
	mu      sync.Mutex
	records map[RequestKey]*record
	// stored is the sum of the lengths of stored answers in bytes.
	stored int
}

// Lease tells whether the machine's configuration is at most as old as a lease.
type Lease interface {
	Valid(now time.Time) bool
}

// Owner holds the claims that one agent owns. The exported fields are set before first use.
type Owner struct {
	// StartedAt is when the agent started. Claims granted before that are forgotten, unless Restore brings them back.
	StartedAt time.Time
	// Recovers makes the owner abstain until the search for the ledger of the process before has ended.
	Recovers bool
	// Directory knows the owners of a key. It counts only under a valid lease.
	Directory *Directory
	Lease     Lease
	// memory is changed by compare-and-swap. It is read under the lock of a shard, so that nothing is added to a shard after
	// Seal has copied it.
	memory atomic.Pointer[memory]
	shards [shardCount]ownerShard
}

func (o *Owner) shard(k RequestKey) *ownerShard {
	return &o.shards[xxhash.Sum64String(k.Key)%shardCount]
}

// Handle answers one call.
func (o *Owner) Handle(now time.Time, c Call) Reply {
	r := Reply{Verdict: Abstained}
	if c.WantSets && o.Lease.Valid(now) {
		if sets, known := o.Directory.Sets(c.Request, c.Deadline); known {
			r.Sets = sets
		}
	}
	if now.After(c.Deadline.Add(KeepAnswer)) {
		return r
	}
	s := o.shard(c.Request)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.records == nil {
		s.records = map[RequestKey]*record{}
	}
	old := s.records[c.Request]
	m := o.recall(now)
	switch {
	case c.Kind == Finish:
		s.finish(c)
	case m.phase == sealed && c.Kind == Void && old != nil && old.state == Granted:
		// The owner abstains, because the ledger says that the claim is held.
	case old != nil:
		r.Verdict, r.Answer = old.reply(c)
	case m.forgot(c.Deadline) || len(s.records) >= maxRecords:
		// The owner abstains.
	case c.Kind == Claim && !now.After(c.Deadline) && !c.Deadline.After(now.Add(KeyAhead)):
		s.add(c, Granted)
		r.Verdict = Granted
	case c.Kind == Void:
		s.add(c, Voided)
		r.Verdict = Voided
	}
	return r
}

// forgot reports whether a claim on a key with this deadline may have been granted before the agent started. Such a claim
// was granted at most KeyAhead before the deadline, by a clock that differs by at most ClockError. Once KeyAhead plus
// ClockError have passed since the start, this holds for no live key. An owner that is not settled makes no promise either.
func (m *memory) forgot(deadline time.Time) bool {
	return m.phase != settled || !deadline.After(m.forgottenUntil)
}

func (s *ownerShard) add(c Call, state Verdict) {
	s.records[c.Request] = &record{
		state: state, digest: c.Digest, holder: c.Attempt, expireAt: c.Deadline.Add(KeepAnswer), answer: c.Answer,
	}
}

func (s *ownerShard) finish(c Call) {
	old := s.records[c.Request]
	if old != nil && old.state == Answered || old == nil && len(s.records) >= maxRecords {
		return
	}
	if c.Answer == nil || s.stored+len(c.Answer.Body) > maxStoredBytes {
		c.Answer = nil
		s.add(c, Unanswered)
		return
	}
	s.stored += len(c.Answer.Body)
	s.add(c, Answered)
}

// reply answers a claim or a void on a request that is known.
func (r *record) reply(c Call) (Verdict, *Answer) {
	switch {
	case r.digest != c.Digest:
		return Conflict, nil
	case r.state != Granted:
		return r.state, r.answer
	case r.holder != c.Attempt:
		return Held, nil
	case c.Kind == Void:
		r.state = Voided
	}
	return r.state, nil
}

// Expire forgets the requests whose keys are too old to be asked for.
func (o *Owner) Expire(now time.Time) {
	for i := range o.shards {
		s := &o.shards[i]
		s.mu.Lock()
		for k, r := range s.records {
			if !now.After(r.expireAt) {
				continue
			}
			if r.answer != nil {
				s.stored -= len(r.answer.Body)
			}
			delete(s.records, k)
		}
		s.mu.Unlock()
	}
}
