package runner_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/peridotstage/peridotstage/internal/fake/backend"
	"github.com/peridotstage/peridotstage/internal/fake/sprayer"
)

// TestRequestPath guards against a request that fails on its path from the caller through fabric, entry and agent to the
// upstream, also under packet loss, and against a customer that still gets answers after it was cut off.
func TestRequestPath(t *testing.T) {
	d := newDeployment(t, 1, 3, 3, 2)
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

	d.CutOff("estate")
	_, err = caller.Get("/stock", time.Second)
	require.Error(t, err, "a customer that was cut off got an answer")
}
