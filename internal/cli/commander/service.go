package commander

import (
	"fmt"
	"net/netip"

	"github.com/alecthomas/kingpin/v2"

	"github.com/peridotstage/peridotstage/internal/control/planner"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

func addService(a *app) {
	service := a.Command("service", "Plan changes of services.").HelpLong(`
Examples:
  peridotstage service add order-desk --address 192.0.2.10:443
  peridotstage service list
  # A service is removed after its contracts and upstreams.
  peridotstage service remove order-desk
`)
	add := service.Command("add", "Plan a new service.").HelpLong(`
Examples:
  peridotstage service add order-desk --address 192.0.2.10:443
  peridotstage service add telemetry --address 192.0.2.11:5000 --transport udp
`)
	name := add.Arg("name", "Name of the service.").Required().String()
	address := add.Flag("address", "Address that callers use, IP:PORT.").Required().String()
	transport := add.Flag("transport", "Protocol of callers: quic or udp.").Default(string(registrar.TransportQUIC)).
		Enum(string(registrar.TransportQUIC), string(registrar.TransportUDP))
	add.Action(func(*kingpin.ParseContext) error {
		ap, err := netip.ParseAddrPort(*address)
		if err != nil {
			return usageError{fmt.Errorf("--address %q is not IP:PORT", *address)}
		}
		return a.api.requestPlan(planner.Intent{Kind: planner.AddService, Service: &registrar.Service{
			Name: registrar.ServiceName(*name), Address: ap, Transport: registrar.Transport(*transport),
		}})
	})
	remove := service.Command("remove", "Plan to remove a service without upstreams and contracts.")
	removedName := remove.Arg("name", "Name of the service.").Required().String()
	remove.Action(func(*kingpin.ParseContext) error {
		return a.api.requestPlan(planner.Intent{
			Kind: planner.RemoveService, Service: &registrar.Service{Name: registrar.ServiceName(*removedName)},
		})
	})
	addList(a, service.Command("list", "List services."), "/v1/services",
		[]string{"SERVICE", "ID", "ADDRESS", "TRANSPORT", "GENERATIONS"},
		func(s registrar.Service) []any {
			return []any{s.Name, s.ID, s.Address, s.Transport, len(s.Generations)}
		})
}
