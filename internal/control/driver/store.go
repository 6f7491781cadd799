package driver

import (
	"crypto/rand"
	"encoding/binary"
	"path/filepath"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/peridotstage/peridotstage/internal/control/elector"
	"github.com/peridotstage/peridotstage/internal/control/replicator"
	"github.com/peridotstage/peridotstage/internal/store/journaler"
)

const (
	identityFile  = "identity"
	snapshotFile  = "snapshot"
	journalFolder = "journal"
)

// ErrIncompleteFolder means that a part of the data folder is missing. The member may have granted votes or acknowledged entries
// that are now lost, and could contradict them under the same identity.
var ErrIncompleteFolder = eris.New("data folder is incomplete; empty it to join again under a new identity")

// store persists the state of a member in its data folder.
type store struct {
	folder  string
	id      replicator.MemberID
	journal journaler.Journal
	ballot  elector.Ballot
	// mu serializes saving the applier's own snapshots with saving those received from the leader, and guards snapshotIndex.
	mu            sync.Mutex
	snapshotIndex replicator.Index
}

// open loads the state, and creates an identity if the folder is empty.
func (s *store) open(folder string) (replicator.State, error) {
	s.folder = folder
	s.journal.Folder = filepath.Join(folder, journalFolder)
	identity, hasIdentity, err := journaler.Load(filepath.Join(folder, identityFile))
	if err != nil {
		return replicator.State{}, err
	}
	hasJournal, err := s.journal.Exists()
	if err != nil {
		return replicator.State{}, err
	}
	if hasIdentity && (!hasJournal || len(identity) != 8) {
		return replicator.State{}, eris.Wrapf(ErrIncompleteFolder, "%s has an identity but no journal", folder)
	}
	state, err := s.load()
	if err != nil {
		return replicator.State{}, err
	}
	if hasIdentity {
		s.id = replicator.MemberID(binary.BigEndian.Uint64(identity))
		return state, nil
	}
	if state.Snapshot.Index > 0 || len(state.Entries) > 0 || state.Ballot != (elector.Ballot{}) {
		return replicator.State{}, eris.Wrapf(ErrIncompleteFolder, "%s has a journal but no identity", folder)
	}
	return state, s.createIdentity()
}

// reload loads the state again after a failed write.
func (s *store) reload() (replicator.State, error) {
	s.journal = journaler.Journal{Folder: s.journal.Folder, SegmentSize: s.journal.SegmentSize, Syncer: s.journal.Syncer}
	return s.load()
}

func (s *store) createIdentity() error {
	id, err := newIdentity()
	if err != nil {
		return err
	}
	s.id = id
	return journaler.Save(filepath.Join(s.folder, identityFile), binary.BigEndian.AppendUint64(nil, uint64(id)))
}

func newIdentity() (replicator.MemberID, error) {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return 0, eris.Wrap(err, "generate identity")
	}
	// 0 means no member, so an identity is never 0.
	b[7] |= 1
	return replicator.MemberID(binary.BigEndian.Uint64(b[:])), nil
}

func (s *store) identity() replicator.MemberID { return s.id }

func (s *store) load() (state replicator.State, err error) {
	b, ok, err := journaler.Load(filepath.Join(s.folder, snapshotFile))
	if err != nil {
		return state, err
	}
	if ok {
		if state.Snapshot, err = decodeSnapshot(b); err != nil {
			return state, err
		}
	}
	var r journalReplay
	if err := s.journal.Open(r.add); err != nil {
		return state, err
	}
	s.ballot, state.Ballot = r.ballot, r.ballot
	s.mu.Lock()
	s.snapshotIndex = state.Snapshot.Index
	s.mu.Unlock()
	continues, err := r.continues(state.Snapshot.Position)
	if err != nil {
		return state, err
	}
	if continues {
		state.Entries = r.entries
		return state, nil
	}
	// The process stopped after it had saved a received snapshot and before it had written the reset record. The entries belong to
	// the log that the snapshot replaced.
	return state, s.journal.Append(0, encodeReset(state.Snapshot.Position))
}

// journalReplay rebuilds the ballot and the log entries from the records of the journal.
type journalReplay struct {
	ballot elector.Ballot
	// basePosition is the position before the first entry.
	basePosition replicator.Position
	entries      []replicator.Entry
	// baseKnown is true once basePosition is known. baseFromReset is true if it comes from a reset record.
	baseKnown, baseFromReset bool
}

func (r *journalReplay) add(rec journaler.Record) (journaler.Mark, error) {
	switch rec.Kind {
	case kindBallot:
		b, err := decodeBallot(rec.Body)
		r.ballot = b
		return 0, err
	case kindReset:
		p, err := decodePosition(rec.Body)
		r.basePosition, r.baseKnown, r.baseFromReset, r.entries = p, true, true, nil
		return journaler.Mark(p.Index), err
	case kindEntry:
		e, err := decodeEntry(rec.Body)
		if err != nil {
			return 0, err
		}
		return journaler.Mark(e.Index), r.addEntry(e)
	}
	return 0, eris.Wrapf(journaler.ErrCorrupt, "unknown record kind %d", rec.Kind)
}

func (r *journalReplay) addEntry(e replicator.Entry) error {
	if !r.baseKnown || !r.baseFromReset && e.Index <= r.basePosition.Index {
		// Older segments have been removed. They may have held newer indexes than the first entry that remains, which were replaced
		// later.
		r.basePosition, r.baseKnown, r.entries = replicator.Position{Index: e.Index - 1}, true, nil
	}
	lastIndex := r.basePosition.Index + replicator.Index(len(r.entries))
	if e.Index <= r.basePosition.Index || e.Index > lastIndex+1 {
		return eris.Wrapf(journaler.ErrCorrupt, "entry %d after entries %d to %d", e.Index, r.basePosition.Index+1, lastIndex)
	}
	r.entries = append(r.entries[:e.Index-r.basePosition.Index-1], e)
	return nil
}

// continues reports whether the entries belong to the same log as the snapshot at a position.
func (r *journalReplay) continues(snapshot replicator.Position) (bool, error) {
	if snapshot.Index < r.basePosition.Index {
		return false, eris.Wrapf(journaler.ErrCorrupt, "snapshot ends at %d, journal starts after %d", snapshot.Index,
			r.basePosition.Index)
	}
	if snapshot == r.basePosition {
		return true, nil
	}
	i := int(snapshot.Index - r.basePosition.Index)
	return i > 0 && i <= len(r.entries) && r.entries[i-1].Term == snapshot.Term, nil
}

// write persists the snapshot, ballot and entries of the effects.
func (s *store) write(e replicator.Effects) error {
	var records []journaler.Record
	var lastIndex replicator.Index
	if e.Install != nil {
		if err := s.saveSnapshot(*e.Install); err != nil {
			return err
		}
		records, lastIndex = append(records, encodeReset(e.Install.Position)), e.Install.Index
	}
	if e.Ballot != nil {
		s.ballot = *e.Ballot
		records = append(records, encodeBallot(s.ballot))
	}
	for _, entry := range e.Append {
		r, err := encodeEntry(entry)
		if err != nil {
			return err
		}
		records, lastIndex = append(records, r), max(lastIndex, entry.Index)
	}
	if len(records) == 0 {
		return nil
	}
	if err := s.journal.Append(journaler.Mark(lastIndex), records...); err != nil {
		return err
	}
	if !s.journal.Full() {
		return nil
	}
	return s.journal.Roll(encodeBallot(s.ballot))
}

func (s *store) saveSnapshot(snapshot replicator.Snapshot) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if snapshot.Index <= s.snapshotIndex {
		return nil
	}
	b, err := encodeSnapshot(snapshot)
	if err != nil {
		return err
	}
	if err := journaler.Save(filepath.Join(s.folder, snapshotFile), b); err != nil {
		return err
	}
	s.snapshotIndex = snapshot.Index
	return nil
}

func (s *store) release(upTo replicator.Index) error { return s.journal.Release(journaler.Mark(upTo)) }

func (s *store) close() error { return s.journal.Close() }
