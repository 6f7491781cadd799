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

// fixedOwner answers every call with the same reply.
type fixedOwner struct{ reply claimer.Reply }

func (o fixedOwner) Handle(time.Time, claimer.Call) claimer.Reply { return o.reply }

// newMaterial issues the key files of an authority and of machine agent-0 at ip.
func newMaterial(t *testing.T, ip netip.Addr) *loader.Material {
	t.Helper()
	dir := t.TempDir()
	now := time.Now()
	authority := &issuer.Issuer{Folder: dir, ExpireAt: now.AddDate(1, 0, 0)}
	require.NoError(t, authority.Init(now))
	require.NoError(t, authority.Issue(now, loader.HolderMachine, "agent-0", []netip.Addr{ip}, nil))
	m, err := loader.Load(parser.Keys{
		Authority: dir + "/" + issuer.AuthorityFile, Certificate: dir + "/agent-0.pem", PrivateKey: dir + "/agent-0.key",
		Data: dir + "/" + issuer.DataKeyFile,
	})
	require.NoError(t, err)
	return m
}

// freeAddress returns an address at which nothing listens.
func freeAddress(t *testing.T, ip netip.Addr) netip.AddrPort {
	t.Helper()
	ln, err := net.Listen("tcp", netip.AddrPortFrom(ip, 0).String())
	require.NoError(t, err)
	defer ln.Close()
	return ln.Addr().(*net.TCPAddr).AddrPort()
}

// TestAskWithSilentPeer guards against an owner that accepts connections but never answers and thereby delays the replies of other
// owners or keeps Ask from ending. The test also guards against fields that are lost from a reply.
func TestAskWithSilentPeer(t *testing.T) {
	ip := netip.MustParseAddr("127.0.0.1")
	m := newMaterial(t, ip)
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer silent.Close()
	peer := func(number string, addr netip.AddrPort) claimer.Peer {
		return claimer.Peer{Machine: registrar.MachineName("agent-" + number), Address: addr}
	}
	want := claimer.Reply{
		Verdict: claimer.Answered,
		Answer:  &claimer.Answer{Status: 201, Header: map[string][]string{"X-Note": {"\xff"}}, Body: []byte("job")},
		Sets:    []claimer.Set{{peer("1", netip.MustParseAddrPort("127.0.0.9:7000"))}},
	}
	address := freeAddress(t, ip)
	serve(t, m, &connector.Server{Address: address, Claims: fixedOwner{want}})
	c := &connector.Claims{TLS: m.Client, Machine: "agent-2", Local: fixedOwner{claimer.Reply{Verdict: claimer.Granted}}}
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

// TestHandoverCalls guards against a verdict that lets an agent hand its ledger to a second peer although the first may have it,
// against a failed fetch from a peer whose version does not implement the call, and against a machine that obtains the ledger of
// another machine.
func TestHandoverCalls(t *testing.T) {
	ip := netip.MustParseAddr("127.0.0.1")
	m := newMaterial(t, ip)
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer silent.Close()
	unused, earlierVersion, working := freeAddress(t, ip), freeAddress(t, ip), freeAddress(t, ip)
	serve(t, m, &connector.Server{Address: earlierVersion})
	directory := &claimer.Directory{}
	directory.Update(time.Now(), registrar.ServiceView{})
	holder := &claimer.Holder{Service: "order-desk", Directory: directory, Lease: validLease{}}
	serve(t, m, &connector.Server{Address: working, Claims: fixedOwner{}, Ledgers: holder})
	c := &connector.Claims{TLS: m.Client}
	b, err := encoder.LedgerToBytes(claimer.Ledger{Records: []claimer.Record{{State: claimer.Granted}}})
	require.NoError(t, err)
	// Field 1 of the message is the format.
	laterFormat := []byte{1 << 3, encoder.LedgerFormat + 1}
	for i, tc := range []struct {
		name        string
		address     netip.AddrPort
		machine     registrar.MachineName
		ledger      []byte
		wantHold    claimer.HoldVerdict
		wantFetch   claimer.FetchVerdict
		wantDecoded bool
	}{
		{"no listener", unused, "agent-0", b, claimer.HoldRefused, claimer.FetchRefused, false},
		{"earlier version", earlierVersion, "agent-0", b, claimer.HoldRefused, claimer.FetchNone, false},
		{"silent", silent.Addr().(*net.TCPAddr).AddrPort(), "agent-0", b, claimer.HoldRefused, claimer.FetchRefused, false},
		{"holder", working, "agent-0", b, claimer.HoldAccepted, claimer.FetchGiven, true},
		{"format of a later version", working, "agent-0", laterFormat, claimer.HoldAccepted, claimer.FetchGiven, false},
		{"ledger of another machine", working, "agent-1", b, claimer.HoldUncertain, claimer.FetchRefused, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := claimer.Peer{Machine: "agent-9", Address: tc.address}
			incarnation, now := registrar.Incarnation(i), time.Now().Add(time.Duration(i)*time.Millisecond)
			handover := claimer.Handover{
				Service: "order-desk", Machine: tc.machine, Incarnation: incarnation, SealedAt: now, Ledger: tc.ledger,
			}
			verdict, _ := c.Hold(context.Background(), p, handover)
			require.Equal(t, tc.wantHold, verdict)
			fetch := claimer.Fetch{Service: "order-desk", Machine: tc.machine, Incarnation: incarnation + 1, StartedAt: now}
			fetched, _ := c.Fetch(context.Background(), p, fetch)
			require.Equal(t, tc.wantFetch, fetched.Verdict)
			require.Equal(t, tc.wantDecoded, fetched.Ledger != nil)
		})
	}
}

// validLease is a lease that never expires.
type validLease struct{}

func (validLease) Valid(time.Time) bool { return true }
