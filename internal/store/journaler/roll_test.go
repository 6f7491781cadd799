package journaler_test

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"

	"github.com/peridotstage/peridotstage/internal/store/journaler"
)

// The kinds of record in the tests of a change of segments: the ballot is written again in each new segment, entries are not.
const (
	kindBallot journaler.Kind = 1
	kindEntry  journaler.Kind = 2
)

// contents are the newest ballot and the entries of a journal.
type contents struct {
	ballot  string
	entries []string
}

func (c *contents) add(r journaler.Record) (journaler.Mark, error) {
	if r.Kind == kindBallot {
		c.ballot = string(r.Body)
		return 0, nil
	}
	c.entries = append(c.entries, string(r.Body))
	return journaler.Mark(len(c.entries)), nil
}

// crashes is a Syncer that copies the folder of the journal at each call, before and after the call, as a crash of the machine may
// leave it: of a segment that is being created, any part may be missing at the end. From call failAt on, 0 for never, it fails.
type crashes struct {
	t         *testing.T
	folder    string
	images    []string
	calls     int
	failAt    int
	recording bool
}

var errSync = eris.New("no space left on device")

func (c *crashes) Sync(f *os.File) error {
	c.calls++
	if c.recording {
		c.copyFolder()
		for size := range c.unsyncedSize() {
			require.NoError(c.t, os.Truncate(filepath.Join(c.copyFolder(), nextSegment), size))
		}
	}
	if c.failAt > 0 && c.calls >= c.failAt {
		return errSync
	}
	err := f.Sync()
	if c.recording {
		c.copyFolder()
	}
	return err
}

// nextSegment is the name of a segment that is being created.
const nextSegment = "next-segment.tmp"

// unsyncedSize returns the size of the segment that is being created, or 0 if there is none.
func (c *crashes) unsyncedSize() int64 {
	info, err := os.Stat(filepath.Join(c.folder, nextSegment))
	if err != nil {
		return 0
	}
	return info.Size()
}

// copyFolder copies the folder and returns the path of the copy.
func (c *crashes) copyFolder() string {
	image := filepath.Join(c.t.TempDir(), fmt.Sprint("image-", len(c.images)))
	require.NoError(c.t, os.CopyFS(image, os.DirFS(c.folder)))
	c.images = append(c.images, image)
	return image
}

// requireIntact requires that a journal holds what was acknowledged, also after its older segments are released and it is opened again.
func requireIntact(t *testing.T, folder string) {
	want := contents{"voted for 7 in term 5", []string{"a", "b"}}
	var got contents
	j := &journaler.Journal{Folder: folder}
	require.NoError(t, j.Open(got.add))
	require.Equal(t, want, got)
	require.NoError(t, j.Append(3, journaler.Record{Kind: kindEntry, Body: []byte("c")}))
	require.NoError(t, j.Release(2))
	require.NoError(t, j.Close())
	got = contents{}
	require.NoError(t, j.Close())
	j = &journaler.Journal{Folder: folder}
	require.NoError(t, j.Open(got.add))
	require.Equal(t, want.ballot, got.ballot, "the ballot is lost after the release of older segments")
	require.Equal(t, "c", got.entries[len(got.entries)-1])
	require.NoError(t, j.Close())
}

// newRolling returns a journal with two entries and a ballot, which is about to start a new segment.
func newRolling(t *testing.T) (*journaler.Journal, *crashes) {
	c := &crashes{t: t, folder: t.TempDir()}
	j := &journaler.Journal{Folder: c.folder, Syncer: c}
	require.NoError(t, j.Open((&contents{}).add))
	require.NoError(t, j.Append(0, journaler.Record{Kind: kindBallot, Body: []byte("voted for 7 in term 5")}))
	for i, body := range []string{"a", "b"} {
		require.NoError(t, j.Append(journaler.Mark(i+1), journaler.Record{Kind: kindEntry, Body: []byte(body)}))
	}
	c.calls = 0
	return j, c
}

var ballot = journaler.Record{Kind: kindBallot, Body: []byte("voted for 7 in term 5")}

// TestCrashInRoll guards against a member that votes twice in a term: a crash at any point of a change of segments must not leave a
// segment without the ballot, which is lost when the older segments are released.
func TestCrashInRoll(t *testing.T) {
	j, c := newRolling(t)
	c.recording = true
	require.NoError(t, j.Roll(ballot))
	c.recording = false
	require.NoError(t, j.Close())
	require.Greater(t, len(c.images), 4)
	for _, image := range c.images {
		requireIntact(t, image)
	}
}

// TestFullDiskInRoll guards against the same loss when the disk takes no writes at some point of the change, and has room again when
// the journal is opened.
func TestFullDiskInRoll(t *testing.T) {
	for failAt := 1; ; failAt++ {
		j, c := newRolling(t)
		c.failAt = failAt
		err := j.Roll(ballot)
		_ = j.Close()
		requireIntact(t, c.folder)
		if err == nil {
			require.Greater(t, failAt, 2)
			return
		}
		require.ErrorIs(t, err, errSync)
	}
}

// TestSegmentOfEarlierVersion guards against losing the ballot of a journal that a version before this one has left in the middle of a
// change of segments: with a new segment that has no record, or not even its whole header.
func TestSegmentOfEarlierVersion(t *testing.T) {
	for _, size := range []int64{0, 7, 16} {
		j, c := newRolling(t)
		require.NoError(t, j.Roll(ballot))
		require.NoError(t, j.Close())
		path, _ := lastSegment(t, c.folder)
		require.NoError(t, os.Truncate(path, size))
		requireIntact(t, c.folder)
	}
}
