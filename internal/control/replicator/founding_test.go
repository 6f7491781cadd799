package replicator_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/peridotstage/peridotstage/internal/control/replicator"
)

// TestFoundingDiskLost guards against a group that never gets a log because a disk was lost while the log was founded, and
// against a second log. A member may stop with ErrFounding; emptying its disk as the error says then lets the group recover.
func TestFoundingDiskLost(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.SampledFrom([]int{3, 5}).Draw(rt, "members")
		w := newNetwork(rt, rapid.Uint64().Draw(rt, "seed"), n)
		w.loss = rapid.SampledFrom([]float64{0, 0.2}).Draw(rt, "loss")
		lostMember := w.members[rapid.IntRange(0, n-1).Draw(rt, "lost")]
		w.run(time.Duration(rapid.IntRange(0, 1500).Draw(rt, "ms")) * time.Millisecond)
		w.wipe(lostMember)
		w.run(4 * time.Second)
		for _, m := range w.members {
			if m.failure != nil {
				require.Empty(rt, w.history, "a member stopped with ErrFounding although entries are committed")
				// The wiped members found a new log, whose terms start again at 1.
				clear(w.leaders)
				require.ErrorIs(rt, m.failure, replicator.ErrFounding)
				w.wipe(m)
			}
		}
		requireRecovery(w)
	})
}

// TestFoundingRepeated guards against a group that does not found its log again after disks were lost although no entry can
// have been committed, and against one that does so although an entry may have been.
func TestFoundingRepeated(t *testing.T) {
	for name, tc := range map[string]struct {
		// voters are the members that vote before those in lost lose their disks.
		voters, lost []int
		// stopped are the members that stop with ErrFounding.
		stopped []int
	}{
		"founder lost, all others voted":            {voters: []int{1, 2}, lost: []int{0}},
		"founder lost, one other may have lost too": {voters: []int{1}, lost: []int{0}, stopped: []int{1}},
		"founder and a voter lost":                  {voters: []int{1, 2}, lost: []int{0, 1}, stopped: []int{2}},
		"all others lost before an election":        {lost: []int{1, 2}},
		"all lost":                                  {voters: []int{1, 2}, lost: []int{0, 1, 2}},
	} {
		t.Run(name, func(t *testing.T) {
			w := newNetwork(t, 1, 3)
			for len(w.members[0].disk.entries) == 0 {
				w.run(tick)
			}
			// The founder stops after it has sent its vote requests.
			w.queue = nil
			w.members[0].up = false
			for _, i := range tc.voters {
				w.members[i].disk.ballot.Term, w.members[i].disk.ballot.VotedFor = 2, w.members[0].disk.id
				w.boot(w.members[i])
			}
			for _, i := range tc.lost {
				w.wipe(w.members[i])
			}
			if !w.members[0].up {
				w.boot(w.members[0])
			}
			w.run(5 * time.Second)
			var failed []int
			for i, m := range w.members {
				if m.failure != nil {
					failed = append(failed, i)
				}
			}
			require.Equal(t, tc.stopped, failed)
			for _, i := range failed {
				require.ErrorIs(t, w.members[i].failure, replicator.ErrFounding)
				w.wipe(w.members[i])
			}
			requireRecovery(w)
		})
	}
}
