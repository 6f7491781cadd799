package commander

import (
	"fmt"
	"net/netip"

	"github.com/alecthomas/kingpin/v2"

	"github.com/peridotstage/peridotstage/internal/control/planner"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

func addService(a *app) {
	service := a.Command("service", "Plan changes of services.")
	add := service.Command("add", "Plan a new service.")
	name := add.Arg("name", "Name of the service.").Required().String()
	address := add.Flag("address", "Address that callers use, IP:PORT.").Required().String()
	transport := add.Flag("transport", "Protocol of callers: quic or udp.").Default(string(registrar.TransportQUIC)).
		Enum(string(registrar.TransportQUIC), string(registrar.TransportUDP))
	add.Action(func(*kingpin.ParseContext) error {
		ap, err := netip.ParseAddrPort(*address)
		if err != nil {
			return usageError{fmt.Errorf("--address %q is not IP:PORT", *address)}
		}
		return a.api.plan(planner.Intent{Kind: planner.AddService, Service: &registrar.Service{
			Name: registrar.ServiceName(*name), Address: ap, Transport: registrar.Transport(*transport),
		}})
	})
	remove := service.Command("remove", "Plan to remove a service without upstreams and contracts.")
	removed := remove.Arg("name", "Name of the service.").Required().String()
	remove.Action(func(*kingpin.ParseContext) error {
		return a.api.plan(planner.Intent{
			Kind: planner.RemoveService, Service: &registrar.Service{Name: registrar.ServiceName(*removed)},
		})
	})
}
