package responder

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestWaitingAnswers guards against datagrams that are counted twice or never, and against a time below the true one by more than
// the step in which datagrams are timed as one.
func TestWaitingAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var w waitingAnswers
		now := time.Unix(1_700_000_000, 0)
		asked, counted := 0, 0
		var oldest time.Time
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "us")) * time.Microsecond)
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				w.answered(now, func(d time.Duration, n int) {
					require.LessOrEqual(t, d, now.Sub(oldest))
					counted += n
				})
				require.Equal(t, asked, counted)
				oldest = time.Time{}
			case 1:
				counted += w.expire(now.Add(-time.Second))
			default:
				if w.ask(now); oldest.IsZero() {
					oldest = now
				}
				asked++
				require.LessOrEqual(t, len(w.asked), maxWaiting)
			}
		}
		require.Equal(t, asked, counted+w.expire(now.Add(time.Second)))
	})
}
