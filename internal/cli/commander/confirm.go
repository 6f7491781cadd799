package commander

import "github.com/alecthomas/kingpin/v2"

func addConfirm(a *app) {
	cmd := a.Command("confirm", "Confirm a plan, so that its changes take effect.")
	id := cmd.Arg("plan", "Id of the plan.").Required().Uint64()
	cmd.Action(func(*kingpin.ParseContext) error { return a.api.confirm(*id) })
}
