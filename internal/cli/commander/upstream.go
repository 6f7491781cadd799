package commander

import (
	"github.com/alecthomas/kingpin/v2"

	"github.com/peridotstage/peridotstage/internal/control/planner"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

func addUpstream(a *app) {
	upstream := a.Command("upstream", "Plan changes of upstreams. Upstreams appear when their agents announce them.")
	named := func(verb, help string, kind planner.IntentKind) {
		cmd := upstream.Command(verb, help)
		name := cmd.Arg("name", "Name of the upstream.").Required().String()
		cmd.Action(func(*kingpin.ParseContext) error {
			return a.api.plan(planner.Intent{Kind: kind, Upstream: &registrar.Upstream{Name: registrar.UpstreamName(*name)}})
		})
	}
	named("retire", "Plan to give an upstream no new flows; its flows stay.", planner.RetireUpstream)
	named("restore", "Plan to give a retired upstream new flows again.", planner.RestoreUpstream)
	named("remove", "Plan to forget an upstream.", planner.RemoveUpstream)
}
