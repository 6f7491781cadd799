package driver

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/peridotstage/peridotstage/internal/control/replicator"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// frozenForwarder never answers, like a leader that was frozen with an open connection.
type frozenForwarder struct{}

func (frozenForwarder) Forward(ctx context.Context, _ replicator.Member, _ replicator.Proposed) ([]byte, error) {
	<-ctx.Done()
	return nil, replicator.ErrUncertain
}

// TestForwardToFrozenLeader guards against a proposal that waits for a frozen leader after another one has been elected.
func TestForwardToFrozenLeader(t *testing.T) {
	h := &hall{drivers: map[registrar.MachineName]*Driver{}}
	folder := t.TempDir()
	for i := range 3 {
		_, stop := h.start(t, folder, i)
		defer stop()
	}
	d := h.find("control-0")
	require.Eventually(t, func() bool { _, known := d.replica.Leader(); return known }, 20*time.Second, 10*time.Millisecond)
	d.Forwarder = frozenForwarder{}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	_, err := d.forward(ctx, replicator.Member{ID: 1, Name: "control-9"}, replicator.Proposed{Command: []byte("x")})
	require.ErrorIs(t, err, replicator.ErrUncertain)
	require.NoError(t, ctx.Err(), "the proposal waited for its own time limit")
}
