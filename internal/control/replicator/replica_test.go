package replicator_test

import (
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/peridotstage/peridotstage/internal/control/replicator"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestReplicaModel checks the safety properties of the log under message loss, reordering, duplicates, partitions, restarts,
// suspended processes and lost disks: at most one leader in a term, equal entries at equal indexes, no lost confirmed entry,
// linearizable results, and no member that claims a newer state than it has.
func TestReplicaModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newNetwork(rt, rapid.Uint64().Draw(rt, "seed"), rapid.SampledFrom([]int{3, 5}).Draw(rt, "members"))
		w.run(3 * time.Second)
		for range rapid.IntRange(20, 60).Draw(rt, "rounds") {
			injectFault(rt, w)
			for range 1 + w.rng.IntN(6) {
				if m := w.members[w.rng.IntN(len(w.members))]; m.up && !m.frozen {
					w.propose(m)
				}
				w.run(time.Duration(w.rng.Int64N(int64(200 * time.Millisecond))))
			}
		}
		requireRecovery(w)
		require.NotZero(rt, w.ageChecks)
		require.NotZero(rt, w.boundChecks)
		require.True(rt, porcupine.CheckOperations(registerModel, w.operations), "history is not linearizable")
	})
}

// injectFault injects or ends one fault of a member, its links or the network.
func injectFault(rt *rapid.T, w *network) {
	m := w.members[w.rng.IntN(len(w.members))]
	switch rapid.IntRange(0, 9).Draw(rt, "fault") {
	case 0:
		m.up = false
	case 1:
		m.frozen = m.up
	case 2, 3:
		if !m.up {
			w.boot(m)
		}
		m.frozen = false
	case 4:
		for _, o := range w.members {
			w.cut[[2]name{m.name, o.name}] = true
			w.cut[[2]name{o.name, m.name}] = w.rng.IntN(2) == 0
		}
	case 5, 6:
		w.cut = map[[2]name]bool{}
	case 7:
		w.loss = float64(w.rng.IntN(3)) * 0.1
	case 8:
		w.boot(m)
	case 9:
		// A disk is lost only if the last member that lost its disk has been replaced.
		if w.healthy() {
			w.wipe(m)
		}
	}
}

// requireRecovery ends all faults and checks that the members converge to one state and that lost disks are replaced.
func requireRecovery(w *network) {
	w.cut, w.loss = map[[2]name]bool{}, 0
	for _, m := range w.members {
		m.frozen = false
		if !m.up {
			w.boot(m)
		}
	}
	for range 300 {
		w.run(100 * time.Millisecond)
		if w.converged() {
			break
		}
	}
	require.True(w.t, w.converged(), "members did not converge: membership %v", w.committed)
	first := w.members[0]
	for _, m := range w.members {
		require.Equal(w.t, first.value, m.value, "state of %s differs", m.name)
	}
	for _, c := range w.confirmed {
		require.LessOrEqual(w.t, c.index, first.applied, "a confirmed entry is lost")
	}
}

// converged reports whether all members are voters, have applied the same entries and claim an age of their state.
func (w *network) converged() bool {
	if !w.healthy() {
		return false
	}
	for _, m := range w.members {
		if m.applied != w.members[0].applied {
			return false
		}
		if _, ok := m.replica.StateAge(w.now); !ok {
			return false
		}
	}
	return true
}

// TestPossibleLeaders guards against a vote without the wait for a lease while a leader that has just removed itself may hold one: it
// leads until its removal is committed, which is certain only once the entry is part of a snapshot.
func TestPossibleLeaders(t *testing.T) {
	voter := func(id replicator.MemberID) replicator.Member { return replicator.Member{ID: id, Voter: true} }
	var l replicator.Log
	l.Reset(replicator.Position{Index: 5, Term: 1}, replicator.Members{voter(1), voter(2), voter(3), {ID: 4}})
	require.ElementsMatch(t, []replicator.MemberID{1, 2, 3}, l.PossibleLeaders())
	require.NoError(t, l.Append(replicator.Entry{Position: replicator.Position{Index: 6, Term: 2}}))
	require.NoError(t, l.Append(replicator.Entry{Position: replicator.Position{Index: 7, Term: 2}, Members: replicator.Members{voter(2), voter(3)}}))
	require.Subset(t, l.PossibleLeaders(), []replicator.MemberID{1, 2, 3})
	require.NoError(t, l.Append(replicator.Entry{Position: replicator.Position{Index: 8, Term: 2}, Members: replicator.Members{voter(2), voter(3), voter(5)}}))
	require.NotContains(t, l.PossibleLeaders(), replicator.MemberID(1))
	require.Subset(t, l.PossibleLeaders(), []replicator.MemberID{2, 3, 5})
	l.Compact(8)
	require.ElementsMatch(t, []replicator.MemberID{2, 3, 5}, l.PossibleLeaders())
}
