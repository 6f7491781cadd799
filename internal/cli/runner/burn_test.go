package runner_test

import (
	"bytes"
	"encoding/json"
	"encoding/xml"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/peridotstage/peridotstage/internal/cli/commander"
	"github.com/peridotstage/peridotstage/internal/fake/backend"
	"github.com/peridotstage/peridotstage/internal/fake/deployer"
	"github.com/peridotstage/peridotstage/internal/report/burner"
	"github.com/peridotstage/peridotstage/internal/secret/issuer"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// runOperatorCommand runs an operator command and returns its exit status and output.
func runOperatorCommand(d *deployer.Deployment, args ...string) (int, string, string) {
	var out, errOut bytes.Buffer
	code := commander.Main(append([]string{
		"--api", d.APIAddr(0).String(), "--authority", d.KeyFile(issuer.AuthorityFile),
		"--certificate", d.KeyFile("operator.pem"), "--key", d.KeyFile("operator.key"),
	}, args...), &out, &errOut, nil)
	return code, out.String(), errOut.String()
}

func verdicts(t *testing.T, d *deployer.Deployment) map[registrar.ServiceName]burner.Verdict {
	all := map[registrar.ServiceName]burner.Verdict{}
	for service, f := range findings(t, d) {
		all[service] = f.Verdict
	}
	return all
}

// findings returns the fast-burn finding of the deployment's customer for each service.
func findings(t *testing.T, d *deployer.Deployment) map[registrar.ServiceName]burner.Finding {
	_, out, errOut := runOperatorCommand(d, "report", "burn", "--output", "json")
	var document struct {
		Findings []burner.Finding `json:"findings"`
	}
	require.NoError(t, json.Unmarshal([]byte(out), &document), errOut)
	all := map[registrar.ServiceName]burner.Finding{}
	for _, f := range document.Findings {
		if f.Customer == "estate" && f.Speed == burner.FastBurn {
			all[f.Service] = f
		}
	}
	return all
}

// TestBurnReport guards against slow or failed answers, or an outage, that raise no alert, against an alert without a cause, and
// against a report that shows no problem while an agent sends no data.
func TestBurnReport(t *testing.T) {
	zones := []registrar.ZoneName{"johor-a", "johor-a"}
	var services []deployer.Service
	names := []registrar.ServiceName{"order-desk", "slow-desk", "failing-desk"}
	for _, name := range names {
		services = append(services, deployer.Service{Name: name, Transport: registrar.TransportQUIC, Slots: 2, Zones: zones})
	}
	d := deployer.New(t, deployer.Options{
		Controls: 1, Entries: 1, Region: "johor", Zones: []registrar.ZoneName{"johor-a"}, Services: services,
	})
	const late = 1 * time.Second
	d.Backends(0, nil)
	d.Backends(1, func(_ int, b *backend.Backend) { b.ServiceTime = late + 200*time.Millisecond })
	for _, b := range d.Backends(2, nil) {
		b.Close()
	}
	settings := d.ControlSettings(0)
	var objectives []deployer.Settings
	for _, name := range names {
		objectives = append(objectives, deployer.Settings{"service": name, "answered": 0.99, "fast": 0.99, "fast_within": late.String()})
	}
	settings["objectives"] = objectives
	d.Start("control", "control-0", settings)
	d.StartEntry(0)
	for s := range services {
		d.Fabric(s, 1)
		d.StartAgent(s, 0)
		d.StartAgent(s, 1)
	}
	d.Configure("estate")
	for range 3 {
		for s := range services {
			_, err := d.Caller(s, 0).Get("/stock", 5*time.Second)
			require.NoError(t, err)
		}
	}
	require.Eventually(t, func() bool {
		v := verdicts(t, d)
		return v["order-desk"] == burner.OK && v["slow-desk"] == burner.Burning && v["failing-desk"] == burner.Burning
	}, deployer.WaitTime, 100*time.Millisecond)

	code, out, errOut := runOperatorCommand(d, "report", "burn")
	require.Equal(t, commander.ExitBurning, code, "an alert condition does not show in the exit status")
	require.Contains(t, errOut, "burns its error budget")
	require.Regexp(t, `slow-desk +estate +fast +burning`, out)
	file := filepath.Join(t.TempDir(), "burn.html")
	_, _, _ = runOperatorCommand(d, "report", "burn", "--html", file)
	b, err := os.ReadFile(file)
	require.NoError(t, err)
	page := string(b)
	require.Equal(t, 2*len(services), strings.Count(page, "<svg"))
	checkMarkup(t, page[strings.Index(page, "<svg"):strings.Index(page, "</svg>")+len("</svg>")])

	d.Process("agent-order-desk-0").Freeze()
	require.Eventually(t, func() bool { return verdicts(t, d)["order-desk"] == burner.Unknown }, 2*deployer.WaitTime, 500*time.Millisecond)
	_, out, _ = runOperatorCommand(d, "report", "burn")
	require.Contains(t, out, "missing for order-desk, fast burn: no data of agent-order-desk-0 since")

	// Without upstreams no agent can count the attempts of callers, so the entry counts them.
	d.Process("agent-order-desk-0").Thaw()
	for i := range zones {
		require.NoError(t, d.Process("agent-"+string(d.UpstreamName(0, i))).Stop())
	}
	require.Eventually(t, func() bool {
		_, err := d.Caller(0, 0).Get("/stock", 500*time.Millisecond)
		require.Error(t, err)
		return verdicts(t, d)["order-desk"] == burner.Burning
	}, 2*deployer.WaitTime, deployer.PollTime)
}

// checkMarkup fails if the text is not well-formed.
func checkMarkup(t *testing.T, s string) {
	dec := xml.NewDecoder(strings.NewReader(s))
	for {
		if _, err := dec.Token(); err == io.EOF {
			return
		} else if err != nil {
			require.NoError(t, err)
		}
	}
}
