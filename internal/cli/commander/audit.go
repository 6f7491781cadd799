package commander

import "github.com/peridotstage/peridotstage/internal/control/planner"

func addAudit(a *app) {
	cmd := a.Command("audit", "List who did what and when, oldest first.").HelpLong(`
Examples:
  peridotstage audit
  peridotstage audit --limit 1000 --after 4200 --output json
`)
	addList(a, cmd, "/v1/audit",
		[]string{"SEQUENCE", "AT", "OPERATOR", "ACTION", "INTENT", "OBJECT", "PLAN", "REVISION", "OUTCOME", "NUMBER"},
		func(e planner.AuditEntry) []any {
			return []any{
				e.Sequence, formatMilli(e.AtMilli), e.Operator, e.Action, e.Intent, e.Object, e.Plan, e.Revision, e.Outcome, e.Number,
			}
		})
}
