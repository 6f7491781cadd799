package commander

import (
	"github.com/alecthomas/kingpin/v2"

	"github.com/peridotstage/peridotstage/internal/control/planner"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

func addZone(a *app) {
	zone := a.Command("zone", "Plan changes of zones (data centres).")
	add := zone.Command("add", "Plan a new zone.")
	name := add.Arg("name", "Name of the zone.").Required().String()
	region := add.Flag("region", "Region of the zone.").Required().String()
	add.Action(func(*kingpin.ParseContext) error {
		return a.api.plan(planner.Intent{Kind: planner.AddZone, Zone: &registrar.Zone{
			Name: registrar.ZoneName(*name), Region: registrar.RegionName(*region),
		}})
	})
	named := func(verb, help string, kind planner.IntentKind) {
		cmd := zone.Command(verb, help)
		name := cmd.Arg("name", "Name of the zone.").Required().String()
		cmd.Action(func(*kingpin.ParseContext) error {
			return a.api.plan(planner.Intent{Kind: kind, Zone: &registrar.Zone{Name: registrar.ZoneName(*name)}})
		})
	}
	named("withdraw", "Plan to take a zone out of service.", planner.WithdrawZone)
	named("return", "Plan to bring a withdrawn zone back.", planner.ReturnZone)
	named("remove", "Plan to remove a zone without upstreams.", planner.RemoveZone)
}
