// Package tracer reports the path of a customer's traffic: the entries that it enters through, the upstreams that serve it, and
// their zones.
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
	// Leased is true if the entry may hold a lease. Without a lease, the counts are the last ones that the entry reported.
	Leased          bool   `json:"leased"`
	Passed          uint64 `json:"passed"`
	Dropped         uint64 `json:"dropped"`
	LastPassedMilli int64  `json:"last_passed_unix_ms"`
	// HeardMilli is the time of the entry's last heartbeat, in Unix milliseconds.
	HeardMilli int64 `json:"heard_unix_ms"`
}

// UpstreamTrace is the customer's traffic at one upstream.
type UpstreamTrace struct {
	Service  registrar.ServiceName  `json:"service"`
	Upstream registrar.UpstreamName `json:"upstream"`
	Zone     registrar.ZoneName     `json:"zone"`
	Machine  registrar.MachineName  `json:"machine"`
	// Buckets is the number of the service's hash buckets that this upstream owns. It gets their new flows.
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

// ZoneTrace holds the totals of the entries and upstreams in one zone.
type ZoneTrace struct {
	Zone      registrar.ZoneName `json:"zone"`
	Withdrawn bool               `json:"withdrawn"`
	Entries   int                `json:"entries"`
	Upstreams int                `json:"upstreams"`
	Buckets   int                `json:"buckets"`
	LiveFlows uint64             `json:"live_flows"`
	Passed    uint64             `json:"passed"`
}

// Trace reports the path of a customer's traffic at one time.
type Trace struct {
	Customer  registrar.Customer   `json:"customer"`
	AtMilli   int64                `json:"at_unix_ms"`
	Revision  registrar.Revision   `json:"revision"`
	Contracts []registrar.Contract `json:"contracts"`
	Entries   []EntryTrace         `json:"entries"`
	Upstreams []UpstreamTrace      `json:"upstreams"`
	Zones     []ZoneTrace          `json:"zones"`
	LiveFlows uint64               `json:"live_flows"`
	// PassedByEntries counts packets from the customer, and PassedByAgents counts those of them that reached an upstream's agent.
	PassedByEntries uint64 `json:"passed_by_entries"`
	PassedByAgents  uint64 `json:"passed_by_agents"`
	Dropped         uint64 `json:"dropped"`
	// UnresponsiveInstances lists the control instances that did not answer. The trace lacks the nodes that only they have sessions of.
	UnresponsiveInstances []registrar.MachineName `json:"unasked"`
}

// New builds the trace of a customer from the sessions of all control instances.
func New(now time.Time, w *registrar.World, c registrar.Customer, instances []leaser.Instance) Trace {
	t := Trace{
		Customer: c, AtMilli: now.UnixMilli(), Revision: w.Revision(), Contracts: []registrar.Contract{},
		Entries: []EntryTrace{}, Upstreams: []UpstreamTrace{}, Zones: []ZoneTrace{}, UnresponsiveInstances: []registrar.MachineName{},
	}
	for _, i := range instances {
		if !i.Answered {
			t.UnresponsiveInstances = append(t.UnresponsiveInstances, i.Name)
		}
	}
	sessions := newestSessions(instances)
	for _, s := range sessions {
		if s.Machine.Role == registrar.RoleEntry {
			t.addEntry(now, s)
		}
	}
	// A customer may have live flows to a service whose contract was deleted.
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
	t.addTotals(w)
	return t
}

// newestSessions returns the session of the newest start of each machine.
func newestSessions(instances []leaser.Instance) map[registrar.MachineName]leaser.Session {
	byMachine := map[registrar.MachineName]leaser.Session{}
	for _, s := range leaser.Merge(instances) {
		byMachine[s.Machine.Name] = s
	}
	return byMachine
}

// evidenceOf returns the evidence of a session about one customer.
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
		trace := UpstreamTrace{
			Service: v.Name, Upstream: u.Name, Zone: u.Zone, Machine: u.Machine, Buckets: buckets[u.ID], Retired: u.Retired,
			Silent: u.Silent, ZoneWithdrawn: u.ZoneWithdrawn,
		}
		if s, ok := sessions[u.Machine]; ok {
			e := evidenceOf(s, t.Customer.Name)
			trace.Leased, trace.HeardMilli = !now.After(s.LeaseUntil), s.HeardAt.UnixMilli()
			trace.LiveFlows, trace.Passed, trace.Dropped = e.LiveFlows, e.Passed, e.Dropped
			trace.LastPassedMilli = e.LastPassedMilli
		}
		t.Upstreams = append(t.Upstreams, trace)
	}
}

// addTotals sorts the entries, sums their counts and those of the upstreams, and fills in the zones.
func (t *Trace) addTotals(w *registrar.World) {
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
