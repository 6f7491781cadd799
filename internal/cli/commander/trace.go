package commander

import (
	"net/url"

	"github.com/alecthomas/kingpin/v2"

	"github.com/peridotstage/peridotstage/internal/control/tracer"
)

func addTrace(a *app) { addTraceTo(a, a.Command("trace", "Show where a customer's traffic goes now.")) }

func addTraceTo(a *app, cmd *kingpin.CmdClause) {
	cmd.HelpLong(`
Examples:
  peridotstage trace kilang-maju
  peridotstage customer trace kilang-maju --output json
`)
	name := cmd.Arg("name", "Name of the customer.").Required().String()
	cmd.Action(func(*kingpin.ParseContext) error {
		return get(a.api, "/v1/customers/"+url.PathEscape(*name)+"/trace", printTrace)
	})
}

func printTrace(t *table, v tracer.Trace) {
	t.line("Customer %s at %s, revision %d, cut off: %s", v.Customer.Name, moment(v.AtMilli), v.Revision, yes(v.Customer.Cut))
	for _, c := range v.Contracts {
		t.line("Contract %s: service %s from %v", c.Name, c.Service, c.SourcePrefixes)
	}
	for _, name := range v.Unasked {
		t.line("Control instance %s does not answer; nodes that talk to it may be missing.", name)
	}
	t.line("%d live flows; %d packets passed by entries, %d by agents; %d dropped.", v.LiveFlows, v.PassedByEntries,
		v.PassedByAgents, v.Dropped)
	t.line("")
	t.header("ZONE", "WITHDRAWN", "ENTRIES", "UPSTREAMS", "BUCKETS", "LIVE FLOWS", "PASSED")
	for _, z := range v.Zones {
		t.row(z.Zone, yes(z.Withdrawn), z.Entries, z.Upstreams, z.Buckets, z.LiveFlows, z.Passed)
	}
	t.line("")
	t.header("UPSTREAM", "SERVICE", "ZONE", "BUCKETS", "LIVE FLOWS", "PASSED", "DROPPED", "LAST PASSED", "LEASE")
	for _, u := range v.Upstreams {
		t.row(u.Upstream, u.Service, u.Zone, u.Buckets, u.LiveFlows, u.Passed, u.Dropped, moment(u.LastPassedMilli), yes(u.Leased))
	}
	t.line("")
	t.header("ENTRY", "ZONE", "PASSED", "DROPPED", "LAST PASSED", "LEASE")
	for _, e := range v.Entries {
		t.row(e.Machine, e.Zone, e.Passed, e.Dropped, moment(e.LastPassedMilli), yes(e.Leased))
	}
}
