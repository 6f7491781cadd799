package connector

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/peridotstage/peridotstage/internal/control/replicator"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// nameDirectory is a Directory that knows the names of the other instances but not their addresses.
type nameDirectory []registrar.MachineName

func (d *nameDirectory) Others() []registrar.MachineName {
	return append([]registrar.MachineName(nil), *d...)
}

func (d *nameDirectory) AddressOf(registrar.MachineName) (netip.AddrPort, bool) {
	return netip.AddrPort{}, false
}

// PeerBounds implements Directory.
func (d *nameDirectory) PeerBounds(time.Time) []replicator.PeerBound { return nil }

// TestObserveRemovedInstance guards against a proof that counts a node as fenced although an instance that was just removed
// from the log granted it a lease.
func TestObserveRemovedInstance(t *testing.T) {
	directory := nameDirectory{"control-1", "control-2"}
	c := &Collector{Name: "control-0", Directory: &directory}
	now := time.Unix(1_800_000_000, 0)
	require.ElementsMatch(t, []registrar.MachineName{"control-1", "control-2"}, c.Observe(now))
	directory = nameDirectory{"control-1"}
	require.ElementsMatch(t, []registrar.MachineName{"control-1", "control-2"}, c.Observe(now.Add(removedGracePeriod)))
	require.ElementsMatch(t, []registrar.MachineName{"control-1"}, c.Observe(now.Add(removedGracePeriod+time.Second)))
}
