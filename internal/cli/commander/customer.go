package commander

import (
	"net/http"
	"net/url"

	"github.com/alecthomas/kingpin/v2"

	"github.com/peridotstage/peridotstage/internal/control/planner"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

func addCustomer(a *app) {
	customer := a.Command("customer", "Plan changes of customers, and prove where their traffic goes.")
	named := func(verb, help string, kind planner.IntentKind) {
		cmd := customer.Command(verb, help)
		name := cmd.Arg("name", "Name of the customer.").Required().String()
		cmd.Action(func(*kingpin.ParseContext) error {
			return a.api.plan(planner.Intent{Kind: kind, Customer: &registrar.Customer{Name: registrar.CustomerName(*name)}})
		})
	}
	named("add", "Plan a new customer.", planner.AddCustomer)
	named("cut", "Plan to stop all traffic of a customer.", planner.CutCustomer)
	named("restore", "Plan to let a customer's traffic pass again.", planner.RestoreCustomer)
	named("remove", "Plan to remove a customer without contracts.", planner.RemoveCustomer)
	proof := customer.Command("proof", "Show whether the traffic of a customer has stopped.")
	name := proof.Arg("name", "Name of the customer.").Required().String()
	proof.Action(func(*kingpin.ParseContext) error {
		return a.api.call(http.MethodGet, "/v1/customers/"+url.PathEscape(*name)+"/proof", nil)
	})
}
