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
	"github.com/peridotstage/peridotstage/internal/wire/encoder"
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
	serve(t, m, &connector.Server{Address: address, Claims: owner{want}})
	c := &connector.Claims{TLS: m.Client, Machine: "agent-2", Local: owner{claimer.Reply{Verdict: claimer.Granted}}}
	defer c.Close()
	working, local := peer("1", address), peer("2", address)
	call := claimer.Call{Kind: claimer.Claim, Deadline: time.UnixMilli(1_000_000_000), WantSets: true}
	for range 3 {
		replies := c.Ask(context.Background(), []claimer.Peer{peer("0", silent.Addr().(*net.TCPAddr).AddrPort()), working, local}, call)
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
}

// serve runs a server until the test ends.
func serve(t *testing.T, m *loader.Material, s *connector.Server) {
	t.Helper()
	s.TLS = m.Server
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- s.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
	})
	require.Eventually(t, func() bool {
		conn, err := tls.Dial("tcp", s.Address.String(), m.Client())
		if err == nil {
			_ = conn.Close()
		}
		return err == nil
	}, time.Minute, time.Millisecond)
}

// TestHandoverCalls guards the ends of calls that carry ledgers: only a peer that surely has not got the ledger allows another
// one, a peer of an earlier version holds none, and no machine gets the ledger of another.
func TestHandoverCalls(t *testing.T) {
	ip := netip.MustParseAddr("127.0.0.1")
	m := newMaterial(t, ip)
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer silent.Close()
	none, old, working := freeAddress(t, ip), freeAddress(t, ip), freeAddress(t, ip)
	serve(t, m, &connector.Server{Address: old})
	d := &claimer.Directory{}
	d.Update(time.Now(), registrar.ServiceView{})
	holder := &claimer.Holder{Service: "order-desk", Directory: d, Lease: lease{}}
	serve(t, m, &connector.Server{Address: working, Claims: owner{}, Ledgers: holder})
	c := &connector.Claims{TLS: m.Client}
	b, err := encoder.LedgerToBytes(claimer.Ledger{Records: []claimer.Record{{State: claimer.Granted}}})
	require.NoError(t, err)
	// A later format, as field 1 of the message.
	later := []byte{1 << 3, encoder.LedgerFormat + 1}
	for i, x := range []struct {
		name    string
		address netip.AddrPort
		machine registrar.MachineName
		ledger  []byte
		held    claimer.HoldVerdict
		fetched claimer.FetchVerdict
		decoded bool
	}{
		{"nobody listens", none, "agent-0", b, claimer.HoldRefused, claimer.FetchRefused, false},
		{"earlier version", old, "agent-0", b, claimer.HoldRefused, claimer.FetchNone, false},
		{"silent", silent.Addr().(*net.TCPAddr).AddrPort(), "agent-0", b, claimer.HoldRefused, claimer.FetchRefused, false},
		{"holder", working, "agent-0", b, claimer.HoldAccepted, claimer.FetchGiven, true},
		{"format of a later version", working, "agent-0", later, claimer.HoldAccepted, claimer.FetchGiven, false},
		{"ledger of another machine", working, "agent-1", b, claimer.HoldUncertain, claimer.FetchRefused, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			p := claimer.Peer{Machine: "agent-9", Address: x.address}
			life, now := registrar.Incarnation(i), time.Now().Add(time.Duration(i)*time.Millisecond)
			o := claimer.Handover{Service: "order-desk", Machine: x.machine, Incarnation: life, SealedAt: now, Ledger: x.ledger}
			v, _ := c.Hold(context.Background(), p, o)
			require.Equal(t, x.held, v)
			q := claimer.Fetch{Service: "order-desk", Machine: x.machine, Incarnation: life + 1, StartedAt: now}
			f, _ := c.Fetch(context.Background(), p, q)
			require.Equal(t, x.fetched, f.Verdict)
			require.Equal(t, x.decoded, f.Ledger != nil)
		})
	}
}

// lease is always valid.
type lease struct{}

func (lease) Valid(time.Time) bool { return true }
