package registrar_test

import (
	"fmt"
	"net/netip"
	"reflect"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// drawChange returns a change that may or may not be valid.
func drawChange(t *rapid.T) registrar.Change {
	n := rapid.IntRange(0, 2).Draw(t, "object")
	service := registrar.ServiceName(fmt.Sprintf("service-%d", rapid.IntRange(0, 2).Draw(t, "service")))
	zone := registrar.ZoneName(fmt.Sprintf("zone-%d", rapid.IntRange(0, 1).Draw(t, "zone")))
	machine := registrar.MachineName(fmt.Sprintf("machine-%d", n))
	customer := registrar.CustomerName(fmt.Sprintf("customer-%d", rapid.IntRange(0, 1).Draw(t, "customer")))
	flag := rapid.Bool().Draw(t, "flag")
	c := registrar.Change{Kind: rapid.SampledFrom([]registrar.ChangeKind{
		registrar.PutZone, registrar.DeleteZone, registrar.PutService, registrar.DeleteService, registrar.PutUpstream,
		registrar.PutUpstream, registrar.DeleteUpstream, registrar.PutCustomer, registrar.DeleteCustomer, registrar.PutContract,
		registrar.DeleteContract, registrar.PutMachine, registrar.DeleteMachine, registrar.TrimGenerations,
	}).Draw(t, "kind")}
	switch c.Kind {
	case registrar.PutZone, registrar.DeleteZone:
		c.Zone = &registrar.Zone{Name: zone, Region: "johor", Withdrawn: flag}
	case registrar.PutService, registrar.DeleteService:
		c.Service = &registrar.Service{
			Name: service, Address: netip.MustParseAddrPort("10.0.0." + string(service[8]) + ":443"), Transport: registrar.TransportUDP,
		}
	case registrar.PutUpstream, registrar.DeleteUpstream:
		c.Upstream = &registrar.Upstream{
			Name: registrar.UpstreamName(fmt.Sprintf("upstream-%d", n)), Service: service, Zone: zone, Machine: machine, Slots: 2,
			Retired: flag,
		}
	case registrar.PutCustomer, registrar.DeleteCustomer:
		c.Customer = &registrar.Customer{Name: customer, Cut: flag}
	case registrar.PutContract, registrar.DeleteContract:
		c.Contract = &registrar.Contract{
			Name: registrar.ContractName(fmt.Sprintf("contract-%d", n)), Customer: customer, Service: service,
			SourcePrefixes: []netip.Prefix{netip.MustParsePrefix(fmt.Sprintf("10.%d.0.0/16", n))},
		}
	case registrar.PutMachine, registrar.DeleteMachine:
		c.Machine = &registrar.Machine{Name: machine, Incarnation: registrar.Incarnation(rapid.IntRange(0, 3).Draw(t, "start"))}
	case registrar.TrimGenerations:
		c.Trim = &registrar.Trim{Service: service, Before: 100}
	}
	return c
}

// allViews returns the view of each service by name.
func allViews(w *registrar.World) map[registrar.ServiceName]registrar.ServiceView {
	views := map[registrar.ServiceName]registrar.ServiceView{}
	for _, s := range w.Services() {
		views[s.Name], _ = w.View(s.Name)
	}
	return views
}

// TestApplyRandomChanges guards against a node that keeps outdated routing because a change was not recorded for its service,
// against a refused update that is applied in part, and against different digests of equal configurations.
func TestApplyRandomChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := registrar.NewWorld()
		for range 60 {
			viewsBefore, digestBefore := allViews(w), w.Digest()
			u := registrar.Update{Revision: w.Revision() + 1}
			for range rapid.IntRange(1, 2).Draw(t, "changes") {
				u.Changes = append(u.Changes, drawChange(t))
			}
			if err := w.Apply(u); err != nil {
				require.ErrorIs(t, err, registrar.ErrInvalid)
				require.Equal(t, digestBefore, w.Digest(), "a refused update changed the configuration")
				continue
			}
			restored := registrar.NewWorld()
			require.NoError(t, restored.Restore(w.State()))
			require.Equal(t, restored.Digest(), w.Digest(), "the digest of a restored copy differs after %v", u.Changes)
			for name, v := range allViews(w) {
				if !reflect.DeepEqual(viewsBefore[name], v) {
					require.Equal(t, u.Revision, w.ChangeRevision(name), "%s after %v", name, u.Changes)
				}
			}
		}
	})
}
