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

func (v voters) PossibleLeaders() []elector.MemberID { return v }

// shrunkVoters are voters of a group that has just removed member 1.
type shrunkVoters struct{ voters }

func (v shrunkVoters) PossibleLeaders() []elector.MemberID { return append(voters{1}, v.voters...) }

type journal struct{ last elector.Position }

func (j *journal) Last() elector.Position { return j.last }

// message is a message in flight: a vote request, its answer, an append of a leader, or the answer to an append.
type message struct {
	to     elector.MemberID
	ask    *elector.Request
	answer *elector.Answer
	leader elector.MemberID
	term   elector.Term
	sentAt time.Time
	reply  bool
}

// model runs a group of electors with durable ballots on a simulated clock.
type model struct {
	t        require.TestingT
	rng      *rand.Rand
	now      time.Time
	ids      voters
	members  map[elector.MemberID]*elector.Elector
	ballots  map[elector.MemberID]elector.Ballot
	inFlight []message
	leaders  map[elector.Term]elector.MemberID
	// leaseChecks counts the checks of a member that held the lease.
	leaseChecks int
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

// handle stores the ballot of a member, queues its vote requests and checks the invariants.
func (m *model) handle(id elector.MemberID, out elector.Outcome) {
	e := m.members[id]
	m.ballots[id] = e.Ballot()
	if out.VoteRequest != nil {
		for _, to := range m.ids {
			if to != id {
				m.inFlight = append(m.inFlight, message{to: to, ask: out.VoteRequest})
			}
		}
	}
	if out.Elected {
		old, ok := m.leaders[e.Ballot().Term]
		require.True(m.t, !ok || old == id, "two leaders in term %d", e.Ballot().Term)
		m.leaders[e.Ballot().Term] = id
	}
	m.checkLease()
}

// checkLease verifies that no member holds a lease while another has been elected in a later term.
func (m *model) checkLease() {
	for id, e := range m.members {
		if !e.HoldsLease(m.now) {
			continue
		}
		m.leaseChecks++
		for term, other := range m.leaders {
			require.False(m.t, term > e.Ballot().Term, "member %d holds a lease while %d leads term %d", id, other, term)
		}
	}
}

func (m *model) tick() {
	for _, id := range m.ids {
		e := m.members[id]
		m.handle(id, e.Tick(m.now))
		if role, _ := e.RoleAndLeader(); role != elector.Leader {
			continue
		}
		for _, to := range m.ids {
			if to != id {
				m.inFlight = append(m.inFlight, message{to: to, leader: id, term: e.Ballot().Term, sentAt: m.now})
			}
		}
	}
}

func (m *model) deliver(msg message) {
	e := m.members[msg.to]
	switch {
	case msg.ask != nil:
		a, out := e.Vote(m.now, *msg.ask)
		m.handle(msg.to, out)
		m.inFlight = append(m.inFlight, message{to: msg.ask.From, answer: &a})
	case msg.answer != nil:
		m.handle(msg.to, e.CountVote(m.now, *msg.answer))
	case msg.reply:
		m.handle(msg.to, e.ObserveTerm(m.now, msg.term))
		if msg.term == e.Ballot().Term {
			e.ConfirmAppend(msg.leader, msg.sentAt)
		}
	default:
		_, out := e.ReceiveAppend(m.now, msg.leader, msg.term)
		m.handle(msg.to, out)
		m.inFlight = append(m.inFlight, message{
			to: msg.leader, leader: msg.to, term: e.Ballot().Term, sentAt: msg.sentAt, reply: true,
		})
	}
}

// run advances the clock in steps of 20 ms and delivers the messages in flight in random order. A message is lost with
// probability loss, delayed by a step with probability 0.1, and lost if it goes to the member cut.
func (m *model) run(d time.Duration, loss float64, cut elector.MemberID) {
	for end := m.now.Add(d); m.now.Before(end); m.now = m.now.Add(20 * time.Millisecond) {
		m.tick()
		batch := m.inFlight
		m.inFlight = nil
		m.rng.Shuffle(len(batch), func(i, j int) { batch[i], batch[j] = batch[j], batch[i] })
		for _, msg := range batch {
			switch n := m.rng.Float64(); {
			case n < loss || msg.to == cut:
			case n < loss+0.1:
				m.inFlight = append(m.inFlight, msg)
			default:
				m.deliver(msg)
			}
		}
	}
}

// TestElectorModel guards against two leaders in a term and against a lease that overlaps the term of a later leader, under
// message loss, reordering, partitions and restarts.
func TestElectorModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newModel(rt, rapid.Uint64().Draw(rt, "seed"), rapid.SampledFrom([]int{3, 5}).Draw(rt, "members"))
		m.run(2*time.Second, 0, 0)
		for range rapid.IntRange(10, 60).Draw(rt, "rounds") {
			id := m.ids[m.rng.IntN(len(m.ids))]
			var cut elector.MemberID
			switch rapid.IntRange(0, 4).Draw(rt, "fault") {
			case 0:
				m.restart(id)
			case 1:
				cut = id
			case 2:
				for _, restarted := range m.ids[:len(m.ids)/2+1] {
					m.restart(restarted)
				}
			case 3:
				for _, restarted := range m.ids {
					m.restart(restarted)
				}
			}
			m.run(time.Duration(m.rng.Int64N(int64(700*time.Millisecond))), float64(m.rng.IntN(3))*0.15, cut)
		}
		m.run(4*time.Second, 0, 0)
		require.NotZero(rt, m.leaseChecks)
		leaseHolders := 0
		for _, e := range m.members {
			if e.HoldsLease(m.now) {
				leaseHolders++
			}
		}
		require.Equal(rt, 1, leaseHolders, "number of lease holders after the faults")
	})
}

// TestRestartedVoterRefusesVotes guards against a voter that grants a vote just after a restart, while a leader may still hold
// a lease that depends on the voter.
func TestRestartedVoterRefusesVotes(t *testing.T) {
	m := newModel(t, 1, 3)
	m.run(2*time.Second, 0, 0)
	_, leader := m.members[1].RoleAndLeader()
	require.True(t, m.members[leader].HoldsLease(m.now))
	for _, id := range m.ids {
		if id == leader {
			continue
		}
		m.restart(id)
		for _, pre := range []bool{true, false} {
			a, _ := m.members[id].Vote(m.now, elector.Request{From: id%3 + 1, Term: m.ballots[id].Term + 1, PreVote: pre})
			require.False(t, a.Granted)
		}
	}
}

// TestAllRestarted guards against a wait for the lease of a leader that has restarted itself, so that callers are without control for
// MinElection after all instances have restarted.
func TestAllRestarted(t *testing.T) {
	for seed := range uint64(20) {
		m := newModel(t, seed, 3)
		m.run(2*time.Second, 0, 0)
		for _, id := range m.ids {
			m.restart(id)
		}
		m.inFlight = nil
		m.run(elector.MinElection-20*time.Millisecond, 0, 0)
		leaseHolders := 0
		for _, e := range m.members {
			if e.HoldsLease(m.now) {
				leaseHolders++
			}
		}
		require.Equal(t, 1, leaseHolders, "seed %d", seed)
	}
}

// TestDelayedRestartList guards against a vote on the word of a request that was sent before the voter restarted once more: in
// between, the voter may have answered an append, and a lease may depend on it.
func TestDelayedRestartList(t *testing.T) {
	m := newModel(t, 1, 3)
	m.run(2*time.Second, 0, 0)
	restarted := map[elector.MemberID]elector.Incarnation{}
	for _, id := range m.ids {
		m.restart(id)
		a, _ := m.members[id].Vote(m.now, elector.Request{From: id%3 + 1, Term: m.ballots[id].Term + 1, PreVote: true})
		require.False(t, a.Granted)
		restarted[id] = a.Incarnation
	}
	request := elector.Request{From: 2, Term: m.ballots[1].Term + 1, PreVote: true, Restarted: restarted}
	a, _ := m.members[1].Vote(m.now, request)
	require.True(t, a.Granted)
	m.restart(1)
	a, _ = m.members[1].Vote(m.now, request)
	require.False(t, a.Granted, "an old incarnation counted")
	_, _ = m.members[3].ReceiveAppend(m.now, 2, m.ballots[3].Term)
	a, _ = m.members[3].Vote(m.now, request)
	require.False(t, a.Granted, "a member that has answered an append counted as restarted")
}

// TestLeaderWithoutMajority guards against a leader that stays leader although no majority answers.
func TestLeaderWithoutMajority(t *testing.T) {
	m := newModel(t, 1, 3)
	m.run(2*time.Second, 0, 0)
	_, leader := m.members[1].RoleAndLeader()
	term := m.ballots[leader].Term
	m.run(elector.MinElection, 1, 0)
	require.False(t, m.members[leader].HoldsLease(m.now))
	m.run(elector.MaxElection, 1, 0)
	role, _ := m.members[leader].RoleAndLeader()
	require.NotEqual(t, elector.Leader, role)
	require.Equal(t, term, m.ballots[leader].Term, "a member without a majority raised its term")
}

// TestSoleVoterWaitsForLease guards against two lease holders when a group shrinks to one voter. The lease of the leader that has
// just lost its vote may depend on that voter for MinElection, even after the voter has restarted.
func TestSoleVoterWaitsForLease(t *testing.T) {
	for _, restart := range []bool{false, true} {
		now := time.Unix(1000, 0)
		sole := &elector.Elector{
			Self: 2, Electorate: shrunkVoters{voters{2}}, Journal: &journal{}, Rand: rand.New(rand.NewPCG(1, 1)),
		}
		sole.Start(now, elector.Ballot{Term: 3})
		now = now.Add(elector.MinElection)
		if _, out := sole.ReceiveAppend(now, 1, 3); restart {
			require.False(t, out.Elected)
			sole.Start(now, sole.Ballot())
		}
		require.False(t, sole.Tick(now.Add(elector.MinElection-time.Millisecond)).Elected, "restart %t", restart)
		require.True(t, sole.Tick(now.Add(elector.MinElection)).Elected, "restart %t", restart)
	}
}
