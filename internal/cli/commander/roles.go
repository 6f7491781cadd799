package commander

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"github.com/peridotstage/peridotstage/internal/cli/relayer"
	"github.com/peridotstage/peridotstage/internal/cli/runner"
	"github.com/peridotstage/peridotstage/internal/cli/supervisor"
	"github.com/peridotstage/peridotstage/internal/report/recorder"
	"github.com/peridotstage/peridotstage/internal/setting/parser"
)

func addRoles(a *app) {
	addRole(a, "entry", "Run an entry: take callers' datagrams and forward them to agents.", runner.Entry)
	addRole(a, "agent", "Run an agent beside one upstream.", runner.Agent)
	addRole(a, "control", "Run a control instance.", runner.Control)
	if a.platform == nil {
		return
	}
	addRole(a, "stream-entry", "Run an entry of stream services on the platform.", relayer.Entry(a.platform))
	addRole(a, "stream-agent", "Run an agent beside one upstream of a stream service on the platform.", relayer.Agent(a.platform))
	addRole(a, "open-control", "Run a control instance of an open group on the platform.", runner.OpenControl(a.platform))
}

func addRole[T any](a *app, name, help string, run func(context.Context, supervisor.Source[T], *recorder.Recorder) error) {
	cmd := a.Command(name, help)
	settings := cmd.Flag("settings", "Settings file (JSON with comments).").Required().ExistingFile()
	cmd.Action(func(*kingpin.ParseContext) error {
		cfg, err := parser.Load[T](*settings)
		if err != nil {
			return usageError{err}
		}
		source := supervisor.Source[T]{Path: *settings, Settings: cfg}
		return a.runRole(func(ctx context.Context, rec *recorder.Recorder) error { return run(ctx, source, rec) })
	})
}
