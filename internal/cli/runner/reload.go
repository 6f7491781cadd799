package runner

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"syscall"

	"github.com/peridotstage/peridotstage/internal/report/recorder"
)

// reloader reads files again.
type reloader interface {
	Reload() error
}

// reloadOnHangup returns a function that reloads on SIGHUP until its context ends. What cannot be read stays as it was. It
// takes the signal from the call on, so that a SIGHUP during the start neither ends the process nor is lost.
func reloadOnHangup(rec *recorder.Recorder, all ...reloader) func(ctx context.Context) error {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	return func(ctx context.Context) error {
		defer signal.Stop(hangup)
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-hangup:
				reloadAll(rec, all)
			}
		}
	}
}

func reloadAll(rec *recorder.Recorder, all []reloader) {
	var err error
	for _, r := range all {
		err = errors.Join(err, r.Reload())
	}
	if err != nil {
		rec.Error(recorder.ReloadFailed, recorder.Err(err))
		return
	}
	rec.Info(recorder.KeysReloaded)
}
