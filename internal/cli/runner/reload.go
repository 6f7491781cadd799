package runner

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap"

	"github.com/peridotstage/peridotstage/internal/report/recorder"
	"github.com/peridotstage/peridotstage/internal/setting/parser"
)

// Source is a settings file and what it held at the start.
type Source[T any] struct {
	Path     string
	Settings T
}

// reloader reads key files again. What they hold is in force once commit is called.
type reloader interface {
	Prepare() (commit func(), err error)
}

// setters put the fields that can be reloaded into force, by the path of the field.
type setters[T any] map[string]func(cfg T)

// reload reads the settings file and the key files again on SIGHUP. The fields are set before run.
type reload[T any] struct {
	hangup   chan os.Signal
	recorder *recorder.Recorder
	// source holds the settings in force.
	source  Source[T]
	keys    []reloader
	setters setters[T]
}

// newReload takes the signal from the call on, so that a SIGHUP during the start neither ends the process nor is lost.
func newReload[T any](source Source[T], rec *recorder.Recorder, keys ...reloader) *reload[T] {
	r := &reload[T]{hangup: make(chan os.Signal, 1), recorder: rec, source: source, keys: keys}
	signal.Notify(r.hangup, syscall.SIGHUP)
	return r
}

// run reloads until ctx ends.
func (r *reload[T]) run(ctx context.Context) error {
	defer signal.Stop(r.hangup)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.hangup:
			r.once()
		}
	}
}

// once checks everything before it changes anything.
func (r *reload[T]) once() {
	next, err := parser.Load[T](r.source.Path)
	if err != nil {
		r.refuse(err)
		return
	}
	changes := parser.Compare(r.source.Settings, next)
	if r.needsRestart(changes) {
		return
	}
	commit, err := prepare(r.keys)
	if err != nil {
		r.recorder.Error(recorder.ReloadFailed, recorder.Err(err))
		return
	}
	commit()
	r.recorder.Info(recorder.KeysReloaded)
	var fields []string
	for _, c := range changes {
		r.setters[c.Path](next)
		fields = append(fields, c.Path)
	}
	r.source.Settings = next
	r.recorder.Info(recorder.SettingsReloaded, zap.Strings("fields", fields))
}

// refuse logs one line a problem.
func (r *reload[T]) refuse(err error) {
	var problems parser.Problems
	if !errors.As(err, &problems) {
		r.recorder.Error(recorder.SettingsRefused, zap.String("file", r.source.Path), recorder.Err(err))
	}
	for _, p := range problems {
		r.recorder.Error(recorder.SettingsRefused, zap.String("file", p.File), zap.Int("line", p.Line),
			zap.String("field", p.Path), zap.String("value", p.Value), zap.String("want", p.Want))
	}
}

// needsRestart logs the changes that a running process cannot take.
func (r *reload[T]) needsRestart(changes []parser.Change) bool {
	found := false
	for _, c := range changes {
		if !c.Reloadable {
			found = true
			r.recorder.Error(recorder.NeedsRestart, zap.String("file", r.source.Path), zap.String("field", c.Path),
				zap.String("value", c.New), zap.String("in_force", c.Old))
		}
	}
	return found
}

// prepare reads all key files. commit puts all of them into force.
func prepare(all []reloader) (commit func(), err error) {
	var commits []func()
	for _, r := range all {
		c, problem := r.Prepare()
		commits = append(commits, c)
		err = errors.Join(err, problem)
	}
	return func() {
		for _, c := range commits {
			c()
		}
	}, err
}
