package commander

import (
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"github.com/peridotstage/peridotstage/internal/control/planner"
)

func addPlan(a *app) {
	plan := a.Command("plan", "Look at plans.")
	list := plan.Command("list", "List plans, oldest first.").HelpLong(`
Examples:
  peridotstage plan list
  peridotstage plan list --limit 20 --after 140 --output json
`)
	addList(a, list, "/v1/plans", []string{"PLAN", "OPERATOR", "AT", "INTENT", "OBJECT", "BASE", "CONFIRMED"},
		func(p planner.Plan) []any {
			confirmed := "no"
			if p.Confirmed != 0 {
				confirmed = fmt.Sprintf("as %d by %s", p.Confirmed, p.ConfirmedBy)
			}
			return []any{p.ID, p.Operator, formatMilli(p.AtMilli), p.Intent.Kind, p.Intent.Object(), p.Base, confirmed}
		})
	show := plan.Command("show", "Show a plan in full.").HelpLong(`
Examples:
  peridotstage plan show 17
`)
	id := show.Arg("plan", "Id of the plan.").Required().Uint64()
	show.Action(func(*kingpin.ParseContext) error {
		return getAndPrint(a.api, fmt.Sprintf("/v1/plans/%d", *id), printPlan)
	})
}
