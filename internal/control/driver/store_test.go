package driver

import (
	"os"
	"path/filepath"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/peridotstage/peridotstage/internal/control/elector"
	"github.com/peridotstage/peridotstage/internal/control/replicator"
	"github.com/peridotstage/peridotstage/internal/store/journaler"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// crashStep is the step of TestStoreModel that ends in a crash.
const crashStep = 5

// want is the state that a store must load.
type want struct {
	replicator.State
	term replicator.Term
}

func (w *want) last() replicator.Index {
	return w.Snapshot.Index + replicator.Index(len(w.Entries))
}

// extend returns entries of a new term from an index on.
func (w *want) extend(rt *rapid.T) []replicator.Entry {
	w.term++
	from := rapid.IntRange(int(w.Snapshot.Index)+1, int(w.last())+1).Draw(rt, "from")
	w.Entries = w.Entries[:from-1-int(w.Snapshot.Index)]
	var out []replicator.Entry
	for i := range rapid.IntRange(1, 20).Draw(rt, "entries") {
		e := replicator.Entry{Position: replicator.Position{Index: replicator.Index(from + i), Term: w.term}}
		switch rapid.IntRange(0, 4).Draw(rt, "kind") {
		case 0:
		case 1:
			e.Members = replicator.Members{{ID: 7, Name: "control-0", Voter: true}}
		default:
			e.Command = make([]byte, rapid.IntRange(1, 300).Draw(rt, "size"))
		}
		out = append(out, e)
	}
	w.Entries = append(w.Entries, out...)
	return out
}

// TestStoreModel guards against a restart that loads anything but what was written: entries that were replaced, entries of
// a log that a received snapshot has replaced, or an older ballot.
func TestStoreModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		folder, err := os.MkdirTemp(t.TempDir(), "s")
		require.NoError(rt, err)
		s := &store{}
		s.journal.SegmentSize = 2000
		_, err = s.open(folder)
		require.NoError(rt, err)
		id, w := s.id, want{}
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			step := rapid.IntRange(0, crashStep).Draw(rt, "step")
			switch step {
			case 0, 1, 2:
				e := replicator.Effects{Append: w.extend(rt)}
				if rapid.IntRange(0, 4).Draw(rt, "vote") == 0 {
					w.Ballot = elector.Ballot{Term: w.term, For: 3}
					e.Ballot = &elector.Ballot{Term: w.term, For: 3}
				}
				require.NoError(rt, s.write(e))
			case 3:
				ownSnapshot(rt, s, &w)
			case 4:
				receivedSnapshot(rt, s, &w, false)
			case crashStep:
				receivedSnapshot(rt, s, &w, true)
			}
			if step != crashStep && rapid.Bool().Draw(rt, "goes on") {
				continue
			}
			require.NoError(rt, s.close())
			s = &store{}
			s.journal.SegmentSize = 2000
			got, err := s.open(folder)
			require.NoError(rt, err)
			require.Equal(rt, id, s.id)
			require.Equal(rt, w.Ballot, got.Ballot)
			require.Equal(rt, w.Snapshot, got.Snapshot)
			got.Entries = slices.DeleteFunc(got.Entries, func(e replicator.Entry) bool { return e.Index <= w.Snapshot.Index })
			require.Equal(rt, len(w.Entries), len(got.Entries))
			for i, e := range w.Entries {
				require.Equal(rt, e, got.Entries[i])
			}
		}
		require.NoError(rt, s.close())
	})
}

// ownSnapshot covers a part of the entries by a snapshot.
func ownSnapshot(rt *rapid.T, s *store, w *want) {
	if len(w.Entries) == 0 {
		return
	}
	n := rapid.IntRange(1, len(w.Entries)).Draw(rt, "covered")
	w.Snapshot = replicator.Snapshot{
		Position: w.Entries[n-1].Position, Members: replicator.Members{{ID: 5, Name: "a"}}, State: []byte("own"),
	}
	w.Entries = slices.Clone(w.Entries[n:])
	require.NoError(rt, s.saveSnapshot(w.Snapshot))
	if keep := replicator.Index(10); w.Snapshot.Index > keep {
		require.NoError(rt, s.release(w.Snapshot.Index-keep))
	}
}

// receivedSnapshot replaces the log. The process may stop before it has noted that in the journal.
func receivedSnapshot(rt *rapid.T, s *store, w *want, crash bool) {
	w.term++
	at := replicator.Index(rapid.IntRange(int(w.Snapshot.Index)+1, int(w.last())+30).Draw(rt, "at"))
	w.Snapshot = replicator.Snapshot{
		Position: replicator.Position{Index: at, Term: w.term}, Members: replicator.Members{{ID: 6, Name: "b"}},
		State: []byte("received"),
	}
	w.Entries = nil
	if crash {
		require.NoError(rt, s.saveSnapshot(w.Snapshot))
		return
	}
	n := w.Snapshot
	require.NoError(rt, s.write(replicator.Effects{Install: &n}))
}

// TestIncompleteFolder guards against a member that goes on under its identity after a part of its disk was lost.
func TestIncompleteFolder(t *testing.T) {
	folder := t.TempDir()
	s := &store{}
	_, err := s.open(folder)
	require.NoError(t, err)
	b := elector.Ballot{Term: 4}
	require.NoError(t, s.write(replicator.Effects{Ballot: &b}))
	require.NoError(t, s.close())
	for _, part := range []string{identityFile, journalFolder} {
		other := t.TempDir()
		require.NoError(t, os.CopyFS(other, os.DirFS(folder)))
		require.NoError(t, os.RemoveAll(filepath.Join(other, part)))
		_, err = (&store{}).open(other)
		require.ErrorIs(t, err, ErrFolder, part)
	}
	path := filepath.Join(folder, identityFile)
	require.NoError(t, os.WriteFile(path, []byte("damaged"), 0o600))
	_, err = (&store{}).open(folder)
	require.ErrorIs(t, err, journaler.ErrCorrupt)
}
