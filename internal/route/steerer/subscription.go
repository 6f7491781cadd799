package steerer

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/peridotstage/peridotstage/internal/route/carrier"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

const (
	// reportShare is the fraction of the entry's link that load reports may use while callers press. The rest carries packets.
	reportShare = 0.2
	// reportWireSize is the size of a load report with its UDP and IPv4 headers, in bytes.
	reportWireSize = 52
	// maxReportTicks is the longest time between two reports that an entry asks for: reportLifetime has to cover three of them.
	maxReportTicks carrier.ReportTicks = 10
	// maxSparseLink is the rate from which on an entry does not save reports between zones. The reports of 7,800 agents, 100 a second
	// from each, take 324 Mbit/s.
	maxSparseLink registrar.Mbps = 1000
	// lastingRoom is how long the entry's zone must have room before reports between zones become fewer again. Near its capacity a
	// zone gains and loses room with every request, and each change costs a subscription to every agent in the other zones.
	lastingRoom = time.Second
)

// Subscription is a request for the load reports of an agent.
type Subscription struct {
	Agent netip.AddrPort
	// Spacing is the shortest time between two reports.
	Spacing carrier.ReportTicks
}

// SpaceReports returns the shortest time between two load reports of an agent at which the reports of all agents fit into their share of
// the entry's link.
func SpaceReports(agents int, link registrar.Mbps) carrier.ReportTicks {
	if link <= 0 {
		return 0
	}
	seconds := float64(agents) * reportWireSize / (reportShare * link.BytesPerSecond())
	return carrier.ReportTicks(min(seconds/carrier.ReportTick.Seconds(), float64(maxReportTicks)))
}

// Subscriptions returns the load reports that the entry needs at present. Below maxSparseLink, agents in other zones report as seldom as
// possible while the entry's zone has room for their service.
func (s *Steerer) Subscriptions(now time.Time) []Subscription {
	v := s.current()
	spacing := SpaceReports(len(v.members), s.Link)
	sparse := s.Link > 0 && s.Link < maxSparseLink
	all := make([]Subscription, 0, len(v.members))
	for _, p := range v.pools {
		crossZone := spacing
		if sparse && !p.lacksRoom(now, s.Zone) {
			crossZone = maxReportTicks
		}
		for _, m := range p.members {
			switch {
			case v.memberAt(m.address) != m:
			case m.zone == s.Zone:
				all = append(all, Subscription{Agent: m.address, Spacing: spacing})
			default:
				all = append(all, Subscription{Agent: m.address, Spacing: crossZone})
			}
		}
	}
	return all
}

// shortage records when the entry's zone last had no room for new flows of a service, under its own lock.
type shortage struct {
	mu     sync.Mutex
	seenAt time.Time
}

// lacksRoom reports whether a zone has no room for new flows now, or had none within lastingRoom.
func (p *pool) lacksRoom(now time.Time, zone registrar.ZoneName) bool {
	hasRoom := p.hasRoom(now, zone)
	p.shortage.mu.Lock()
	defer p.shortage.mu.Unlock()
	if !hasRoom {
		p.shortage.seenAt = now
		return true
	}
	return now.Sub(p.shortage.seenAt) < lastingRoom
}

// hasRoom reports whether an upstream in a zone has a free slot for a new flow. A failing upstream has none, because it only gets probes.
func (p *pool) hasRoom(now time.Time, zone registrar.ZoneName) bool {
	threshold := p.failureThreshold(now)
	return slices.ContainsFunc(p.members, func(m *member) bool {
		if m.zone != zone || !m.accepting(now) {
			return false
		}
		e, _, hasRoom := m.load.estimate(now, p.maxFlows)
		return hasRoom && e.idle && e.failures <= threshold
	})
}
