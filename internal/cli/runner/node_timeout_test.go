package runner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestTimeoutAfter guards against a node behind a slow link that gives up each reply after the same time, and against one that
// waits long for a few silent instances.
func TestTimeoutAfter(t *testing.T) {
	for silent, want := range map[int]time.Duration{
		0: 700 * time.Millisecond, 2: 700 * time.Millisecond, 3: 1400 * time.Millisecond, 6: 2800 * time.Millisecond,
		9: 5600 * time.Millisecond, 1000: 5600 * time.Millisecond,
	} {
		require.Equal(t, want, timeoutAfter(silent), "%d silent tries", silent)
	}
}
