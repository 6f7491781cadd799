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

// snapshotRetryEntries is the number of entries applied between a failed attempt to save a snapshot and the next attempt.
const snapshotRetryEntries = 64

// batch is an optional snapshot to restore, followed by committed entries to apply.
type batch struct {
	snapshot *replicator.Snapshot
	entries  []replicator.Entry
}

// applier applies committed entries in a goroutine of its own, so that a slow state machine does not delay heartbeats.
type applier struct {
	driver  *Driver
	pending replicator.Pending
	// wake signals that the queue may not be empty. It has room for one signal.
	wake chan struct{}

	mu    sync.Mutex
	queue []batch

	// The fields below are used only by the applier's goroutine. savedIndex is the index of the newest saved snapshot.
	appliedIndex replicator.Index
	savedIndex   replicator.Index
	// logBytes is the size of the commands applied since savedIndex.
	logBytes int
	// attemptIndex is the index of the last attempt to save a snapshot.
	attemptIndex replicator.Index
	lastPosition replicator.Position
	members      replicator.Members
}

func (a *applier) enqueue(snapshot *replicator.Snapshot, entries []replicator.Entry) {
	if snapshot == nil && len(entries) == 0 {
		return
	}
	a.mu.Lock()
	a.queue = append(a.queue, batch{snapshot: snapshot, entries: entries})
	a.mu.Unlock()
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

func (a *applier) takeQueue() []batch {
	a.mu.Lock()
	defer a.mu.Unlock()
	queue := a.queue
	a.queue = nil
	return queue
}

func (a *applier) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.wake:
		}
		for _, b := range a.takeQueue() {
			if err := a.processBatch(ctx, b); err != nil {
				return err
			}
		}
	}
}

func (a *applier) processBatch(ctx context.Context, b batch) error {
	if s := b.snapshot; s != nil && s.Index > a.appliedIndex {
		if err := a.driver.StateMachine.Restore(s.State); err != nil {
			return eris.Wrap(err, "restore snapshot")
		}
		a.appliedIndex, a.savedIndex, a.logBytes, a.members = s.Index, s.Index, 0, s.Members
		for _, outcome := range a.pending.Skip(s.Index) {
			a.driver.proposals.complete(outcome)
		}
		a.driver.replica.Applied(time.Now(), a.appliedIndex)
	}
	for _, e := range b.entries {
		if e.Index <= a.appliedIndex {
			continue
		}
		a.applyEntry(e)
		if a.snapshotDue() {
			a.attemptIndex = a.appliedIndex
			if err := a.saveSnapshot(ctx); err != nil {
				// The log keeps its entries until a later attempt succeeds.
				a.driver.Recorder.Error(recorder.SnapshotFailed, recorder.Err(err))
			}
		}
	}
	return nil
}

// snapshotDue reports whether the log has grown enough for a snapshot, and no attempt has just failed.
func (a *applier) snapshotDue() bool {
	hasGrown := a.appliedIndex-a.savedIndex >= a.driver.SnapshotEntries || a.logBytes >= maxLogBytes
	return hasGrown && (a.attemptIndex <= a.savedIndex || a.appliedIndex-a.attemptIndex >= snapshotRetryEntries)
}

func (a *applier) applyEntry(e replicator.Entry) {
	var result []byte
	if e.Members != nil {
		a.members = e.Members
		a.driver.Recorder.Info(recorder.MembersChanged, zap.Any("members", e.Members))
	}
	if e.Command != nil {
		result = a.driver.StateMachine.Apply(uint64(e.Index), e.Command)
	}
	a.appliedIndex, a.lastPosition = e.Index, e.Position
	a.logBytes += len(e.Command)
	a.driver.replica.Applied(time.Now(), e.Index)
	if outcome, ok := a.pending.Apply(e.Position, result); ok {
		a.driver.proposals.complete(outcome)
	}
}

// saveSnapshot saves a snapshot of the state machine, so that the log can discard the entries that it covers.
func (a *applier) saveSnapshot(ctx context.Context) error {
	start := time.Now()
	state, err := a.driver.StateMachine.Snapshot()
	if err != nil {
		return eris.Wrap(err, "take snapshot")
	}
	s := replicator.Snapshot{Position: a.lastPosition, Members: a.members, State: state}
	if err := a.driver.store.saveSnapshot(s); err != nil {
		return err
	}
	a.savedIndex, a.logBytes = s.Index, 0
	a.driver.Recorder.Info(recorder.SnapshotTaken, zap.Uint64("index", uint64(s.Index)), zap.Int("bytes", len(state)),
		zap.Duration("duration", time.Since(start)))
	select {
	case a.driver.events <- replicator.Snapshotted{Snapshot: s}:
	case <-ctx.Done():
	}
	return nil
}
