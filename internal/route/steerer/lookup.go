package steerer

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/peridotstage/peridotstage/internal/route/carrier"
	"github.com/peridotstage/peridotstage/internal/route/locator"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// Confirmer tells how recent the configuration is.
type Confirmer interface {
	// ConfirmedAt returns a time such that the configuration in force holds everything that control had confirmed by then. It is the zero
	// time if there is none.
	ConfirmedAt() time.Time
	// Confirm asks control to confirm the configuration soon. It does not block.
	Confirm(now time.Time)
}

// UseLookups makes the entry look up flows at all agents at once where they are too many for a search. It is called before first use.
// firstID is a random number; see locator.New.
func (s *Steerer) UseLookups(c Confirmer, firstID carrier.LookupID) {
	s.lookups = locator.New(lookupConfiguration{s, c}, firstID)
	s.lookups.Link = s.Link
}

// lookupConfiguration implements locator.Configuration.
type lookupConfiguration struct {
	steerer *Steerer
	Confirmer
}

// Candidates implements locator.Configuration.
func (c lookupConfiguration) Candidates(f registrar.Flow) locator.Candidates {
	if h := c.steerer.current().holders[f.Service]; h != nil {
		return h
	}
	return nil
}

// upstreamSet is a set of upstreams and their agents. It is immutable.
type upstreamSet struct {
	members []*member
	agents  []locator.Agent
	// indexes holds the indexes of the agents at each address.
	indexes map[netip.AddrPort][]int
	// hasHidden is true if the address of an agent is not known.
	hasHidden bool
}

// add adds the upstreams of a pool.
func (u *upstreamSet) add(p *pool) {
	u.hasHidden = u.hasHidden || p.hasHidden
	for _, m := range p.members {
		u.indexes[m.address] = append(u.indexes[m.address], len(u.agents))
		u.agents = append(u.agents, locator.Agent{Address: m.address, Service: m.tag, Upstream: m.id})
		u.members = append(u.members, m)
	}
}

// holders are the upstreams that may hold a flow of one route, in one view. They implement locator.Candidates.
type holders struct {
	*upstreamSet
	view  *view
	route registrar.Route
}

// addHolders adds the holders of each route. Routes with the same services share a set of upstreams.
func (v *view) addHolders(routes []registrar.Route) {
	v.holders = make(map[netip.AddrPort]*holders, len(routes))
	sets := map[string]*upstreamSet{}
	for _, r := range routes {
		names := searchServices(r, 0)
		slices.Sort(names)
		names = slices.Compact(names)
		var key string
		for _, name := range names {
			key += string(name) + "\x00"
		}
		set := sets[key]
		if set == nil {
			set = &upstreamSet{indexes: map[netip.AddrPort][]int{}}
			for _, name := range names {
				if p := v.pools[name]; p != nil {
					set.add(p)
				}
			}
			sets[key] = set
		}
		v.holders[r.Address] = &holders{upstreamSet: set, view: v, route: r}
	}
}

// Agents implements locator.Candidates.
func (h *holders) Agents() []locator.Agent { return h.agents }

// At implements locator.Candidates.
func (h *holders) At(address netip.AddrPort) []int { return h.indexes[address] }

// Complete implements locator.Candidates. A route keeps only its newest former services, so that the list may lack an older one once it is
// full.
func (h *holders) Complete() bool { return !h.hasHidden && h.route.KeepsAllFormerServices() }

// Stopped implements locator.Candidates. An upstream has stopped if its agent has reported that no flow is left and that no new ones come,
// even if another process of the agent runs by now: what that one admits follows a newer configuration, which a reset waits for.
func (h *holders) Stopped(_ time.Time, index int) bool { return h.members[index].stopped }

// Ended implements locator.Candidates. If control hears nothing of an agent, its upstream counts as ended while the entry hears another
// agent of its zone: otherwise the zone may be cut off from control and from the entry, and its upstreams may be alive.
func (h *holders) Ended(now time.Time, index int) bool {
	m := h.members[index]
	return h.Stopped(now, index) || m.silent && !m.reporting(now) && h.view.hears(now, m.zone)
}

// Heard implements locator.Candidates.
func (h *holders) Heard(now time.Time, index int) bool { return h.members[index].reporting(now) }

// Rank implements locator.Candidates.
func (h *holders) Rank(f registrar.Flow, index int) uint64 {
	return score(f.Hash(), h.members[index].id)
}

// HasRoom implements locator.Candidates. A caller whose flow is reset opens another one at once, and would use up its attempts while all
// upstreams are cold.
func (h *holders) HasRoom(now time.Time, f registrar.Flow) bool {
	return h.view.poolFor(h.route, f.Hash()).hasWarmRoom(now)
}

// roomCacheTime is how long it is remembered that all upstreams of a pool are cold. Every lookup asks for it at each tick, and at 5,000
// upstreams it takes some 100 us.
const roomCacheTime = 5 * time.Millisecond

// roomCache remembers when all upstreams of a pool were cold, under its own lock.
type roomCache struct {
	mu     sync.Mutex
	coldAt time.Time
}

// hasWarmRoom reports whether an upstream of the pool that is not cold takes new flows.
func (p *pool) hasWarmRoom(now time.Time) bool {
	p.room.mu.Lock()
	defer p.room.mu.Unlock()
	if since := now.Sub(p.room.coldAt); since >= 0 && since < roomCacheTime {
		return false
	}
	found := slices.ContainsFunc(p.members, func(m *member) bool {
		r, _, fresh := m.load.latest(now)
		return fresh && m.takesNewFlows && r.Accepting && !r.Cold
	})
	if !found {
		p.room.coldAt = now
	}
	return found
}

// hears reports whether an agent of a zone has sent a load report recently.
func (v *view) hears(now time.Time, zone registrar.ZoneName) bool {
	return slices.ContainsFunc(v.zones[zone], func(m *member) bool { return m.reporting(now) })
}

// looksUp reports whether the flows of a route are looked up at all agents at once.
func (s *Steerer) looksUp(route registrar.Route) bool {
	if s.lookups == nil {
		return false
	}
	h := s.current().holders[route.Address]
	return h != nil && len(h.agents) > maxSearchSteps
}

// find decides about a packet of a flow that the entry has no record of.
func (s *Steerer) find(p callerPacket) Decision {
	if !s.looksUp(p.route) {
		return s.search(p, 0)
	}
	return lookupDecision(s.lookups.FromCaller(p.now, lookupPacket(p.seg)))
}

// continueFind decides about a packet that an agent has returned while the entry was looking for its flow.
func (s *Steerer) continueFind(p callerPacket, from netip.AddrPort, header carrier.HopHeader) Decision {
	if !s.looksUp(p.route) {
		return s.search(p, int(header.Step)+1)
	}
	if rec := p.record(); rec != nil && rec.member.address == from {
		// The agent has said that its upstream holds the flow, but the upstream has sent the packet back.
		s.remove(p.shard, p.flow)
	}
	return lookupDecision(s.lookups.HandleReturned(p.now, from, header.Reason, lookupPacket(p.seg)))
}

// lookupPacket returns what a lookup needs of a packet. A caller that ends or resets its flow, or only acknowledges data, awaits no answer.
func lookupPacket(seg *carrier.Segment) locator.Packet {
	return locator.Packet{
		Flow: seg.Flow(), Sequence: seg.Sequence, Acknowledged: seg.Acknowledged,
		AwaitsAnswer: len(seg.Payload) > 0 && !seg.Has(carrier.End) && !seg.Has(carrier.Reset),
	}
}

func lookupDecision(d locator.Decision) Decision {
	switch d.Verdict {
	case locator.Wait:
		return Decision{Action: Keep, Reason: ReasonLookup}
	case locator.Pass:
		header := carrier.HopHeader{Kind: carrier.HopPass, Service: d.To.Service, Searching: true}
		return Decision{Action: Pass, Reason: ReasonLookup, To: d.To.Address, Header: header}
	case locator.Lost:
		return Decision{Action: Reset, Reason: ReasonLostFlow, Asked: d.Asked, LookupTime: d.Elapsed}
	}
	return Decision{Reason: ReasonNoFlow, Asked: d.Asked}
}

// KeepPacket keeps a copy of a packet about which the decision was Keep.
func (s *Steerer) KeepPacket(now time.Time, seg *carrier.Segment, packet []byte) {
	s.lookups.Keep(now, lookupPacket(seg), packet)
}

// KeptPacket is a packet that was kept during a lookup, with the decision about it.
type KeptPacket struct {
	Decision
	Packet []byte
}

// HandleLookupAnswer applies the answer to a lookup of the agent at address from, whose upstream belongs to the given service. It returns
// the kept packets that are decided now.
func (s *Steerer) HandleLookupAnswer(now time.Time, from netip.AddrPort, service carrier.ServiceTag, a carrier.LookupAnswer) []KeptPacket {
	if s.lookups == nil {
		return nil
	}
	return keptPackets(s.lookups.HandleAnswer(now, from, service, a))
}

// TickLookups returns the lookups to send and the kept packets that are decided now.
func (s *Steerer) TickLookups(now time.Time) ([]locator.Question, []KeptPacket) {
	if s.lookups == nil {
		return nil, nil
	}
	questions, kept := s.lookups.Tick(now)
	return questions, keptPackets(kept)
}

func keptPackets(all []locator.Kept) []KeptPacket {
	var out []KeptPacket
	for _, k := range all {
		out = append(out, KeptPacket{Decision: lookupDecision(k.Decision), Packet: k.Packet})
	}
	return out
}

// EachLookupResult calls f with the number of lookups of each result.
func (s *Steerer) EachLookupResult(f func(locator.Result, int64)) {
	if s.lookups != nil {
		s.lookups.Results.Each(f)
	}
}
