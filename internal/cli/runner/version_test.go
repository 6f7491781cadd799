package runner_test

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
	"storj.io/drpc/drpcconn"

	"github.com/peridotstage/peridotstage/internal/control/leaser"
	"github.com/peridotstage/peridotstage/internal/fake/deployer"
	"github.com/peridotstage/peridotstage/internal/secret/issuer"
	"github.com/peridotstage/peridotstage/internal/secret/loader"
	"github.com/peridotstage/peridotstage/internal/setting/parser"
	"github.com/peridotstage/peridotstage/internal/wire/encoder"
	"github.com/peridotstage/peridotstage/internal/wire/messenger"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// TestMixedVersions guards against a rolling upgrade that disconnects nodes, and against a peer with an unsupported version that
// fails without an explanation.
func TestMixedVersions(t *testing.T) {
	d := newSmallDeployment(t)
	d.StartControl(0)
	// An instance grants leases only once it has been elected.
	require.Eventually(t, func() bool { return d.Status().Current }, deployer.WaitTime, deployer.PollTime)
	m, err := loader.Load(parser.Keys{
		Authority: d.KeyFile(issuer.AuthorityFile), Certificate: d.KeyFile("entry-0.pem"), PrivateKey: d.KeyFile("entry-0.key"),
	})
	require.NoError(t, err)
	for version, refused := range map[uint32]string{
		encoder.Protocol - 1: "",
		encoder.Protocol:     "",
		encoder.Protocol + 1: "",
		encoder.Protocol + 2: "peer has 3, this machine has 1: unsupported protocol version",
	} {
		h, err := encoder.HeartbeatToMessage(leaser.Heartbeat{
			Machine: registrar.Machine{Name: "entry-0", Role: registrar.RoleEntry, Zone: "johor-a", DataAddress: d.EntryServiceAddr(0, 0)},
		})
		require.NoError(t, err)
		h.Protocol = version
		raw, err := tls.Dial("tcp", d.ControlSettings(0)["control_address"].(netip.AddrPort).String(), m.Client())
		require.NoError(t, err)
		conn := drpcconn.New(raw)
		reply, err := messenger.NewDRPCControlClient(conn).Heartbeat(context.Background(), h)
		_ = conn.Close()
		if refused != "" {
			require.ErrorContains(t, err, refused, "version %d", version)
			continue
		}
		require.NoError(t, err, "version %d", version)
		require.True(t, reply.GetGranted(), "version %d", version)
	}
}

// TestForeignDatagrams guards against forged datagrams that are accepted, and against datagrams of another format version that are
// counted as forged, which would hide a failed upgrade.
func TestForeignDatagrams(t *testing.T) {
	d := newSmallDeployment(t)
	d.StartEntry(0)
	data := d.EntrySettings(0)["data_address"].(netip.AddrPort)
	conn, err := net.Dial("udp", data.String())
	require.NoError(t, err)
	defer conn.Close()
	for version, reason := range map[byte]string{encoder.DatagramVersion + 1: "bad_version", encoder.DatagramVersion: "bad_seal"} {
		datagram := make([]byte, encoder.HeaderSize)
		datagram[0] = version
		require.Eventually(t, func() bool {
			_, _ = conn.Write(datagram)
			return d.Metrics(d.EntryAddr(0))[`peridotstage_packets_dropped_total{reason="`+reason+`"}`] > 0
		}, deployer.WaitTime, deployer.PollTime, reason)
	}
}
