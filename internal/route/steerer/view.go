package steerer

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/peridotstage/peridotstage/internal/route/carrier"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// member is an upstream as an entry sees it. It is immutable but for its load.
type member struct {
	name    registrar.UpstreamName
	id      registrar.UpstreamID
	tag     carrier.ServiceTag
	zone    registrar.ZoneName
	address netip.AddrPort
	// open is true if the configuration gives new flows to the upstream, and silent if its agent is not heard any more.
	open, silent bool
	load         *load
}

func (m *member) passHeader() carrier.HopHeader {
	return carrier.HopHeader{Kind: carrier.HopPass, Service: m.tag}
}

// accepting reports whether the agent has said lately that its upstream takes new flows.
func (m *member) accepting(now time.Time) bool {
	r, _, fresh := m.load.latest(now)
	return m.open && fresh && r.Accepting
}

// reporting reports whether the agent has been heard lately.
func (m *member) reporting(now time.Time) bool {
	_, _, fresh := m.load.latest(now)
	return fresh
}

// reachable reports whether packets of open flows may reach the upstream.
func (m *member) reachable(now time.Time) bool { return !m.silent || m.reporting(now) }

// fleet is the upstreams of one service, sorted by id.
type fleet struct {
	members []*member
}

// view is what the configuration says about upstreams. It is immutable.
type view struct {
	fleets map[registrar.ServiceName]*fleet
	// members has the upstreams by the address of their agents.
	members map[netip.AddrPort]*member
}

func (v *view) at(a netip.AddrPort) *member { return v.members[a] }

// fleetOf returns the fleet that a new flow of a route goes to. Weights of the targets decide by the hash of the flow, so that
// every entry selects the same one.
func (v *view) fleetOf(r registrar.Route, h uint64) *fleet {
	f := v.fleets[targetOf(r, h)]
	if f == nil {
		return &fleet{}
	}
	return f
}

// targetOf selects a target of a route by weight.
func targetOf(r registrar.Route, h uint64) registrar.ServiceName {
	var sum uint64
	for _, t := range r.Targets {
		sum += uint64(t.Weight)
	}
	if sum == 0 {
		return ""
	}
	at := mix(h^targetSalt) % sum
	for _, t := range r.Targets {
		if at < uint64(t.Weight) {
			return t.Service
		}
		at -= uint64(t.Weight)
	}
	return ""
}

// targetSalt keeps the choice of a target independent of the ranking of upstreams.
const targetSalt = 0x5bf0_3635_d1b2_a6c7

// nth returns the upstream that is asked for a flow after step others: first those of the service that the flow would go to
// now, then those of the other targets. Upstreams whose agents do not report come last, because a packet that reaches no agent
// ends the search. It is nil after the last one.
func (v *view) nth(now time.Time, r registrar.Route, h uint64, step int) *member {
	first := targetOf(r, h)
	names := []registrar.ServiceName{first}
	for _, t := range r.Targets {
		if t.Service != first {
			names = append(names, t.Service)
		}
	}
	var unheard []*member
	for _, name := range names {
		f := v.fleets[name]
		if f == nil {
			continue
		}
		ranked := f.ranked(h, func(m *member) bool { return m.reporting(now) })
		if step < len(ranked) {
			return ranked[step]
		}
		step -= len(ranked)
		unheard = append(unheard, f.ranked(h, func(m *member) bool { return !m.silent && !m.reporting(now) })...)
	}
	if step < len(unheard) {
		return unheard[step]
	}
	return nil
}

// ranked returns the members that keep wants, in the order of rendezvous hashing for a flow (Thaler and Ravishankar, 1998). A
// member that comes or goes leaves the order of the others as it is.
func (f *fleet) ranked(h uint64, keep func(*member) bool) []*member {
	var all []*member
	for _, m := range f.members {
		if keep(m) {
			all = append(all, m)
		}
	}
	slices.SortFunc(all, func(a, b *member) int { return cmp.Compare(score(h, b.id), score(h, a.id)) })
	return all
}

func score(h uint64, id registrar.UpstreamID) uint64 { return mix(h ^ mix(uint64(id))) }

// mix is the finalizer of SplitMix64 (Steele, Lea and Flood, 2014).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

var emptyView = &view{}

// current returns the newest view.
func (s *Steerer) current() *view {
	if v := s.view.Load(); v != nil {
		return v
	}
	return emptyView
}

// Update takes a new configuration. What is known about the load of upstreams stays.
func (s *Steerer) Update(w *registrar.World) {
	s.updateMu.Lock()
	defer s.updateMu.Unlock()
	old := s.current()
	next := &view{fleets: map[registrar.ServiceName]*fleet{}, members: map[netip.AddrPort]*member{}}
	for _, service := range w.Services() {
		if service.Transport == registrar.TransportStream {
			next.add(w, service.Name, old)
		}
	}
	s.view.Store(next)
}

func (v *view) add(w *registrar.World, service registrar.ServiceName, old *view) {
	sv, _ := w.View(service)
	f := &fleet{}
	v.fleets[service] = f
	for _, u := range sv.Upstreams {
		if !u.DataAddress.IsValid() {
			continue
		}
		m := &member{
			name: u.Name, id: u.ID, tag: carrier.TagOf(service), zone: u.Zone, address: u.DataAddress,
			open: !u.Retired && !u.Draining && !u.Silent && !u.ZoneWithdrawn, silent: u.Silent, load: &load{},
		}
		if before := old.at(m.address); before != nil && before.id == m.id {
			m.load = before.load
		}
		// An address belongs to the upstream that was announced there last; a silent one gives way to it.
		if other := v.members[m.address]; other == nil || other.silent || !m.silent && other.id < m.id {
			v.members[m.address] = m
		}
		f.members = append(f.members, m)
	}
}
