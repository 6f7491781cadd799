// Package claimer makes sure that at most one attempt of a request with an idempotency key runs. An attempt runs only after a
// majority of the key's claim owners has granted it the claim, which each owner grants to one attempt only.
package claimer

import (
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// Errors of ParseKey.
var (
	// ErrKey means that an idempotency key does not start with its deadline.
	ErrKey = eris.New("Idempotency-Key must be DEADLINE-OPAQUE with the deadline in Unix milliseconds")
	// ErrTooFar means that the deadline of a key is further in the future than KeyAhead.
	ErrTooFar = eris.New("deadline of Idempotency-Key lies more than 60 s ahead")
)

const (
	// KeyAhead bounds how far in the future the deadline of a key may be, and so how long a claim has to be remembered.
	KeyAhead = 60 * time.Second
	// ClockError bounds the difference between the clocks of two machines, and of one machine before and after a restart.
	ClockError = 5 * time.Second
	// AnswerRetention is how long the claim and the answer of a key are kept after its deadline.
	AnswerRetention = 60 * time.Second
	// MaxStored is the size in bytes of the largest answer that is stored.
	MaxStored = 64 << 10
	// OwnerCount is the number of claim owners of a key.
	OwnerCount = 3
	// maxKeyLength bounds the length of a key in bytes.
	maxKeyLength = 256
)

// RequestKey identifies a request. Two requests with equal keys are the same request. The customer is part of the key, so no
// caller can get the answer of another customer.
type RequestKey struct {
	Service  registrar.ServiceName
	Customer registrar.CustomerName
	// Key is the whole Idempotency-Key, including its deadline.
	Key string
}

// ParseKey validates an Idempotency-Key and returns its deadline.
func ParseKey(now time.Time, key string) (time.Time, error) {
	prefix, opaque, ok := strings.Cut(key, "-")
	deadlineMs, err := strconv.ParseInt(prefix, 10, 64)
	if !ok || err != nil || deadlineMs <= 0 || opaque == "" || len(key) > maxKeyLength || strconv.FormatInt(deadlineMs, 10) != prefix {
		return time.Time{}, ErrKey
	}
	if strings.ContainsFunc(key, func(r rune) bool { return r <= ' ' || r > '~' }) {
		return time.Time{}, ErrKey
	}
	deadline := time.UnixMilli(deadlineMs)
	if deadline.After(now.Add(KeyAhead)) {
		return deadline, ErrTooFar
	}
	return deadline, nil
}

// Digest is a hash of everything in a request that the upstream acts on.
type Digest [32]byte

// Attempt identifies one attempt of an agent to run a request.
type Attempt struct {
	Machine     registrar.MachineName
	Incarnation registrar.Incarnation
	// Number is unique within an incarnation.
	Number uint64
}

// Header holds the fields of an answer by their canonical names.
type Header = map[string][]string

// Answer is a complete answer of an upstream.
type Answer struct {
	Status int
	Header Header
	Body   []byte
}

// CallKind is the kind of a Call.
type CallKind uint8

// The kinds of calls.
const (
	// Claim asks for the claim on a request, which the owner grants to one attempt only.
	Claim CallKind = iota + 1
	// Void asks the owner never to grant the request, so that it does not run.
	Void
	// Finish reports how the attempt that held the claim ended. It is authoritative, because only one attempt can have held the
	// claim at a majority of the owners.
	Finish
)

// Call is a request to a claim owner about one idempotency key.
type Call struct {
	Kind     CallKind
	Request  RequestKey
	Deadline time.Time
	Digest   Digest
	Attempt  Attempt
	// Answer is set for Finish if the answer is complete and at most MaxStored bytes long.
	Answer *Answer
	// WantSets asks the owner for the owner sets that may have granted the request. It is set by an agent that has not run for
	// long enough to know them.
	WantSets bool
}

// Verdict is the decision of an owner on a call.
type Verdict uint8

// The verdicts.
const (
	// Abstained means that the owner makes no decision: for example, it may have forgotten an earlier claim, or the key is too old.
	Abstained Verdict = iota
	// Granted means that the attempt holds the claim at this owner.
	Granted
	// Held means that another attempt holds the claim at this owner.
	Held
	// Answered means that the request ran and its answer is stored.
	Answered
	// Unanswered means that the request may have run and that no answer is stored.
	Unanswered
	// Voided means that this owner will never grant the request.
	Voided
	// Conflict means that the key was used with other content.
	Conflict
)

// Reply is the reply of an owner to a call.
type Reply struct {
	Verdict Verdict
	// Answer is set for Answered.
	Answer *Answer
	// Sets holds all owner sets that may have granted the request. It is empty unless the call has WantSets and the owner knows
	// all of them.
	Sets []Set
}

// Peer is an agent with the address of its control connections.
type Peer struct {
	Machine registrar.MachineName
	Address netip.AddrPort
}

// OwnerReply is the reply of a peer. A peer that does not answer in time has none.
type OwnerReply struct {
	Peer  Peer
	Reply Reply
}
