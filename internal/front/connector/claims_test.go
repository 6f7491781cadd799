package connector_test

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/peridotstage/peridotstage/internal/front/connector"
	"github.com/peridotstage/peridotstage/internal/request/claimer"
	"github.com/peridotstage/peridotstage/internal/secret/issuer"
	"github.com/peridotstage/peridotstage/internal/secret/loader"
	"github.com/peridotstage/peridotstage/internal/setting/parser"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// owner answers every call with the same reply.
type owner struct{ reply claimer.Reply }

func (o owner) Handle(time.Time, claimer.Call) claimer.Reply { return o.reply }

func newMaterial(t *testing.T, ip netip.Addr) *loader.Material {
	t.Helper()
	dir := t.TempDir()
	now := time.Now()
	s := &issuer.Issuer{Folder: dir, ExpireAt: now.AddDate(1, 0, 0)}
	require.NoError(t, s.Init(now))
	require.NoError(t, s.Issue(now, loader.HolderMachine, "agent-0", []netip.Addr{ip}, nil))
	m, err := loader.Load(parser.Keys{
		Authority: dir + "/" + issuer.AuthorityFile, Certificate: dir + "/agent-0.pem", PrivateKey: dir + "/agent-0.key",
		Data: dir + "/" + issuer.DataKeyFile,
	})
	require.NoError(t, err)
	return m
}

func freeAddress(t *testing.T, ip netip.Addr) netip.AddrPort {
	t.Helper()
	ln, err := net.Listen("tcp", netip.AddrPortFrom(ip, 0).String())
	require.NoError(t, err)
	defer ln.Close()
	return ln.Addr().(*net.TCPAddr).AddrPort()
}

// TestAskWithSilentPeer guards that an owner which takes connections and never answers does not hold up the others, that a
// reply arrives whole, and that the question ends.
func TestAskWithSilentPeer(t *testing.T) {
	ip := netip.MustParseAddr("127.0.0.1")
	m := newMaterial(t, ip)
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer silent.Close()
	peer := func(name string, a netip.AddrPort) claimer.Peer {
		return claimer.Peer{Machine: registrar.MachineName("agent-" + name), Address: a}
	}
	want := claimer.Reply{
		Verdict: claimer.Answered,
		Answer:  &claimer.Answer{Status: 201, Header: map[string][]string{"X-Note": {"\xff"}}, Body: []byte("job")},
		Sets:    []claimer.Set{{peer("1", netip.MustParseAddrPort("127.0.0.9:7000"))}},
	}
	address := freeAddress(t, ip)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() {
		done <- (&connector.Server{Address: address, TLS: m.Server, Claims: owner{want}}).Run(ctx)
	}()
	require.Eventually(t, func() bool {
		conn, err := tls.Dial("tcp", address.String(), m.Client())
		if err == nil {
			_ = conn.Close()
		}
		return err == nil
	}, time.Minute, time.Millisecond)

	c := &connector.Claims{TLS: m.Client, Machine: "agent-2", Local: owner{claimer.Reply{Verdict: claimer.Granted}}}
	defer c.Close()
	working, local := peer("1", address), peer("2", address)
	call := claimer.Call{Kind: claimer.Claim, Deadline: time.UnixMilli(1_000_000_000), WantSets: true}
	for range 3 {
		replies := c.Ask(ctx, []claimer.Peer{peer("0", silent.Addr().(*net.TCPAddr).AddrPort()), working, local}, call)
		got := map[claimer.Peer]claimer.Reply{}
		for range 2 {
			r := <-replies
			got[r.Peer] = r.Reply
		}
		require.Equal(t, want, got[working])
		require.Equal(t, claimer.Granted, got[local].Verdict)
		_, ok := <-replies
		require.False(t, ok, "a silent peer answered")
	}
	cancel()
	require.NoError(t, <-done)
}
