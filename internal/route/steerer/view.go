package steerer

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/peridotstage/peridotstage/internal/route/carrier"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// member is an upstream in the pool of its service. It is immutable except for its load.
type member struct {
	name    registrar.UpstreamName
	service registrar.ServiceName
	id      registrar.UpstreamID
	tag     carrier.ServiceTag
	zone    registrar.ZoneName
	address netip.AddrPort
	// takesNewFlows is true if the configuration assigns new flows to the upstream. silent is true if the configuration says
	// that its agent no longer sends heartbeats.
	takesNewFlows, silent bool
	// stopped is true if the agent of a silent upstream has reported before its stop that the upstream holds no flows.
	stopped bool
	load    *load
}

func (m *member) passHeader() carrier.HopHeader {
	return carrier.HopHeader{Kind: carrier.HopPass, Service: m.tag}
}

// sameAs reports whether both are the same upstream at the same address, maybe of different views.
func (m *member) sameAs(other *member) bool { return m.id == other.id && m.address == other.address }

// accepting reports whether the upstream takes new flows according to the configuration and to a recent load report.
func (m *member) accepting(now time.Time) bool {
	r, _, fresh := m.load.latest(now)
	return m.takesNewFlows && fresh && r.Accepting
}

// reporting reports whether the agent has sent a load report recently.
func (m *member) reporting(now time.Time) bool {
	_, _, fresh := m.load.latest(now)
	return fresh
}

// reachable reports whether packets of existing flows may reach the upstream.
func (m *member) reachable(now time.Time) bool { return !m.silent || m.reporting(now) }

// pool holds the upstreams of one service, sorted by id. It is immutable except for its shortage.
type pool struct {
	members []*member
	// hasHidden is true if the address of an agent is not known, although control hears the agent.
	hasHidden bool
	shortage  *shortage
	room      roomCache
	// open holds the members that take new flows, and idHashes the hashes of their ids.
	open     []*member
	idHashes []uint64
	// maxFlows is the number of open flows that each upstream may hold; 0 means no limit.
	maxFlows registrar.FlowCount
}

// view holds the upstreams of one configuration revision. It is immutable.
type view struct {
	pools map[registrar.ServiceName]*pool
	// members maps the data addresses of agents to their upstreams.
	members map[netip.AddrPort]*member
	// zones holds the upstreams of each zone.
	zones map[registrar.ZoneName][]*member
	// holders holds the upstreams that may hold flows of the route with each address.
	holders map[netip.AddrPort]*holders
}

func (v *view) memberAt(address netip.AddrPort) *member { return v.members[address] }

// poolFor returns the pool that a new flow of a route is assigned to. The target is a weighted choice by the hash of the flow,
// so every entry selects the same pool.
func (v *view) poolFor(r registrar.Route, hash uint64) *pool {
	p := v.pools[selectTarget(r, hash)]
	if p == nil {
		return &pool{}
	}
	return p
}

// selectTarget selects a target of a route by weight and the hash of the flow.
func selectTarget(r registrar.Route, hash uint64) registrar.ServiceName {
	var sum uint64
	for _, t := range r.Targets {
		sum += uint64(t.Weight)
	}
	if sum == 0 {
		return ""
	}
	point := mix(hash^targetSalt) % sum
	for _, t := range r.Targets {
		if point < uint64(t.Weight) {
			return t.Service
		}
		point -= uint64(t.Weight)
	}
	return ""
}

// targetSalt makes the choice of a target independent of the ranking of upstreams.
const targetSalt = 0x5bf0_3635_d1b2_a6c7

// selectMembers returns the members for which keep returns true, in a new slice.
func selectMembers(members []*member, keep func(*member) bool) []*member {
	var all []*member
	for _, m := range members {
		if keep(m) {
			all = append(all, m)
		}
	}
	return all
}

// ranked returns the members for which keep returns true, ranked for a flow.
func (p *pool) ranked(hash uint64, keep func(*member) bool) []*member {
	return rank(selectMembers(p.members, keep), hash)
}

// rank sorts members for a flow by rendezvous hashing (Thaler and Ravishankar, 1998), in place. Adding or removing a member does not
// change the order of the others.
func rank(members []*member, hash uint64) []*member {
	slices.SortFunc(members, func(a, b *member) int { return cmp.Compare(score(hash, b.id), score(hash, a.id)) })
	return members
}

func score(hash uint64, id registrar.UpstreamID) uint64 { return mix(hash ^ mix(uint64(id))) }

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

// Update replaces the view by that of a new configuration. The loads of unchanged upstreams and the shortages of services are
// kept.
func (s *Steerer) Update(w *registrar.World) {
	s.updateMu.Lock()
	defer s.updateMu.Unlock()
	old := s.current()
	next := &view{
		pools: map[registrar.ServiceName]*pool{}, members: map[netip.AddrPort]*member{}, zones: map[registrar.ZoneName][]*member{},
	}
	for _, service := range w.Services() {
		if service.Transport == registrar.TransportStream {
			next.add(w, service.Name, old)
		}
	}
	next.addHolders(w.Routes())
	s.view.Store(next)
}

// add adds the upstreams of a service. The loads of upstreams that old already holds at the same address are kept, and the shortage of
// the service.
func (v *view) add(w *registrar.World, service registrar.ServiceName, old *view) {
	sv, _ := w.View(service)
	p := &pool{maxFlows: sv.Service.MaxFlows, shortage: &shortage{}}
	if previous := old.pools[service]; previous != nil {
		p.shortage = previous.shortage
	}
	v.pools[service] = p
	for _, u := range sv.Upstreams {
		if !u.DataAddress.IsValid() {
			p.hasHidden = p.hasHidden || !u.Silent
			continue
		}
		m := &member{
			name: u.Name, service: service, id: u.ID, tag: carrier.TagOf(service), zone: u.Zone, address: u.DataAddress,
			takesNewFlows: !u.Retired && !u.Draining && !u.Silent && !u.ZoneWithdrawn, silent: u.Silent,
			stopped: u.Silent && u.Draining, load: &load{},
		}
		if previous := old.memberAt(m.address); previous != nil && previous.id == m.id {
			m.load = previous.load
		}
		// An address belongs to the upstream that was announced there last, which replaces a silent one.
		if other := v.members[m.address]; other == nil || other.silent || !m.silent && other.id < m.id {
			v.members[m.address] = m
		}
		p.members = append(p.members, m)
		v.zones[m.zone] = append(v.zones[m.zone], m)
		if m.takesNewFlows {
			p.open, p.idHashes = append(p.open, m), append(p.idHashes, mix(uint64(m.id)))
		}
	}
}
