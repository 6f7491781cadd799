// Package commander is the command line. Each command has a file of its own.
package commander

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/peridotstage/peridotstage/internal/report/recorder"
)

// Exit codes of the command.
const (
	ExitOK      = 0
	ExitFailure = 1
	ExitUsage   = 2
)

// app is the state that commands share.
type app struct {
	*kingpin.Application
	out, errOut io.Writer
	api         *apiFlags
}

// Main runs the command with the given arguments and returns its exit code.
func Main(args []string, out, errOut io.Writer) int {
	a := &app{Application: kingpin.New("peridotstage", "A layer-4 load balancer that shows where each customer's traffic goes."), out: out, errOut: errOut}
	a.HelpFlag.Short('h')
	a.UsageWriter(out)
	a.ErrorWriter(errOut)
	status := -1
	a.Terminate(func(code int) { status = code })
	a.api = newAPIFlags(a)
	addRoles(a)
	addCheckSettings(a)
	addKeys(a)
	addZone(a)
	addService(a)
	addUpstream(a)
	addCustomer(a)
	addContract(a)
	addConfirm(a)
	addStatus(a)
	_, err := a.Parse(args)
	switch {
	case status >= 0:
		return status
	case err == nil:
		return ExitOK
	}
	fmt.Fprintf(errOut, "peridotstage: %v\n", err)
	return exitCode(err)
}

// usageError is an error in the arguments.
type usageError struct{ error }

func exitCode(err error) int {
	if _, ok := err.(usageError); ok {
		return ExitUsage
	}
	return ExitFailure
}

// run runs a role until SIGTERM or SIGINT.
func (a *app) run(f func(ctx context.Context, rec *recorder.Recorder) error) error {
	rec, err := recorder.New()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := f(ctx, rec); err != nil {
		rec.Error(recorder.MachineFailed, recorder.Err(err))
		return err
	}
	rec.Info(recorder.MachineStopped)
	return nil
}
