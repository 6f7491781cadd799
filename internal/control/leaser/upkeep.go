package leaser

import (
	"slices"
	"time"

	"github.com/peridotstage/peridotstage/internal/control/planner"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// Gone returns the machines that no instance has heard for an hour. The caller must know the sessions of every instance that may
// have heard a node within that time.
func Gone(now time.Time, w *registrar.World, sessions []Session) []planner.GoneFact {
	heard := map[registrar.MachineName]bool{}
	for _, s := range sessions {
		if !now.After(s.HeardAt.Add(KeepTime)) {
			heard[s.Machine.Name] = true
		}
	}
	hosts := map[registrar.MachineName]bool{}
	for _, u := range w.Upstreams() {
		hosts[u.Machine] = true
	}
	var gone []planner.GoneFact
	for _, m := range w.Machines() {
		if !heard[m.Name] && !hosts[m.Name] && !m.ServesExpired && m.Role != registrar.RoleControl {
			gone = append(gone, planner.GoneFact{Machine: m.Name, Incarnation: m.Incarnation})
		}
	}
	return gone
}

// Expire forgets the sessions of machines that have not been heard for an hour, unless they serve without a lease.
func (l *Leaser) Expire(now time.Time) {
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		for name, starts := range s.sessions {
			kept := slices.DeleteFunc(slices.Clone(starts), func(v Session) bool {
				return !v.ServeExpired && now.After(v.HeardAt.Add(KeepTime)) && now.After(v.LeaseUntil)
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

// Upkeep returns what the sessions of all control instances say about upstreams that have gone silent and about generations
// that no flow needs any more. The caller must know the sessions of every instance that may have heard a node within
// SilentAfter.
func Upkeep(now time.Time, w *registrar.World, sessions []Session) planner.Facts {
	newest := map[registrar.MachineName]Session{}
	for _, s := range sessions {
		if old, ok := newest[s.Machine.Name]; !ok || s.HeardAt.After(old.HeardAt) {
			newest[s.Machine.Name] = s
		}
	}
	var f planner.Facts
	oldest := map[registrar.ServiceName]registrar.Revision{}
	for _, u := range w.Upstreams() {
		s, heard := newest[u.Machine]
		// A machine that announces another upstream or service has left this one, even if the announcement is refused.
		left := s.Announcement != nil && (s.Announcement.Upstream != u.Name || s.Announcement.Service != u.Service)
		live := heard && !left && now.Before(s.HeardAt.Add(SilentAfter))
		if !live && !u.Silent {
			m, _ := w.Machine(u.Machine)
			f.Silent = append(f.Silent, planner.SilentFact{Upstream: u.Name, Machine: u.Machine, Incarnation: m.Incarnation})
		}
		if live || !u.Silent {
			needs(w, oldest, u, s, live)
		}
	}
	for _, s := range w.Services() {
		if before := oldest[s.Name]; len(s.Generations) > 1 && s.Generations[0].Revision < before {
			f.Trims = append(f.Trims, registrar.Trim{Service: s.Name, Before: before})
		}
	}
	return f
}

// needs lowers the oldest generation that a service needs to what one agent reports. An agent that is not heard, or reports
// about another upstream, may hold flows of any generation.
func needs(w *registrar.World, oldest map[registrar.ServiceName]registrar.Revision, u registrar.Upstream, s Session, live bool) {
	var need registrar.Revision
	if live && s.Announcement != nil && s.Announcement.Upstream == u.Name {
		need = s.Announcement.OldestFlow
		if need == 0 {
			service, _ := w.Service(u.Service)
			need = generationAt(service, s.Revision)
		}
	}
	if old, ok := oldest[u.Service]; !ok || need < old {
		oldest[u.Service] = need
	}
}

// generationAt returns the newest generation at a revision. New flows of an agent that enforces the revision belong to it.
func generationAt(s registrar.Service, at registrar.Revision) registrar.Revision {
	var newest registrar.Revision
	for _, g := range s.Generations {
		if g.Revision <= at {
			newest = g.Revision
		}
	}
	return newest
}
