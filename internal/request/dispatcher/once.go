package dispatcher

import (
	"context"
	"slices"
	"time"

	"github.com/peridotstage/peridotstage/internal/request/claimer"
)

const (
	// minPollInterval and maxPollInterval bound the interval at which an attempt asks the owners whether the attempt that holds the
	// claim has ended.
	minPollInterval = 20 * time.Millisecond
	maxPollInterval = 500 * time.Millisecond
)

// dispatchClaimed dispatches a request with an Idempotency-Key: it forwards the request only after a majority of owners has
// granted the claim.
func (d *Dispatcher) dispatchClaimed(ctx context.Context, r Request, x Exchange) Decision {
	call := claimer.Call{
		Kind: claimer.Claim, Request: r.Key, Deadline: r.KeyDeadline, Digest: r.Digest, Attempt: d.Attempts(),
	}
	for interval := minPollInterval; ; interval = min(2*interval, maxPollInterval) {
		tally := d.askOwners(ctx, call)
		switch {
		case tally.Agreed(claimer.Granted):
			return d.forwardClaimed(ctx, r, x, call)
		case !tally.Any(claimer.Held) || !d.waitForPoll(ctx, r, interval):
			return d.concludeUnclaimed(ctx, call, tally)
		}
	}
}

// forwardClaimed forwards a request for which this attempt holds the claim, and reports the result to the owners.
func (d *Dispatcher) forwardClaimed(ctx context.Context, r Request, x Exchange, call claimer.Call) Decision {
	decision, answer := d.forward(ctx, r, x)
	if decision.Outcome == NotRun {
		// No other attempt can get a majority while this one holds the claim, so the request has not run. Voiding it lets a resend
		// get the same outcome.
		call.Kind = claimer.Void
		d.notifyOwners(ctx, call)
		return decision
	}
	call.Kind, call.Answer = claimer.Finish, answer
	d.notifyOwners(ctx, call)
	return decision
}

// concludeUnclaimed decides the outcome of an attempt that did not get the claim.
func (d *Dispatcher) concludeUnclaimed(ctx context.Context, call claimer.Call, tally *claimer.Tally) Decision {
	if decision, ok := decide(tally); ok {
		return decision
	}
	// Another attempt may have run. Only a majority of owners that have voided the request proves that none did.
	call.Kind = claimer.Void
	tally = d.askOwners(context.WithoutCancel(ctx), call)
	if decision, ok := decide(tally); ok {
		return decision
	}
	return Decision{Outcome: Unknown, Reason: ErrNoClaim}
}

// decide returns the decision that follows from the owners' replies, if they suffice for one.
func decide(tally *claimer.Tally) (Decision, bool) {
	switch {
	case tally.Answer() != nil:
		return Decision{Outcome: Done, StoredAnswer: tally.Answer()}, true
	case tally.Any(claimer.Unanswered):
		return Decision{Outcome: Unknown, Reason: ErrNoAnswer}, true
	case tally.Agreed(claimer.Conflict):
		return Decision{Outcome: NotRun, Reason: ErrConflict}, true
	case tally.Any(claimer.Conflict):
		return Decision{Outcome: Unknown, Reason: ErrConflict}, true
	case tally.Agreed(claimer.Voided):
		return Decision{Outcome: NotRun, Reason: ErrVoid}, true
	}
	return Decision{}, false
}

// askOwners sends a call to the owners of the request and returns their replies as soon as they suffice for a decision.
func (d *Dispatcher) askOwners(ctx context.Context, call claimer.Call) *claimer.Tally {
	tally := &claimer.Tally{}
	if !d.Lease.Valid(d.Clock.Now()) {
		return tally
	}
	tally.Sets, tally.SetsComplete = d.Directory.Sets(call.Request, call.Deadline)
	call.WantSets = !tally.SetsComplete
	askedPeers := tally.Peers()
	d.collect(ctx, tally, d.Claims.Ask(ctx, askedPeers, call))
	if addedPeers := peersNotIn(tally.Peers(), askedPeers); len(addedPeers) > 0 && !isDecided(tally) {
		// An owner reported owner sets that were unknown to this agent.
		d.collect(ctx, tally, d.Claims.Ask(ctx, addedPeers, call))
	}
	return tally
}

// collect adds replies to the tally until they suffice for a decision.
func (d *Dispatcher) collect(ctx context.Context, tally *claimer.Tally, replies <-chan claimer.OwnerReply) {
	for !isDecided(tally) {
		select {
		case reply, ok := <-replies:
			if !ok {
				return
			}
			tally.Add(reply)
		case <-ctx.Done():
			return
		}
	}
}

// isDecided reports whether further replies cannot change the decision.
func isDecided(tally *claimer.Tally) bool {
	return tally.Agreed(claimer.Granted) || tally.Agreed(claimer.Voided) || tally.Answer() != nil || tally.Any(claimer.Unanswered)
}

func peersNotIn(peers, excluded []claimer.Peer) []claimer.Peer {
	return slices.DeleteFunc(peers, func(p claimer.Peer) bool { return slices.Contains(excluded, p) })
}

// notifyOwners sends a call to all known owners without waiting for replies.
func (d *Dispatcher) notifyOwners(ctx context.Context, call claimer.Call) {
	sets, _ := d.Directory.Sets(call.Request, call.Deadline)
	tally := &claimer.Tally{Sets: sets}
	d.Claims.Ask(context.WithoutCancel(ctx), tally.Peers(), call)
}

// waitForPoll waits until the next poll of the owners. It returns false if the deadline of the request comes first or its context
// ends.
func (d *Dispatcher) waitForPoll(ctx context.Context, r Request, wait time.Duration) bool {
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
