package driver

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/peridotstage/peridotstage/internal/control/replicator"
)

// retryInterval is the wait before a proposal that has certainly not happened is tried again.
const retryInterval = 50 * time.Millisecond

// waiters are the proposals whose outcome is awaited, under its own lock.
type waiters struct {
	mu   sync.Mutex
	next replicator.Token
	open map[replicator.Token]chan replicator.Outcome
}

func (w *waiters) add() (replicator.Token, chan replicator.Outcome) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.open == nil {
		w.open = map[replicator.Token]chan replicator.Outcome{}
	}
	w.next++
	c := make(chan replicator.Outcome, 1)
	w.open[w.next] = c
	return w.next, c
}

func (w *waiters) remove(t replicator.Token) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.open, t)
}

func (w *waiters) finish(o replicator.Outcome) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if c, ok := w.open[o.Token]; ok {
		delete(w.open, o.Token)
		c <- o
	}
}

// fail ends all proposals that wait.
func (w *waiters) fail(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for t, c := range w.open {
		delete(w.open, t)
		c <- replicator.Outcome{Token: t, Err: err}
	}
}

// Propose writes an entry to the log and returns the result of applying it. It passes the entry on to the leader if
// another member leads, and waits for a leader while there is none. With replicator.ErrUncertain the entry may be applied
// later; with other errors nothing has happened.
func (d *Driver) Propose(ctx context.Context, entry []byte) ([]byte, error) {
	return d.propose(ctx, replicator.Proposed{Command: entry})
}

// ChangeMembers changes the membership.
func (d *Driver) ChangeMembers(ctx context.Context, c replicator.Change) error {
	_, err := d.propose(ctx, replicator.Proposed{Change: &c})
	return err
}

func (d *Driver) propose(ctx context.Context, p replicator.Proposed) ([]byte, error) {
	last := eris.Wrap(replicator.ErrNotLeader, "no leader is known")
	for {
		leader, known := d.replica.Leader()
		var result []byte
		err := last
		switch {
		case known && leader.ID == d.store.identity():
			result, err = d.ProposeHere(ctx, p)
		case known:
			result, err = d.forward(ctx, leader, p)
		}
		if err == nil || !eris.Is(err, replicator.ErrNotLeader) && !eris.Is(err, replicator.ErrDropped) {
			return result, err
		}
		last = err
		timer := time.NewTimer(retryInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil, eris.Wrap(last, "no leader has taken the proposal in time")
		case <-timer.C:
		}
	}
}

// forward passes a proposal on. It gives up as soon as another member leads, because a leader that was frozen or cut off does
// not answer. The outcome is uncertain then.
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
				if now, known := d.replica.Leader(); known && now.ID != leader.ID {
					return
				}
			}
		}
	}()
	return d.Forwarder.Forward(ctx, leader, p)
}

// ProposeHere writes an entry if this member is the leader, and returns replicator.ErrNotLeader otherwise.
func (d *Driver) ProposeHere(ctx context.Context, p replicator.Proposed) ([]byte, error) {
	token, outcome := d.waiters.add()
	defer d.waiters.remove(token)
	p.Token = token
	select {
	case d.events <- p:
	case <-d.ended:
		return nil, eris.Wrap(replicator.ErrNotLeader, "the instance stops")
	case <-ctx.Done():
		return nil, eris.Wrap(replicator.ErrNotLeader, "the instance is overloaded")
	}
	select {
	case o := <-outcome:
		return o.Result, o.Err
	case <-d.ended:
		return nil, eris.Wrap(replicator.ErrUncertain, "the instance stops")
	case <-ctx.Done():
		return nil, eris.Wrap(replicator.ErrUncertain, "not confirmed in time")
	}
}
