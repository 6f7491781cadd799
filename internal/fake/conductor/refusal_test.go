package conductor_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/peridotstage/peridotstage/internal/fake/conductor"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// TestRefusedFlow guards against a flow refused at admission that no agent counts, or that both agents of its bucket count.
func TestRefusedFlow(t *testing.T) {
	for service, payload := range [][]byte{[]byte("datagram"), conductor.Initial()} {
		c := conductor.New(services(), 1)
		c.Send(0, conductor.Flow(service, 1), payload)
		require.Len(t, c.Settle(), 1)
		for _, a := range c.Agents {
			require.Empty(t, a.Refused, "an admitted flow was counted as refused")
			a.Full = true
		}
		c.Send(0, conductor.Flow(service, 2), payload)
		require.Empty(t, c.Settle())
		var refused []registrar.CustomerName
		for _, a := range c.Agents {
			refused = append(refused, a.Refused...)
		}
		require.Equal(t, []registrar.CustomerName{"estate"}, refused)
	}
}
