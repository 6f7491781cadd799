package commander_test

import (
	"bytes"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/peridotstage/peridotstage/internal/cli/commander"
	"github.com/peridotstage/peridotstage/internal/fake/deployer"
	"github.com/peridotstage/peridotstage/internal/secret/issuer"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// operatingPages is the folder of the pages whose commands TestOperatingPages runs.
const operatingPages = "../../../docs/operating"

// pageRunner runs the commands of an operating page against a deployment.
type pageRunner struct {
	deployment *deployer.Deployment
	// stoppedMachine is the machine whose process the page stops.
	stoppedMachine string
	// planID is the id of the newest plan.
	planID string
}

func newPageRunner(t *testing.T) *pageRunner {
	zones := []registrar.ZoneName{"johor-a", "johor-b"}
	d := deployer.New(t, deployer.Options{
		Controls: 3, Entries: 1, Region: "johor", Zones: zones,
		Services: []deployer.Service{{Name: "order-desk", Transport: registrar.TransportQUIC, Slots: 2, Zones: zones}},
	})
	for i := range d.Controls {
		d.StartControl(i)
	}
	entry := d.EntrySettings(0)
	entry["address_map"].(map[netip.Addr]netip.Addr)[netip.MustParseAddr("203.0.113.11")] = d.AgentAddr(1, 0)
	d.Start("entry", "entry-0", entry)
	d.StartAgent(0, 0)
	d.StartAgent(0, 1)
	d.Configure("estate")
	t.Chdir(d.Folder)
	t.Setenv("PERIDOTSTAGE_API", d.APIAddr(0).String()+","+d.APIAddr(1).String()+","+d.APIAddr(2).String())
	t.Setenv("PERIDOTSTAGE_AUTHORITY", d.KeyFile(issuer.AuthorityFile))
	t.Setenv("PERIDOTSTAGE_CERTIFICATE", d.KeyFile("operator.pem"))
	t.Setenv("PERIDOTSTAGE_KEY", d.KeyFile("operator.key"))
	return &pageRunner{deployment: d}
}

// runCommand runs one command as printed on the page, after it has replaced placeholders such as PLAN.
func (r *pageRunner) runCommand(t *testing.T, command string) {
	words := strings.Fields(command)
	switch {
	case command == "peridotstage control --settings "+r.stoppedMachine+".json":
		r.deployment.StartControl(2)
	case command == "peridotstage member list":
		require.Eventually(t, func() bool { return r.countVoters(t) == r.deployment.Controls }, deployer.WaitTime, deployer.PollTime)
	case words[0] == "peridotstage":
		var out, errOut bytes.Buffer
		code := commander.Main(strings.Fields(strings.ReplaceAll(command, "PLAN", r.planID))[1:], &out, &errOut, nil)
		// The page tells the operator to repeat the command until the proof succeeds.
		for deadline := time.Now().Add(deployer.WaitTime); code == commander.ExitNotProved && time.Now().Before(deadline); {
			time.Sleep(deployer.PollTime)
			out.Reset()
			code = commander.Main(words[1:], &out, &errOut, nil)
		}
		require.Equal(t, commander.ExitOK, code, "%s: %s", command, errOut.String())
		r.storePlanID(out.String())
	case command == "kill -HUP PID":
		for _, name := range r.deployment.Names() {
			reloadsBefore := strings.Count(r.deployment.Log(name), `"event":1104`)
			r.deployment.Process(name).Hangup()
			require.Eventually(t, func() bool {
				return strings.Count(r.deployment.Log(name), `"event":1104`) > reloadsBefore
			}, deployer.WaitTime, deployer.PollTime, "%s did not reload", name)
		}
	case command == "kill -TERM PID":
		require.NoError(t, r.deployment.Process(r.stoppedMachine).Stop())
	case command == "rm -r "+r.stoppedMachine:
		require.NoError(t, os.RemoveAll(filepath.Join(r.deployment.Folder, r.stoppedMachine)))
	default:
		require.Fail(t, "the test cannot run this command", command)
	}
}

// countVoters returns the number of voting members of the control log.
func (r *pageRunner) countVoters(t *testing.T) int {
	var out, errOut bytes.Buffer
	require.Equal(t, commander.ExitOK, commander.Main([]string{"member", "list"}, &out, &errOut, nil), errOut.String())
	return len(regexp.MustCompile(`(?m)^control-\d +\S+ +yes `).FindAllString(out.String(), -1))
}

// storePlanID stores the id of the plan that a command has printed, if any.
func (r *pageRunner) storePlanID(out string) {
	if m := regexp.MustCompile(`peridotstage confirm (\d+)`).FindStringSubmatch(out); m != nil {
		r.planID = m[1]
	}
}

// TestOperatingPages guards against a command on an operating page that does not work as printed.
func TestOperatingPages(t *testing.T) {
	pages, err := filepath.Glob(filepath.Join(operatingPages, "*-*.md"))
	require.NoError(t, err)
	require.NotEmpty(t, pages)
	texts := map[string]string{}
	for _, page := range pages {
		b, err := os.ReadFile(page)
		require.NoError(t, err)
		texts[filepath.Base(page)] = string(b)
	}
	examples, err := filepath.Abs("../../../examples")
	require.NoError(t, err)
	shellBlock := regexp.MustCompile("(?ms)^ *```sh\n(.*?)^ *```$")
	for name, text := range texts {
		t.Run(name, func(t *testing.T) {
			r := newPageRunner(t)
			r.stoppedMachine = map[string]string{
				"replace-a-control-disk.md":         "control-2",
				"upgrade-one-instance-at-a-time.md": "entry-0",
			}[name]
			if r.stoppedMachine == "" {
				r.stoppedMachine = "agent-order-desk-1"
			}
			require.NoError(t, os.Symlink(examples, filepath.Join(r.deployment.Folder, "examples")))
			for _, m := range shellBlock.FindAllStringSubmatch(text, -1) {
				for command := range strings.Lines(m[1]) {
					r.runCommand(t, strings.TrimSpace(command))
				}
			}
		})
	}
}
