package administrator

import (
	"time"

	"github.com/peridotstage/peridotstage/internal/control/leaser"
	"github.com/peridotstage/peridotstage/internal/front/connector"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// statusLimit bounds each list of a status. Longer lists are read page by page.
const statusLimit = maxLimit

// NodeStatus is what is known about a node.
type NodeStatus struct {
	Machine  registrar.MachineName `json:"machine"`
	Role     registrar.Role        `json:"role"`
	Zone     registrar.ZoneName    `json:"zone"`
	Revision registrar.Revision    `json:"revision"`
	Leased   bool                  `json:"leased"`
	// HeardMilli is when the node was last heard, in Unix milliseconds.
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

// Status is the state of the whole deployment. Each list holds at most 1000 items; the paged lists have all of them.
type Status struct {
	Revision registrar.Revision `json:"revision"`
	// Vouched is true if every change that was confirmed before the request is in this answer.
	Vouched  bool                 `json:"vouched"`
	Counts   Counts               `json:"counts"`
	Zones    []registrar.Zone     `json:"zones"`
	Services []registrar.Service  `json:"services"`
	Upstream []registrar.Upstream `json:"upstreams"`
	Nodes    []NodeStatus         `json:"nodes"`
	// Unasked are the control instances that did not answer.
	Unasked []registrar.MachineName `json:"unasked"`
}

func (a *Administrator) status(c *call) {
	instances := a.Collector.Collect(c.request.Context(), connector.Question{Brief: true})
	w := a.Ledger.World
	now := time.Now()
	st := Status{
		Revision: w.Revision(), Zones: w.Zones(), Services: w.Services(), Upstream: w.Upstreams(), Nodes: nodes(now, instances),
		Unasked: []registrar.MachineName{}, Vouched: c.current,
	}
	for _, i := range instances {
		if !i.Answered {
			st.Unasked = append(st.Unasked, i.Name)
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
	st.Zones, st.Services, st.Upstream, st.Nodes = first(st.Zones), first(st.Services), first(st.Upstream), first(st.Nodes)
	c.ok(st)
}

func first[T any](all []T) []T {
	if all == nil {
		return []T{}
	}
	return all[:min(len(all), statusLimit)]
}

// nodes returns the newest start of each node.
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

// list serves one page of a list that is sorted by name.
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
		return nodes(time.Now(), a.Collector.Collect(c.request.Context(), connector.Question{Brief: true}))
	}, func(n NodeStatus) string { return string(n.Machine) })
}
