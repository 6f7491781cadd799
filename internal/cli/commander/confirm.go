package commander

import "github.com/alecthomas/kingpin/v2"

func addConfirm(a *app) {
	cmd := a.Command("confirm", "Confirm a plan, so that its changes take effect.").HelpLong(`
Exactly the plan that was shown is applied. If the configuration has changed so that the plan would do something else, it is
stale (exit code 4); ask for a new one. After a lost answer (exit code 5) repeat the command with the same --number.

Examples:
  peridotstage confirm 17
  peridotstage confirm 17 --number 1799999999000000
`)
	id := cmd.Arg("plan", "Id of the plan.").Required().Uint64()
	cmd.Action(func(*kingpin.ParseContext) error { return a.api.confirmPlan(*id) })
}
