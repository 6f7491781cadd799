package measurer

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// clockTick is the unit of processor time in /proc/PID/stat, see proc(5).
const clockTick = 10 * time.Millisecond

// processorTime returns the processor time that a process has used.
func processorTime(t *testing.T, pid int) time.Duration {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	require.NoError(t, err)
	fields := strings.Fields(string(b[strings.LastIndexByte(string(b), ')')+1:]))
	user, err := strconv.Atoi(fields[11])
	require.NoError(t, err)
	system, err := strconv.Atoi(fields[12])
	require.NoError(t, err)
	return time.Duration(user+system) * clockTick
}
