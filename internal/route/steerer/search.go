package steerer

import (
	"slices"
	"time"

	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

const (
	// maxSearchSteps is the maximum number of agents that are asked for the flow of one packet.
	maxSearchSteps = 32
	// searchLifetime is how long the order of a search is kept. It covers the steps of a packet, and ends before a dead agent that is in
	// the order can hold up many retransmissions.
	searchLifetime = 500 * time.Millisecond
	// maxSearches bounds the searches of a shard. Packets of flows beyond it are dropped; their callers send them again.
	maxSearches = 512
)

// search is the order in which agents are asked for a flow. It is kept from the first step on: if each step counted the agents that
// report at its moment, an agent that is late with a report would shift the others, and one of them would be passed over.
type search struct {
	startedAt time.Time
	// order holds the upstreams of the steps so far, each once.
	order []*member
}

func (sr *search) ended(now time.Time) bool { return now.Sub(sr.startedAt) > searchLifetime }

// at returns the upstream to ask at a step, or nil if there is none left.
func (sr *search) at(step int, next func(asked []*member) *member) *member {
	if step >= len(sr.order) {
		m := next(sr.order)
		if m == nil {
			return nil
		}
		sr.order = append(sr.order, m)
		step = len(sr.order) - 1
	}
	return sr.order[step]
}

// search sends a packet to the agent at the given step of the search for its flow.
func (s *Steerer) search(p callerPacket, step int) Decision {
	sr := p.shard.searches[p.flow]
	if sr == nil || sr.ended(p.now) {
		if sr = s.startSearch(p); sr == nil {
			return Decision{Reason: ReasonNoFlow}
		}
	}
	// Steps of a search that has ended meanwhile go on behind those of the new one.
	step = min(step, len(sr.order))
	if step >= maxSearchSteps {
		return Decision{Reason: ReasonNoFlow, Asked: step}
	}
	v := s.current()
	m := sr.at(step, func(asked []*member) *member { return v.searchCandidate(p.now, p.route, p.hash, asked) })
	if m == nil {
		return Decision{Reason: ReasonNoFlow, Asked: step}
	}
	header := m.passHeader()
	header.Step, header.Searching = uint8(step), true
	return Decision{Action: Pass, Reason: ReasonSearched, To: m.address, Header: header}
}

// startSearch starts a search for the flow of a packet. It returns nil if too many are running.
func (s *Steerer) startSearch(p callerPacket) *search {
	if p.shard.searches == nil {
		p.shard.searches = map[registrar.Flow]*search{}
	}
	if _, found := p.shard.searches[p.flow]; !found && len(p.shard.searches) >= maxSearches {
		return nil
	}
	sr := &search{startedAt: p.now}
	p.shard.searches[p.flow] = sr
	return sr
}

// searchCandidate returns the upstream to ask next for a flow, or nil after the last one. Upstreams whose agents do not report come
// last, because a packet that reaches no agent ends the search.
func (v *view) searchCandidate(now time.Time, r registrar.Route, hash uint64, asked []*member) *member {
	var reporting, notReporting [][]*member
	for _, name := range searchServices(r, hash) {
		if p := v.pools[name]; p != nil {
			ranked := p.ranked(hash, func(m *member) bool { return !m.silent || m.reporting(now) })
			reporting = append(reporting, selectMembers(ranked, func(m *member) bool { return m.reporting(now) }))
			notReporting = append(notReporting, selectMembers(ranked, func(m *member) bool { return !m.reporting(now) }))
		}
	}
	if m := firstNotAsked(reporting, asked); m != nil {
		return m
	}
	return firstNotAsked(notReporting, asked)
}

// searchServices returns the services whose upstreams may hold a flow of a route: the target that a new flow would be assigned to, the
// other targets, and the services that were targets when the flow may have been opened.
func searchServices(r registrar.Route, hash uint64) []registrar.ServiceName {
	first := selectTarget(r, hash)
	names := []registrar.ServiceName{first}
	for _, t := range r.Targets {
		if t.Service != first {
			names = append(names, t.Service)
		}
	}
	return append(names, r.FormerServices...)
}

// firstNotAsked returns the first member that is not among those asked, or nil. It takes turns among the groups, maxCandidates from
// each: a flow is usually among those of its service, so that a large service does not use up the steps of a search for a flow of
// another one.
func firstNotAsked(groups [][]*member, asked []*member) *member {
	for start := 0; ; start += maxCandidates {
		exhausted := true
		for _, members := range groups {
			if start >= len(members) {
				continue
			}
			exhausted = false
			for _, m := range members[start:min(start+maxCandidates, len(members))] {
				if !slices.ContainsFunc(asked, m.sameAs) {
					return m
				}
			}
		}
		if exhausted {
			return nil
		}
	}
}
