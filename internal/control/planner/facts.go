package planner

import (
	"fmt"
	"maps"
	"slices"

	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// Facts are observations of the system about its machines. A log entry carries observations instead of whole objects, so that an
// entry written by an instance with an older configuration cannot revert a change that an operator has confirmed since.
type Facts struct {
	Machines  []MachineFact    `json:"machines,omitempty"`
	Upstreams []UpstreamFact   `json:"upstreams,omitempty"`
	Silent    []SilentFact     `json:"silent,omitempty"`
	Trims     []registrar.Trim `json:"trims,omitempty"`
	// Gone lists machines that have sent no heartbeat for so long that they are considered replaced.
	Gone []GoneFact `json:"gone,omitempty"`
}

// Empty reports whether there are no facts.
func (f Facts) Empty() bool {
	return len(f.Machines)+len(f.Upstreams)+len(f.Silent)+len(f.Trims)+len(f.Gone) == 0
}

// Add appends the other facts.
func (f *Facts) Add(other Facts) {
	f.Machines = append(f.Machines, other.Machines...)
	f.Upstreams = append(f.Upstreams, other.Upstreams...)
	f.Silent = append(f.Silent, other.Silent...)
	f.Trims = append(f.Trims, other.Trims...)
	f.Gone = append(f.Gone, other.Gone...)
}

// MachineFact is the description that a machine announced of itself. It is applied only if the configuration still holds the
// incarnation Previous, so that a delayed entry about an earlier incarnation has no effect.
type MachineFact struct {
	Machine  registrar.Machine     `json:"machine"`
	Previous registrar.Incarnation `json:"previous,omitempty"`
}

// UpstreamFact is the announcement of an agent about its upstream.
type UpstreamFact struct {
	Name        registrar.UpstreamName `json:"name"`
	Service     registrar.ServiceName  `json:"service"`
	Zone        registrar.ZoneName     `json:"zone"`
	Machine     registrar.MachineName  `json:"machine"`
	Incarnation registrar.Incarnation  `json:"incarnation"`
	Slots       registrar.Slots        `json:"slots"`
	Weight      registrar.Weight       `json:"weight"`
	Draining    bool                   `json:"draining,omitempty"`
	// Stopped is true once a draining agent holds no flows. Chains then no longer need to include it.
	Stopped bool `json:"stopped,omitempty"`
}

// SilentFact states that no control instance receives heartbeats from the agent of an upstream.
type SilentFact struct {
	Upstream    registrar.UpstreamName `json:"upstream"`
	Machine     registrar.MachineName  `json:"machine"`
	Incarnation registrar.Incarnation  `json:"incarnation"`
}

// GoneFact states that a machine has sent no heartbeat for so long that it is considered replaced.
type GoneFact struct {
	Machine     registrar.MachineName `json:"machine"`
	Incarnation registrar.Incarnation `json:"incarnation"`
}

// Refusal is the reason why the announcement of a machine was not accepted.
type Refusal struct {
	Machine registrar.MachineName `json:"machine"`
	Message string                `json:"message"`
}

// WeightsDiffer reports whether two weights differ by more than 20%. Smaller differences would move buckets without improving the
// balance.
func WeightsDiffer(old, next registrar.Weight) bool {
	difference := int64(next) - int64(old)
	return max(difference, -difference)*5 > int64(old)
}

// Merge returns the upstream after an announcement. The retired flag and a pinned weight are set by operators and do not change.
// found reports whether old exists.
func (f UpstreamFact) Merge(old registrar.Upstream, found bool) registrar.Upstream {
	next := old
	next.Name, next.Service, next.Zone, next.Machine, next.Slots = f.Name, f.Service, f.Zone, f.Machine, f.Slots
	next.Draining, next.Silent = f.Draining, f.Stopped
	if !found || !old.Pinned && WeightsDiffer(old.Weight, f.Weight) {
		next.Weight = f.Weight
	}
	if next.Weight == 0 {
		next.Weight = registrar.Weight(f.Slots) * registrar.WeightPerSlot
	}
	return next
}

// merger converts facts into changes. Its maps hold the objects already changed, so that a fact applies to the result of the
// facts before it.
type merger struct {
	world     *registrar.World
	machines  map[registrar.MachineName]registrar.Machine
	upstreams map[registrar.UpstreamName]registrar.Upstream
	changes   []registrar.Change
	refusals  []Refusal
}

func (m *merger) findMachine(name registrar.MachineName) (registrar.Machine, bool) {
	if machine, ok := m.machines[name]; ok {
		return machine, true
	}
	return m.world.Machine(name)
}

func (m *merger) findUpstream(name registrar.UpstreamName) (registrar.Upstream, bool) {
	if u, ok := m.upstreams[name]; ok {
		return u, true
	}
	return m.world.Upstream(name)
}

func (m *merger) add(f Facts) {
	for _, machine := range f.Machines {
		m.addMachine(machine)
	}
	for _, upstream := range f.Upstreams {
		m.addUpstream(upstream)
	}
	for _, silent := range f.Silent {
		m.addSilent(silent)
	}
	for _, gone := range f.Gone {
		m.addGone(gone)
	}
	for _, trim := range f.Trims {
		if s, ok := m.world.Service(trim.Service); ok && len(s.Generations) > 1 && s.Generations[0].Revision < trim.Before {
			m.changes = append(m.changes, registrar.Change{Kind: registrar.TrimGenerations, Trim: &trim})
		}
	}
}

// addGone removes a machine unless it has restarted. A machine that serves without a lease is kept, because a proof has to name
// it, and so is a machine whose upstream is still configured.
func (m *merger) addGone(f GoneFact) {
	old, found := m.findMachine(f.Machine)
	if !found || old.Incarnation != f.Incarnation || old.ServesWithoutLease || m.hasUpstream(f.Machine) {
		return
	}
	delete(m.machines, f.Machine)
	m.changes = append(m.changes, registrar.Change{Kind: registrar.DeleteMachine, Machine: &registrar.Machine{Name: f.Machine}})
}

func (m *merger) hasUpstream(name registrar.MachineName) bool {
	onMachine := func(u registrar.Upstream) bool { return u.Machine == name }
	return slices.ContainsFunc(m.world.Upstreams(), onMachine) ||
		slices.ContainsFunc(slices.Collect(maps.Values(m.upstreams)), onMachine)
}

func (m *merger) addMachine(f MachineFact) {
	old, found := m.findMachine(f.Machine.Name)
	if old == f.Machine || found && old.Incarnation != f.Previous || f.Machine.Name == "" {
		return
	}
	m.machines[f.Machine.Name] = f.Machine
	m.changes = append(m.changes, registrar.Change{Kind: registrar.PutMachine, Machine: &f.Machine})
}

func (m *merger) addUpstream(f UpstreamFact) {
	if machine, ok := m.findMachine(f.Machine); !ok || machine.Incarnation != f.Incarnation {
		return
	}
	old, found := m.findUpstream(f.Name)
	if message := m.refusalReason(f, old, found); message != "" {
		m.refusals = append(m.refusals, Refusal{Machine: f.Machine, Message: message})
		return
	}
	if next := f.Merge(old, found); next != old {
		m.putUpstream(next)
	}
}

func (m *merger) putUpstream(u registrar.Upstream) {
	m.upstreams[u.Name] = u
	m.changes = append(m.changes, registrar.Change{Kind: registrar.PutUpstream, Upstream: &u})
}

// refusalReason returns why an announcement contradicts the configuration; empty if it does not.
func (m *merger) refusalReason(f UpstreamFact, old registrar.Upstream, found bool) string {
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
	case found && old.Service != f.Service:
		return fmt.Sprintf("upstream %q belongs to service %q", f.Name, old.Service)
	case found && old.Machine != f.Machine && !old.Silent:
		return fmt.Sprintf("upstream %q is announced by machine %q", f.Name, old.Machine)
	}
	return ""
}

func (m *merger) addSilent(f SilentFact) {
	u, ok := m.findUpstream(f.Upstream)
	machine, _ := m.findMachine(f.Machine)
	if !ok || u.Machine != f.Machine || machine.Incarnation != f.Incarnation || u.Silent {
		return
	}
	u.Silent, u.Draining = true, false
	m.putUpstream(u)
}

func mergeFacts(w *registrar.World, f Facts) *merger {
	m := &merger{
		world: w, machines: map[registrar.MachineName]registrar.Machine{}, upstreams: map[registrar.UpstreamName]registrar.Upstream{},
	}
	m.add(f)
	return m
}

// Preview reports whether facts would change the configuration, and which of them would be refused.
func Preview(w *registrar.World, f Facts) (changes bool, refusals []Refusal) {
	m := mergeFacts(w, f)
	return len(m.changes) > 0, m.refusals
}

// applyFacts applies facts as one revision. Facts that contradict the configuration are refused; the others are applied.
func (l *Ledger) applyFacts(f Facts) Result {
	m := mergeFacts(l.World, f)
	r := Result{Revision: l.World.Revision()}
	if len(m.changes) > 0 {
		r = l.commit(m.changes)
	}
	r.Refusals = m.refusals
	return r
}
