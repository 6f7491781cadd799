package supervisor

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

// Source is a settings file and the settings that it held when the process started.
type Source[T any] struct {
	Path     string
	Settings T
}

// reloader reads key files again. The new keys take effect when commit is called.
type reloader interface {
	Prepare() (commit func(), err error)
}

// Setters holds the functions that apply reloadable fields, by the path of the field.
type Setters[T any] map[string]func(cfg T)

// Reload reads the settings file and the key files again on SIGHUP. Setters is set before Run.
type Reload[T any] struct {
	// Setters applies the fields that have changed.
	Setters Setters[T]

	sighup   chan os.Signal
	recorder *recorder.Recorder
	// source holds the settings in force.
	source Source[T]
	keys   []reloader
}

// NewReload registers for SIGHUP immediately, so that a signal during the start neither ends the process nor is lost.
func NewReload[T any](source Source[T], rec *recorder.Recorder, keys ...reloader) *Reload[T] {
	r := &Reload[T]{sighup: make(chan os.Signal, 1), recorder: rec, source: source, keys: keys}
	signal.Notify(r.sighup, syscall.SIGHUP)
	return r
}

// Run reloads until ctx ends.
func (r *Reload[T]) Run(ctx context.Context) error {
	defer signal.Stop(r.sighup)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.sighup:
			r.reloadOnce()
		}
	}
}

// reloadOnce reloads the settings and the keys. It validates both before it applies either.
func (r *Reload[T]) reloadOnce() {
	next, err := parser.Load[T](r.source.Path)
	if err != nil {
		r.logRefusal(err)
		return
	}
	changes := parser.Compare(r.source.Settings, next)
	if r.needsRestart(changes) {
		return
	}
	commit, err := prepareAll(r.keys)
	if err != nil {
		r.recorder.Error(recorder.ReloadFailed, recorder.Err(err))
		return
	}
	commit()
	r.recorder.Info(recorder.KeysReloaded)
	var fields []string
	for _, c := range changes {
		r.Setters[c.Path](next)
		fields = append(fields, c.Path)
	}
	r.source.Settings = next
	r.recorder.Info(recorder.SettingsReloaded, zap.Strings("fields", fields))
}

// logRefusal logs each problem of a refused settings file in a line of its own.
func (r *Reload[T]) logRefusal(err error) {
	var problems parser.Problems
	if !errors.As(err, &problems) {
		r.recorder.Error(recorder.SettingsRefused, zap.String("file", r.source.Path), recorder.Err(err))
	}
	for _, p := range problems {
		r.recorder.Error(recorder.SettingsRefused, zap.String("file", p.File), zap.Int("line", p.Line),
			zap.String("field", p.Path), zap.String("value", p.Value), zap.String("want", p.Want))
	}
}

// needsRestart logs the changes that take effect only after a restart, and reports whether there are any.
func (r *Reload[T]) needsRestart(changes []parser.Change) bool {
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

// prepareAll reads all key files. commit puts all new keys into effect.
func prepareAll(all []reloader) (commit func(), err error) {
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
