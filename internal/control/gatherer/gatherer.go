// Package gatherer combines what all control instances know about nodes, since each node talks to one instance at a time.
package gatherer

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/peridotstage/peridotstage/internal/control/leaser"
	"github.com/peridotstage/peridotstage/internal/control/subscriber"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// askTime bounds the wait for one instance. An instance that does not answer within it counts as unreachable.
const askTime = 500 * time.Millisecond

// Report is what one control instance knows about nodes.
type Report struct {
	Sessions []leaser.Session
	// LeaseEnds bounds the leases that each other instance has granted, unless the instance hears from the leader again.
	// Only a leader with a valid leader lease knows it.
	LeaseEnds map[registrar.MachineName]time.Time
}

// Asker asks another control instance.
type Asker interface {
	Ask(ctx context.Context, instance registrar.MachineName) (Report, error)
}

// Directory knows the other control instances.
type Directory interface {
	Others() []registrar.MachineName
	// LeaseEnds returns the bounds of Report.LeaseEnds; nil unless this instance leads.
	LeaseEnds(now time.Time) map[registrar.MachineName]time.Time
}

// Gatherer asks the other instances. The exported fields are set before first use.
type Gatherer struct {
	Local     *leaser.Leaser
	Directory Directory
	Asker     Asker

	mu sync.Mutex
	// known has the newest session of each node that another instance has reported.
	known map[registrar.MachineName]leaser.Session
}

// Report returns what this instance knows by itself.
func (g *Gatherer) Report(now time.Time) Report {
	return Report{Sessions: g.Local.Sessions(), LeaseEnds: g.Directory.LeaseEnds(now)}
}

// Sessions returns the sessions of all nodes sorted by machine name, and the instances that did not answer. An instance that
// does not answer may have granted a lease to any node, so every lease is taken to run until the bound that the leader
// gives, or as long as a new lease if the leader is not known.
func (g *Gatherer) Sessions(ctx context.Context) ([]leaser.Session, []registrar.MachineName) {
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	var wg sync.WaitGroup
	var mu sync.Mutex
	var silent []registrar.MachineName
	ends := g.Directory.LeaseEnds(time.Now())
	for _, name := range g.Directory.Others() {
		wg.Go(func() {
			r, err := g.Asker.Ask(ctx, name)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				silent = append(silent, name)
				return
			}
			if len(r.LeaseEnds) > 0 {
				ends = r.LeaseEnds
			}
			g.learn(r.Sessions)
		})
	}
	wg.Wait()
	slices.Sort(silent)
	return g.combine(latestEnd(time.Now(), silent, ends)), silent
}

// latestEnd returns when the last lease of the silent instances ends; the zero time if there are none.
func latestEnd(now time.Time, silent []registrar.MachineName, ends map[registrar.MachineName]time.Time) time.Time {
	var end time.Time
	for _, name := range silent {
		e, known := ends[name]
		if !known {
			e = now.Add(subscriber.LeaseTime)
		}
		end = latest(end, e)
	}
	return end
}

func (g *Gatherer) learn(sessions []leaser.Session) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.known == nil {
		g.known = map[registrar.MachineName]leaser.Session{}
	}
	for _, s := range sessions {
		g.known[s.Machine.Name] = Newest(g.known[s.Machine.Name], s)
	}
}

// Newest combines two sessions of a node: the later heartbeat, and the lease that runs longer.
func Newest(a, b leaser.Session) leaser.Session {
	if b.HeardAt.After(a.HeardAt) {
		a, b = b, a
	}
	if b.LeaseUntil.After(a.LeaseUntil) {
		a.LeaseUntil = b.LeaseUntil
	}
	return a
}

// combine returns all sessions. No lease is taken to end before minimum.
func (g *Gatherer) combine(minimum time.Time) []leaser.Session {
	g.mu.Lock()
	defer g.mu.Unlock()
	all := maps.Clone(g.known)
	if all == nil {
		all = map[registrar.MachineName]leaser.Session{}
	}
	for _, s := range g.Local.Sessions() {
		all[s.Machine.Name] = Newest(all[s.Machine.Name], s)
	}
	list := slices.SortedFunc(maps.Values(all), func(a, b leaser.Session) int {
		return cmp.Compare(a.Machine.Name, b.Machine.Name)
	})
	for i := range list {
		list[i].LeaseUntil = latest(list[i].LeaseUntil, minimum)
	}
	return list
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// LeaseUntil returns the latest time at which a lease that any instance has granted to a machine can be valid.
func (g *Gatherer) LeaseUntil(name registrar.MachineName) time.Time {
	sessions, silent := g.Sessions(context.Background())
	for _, s := range sessions {
		if s.Machine.Name == name {
			return s.LeaseUntil
		}
	}
	if len(silent) > 0 {
		return time.Now().Add(subscriber.LeaseTime)
	}
	return time.Time{}
}

// Silent returns the upstreams that no instance has heard for leaser.SilentAfter.
func (g *Gatherer) Silent(ctx context.Context, w *registrar.World) []registrar.Change {
	sessions, _ := g.Sessions(ctx)
	var all leaser.Leaser
	for _, s := range sessions {
		all.Record(s.HeardAt, s.Heartbeat, false)
	}
	return all.Silent(time.Now(), w)
}
