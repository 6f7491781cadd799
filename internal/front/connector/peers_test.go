package connector_test

import (
	"context"
	"net"
	"net/netip"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/peridotstage/peridotstage/internal/control/elector"
	"github.com/peridotstage/peridotstage/internal/control/replicator"
	"github.com/peridotstage/peridotstage/internal/front/connector"
	"github.com/peridotstage/peridotstage/internal/report/recorder"
	"github.com/peridotstage/peridotstage/internal/secret/issuer"
	"github.com/peridotstage/peridotstage/internal/secret/loader"
	"github.com/peridotstage/peridotstage/internal/setting/parser"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// issueMaterial issues key files for a machine on the loopback address and loads them.
func issueMaterial(t *testing.T, s *issuer.Issuer, name string) *loader.Material {
	require.NoError(t, s.Issue(time.Now(), loader.HolderMachine, name, []netip.Addr{netip.MustParseAddr("127.0.0.1")}, nil))
	file := func(base string) string { return filepath.Join(s.Folder, base) }
	m, err := loader.Load(parser.Keys{
		Authority: file(issuer.AuthorityFile), Certificate: file(name + ".pem"), PrivateKey: file(name + ".key"),
	})
	require.NoError(t, err)
	return m
}

// listen opens a TCP listener on a free port.
func listen(t *testing.T) (net.Listener, netip.AddrPort) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return ln, ln.Addr().(*net.TCPAddr).AddrPort()
}

// inbox is a ConsensusHandler that admits control-0 and records when its messages arrive.
type inbox struct {
	mu         sync.Mutex
	receivedAt []time.Time
	lastTerm   replicator.Term
}

func (*inbox) Admits(name registrar.MachineName) bool { return name == "control-0" }

func (b *inbox) Deliver(messages []replicator.Message) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, m := range messages {
		b.receivedAt, b.lastTerm = append(b.receivedAt, time.Now()), m.Term
	}
}

func (*inbox) ProposeHere(context.Context, replicator.Proposed) ([]byte, error) {
	return nil, replicator.ErrMembership
}

func (b *inbox) newestTerm() replicator.Term {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lastTerm
}

// runUntilCleanup runs f until the test ends.
func runUntilCleanup(t *testing.T, f func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
	})
}

// TestSilentPeer guards against a peer that accepts connections but never answers and thereby delays messages to other peers by
// more than the election timeout. The test also guards against a proposal from a machine that is not a control instance.
func TestSilentPeer(t *testing.T) {
	s := &issuer.Issuer{Folder: t.TempDir(), ExpireAt: time.Now().Add(time.Hour)}
	require.NoError(t, s.Init(time.Now()))
	sender, receiver, entry := issueMaterial(t, s, "control-0"), issueMaterial(t, s, "control-1"), issueMaterial(t, s, "entry-0")
	silent, silentAddress := listen(t)
	defer silent.Close()
	closed, address := listen(t)
	require.NoError(t, closed.Close())
	box := &inbox{}
	runUntilCleanup(t, (&connector.Server{Address: address, TLS: receiver.Server, Consensus: box}).Run)
	peers := &connector.Peers{TLS: sender.Client, Recorder: recorder.Discard()}
	runUntilCleanup(t, peers.Run)
	const count = 60
	send := func(term replicator.Term) {
		m := replicator.Message{Term: term, Body: replicator.Join{}}
		peers.Send([]replicator.Send{
			{Name: "silent", Address: silentAddress, Message: m}, {Name: "control-1", Address: address, Message: m},
		})
	}
	require.Eventually(t, func() bool { send(0); return len(arrivals(box)) > 0 }, 10*time.Second, 50*time.Millisecond)
	for n := range replicator.Term(count) {
		send(n + 1)
		time.Sleep(50 * time.Millisecond)
	}
	require.Eventually(t, func() bool { return box.newestTerm() == count }, 10*time.Second, 10*time.Millisecond)
	receivedAt := arrivals(box)
	for i := 1; i < len(receivedAt); i++ {
		require.Less(t, receivedAt[i].Sub(receivedAt[i-1]), elector.MinElection)
	}
	_, err := peers.Forward(t.Context(), replicator.Member{Address: address}, replicator.Proposed{})
	require.ErrorIs(t, err, replicator.ErrMembership)
	entryPeers := &connector.Peers{TLS: entry.Client, Recorder: recorder.Discard()}
	runUntilCleanup(t, entryPeers.Run)
	_, err = entryPeers.Forward(t.Context(), replicator.Member{Address: address}, replicator.Proposed{})
	require.ErrorContains(t, err, "not a machine of the system")
}

// arrivals returns the times at which messages arrived.
func arrivals(b *inbox) []time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]time.Time(nil), b.receivedAt...)
}
