package runner_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/peridotstage/peridotstage/internal/fake/deployer"
)

// TestGenerationsTrimmed guards against chains that keep growing: once all flows belong to the newest generation, each service
// keeps only that generation.
func TestGenerationsTrimmed(t *testing.T) {
	d := newDeployment(t, 3, 1, 3, 2)
	d.Backends(0, nil)
	d.StartAll()
	d.Configure("estate")
	require.Eventually(t, func() bool {
		s := d.Status().Services
		return len(s) == 1 && len(s[0].Generations) == 1
	}, 2*deployer.WaitTime, 200*time.Millisecond, "generations are not trimmed")
}
