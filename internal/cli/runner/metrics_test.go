package runner_test

import (
	"maps"
	"net/netip"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/peridotstage/peridotstage/internal/fake/deployer"
)

// TestMetricsPage guards against a metric that docs/metrics.md lacks, and against a metric that the page lists for a role which
// does not export it.
func TestMetricsPage(t *testing.T) {
	d := newSmallDeployment(t)
	settings := d.ControlSettings(0)
	settings["objectives"] = []deployer.Settings{{"service": "order-desk", "fast_within": "1s"}}
	d.Start("control", "control-0", settings)
	d.StartEntry(0)
	d.StartEntry(1)
	d.StartAgent(0, 0)
	d.StartAgent(0, 1)
	d.Configure("estate")

	page, err := os.ReadFile("../../../docs/metrics.md")
	require.NoError(t, err)
	listed := map[string][]string{}
	for _, m := range regexp.MustCompile("(?m)^\\| `(peridotstage_[a-z_]+)` \\| ([a-z, ]+) \\|").FindAllStringSubmatch(string(page), -1) {
		roles := strings.Split(strings.Replace(m[2], "all", "control, entry, agent", 1), ", ")
		for _, role := range roles {
			listed[role] = append(listed[role], m[1])
		}
	}
	for role, a := range map[string]netip.Addr{"control": d.ControlAddr(0), "entry": d.EntryAddr(0), "agent": d.AgentAddr(0, 0)} {
		served := slices.Collect(maps.Keys(d.Metrics(a)))
		served = slices.DeleteFunc(served, func(s string) bool {
			return !strings.HasPrefix(s, "peridotstage_") || strings.Contains(s, "{")
		})
		require.ElementsMatch(t, listed[role], served, role)
	}
}
