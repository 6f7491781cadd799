// Package dispatcher processes a request from its arrival to exactly one outcome: it claims the request, waits for admission,
// forwards the request to the upstream and retries it where that is safe.
package dispatcher

import (
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/peridotstage/peridotstage/internal/admit/limiter"
	"github.com/peridotstage/peridotstage/internal/request/claimer"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// Outcome tells a caller whether its request ran.
type Outcome string

// The outcomes.
const (
	// Done means that the caller gets the complete answer to its own request.
	Done Outcome = "done"
	// NotRun means that the request has not reached the upstream and never will.
	NotRun Outcome = "not-run"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
)

// Reasons of a Decision.
var (
	// ErrConflict means that the Idempotency-Key was used with other content.
	ErrConflict = eris.New("Idempotency-Key was used with other content")
	// ErrNoClaim means that a majority of the claim owners did not grant the claim.
	ErrNoClaim = eris.New("no majority of claim owners")
	// ErrNoAnswer means that the request ran or may have run and that its answer is not stored.
	ErrNoAnswer = eris.New("answer is not known")
	// ErrVoid means that the request was voided, so it will never run.
	ErrVoid = eris.New("request was given up")
	// ErrUpstream means that the connection to the upstream failed.
	ErrUpstream = eris.New("upstream does not answer")
	// ErrCaller means that the caller cancelled the request.
	ErrCaller = eris.New("caller gave up")
)

// Class tells whether and how a request may be repeated.
type Class uint8

// The classes.
const (
	// Safe requests (GET, HEAD, OPTIONS) may be retried.
	Safe Class = iota
	// Once requests have no Idempotency-Key; this agent sends each of them to the upstream at most once.
	Once
	// Claimed requests have an Idempotency-Key and run at most once across all agents.
	Claimed
)

// safeMethods do not change state at the upstream (RFC 9110, section 9.2.1).
var safeMethods = []string{"GET", "HEAD", "OPTIONS"}

// ClassOf returns the class of a request. PUT and DELETE are idempotent by RFC 9110, section 9.2.2, but are not retried, because
// a late retry may overwrite the effect of a newer request.
func ClassOf(method, key string) Class {
	switch {
	case slices.Contains(safeMethods, method):
		return Safe
	case key == "":
		return Once
	}
	return Claimed
}

// Request holds the properties of a request that the dispatcher needs.
type Request struct {
	Class    Class
	Customer registrar.CustomerName
	// Deadline is the time at which the request is cancelled.
	Deadline time.Time
	// Key, KeyDeadline and Digest are set for Claimed requests.
	Key         claimer.RequestKey
	KeyDeadline time.Time
	Digest      claimer.Digest
}

// ForwardResult is the result of forwarding a request to the upstream once.
type ForwardResult struct {
	// Reached is true if a byte of the request may have reached the upstream.
	Reached bool
	// AnswerStarted is true if a part of the answer was sent to the caller.
	AnswerStarted bool
	// AnswerComplete is true if the answer of the upstream was read completely.
	AnswerComplete bool
	Result         limiter.Result
	// Answer is the complete answer, or nil if it is too large to be stored.
	Answer *claimer.Answer
}

// Exchange forwards a request to the upstream and the answer to the caller.
type Exchange interface {
	Forward(ctx context.Context) ForwardResult
}

// Decision is the final result of a request.
type Decision struct {
	Outcome Outcome
	// Reason is nil if the answer came from the upstream.
	Reason error
	// StoredAnswer is the stored answer to send if an earlier attempt of the same request has run.
	StoredAnswer *claimer.Answer
	// AnswerStarted is true if a part of the answer was sent to the caller, so no other answer can be sent.
	AnswerStarted bool
}

// Clock provides the time.
type Clock interface {
	Now() time.Time
	// After returns a channel that receives the time once d has elapsed.
	After(d time.Duration) <-chan time.Time
}

// Admission grants slots of the upstream.
type Admission interface {
	Enter(now, deadline time.Time) (*limiter.Ticket, error)
	Cancel(now time.Time, t *limiter.Ticket) bool
	Leave(now time.Time, t *limiter.Ticket, r limiter.Result)
}

// Budget is the retry budget of the customers.
type Budget interface {
	FirstTry(registrar.CustomerName)
	Retry(registrar.CustomerName) bool
}

// Claims sends calls to claim owners.
type Claims interface {
	// Ask calls all peers concurrently. The channel is buffered for all replies and is closed once each peer has replied or timed
	// out. Cancelling ctx does not cancel the calls.
	Ask(ctx context.Context, peers []claimer.Peer, c claimer.Call) <-chan claimer.OwnerReply
}

// Directory looks up the claim owners of a request.
type Directory interface {
	// Sets returns the owner sets of which a majority each must agree. known is false if there may be more of them.
	Sets(k claimer.RequestKey, deadline time.Time) (sets []claimer.Set, known bool)
}

// Lease reports whether the agent's lease on its configuration is valid.
type Lease interface {
	Valid(now time.Time) bool
}

// Dispatcher dispatches requests to one upstream. The exported fields are set before first use.
type Dispatcher struct {
	Clock     Clock
	Admission Admission
	Budget    Budget
	Claims    Claims
	Directory Directory
	Lease     Lease
	// Attempts returns a new attempt on each call.
	Attempts func() claimer.Attempt
}

// Dispatch processes a request and returns its final result.
func (d *Dispatcher) Dispatch(ctx context.Context, r Request, x Exchange) Decision {
	d.Budget.FirstTry(r.Customer)
	if r.Class == Claimed {
		return d.dispatchClaimed(ctx, r, x)
	}
	decision, _ := d.forward(ctx, r, x)
	return decision
}

// forward waits for a slot and forwards the request to the upstream. It retries while the class of the request and the retry
// budget allow it. The answer is returned if it can be stored.
func (d *Dispatcher) forward(ctx context.Context, r Request, x Exchange) (Decision, *claimer.Answer) {
	reached := false
	for {
		ticket, err := d.acquireSlot(ctx, r)
		if err != nil {
			return Decision{Outcome: failureOutcome(reached), Reason: err}, nil
		}
		result := x.Forward(ctx)
		d.Admission.Leave(d.Clock.Now(), ticket, result.Result)
		reached = reached || result.Reached
		switch {
		case result.AnswerComplete:
			return Decision{Outcome: Done, AnswerStarted: result.AnswerStarted}, result.Answer
		case result.AnswerStarted:
			return Decision{Outcome: Unknown, Reason: ErrUpstream, AnswerStarted: true}, nil
		case ctx.Err() != nil:
			return Decision{Outcome: failureOutcome(reached), Reason: d.cancelReason(r)}, nil
		case result.Reached && r.Class != Safe, !d.Budget.Retry(r.Customer):
			return Decision{Outcome: failureOutcome(reached), Reason: ErrUpstream}, nil
		}
	}
}

// failureOutcome returns the outcome of an attempt that ended without an answer: NotRun if the request did not reach the
// upstream.
func failureOutcome(reached bool) Outcome {
	if reached {
		return Unknown
	}
	return NotRun
}

// cancelReason returns the reason for the end of the request's context: its deadline or the caller.
func (d *Dispatcher) cancelReason(r Request) error {
	if !d.Clock.Now().Before(r.Deadline) {
		return limiter.ErrDeadline
	}
	return ErrCaller
}

// acquireSlot waits for a slot of the upstream.
func (d *Dispatcher) acquireSlot(ctx context.Context, r Request) (*limiter.Ticket, error) {
	ticket, err := d.Admission.Enter(d.Clock.Now(), r.Deadline)
	if err != nil {
		return nil, err
	}
	select {
	case <-ticket.Ready():
		return ticket, ticket.Err()
	case <-ctx.Done():
	}
	if d.Admission.Cancel(d.Clock.Now(), ticket) {
		if err := ticket.Err(); err != nil {
			return nil, err
		}
	}
	d.Admission.Leave(d.Clock.Now(), ticket, limiter.Abandoned)
	return nil, d.cancelReason(r)
}
