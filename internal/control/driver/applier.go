package driver

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/peridotstage/peridotstage/internal/control/replicator"
	"github.com/peridotstage/peridotstage/internal/report/recorder"
)

// snapshotRetry is the number of entries after which a snapshot that could not be saved is tried again.
const snapshotRetry = 64

// work is something to apply.
type work struct {
	install *replicator.Snapshot
	entries []replicator.Entry
}

// applier applies committed entries in a goroutine of its own, so that a slow state machine does not delay heartbeats.
type applier struct {
	driver  *Driver
	pending replicator.Pending
	// wake has an element if the queue may not be empty.
	wake chan struct{}

	mu    sync.Mutex
	queue []work

	// The fields below belong to the goroutine.
	applied replicator.Index
	saved   replicator.Index
	// tried is where a snapshot was last tried.
	tried   replicator.Index
	last    replicator.Position
	members replicator.Members
}

func (a *applier) add(install *replicator.Snapshot, entries []replicator.Entry) {
	if install == nil && len(entries) == 0 {
		return
	}
	a.mu.Lock()
	a.queue = append(a.queue, work{install: install, entries: entries})
	a.mu.Unlock()
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

func (a *applier) take() []work {
	a.mu.Lock()
	defer a.mu.Unlock()
	q := a.queue
	a.queue = nil
	return q
}

func (a *applier) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.wake:
		}
		for _, w := range a.take() {
			if err := a.carryOut(ctx, w); err != nil {
				return err
			}
		}
	}
}

func (a *applier) carryOut(ctx context.Context, w work) error {
	if s := w.install; s != nil && s.Index > a.applied {
		if err := a.driver.Machine.Restore(s.State); err != nil {
			return eris.Wrap(err, "restore snapshot")
		}
		a.applied, a.saved, a.members = s.Index, s.Index, s.Members
		for _, o := range a.pending.Skip(s.Index) {
			a.driver.waiters.finish(o)
		}
		a.driver.replica.Applied(time.Now(), a.applied)
	}
	for _, e := range w.entries {
		if e.Index <= a.applied {
			continue
		}
		a.apply(e)
		if a.applied-a.saved >= a.driver.SnapshotEntries && (a.tried <= a.saved || a.applied-a.tried >= snapshotRetry) {
			a.tried = a.applied
			if err := a.snapshot(ctx); err != nil {
				// The log keeps its entries until a later try succeeds.
				a.driver.Recorder.Error(recorder.SnapshotFailed, recorder.Err(err))
			}
		}
	}
	return nil
}

func (a *applier) apply(e replicator.Entry) {
	var result []byte
	if e.Members != nil {
		a.members = e.Members
		a.driver.Recorder.Info(recorder.MembersChanged, zap.Any("members", e.Members))
	}
	if e.Command != nil {
		result = a.driver.Machine.Apply(uint64(e.Index), e.Command)
	}
	a.applied, a.last = e.Index, e.Position
	a.driver.replica.Applied(time.Now(), e.Index)
	if o, ok := a.pending.Apply(e.Position, result); ok {
		a.driver.waiters.finish(o)
	}
}

// snapshot makes the state durable, so that entries up to it can be dropped.
func (a *applier) snapshot(ctx context.Context) error {
	start := time.Now()
	state, err := a.driver.Machine.Snapshot()
	if err != nil {
		return eris.Wrap(err, "take snapshot")
	}
	s := replicator.Snapshot{Position: a.last, Members: a.members, State: state}
	if err := a.driver.store.saveSnapshot(s); err != nil {
		return err
	}
	a.saved = s.Index
	a.driver.Recorder.Info(recorder.SnapshotTaken, zap.Uint64("index", uint64(s.Index)), zap.Int("bytes", len(state)),
		zap.Duration("duration", time.Since(start)))
	select {
	case a.driver.events <- replicator.Snapshotted{Snapshot: s}:
	case <-ctx.Done():
	}
	return nil
}
