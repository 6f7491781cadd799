package tracer

import (
	"maps"
	"slices"

	"github.com/peridotstage/peridotstage/internal/control/leaser"
	"github.com/peridotstage/peridotstage/internal/control/planner"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// Shares returns which part of each customer's live flows is at the upstreams that an intent touches. Customers without live
// flows are left out.
func Shares(in planner.Intent, w *registrar.World, instances []leaser.Instance) []planner.Share {
	inside, total := map[registrar.CustomerName]uint64{}, map[registrar.CustomerName]uint64{}
	for _, s := range newest(instances) {
		if s.Announcement == nil {
			continue
		}
		for _, e := range s.Evidence {
			total[e.Customer] += e.LiveFlows
			if touches(in, w, s, e.Customer) {
				inside[e.Customer] += e.LiveFlows
			}
		}
	}
	shares := []planner.Share{}
	for _, c := range slices.Sorted(maps.Keys(total)) {
		if total[c] > 0 {
			shares = append(shares, planner.Share{Customer: c, Percent: int(100 * inside[c] / total[c])})
		}
	}
	return shares
}

// touches reports whether an intent changes what happens to a customer's flows at an agent.
func touches(in planner.Intent, w *registrar.World, s leaser.Session, c registrar.CustomerName) bool {
	switch {
	case in.Zone != nil:
		return s.Machine.Zone == in.Zone.Name
	case in.Service != nil:
		return s.Announcement.Service == in.Service.Name
	case in.Upstream != nil:
		return s.Announcement.Upstream == in.Upstream.Name
	case in.Customer != nil:
		return c == in.Customer.Name
	case in.Contract != nil:
		old, ok := w.Contract(in.Contract.Name)
		if !ok {
			old = *in.Contract
		}
		return c == old.Customer && s.Announcement.Service == old.Service
	}
	return false
}
