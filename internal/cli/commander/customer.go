package commander

import (
	"github.com/alecthomas/kingpin/v2"

	"github.com/peridotstage/peridotstage/internal/control/planner"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

func addCustomer(a *app) {
	customer := a.Command("customer", "Plan changes of customers, and prove where their traffic goes.").HelpLong(`
Examples:
  peridotstage customer add kilang-maju
  peridotstage customer trace kilang-maju
  # The cut takes effect once its plan is confirmed.
  peridotstage customer cut kilang-maju
  peridotstage customer proof kilang-maju
`)
	addNameCommand := func(verb, help string, kind planner.IntentKind) {
		cmd := customer.Command(verb, help).HelpLong("\nExamples:\n  peridotstage customer " + verb + " kilang-maju\n")
		name := cmd.Arg("name", "Name of the customer.").Required().String()
		cmd.Action(func(*kingpin.ParseContext) error {
			return a.api.requestPlan(planner.Intent{Kind: kind, Customer: &registrar.Customer{Name: registrar.CustomerName(*name)}})
		})
	}
	addNameCommand("add", "Plan a new customer.", planner.AddCustomer)
	addNameCommand("cut", "Plan to stop all traffic of a customer.", planner.CutCustomer)
	addNameCommand("restore", "Plan to let a customer's traffic pass again.", planner.RestoreCustomer)
	addNameCommand("remove", "Plan to remove a customer without contracts.", planner.RemoveCustomer)
	configureTrace(a, customer.Command("trace", "Show where a customer's traffic goes now."))
	configureProof(a, customer.Command("proof", "Show whether a customer's traffic has stopped, with the evidence of every node."))
	addList(a, customer.Command("list", "List customers."), "/v1/customers", []string{"CUSTOMER", "CUT OFF", "CHANGED AT"},
		func(c registrar.Customer) []any { return []any{c.Name, yesNo(c.Cut), c.CutRevision} })
}
