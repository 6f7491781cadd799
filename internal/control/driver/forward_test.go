package driver

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/peridotstage/peridotstage/internal/control/replicator"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// frozenForwarder never answers, like a leader whose process is suspended while its connection stays open.
type frozenForwarder struct{}

func (frozenForwarder) Forward(ctx context.Context, _ replicator.Member, _ replicator.Proposed) ([]byte, error) {
	<-ctx.Done()
	return nil, replicator.ErrUncertain
}

// TestForwardToFrozenLeader guards against a proposal that keeps waiting for a suspended leader after another one was elected.
func TestForwardToFrozenLeader(t *testing.T) {
	network := &testNetwork{drivers: map[registrar.MachineName]*Driver{}}
	folder := t.TempDir()
	for i := range 3 {
		_, stop := network.startDriver(t, folder, i)
		defer stop()
	}
	d := network.driver("control-0")
	require.Eventually(t, func() bool { _, known := d.replica.Leader(); return known }, 20*time.Second, 10*time.Millisecond)
	d.Forwarder = frozenForwarder{}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	_, err := d.forward(ctx, replicator.Member{ID: 1, Name: "control-9"}, replicator.Proposed{Command: []byte("x")})
	require.ErrorIs(t, err, replicator.ErrUncertain)
	require.NoError(t, ctx.Err(), "the proposal waited until its own deadline")
}
