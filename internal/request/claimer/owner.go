package claimer

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	shardCount = 64
	// maxRecordsPerShard bounds the records of one shard; claims beyond it are not granted. All shards hold up to 262,144 records,
	// which are 120 s of 2,000 claims per second.
	maxRecordsPerShard = 4096
	// maxStoredBytesPerShard bounds the stored answers of one shard; all shards store up to 64 MiB. Answers beyond it are dropped.
	maxStoredBytesPerShard = 1 << 20
)

// record is the state of one request at an owner.
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
	// storedBytes is the total length of the bodies of stored answers.
	storedBytes int
}

// Lease reports whether the machine's configuration is at most as old as a lease.
type Lease interface {
	Valid(now time.Time) bool
}

// Owner grants claims on the keys that one agent owns. The exported fields are set before first use.
type Owner struct {
	// StartedAt is the start time of the agent. Claims granted before are lost unless Restore adds them.
	StartedAt time.Time
	// Recovers makes the owner abstain until the search for the ledger of the previous process has ended.
	Recovers bool
	// Directory determines the owners of a key. It is used only under a valid lease.
	Directory *Directory
	Lease     Lease
	// recoveredState is changed by compare-and-swap. It is read under the lock of a shard, so that no record is added to a shard
	// after Seal has copied it.
	recoveredState atomic.Pointer[recoveredState]
	shards         [shardCount]ownerShard
}

func (o *Owner) shard(k RequestKey) *ownerShard {
	return &o.shards[xxhash.Sum64String(k.Key)%shardCount]
}

// Handle answers a call.
func (o *Owner) Handle(now time.Time, c Call) Reply {
	reply := Reply{Verdict: Abstained}
	if c.WantSets && o.Lease.Valid(now) {
		if sets, known := o.Directory.Sets(c.Request, c.Deadline); known {
			reply.Sets = sets
		}
	}
	if now.After(c.Deadline.Add(AnswerRetention)) {
		return reply
	}
	s := o.shard(c.Request)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.records == nil {
		s.records = map[RequestKey]*record{}
	}
	existing := s.records[c.Request]
	current := o.loadRecovered(now)
	switch {
	case c.Kind == Finish:
		s.recordFinish(c)
	case current.phase == sealed && c.Kind == Void && existing != nil && existing.state == Granted:
		// The owner abstains, because its ledger lists the claim as granted.
	case existing != nil:
		reply.Verdict, reply.Answer = existing.replyTo(c)
	case current.mayHaveForgotten(c.Deadline) || len(s.records) >= maxRecordsPerShard:
		// The owner abstains.
	case c.Kind == Claim && !now.After(c.Deadline) && !c.Deadline.After(now.Add(KeyAhead)):
		s.addRecord(c, Granted)
		reply.Verdict = Granted
	case c.Kind == Void:
		s.addRecord(c, Voided)
		reply.Verdict = Voided
	}
	return reply
}

// mayHaveForgotten reports whether a claim on a key with this deadline may have been granted before the agent started and been
// lost, or whether the owner is not settled. A claim is granted at most KeyAhead before the deadline, by a clock that differs by
// at most ClockError. Once KeyAhead plus ClockError have passed since the start, no key that has not expired can be affected.
func (s *recoveredState) mayHaveForgotten(deadline time.Time) bool {
	return s.phase != settled || !deadline.After(s.forgottenUntil)
}

func (s *ownerShard) addRecord(c Call, state Verdict) {
	s.records[c.Request] = &record{
		state: state, digest: c.Digest, holder: c.Attempt, expireAt: c.Deadline.Add(AnswerRetention), answer: c.Answer,
	}
}

func (s *ownerShard) recordFinish(c Call) {
	existing := s.records[c.Request]
	if existing != nil && existing.state == Answered || existing == nil && len(s.records) >= maxRecordsPerShard {
		return
	}
	if c.Answer == nil || s.storedBytes+len(c.Answer.Body) > maxStoredBytesPerShard {
		c.Answer = nil
		s.addRecord(c, Unanswered)
		return
	}
	s.storedBytes += len(c.Answer.Body)
	s.addRecord(c, Answered)
}

// replyTo answers a Claim or Void for a request that has a record.
func (r *record) replyTo(c Call) (Verdict, *Answer) {
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

// Expire removes the records of requests whose keys are too old to be resent.
func (o *Owner) Expire(now time.Time) {
	for i := range o.shards {
		s := &o.shards[i]
		s.mu.Lock()
		for k, r := range s.records {
			if !now.After(r.expireAt) {
				continue
			}
			if r.answer != nil {
				s.storedBytes -= len(r.answer.Body)
			}
			delete(s.records, k)
		}
		s.mu.Unlock()
	}
}
