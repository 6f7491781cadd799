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

// Asker asks another control instance for its sessions.
type Asker interface {
	Sessions(ctx context.Context, instance registrar.MachineName) ([]leaser.Session, error)
}

// Directory lists the other control instances.
type Directory interface {
	Others() []registrar.MachineName
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

// Sessions returns the sessions of all nodes sorted by machine name, and the instances that did not answer. While an
// instance does not answer, it may have granted a lease to any node, so every lease may be valid.
func (g *Gatherer) Sessions(ctx context.Context) ([]leaser.Session, []registrar.MachineName) {
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	var wg sync.WaitGroup
	var mu sync.Mutex
	var silent []registrar.MachineName
	for _, name := range g.Directory.Others() {
		wg.Go(func() {
			sessions, err := g.Asker.Sessions(ctx, name)
			if err != nil {
				mu.Lock()
				silent = append(silent, name)
				mu.Unlock()
				return
			}
			g.learn(sessions)
		})
	}
	wg.Wait()
	slices.Sort(silent)
	return g.combine(time.Now(), len(silent) > 0), silent
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

func (g *Gatherer) combine(now time.Time, uncertain bool) []leaser.Session {
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
	if uncertain {
		for i := range list {
			list[i].LeaseUntil = latest(list[i].LeaseUntil, now.Add(subscriber.LeaseTime))
		}
	}
	return list
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
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
