package runner_test

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/peridotstage/peridotstage/internal/fake/backend"
	"github.com/peridotstage/peridotstage/internal/fake/deployer"
	"github.com/peridotstage/peridotstage/internal/report/burner"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// TestBurnUDP guards against late or missing answers of a plain UDP service that raise no alert, against counts that a killed
// control instance loses by its restart, and against entries that report no forwarding time.
func TestBurnUDP(t *testing.T) {
	zones := []registrar.ZoneName{"johor-a"}
	names := []registrar.ServiceName{"telemetry", "slow-telemetry", "silent-telemetry", "one-way"}
	var services []deployer.Service
	var objectives []deployer.Settings
	for _, name := range names {
		services = append(services, deployer.Service{Name: name, Transport: registrar.TransportUDP, Slots: 2, Zones: zones})
		objectives = append(objectives, deployer.Settings{"service": name, "answered": 0.99, "fast": 0.99, "fast_within": "500ms"})
	}
	d := deployer.New(t, deployer.Options{Controls: 1, Entries: 1, Region: "johor", Zones: zones, Services: services})
	settings := d.ControlSettings(0)
	// A service without an objective is not evaluated, which suits one-way traffic.
	settings["objectives"] = objectives[:3]
	d.Start("control", "control-0", settings)
	d.StartEntry(0)
	for s, name := range names {
		d.StartAgent(s, 0)
		if s < 2 {
			d.Echoes(s)
			continue
		}
		silent, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(d.BackendAddr(s, 0)))
		require.NoError(t, err, name)
		t.Cleanup(func() { _ = silent.Close() })
	}
	d.Configure("estate")
	for s, name := range names {
		from := net.UDPAddrFromAddrPort(netip.AddrPortFrom(d.CallerAddr(0), 0))
		caller, err := net.DialUDP("udp", from, net.UDPAddrFromAddrPort(d.EntryServiceAddr(0, s)))
		require.NoError(t, err, name)
		t.Cleanup(func() { _ = caller.Close() })
		question := "question"
		if name == "slow-telemetry" {
			question = backend.LatePrefix
		}
		for range 5 {
			_, err := caller.Write([]byte(question))
			require.NoError(t, err)
			time.Sleep(20 * time.Millisecond)
		}
	}
	want := map[registrar.ServiceName]burner.Verdict{
		"telemetry": burner.OK, "slow-telemetry": burner.Burning, "silent-telemetry": burner.Burning,
	}
	// A datagram counts as failed after 10 s, and batches are sent every 5 s.
	require.Eventually(t, func() bool {
		all := findings(t, d)
		return all["telemetry"].Requests == 5 && all["slow-telemetry"].Requests == 5 && all["silent-telemetry"].Requests == 5
	}, burner.AnswerLimit+2*burner.BatchInterval+deployer.WaitTime, 200*time.Millisecond)
	require.Equal(t, want, verdicts(t, d))
	all := findings(t, d)
	require.NotZero(t, all["slow-telemetry"].SlowLong)
	require.Zero(t, all["slow-telemetry"].FailedLong)
	require.NotZero(t, all["silent-telemetry"].FailedLong)
	_, out, _ := runOperatorCommand(d, "report", "burn")
	require.Contains(t, out, "not judged: service one-way has no objective")
	// The entry forwarded ten datagrams: five from callers and their five answers.
	require.Regexp(t, `(?m)^telemetry +10 +[0-9]+\S+ +[0-9]+\S+ +0$`, out)

	d.Process("control-0").Kill()
	d.Start("control", "control-0", settings)
	// Waits until the intent API answers.
	d.Status()
	require.Eventually(t, func() bool { return len(findings(t, d)) == len(want) && verdicts(t, d)["telemetry"] == burner.OK },
		deployer.WaitTime, deployer.PollTime, "the windows did not survive the restart")
	require.Equal(t, want, verdicts(t, d))
	for name, f := range findings(t, d) {
		require.EqualValues(t, 5, f.Requests, name)
		require.Empty(t, f.Missing, name)
	}
}
