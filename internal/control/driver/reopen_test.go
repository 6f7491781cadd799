package driver

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"

	"github.com/peridotstage/peridotstage/internal/report/recorder"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

// fullDisk is a Syncer that fails while the disk is full.
type fullDisk struct{ full atomic.Bool }

func (f *fullDisk) Sync(file *os.File) error {
	if f.full.Load() {
		return eris.New("no space left on device")
	}
	return file.Sync()
}

// TestFullDisk guards against a control instance that exits when its disk is temporarily full, confirms an entry that it could
// not store, or loses entries that it had stored.
func TestFullDisk(t *testing.T) {
	network := &testNetwork{drivers: map[registrar.MachineName]*Driver{}}
	disk, m := &fullDisk{}, &recordingMachine{}
	d := &Driver{
		Name: "control-0", Folder: t.TempDir(), StateMachine: m, Sender: network, Forwarder: network, Recorder: recorder.Discard(),
		Syncer: disk, SnapshotEntries: 10, Members: map[registrar.MachineName]netip.AddrPort{"control-0": {}},
	}
	require.NoError(t, d.Open())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	propose := func(entry string, timeout time.Duration) error {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		_, err := d.Propose(ctx, []byte(entry))
		return err
	}
	for _, e := range []string{"a", "b", "c"} {
		require.NoError(t, propose(e, 5*time.Second))
	}
	for range 2 {
		disk.full.Store(true)
		require.Error(t, propose("lost", 600*time.Millisecond))
		require.Never(t, func() bool { return len(done) > 0 }, 600*time.Millisecond, 50*time.Millisecond, "the instance exited")
		disk.full.Store(false)
		require.NoError(t, propose("d", 5*time.Second))
	}
	cancel()
	require.NoError(t, <-done)
	restarted := &recordingMachine{}
	d = &Driver{
		Name: "control-0", Folder: d.Folder, StateMachine: restarted, Sender: network, Forwarder: network, Recorder: recorder.Discard(),
		Members: map[registrar.MachineName]netip.AddrPort{"control-0": {}},
	}
	require.NoError(t, d.Open())
	ctx, cancel = context.WithCancel(context.Background())
	go func() { done <- d.Run(ctx) }()
	require.Eventually(t, func() bool { return restarted.joined() == m.joined() }, 5*time.Second, 10*time.Millisecond,
		"%q before the restart, %q after it", m.joined(), restarted.joined())
	cancel()
	require.NoError(t, <-done)
}

// startOnDisk runs a member of an open group on a disk. Its journal begins a new segment, and it saves a snapshot, every few entries.
func (n *testNetwork) startOnDisk(t *testing.T, folder string, i, members int, disk *fullDisk) (*recordingMachine, func()) {
	seeds := map[registrar.MachineName]netip.AddrPort{}
	for k := range members {
		seeds[registrar.MachineName(fmt.Sprint("control-", k))] = netip.AddrPort{}
	}
	name := registrar.MachineName(fmt.Sprint("control-", i))
	m := &recordingMachine{}
	d := &Driver{
		Name: name, Folder: fmt.Sprint(folder, "/", name), StateMachine: m, Sender: n, Forwarder: n, Recorder: recorder.Discard(),
		Syncer: disk, SnapshotEntries: 10, Members: seeds, OpenMembership: true,
	}
	require.NoError(t, d.Open())
	d.store.(*store).journal.SegmentSize = 512
	return m, n.run(t, d)
}

// TestDisksFullInTurn guards against a group that refuses changes, or does not answer them, after its disks were full one after the
// other and never two at once: a member that does not take up its work again, or that has lost its vote, costs the majority when the
// next disk is full. Each member must also still hold what was confirmed.
func TestDisksFullInTurn(t *testing.T) {
	for _, members := range []int{3, 5, 6} {
		t.Run(fmt.Sprint(members, " members"), func(t *testing.T) {
			t.Parallel()
			network := &testNetwork{drivers: map[registrar.MachineName]*Driver{}}
			folder := t.TempDir()
			disks, machines, stops := make([]fullDisk, members), make([]*recordingMachine, members), make([]func(), members)
			for i := range members {
				machines[i], stops[i] = network.startOnDisk(t, folder, i, members, &disks[i])
			}
			var confirmed sync.Map
			awaitConfirmed := func(entry string) {
				require.Eventually(t, func() bool {
					network.propose(entry, 0, &confirmed)
					_, ok := confirmed.Load(entry)
					return ok
				}, 15*time.Second, 10*time.Millisecond, "%s was not confirmed", entry)
			}
			awaitConfirmed("founded")
			for round := range members + 1 {
				full := &disks[round%members]
				full.full.Store(true)
				for k, until := 0, time.Now().Add(2500*time.Millisecond); time.Now().Before(until); k++ {
					network.propose(fmt.Sprintf("full-%d-%d", round, k), (round+1)%members, &confirmed)
					time.Sleep(20 * time.Millisecond)
				}
				full.full.Store(false)
				time.Sleep(500 * time.Millisecond)
			}
			awaitConfirmed("last")
			require.Eventually(t, func() bool {
				voters := 0
				for _, s := range network.driver("control-0").Status() {
					if s.Voter {
						voters++
					}
				}
				return voters >= min(members, 5)
			}, 10*time.Second, 50*time.Millisecond, "a member has lost its vote")
			for i := range members {
				require.Eventually(t, func() bool { return strings.Contains(machines[i].joined(), "last") }, 10*time.Second, 20*time.Millisecond,
					"control-%d does not follow", i)
				held := map[string]bool{}
				for _, e := range strings.Fields(machines[i].joined()) {
					held[e] = true
				}
				confirmed.Range(func(k, _ any) bool {
					require.True(t, held[k.(string)], "control-%d has lost the confirmed entry %s", i, k)
					return true
				})
			}
			for _, stop := range stops {
				stop()
			}
		})
	}
}
