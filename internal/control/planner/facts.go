package planner

import (
	"fmt"
	"maps"
	"slices"

	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// Facts are what the system has observed about its machines. A log entry carries what was observed and not whole objects,
// so that an entry written by an instance with older knowledge cannot revert what an operator has confirmed since.
type Facts struct {
	Machines  []MachineFact    `json:"machines,omitempty"`
	Upstreams []UpstreamFact   `json:"upstreams,omitempty"`
	Silent    []SilentFact     `json:"silent,omitempty"`
	Trims     []registrar.Trim `json:"trims,omitempty"`
	// Gone are machines that have not been heard for so long that they are taken to be replaced.
	Gone []GoneFact `json:"gone,omitempty"`
}

// Empty reports that nothing was observed.
func (f Facts) Empty() bool {
	return len(f.Machines)+len(f.Upstreams)+len(f.Silent)+len(f.Trims)+len(f.Gone) == 0
}

// Add appends other facts.
func (f *Facts) Add(other Facts) {
	f.Machines = append(f.Machines, other.Machines...)
	f.Upstreams = append(f.Upstreams, other.Upstreams...)
	f.Silent = append(f.Silent, other.Silent...)
	f.Trims = append(f.Trims, other.Trims...)
	f.Gone = append(f.Gone, other.Gone...)
}

// MachineFact is a machine as it described itself. It is applied only if the configuration still has the incarnation
// Previous, so that a late entry about an older start changes nothing.
type MachineFact struct {
	Machine  registrar.Machine     `json:"machine"`
	Previous registrar.Incarnation `json:"previous,omitempty"`
}

// UpstreamFact is what an agent announced about its upstream.
type UpstreamFact struct {
	Name        registrar.UpstreamName `json:"name"`
	Service     registrar.ServiceName  `json:"service"`
	Zone        registrar.ZoneName     `json:"zone"`
	Machine     registrar.MachineName  `json:"machine"`
	Incarnation registrar.Incarnation  `json:"incarnation"`
	Slots       registrar.Slots        `json:"slots"`
	Weight      registrar.Weight       `json:"weight"`
	Draining    bool                   `json:"draining,omitempty"`
	// Stopped is true once a draining agent holds no flows. Chains need not pass through it any more.
	Stopped bool `json:"stopped,omitempty"`
}

// SilentFact says that an upstream's agent has not been heard by any control instance.
type SilentFact struct {
	Upstream    registrar.UpstreamName `json:"upstream"`
	Machine     registrar.MachineName  `json:"machine"`
	Incarnation registrar.Incarnation  `json:"incarnation"`
}

// GoneFact is a machine that is not heard any more.
type GoneFact struct {
	Machine     registrar.MachineName `json:"machine"`
	Incarnation registrar.Incarnation `json:"incarnation"`
}

// Refusal says why a machine's announcement was not accepted.
type Refusal struct {
	Machine registrar.MachineName `json:"machine"`
	Message string                `json:"message"`
}

// WeightMoved reports a difference of more than 20%. Smaller ones would move buckets without a gain in balance.
func WeightMoved(old, next registrar.Weight) bool {
	d := int64(next) - int64(old)
	return max(d, -d)*5 > int64(old)
}

// Merge returns the upstream as it is after an announcement. Retired and a pinned weight belong to operators and stay.
func (f UpstreamFact) Merge(old registrar.Upstream, had bool) registrar.Upstream {
	next := old
	next.Name, next.Service, next.Zone, next.Machine, next.Slots = f.Name, f.Service, f.Zone, f.Machine, f.Slots
	next.Draining, next.Silent = f.Draining, f.Stopped
	if !had || !old.Pinned && WeightMoved(old.Weight, f.Weight) {
		next.Weight = f.Weight
	}
	if next.Weight == 0 {
		next.Weight = registrar.Weight(f.Slots) * registrar.WeightPerSlot
	}
	return next
}

// merger turns facts into changes. Later facts see the effect of earlier ones.
type merger struct {
	world     *registrar.World
	machines  map[registrar.MachineName]registrar.Machine
	upstreams map[registrar.UpstreamName]registrar.Upstream
	changes   []registrar.Change
	refusals  []Refusal
}

func (m *merger) machine(name registrar.MachineName) (registrar.Machine, bool) {
	if v, ok := m.machines[name]; ok {
		return v, true
	}
	return m.world.Machine(name)
}

func (m *merger) upstream(name registrar.UpstreamName) (registrar.Upstream, bool) {
	if v, ok := m.upstreams[name]; ok {
		return v, true
	}
	return m.world.Upstream(name)
}

func (m *merger) add(f Facts) {
	for _, v := range f.Machines {
		m.addMachine(v)
	}
	for _, v := range f.Upstreams {
		m.addUpstream(v)
	}
	for _, v := range f.Silent {
		m.addSilent(v)
	}
	for _, v := range f.Gone {
		m.addGone(v)
	}
	for _, v := range f.Trims {
		if s, ok := m.world.Service(v.Service); ok && len(s.Generations) > 1 && s.Generations[0].Revision < v.Before {
			m.changes = append(m.changes, registrar.Change{Kind: registrar.TrimGenerations, Trim: &v})
		}
	}
}

// addGone removes a machine unless it has started again. A machine that serves without a lease stays, because a proof must name
// it, and so does one whose upstream is still configured.
func (m *merger) addGone(f GoneFact) {
	old, had := m.machine(f.Machine)
	if !had || old.Incarnation != f.Incarnation || old.ServesExpired || m.hasUpstream(f.Machine) {
		return
	}
	delete(m.machines, f.Machine)
	m.changes = append(m.changes, registrar.Change{Kind: registrar.DeleteMachine, Machine: &registrar.Machine{Name: f.Machine}})
}

func (m *merger) hasUpstream(name registrar.MachineName) bool {
	on := func(u registrar.Upstream) bool { return u.Machine == name }
	return slices.ContainsFunc(m.world.Upstreams(), on) ||
		slices.ContainsFunc(slices.Collect(maps.Values(m.upstreams)), on)
}

func (m *merger) addMachine(f MachineFact) {
	old, had := m.machine(f.Machine.Name)
	if old == f.Machine || had && old.Incarnation != f.Previous || f.Machine.Name == "" {
		return
	}
	m.machines[f.Machine.Name] = f.Machine
	m.changes = append(m.changes, registrar.Change{Kind: registrar.PutMachine, Machine: &f.Machine})
}

func (m *merger) addUpstream(f UpstreamFact) {
	if machine, ok := m.machine(f.Machine); !ok || machine.Incarnation != f.Incarnation {
		return
	}
	old, had := m.upstream(f.Name)
	if message := m.refusal(f, old, had); message != "" {
		m.refusals = append(m.refusals, Refusal{Machine: f.Machine, Message: message})
		return
	}
	if next := f.Merge(old, had); next != old {
		m.put(next)
	}
}

func (m *merger) put(u registrar.Upstream) {
	m.upstreams[u.Name] = u
	m.changes = append(m.changes, registrar.Change{Kind: registrar.PutUpstream, Upstream: &u})
}

// refusal says why an announcement contradicts the configuration; empty if it does not.
func (m *merger) refusal(f UpstreamFact, old registrar.Upstream, had bool) string {
	_, hasService := m.world.Service(f.Service)
	_, hasZone := m.world.Zone(f.Zone)
	switch {
	case f.Name == "":
		return "upstream has no name"
	case !hasService:
		return fmt.Sprintf("upstream %q: service %q does not exist", f.Name, f.Service)
	case !hasZone:
		return fmt.Sprintf("upstream %q: zone %q does not exist", f.Name, f.Zone)
	case f.Slots == 0:
		return fmt.Sprintf("upstream %q: slots must be at least 1", f.Name)
	case had && old.Service != f.Service:
		return fmt.Sprintf("upstream %q belongs to service %q", f.Name, old.Service)
	case had && old.Machine != f.Machine && !old.Silent:
		return fmt.Sprintf("upstream %q is announced by machine %q", f.Name, old.Machine)
	}
	return ""
}

func (m *merger) addSilent(f SilentFact) {
	u, ok := m.upstream(f.Upstream)
	machine, _ := m.machine(f.Machine)
	if !ok || u.Machine != f.Machine || machine.Incarnation != f.Incarnation || u.Silent {
		return
	}
	u.Silent, u.Draining = true, false
	m.put(u)
}

func merge(w *registrar.World, f Facts) *merger {
	m := &merger{
		world: w, machines: map[registrar.MachineName]registrar.Machine{}, upstreams: map[registrar.UpstreamName]registrar.Upstream{},
	}
	m.add(f)
	return m
}

// Preview tells whether facts would change a configuration, and which of them would be refused.
func Preview(w *registrar.World, f Facts) (changes bool, refusals []Refusal) {
	m := merge(w, f)
	return len(m.changes) > 0, m.refusals
}

// observe applies facts as one revision. Facts that contradict the configuration are refused and the others applied.
func (l *Ledger) observe(f Facts) Result {
	m := merge(l.World, f)
	r := Result{Revision: l.World.Revision()}
	if len(m.changes) > 0 {
		r = l.commit(m.changes)
	}
	r.Refusals = m.refusals
	return r
}
