package responder

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestUnansweredDatagrams guards against datagrams that are counted twice or never, and against a measured time that is
// too short by more than batchWindow.
func TestUnansweredDatagrams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var w unansweredDatagrams
		now := time.Unix(1_700_000_000, 0)
		sent, counted := 0, 0
		var oldest time.Time
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "us")) * time.Microsecond)
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				w.removeAnswered(now, func(d time.Duration, n int) {
					require.LessOrEqual(t, d, now.Sub(oldest))
					counted += n
				})
				require.Equal(t, sent, counted)
				oldest = time.Time{}
			case 1:
				counted += w.removeSentBefore(now.Add(-time.Second))
			default:
				if w.add(now); oldest.IsZero() {
					oldest = now
				}
				sent++
				require.LessOrEqual(t, len(w.batches), maxBatches)
			}
		}
		require.Equal(t, sent, counted+w.removeSentBefore(now.Add(time.Second)))
	})
}
