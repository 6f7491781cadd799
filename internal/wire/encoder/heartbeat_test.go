package encoder_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/peridotstage/peridotstage/internal/control/leaser"
	"github.com/peridotstage/peridotstage/internal/wire/encoder"
)

// TestDigestOfOtherVersion guards against the full state being sent to every node during an upgrade, because versions with
// other fields compute other digests.
func TestDigestOfOtherVersion(t *testing.T) {
	for version, want := range map[uint32]uint64{encoder.Protocol: 7, encoder.Protocol + 1: 0} {
		m, err := encoder.HeartbeatToMessage(leaser.Heartbeat{Digest: 7})
		require.NoError(t, err)
		m.Protocol = version
		h, err := encoder.HeartbeatFromMessage(m)
		require.NoError(t, err)
		require.Equal(t, want, h.Digest, "version %d", version)
	}
}
