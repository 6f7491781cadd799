package driver

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/peridotstage/peridotstage/internal/control/replicator"
)

// retryInterval is the delay before a proposal that was certainly not applied is retried.
const retryInterval = 50 * time.Millisecond

// pendingProposals holds the proposals made on this member whose outcome is not known yet.
type pendingProposals struct {
	mu        sync.Mutex
	lastToken replicator.Token
	outcomes  map[replicator.Token]chan replicator.Outcome
}

func (p *pendingProposals) register() (replicator.Token, chan replicator.Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.outcomes == nil {
		p.outcomes = map[replicator.Token]chan replicator.Outcome{}
	}
	p.lastToken++
	outcome := make(chan replicator.Outcome, 1)
	p.outcomes[p.lastToken] = outcome
	return p.lastToken, outcome
}

func (p *pendingProposals) remove(token replicator.Token) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.outcomes, token)
}

func (p *pendingProposals) complete(o replicator.Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if result, ok := p.outcomes[o.Token]; ok {
		delete(p.outcomes, o.Token)
		result <- o
	}
}

// failAll completes all pending proposals with an error.
func (p *pendingProposals) failAll(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for token, result := range p.outcomes {
		delete(p.outcomes, token)
		result <- replicator.Outcome{Token: token, Err: err}
	}
}

// Propose writes an entry to the log and returns the result of applying it. It forwards the entry if another member is the
// leader, and waits while no leader is known. After replicator.ErrUncertain the entry may still be applied; after any other error
// it was not applied.
func (d *Driver) Propose(ctx context.Context, entry []byte) ([]byte, error) {
	return d.propose(ctx, replicator.Proposed{Command: entry})
}

// ChangeMembers proposes a change of the membership, under the same rules as Propose.
func (d *Driver) ChangeMembers(ctx context.Context, c replicator.Change) error {
	_, err := d.propose(ctx, replicator.Proposed{Change: &c})
	return err
}

func (d *Driver) propose(ctx context.Context, p replicator.Proposed) ([]byte, error) {
	lastErr := eris.Wrap(replicator.ErrNotLeader, "no leader is known")
	for {
		leader, leaderKnown := d.replica.Leader()
		var result []byte
		err := lastErr
		switch {
		case leaderKnown && leader.ID == d.store.identity():
			result, err = d.ProposeHere(ctx, p)
		case leaderKnown:
			result, err = d.forward(ctx, leader, p)
		}
		if err == nil || !eris.Is(err, replicator.ErrNotLeader) && !eris.Is(err, replicator.ErrDropped) {
			return result, err
		}
		lastErr = err
		timer := time.NewTimer(retryInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil, eris.Wrap(lastErr, "no leader accepted the proposal before the deadline")
		case <-timer.C:
		}
	}
}

// forward sends a proposal to the leader. It stops waiting as soon as another member is the leader, because a leader that is
// suspended or disconnected does not answer. The outcome is then uncertain.
func (d *Driver) forward(ctx context.Context, leader replicator.Member, p replicator.Proposed) ([]byte, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		defer cancel()
		ticker := time.NewTicker(retryInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				if current, known := d.replica.Leader(); known && current.ID != leader.ID {
					return
				}
			}
		}
	}()
	return d.Forwarder.Forward(ctx, leader, p)
}

// ProposeHere writes an entry if this member is the leader, and returns replicator.ErrNotLeader otherwise.
func (d *Driver) ProposeHere(ctx context.Context, p replicator.Proposed) ([]byte, error) {
	token, outcome := d.proposals.register()
	defer d.proposals.remove(token)
	p.Token = token
	select {
	case d.events <- p:
	case <-d.stopped:
		return nil, eris.Wrap(replicator.ErrNotLeader, "instance is stopping")
	case <-ctx.Done():
		return nil, eris.Wrap(replicator.ErrNotLeader, "instance is overloaded")
	}
	select {
	case o := <-outcome:
		return o.Result, o.Err
	case <-d.stopped:
		return nil, eris.Wrap(replicator.ErrUncertain, "instance is stopping")
	case <-ctx.Done():
		return nil, eris.Wrap(replicator.ErrUncertain, "entry was not confirmed before the deadline")
	}
}
