package publisher

import (
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestSince guards against a returned range that has a gap or does not lead from one revision to the other, and against a range
// that is returned although some of its updates have been removed.
func TestSince(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p Publisher
		first := rapid.IntRange(1, 5).Draw(t, "first revision")
		count := rapid.SampledFrom([]int{0, 1, 7, historyLimit, historyLimit + 3}).Draw(t, "updates")
		last := first + count - 1
		for r := first; r <= last; r++ {
			p.Add(registrar.Update{Revision: registrar.Revision(r)})
		}
		switch rapid.IntRange(0, 2).Draw(t, "event") {
		case 1:
			// Restoring a snapshot leaves a gap in the revisions.
			first, last, count = last+10, last+10, 1
			p.Add(registrar.Update{Revision: registrar.Revision(last)})
		case 2:
			count = 0
			p.Reset()
		}
		oldest := max(first, last+1-historyLimit)
		if count > 0 {
			newest, ok := p.Since(registrar.Revision(last-1), registrar.Revision(last))
			require.True(t, ok)
			require.Len(t, newest, 1)
		}
		after := rapid.IntRange(max(0, oldest-3), last+3).Draw(t, "after")
		upTo := rapid.IntRange(max(0, oldest-3), last+3).Draw(t, "up to")
		got, ok := p.Since(registrar.Revision(after), registrar.Revision(upTo))
		require.Equal(t, after >= upTo || count > 0 && after+1 >= oldest && upTo <= last, ok)
		if !ok || after >= upTo {
			require.Empty(t, got)
			return
		}
		require.Len(t, got, upTo-after)
		for i, u := range got {
			require.Equal(t, registrar.Revision(after+1+i), u.Revision)
		}
	})
}

// TestLargeUpdates guards against a history that is bounded in updates only, and against one that no longer holds the newest update
// because that one alone exceeds the bound.
func TestLargeUpdates(t *testing.T) {
	var p Publisher
	const perUpdate = 1100
	for r := registrar.Revision(1); r <= 100; r++ {
		p.Add(registrar.Update{Revision: r, Changes: make([]registrar.Change, perUpdate)})
	}
	const kept = maxHistoryChanges / perUpdate
	_, ok := p.Since(100-kept, 100)
	require.True(t, ok)
	_, ok = p.Since(100-kept-1, 100)
	require.False(t, ok)
	p.Add(registrar.Update{Revision: 101, Changes: make([]registrar.Change, maxHistoryChanges+1)})
	newest, ok := p.Since(100, 101)
	require.True(t, ok)
	require.Len(t, newest, 1)
	p.Add(registrar.Update{Revision: 102})
	_, ok = p.Since(101, 102)
	require.True(t, ok)
	_, ok = p.Since(100, 102)
	require.False(t, ok)
}
