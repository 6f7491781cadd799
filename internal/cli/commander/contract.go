package commander

import (
	"fmt"
	"net/netip"

	"github.com/alecthomas/kingpin/v2"

	"github.com/peridotstage/peridotstage/internal/control/planner"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

func addContract(a *app) {
	contract := a.Command("contract", "Plan changes of contracts between customers and services.").HelpLong(`
Examples:
  peridotstage contract add maju-orders --customer kilang-maju --service order-desk --source 198.51.100.0/24
  peridotstage contract list
`)
	addContractCommand := func(verb, help string, kind planner.IntentKind) {
		cmd := contract.Command(verb, help).HelpLong("\nExamples:\n  peridotstage contract " + verb +
			" maju-orders --customer kilang-maju --service order-desk --source 198.51.100.0/24\n")
		name := cmd.Arg("name", "Name of the contract.").Required().String()
		customer := cmd.Flag("customer", "Customer of the contract.").Required().String()
		service := cmd.Flag("service", "Service of the contract.").Required().String()
		sources := cmd.Flag("source", "Source prefix of the customer; may be repeated.").Required().Strings()
		cmd.Action(func(*kingpin.ParseContext) error {
			c := registrar.Contract{
				Name: registrar.ContractName(*name), Customer: registrar.CustomerName(*customer),
				Service: registrar.ServiceName(*service),
			}
			for _, s := range *sources {
				p, err := netip.ParsePrefix(s)
				if err != nil {
					return usageError{fmt.Errorf("--source %q is not a prefix such as 192.0.2.0/24", s)}
				}
				c.SourcePrefixes = append(c.SourcePrefixes, p)
			}
			return a.api.requestPlan(planner.Intent{Kind: kind, Contract: &c})
		})
	}
	addContractCommand("add", "Plan a new contract.", planner.AddContract)
	addContractCommand("change", "Plan to replace a contract.", planner.ChangeContract)
	remove := contract.Command("remove", "Plan to remove a contract.")
	name := remove.Arg("name", "Name of the contract.").Required().String()
	remove.Action(func(*kingpin.ParseContext) error {
		return a.api.requestPlan(planner.Intent{
			Kind: planner.RemoveContract, Contract: &registrar.Contract{Name: registrar.ContractName(*name)},
		})
	})
	addList(a, contract.Command("list", "List contracts."), "/v1/contracts",
		[]string{"CONTRACT", "CUSTOMER", "SERVICE", "SOURCES"},
		func(c registrar.Contract) []any { return []any{c.Name, c.Customer, c.Service, c.SourcePrefixes} })
}
