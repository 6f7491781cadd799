package administrator

import (
	"time"

	"github.com/peridotstage/peridotstage/internal/control/leaser"
	"github.com/peridotstage/peridotstage/internal/front/connector"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// statusLimit is the maximum number of items in each list of a status. Longer lists are available from the paged routes.
const statusLimit = maxLimit

// NodeStatus is the reported state of a node.
type NodeStatus struct {
	Machine  registrar.MachineName `json:"machine"`
	Role     registrar.Role        `json:"role"`
	Zone     registrar.ZoneName    `json:"zone"`
	Revision registrar.Revision    `json:"revision"`
	Leased   bool                  `json:"leased"`
	// HeardMilli is the time of the node's last heartbeat, in Unix milliseconds.
	HeardMilli int64 `json:"heard_unix_ms"`
}

// Counts are the lengths of the lists of a status.
type Counts struct {
	Zones     int `json:"zones"`
	Services  int `json:"services"`
	Upstreams int `json:"upstreams"`
	Customers int `json:"customers"`
	Contracts int `json:"contracts"`
	Nodes     int `json:"nodes"`
	// Enforcing is how many nodes hold a lease and enforce the newest revision.
	Enforcing int `json:"enforcing"`
}

// Status is the state of the whole deployment. Each list holds at most 1000 items; the paged routes return all
// of them.
type Status struct {
	Revision registrar.Revision `json:"revision"`
	// Current is true if every change that was confirmed before the request is in this answer.
	Current  bool                 `json:"vouched"`
	Counts   Counts               `json:"counts"`
	Zones    []registrar.Zone     `json:"zones"`
	Services []registrar.Service  `json:"services"`
	Upstream []registrar.Upstream `json:"upstreams"`
	Nodes    []NodeStatus         `json:"nodes"`
	// UnresponsiveInstances are the control instances that did not answer.
	UnresponsiveInstances []registrar.MachineName `json:"unasked"`
}

func (a *Administrator) status(c *call) {
	instances := a.Collector.Collect(c.request.Context(), connector.SessionQuery{Brief: true})
	w := a.Ledger.World
	now := time.Now()
	st := Status{
		Revision: w.Revision(), Zones: w.Zones(), Services: w.Services(), Upstream: w.Upstreams(), Nodes: nodes(now, instances),
		UnresponsiveInstances: []registrar.MachineName{}, Current: c.current,
	}
	for _, i := range instances {
		if !i.Answered {
			st.UnresponsiveInstances = append(st.UnresponsiveInstances, i.Name)
		}
	}
	st.Counts = Counts{
		Zones: len(st.Zones), Services: len(st.Services), Upstreams: len(st.Upstream), Customers: len(w.Customers()),
		Contracts: len(w.Contracts()), Nodes: len(st.Nodes),
	}
	for _, n := range st.Nodes {
		if n.Leased && n.Revision == st.Revision {
			st.Counts.Enforcing++
		}
	}
	st.Zones, st.Services, st.Upstream, st.Nodes = truncate(st.Zones), truncate(st.Services), truncate(st.Upstream), truncate(st.Nodes)
	c.ok(st)
}

// truncate returns at most statusLimit items. It replaces nil by an empty list, which is encoded as [] and not as null.
func truncate[T any](all []T) []T {
	if all == nil {
		return []T{}
	}
	return all[:min(len(all), statusLimit)]
}

// nodes returns the status of each node, taken from the session of its newest start.
func nodes(now time.Time, instances []leaser.Instance) []NodeStatus {
	var all []NodeStatus
	for _, s := range leaser.Merge(instances) {
		n := NodeStatus{
			Machine: s.Machine.Name, Role: s.Machine.Role, Zone: s.Machine.Zone, Revision: s.Revision,
			Leased: now.Before(s.LeaseUntil), HeardMilli: s.HeardAt.UnixMilli(),
		}
		if last := len(all) - 1; last >= 0 && all[last].Machine == n.Machine {
			all[last] = n
			continue
		}
		all = append(all, n)
	}
	return all
}

// list returns a handler that serves one page of a list sorted by name.
func list[T any](all func(c *call) []T, name func(T) string) func(*call) {
	return func(c *call) {
		limit, ok := c.limit()
		if !ok {
			return
		}
		after := c.request.URL.Query().Get("after")
		var items []T
		for _, v := range all(c) {
			if after == "" || name(v) > after {
				items = append(items, v)
			}
			if len(items) > limit {
				break
			}
		}
		c.ok(page(items, limit, name))
	}
}

func (a *Administrator) listNodes() func(*call) {
	return list(func(c *call) []NodeStatus {
		return nodes(time.Now(), a.Collector.Collect(c.request.Context(), connector.SessionQuery{Brief: true}))
	}, func(n NodeStatus) string { return string(n.Machine) })
}
