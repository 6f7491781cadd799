package commander

import (
	"net/url"

	"github.com/alecthomas/kingpin/v2"

	"github.com/peridotstage/peridotstage/internal/control/tracer"
)

func addTrace(a *app) {
	configureTrace(a, a.Command("trace", "Show where a customer's traffic goes now."))
}

// configureTrace gives cmd the help, arguments and action of the trace command.
func configureTrace(a *app, cmd *kingpin.CmdClause) {
	cmd.HelpLong(`
Examples:
  peridotstage trace kilang-maju
  peridotstage customer trace kilang-maju --output json
`)
	name := cmd.Arg("name", "Name of the customer.").Required().String()
	cmd.Action(func(*kingpin.ParseContext) error {
		return getAndPrint(a.api, "/v1/customers/"+url.PathEscape(*name)+"/trace", printTrace)
	})
}

func printTrace(t *table, v tracer.Trace) {
	t.printLine("Customer %s at %s, revision %d, cut off: %s", v.Customer.Name, formatMilli(v.AtMilli), v.Revision,
		yesNo(v.Customer.Cut))
	for _, c := range v.Contracts {
		t.printLine("Contract %s: service %s from %v", c.Name, c.Service, c.SourcePrefixes)
	}
	for _, name := range v.UnresponsiveInstances {
		t.printLine("Control instance %s does not answer; nodes that talk to it may be missing.", name)
	}
	t.printLine("%d live flows; %d packets passed by entries, %d by agents; %d dropped.", v.LiveFlows, v.PassedByEntries,
		v.PassedByAgents, v.Dropped)
	t.printLine("")
	t.printHeader("ZONE", "WITHDRAWN", "ENTRIES", "UPSTREAMS", "BUCKETS", "LIVE FLOWS", "PASSED")
	for _, z := range v.Zones {
		t.printRow(z.Zone, yesNo(z.Withdrawn), z.Entries, z.Upstreams, z.Buckets, z.LiveFlows, z.Passed)
	}
	t.printLine("")
	t.printHeader("UPSTREAM", "SERVICE", "ZONE", "BUCKETS", "LIVE FLOWS", "PASSED", "DROPPED", "LAST PASSED", "LEASE")
	for _, u := range v.Upstreams {
		t.printRow(u.Upstream, u.Service, u.Zone, u.Buckets, u.LiveFlows, u.Passed, u.Dropped, formatMilli(u.LastPassedMilli),
			yesNo(u.Leased))
	}
	t.printLine("")
	t.printHeader("ENTRY", "ZONE", "PASSED", "DROPPED", "LAST PASSED", "LEASE")
	for _, e := range v.Entries {
		t.printRow(e.Machine, e.Zone, e.Passed, e.Dropped, formatMilli(e.LastPassedMilli), yesNo(e.Leased))
	}
}
