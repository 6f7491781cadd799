package runner_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/peridotstage/peridotstage/internal/fake/deployer"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// TestGenerationsTrimmed guards against chains that keep growing: once all flows belong to the newest generation, each service
// has one generation left.
func TestGenerationsTrimmed(t *testing.T) {
	d := deployer.New(t, deployer.Options{
		Controls: 3, Entries: 1, Region: "johor", Zones: []registrar.ZoneName{"johor-a", "johor-b"},
		Services: []deployer.Service{{
			Name: "order-desk", Transport: registrar.TransportQUIC, Slots: 2,
			Zones: []registrar.ZoneName{"johor-a", "johor-b", "johor-a"},
		}},
	})
	d.Backends(0, nil)
	d.StartAll()
	d.Configure("estate")
	require.Eventually(t, func() bool {
		s := d.Status().Services
		return len(s) == 1 && len(s[0].Generations) == 1
	}, 2*deployer.WaitTime, 200*time.Millisecond, "generations are not trimmed")
}
