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

const docs = "../../../docs/operating"

// guide runs the commands of operating pages.
type guide struct {
	deployment *deployer.Deployment
	// target is the machine whose process the page stops.
	target string
	// plan is the id of the newest plan.
	plan string
}

func newGuide(t *testing.T) *guide {
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
	return &guide{deployment: d}
}

// run runs one command as printed, with the words in capitals filled in.
func (g *guide) run(t *testing.T, command string) {
	words := strings.Fields(command)
	switch {
	case command == "peridotstage control --settings "+g.target+".json":
		g.deployment.StartControl(2)
	case command == "peridotstage member list":
		require.Eventually(t, func() bool { return g.voters(t) == g.deployment.Controls }, deployer.WaitTime, deployer.PollTime)
	case words[0] == "peridotstage":
		var out, errOut bytes.Buffer
		code := commander.Main(strings.Fields(strings.ReplaceAll(command, "PLAN", g.plan))[1:], &out, &errOut, nil)
		// The page says to ask for the proof until it is there.
		for end := time.Now().Add(deployer.WaitTime); code == commander.ExitNotProved && time.Now().Before(end); {
			time.Sleep(deployer.PollTime)
			out.Reset()
			code = commander.Main(words[1:], &out, &errOut, nil)
		}
		require.Equal(t, commander.ExitOK, code, "%s: %s", command, errOut.String())
		g.remember(out.String())
	case command == "kill -HUP PID":
		for _, name := range g.deployment.Names() {
			before := strings.Count(g.deployment.Log(name), `"event":1104`)
			g.deployment.Process(name).Hangup()
			require.Eventually(t, func() bool {
				return strings.Count(g.deployment.Log(name), `"event":1104`) > before
			}, deployer.WaitTime, deployer.PollTime, "%s did not reload", name)
		}
	case command == "kill -TERM PID":
		require.NoError(t, g.deployment.Process(g.target).Stop())
	case command == "rm -r "+g.target:
		require.NoError(t, os.RemoveAll(filepath.Join(g.deployment.Folder, g.target)))
	default:
		require.Fail(t, "the test cannot run this command", command)
	}
}

// voters returns the number of members that vote.
func (g *guide) voters(t *testing.T) int {
	var out, errOut bytes.Buffer
	require.Equal(t, commander.ExitOK, commander.Main([]string{"member", "list"}, &out, &errOut, nil), errOut.String())
	return len(regexp.MustCompile(`(?m)^control-\d +\S+ +yes `).FindAllString(out.String(), -1))
}

// remember keeps the id of a plan.
func (g *guide) remember(out string) {
	if m := regexp.MustCompile(`peridotstage confirm (\d+)`).FindStringSubmatch(out); m != nil {
		g.plan = m[1]
	}
}

// TestOperatingPages guards against a command on an operating page that does not work as printed.
func TestOperatingPages(t *testing.T) {
	pages, err := filepath.Glob(filepath.Join(docs, "*-*.md"))
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
	block := regexp.MustCompile("(?ms)^ *```sh\n(.*?)^ *```$")
	for name, text := range texts {
		t.Run(name, func(t *testing.T) {
			g := newGuide(t)
			g.target = map[string]string{
				"replace-a-control-disk.md":         "control-2",
				"upgrade-one-instance-at-a-time.md": "entry-0",
			}[name]
			if g.target == "" {
				g.target = "agent-order-desk-1"
			}
			require.NoError(t, os.Symlink(examples, filepath.Join(g.deployment.Folder, "examples")))
			for _, m := range block.FindAllStringSubmatch(text, -1) {
				for command := range strings.Lines(m[1]) {
					g.run(t, strings.TrimSpace(command))
				}
			}
		})
	}
}
