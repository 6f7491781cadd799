package driver

import (
	"context"
	"fmt"
	"net/netip"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/peridotstage/peridotstage/internal/control/replicator"
	"github.com/peridotstage/peridotstage/internal/report/recorder"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// recordingMachine is a state machine that records all entries.
type recordingMachine struct {
	mu      sync.Mutex
	entries []string
}

func (m *recordingMachine) Apply(_ uint64, entry []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.entries = append(m.entries, string(entry))
	return entry
}

func (m *recordingMachine) Snapshot() ([]byte, error) { return []byte(m.joined()), nil }

func (m *recordingMachine) Restore(b []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.entries = strings.Split(string(b), " ")
	return nil
}

func (m *recordingMachine) joined() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return strings.Join(m.entries, " ")
}

// testNetwork delivers messages and proposals between drivers of one process.
type testNetwork struct {
	mu      sync.Mutex
	drivers map[registrar.MachineName]*Driver
}

func (n *testNetwork) driver(name registrar.MachineName) *Driver {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.drivers[name]
}

func (n *testNetwork) Send(messages []replicator.Send) {
	for _, s := range messages {
		if d := n.driver(s.Name); d != nil {
			d.Deliver([]replicator.Message{s.Message})
		}
	}
}

func (n *testNetwork) Forward(ctx context.Context, m replicator.Member, p replicator.Proposed) ([]byte, error) {
	if d := n.driver(m.Name); d != nil {
		return d.ProposeHere(ctx, p)
	}
	return nil, replicator.ErrNotLeader
}

// startDriver runs a member. It returns the state machine and a function that stops the member.
func (n *testNetwork) startDriver(t *testing.T, folder string, i int) (*recordingMachine, func()) {
	name := registrar.MachineName(fmt.Sprint("control-", i))
	m := &recordingMachine{}
	d := &Driver{
		Name: name, Folder: filepath.Join(folder, string(name)), StateMachine: m, Sender: n, Forwarder: n,
		Recorder: recorder.Discard(), SnapshotEntries: 40,
		Members: map[registrar.MachineName]netip.AddrPort{"control-0": {}, "control-1": {}, "control-2": {}},
	}
	require.NoError(t, d.Open())
	return m, n.run(t, d)
}

// run runs an open member and returns a function that stops it.
func (n *testNetwork) run(t *testing.T, d *Driver) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	n.mu.Lock()
	n.drivers[d.Name] = d
	n.mu.Unlock()
	return func() {
		n.mu.Lock()
		n.drivers[d.Name] = nil
		n.mu.Unlock()
		cancel()
		require.NoError(t, <-done)
	}
}

// TestDriverRestarts guards against proposals that are lost, applied twice or applied in different orders when members restart
// during concurrent proposals.
func TestDriverRestarts(t *testing.T) {
	network := &testNetwork{drivers: map[registrar.MachineName]*Driver{}}
	folder := t.TempDir()
	machines, stops := make([]*recordingMachine, 3), make([]func(), 3)
	for i := range 3 {
		machines[i], stops[i] = network.startDriver(t, folder, i)
	}
	var confirmed sync.Map
	var wg sync.WaitGroup
	ctx, cancel := context.WithCancel(context.Background())
	for worker := range 4 {
		wg.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				network.propose(fmt.Sprintf("w%d-%d", worker, i), worker%3, &confirmed)
			}
		})
	}
	for round := range 4 {
		time.Sleep(500 * time.Millisecond)
		stops[round%3]()
		machines[round%3], stops[round%3] = network.startDriver(t, folder, round%3)
	}
	cancel()
	wg.Wait()
	for i := range 3 {
		stops[i]()
	}
	for i := range 3 {
		machines[i], stops[i] = network.startDriver(t, folder, i)
	}
	network.propose("last", 0, &confirmed)
	require.Eventually(t, func() bool {
		return machines[0].joined() == machines[1].joined() && machines[1].joined() == machines[2].joined() &&
			strings.Contains(machines[0].joined(), "last")
	}, 20*time.Second, 20*time.Millisecond, "state machines differ between members")
	timesApplied := map[string]int{}
	for _, e := range strings.Fields(machines[0].joined()) {
		timesApplied[e]++
		require.Equal(t, 1, timesApplied[e], "entry %s was applied twice", e)
	}
	confirmedCount := 0
	confirmed.Range(func(k, _ any) bool {
		confirmedCount++
		require.Equal(t, 1, timesApplied[k.(string)], "confirmed entry %s was lost", k)
		return true
	})
	require.NotZero(t, confirmedCount)
	for _, stop := range stops {
		stop()
	}
}

func (n *testNetwork) propose(entry string, i int, confirmed *sync.Map) {
	d := n.driver(registrar.MachineName(fmt.Sprint("control-", i)))
	if d == nil {
		time.Sleep(time.Millisecond)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	if _, err := d.Propose(ctx, []byte(entry)); err == nil {
		confirmed.Store(entry, true)
	}
}
