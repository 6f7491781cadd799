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

// ErrFolder means that the data folder is incomplete. Its owner may have promised votes and entries that are gone.
var ErrFolder = eris.New("data folder is incomplete; empty it to join again under a new identity")

// store is the data folder of a member.
type store struct {
	folder  string
	id      replicator.MemberID
	journal journaler.Journal
	ballot  elector.Ballot
	// mu orders snapshots of the applier and of the leader.
	mu    sync.Mutex
	saved replicator.Index
}

// open loads the state and gives an empty folder an identity.
func (s *store) open(folder string) (replicator.State, error) {
	s.folder = folder
	s.journal.Folder = filepath.Join(folder, journalFolder)
	identity, known, err := journaler.Load(filepath.Join(folder, identityFile))
	if err != nil {
		return replicator.State{}, err
	}
	used, err := s.journal.Exists()
	if err != nil {
		return replicator.State{}, err
	}
	if known && (!used || len(identity) != 8) {
		return replicator.State{}, eris.Wrapf(ErrFolder, "%s has an identity but no journal", folder)
	}
	st, err := s.load()
	if err != nil {
		return replicator.State{}, err
	}
	if known {
		s.id = replicator.MemberID(binary.BigEndian.Uint64(identity))
		return st, nil
	}
	if st.Snapshot.Index > 0 || len(st.Entries) > 0 || st.Ballot != (elector.Ballot{}) {
		return replicator.State{}, eris.Wrapf(ErrFolder, "%s has a journal but no identity", folder)
	}
	return st, s.createIdentity()
}

// reload reads the state again after a failed write.
func (s *store) reload() (replicator.State, error) {
	s.journal = journaler.Journal{Folder: s.journal.Folder, Syncer: s.journal.Syncer}
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
		return 0, eris.Wrap(err, "draw identity")
	}
	// 0 stands for no member.
	b[7] |= 1
	return replicator.MemberID(binary.BigEndian.Uint64(b[:])), nil
}

func (s *store) identity() replicator.MemberID { return s.id }

func (s *store) load() (st replicator.State, err error) {
	b, ok, err := journaler.Load(filepath.Join(s.folder, snapshotFile))
	if err != nil {
		return st, err
	}
	if ok {
		if st.Snapshot, err = decodeSnapshot(b); err != nil {
			return st, err
		}
	}
	var r replay
	if err := s.journal.Open(r.add); err != nil {
		return st, err
	}
	s.saved, s.ballot, st.Ballot = st.Snapshot.Index, r.ballot, r.ballot
	matches, err := r.matches(st.Snapshot.Position)
	if err != nil {
		return st, err
	}
	if matches {
		st.Entries = r.entries
		return st, nil
	}
	// The process stopped after it had saved a received snapshot. The entries belong to the log that it replaced.
	return st, s.journal.Append(0, encodeReset(st.Snapshot.Position))
}

// replay collects the records of the journal.
type replay struct {
	ballot  elector.Ballot
	base    replicator.Position
	entries []replicator.Entry
	// based is true once base is known, and exact if a reset record has named it.
	based, exact bool
}

func (r *replay) add(rec journaler.Record) (journaler.Mark, error) {
	switch rec.Kind {
	case kindBallot:
		b, err := decodeBallot(rec.Body)
		r.ballot = b
		return 0, err
	case kindReset:
		p, err := decodePosition(rec.Body)
		r.base, r.based, r.exact, r.entries = p, true, true, nil
		return journaler.Mark(p.Index), err
	case kindEntry:
		e, err := decodeEntry(rec.Body)
		if err != nil {
			return 0, err
		}
		return journaler.Mark(e.Index), r.addEntry(e)
	}
	return 0, eris.Wrapf(journaler.ErrCorrupt, "record of kind %d", rec.Kind)
}

func (r *replay) addEntry(e replicator.Entry) error {
	if !r.based || !r.exact && e.Index <= r.base.Index {
		// Older segments have been released. Their entries may have reached beyond the first one that is left.
		r.base, r.based, r.entries = replicator.Position{Index: e.Index - 1}, true, nil
	}
	last := r.base.Index + replicator.Index(len(r.entries))
	if e.Index <= r.base.Index || e.Index > last+1 {
		return eris.Wrapf(journaler.ErrCorrupt, "entry %d after entries %d to %d", e.Index, r.base.Index+1, last)
	}
	r.entries = append(r.entries[:e.Index-r.base.Index-1], e)
	return nil
}

// matches reports whether the entries continue the snapshot.
func (r *replay) matches(at replicator.Position) (bool, error) {
	if at.Index < r.base.Index {
		return false, eris.Wrapf(journaler.ErrCorrupt, "snapshot ends at %d, journal starts after %d", at.Index, r.base.Index)
	}
	if at == r.base {
		return true, nil
	}
	i := int(at.Index - r.base.Index)
	return i > 0 && i <= len(r.entries) && r.entries[i-1].Term == at.Term, nil
}

// write makes the effects durable.
func (s *store) write(e replicator.Effects) error {
	var records []journaler.Record
	var mark replicator.Index
	if e.Install != nil {
		if err := s.saveSnapshot(*e.Install); err != nil {
			return err
		}
		records, mark = append(records, encodeReset(e.Install.Position)), e.Install.Index
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
		records, mark = append(records, r), max(mark, entry.Index)
	}
	if len(records) == 0 {
		return nil
	}
	if err := s.journal.Append(journaler.Mark(mark), records...); err != nil {
		return err
	}
	if !s.journal.Full() {
		return nil
	}
	return s.journal.Roll(encodeBallot(s.ballot))
}

func (s *store) saveSnapshot(n replicator.Snapshot) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n.Index <= s.saved {
		return nil
	}
	b, err := encodeSnapshot(n)
	if err != nil {
		return err
	}
	if err := journaler.Save(filepath.Join(s.folder, snapshotFile), b); err != nil {
		return err
	}
	s.saved = n.Index
	return nil
}

func (s *store) release(upTo replicator.Index) error { return s.journal.Release(journaler.Mark(upTo)) }

func (s *store) close() error { return s.journal.Close() }
