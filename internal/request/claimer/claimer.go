// Package claimer decides which attempt of a non-idempotent request may run. An attempt runs only after a majority of the
// key's claim owners has granted it the only claim.
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
	// ErrTooFar means that the deadline of a key lies further ahead than KeyAhead.
	ErrTooFar = eris.New("deadline of Idempotency-Key lies more than 60 s ahead")
)

const (
	// KeyAhead bounds how far the deadline in a key may lie ahead, and with it how long claims matter.
	KeyAhead = 60 * time.Second
	// ClockError bounds the difference between the clocks of two machines, and of one machine before and after a restart.
	ClockError = 5 * time.Second
	// KeepAnswer is how long after the deadline of a key its claim and answer are kept.
	KeepAnswer = 60 * time.Second
	// MaxStored is the largest answer in bytes that is stored.
	MaxStored = 64 << 10
	// OwnerCount is the number of claim owners of a key.
	OwnerCount = 3
	// maxKey bounds the length of a key in bytes.
	maxKey = 256
)

// RequestKey identifies a request. Two requests with equal keys are the same request; the customer is part of it, so no
// caller can reach the answer of another customer.
type RequestKey struct {
	Service  registrar.ServiceName
	Customer registrar.CustomerName
	// Key is the whole Idempotency-Key, including its deadline.
	Key string
}

// ParseKey returns the deadline in an Idempotency-Key.
func ParseKey(now time.Time, key string) (time.Time, error) {
	head, opaque, ok := strings.Cut(key, "-")
	ms, err := strconv.ParseInt(head, 10, 64)
	if !ok || err != nil || ms <= 0 || opaque == "" || len(key) > maxKey || strconv.FormatInt(ms, 10) != head {
		return time.Time{}, ErrKey
	}
	if strings.ContainsFunc(key, func(r rune) bool { return r <= ' ' || r > '~' }) {
		return time.Time{}, ErrKey
	}
	deadline := time.UnixMilli(ms)
	if deadline.After(now.Add(KeyAhead)) {
		return deadline, ErrTooFar
	}
	return deadline, nil
}

// Digest is a hash of everything in a request that the upstream acts on.
type Digest [32]byte

// Attempt identifies one passage of a request through one agent.
type Attempt struct {
	Machine     registrar.MachineName
	Incarnation registrar.Incarnation
	// Number is unique within an incarnation.
	Number uint64
}

// Header holds the fields of an answer by their canonical names.
type Header = map[string][]string

// Answer is a whole answer of an upstream.
type Answer struct {
	Status int
	Header Header
	Body   []byte
}

// CallKind is what a call asks of an owner.
type CallKind uint8

// The kinds of calls.
const (
	// Claim asks for the only claim on a request.
	Claim CallKind = iota + 1
	// Void asks that the request never runs.
	Void
	// Finish says how the attempt that held the claim ended. It is authoritative, since only one attempt can have held a
	// majority.
	Finish
)

// Call is one question to an owner.
type Call struct {
	Kind     CallKind
	Request  RequestKey
	Deadline time.Time
	Digest   Digest
	Attempt  Attempt
	// Answer is set for Finish if the answer is known whole and at most MaxStored bytes long.
	Answer *Answer
	// WantSets asks the owner for the sets of owners that count for the request. An agent that has not run for long enough
	// to know them sets it.
	WantSets bool
}

// Verdict is the answer of an owner.
type Verdict uint8

// The verdicts.
const (
	// Abstained means that the owner may have forgotten an earlier claim, or that the key is too old.
	Abstained Verdict = iota
	// Granted means that the attempt holds the claim at this owner.
	Granted
	// Held means that another attempt does.
	Held
	// Answered means that the request is done and its answer stored.
	Answered
	// Unanswered means that the request may have run and has no stored answer.
	Unanswered
	// Voided means that this owner will never grant the request.
	Voided
	// Conflict means that the key was used with other content.
	Conflict
)

// Reply is the answer of one owner.
type Reply struct {
	Verdict Verdict
	// Answer is set for Answered.
	Answer *Answer
	// Sets are all sets of owners that may have granted the request, as this owner knows them. They are empty unless the
	// call wants them and the owner knows all of them.
	Sets []Set
}

// Peer is an agent that owns claims.
type Peer struct {
	Machine registrar.MachineName
	Address netip.AddrPort
}

// OwnerReply is the reply of a peer. A peer that does not answer in time yields none.
type OwnerReply struct {
	Peer  Peer
	Reply Reply
}
