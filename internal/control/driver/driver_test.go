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

// journalMachine remembers all entries.
type journalMachine struct {
	mu      sync.Mutex
	entries []string
}

func (m *journalMachine) Apply(_ uint64, entry []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.entries = append(m.entries, string(entry))
	return entry
}

func (m *journalMachine) Snapshot() ([]byte, error) { return []byte(m.all()), nil }

func (m *journalMachine) Restore(b []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.entries = strings.Split(string(b), " ")
	return nil
}

func (m *journalMachine) all() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return strings.Join(m.entries, " ")
}

// hall connects drivers in one process.
type hall struct {
	mu      sync.Mutex
	drivers map[registrar.MachineName]*Driver
}

func (h *hall) find(name registrar.MachineName) *Driver {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.drivers[name]
}

func (h *hall) Send(messages []replicator.Send) {
	for _, s := range messages {
		if d := h.find(s.Name); d != nil {
			d.Deliver([]replicator.Message{s.Message})
		}
	}
}

func (h *hall) Forward(ctx context.Context, m replicator.Member, p replicator.Proposed) ([]byte, error) {
	if d := h.find(m.Name); d != nil {
		return d.ProposeHere(ctx, p)
	}
	return nil, replicator.ErrNotLeader
}

// start runs a member and returns a function that stops it.
func (h *hall) start(t *testing.T, folder string, i int) (*journalMachine, func()) {
	name := registrar.MachineName(fmt.Sprint("control-", i))
	m := &journalMachine{}
	d := &Driver{
		Name: name, Folder: filepath.Join(folder, string(name)), Machine: m, Sender: h, Forwarder: h,
		Recorder: recorder.Discard(), SnapshotEntries: 40,
		Members: map[registrar.MachineName]netip.AddrPort{"control-0": {}, "control-1": {}, "control-2": {}},
	}
	require.NoError(t, d.Open())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	h.mu.Lock()
	h.drivers[name] = d
	h.mu.Unlock()
	return m, func() {
		h.mu.Lock()
		h.drivers[name] = nil
		h.mu.Unlock()
		cancel()
		require.NoError(t, <-done)
	}
}

// TestDriverRestarts guards against proposals that are lost, applied twice or applied in different orders while members are
// stopped and started again during concurrent proposals.
func TestDriverRestarts(t *testing.T) {
	h := &hall{drivers: map[registrar.MachineName]*Driver{}}
	folder := t.TempDir()
	machines, stops := make([]*journalMachine, 3), make([]func(), 3)
	for i := range 3 {
		machines[i], stops[i] = h.start(t, folder, i)
	}
	var confirmed sync.Map
	var wg sync.WaitGroup
	ctx, cancel := context.WithCancel(context.Background())
	for w := range 4 {
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				h.propose(fmt.Sprintf("w%d-%d", w, n), w%3, &confirmed)
			}
		})
	}
	for round := range 4 {
		time.Sleep(500 * time.Millisecond)
		stops[round%3]()
		machines[round%3], stops[round%3] = h.start(t, folder, round%3)
	}
	cancel()
	wg.Wait()
	for i := range 3 {
		stops[i]()
	}
	for i := range 3 {
		machines[i], stops[i] = h.start(t, folder, i)
	}
	h.propose("last", 0, &confirmed)
	require.Eventually(t, func() bool {
		return machines[0].all() == machines[1].all() && machines[1].all() == machines[2].all() &&
			strings.Contains(machines[0].all(), "last")
	}, 20*time.Second, 20*time.Millisecond, "members differ")
	seen := map[string]int{}
	for _, e := range strings.Fields(machines[0].all()) {
		seen[e]++
		require.Equal(t, 1, seen[e], "%s is applied twice", e)
	}
	n := 0
	confirmed.Range(func(k, _ any) bool {
		n++
		require.Equal(t, 1, seen[k.(string)], "%s is lost", k)
		return true
	})
	require.NotZero(t, n)
	for _, stop := range stops {
		stop()
	}
}

func (h *hall) propose(entry string, i int, confirmed *sync.Map) {
	d := h.find(registrar.MachineName(fmt.Sprint("control-", i)))
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
