// Package commander implements the command line. Each command is defined in its own file.
package commander

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/peridotstage/peridotstage/internal/cli/relayer"
	"github.com/peridotstage/peridotstage/internal/cli/runner"
	"github.com/peridotstage/peridotstage/internal/report/recorder"
)

// Exit codes of the program.
const (
	ExitOK      = 0
	ExitFailure = 1
	ExitUsage   = 2
	// ExitRefused means that the request is invalid, forbidden or names something that does not exist.
	ExitRefused = 3
	// ExitConflict means that the plan is stale, or that the request number is used or expired.
	ExitConflict = 4
	// ExitUnknown means that no control instance answered; the request may have taken effect.
	ExitUnknown = 5
	// ExitNotProved means that a proof does not show that the traffic has stopped.
	ExitNotProved = 6
	// ExitBurning means that an alert condition of the burn report holds.
	ExitBurning = 7
)

const examples = `
Examples:
  # Ask for the plan of an intent. Nothing takes effect yet.
  peridotstage zone withdraw johor-b
  # Confirm the plan that the answer names, and look at the result.
  peridotstage confirm 17
  peridotstage status
  # Show where a customer's traffic goes, cut the customer off, and prove it.
  peridotstage trace kilang-maju
  peridotstage customer cut kilang-maju
  peridotstage confirm 18
  peridotstage proof kilang-maju --output json > proof.json
  # Complete commands in bash.
  eval "$(peridotstage --completion-script-bash)"

Exit codes:
  0  done
  1  failed
  2  wrong arguments
  3  refused: invalid, forbidden, or something does not exist
  4  conflict: the plan is stale, or the request number is used or expired
  5  no control instance answered; resend with the same --number
  6  the proof does not show that the traffic has stopped
  7  a service burns its error budget too fast
`

// usageTemplate adds to the default help the examples of the selected command, or of the whole program if none is selected.
var usageTemplate = kingpin.DefaultUsageTemplate + `{{if .Context.SelectedCommand}}{{.Context.SelectedCommand.HelpLong}}{{else}}` +
	examples + `{{end}}`

// Platform translates between the formats of a platform and the types of the product.
type Platform interface {
	relayer.Platform
	runner.Platform
}

// app holds the state that the commands share.
type app struct {
	*kingpin.Application
	out, errOut io.Writer
	api         *apiFlags
	// platform is nil if the program has no platform; the roles that need one are then left out.
	platform Platform
	// argsAccepted is true once the arguments are parsed; errors before that are usage errors.
	argsAccepted bool
}

// exitPanic is the panic value that stops parsing when kingpin ends the program, for example after --help. It holds the exit
// code.
type exitPanic int

// Main runs the command with the given arguments and returns its exit code. If platform is nil, the
// roles that need one are left out.
func Main(args []string, out, errOut io.Writer, platform Platform) (code int) {
	a := &app{
		Application: kingpin.New("peridotstage", "A layer-4 load balancer that shows where each customer's traffic goes."),
		out:         out, errOut: errOut, platform: platform,
	}
	a.HelpFlag.Short('h')
	a.UsageTemplate(usageTemplate)
	a.UsageWriter(out)
	a.ErrorWriter(errOut)
	a.Terminate(func(code int) { panic(exitPanic(code)) })
	defer func() {
		switch r := recover().(type) {
		case nil:
		case exitPanic:
			code = int(r)
		default:
			panic(r)
		}
	}()
	a.addCommands()
	a.Action(func(*kingpin.ParseContext) error {
		a.argsAccepted = true
		return nil
	})
	if _, err := a.Parse(args); err != nil {
		fmt.Fprintf(errOut, "peridotstage: %v\n", err)
		if !a.argsAccepted {
			return ExitUsage
		}
		return exitCode(err)
	}
	return ExitOK
}

func (a *app) addCommands() {
	a.api = newAPIFlags(a)
	for _, add := range []func(*app){
		addZone, addService, addUpstream, addCustomer, addContract, addPlan, addConfirm, addStatus, addTrace, addProof, addAudit,
		addMember, addReport, addExplain, addRoles, addCheckSettings, addKeys, addVersion,
	} {
		add(a)
	}
}

// exitError is an error with a specific exit code.
type exitError struct {
	code int
	error
}

func (e exitError) Unwrap() error { return e.error }

// usageError is an error in the arguments.
type usageError struct{ error }

func exitCode(err error) int {
	var exit exitError
	var usage usageError
	switch {
	case errors.As(err, &exit):
		return exit.code
	case errors.As(err, &usage):
		return ExitUsage
	}
	return ExitFailure
}

// runRole runs a role until SIGTERM or SIGINT.
func (a *app) runRole(f func(ctx context.Context, rec *recorder.Recorder) error) error {
	rec := recorder.New(a.out)
	defer rec.Close()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := f(ctx, rec); err != nil {
		rec.Error(recorder.MachineFailed, recorder.Err(err))
		return err
	}
	rec.Info(recorder.MachineStopped)
	return nil
}
