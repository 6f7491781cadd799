package claimer

import (
	"time"

	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

const (
	// MaxLedger is the maximum size of an encoded ledger in bytes. It fits about 30,000 requests without their answers, which are
	// 120 s of 250 claims per second at one owner.
	MaxLedger = 8 << 20
	// recordOverhead is an upper bound of the encoded size of a record in bytes without its names, its key and its answer.
	recordOverhead = 160
	// fieldOverhead is an upper bound of the encoded size of a header field in bytes without its name and values.
	fieldOverhead = 16
)

// Record is the state of one request at an owner.
type Record struct {
	Request RequestKey
	// State is Granted, Voided, Answered or Unanswered.
	State  Verdict
	Digest Digest
	// Holder is the attempt that holds the claim, or that finished or voided the request.
	Holder   Attempt
	Deadline time.Time
	// Answer is set for Answered.
	Answer *Answer
}

// Ledger holds all claims and voids of an owner. It is complete: its owner grants nothing after it was sealed.
type Ledger struct {
	// ForgottenUntil is the latest deadline of keys for which the owner may have lost a claim or a void.
	ForgottenUntil time.Time
	Records        []Record
}

// phase tells whether an owner has recovered the claims that earlier processes of its machine granted.
type phase uint8

const (
	// waiting means that the ledger of the previous process may still be found. The owner grants and voids nothing, so that an
	// older ledger stays complete if this process ends without recovering it.
	waiting phase = iota + 1
	// settled means that the search for the ledger has ended. The owner may grant claims.
	settled
	// sealed means that the ledger has been copied. A claim granted now would be missing in it.
	sealed
)

// recoveredState is the result of recovering the claims of earlier processes. Values are immutable.
type recoveredState struct {
	phase          phase
	forgottenUntil time.Time
}

// loadRecovered returns the current state of the recovery. The owner is settled without a ledger once abstainTime has passed
// since its start, because no holder hands out a ledger after it.
func (o *Owner) loadRecovered(now time.Time) *recoveredState {
	for {
		current := o.recoveredState.Load()
		next := recoveredState{settled, o.StartedAt.Add(KeyAhead + ClockError)}
		switch {
		case current == nil && o.Recovers:
			next.phase = waiting
		case current != nil && (current.phase != waiting || !now.After(o.StartedAt.Add(abstainTime))):
			return current
		}
		o.recoveredState.CompareAndSwap(current, &next)
	}
}

// Settled reports whether the recovery has ended and the ledger is not sealed, so that the owner may grant claims.
func (o *Owner) Settled(now time.Time) bool { return o.loadRecovered(now).phase == settled }

// Clear ends the recovery without a ledger. It may be called only if no holder has a ledger or will accept one.
func (o *Owner) Clear(now time.Time) {
	if current := o.loadRecovered(now); current.phase == waiting {
		o.recoveredState.CompareAndSwap(current, &recoveredState{settled, current.forgottenUntil})
	}
}

// Restore adds the ledger of the previous process. It returns false if the owner may have granted claims already.
func (o *Owner) Restore(now time.Time, ledger Ledger) bool {
	current := o.loadRecovered(now)
	if current.phase != waiting {
		return false
	}
	for _, r := range ledger.Records {
		if now.After(r.Deadline.Add(AnswerRetention)) {
			continue
		}
		s := o.shard(r.Request)
		s.mu.Lock()
		s.restoreRecord(r)
		s.mu.Unlock()
	}
	return o.recoveredState.CompareAndSwap(current, &recoveredState{settled, ledger.ForgottenUntil})
}

// restoreRecord adds a record, unless this process has received a Finish for the request.
func (s *ownerShard) restoreRecord(r Record) {
	if s.records == nil {
		s.records = map[RequestKey]*record{}
	}
	if s.records[r.Request] != nil {
		return
	}
	if r.Answer != nil {
		s.storedBytes += len(r.Answer.Body)
	}
	s.addRecord(Call{Request: r.Request, Digest: r.Digest, Attempt: r.Holder, Deadline: r.Deadline, Answer: r.Answer}, r.State)
}

// Seal makes the owner abstain from new claims and returns its ledger. ok is false if the ledger must not be handed over, because
// the owner is still waiting, so that an older ledger may be the complete one, or because the ledger is too large. Answers that
// would exceed MaxLedger are left out.
func (o *Owner) Seal(now time.Time) (ledger Ledger, ok bool) {
	current := o.loadRecovered(now)
	for !o.recoveredState.CompareAndSwap(current, &recoveredState{sealed, current.forgottenUntil}) {
		current = o.loadRecovered(now)
	}
	ledger.ForgottenUntil = current.forgottenUntil
	size := recordOverhead
	for i := range o.shards {
		s := &o.shards[i]
		s.mu.Lock()
		for k, r := range s.records {
			if now.After(r.expireAt) {
				continue
			}
			ledger.Records = append(ledger.Records, Record{
				Request: k, State: r.state, Digest: r.digest, Holder: r.holder, Deadline: r.expireAt.Add(-AnswerRetention), Answer: r.answer,
			})
			size += recordOverhead + len(k.Service) + len(k.Customer) + len(k.Key) + len(r.holder.Machine)
		}
		s.mu.Unlock()
	}
	for i := range ledger.Records {
		r := &ledger.Records[i]
		if r.Answer == nil {
			continue
		}
		if answerSize := r.Answer.maxEncodedSize(); size+answerSize <= MaxLedger {
			size += answerSize
			continue
		}
		r.State, r.Answer = Unanswered, nil
	}
	return ledger, current.phase == settled && size <= MaxLedger
}

// maxEncodedSize returns an upper bound of the encoded size in bytes.
func (a *Answer) maxEncodedSize() int {
	size := fieldOverhead + len(a.Body)
	for name, values := range a.Header {
		size += fieldOverhead + len(name)
		for _, v := range values {
			size += fieldOverhead + len(v)
		}
	}
	return size
}

// Handover is a sealed ledger that is handed over to the next process of its machine.
type Handover struct {
	Service registrar.ServiceName
	Machine registrar.MachineName
	// Incarnation is the incarnation of the process that sealed the ledger.
	Incarnation registrar.Incarnation
	SealedAt    time.Time
	// Ledger is encoded, so that a holder of another version can keep it.
	Ledger []byte
}

// HoldVerdict is the result of the request to hold a ledger.
type HoldVerdict uint8

// The results of a request to hold a ledger.
const (
	// HoldUncertain means that the peer may hold the ledger.
	HoldUncertain HoldVerdict = iota
	// HoldRefused means that the peer does not hold the ledger and will not do so later.
	HoldRefused
	// HoldAccepted means that the peer holds the ledger.
	HoldAccepted
)

// MayAskAnother reports whether another peer may be asked to hold the ledger. Two peers that hold the same ledger could hand it
// to two processes, and the second process would not know the claims that the first one granted.
func (v HoldVerdict) MayAskAnother() bool { return v == HoldRefused }
