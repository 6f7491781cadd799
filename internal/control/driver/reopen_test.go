package driver

import (
	"context"
	"net/netip"
	"os"
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
