package spreader_test

import (
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/peridotstage/peridotstage/internal/front/spreader"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestEach guards against tasks that are skipped, run twice or run on more goroutines than the bound allows.
func TestEach(t *testing.T) {
	for _, bound := range []spreader.Spreader{0, 1, 3, 8} {
		for _, n := range []int{0, 1, 2, 500} {
			calls := make([]int, n)
			var running, maxRunning atomic.Int32
			bound.Each(n, func(i int) {
				count := running.Add(1)
				for old := maxRunning.Load(); count > old && !maxRunning.CompareAndSwap(old, count); old = maxRunning.Load() {
				}
				calls[i]++
				running.Add(-1)
			})
			for i := range calls {
				require.Equal(t, 1, calls[i], "task %d of %d with bound %d", i, n, bound)
			}
			require.LessOrEqual(t, maxRunning.Load(), int32(max(1, bound)))
		}
	}
}
