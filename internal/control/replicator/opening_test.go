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

// newOpenNetwork starts instances that know the first three as seeds, and lets anybody join.
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

// add starts an instance with an empty disk. Its seeds, and those of later starts, are instances that exist.
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

// remove takes an instance away for good.
func (w *network) remove(m *member) {
	for i, other := range w.members {
		if other == m {
			w.members = append(w.members[:i:i], w.members[i+1:]...)
			return
		}
	}
}

// requireService checks that the group confirms a proposal.
func (w *network) requireService() {
	before := len(w.confirmed)
	for _, m := range w.members {
		w.propose(m)
	}
	w.run(time.Second)
	require.Greater(w.t, len(w.confirmed), before)
}

// bearsLoss reports whether every instance has a vote, and the group goes on when any further one is lost. A voter that is
// gone may stay if the group bears a loss all the same.
func (w *network) bearsLoss() bool {
	voting, total := 0, 0
	for _, c := range w.committed {
		if !c.Voter {
			return false
		}
		total++
		if m := w.find(c.Name); m != nil && m.disk.id == c.ID {
			voting++
		}
	}
	return voting == len(w.members) && voting-1 >= total/2+1
}

// TestOpenFounding guards against instances beyond the seeds that never get a vote, and against two logs.
func TestOpenFounding(t *testing.T) {
	for n := 1; n <= 6; n++ {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			w := newOpenNetwork(t, uint64(n), n)
			w.run(4 * time.Second)
			require.True(t, w.healthy(), "%v", w.committed)
		})
	}
}

// TestOpenReplacement guards against a group that keeps a voter which is gone for good: with it the group would not bear the
// next loss.
func TestOpenReplacement(t *testing.T) {
	for _, tc := range []struct {
		name    string
		members int
		// before is true if the newcomer starts before the old instance goes.
		before bool
		gone   int
	}{
		{name: "three, old one goes first", members: 3, gone: 1},
		{name: "three, new one comes first", members: 3, before: true, gone: 1},
		{name: "three, leader or founder goes", members: 3, gone: 0},
		{name: "four, old one goes first", members: 4, gone: 2},
		{name: "four, new one comes first", members: 4, before: true, gone: 3},
		{name: "five, old one goes first", members: 5, gone: 4},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := newOpenNetwork(t, 7, tc.members)
			w.run(4 * time.Second)
			require.True(t, w.healthy())
			old := w.members[tc.gone]
			if tc.before {
				w.add(20)
				w.run(2 * time.Second)
			}
			w.remove(old)
			w.run(time.Second)
			if !tc.before {
				w.add(20)
			}
			w.run(4 * time.Second)
			require.True(t, w.bearsLoss(), "%v", w.committed)
			// Whichever instance is lost next, the others go on.
			w.remove(w.members[0])
			w.run(2 * time.Second)
			w.requireService()
		})
	}
}

// TestOpenModel guards the promises of the log in an open group under lost messages, freezes, cuts, lost disks and
// replacements of instances, one of which may be lost at a time.
func TestOpenModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.SampledFrom([]int{3, 4}).Draw(rt, "members")
		w := newOpenNetwork(rt, rapid.Uint64().Draw(rt, "seed"), n)
		w.run(4 * time.Second)
		require.True(rt, w.healthy())
		next := 20
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
				w.add(next)
				next++
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
			require.True(rt, w.bearsLoss(), "after fault %d: %v", fault, w.committed)
		}
		require.True(rt, porcupine.CheckOperations(registerModel, w.operations), "history is not linearizable")
	})
}

// newMixedNetwork starts an open group of n instances, those with the given numbers volatile.
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

// restartAll makes all members lose power. Those that are volatile come back with nothing.
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

// TestVolatileInstances guards against instances without a disk that keep a vote beside instances that have one: what they
// confirm would be lost with their processes. Whichever of them are seeds, the group is founded, and after a loss of power
// of all it goes on with all that it has confirmed.
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
				w.requireService()
				require.True(t, porcupine.CheckOperations(registerModel, w.operations), "seed %d: a confirmed value is lost", seed)
			}
		})
	}
}

// TestVolatileOnly guards that instances none of which has a disk serve together, and bear the restart of one.
func TestVolatileOnly(t *testing.T) {
	w := newMixedNetwork(t, 1, 3, 0, 1, 2)
	w.run(7 * time.Second)
	require.True(t, w.healthy(), "%v", w.committed)
	for _, m := range w.members {
		w.wipe(m)
		w.run(5 * time.Second)
		require.True(t, w.healthy(), "%v", w.committed)
		w.requireService()
	}
	require.True(t, porcupine.CheckOperations(registerModel, w.operations))
}

// TestElectionAfterPowerLoss guards against a group that is long without a leader after all of its members have lost power:
// whoever asks for votes too early must ask again soon. The target is twice the shortest election timeout after a majority
// is back, for 95 of 100 elections, since votes can be split by chance.
func TestElectionAfterPowerLoss(t *testing.T) {
	const elections = 100
	late := 0
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
		back := w.now
		for !w.hasLeader() {
			w.run(tick)
			require.Less(t, w.now.Sub(back), 5*time.Second, "seed %d", seed)
		}
		if w.now.Sub(back) > 2*elector.MinElection {
			late++
		}
	}
	require.LessOrEqual(t, late, elections/20)
}

// hasLeader reports whether a member leads.
func (w *network) hasLeader() bool {
	for _, m := range w.members {
		if m.up && m.replica.Leading(w.now) {
			return true
		}
	}
	return false
}
