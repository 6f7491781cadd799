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

// fullDisk refuses to make files durable while it is full.
type fullDisk struct{ full atomic.Bool }

func (f *fullDisk) Sync(file *os.File) error {
	if f.full.Load() {
		return eris.New("no space left on device")
	}
	return file.Sync()
}

// TestFullDisk guards against a control instance that ends because its disk is full for a time, against one that confirms what
// it could not store, and against one that loses what it had stored.
func TestFullDisk(t *testing.T) {
	h := &hall{drivers: map[registrar.MachineName]*Driver{}}
	disk, m := &fullDisk{}, &journalMachine{}
	d := &Driver{
		Name: "control-0", Folder: t.TempDir(), Machine: m, Sender: h, Forwarder: h, Recorder: recorder.Discard(), Syncer: disk,
		SnapshotEntries: 10, Members: map[registrar.MachineName]netip.AddrPort{"control-0": {}},
	}
	require.NoError(t, d.Open())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	propose := func(entry string, wait time.Duration) error {
		ctx, cancel := context.WithTimeout(ctx, wait)
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
		require.Never(t, func() bool { return len(done) > 0 }, 600*time.Millisecond, 50*time.Millisecond, "the instance has ended")
		disk.full.Store(false)
		require.NoError(t, propose("d", 5*time.Second))
	}
	cancel()
	require.NoError(t, <-done)
	again := &journalMachine{}
	d = &Driver{
		Name: "control-0", Folder: d.Folder, Machine: again, Sender: h, Forwarder: h, Recorder: recorder.Discard(),
		Members: map[registrar.MachineName]netip.AddrPort{"control-0": {}},
	}
	require.NoError(t, d.Open())
	ctx, cancel = context.WithCancel(context.Background())
	go func() { done <- d.Run(ctx) }()
	require.Eventually(t, func() bool { return again.all() == m.all() }, 5*time.Second, 10*time.Millisecond,
		"%q before the restart, %q after it", m.all(), again.all())
	cancel()
	require.NoError(t, <-done)
}
