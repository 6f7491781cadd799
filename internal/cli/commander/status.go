package commander

import (
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"github.com/peridotstage/peridotstage/internal/front/administrator"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

func addStatus(a *app) {
	cmd := a.Command("status", "Show the configuration and the nodes that enforce it.").HelpLong(`
Examples:
  peridotstage status
  peridotstage status --output json
`)
	cmd.Action(func(*kingpin.ParseContext) error { return getAndPrint(a.api, "/v1/status", printStatus) })
}

func printStatus(t *table, st administrator.Status) {
	t.printLine("Revision %d, in force at %d of %d nodes.", st.Revision, st.Counts.Enforcing, st.Counts.Nodes)
	if !st.Current {
		t.printLine("This control instance does not know the newest revision.")
	}
	for _, name := range st.UnresponsiveInstances {
		t.printLine("Control instance %s does not answer; nodes that talk to it may be missing.", name)
	}
	t.printHeader("ZONE", "REGION", "WITHDRAWN")
	for _, z := range st.Zones {
		t.printRow(z.Name, z.Region, yesNo(z.Withdrawn))
	}
	t.printLine("")
	t.printHeader("UPSTREAM", "SERVICE", "ZONE", "MACHINE", "WEIGHT", "STATE")
	for _, u := range st.Upstream {
		t.printRow(u.Name, u.Service, u.Zone, u.Machine, u.Weight, formatUpstreamState(u))
	}
	t.printLine("")
	t.printHeader("NODE", "ROLE", "ZONE", "REVISION", "LEASE", "HEARD")
	for _, n := range st.Nodes {
		t.printRow(n.Machine, n.Role, n.Zone, n.Revision, yesNo(n.Leased), formatMilli(n.HeardMilli))
	}
}

func formatUpstreamState(u registrar.Upstream) string {
	state := "serving"
	switch {
	case u.Draining:
		state = "draining"
	case u.Silent:
		state = "silent"
	case u.Retired:
		state = "retired"
	}
	if u.Pinned {
		state += fmt.Sprintf(", weight set to %d", u.Weight)
	}
	return state
}
