// Package dispatcher leads a request through its life: claim, admission, passage to the upstream, retry, and exactly one
// outcome.
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

// Outcome is what a caller may conclude about its request.
type Outcome string

// The outcomes.
const (
	// Done means that the whole answer belongs to the caller's own request.
	Done Outcome = "done"
	// NotRun means that nothing reached the upstream and nothing later will.
	NotRun Outcome = "not-run"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
)

// Reasons of decisions.
var (
	// ErrConflict means that the Idempotency-Key was used with other content.
	ErrConflict = eris.New("Idempotency-Key was used with other content")
	// ErrNoClaim means that a majority of the claim owners did not grant the claim.
	ErrNoClaim = eris.New("no majority of claim owners")
	// ErrNoAnswer means that the request ran or may have run, and that its answer is not stored.
	ErrNoAnswer = eris.New("answer is not known")
	// ErrVoid means that the request was given up for good.
	ErrVoid = eris.New("request was given up")
	// ErrUpstream means that the connection to the upstream failed.
	ErrUpstream = eris.New("upstream does not answer")
	// ErrCaller means that the caller gave up.
	ErrCaller = eris.New("caller gave up")
)

// Class says how a request may be repeated.
type Class uint8

// The classes.
const (
	// Safe requests (GET, HEAD, OPTIONS) may be retried.
	Safe Class = iota
	// Once requests without an Idempotency-Key are passed on at most once by this agent.
	Once
	// Claimed requests with an Idempotency-Key run at most once over all agents.
	Claimed
)

// safeMethods change nothing at the upstream (RFC 9110, section 9.2.1).
var safeMethods = []string{"GET", "HEAD", "OPTIONS"}

// ClassOf returns the class of a request. PUT and DELETE are idempotent by RFC 9110, section 9.2.2, but a late repetition
// may undo a newer request, so they are not retried either.
func ClassOf(method, key string) Class {
	switch {
	case slices.Contains(safeMethods, method):
		return Safe
	case key == "":
		return Once
	}
	return Claimed
}

// Request is what the dispatcher has to know about a request.
type Request struct {
	Class    Class
	Customer registrar.CustomerName
	// Deadline is when the request is given up.
	Deadline time.Time
	// Key, KeyDeadline and Digest are set for Claimed requests.
	Key         claimer.RequestKey
	KeyDeadline time.Time
	Digest      claimer.Digest
}

// Passage is how one passage to the upstream ended.
type Passage struct {
	// Reached is true if a byte of the request may have reached the upstream.
	Reached bool
	// Begun is true if a part of the answer went to the caller.
	Begun bool
	// Whole is true if the whole answer of the upstream was read.
	Whole  bool
	Result limiter.Result
	// Answer is the whole answer if it is small enough to be stored.
	Answer *claimer.Answer
}

// Exchange passes a request to the upstream and its answer to the caller.
type Exchange interface {
	Pass(ctx context.Context) Passage
}

// Decision is the end of a request.
type Decision struct {
	Outcome Outcome
	// Reason is nil if the answer came from the upstream.
	Reason error
	// Stored is the answer to send if an earlier attempt has run.
	Stored *claimer.Answer
	// Begun is true if a part of an answer went to the caller, so no other may follow.
	Begun bool
}

// Clock reads the time.
type Clock interface {
	Now() time.Time
	// After delivers once the time has passed.
	After(d time.Duration) <-chan time.Time
}

// Admission grants slots of the upstream.
type Admission interface {
	Enter(now, deadline time.Time) (*limiter.Ticket, error)
	Cancel(now time.Time, t *limiter.Ticket) bool
	Leave(now time.Time, t *limiter.Ticket, r limiter.Result)
}

// Budget bounds retries.
type Budget interface {
	FirstTry(registrar.CustomerName)
	Retry(registrar.CustomerName) bool
}

// Claims carries calls to claim owners.
type Claims interface {
	// Ask calls all peers at once. The channel has room for all replies and is closed once each peer has replied or timed
	// out. The calls go on when ctx ends.
	Ask(ctx context.Context, peers []claimer.Peer, c claimer.Call) <-chan claimer.OwnerReply
}

// Directory knows the claim owners.
type Directory interface {
	Sets(k claimer.RequestKey, deadline time.Time) (sets []claimer.Set, known bool)
}

// Lease tells whether the configuration may be acted on.
type Lease interface {
	Valid(now time.Time) bool
}

// Dispatcher leads requests to one upstream. The exported fields are set before first use.
type Dispatcher struct {
	Clock     Clock
	Admission Admission
	Budget    Budget
	Claims    Claims
	Directory Directory
	Lease     Lease
	// Attempts yields a new attempt each time.
	Attempts func() claimer.Attempt
}

// Dispatch leads a request to its outcome.
func (d *Dispatcher) Dispatch(ctx context.Context, r Request, x Exchange) Decision {
	d.Budget.FirstTry(r.Customer)
	if r.Class == Claimed {
		return d.once(ctx, r, x)
	}
	out, _ := d.pass(ctx, r, x)
	return out
}

// pass gets a slot and passes the request on, again if that is allowed.
func (d *Dispatcher) pass(ctx context.Context, r Request, x Exchange) (Decision, *claimer.Answer) {
	reached := false
	for {
		t, err := d.enter(ctx, r)
		if err != nil {
			return Decision{Outcome: unlessReached(reached), Reason: err}, nil
		}
		p := x.Pass(ctx)
		d.Admission.Leave(d.Clock.Now(), t, p.Result)
		reached = reached || p.Reached
		switch {
		case p.Whole:
			return Decision{Outcome: Done, Begun: p.Begun}, p.Answer
		case p.Begun:
			return Decision{Outcome: Unknown, Reason: ErrUpstream, Begun: true}, nil
		case ctx.Err() != nil:
			return Decision{Outcome: unlessReached(reached), Reason: d.ended(r)}, nil
		case p.Reached && r.Class != Safe, !d.Budget.Retry(r.Customer):
			return Decision{Outcome: unlessReached(reached), Reason: ErrUpstream}, nil
		}
	}
}

// unlessReached returns NotRun if nothing reached the upstream and the attempt is over.
func unlessReached(reached bool) Outcome {
	if reached {
		return Unknown
	}
	return NotRun
}

func (d *Dispatcher) ended(r Request) error {
	if !d.Clock.Now().Before(r.Deadline) {
		return limiter.ErrDeadline
	}
	return ErrCaller
}

// enter waits for a slot.
func (d *Dispatcher) enter(ctx context.Context, r Request) (*limiter.Ticket, error) {
	t, err := d.Admission.Enter(d.Clock.Now(), r.Deadline)
	if err != nil {
		return nil, err
	}
	select {
	case <-t.Ready():
		return t, t.Err()
	case <-ctx.Done():
	}
	if d.Admission.Cancel(d.Clock.Now(), t) {
		if err := t.Err(); err != nil {
			return nil, err
		}
	}
	d.Admission.Leave(d.Clock.Now(), t, limiter.Abandoned)
	return nil, d.ended(r)
}
