package commander

import (
	"github.com/alecthomas/kingpin/v2"

	"github.com/peridotstage/peridotstage/internal/control/planner"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

func addZone(a *app) {
	zone := a.Command("zone", "Plan changes of zones (data centres).").HelpLong(`
Examples:
  peridotstage zone add johor-c --region johor
  # The plan shows which part of each service's capacity is left.
  peridotstage zone withdraw johor-b
  peridotstage zone return johor-b
`)
	addRegionCommand := func(verb, help string, kind planner.IntentKind) {
		cmd := zone.Command(verb, help).HelpLong("\nExamples:\n  peridotstage zone " + verb + " johor-c --region johor\n")
		name := cmd.Arg("name", "Name of the zone.").Required().String()
		region := cmd.Flag("region", "Region of the zone.").Required().String()
		cmd.Action(func(*kingpin.ParseContext) error {
			return a.api.requestPlan(planner.Intent{Kind: kind, Zone: &registrar.Zone{
				Name: registrar.ZoneName(*name), Region: registrar.RegionName(*region),
			}})
		})
	}
	addRegionCommand("add", "Plan a new zone.", planner.AddZone)
	addRegionCommand("change", "Plan to move a zone to another region.", planner.ChangeZone)
	addNameCommand := func(verb, help string, kind planner.IntentKind) {
		cmd := zone.Command(verb, help).HelpLong("\nExamples:\n  peridotstage zone " + verb + " johor-b\n")
		name := cmd.Arg("name", "Name of the zone.").Required().String()
		cmd.Action(func(*kingpin.ParseContext) error {
			return a.api.requestPlan(planner.Intent{Kind: kind, Zone: &registrar.Zone{Name: registrar.ZoneName(*name)}})
		})
	}
	addNameCommand("withdraw", "Plan to take a zone out of service.", planner.WithdrawZone)
	addNameCommand("return", "Plan to bring a withdrawn zone back.", planner.ReturnZone)
	addNameCommand("remove", "Plan to remove a zone without upstreams.", planner.RemoveZone)
	addList(a, zone.Command("list", "List zones."), "/v1/zones", []string{"ZONE", "REGION", "WITHDRAWN", "CHANGED AT"},
		func(z registrar.Zone) []any { return []any{z.Name, z.Region, yesNo(z.Withdrawn), z.ChangeRevision} })
}
