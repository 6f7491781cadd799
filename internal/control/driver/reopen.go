package driver

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/peridotstage/peridotstage/internal/control/replicator"
	"github.com/peridotstage/peridotstage/internal/report/recorder"
	"github.com/peridotstage/peridotstage/internal/store/journaler"
)

// reopenInterval is the delay before the data folder is opened again after a failed write.
const reopenInterval = 250 * time.Millisecond

// errDiskWrite means that a write to the data folder failed. No message that depends on the write has been sent.
var errDiskWrite = eris.New("disk does not take writes")

func wrapDiskError(err error) error {
	if err == nil {
		return nil
	}
	return eris.Wrap(errDiskWrite, err.Error())
}

// reopen reloads the member from disk, as a restart of the process would. Until the disk accepts writes, the member sends
// nothing, because its messages could acknowledge votes or entries that it has not stored. The state machine keeps its state,
// because entries are stored before they are applied.
func (d *Driver) reopen(ctx context.Context, cause error) error {
	d.Recorder.Error(recorder.DiskFailed, recorder.Err(cause))
	for {
		d.proposals.failAll(eris.Wrap(replicator.ErrUncertain, cause.Error()))
		if !d.dropEvents(ctx) {
			return nil
		}
		_ = d.store.close()
		state, err := d.store.reload()
		switch {
		case eris.Is(err, journaler.ErrCorrupt):
			return err
		case err != nil:
			continue
		}
		if err := d.replica.Restart(time.Now(), state); err != nil {
			return err
		}
		d.loggedLeading = false
		d.Recorder.Info(recorder.DiskReopened)
		return nil
	}
}

// dropEvents discards all events for reopenInterval and fails their proposals. It returns false if ctx is done first.
func (d *Driver) dropEvents(ctx context.Context) bool {
	timer := time.NewTimer(reopenInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-timer.C:
			return true
		case ev := <-d.events:
			if p, ok := ev.(replicator.Proposed); ok {
				d.proposals.complete(replicator.Outcome{Token: p.Token, Err: replicator.ErrNotLeader})
			}
		}
	}
}
