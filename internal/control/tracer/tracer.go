// Package tracer shows where the traffic of a customer goes: through which entries, to which upstreams and in which zones.
package tracer

import (
	"cmp"
	"slices"
	"time"

	"github.com/peridotstage/peridotstage/internal/control/leaser"
	"github.com/peridotstage/peridotstage/internal/route/balancer"
	"github.com/peridotstage/peridotstage/internal/route/counter"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// EntryTrace is the customer's traffic at one entry.
type EntryTrace struct {
	Machine registrar.MachineName `json:"machine"`
	Zone    registrar.ZoneName    `json:"zone"`
	// Leased is true if the entry may hold a lease; otherwise the counts are the last ones that it reported.
	Leased          bool   `json:"leased"`
	Passed          uint64 `json:"passed"`
	Dropped         uint64 `json:"dropped"`
	LastPassedMilli int64  `json:"last_passed_unix_ms"`
	HeardMilli      int64  `json:"heard_unix_ms"`
}

// UpstreamTrace is the customer's traffic at one upstream.
type UpstreamTrace struct {
	Service  registrar.ServiceName  `json:"service"`
	Upstream registrar.UpstreamName `json:"upstream"`
	Zone     registrar.ZoneName     `json:"zone"`
	Machine  registrar.MachineName  `json:"machine"`
	// Buckets is how many of the service's buckets send their new flows here.
	Buckets         int    `json:"buckets"`
	Retired         bool   `json:"retired"`
	Silent          bool   `json:"silent"`
	ZoneWithdrawn   bool   `json:"zone_withdrawn"`
	Leased          bool   `json:"leased"`
	LiveFlows       uint64 `json:"live_flows"`
	Passed          uint64 `json:"passed"`
	Dropped         uint64 `json:"dropped"`
	LastPassedMilli int64  `json:"last_passed_unix_ms"`
	HeardMilli      int64  `json:"heard_unix_ms"`
}

// ZoneTrace sums up the upstreams and entries in one zone.
type ZoneTrace struct {
	Zone      registrar.ZoneName `json:"zone"`
	Withdrawn bool               `json:"withdrawn"`
	Entries   int                `json:"entries"`
	Upstreams int                `json:"upstreams"`
	Buckets   int                `json:"buckets"`
	LiveFlows uint64             `json:"live_flows"`
	Passed    uint64             `json:"passed"`
}

// Trace shows where a customer's traffic goes now.
type Trace struct {
	Customer  registrar.Customer   `json:"customer"`
	AtMilli   int64                `json:"at_unix_ms"`
	Revision  registrar.Revision   `json:"revision"`
	Contracts []registrar.Contract `json:"contracts"`
	Entries   []EntryTrace         `json:"entries"`
	Upstreams []UpstreamTrace      `json:"upstreams"`
	Zones     []ZoneTrace          `json:"zones"`
	LiveFlows uint64               `json:"live_flows"`
	// PassedByEntries counts packets from the customer, and PassedByAgents those of them that reached an upstream's agent.
	PassedByEntries uint64 `json:"passed_by_entries"`
	PassedByAgents  uint64 `json:"passed_by_agents"`
	Dropped         uint64 `json:"dropped"`
	// Unasked are the control instances that did not answer; nodes that only they know are missing.
	Unasked []registrar.MachineName `json:"unasked"`
}

// New traces a customer.
func New(now time.Time, w *registrar.World, c registrar.Customer, instances []leaser.Instance) Trace {
	t := Trace{
		Customer: c, AtMilli: now.UnixMilli(), Revision: w.Revision(), Contracts: []registrar.Contract{},
		Entries: []EntryTrace{}, Upstreams: []UpstreamTrace{}, Zones: []ZoneTrace{}, Unasked: []registrar.MachineName{},
	}
	for _, i := range instances {
		if !i.Answered {
			t.Unasked = append(t.Unasked, i.Name)
		}
	}
	sessions := newest(instances)
	for _, s := range sessions {
		if s.Machine.Role == registrar.RoleEntry {
			t.addEntry(now, s)
		}
	}
	// Flows of a contract that is gone may still be open.
	services := map[registrar.ServiceName]bool{}
	for _, s := range sessions {
		if s.Announcement != nil && evidenceOf(s, c.Name).LiveFlows > 0 {
			services[s.Announcement.Service] = true
		}
	}
	for _, contract := range w.Contracts() {
		if contract.Customer == c.Name {
			t.Contracts = append(t.Contracts, contract)
			services[contract.Service] = true
		}
	}
	for _, s := range w.Services() {
		if v, ok := w.View(s.Name); ok && services[s.Name] {
			t.addService(now, v, sessions)
		}
	}
	t.sum(w)
	return t
}

// newest returns the session of the newest start of each machine.
func newest(instances []leaser.Instance) map[registrar.MachineName]leaser.Session {
	all := map[registrar.MachineName]leaser.Session{}
	for _, s := range leaser.Merge(instances) {
		all[s.Machine.Name] = s
	}
	return all
}

func evidenceOf(s leaser.Session, c registrar.CustomerName) counter.Evidence {
	for _, e := range s.Evidence {
		if e.Customer == c {
			return e
		}
	}
	return counter.Evidence{Customer: c}
}

func (t *Trace) addEntry(now time.Time, s leaser.Session) {
	e := evidenceOf(s, t.Customer.Name)
	t.Entries = append(t.Entries, EntryTrace{
		Machine: s.Machine.Name, Zone: s.Machine.Zone, Leased: !now.After(s.LeaseUntil), Passed: e.Passed, Dropped: e.Dropped,
		LastPassedMilli: e.LastPassedMilli, HeardMilli: s.HeardAt.UnixMilli(),
	})
}

func (t *Trace) addService(now time.Time, v registrar.ServiceView, sessions map[registrar.MachineName]leaser.Session) {
	buckets := map[registrar.UpstreamID]int{}
	if n := len(v.Generations); n > 0 && len(v.Generations[n-1].Members) > 0 {
		table := balancer.NewTable(v.ID, v.Generations[n-1], nil)
		for b := range balancer.Bucket(balancer.BucketCount) {
			buckets[table.Choice(b).Owner]++
		}
	}
	for _, u := range v.Upstreams {
		next := UpstreamTrace{
			Service: v.Name, Upstream: u.Name, Zone: u.Zone, Machine: u.Machine, Buckets: buckets[u.ID], Retired: u.Retired,
			Silent: u.Silent, ZoneWithdrawn: u.ZoneWithdrawn,
		}
		if s, ok := sessions[u.Machine]; ok {
			e := evidenceOf(s, t.Customer.Name)
			next.Leased, next.HeardMilli = !now.After(s.LeaseUntil), s.HeardAt.UnixMilli()
			next.LiveFlows, next.Passed, next.Dropped = e.LiveFlows, e.Passed, e.Dropped
			next.LastPassedMilli = e.LastPassedMilli
		}
		t.Upstreams = append(t.Upstreams, next)
	}
}

func (t *Trace) sum(w *registrar.World) {
	slices.SortFunc(t.Entries, func(a, b EntryTrace) int { return cmp.Compare(a.Machine, b.Machine) })
	zones := map[registrar.ZoneName]ZoneTrace{}
	for _, e := range t.Entries {
		z := zones[e.Zone]
		z.Entries++
		zones[e.Zone] = z
		t.PassedByEntries += e.Passed
		t.Dropped += e.Dropped
	}
	for _, u := range t.Upstreams {
		z := zones[u.Zone]
		z.Upstreams++
		z.Buckets += u.Buckets
		z.LiveFlows += u.LiveFlows
		z.Passed += u.Passed
		zones[u.Zone] = z
		t.LiveFlows += u.LiveFlows
		t.PassedByAgents += u.Passed
		t.Dropped += u.Dropped
	}
	for name, z := range zones {
		z.Zone = name
		if zone, ok := w.Zone(name); ok {
			z.Withdrawn = zone.Withdrawn
		}
		t.Zones = append(t.Zones, z)
	}
	slices.SortFunc(t.Zones, func(a, b ZoneTrace) int { return cmp.Compare(a.Zone, b.Zone) })
}
