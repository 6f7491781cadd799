package runner_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/peridotstage/peridotstage/internal/control/leaser"
	"github.com/peridotstage/peridotstage/internal/control/planner"
	"github.com/peridotstage/peridotstage/internal/fake/backend"
	"github.com/peridotstage/peridotstage/internal/fake/deployer"
	"github.com/peridotstage/peridotstage/internal/fake/sprayer"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// TestRequestPath guards the whole path: a break anywhere between caller, fabric, entry, agent and upstream fails it.
func TestRequestPath(t *testing.T) {
	d := deployer.New(t, deployer.Options{
		Controls: 1, Entries: 3, Region: "johor", Zones: []registrar.ZoneName{"johor-a", "johor-b"},
		Services: []deployer.Service{{
			Name: "order-desk", Transport: registrar.TransportQUIC, Slots: 2,
			Zones: []registrar.ZoneName{"johor-a", "johor-b", "johor-a"},
		}},
	})
	d.Backends(0, nil)
	fabric := d.Fabric(0, 1)
	d.StartAll()
	d.Configure("estate")

	caller := d.Caller(0, 0)
	a, err := caller.Get("/stock", 5*time.Second)
	require.NoError(t, err)
	require.Equal(t, 200, a.Status)

	const size = 256 << 10
	fabric.SetFaults(sprayer.Faults{Drop: 0.01, Duplicate: 0.01, Delay: 0.05, MaxDelay: 5 * time.Millisecond})
	a, err = caller.Get("/bytes?n=262144", 20*time.Second)
	require.NoError(t, err)
	require.Equal(t, backend.Pattern(size), a.Body)
	fabric.SetFaults(sprayer.Faults{})

	d.Carry(planner.Intent{Kind: planner.CutCustomer, Customer: &registrar.Customer{Name: "estate"}})
	require.Eventually(t, func() bool {
		var p leaser.Proof
		_, err := d.API(0, "GET", "/v1/customers/estate/proof", nil, &p)
		return err == nil && p.Verdict == leaser.Stopped
	}, deployer.WaitTime, 50*time.Millisecond)
	_, err = caller.Get("/stock", time.Second)
	require.Error(t, err, "a customer that was cut off got an answer")
}
