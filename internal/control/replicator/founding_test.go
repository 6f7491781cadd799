package replicator_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/peridotstage/peridotstage/internal/control/replicator"
)

// TestFoundingDiskLost guards against a group that never gets a log because a disk was lost while the log was founded, and
// against a second log. A member may end with an error, and its remedy must work.
func TestFoundingDiskLost(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.SampledFrom([]int{3, 5}).Draw(rt, "members")
		w := newNetwork(rt, rapid.Uint64().Draw(rt, "seed"), n)
		w.loss = rapid.SampledFrom([]float64{0, 0.2}).Draw(rt, "loss")
		lost := w.members[rapid.IntRange(0, n-1).Draw(rt, "lost")]
		w.run(time.Duration(rapid.IntRange(0, 1500).Draw(rt, "ms")) * time.Millisecond)
		w.wipe(lost)
		w.run(4 * time.Second)
		for _, m := range w.members {
			if m.failure != nil {
				require.Empty(rt, w.history, "a log with committed entries is given up")
				// Emptied folders begin another log, whose terms begin anew.
				clear(w.leaders)
				require.ErrorIs(rt, m.failure, replicator.ErrFounding)
				w.wipe(m)
			}
		}
		settle(w)
	})
}

// TestFoundingRepeated guards the two ways in which a founding is repeated without help, and the case in which it must not be.
func TestFoundingRepeated(t *testing.T) {
	for name, tc := range map[string]struct {
		// voters have voted before the disks of lost are gone.
		voters, lost []int
		fails        []int
	}{
		"founder lost, all others voted":            {voters: []int{1, 2}, lost: []int{0}},
		"founder lost, one other may have lost too": {voters: []int{1}, lost: []int{0}, fails: []int{1}},
		"founder and a voter lost":                  {voters: []int{1, 2}, lost: []int{0, 1}, fails: []int{2}},
		"all others lost before an election":        {lost: []int{1, 2}},
		"all lost":                                  {voters: []int{1, 2}, lost: []int{0, 1, 2}},
	} {
		t.Run(name, func(t *testing.T) {
			w := newNetwork(t, 1, 3)
			for len(w.members[0].disk.entries) == 0 {
				w.run(tick)
			}
			// The founder falls silent after its requests for votes.
			w.queue = nil
			w.members[0].up = false
			for _, i := range tc.voters {
				w.members[i].disk.ballot.Term, w.members[i].disk.ballot.For = 2, w.members[0].disk.id
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
			require.Equal(t, tc.fails, failed)
			for _, i := range failed {
				require.ErrorIs(t, w.members[i].failure, replicator.ErrFounding)
				w.wipe(w.members[i])
			}
			settle(w)
		})
	}
}
