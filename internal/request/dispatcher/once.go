package dispatcher

import (
	"context"
	"slices"
	"time"

	"github.com/peridotstage/peridotstage/internal/request/claimer"
)

const (
	// firstPoll and longestPoll bound the interval at which an attempt asks how the attempt that holds the claim ended.
	firstPoll   = 20 * time.Millisecond
	longestPoll = 500 * time.Millisecond
)

// once leads a request that must not run twice.
func (d *Dispatcher) once(ctx context.Context, r Request, x Exchange) Decision {
	call := claimer.Call{
		Kind: claimer.Claim, Request: r.Key, Deadline: r.KeyDeadline, Digest: r.Digest, Attempt: d.Attempts(),
	}
	for poll := firstPoll; ; poll = min(2*poll, longestPoll) {
		t := d.ask(ctx, call)
		switch {
		case t.Agreed(claimer.Granted):
			return d.run(ctx, r, x, call)
		case !t.Any(claimer.Held) || !d.sleep(ctx, r, poll):
			return d.conclude(ctx, call, t)
		}
	}
}

// run passes on a request whose claim is held, and reports the end to the owners.
func (d *Dispatcher) run(ctx context.Context, r Request, x Exchange, call claimer.Call) Decision {
	out, answer := d.pass(ctx, r, x)
	if out.Outcome == NotRun {
		// No other attempt can get a majority against the claim, so the outcome is certain already. The void lets a resend
		// learn it too.
		call.Kind = claimer.Void
		d.tell(ctx, call)
		return out
	}
	call.Kind, call.Answer = claimer.Finish, answer
	d.tell(ctx, call)
	return out
}

// conclude ends an attempt that did not get the claim.
func (d *Dispatcher) conclude(ctx context.Context, call claimer.Call, t *claimer.Tally) Decision {
	if out, ok := settled(t); ok {
		return out
	}
	// Another attempt may have run. Only a majority of owners that will never grant the request proves the contrary.
	call.Kind = claimer.Void
	t = d.ask(context.WithoutCancel(ctx), call)
	if out, ok := settled(t); ok {
		return out
	}
	return Decision{Outcome: Unknown, Reason: ErrNoClaim}
}

// settled returns the decision that the owners' replies support.
func settled(t *claimer.Tally) (Decision, bool) {
	switch {
	case t.Answer() != nil:
		return Decision{Outcome: Done, Stored: t.Answer()}, true
	case t.Any(claimer.Unanswered):
		return Decision{Outcome: Unknown, Reason: ErrNoAnswer}, true
	case t.Agreed(claimer.Conflict):
		return Decision{Outcome: NotRun, Reason: ErrConflict}, true
	case t.Any(claimer.Conflict):
		return Decision{Outcome: Unknown, Reason: ErrConflict}, true
	case t.Agreed(claimer.Voided):
		return Decision{Outcome: NotRun, Reason: ErrVoid}, true
	}
	return Decision{}, false
}

// ask calls the owners and returns their replies as soon as they suffice.
func (d *Dispatcher) ask(ctx context.Context, call claimer.Call) *claimer.Tally {
	t := &claimer.Tally{}
	if !d.Lease.Valid(d.Clock.Now()) {
		return t
	}
	t.Sets, t.Known = d.Directory.Sets(call.Request, call.Deadline)
	call.WantSets = !t.Known
	asked := t.Peers()
	d.collect(ctx, t, d.Claims.Ask(ctx, asked, call))
	if more := except(t.Peers(), asked); len(more) > 0 && !enough(t) {
		// An owner named sets that this agent had not heard of.
		d.collect(ctx, t, d.Claims.Ask(ctx, more, call))
	}
	return t
}

// collect adds replies until they suffice.
func (d *Dispatcher) collect(ctx context.Context, t *claimer.Tally, replies <-chan claimer.OwnerReply) {
	for !enough(t) {
		select {
		case r, ok := <-replies:
			if !ok {
				return
			}
			t.Add(r)
		case <-ctx.Done():
			return
		}
	}
}

// enough reports whether further replies cannot change the decision.
func enough(t *claimer.Tally) bool {
	return t.Agreed(claimer.Granted) || t.Agreed(claimer.Voided) || t.Answer() != nil || t.Any(claimer.Unanswered)
}

func except(all, without []claimer.Peer) []claimer.Peer {
	return slices.DeleteFunc(all, func(p claimer.Peer) bool { return slices.Contains(without, p) })
}

// tell informs all owners without waiting for them.
func (d *Dispatcher) tell(ctx context.Context, call claimer.Call) {
	sets, _ := d.Directory.Sets(call.Request, call.Deadline)
	t := &claimer.Tally{Sets: sets}
	d.Claims.Ask(context.WithoutCancel(ctx), t.Peers(), call)
}

// sleep waits before the next question. It returns false if the request's time is over.
func (d *Dispatcher) sleep(ctx context.Context, r Request, wait time.Duration) bool {
	if !d.Clock.Now().Add(wait).Before(r.Deadline) {
		return false
	}
	select {
	case <-d.Clock.After(wait):
		return true
	case <-ctx.Done():
		return false
	}
}
