package runner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/peridotstage/peridotstage/internal/setting/parser"
)

// durationSetting is a duration that a reload of the settings can change.
type durationSetting struct{ d atomic.Int64 }

func (s *durationSetting) set(d parser.Duration) { s.d.Store(int64(d)) }
func (s *durationSetting) get() time.Duration    { return time.Duration(s.d.Load()) }

// group runs functions until the first one fails or the context ends.
type group struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	wg     sync.WaitGroup
	once   sync.Once
	// err is the first error that a function returned. The cause of ctx cannot replace it, because a signal that ends the parent
	// context sets a cause as well.
	err error
}

func newGroup(ctx context.Context) *group {
	g := &group{}
	g.ctx, g.cancel = context.WithCancelCause(ctx)
	return g
}

func (g *group) run(f func(ctx context.Context) error) {
	g.wg.Go(func() {
		if err := f(g.ctx); err != nil {
			g.once.Do(func() { g.err = err })
			g.cancel(err)
		}
	})
}

// pause waits for d or until the group ends.
func (g *group) pause(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-g.ctx.Done():
	}
}

// wait returns the first failure once all functions have ended, or nil if the parent context ended.
func (g *group) wait() error {
	<-g.ctx.Done()
	g.wg.Wait()
	return g.err
}
