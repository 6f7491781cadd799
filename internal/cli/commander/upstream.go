package commander

import (
	"github.com/alecthomas/kingpin/v2"

	"github.com/peridotstage/peridotstage/internal/control/planner"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

func addUpstream(a *app) {
	upstream := a.Command("upstream", "Plan changes of upstreams. Upstreams appear when their agents announce them.").HelpLong(`
Examples:
  peridotstage upstream list
  # The upstream keeps its flows and gets no new ones.
  peridotstage upstream retire order-desk-3
  # Two slots instead of the measured capacity; 0 follows the measured capacity again.
  peridotstage upstream change order-desk-3 --weight 2000
`)
	addNameCommand := func(verb, help string, kind planner.IntentKind) {
		cmd := upstream.Command(verb, help).HelpLong("\nExamples:\n  peridotstage upstream " + verb + " order-desk-3\n")
		name := cmd.Arg("name", "Name of the upstream.").Required().String()
		cmd.Action(func(*kingpin.ParseContext) error {
			return a.api.requestPlan(planner.Intent{Kind: kind, Upstream: &registrar.Upstream{Name: registrar.UpstreamName(*name)}})
		})
	}
	addNameCommand("retire", "Plan to give an upstream no new flows; its flows stay.", planner.RetireUpstream)
	addNameCommand("restore", "Plan to give a retired upstream new flows again.", planner.RestoreUpstream)
	addNameCommand("remove", "Plan to forget an upstream.", planner.RemoveUpstream)
	change := upstream.Command("change", "Plan to set the weight of an upstream.").HelpLong(`
Examples:
  peridotstage upstream change order-desk-3 --weight 2000
`)
	name := change.Arg("name", "Name of the upstream.").Required().String()
	weight := change.Flag("weight", "Capacity in thousandths of a slot; 0 follows the measured capacity.").Required().Uint32()
	change.Action(func(*kingpin.ParseContext) error {
		return a.api.requestPlan(planner.Intent{Kind: planner.ChangeUpstream, Upstream: &registrar.Upstream{
			Name: registrar.UpstreamName(*name), Weight: registrar.Weight(*weight),
		}})
	})
	addList(a, upstream.Command("list", "List upstreams."), "/v1/upstreams",
		[]string{"UPSTREAM", "ID", "SERVICE", "ZONE", "MACHINE", "SLOTS", "WEIGHT", "STATE"},
		func(u registrar.Upstream) []any {
			return []any{u.Name, u.ID, u.Service, u.Zone, u.Machine, u.Slots, u.Weight, formatUpstreamState(u)}
		})
}
