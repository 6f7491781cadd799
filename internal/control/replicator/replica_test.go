package replicator_test

import (
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestReplicaModel guards the promises of the log under loss, reordering, duplicates, partitions, restarts, freezes and lost
// disks: one leader a term, equal entries at equal indexes, no confirmed entry lost, results that fit one order, and no
// member that vouches for more than it knows.
func TestReplicaModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newNetwork(rt, rapid.Uint64().Draw(rt, "seed"), rapid.SampledFrom([]int{3, 5}).Draw(rt, "members"))
		w.run(3 * time.Second)
		for range rapid.IntRange(20, 60).Draw(rt, "rounds") {
			disturb(rt, w)
			for range 1 + w.rng.IntN(6) {
				if m := w.members[w.rng.IntN(len(w.members))]; m.up && !m.frozen {
					w.propose(m)
				}
				w.run(time.Duration(w.rng.Int64N(int64(200 * time.Millisecond))))
			}
		}
		settle(w)
		require.NotZero(rt, w.vouched)
		require.NotZero(rt, w.bounded)
		require.True(rt, porcupine.CheckOperations(registerModel, w.operations), "history is not linearizable")
	})
}

// disturb does one thing to a member or its links.
func disturb(rt *rapid.T, w *network) {
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
		// The next disk is lost as soon as the place of the last one is taken.
		if w.healthy() {
			w.wipe(m)
		}
	}
}

// settle ends all faults and checks that all members agree and that lost disks are replaced.
func settle(w *network) {
	w.cut, w.loss = map[[2]name]bool{}, 0
	for _, m := range w.members {
		m.frozen = false
		if !m.up {
			w.boot(m)
		}
	}
	for range 300 {
		w.run(100 * time.Millisecond)
		if w.settled() {
			break
		}
	}
	require.True(w.t, w.settled(), "members do not agree: members %v", w.committed)
	last := w.members[0]
	for _, m := range w.members {
		require.Equal(w.t, last.value, m.value, "state of %s differs", m.name)
	}
	for _, c := range w.confirmed {
		require.LessOrEqual(w.t, c.index, last.applied, "a confirmed entry is lost")
	}
}

func (w *network) settled() bool {
	if !w.healthy() {
		return false
	}
	for _, m := range w.members {
		if m.applied != w.members[0].applied {
			return false
		}
		if _, ok := m.replica.Vouch(w.now); !ok {
			return false
		}
	}
	return true
}
