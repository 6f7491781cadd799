package replicator_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/peridotstage/peridotstage/internal/control/elector"
	"github.com/peridotstage/peridotstage/internal/control/replicator"
)

// singleReplica is one member of a group of three. The test plays the messages of the other members.
type singleReplica struct {
	t         *testing.T
	now       time.Time
	replica   *replicator.Replica
	sent      []replicator.Send
	committed []replicator.Entry
}

func (c *singleReplica) step(ev replicator.Event) replicator.Effects {
	c.replica.Step(c.now, ev)
	e := c.replica.Take(c.now)
	c.sent, c.committed = append(c.sent, e.Sends...), append(c.committed, e.Committed...)
	return e
}

func (c *singleReplica) receive(term replicator.Term, b replicator.Body) {
	c.step(replicator.Received{Message: replicator.Message{From: 2, To: 1, Sender: "b", Term: term, Body: b}})
}

// newLeader returns a replica that has been elected leader in term 3 and whose log has an uncommitted entry of term 2.
func newLeader(t *testing.T) *singleReplica {
	members := replicator.Members{{ID: 1, Name: "a", Voter: true}, {ID: 2, Name: "b", Voter: true}, {ID: 3, Name: "c", Voter: true}}
	c := &singleReplica{
		t: t, now: time.Unix(1000, 0), replica: &replicator.Replica{Self: 1, Name: "a", Rand: rand.New(rand.NewPCG(1, 1))},
	}
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
		c.receive(2, replicator.VoteAnswer{Answer: elector.Answer{From: 2, Term: 3, Granted: true, PreVote: pre}})
	}
	return c
}

// acknowledge plays the answer of member 2 to the newest append, with a match index.
func (c *singleReplica) acknowledge(match replicator.Index) {
	var sentAt replicator.ClockReading
	for _, s := range c.sent {
		if a, ok := s.Message.Body.(replicator.Append); ok {
			sentAt = a.SentAt
		}
	}
	c.receive(3, replicator.AppendAnswer{Match: match, SentAt: sentAt, ReadAt: replicator.ClockReading{Session: 9, At: 1}})
}

// TestOldTermNotCommitted guards against a leader that commits an entry of an older term by counting replicas: a later leader
// without the entry could still be elected (Ongaro, figure 3.7).
func TestOldTermNotCommitted(t *testing.T) {
	c := newLeader(t)
	c.acknowledge(2)
	require.Empty(t, c.committed)
	_, ok := c.replica.StateAge(c.now)
	require.False(t, ok, "a leader without a committed entry of its term claims to be up to date")
	c.acknowledge(3)
	require.Len(t, c.committed, 3)
}

// TestOneMembershipChangeAtATime guards against two concurrent membership changes, and against one before the leader has
// committed an entry of its term: two majorities could then have no member in common.
func TestOneMembershipChangeAtATime(t *testing.T) {
	c := newLeader(t)
	add := func(n name) error {
		e := c.step(replicator.Proposed{Token: 1, Change: &replicator.Change{Verb: replicator.AddMember, Name: n}})
		return e.Written[0].Err
	}
	require.ErrorIs(t, add("d"), replicator.ErrMembership)
	c.acknowledge(3)
	require.NoError(t, add("d"))
	require.ErrorIs(t, add("e"), replicator.ErrMembership)
	c.acknowledge(4)
	require.NoError(t, add("e"))
}
