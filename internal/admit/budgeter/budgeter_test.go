package budgeter_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/peridotstage/peridotstage/internal/admit/budgeter"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestBudget guards against retries beyond the budget: in any order of tries, a customer's retries stay below a tenth of its own
// first tries, independently of other customers.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := &budgeter.Budgeter{}
		firstTries, retries := map[registrar.CustomerName]int{}, map[registrar.CustomerName]int{}
		for range rapid.IntRange(1, 500).Draw(t, "steps") {
			name := rapid.SampledFrom([]registrar.CustomerName{"estate", "mill"}).Draw(t, "customer")
			if rapid.IntRange(0, 3).Draw(t, "kind") > 0 {
				b.FirstTry(name)
				firstTries[name]++
			} else if b.Retry(name) {
				retries[name]++
			}
			require.True(t, retries[name] == 0 || retries[name]*10 < firstTries[name])
		}
	})
	b := &budgeter.Budgeter{}
	for range 11 {
		b.FirstTry("estate")
	}
	require.False(t, b.Retry("mill"))
	require.True(t, b.Retry("estate"))
}
