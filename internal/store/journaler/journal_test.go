package journaler_test

import (
	"os"
	"path/filepath"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/peridotstage/peridotstage/internal/store/journaler"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// open opens a journal and returns its records. The mark of a record is its number, counted from 1.
func open(folder string, segmentSize int64) (*journaler.Journal, []string, error) {
	var got []string
	j := &journaler.Journal{Folder: folder, SegmentSize: segmentSize}
	err := j.Open(func(r journaler.Record) (journaler.Mark, error) {
		got = append(got, string(r.Body))
		return journaler.Mark(len(got)), nil
	})
	return j, got, err
}

// write appends n records to a journal with segments of 128 bytes and returns their bodies.
func write(t require.TestingT, folder string, n int) (want []string) {
	j, _, err := open(folder, 128)
	require.NoError(t, err)
	for i := range n {
		body := string(slices.Repeat([]byte{byte('a' + i%26)}, 5+i))
		require.NoError(t, j.Append(journaler.Mark(i+1), journaler.Record{Body: []byte(body)}))
		want = append(want, body)
		if j.Full() {
			require.NoError(t, j.Roll())
		}
	}
	require.NoError(t, j.Close())
	return want
}

// lastSegment returns the path and the content of the last segment.
func lastSegment(t require.TestingT, folder string) (string, []byte) {
	files, err := filepath.Glob(filepath.Join(folder, "journal-*"))
	require.NoError(t, err)
	slices.Sort(files)
	b, err := os.ReadFile(files[len(files)-1])
	require.NoError(t, err)
	return files[len(files)-1], b
}

// TestTornWrite guards against a journal that cannot be opened after a crash in the middle of a write, or that loses records
// written before that write.
func TestTornWrite(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		folder, err := os.MkdirTemp(t.TempDir(), "j")
		require.NoError(rt, err)
		want := write(rt, folder, rapid.IntRange(1, 30).Draw(rt, "records"))
		path, b := lastSegment(rt, folder)
		tail := rapid.SliceOfN(rapid.Byte(), 0, 40).Draw(rt, "tail")
		require.NoError(rt, os.WriteFile(path, append(b, tail...), 0o600))
		j, got, err := open(folder, 128)
		require.NoError(rt, err)
		require.Equal(rt, want, got)
		require.NoError(rt, j.Append(99, journaler.Record{Body: []byte("after")}))
		require.NoError(rt, j.Close())
		j, got, err = open(folder, 128)
		require.NoError(rt, err)
		require.Equal(rt, append(want, "after"), got)
		require.NoError(rt, j.Close())
	})
}

// TestCorruptMiddle guards against opening a journal without some of its durable records. Open reports every changed byte as
// corruption, except in the last frame, where damage cannot be distinguished from a torn write.
func TestCorruptMiddle(t *testing.T) {
	folder := t.TempDir()
	want := write(t, folder, 12)
	files, err := filepath.Glob(filepath.Join(folder, "journal-*"))
	require.NoError(t, err)
	require.Greater(t, len(files), 2)
	for _, path := range files {
		b, err := os.ReadFile(path)
		require.NoError(t, err)
		for i := range b {
			damaged := slices.Clone(b)
			damaged[i] ^= 0x41
			require.NoError(t, os.WriteFile(path, damaged, 0o600))
			j, got, err := open(folder, 128)
			if err == nil {
				require.Equal(t, files[len(files)-1], path, "byte %d", i)
				require.Equal(t, want[:len(got)], got)
				require.GreaterOrEqual(t, len(got), len(want)-1)
				_ = j.Close()
			} else {
				require.ErrorIs(t, err, journaler.ErrCorrupt)
			}
			require.NoError(t, os.WriteFile(path, b, 0o600))
		}
	}
}

// TestRelease guards against a journal that grows without bound or drops a segment that is still needed.
func TestRelease(t *testing.T) {
	folder := t.TempDir()
	want := write(t, folder, 12)
	j, _, err := open(folder, 128)
	require.NoError(t, err)
	require.NoError(t, j.Release(8))
	require.NoError(t, j.Close())
	_, got, err := open(folder, 128)
	require.NoError(t, err)
	require.Less(t, len(got), len(want))
	require.Equal(t, want[len(want)-len(got):], got)
	require.GreaterOrEqual(t, len(got), 4)
}

// TestSaveLoad guards against a damaged snapshot that is loaded as valid.
func TestSaveLoad(t *testing.T) {
	path := filepath.Join(t.TempDir(), "snapshot")
	_, ok, err := journaler.Load(path)
	require.NoError(t, err)
	require.False(t, ok)
	require.NoError(t, journaler.Save(path, []byte("first")))
	require.NoError(t, journaler.Save(path, []byte("second")))
	b, ok, err := journaler.Load(path)
	require.NoError(t, err)
	require.True(t, ok)
	require.Equal(t, "second", string(b))
	file, err := os.ReadFile(path)
	require.NoError(t, err)
	file[len(file)-1]++
	require.NoError(t, os.WriteFile(path, file, 0o600))
	_, _, err = journaler.Load(path)
	require.ErrorIs(t, err, journaler.ErrCorrupt)
}
