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

// crashStep is the step of TestStoreModel that simulates a crash while a received snapshot is installed.
const crashStep = 5

// storeModel is the state that a store is expected to load, and the newest term.
type storeModel struct {
	replicator.State
	lastTerm replicator.Term
}

func (m *storeModel) lastIndex() replicator.Index {
	return m.Snapshot.Index + replicator.Index(len(m.Entries))
}

// appendEntries replaces the entries from a random index on by entries of a new term, and returns the new ones.
func (m *storeModel) appendEntries(rt *rapid.T) []replicator.Entry {
	m.lastTerm++
	firstIndex := rapid.IntRange(int(m.Snapshot.Index)+1, int(m.lastIndex())+1).Draw(rt, "from")
	m.Entries = m.Entries[:firstIndex-1-int(m.Snapshot.Index)]
	var appended []replicator.Entry
	for i := range rapid.IntRange(1, 20).Draw(rt, "entries") {
		e := replicator.Entry{Position: replicator.Position{Index: replicator.Index(firstIndex + i), Term: m.lastTerm}}
		switch rapid.IntRange(0, 4).Draw(rt, "kind") {
		case 0:
		case 1:
			e.Members = replicator.Members{{ID: 7, Name: "control-0", Voter: true}}
		default:
			e.Command = make([]byte, rapid.IntRange(1, 300).Draw(rt, "size"))
		}
		appended = append(appended, e)
	}
	m.Entries = append(m.Entries, appended...)
	return appended
}

// TestStoreModel guards against a restart that loads a state other than the one written: entries that were replaced, entries of a
// log that a received snapshot replaced, or an older ballot.
func TestStoreModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		folder, err := os.MkdirTemp(t.TempDir(), "s")
		require.NoError(rt, err)
		s := &store{}
		s.journal.SegmentSize = 2000
		_, err = s.open(folder)
		require.NoError(rt, err)
		id, model := s.id, storeModel{}
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			step := rapid.IntRange(0, crashStep).Draw(rt, "step")
			switch step {
			case 0, 1, 2:
				e := replicator.Effects{Append: model.appendEntries(rt)}
				if rapid.IntRange(0, 4).Draw(rt, "vote") == 0 {
					model.Ballot = elector.Ballot{Term: model.lastTerm, VotedFor: 3}
					e.Ballot = &elector.Ballot{Term: model.lastTerm, VotedFor: 3}
				}
				require.NoError(rt, s.write(e))
			case 3:
				saveOwnSnapshot(rt, s, &model)
			case 4:
				installReceivedSnapshot(rt, s, &model, false)
			case crashStep:
				installReceivedSnapshot(rt, s, &model, true)
			}
			if step != crashStep && rapid.Bool().Draw(rt, "keep open") {
				continue
			}
			require.NoError(rt, s.close())
			s = &store{}
			s.journal.SegmentSize = 2000
			got, err := s.open(folder)
			require.NoError(rt, err)
			require.Equal(rt, id, s.id)
			require.Equal(rt, model.Ballot, got.Ballot)
			require.Equal(rt, model.Snapshot, got.Snapshot)
			got.Entries = slices.DeleteFunc(got.Entries, func(e replicator.Entry) bool { return e.Index <= model.Snapshot.Index })
			require.Equal(rt, len(model.Entries), len(got.Entries))
			for i, e := range model.Entries {
				require.Equal(rt, e, got.Entries[i])
			}
		}
		require.NoError(rt, s.close())
	})
}

// saveOwnSnapshot saves a snapshot that covers some of the entries, and releases all but the last 10 of those.
func saveOwnSnapshot(rt *rapid.T, s *store, model *storeModel) {
	if len(model.Entries) == 0 {
		return
	}
	covered := rapid.IntRange(1, len(model.Entries)).Draw(rt, "covered")
	model.Snapshot = replicator.Snapshot{
		Position: model.Entries[covered-1].Position, Members: replicator.Members{{ID: 5, Name: "a"}}, State: []byte("own"),
	}
	model.Entries = slices.Clone(model.Entries[covered:])
	require.NoError(rt, s.saveSnapshot(model.Snapshot))
	if keep := replicator.Index(10); model.Snapshot.Index > keep {
		require.NoError(rt, s.release(model.Snapshot.Index-keep))
	}
}

// installReceivedSnapshot replaces the log by a snapshot. With crash, the process stops before it has written the reset record.
func installReceivedSnapshot(rt *rapid.T, s *store, model *storeModel, crash bool) {
	model.lastTerm++
	index := replicator.Index(rapid.IntRange(int(model.Snapshot.Index)+1, int(model.lastIndex())+30).Draw(rt, "index"))
	model.Snapshot = replicator.Snapshot{
		Position: replicator.Position{Index: index, Term: model.lastTerm}, Members: replicator.Members{{ID: 6, Name: "b"}},
		State: []byte("received"),
	}
	model.Entries = nil
	if crash {
		require.NoError(rt, s.saveSnapshot(model.Snapshot))
		return
	}
	snapshot := model.Snapshot
	require.NoError(rt, s.write(replicator.Effects{Install: &snapshot}))
}

// TestIncompleteFolder guards against a member that keeps its identity after a part of its data folder was lost.
func TestIncompleteFolder(t *testing.T) {
	folder := t.TempDir()
	s := &store{}
	_, err := s.open(folder)
	require.NoError(t, err)
	b := elector.Ballot{Term: 4}
	require.NoError(t, s.write(replicator.Effects{Ballot: &b}))
	require.NoError(t, s.close())
	for _, part := range []string{identityFile, journalFolder} {
		incomplete := t.TempDir()
		require.NoError(t, os.CopyFS(incomplete, os.DirFS(folder)))
		require.NoError(t, os.RemoveAll(filepath.Join(incomplete, part)))
		_, err = (&store{}).open(incomplete)
		require.ErrorIs(t, err, ErrIncompleteFolder, part)
	}
	path := filepath.Join(folder, identityFile)
	require.NoError(t, os.WriteFile(path, []byte("damaged"), 0o600))
	_, err = (&store{}).open(folder)
	require.ErrorIs(t, err, journaler.ErrCorrupt)
}
