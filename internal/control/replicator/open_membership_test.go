package replicator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/peridotstage/peridotstage/internal/control/elector"
	"github.com/peridotstage/peridotstage/internal/control/replicator"
)

// newOpenNetwork starts an open group of n instances, the first three of which are the seeds.
func newOpenNetwork(t require.TestingT, seed uint64, n int) *network {
	w := newNetwork(t, seed, n)
	for _, m := range w.members[:min(n, 3)] {
		w.seeds = append(w.seeds, m.name)
	}
	for _, m := range w.members {
		w.boot(m)
	}
	return w
}

// add starts an instance with an empty disk. The seeds of this and later starts are the first three existing instances.
func (w *network) add(number int) *member {
	w.seeds = nil
	for _, m := range w.members[:min(len(w.members), 3)] {
		w.seeds = append(w.seeds, m.name)
	}
	m := &member{name: name(fmt.Sprintf("control-%d", number)), joining: true}
	m.disk.id = replicator.MemberID(w.rng.Uint64() | 1)
	w.members = append(w.members, m)
	w.boot(m)
	return m
}

// remove removes an instance permanently.
func (w *network) remove(m *member) {
	for i, other := range w.members {
		if other == m {
			w.members = append(w.members[:i:i], w.members[i+1:]...)
			return
		}
	}
}

// requireConfirmation checks that the group confirms a proposal within 1 s.
func (w *network) requireConfirmation() {
	confirmedBefore := len(w.confirmed)
	for _, m := range w.members {
		w.propose(m)
	}
	w.run(time.Second)
	require.Greater(w.t, len(w.confirmed), confirmedBefore)
}

// toleratesLoss reports whether every existing instance is a voter, and a majority is left when any one of them is lost. A voter
// that no longer exists may still be a member if there is a majority without it.
func (w *network) toleratesLoss() bool {
	existingVoters, voters := 0, 0
	for _, c := range w.committed {
		if !c.Voter {
			return false
		}
		voters++
		if m := w.find(c.Name); m != nil && m.disk.id == c.ID {
			existingVoters++
		}
	}
	return existingVoters == len(w.members) && existingVoters-1 >= voters/2+1
}

// TestOpenFounding guards against instances other than the seeds that never become voters, and against two logs.
func TestOpenFounding(t *testing.T) {
	for n := 1; n <= 6; n++ {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			w := newOpenNetwork(t, uint64(n), n)
			w.run(4 * time.Second)
			require.True(t, w.healthy(), "%v", w.committed)
		})
	}
}

// TestOpenReplacement guards against a group that keeps a voter which has been removed permanently: the group could then not
// tolerate the next loss.
func TestOpenReplacement(t *testing.T) {
	for _, tc := range []struct {
		name    string
		members int
		// newFirst is true if the new instance starts before the old one is removed.
		newFirst bool
		// removed is the number of the old instance.
		removed int
	}{
		{name: "three, old one removed first", members: 3, removed: 1},
		{name: "three, new one starts first", members: 3, newFirst: true, removed: 1},
		{name: "three, leader or founder removed", members: 3, removed: 0},
		{name: "four, old one removed first", members: 4, removed: 2},
		{name: "four, new one starts first", members: 4, newFirst: true, removed: 3},
		{name: "five, old one removed first", members: 5, removed: 4},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := newOpenNetwork(t, 7, tc.members)
			w.run(4 * time.Second)
			require.True(t, w.healthy())
			old := w.members[tc.removed]
			if tc.newFirst {
				w.add(20)
				w.run(2 * time.Second)
			}
			w.remove(old)
			w.run(time.Second)
			if !tc.newFirst {
				w.add(20)
			}
			w.run(4 * time.Second)
			require.True(t, w.toleratesLoss(), "%v", w.committed)
			// The group continues after the loss of a further instance.
			w.remove(w.members[0])
			w.run(2 * time.Second)
			w.requireConfirmation()
		})
	}
}

// TestOpenModel checks the safety properties of the log in an open group under message loss, suspended processes, partitions,
// lost disks and replaced instances, with one faulty instance at a time.
func TestOpenModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.SampledFrom([]int{3, 4}).Draw(rt, "members")
		w := newOpenNetwork(rt, rapid.Uint64().Draw(rt, "seed"), n)
		w.run(4 * time.Second)
		require.True(rt, w.healthy())
		nextNumber := 20
		for range rapid.IntRange(1, 3).Draw(rt, "rounds") {
			m := w.members[rapid.IntRange(0, len(w.members)-1).Draw(rt, "member")]
			fault := rapid.IntRange(0, 4).Draw(rt, "fault")
			switch fault {
			case 0:
				m.frozen = true
			case 1:
				m.up = false
			case 2:
				for _, o := range w.members {
					w.cut[[2]name{m.name, o.name}], w.cut[[2]name{o.name, m.name}] = true, rapid.Bool().Draw(rt, "both ways")
				}
			case 3:
				w.wipe(m)
			case 4:
				w.remove(m)
				w.run(time.Duration(rapid.IntRange(0, 3000).Draw(rt, "gap ms")) * time.Millisecond)
				w.add(nextNumber)
				nextNumber++
			}
			for range 5 {
				if o := w.members[w.rng.IntN(len(w.members))]; o.up && !o.frozen {
					w.propose(o)
				}
				w.run(time.Duration(rapid.IntRange(10, 1200).Draw(rt, "ms")) * time.Millisecond)
			}
			w.cut = map[[2]name]bool{}
			for _, o := range w.members {
				o.frozen = false
				if !o.up {
					w.boot(o)
				}
			}
			w.run(6 * time.Second)
			require.True(rt, w.toleratesLoss(), "after fault %d: %v", fault, w.committed)
		}
		require.True(rt, porcupine.CheckOperations(registerModel, w.operations), "history is not linearizable")
	})
}

// newMixedNetwork starts an open group of n instances. Those with the given numbers are volatile.
func newMixedNetwork(t require.TestingT, seed uint64, n int, volatile ...int) *network {
	w := newNetwork(t, seed, n)
	for _, i := range volatile {
		w.members[i].volatile = true
	}
	for _, m := range w.members[:min(n, 3)] {
		w.seeds = append(w.seeds, m.name)
	}
	for _, m := range w.members {
		w.boot(m)
	}
	return w
}

// restartAll restarts all members at once, as after a power failure. Volatile members restart with an empty disk.
func (w *network) restartAll() {
	for _, m := range w.members {
		if m.volatile {
			w.wipe(m)
		} else {
			m.joining = true
			w.boot(m)
		}
	}
}

// TestVolatileInstances guards against volatile voters in a group with durable instances: the entries that they confirm would be
// lost with their processes. Whichever of them are seeds, the group is founded, and after a power failure of all instances it
// continues with all confirmed entries.
func TestVolatileInstances(t *testing.T) {
	for _, tc := range []struct {
		name     string
		members  int
		volatile []int
	}{
		{name: "one seed, the founder", members: 6, volatile: []int{0}},
		{name: "two seeds", members: 6, volatile: []int{1, 2}},
		{name: "all seeds", members: 6, volatile: []int{0, 1, 2}},
		{name: "no seed", members: 6, volatile: []int{3, 4, 5}},
		{name: "one durable instance", members: 4, volatile: []int{0, 1, 2}},
		{name: "a single volatile seed", members: 2, volatile: []int{0}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for seed := range uint64(20) {
				w := newMixedNetwork(t, seed, tc.members, tc.volatile...)
				for range 60 {
					w.propose(w.members[w.rng.IntN(len(w.members))])
					w.run(time.Duration(w.rng.Int64N(int64(150 * time.Millisecond))))
				}
				w.run(4 * time.Second)
				require.NotEmpty(t, w.confirmed, "seed %d", seed)
				for _, c := range w.committed {
					require.NotEqual(t, w.find(c.Name).volatile, c.Voter, "seed %d: %v", seed, w.committed)
				}
				require.Len(t, w.committed, len(w.members))
				w.restartAll()
				w.run(6 * time.Second)
				w.requireConfirmation()
				require.True(t, porcupine.CheckOperations(registerModel, w.operations), "seed %d: a confirmed value is lost", seed)
			}
		})
	}
}

// TestVolatileOnly guards against a group of volatile instances that does not confirm proposals, or loses confirmed entries when
// one instance restarts.
func TestVolatileOnly(t *testing.T) {
	w := newMixedNetwork(t, 1, 3, 0, 1, 2)
	w.run(7 * time.Second)
	require.True(t, w.healthy(), "%v", w.committed)
	for _, m := range w.members {
		w.wipe(m)
		w.run(5 * time.Second)
		require.True(t, w.healthy(), "%v", w.committed)
		w.requireConfirmation()
	}
	require.True(t, porcupine.CheckOperations(registerModel, w.operations))
}

// TestElectionAfterPowerLoss guards against a long time without a leader after a power failure of all members, caused by
// candidates that ask for votes too early and then wait too long before they ask again. In 95 of 100 elections a leader holds
// the lease within twice the shortest election timeout after a majority has started; split votes can delay the others.
func TestElectionAfterPowerLoss(t *testing.T) {
	const elections = 100
	lateElections := 0
	for seed := range uint64(elections) {
		w := newOpenNetwork(t, seed, 4)
		w.run(4 * time.Second)
		require.True(t, w.healthy())
		for _, m := range w.members {
			m.up = false
		}
		w.run(time.Second)
		for _, m := range w.members[:3] {
			w.boot(m)
			w.run(time.Duration(w.rng.Int64N(int64(300 * time.Millisecond))))
		}
		majorityStartedAt := w.now
		for !w.hasLeader() {
			w.run(tick)
			require.Less(t, w.now.Sub(majorityStartedAt), 5*time.Second, "seed %d", seed)
		}
		if w.now.Sub(majorityStartedAt) > 2*elector.MinElection {
			lateElections++
		}
	}
	require.LessOrEqual(t, lateElections, elections/20)
}

// hasLeader reports whether a member holds the leader lease.
func (w *network) hasLeader() bool {
	for _, m := range w.members {
		if m.up && m.replica.Leading(w.now) {
			return true
		}
	}
	return false
}
