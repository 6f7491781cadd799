package leaser

import (
	"slices"
	"time"

	"github.com/peridotstage/peridotstage/internal/control/planner"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// GoneMachines returns the machines that have sent no heartbeat to any instance for an hour. sessions must include those of
// every instance that may have received a heartbeat within that time, or machines in use would be reported.
func GoneMachines(now time.Time, w *registrar.World, sessions []Session) []planner.GoneFact {
	recent := map[registrar.MachineName]bool{}
	for _, s := range sessions {
		if !now.After(s.HeardAt.Add(SessionRetention)) {
			recent[s.Machine.Name] = true
		}
	}
	hasUpstream := map[registrar.MachineName]bool{}
	for _, u := range w.Upstreams() {
		hasUpstream[u.Machine] = true
	}
	var gone []planner.GoneFact
	for _, m := range w.Machines() {
		if !recent[m.Name] && !hasUpstream[m.Name] && !m.ServesWithoutLease && m.Role != registrar.RoleControl {
			gone = append(gone, planner.GoneFact{Machine: m.Name, Incarnation: m.Incarnation})
		}
	}
	return gone
}

// Expire removes the sessions of machines that have sent no heartbeat for an hour, unless they may hold a lease or serve without
// one.
func (l *Leaser) Expire(now time.Time) {
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		for name, starts := range s.sessions {
			kept := slices.DeleteFunc(slices.Clone(starts), func(v Session) bool {
				return !v.ServesWithoutLease && now.After(v.HeardAt.Add(SessionRetention)) && now.After(v.LeaseUntil)
			})
			if len(kept) == 0 {
				delete(s.sessions, name)
			} else {
				s.sessions[name] = kept
			}
		}
		s.mu.Unlock()
	}
}

// UpkeepFacts returns the upstreams that have become silent and the generations that no flow needs. sessions must include
// those of every instance that may have received a heartbeat within SilentAfter, or upstreams in use would be reported as silent.
func UpkeepFacts(now time.Time, w *registrar.World, sessions []Session) planner.Facts {
	newest := map[registrar.MachineName]Session{}
	for _, s := range sessions {
		if other, ok := newest[s.Machine.Name]; !ok || s.HeardAt.After(other.HeardAt) {
			newest[s.Machine.Name] = s
		}
	}
	var facts planner.Facts
	oldestNeeded := map[registrar.ServiceName]registrar.Revision{}
	for _, u := range w.Upstreams() {
		s, hasSession := newest[u.Machine]
		// A machine that announces another upstream or service no longer serves this one, even if the announcement is refused.
		moved := s.Announcement != nil && (s.Announcement.Upstream != u.Name || s.Announcement.Service != u.Service)
		live := hasSession && !moved && now.Before(s.HeardAt.Add(SilentAfter))
		if !live && !u.Silent {
			m, _ := w.Machine(u.Machine)
			facts.Silent = append(facts.Silent, planner.SilentFact{Upstream: u.Name, Machine: u.Machine, Incarnation: m.Incarnation})
		}
		if live || !u.Silent {
			lowerOldest(w, oldestNeeded, u, s, live)
		}
	}
	for _, s := range w.Services() {
		if before := oldestNeeded[s.Name]; len(s.Generations) > 1 && s.Generations[0].Revision < before {
			facts.Trims = append(facts.Trims, registrar.Trim{Service: s.Name, Before: before})
		}
	}
	return facts
}

// lowerOldest lowers the oldest generation that a service needs to the one that the agent of an upstream needs. An agent that sends
// no heartbeats, or announces another upstream, may hold flows of any generation.
func lowerOldest(
	w *registrar.World, oldest map[registrar.ServiceName]registrar.Revision, u registrar.Upstream, s Session, live bool,
) {
	var needed registrar.Revision
	if live && s.Announcement != nil && s.Announcement.Upstream == u.Name {
		needed = s.Announcement.OldestFlow
		if needed == 0 {
			service, _ := w.Service(u.Service)
			needed = generationAt(service, s.Revision)
		}
	}
	if lowest, ok := oldest[u.Service]; !ok || needed < lowest {
		oldest[u.Service] = needed
	}
}

// generationAt returns the newest generation at a revision. Agents that enforce the revision admit new flows in that generation.
func generationAt(s registrar.Service, revision registrar.Revision) registrar.Revision {
	var newest registrar.Revision
	for _, g := range s.Generations {
		if g.Revision <= revision {
			newest = g.Revision
		}
	}
	return newest
}
