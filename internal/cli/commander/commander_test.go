package commander

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/peridotstage/peridotstage/internal/control/leaser"
	"github.com/peridotstage/peridotstage/internal/control/planner"
	"github.com/peridotstage/peridotstage/internal/control/publisher"
	"github.com/peridotstage/peridotstage/internal/front/administrator"
	"github.com/peridotstage/peridotstage/internal/front/connector"
	"github.com/peridotstage/peridotstage/internal/report/recorder"
	"github.com/peridotstage/peridotstage/internal/secret/issuer"
	"github.com/peridotstage/peridotstage/internal/secret/loader"
	"github.com/peridotstage/peridotstage/internal/setting/parser"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"peridotstage": func() { os.Exit(Main(os.Args[1:], os.Stdout, os.Stderr, nil)) },
	})
}

// directLog is a control log that applies each entry to the ledger immediately.
type directLog struct {
	mu     sync.Mutex
	ledger *planner.Ledger
}

func (l *directLog) Propose(_ context.Context, entry []byte) ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ledger.Apply(0, entry), nil
}

// singleEntryCollector reports one control instance with the session of one entry that has sent no evidence.
type singleEntryCollector struct{}

func (singleEntryCollector) Collect(context.Context, connector.SessionQuery) []leaser.Instance {
	s := leaser.Session{
		Heartbeat: leaser.Heartbeat{Machine: registrar.Machine{Name: "entry-0", Role: registrar.RoleEntry, Zone: "johor-a"}},
		HeardAt:   time.Now(), LeaseUntil: time.Now().Add(time.Second), EvidenceKnown: true,
	}
	return []leaser.Instance{{Name: "control-0", Answered: true, Sessions: []leaser.Session{s}}}
}

// currentLeader is the StateAger of an instance that always has the newest revision.
type currentLeader struct{}

func (currentLeader) StateAge(time.Time) (time.Duration, bool) { return 0, true }

// startAPI starts a server of the intent API and writes its keys and those of an operator to a folder.
func startAPI(folder string) (*httptest.Server, error) {
	now := time.Now()
	keyIssuer := &issuer.Issuer{Folder: folder, ExpireAt: now.Add(time.Hour)}
	local := []netip.Addr{netip.MustParseAddr("127.0.0.1")}
	err := errors.Join(keyIssuer.Init(now), keyIssuer.Issue(now, loader.HolderMachine, "control", local, nil),
		keyIssuer.Issue(now, loader.HolderOperator, "ana", nil, nil))
	if err != nil {
		return nil, err
	}
	keys, err := loader.Load(parser.Keys{
		Authority: filepath.Join(folder, issuer.AuthorityFile), Certificate: filepath.Join(folder, "control.pem"),
		PrivateKey: filepath.Join(folder, "control.key"),
	})
	if err != nil {
		return nil, err
	}
	ledger := planner.NewLedger(&publisher.Publisher{})
	a := &administrator.Administrator{
		Log: &directLog{ledger: ledger}, Ledger: ledger, Collector: singleEntryCollector{}, StateAger: currentLeader{}, Recorder: recorder.Discard(),
	}
	server := httptest.NewUnstartedServer(a.Handler())
	server.TLS = keys.Server()
	server.StartTLS()
	return server, nil
}

// checkExitCode implements the script command "exits CODE COMMAND ARGS...", which runs a command and checks its exit code.
func checkExitCode(ts *testscript.TestScript, _ bool, args []string) {
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	got := 0
	var exit *exec.ExitError
	if err := ts.Exec(args[1], args[2:]...); errors.As(err, &exit) {
		got = exit.ExitCode()
	}
	if got != want {
		ts.Fatalf("exit code %d, want %d", got, want)
	}
}

// unusedAddress returns an address on which no process listens.
func unusedAddress() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return ln.Addr().String(), ln.Close()
}

// TestCommands guards against changed output or exit codes of the commands, by the scripts in testdata.
func TestCommands(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:  "testdata",
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"exits": checkExitCode},
		Setup: func(e *testscript.Env) error {
			folder := filepath.Join(e.WorkDir, "keys")
			server, err := startAPI(folder)
			if err != nil {
				return err
			}
			e.Defer(server.Close)
			unused, err := unusedAddress()
			e.Setenv("API", server.Listener.Addr().String())
			e.Setenv("DEAD", unused)
			e.Setenv("PERIDOTSTAGE_API", server.Listener.Addr().String())
			e.Setenv("PERIDOTSTAGE_AUTHORITY", filepath.Join(folder, issuer.AuthorityFile))
			e.Setenv("PERIDOTSTAGE_CERTIFICATE", filepath.Join(folder, "ana.pem"))
			e.Setenv("PERIDOTSTAGE_KEY", filepath.Join(folder, "ana.key"))
			e.Setenv("MACHINE", fmt.Sprint(filepath.Join(folder, "control")))
			return err
		},
	})
}
