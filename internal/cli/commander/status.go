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
	cmd.Action(func(*kingpin.ParseContext) error { return get(a.api, "/v1/status", printStatus) })
}

func printStatus(t *table, st administrator.Status) {
	t.line("Revision %d, in force at %d of %d nodes.", st.Revision, st.Counts.Enforcing, st.Counts.Nodes)
	if !st.Vouched {
		t.line("This control instance does not know the newest revision.")
	}
	for _, name := range st.Unasked {
		t.line("Control instance %s does not answer; nodes that talk to it may be missing.", name)
	}
	t.header("ZONE", "REGION", "WITHDRAWN")
	for _, z := range st.Zones {
		t.row(z.Name, z.Region, yes(z.Withdrawn))
	}
	t.line("")
	t.header("UPSTREAM", "SERVICE", "ZONE", "MACHINE", "WEIGHT", "STATE")
	for _, u := range st.Upstream {
		t.row(u.Name, u.Service, u.Zone, u.Machine, u.Weight, upstreamState(u))
	}
	t.line("")
	t.header("NODE", "ROLE", "ZONE", "REVISION", "LEASE", "HEARD")
	for _, n := range st.Nodes {
		t.row(n.Machine, n.Role, n.Zone, n.Revision, yes(n.Leased), moment(n.HeardMilli))
	}
}

func upstreamState(u registrar.Upstream) string {
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
