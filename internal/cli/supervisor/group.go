package supervisor

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/peridotstage/peridotstage/internal/setting/parser"
)

// DurationSetting is a duration that a reload of the settings can change.
type DurationSetting struct{ d atomic.Int64 }

// Set changes the duration.
func (s *DurationSetting) Set(d parser.Duration) { s.d.Store(int64(d)) }

// Get returns the duration in force.
func (s *DurationSetting) Get() time.Duration { return time.Duration(s.d.Load()) }

// Group runs functions until the first one fails or the context ends.
type Group struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	wg     sync.WaitGroup
	once   sync.Once
	// err is the first error that a function returned. The cause of ctx cannot replace it, because a signal that ends the parent
	// context sets a cause as well.
	err error
}

// NewGroup returns a group that ends with its parent context.
func NewGroup(ctx context.Context) *Group {
	g := &Group{}
	g.ctx, g.cancel = context.WithCancelCause(ctx)
	return g
}

// Context returns the context of the functions.
func (g *Group) Context() context.Context { return g.ctx }

// Stop ends the context of the functions.
func (g *Group) Stop() { g.cancel(nil) }

// Run runs a function in a goroutine of its own.
func (g *Group) Run(f func(ctx context.Context) error) {
	g.wg.Go(func() {
		if err := f(g.ctx); err != nil {
			g.once.Do(func() { g.err = err })
			g.cancel(err)
		}
	})
}

// Pause waits for d or until the group ends.
func (g *Group) Pause(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-g.ctx.Done():
	}
}

// Wait returns the first failure once all functions have ended, or nil if the parent context ended.
func (g *Group) Wait() error {
	<-g.ctx.Done()
	g.wg.Wait()
	return g.err
}
