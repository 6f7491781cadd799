package runner_test

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/peridotstage/peridotstage/internal/fake/deployer"
)

// reloadSettings writes the settings of a process, sends it SIGHUP and returns the lines that it then logs with the given event
// number.
func reloadSettings(t *testing.T, d *deployer.Deployment, name string, s deployer.Settings, event string) string {
	t.Helper()
	b, err := json.MarshalIndent(s, "", "  ")
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(filepath.Join(d.Folder, name+".json"), b, 0o600))
	before := len(d.Log(name))
	d.Process(name).Hangup()
	var found []string
	require.Eventually(t, func() bool {
		found = nil
		for line := range strings.Lines(d.Log(name)[before:]) {
			if strings.Contains(line, `"event":`+event) {
				found = append(found, line)
			}
		}
		return len(found) > 0
	}, deployer.WaitTime, deployer.PollTime, "%s logs no event %s", name, event)
	return strings.Join(found, "")
}

// TestReloadSettings guards against a field that is marked as reloadable but needs a restart, and against a settings file that is
// refused but takes effect in part.
func TestReloadSettings(t *testing.T) {
	e := startUDPDeployment(t, 2, nil)
	d := e.Deployment
	entry := d.EntrySettings(1)

	// A bad file is refused with field, line and value.
	entry["lease_expired"], entry["linger"] = "serve", "10m"
	line := reloadSettings(t, d, "entry-1", entry, "1105")
	require.Contains(t, line, `"field":"linger"`)
	require.Contains(t, line, `"value":"\"10m\""`)
	require.Regexp(t, `"line":[1-9]`, line)
	// A field that needs a restart is named, and the other change of the file does not take effect either.
	entry["linger"], entry["zone"] = "0s", "johor-x"
	line = reloadSettings(t, d, "entry-1", entry, "1106")
	require.Contains(t, line, `"field":"zone"`)
	require.NotContains(t, line, `"field":"linger"`)
	require.NotContains(t, d.Log("entry-1"), `"event":1104`)

	entry["zone"] = d.EntrySettings(1)["zone"]
	before := d.Status().Revision
	line = reloadSettings(t, d, "entry-1", entry, "1104")
	require.Contains(t, line, `"fields":["lease_expired","linger"]`)
	// The node may serve without a lease once the log records the setting. Each entry enforces the revision of that change.
	require.Eventually(t, func() bool {
		st := d.Status()
		return st.Revision > before && st.Counts.Enforcing == st.Counts.Nodes
	}, deployer.WaitTime, deployer.PollTime)
	for i := range d.Controls {
		d.Process(fmt.Sprint("control-", i)).Freeze()
	}
	for i := range d.Entries {
		require.Eventually(t, func() bool { return leaseRemaining(d, i) == 0 }, deployer.WaitTime, deployer.PollTime)
	}
	require.Zero(t, countPassed(e, 0), "an entry without a lease passes datagrams")
	require.NotZero(t, countPassed(e, 1), "the reloaded setting to serve without a lease is not in force")
	entry["lease_expired"] = "fence"
	require.Contains(t, reloadSettings(t, d, "entry-1", entry, "1104"), `"fields":["lease_expired"]`)
	require.Zero(t, countPassed(e, 1), "the reloaded setting to fence is not in force")

	// Without control, sending the final batch takes up to 1.4 s more, so control is thawed before the stop is timed.
	for i := range d.Controls {
		d.Process(fmt.Sprint("control-", i)).Thaw()
	}
	require.Eventually(t, func() bool { return leaseRemaining(d, 1) > 0 }, deployer.WaitTime, deployer.PollTime)
	startedAt := time.Now()
	require.NoError(t, d.Process("entry-1").Stop())
	// The linger time of the deployment is 1 s.
	require.Less(t, time.Since(startedAt), time.Second, "a reloaded linger time is not in force")
}

func leaseRemaining(d *deployer.Deployment, i int) float64 {
	return d.Metrics(d.EntryAddr(i))["peridotstage_lease_remaining_milliseconds"]
}

// countPassed sends datagrams through an entry and returns how many it passed on.
func countPassed(e *udpDeployment, i int) float64 {
	const name = "peridotstage_packets_passed_total"
	before := e.Metrics(e.EntryAddr(i))[name]
	e.send(i, 10)
	time.Sleep(settleDelay)
	return e.Metrics(e.EntryAddr(i))[name] - before
}
