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

func open(folder string, size int64) (*journaler.Journal, []string, error) {
	var got []string
	j := &journaler.Journal{Folder: folder, SegmentSize: size}
	err := j.Open(func(r journaler.Record) (journaler.Mark, error) {
		got = append(got, string(r.Body))
		return journaler.Mark(len(got)), nil
	})
	return j, got, err
}

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

func lastSegment(t require.TestingT, folder string) (string, []byte) {
	files, err := filepath.Glob(filepath.Join(folder, "journal-*"))
	require.NoError(t, err)
	slices.Sort(files)
	b, err := os.ReadFile(files[len(files)-1])
	require.NoError(t, err)
	return files[len(files)-1], b
}

// TestTornTail guards against a restart that refuses a write cut off by a crash, or loses a record before it.
func TestTornTail(t *testing.T) {
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

// TestCorruptMiddle guards against a start that silently drops durable records: any changed byte must be refused unless it
// is in the last frame, which cannot be told from a torn write.
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
			bad := slices.Clone(b)
			bad[i] ^= 0x41
			require.NoError(t, os.WriteFile(path, bad, 0o600))
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

// TestSaveLoad guards against a damaged snapshot that is taken for a good one.
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
	raw, err := os.ReadFile(path)
	require.NoError(t, err)
	raw[len(raw)-1]++
	require.NoError(t, os.WriteFile(path, raw, 0o600))
	_, _, err = journaler.Load(path)
	require.ErrorIs(t, err, journaler.ErrCorrupt)
}
