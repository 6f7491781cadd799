package connector

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/peridotstage/peridotstage/internal/control/replicator"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// members is a directory without addresses.
type members []registrar.MachineName

func (m *members) Others() []registrar.MachineName {
	return append([]registrar.MachineName(nil), *m...)
}

func (m *members) AddressOf(registrar.MachineName) (netip.AddrPort, bool) {
	return netip.AddrPort{}, false
}

// Knowledge implements Directory.
func (m *members) Knowledge(time.Time) []replicator.Knowledge { return nil }

// TestRemovedInstanceCounts guards against a proof that takes a node for fenced although an instance that has just been
// removed from the log granted it a lease.
func TestRemovedInstanceCounts(t *testing.T) {
	m := members{"control-1", "control-2"}
	c := &Collector{Name: "control-0", Directory: &m}
	now := time.Unix(1_800_000_000, 0)
	require.ElementsMatch(t, []registrar.MachineName{"control-1", "control-2"}, c.Observe(now))
	m = members{"control-1"}
	require.ElementsMatch(t, []registrar.MachineName{"control-1", "control-2"}, c.Observe(now.Add(removedGrace)))
	require.ElementsMatch(t, []registrar.MachineName{"control-1"}, c.Observe(now.Add(removedGrace+time.Second)))
}
