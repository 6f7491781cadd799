package publisher

import (
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestSince guards against updates that have a gap, do not lead from one revision to the other, or are no longer kept.
func TestSince(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p Publisher
		first := rapid.IntRange(1, 5).Draw(t, "first revision")
		count := rapid.SampledFrom([]int{0, 1, 7, historyLimit, historyLimit + 3}).Draw(t, "updates")
		last := first + count - 1
		for r := first; r <= last; r++ {
			p.Add(registrar.Update{Revision: registrar.Revision(r)})
		}
		switch rapid.IntRange(0, 2).Draw(t, "then") {
		case 1:
			// A restored snapshot leaves a gap.
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
		have := rapid.IntRange(max(0, oldest-3), last+3).Draw(t, "have")
		want := rapid.IntRange(max(0, oldest-3), last+3).Draw(t, "want")
		got, ok := p.Since(registrar.Revision(have), registrar.Revision(want))
		require.Equal(t, have >= want || count > 0 && have+1 >= oldest && want <= last, ok)
		if !ok || have >= want {
			require.Empty(t, got)
			return
		}
		require.Len(t, got, want-have)
		for i, u := range got {
			require.Equal(t, registrar.Revision(have+1+i), u.Revision)
		}
	})
}
