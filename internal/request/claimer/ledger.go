package claimer

import (
	"time"

	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

const (
	// MaxLedger bounds an encoded ledger in bytes. It holds about 30,000 requests without their answers, which is 120 s of
	// 250 claims a second at one owner.
	MaxLedger = 8 << 20
	// recordOverhead is more than a record takes in its encoded form besides its names, its key and its answer.
	recordOverhead = 160
	// fieldOverhead is more than a header field takes besides its name and values.
	fieldOverhead = 16
)

// Record is what an owner knows about one request.
type Record struct {
	Request RequestKey
	// State is Granted, Voided, Answered or Unanswered.
	State  Verdict
	Digest Digest
	// Holder is the attempt that holds the claim, or that ended it.
	Holder   Attempt
	Deadline time.Time
	// Answer is set for Answered.
	Answer *Answer
}

// Ledger is all that an owner has promised. A ledger is complete: its owner grants nothing after it was sealed.
type Ledger struct {
	// ForgottenUntil is the latest deadline of keys for which the owner may have promised something that it has forgotten.
	ForgottenUntil time.Time
	Records        []Record
}

// phase is how far an owner knows what earlier processes of its machine have promised.
type phase uint8

const (
	// waiting means that the ledger of the process before may still be found. The owner promises nothing, so that an older
	// ledger stays complete if this process ends without one.
	waiting phase = iota + 1
	settled
	// sealed means that the ledger has been copied, so nothing may be added to it.
	sealed
)

// memory is what an owner knows of earlier processes. Values are immutable.
type memory struct {
	phase          phase
	forgottenUntil time.Time
}

// recall returns the present memory. Once no holder gives a ledger away any more, the owner is settled without one.
func (o *Owner) recall(now time.Time) *memory {
	for {
		m := o.memory.Load()
		next := memory{settled, o.StartedAt.Add(KeyAhead + ClockError)}
		switch {
		case m == nil && o.Recovers:
			next.phase = waiting
		case m != nil && (m.phase != waiting || !now.After(o.StartedAt.Add(guardTime))):
			return m
		}
		o.memory.CompareAndSwap(m, &next)
	}
}

// Settled reports whether the owner grants claims on some keys.
func (o *Owner) Settled(now time.Time) bool { return o.recall(now).phase == settled }

// Clear ends the wait for a ledger. The caller knows that no holder has one or will accept one.
func (o *Owner) Clear(now time.Time) {
	if m := o.recall(now); m.phase == waiting {
		o.memory.CompareAndSwap(m, &memory{settled, m.forgottenUntil})
	}
}

// Restore takes over the ledger of the process before. It returns false if the owner may have granted claims already.
func (o *Owner) Restore(now time.Time, l Ledger) bool {
	m := o.recall(now)
	if m.phase != waiting {
		return false
	}
	for _, r := range l.Records {
		if now.After(r.Deadline.Add(KeepAnswer)) {
			continue
		}
		s := o.shard(r.Request)
		s.mu.Lock()
		s.restore(r)
		s.mu.Unlock()
	}
	return o.memory.CompareAndSwap(m, &memory{settled, l.ForgottenUntil})
}

// restore adds a record unless the end of the attempt was reported to this process.
func (s *ownerShard) restore(r Record) {
	if s.records == nil {
		s.records = map[RequestKey]*record{}
	}
	if s.records[r.Request] != nil {
		return
	}
	if r.Answer != nil {
		s.stored += len(r.Answer.Body)
	}
	s.add(Call{Request: r.Request, Digest: r.Digest, Attempt: r.Holder, Deadline: r.Deadline, Answer: r.Answer}, r.State)
}

// Seal ends all promises of the owner and returns its ledger. ok is false if the ledger must not be handed over: the owner is
// still waiting, so an older ledger may be the complete one, or the ledger is too large. Answers beyond MaxLedger are left out.
func (o *Owner) Seal(now time.Time) (l Ledger, ok bool) {
	m := o.recall(now)
	for !o.memory.CompareAndSwap(m, &memory{sealed, m.forgottenUntil}) {
		m = o.recall(now)
	}
	l.ForgottenUntil = m.forgottenUntil
	size := recordOverhead
	for i := range o.shards {
		s := &o.shards[i]
		s.mu.Lock()
		for k, r := range s.records {
			if now.After(r.expireAt) {
				continue
			}
			l.Records = append(l.Records, Record{
				Request: k, State: r.state, Digest: r.digest, Holder: r.holder, Deadline: r.expireAt.Add(-KeepAnswer), Answer: r.answer,
			})
			size += recordOverhead + len(k.Service) + len(k.Customer) + len(k.Key) + len(r.holder.Machine)
		}
		s.mu.Unlock()
	}
	for i := range l.Records {
		r := &l.Records[i]
		if r.Answer == nil {
			continue
		}
		if n := r.Answer.size(); size+n <= MaxLedger {
			size += n
			continue
		}
		r.State, r.Answer = Unanswered, nil
	}
	return l, m.phase == settled && size <= MaxLedger
}

// size returns an upper bound of the encoded size in bytes.
func (a *Answer) size() int {
	n := fieldOverhead + len(a.Body)
	for name, values := range a.Header {
		n += fieldOverhead + len(name)
		for _, v := range values {
			n += fieldOverhead + len(v)
		}
	}
	return n
}

// Handover is a sealed ledger on its way to the next process of its machine.
type Handover struct {
	Service registrar.ServiceName
	Machine registrar.MachineName
	// Incarnation is that of the process that sealed the ledger.
	Incarnation registrar.Incarnation
	SealedAt    time.Time
	// Ledger is encoded, so that a holder of another version can keep it.
	Ledger []byte
}

// HoldVerdict is how the request to hold a ledger ended.
type HoldVerdict uint8

// The ends of a request to hold a ledger.
const (
	// HoldUncertain means that the peer may hold the ledger.
	HoldUncertain HoldVerdict = iota
	// HoldRefused means that the peer does not hold the ledger and will not.
	HoldRefused
	// HoldAccepted means that the peer holds the ledger.
	HoldAccepted
)

// Another reports whether another peer may be asked to hold the ledger. Two peers that hold one ledger could give it to two
// processes, and the second one would not know what the first one granted.
func (v HoldVerdict) Another() bool { return v == HoldRefused }
