package elector_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/peridotstage/peridotstage/internal/control/elector"
)

type voters []elector.MemberID

func (v voters) Voters() []elector.MemberID { return v }

type journal struct{ last elector.Position }

func (j *journal) Last() elector.Position { return j.last }

// letter is a message on its way: a request, an answer, or the append of a leader and its answer.
type letter struct {
	to     elector.MemberID
	ask    *elector.Request
	answer *elector.Answer
	leader elector.MemberID
	term   elector.Term
	sentAt time.Time
	reply  bool
}

// model is a group of electors with durable ballots on a made-up clock.
type model struct {
	t       require.TestingT
	rng     *rand.Rand
	now     time.Time
	ids     voters
	members map[elector.MemberID]*elector.Elector
	ballots map[elector.MemberID]elector.Ballot
	letters []letter
	leaders map[elector.Term]elector.MemberID
	leased  int
}

func newModel(t require.TestingT, seed uint64, n int) *model {
	m := &model{
		t: t, rng: rand.New(rand.NewPCG(seed, 2)), now: time.Unix(1000, 0), members: map[elector.MemberID]*elector.Elector{},
		ballots: map[elector.MemberID]elector.Ballot{}, leaders: map[elector.Term]elector.MemberID{},
	}
	for i := range n {
		m.ids = append(m.ids, elector.MemberID(i+1))
	}
	for _, id := range m.ids {
		m.restart(id)
	}
	return m
}

func (m *model) restart(id elector.MemberID) {
	e := &elector.Elector{Self: id, Electorate: m.ids, Journal: &journal{}, Rand: m.rng}
	e.Start(m.now, m.ballots[id])
	m.members[id] = e
}

func (m *model) act(id elector.MemberID, out elector.Outcome) {
	e := m.members[id]
	m.ballots[id] = e.Ballot()
	if out.Ask != nil {
		for _, to := range m.ids {
			if to != id {
				m.letters = append(m.letters, letter{to: to, ask: out.Ask})
			}
		}
	}
	if out.Elected {
		old, ok := m.leaders[e.Ballot().Term]
		require.True(m.t, !ok || old == id, "two leaders in term %d", e.Ballot().Term)
		m.leaders[e.Ballot().Term] = id
	}
	m.check()
}

// check verifies that a leader with a lease is the newest one.
func (m *model) check() {
	for id, e := range m.members {
		if !e.Leased(m.now) {
			continue
		}
		m.leased++
		for term, other := range m.leaders {
			require.False(m.t, term > e.Ballot().Term, "member %d holds a lease while %d leads term %d", id, other, term)
		}
	}
}

func (m *model) tick() {
	for _, id := range m.ids {
		e := m.members[id]
		m.act(id, e.Tick(m.now))
		if role, _ := e.Standing(); role != elector.Leader {
			continue
		}
		for _, to := range m.ids {
			if to != id {
				m.letters = append(m.letters, letter{to: to, leader: id, term: e.Ballot().Term, sentAt: m.now})
			}
		}
	}
}

func (m *model) deliver(l letter) {
	e := m.members[l.to]
	switch {
	case l.ask != nil:
		a, out := e.Vote(m.now, *l.ask)
		m.act(l.to, out)
		m.letters = append(m.letters, letter{to: l.ask.From, answer: &a})
	case l.answer != nil:
		m.act(l.to, e.Count(m.now, *l.answer))
	case l.reply:
		m.act(l.to, e.Observe(m.now, l.term))
		if l.term == e.Ballot().Term {
			e.Confirm(l.leader, l.sentAt)
		}
	default:
		_, out := e.Hear(m.now, l.leader, l.term)
		m.act(l.to, out)
		m.letters = append(m.letters, letter{
			to: l.leader, leader: l.to, term: e.Ballot().Term, sentAt: l.sentAt, reply: true,
		})
	}
}

// run passes time. Each letter is delivered late, twice or not at all.
func (m *model) run(d time.Duration, loss float64, cut elector.MemberID) {
	for end := m.now.Add(d); m.now.Before(end); m.now = m.now.Add(20 * time.Millisecond) {
		m.tick()
		batch := m.letters
		m.letters = nil
		m.rng.Shuffle(len(batch), func(i, j int) { batch[i], batch[j] = batch[j], batch[i] })
		for _, l := range batch {
			switch n := m.rng.Float64(); {
			case n < loss || l.to == cut:
			case n < loss+0.1:
				m.letters = append(m.letters, l)
			default:
				m.deliver(l)
			}
		}
	}
}

// TestElectorModel guards against two leaders in a term and against a lease that overlaps the term of a later leader, under
// loss, reordering, cuts and restarts.
func TestElectorModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newModel(rt, rapid.Uint64().Draw(rt, "seed"), rapid.SampledFrom([]int{3, 5}).Draw(rt, "members"))
		m.run(2*time.Second, 0, 0)
		for range rapid.IntRange(10, 60).Draw(rt, "rounds") {
			id := m.ids[m.rng.IntN(len(m.ids))]
			var cut elector.MemberID
			switch rapid.IntRange(0, 3).Draw(rt, "fault") {
			case 0:
				m.restart(id)
			case 1:
				cut = id
			case 2:
				for _, all := range m.ids[:len(m.ids)/2+1] {
					m.restart(all)
				}
			}
			m.run(time.Duration(m.rng.Int64N(int64(700*time.Millisecond))), float64(m.rng.IntN(3))*0.15, cut)
		}
		m.run(4*time.Second, 0, 0)
		require.NotZero(rt, m.leased)
		n := 0
		for _, e := range m.members {
			if e.Leased(m.now) {
				n++
			}
		}
		require.Equal(rt, 1, n, "no leader after the faults")
	})
}

// TestPromiseOutlivesRestart guards against a voter that forgets at a restart that a leader relies on it.
func TestPromiseOutlivesRestart(t *testing.T) {
	m := newModel(t, 1, 3)
	m.run(2*time.Second, 0, 0)
	_, leader := m.members[1].Standing()
	require.True(t, m.members[leader].Leased(m.now))
	for _, id := range m.ids {
		if id == leader {
			continue
		}
		m.restart(id)
		for _, pre := range []bool{true, false} {
			a, _ := m.members[id].Vote(m.now, elector.Request{From: id%3 + 1, Term: m.ballots[id].Term + 1, Pre: pre})
			require.False(t, a.Granted)
		}
	}
}

// TestLeaderWithoutMajority guards against a leader that stays one although no majority answers.
func TestLeaderWithoutMajority(t *testing.T) {
	m := newModel(t, 1, 3)
	m.run(2*time.Second, 0, 0)
	_, leader := m.members[1].Standing()
	term := m.ballots[leader].Term
	m.run(elector.MinElection, 1, 0)
	require.False(t, m.members[leader].Leased(m.now))
	m.run(elector.MaxElection, 1, 0)
	role, _ := m.members[leader].Standing()
	require.NotEqual(t, elector.Leader, role)
	require.Equal(t, term, m.ballots[leader].Term, "a member without a majority raises its term")
}

// TestSoleVoterKeepsPromise guards against two leaders with a lease when a group shrinks to one voter: the leader that has just
// lost its vote may rely on that voter for MinElection, also after a restart.
func TestSoleVoterKeepsPromise(t *testing.T) {
	for _, restart := range []bool{false, true} {
		now := time.Unix(1000, 0)
		sole := &elector.Elector{
			Self: 2, Electorate: voters{2}, Journal: &journal{}, Rand: rand.New(rand.NewPCG(1, 1)),
		}
		sole.Start(now, elector.Ballot{Term: 3})
		now = now.Add(elector.MinElection)
		if _, out := sole.Hear(now, 1, 3); restart {
			require.False(t, out.Elected)
			sole.Start(now, sole.Ballot())
		}
		require.False(t, sole.Tick(now.Add(elector.MinElection-time.Millisecond)).Elected, "restart %t", restart)
		require.True(t, sole.Tick(now.Add(elector.MinElection)).Elected, "restart %t", restart)
	}
}
