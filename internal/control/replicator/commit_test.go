package replicator_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/peridotstage/peridotstage/internal/control/elector"
	"github.com/peridotstage/peridotstage/internal/control/replicator"
)

// candidate is a member of three that is driven message by message.
type candidate struct {
	t       *testing.T
	now     time.Time
	replica *replicator.Replica
	sent    []replicator.Send
	done    []replicator.Entry
}

func (c *candidate) step(ev replicator.Event) replicator.Effects {
	c.replica.Step(c.now, ev)
	e := c.replica.Take(c.now)
	c.sent, c.done = append(c.sent, e.Sends...), append(c.done, e.Committed...)
	return e
}

func (c *candidate) receive(term replicator.Term, b replicator.Body) {
	c.step(replicator.Received{Message: replicator.Message{From: 2, To: 1, Sender: "b", Term: term, Body: b}})
}

// newLeader returns the leader of term 3, whose log has an entry of term 2 that is not committed.
func newLeader(t *testing.T) *candidate {
	members := replicator.Members{{ID: 1, Name: "a", Voter: true}, {ID: 2, Name: "b", Voter: true}, {ID: 3, Name: "c", Voter: true}}
	c := &candidate{t: t, now: time.Unix(1000, 0), replica: &replicator.Replica{Self: 1, Name: "a", Rand: rand.New(rand.NewPCG(1, 1))}}
	require.NoError(t, c.replica.Start(c.now, replicator.State{
		Ballot: elector.Ballot{Term: 2},
		Entries: []replicator.Entry{
			{Position: replicator.Position{Index: 1, Term: 1}, Members: members},
			{Position: replicator.Position{Index: 2, Term: 2}, Command: []byte("old")},
		},
	}))
	c.now = c.now.Add(elector.MaxElection)
	c.step(replicator.Tick{})
	for _, pre := range []bool{true, false} {
		c.receive(2, replicator.VoteAnswer{Answer: elector.Answer{From: 2, Term: 3, Granted: true, Pre: pre}})
	}
	return c
}

// answer confirms the log up to an index with the clock reading of the newest append.
func (c *candidate) answer(match replicator.Index) {
	var sentAt replicator.Reading
	for _, s := range c.sent {
		if a, ok := s.Message.Body.(replicator.Append); ok {
			sentAt = a.SentAt
		}
	}
	c.receive(3, replicator.AppendAnswer{Match: match, SentAt: sentAt, ReadAt: replicator.Reading{Session: 9, At: 1}})
}

// TestOldTermNotCommitted guards against a leader that commits an entry of an older term by counting copies: a later leader
// without the entry could still be elected (Ongaro, figure 3.7).
func TestOldTermNotCommitted(t *testing.T) {
	c := newLeader(t)
	c.answer(2)
	require.Empty(t, c.done)
	_, ok := c.replica.Vouch(c.now)
	require.False(t, ok, "a leader that does not know what is committed vouches")
	c.answer(3)
	require.Len(t, c.done, 3)
}

// TestOneChangeAtATime guards against two changes of the membership at once, or one before the leader knows what is
// committed: two majorities could then have no member in common.
func TestOneChangeAtATime(t *testing.T) {
	c := newLeader(t)
	add := func(n name) error {
		e := c.step(replicator.Proposed{Token: 1, Change: &replicator.Change{Verb: replicator.AddMember, Name: n}})
		return e.Written[0].Err
	}
	require.ErrorIs(t, add("d"), replicator.ErrMembership)
	c.answer(3)
	require.NoError(t, add("d"))
	require.ErrorIs(t, add("e"), replicator.ErrMembership)
	c.answer(4)
	require.NoError(t, add("e"))
}
