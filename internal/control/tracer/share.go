package tracer

import (
	"maps"
	"slices"

	"github.com/peridotstage/peridotstage/internal/control/leaser"
	"github.com/peridotstage/peridotstage/internal/control/planner"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// Shares returns the percentage of each customer's live flows that an intent affects. Customers without live flows are left out.
func Shares(intent planner.Intent, w *registrar.World, instances []leaser.Instance) []planner.Share {
	affected, total := map[registrar.CustomerName]uint64{}, map[registrar.CustomerName]uint64{}
	for _, s := range newestSessions(instances) {
		if s.Announcement == nil {
			continue
		}
		for _, e := range s.Evidence {
			total[e.Customer] += e.LiveFlows
			if affects(intent, w, s, e.Customer) {
				affected[e.Customer] += e.LiveFlows
			}
		}
	}
	shares := []planner.Share{}
	for _, c := range slices.Sorted(maps.Keys(total)) {
		if total[c] > 0 {
			shares = append(shares, planner.Share{Customer: c, Percent: int(100 * affected[c] / total[c])})
		}
	}
	return shares
}

// affects reports whether an intent affects the flows of a customer at the agent of a session.
func affects(intent planner.Intent, w *registrar.World, s leaser.Session, c registrar.CustomerName) bool {
	switch {
	case intent.Zone != nil:
		return s.Machine.Zone == intent.Zone.Name
	case intent.Service != nil:
		return s.Announcement.Service == intent.Service.Name
	case intent.Upstream != nil:
		return s.Announcement.Upstream == intent.Upstream.Name
	case intent.Customer != nil:
		return c == intent.Customer.Name
	case intent.Contract != nil:
		contract, ok := w.Contract(intent.Contract.Name)
		if !ok {
			contract = *intent.Contract
		}
		return c == contract.Customer && s.Announcement.Service == contract.Service
	}
	return false
}
