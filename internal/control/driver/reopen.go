package driver

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/peridotstage/peridotstage/internal/control/replicator"
	"github.com/peridotstage/peridotstage/internal/report/recorder"
	"github.com/peridotstage/peridotstage/internal/store/journaler"
)

// reopenInterval is the wait before a disk that did not take a write is tried again.
const reopenInterval = 250 * time.Millisecond

// errDisk means that the disk did not take a write. What was to be written has not been answered for.
var errDisk = eris.New("disk does not take writes")

func diskError(err error) error {
	if err == nil {
		return nil
	}
	return eris.Wrap(errDisk, err.Error())
}

// reopen starts the member again from what its disk holds, as a restart of the process would. Until the disk takes writes, the
// member is silent: nothing that it has not stored may be answered for. The state machine keeps what it has applied, because
// that was stored before.
func (d *Driver) reopen(ctx context.Context, cause error) error {
	d.Recorder.Error(recorder.DiskFailed, recorder.Err(cause))
	for {
		d.waiters.fail(eris.Wrap(replicator.ErrUncertain, cause.Error()))
		if !d.silence(ctx) {
			return nil
		}
		_ = d.store.close()
		st, err := d.store.reload()
		switch {
		case eris.Is(err, journaler.ErrCorrupt):
			return err
		case err != nil:
			continue
		}
		if err := d.replica.Restart(time.Now(), st); err != nil {
			return err
		}
		d.leading = false
		d.Recorder.Info(recorder.DiskReopened)
		return nil
	}
}

// silence drops all events for reopenInterval. It returns false if ctx ends.
func (d *Driver) silence(ctx context.Context) bool {
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
				d.waiters.finish(replicator.Outcome{Token: p.Token, Err: replicator.ErrNotLeader})
			}
		}
	}
}
