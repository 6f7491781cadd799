package runner

import (
	"context"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/peridotstage/peridotstage/internal/report/burner"
	"github.com/peridotstage/peridotstage/internal/report/recorder"
	"github.com/peridotstage/peridotstage/internal/setting/parser"
	"github.com/peridotstage/peridotstage/internal/store/journaler"
	"github.com/peridotstage/peridotstage/internal/wire/encoder"
	"github.com/peridotstage/peridotstage/internal/world/registrar"
)

const (
	// burnFolder is the subfolder of the data folder, and burnSnapshot the file in it that holds the snapshot.
	burnFolder   = "burn"
	burnSnapshot = "snapshot"
	// damagedSuffix marks a folder that could not be read and was renamed.
	damagedSuffix = ".damaged"
	// burnRecord is the only kind of record in the journal.
	burnRecord journaler.Kind = 1
	// burnSaveInterval bounds the size of the journal: 1,000 nodes that send a batch of 300 bytes every 5 s write 36 MB in 10 min.
	burnSaveInterval = 10 * time.Minute
)

// burnStore persists the counts of a collector in the data folder, so that the windows survive a restart. Batches are written
// before they are confirmed but not synced individually, which would cost 200 syncs a second. A crash of the machine can
// therefore lose the newest batches, which the report shows by the gap in their numbers.
type burnStore struct {
	collector *burner.Collector
	recorder  *recorder.Recorder
	folder    string
	journal   *journaler.Journal
	// mu guards mark, the number of the newest journal record, and failed, which is set after the first failed write. It also keeps
	// the journal records in the order of their numbers.
	mu     sync.Mutex
	mark   journaler.Mark
	failed bool
}

// storedBatch is a journal record. It is stored as JSON under these field names.
type storedBatch struct {
	At      time.Time
	Machine registrar.MachineName
	Start   registrar.Incarnation
	Batch   []byte
}

// openBurnStore loads the counts that the data folder holds. A damaged folder is renamed and replaced by an empty one: the
// report then shows that counts are missing, but the instance still starts.
func openBurnStore(cfg parser.Control, rec *recorder.Recorder) *burnStore {
	s := &burnStore{recorder: rec, folder: filepath.Join(cfg.DataFolder, burnFolder)}
	err := s.load(cfg)
	if err == nil {
		return s
	}
	s.disable(err)
	damagedFolder := s.folder + damagedSuffix
	if errors.Join(os.RemoveAll(damagedFolder), os.Rename(s.folder, damagedFolder), s.load(cfg)) == nil {
		s.failed = false
	}
	return s
}

func (s *burnStore) load(cfg parser.Control) error {
	s.mark = 0
	s.collector = &burner.Collector{Instance: cfg.Name}
	// These objectives apply if the folder cannot be read and the collector counts in memory only.
	s.collector.SetObjectives(time.Time{}, objectivesOf(cfg))
	b, found, err := journaler.Load(filepath.Join(s.folder, burnSnapshot))
	if err != nil {
		return err
	}
	var st burner.State
	if found {
		if err := json.Unmarshal(b, &st); err != nil {
			return eris.Wrap(err, "decode burn snapshot")
		}
	} else {
		st.Objectives = objectivesOf(cfg)
	}
	s.collector.Restore(st)
	s.journal = &journaler.Journal{Folder: filepath.Join(s.folder, "journal")}
	if err := s.journal.Open(s.replay); err != nil {
		return err
	}
	s.collector.SetObjectives(time.Now(), objectivesOf(cfg))
	return nil
}

func (s *burnStore) replay(r journaler.Record) (journaler.Mark, error) {
	var b storedBatch
	if err := json.Unmarshal(r.Body, &b); err != nil {
		return 0, eris.Wrap(err, "decode burn record")
	}
	batch, err := encoder.ParseBatch(b.Batch)
	if err != nil {
		return 0, err
	}
	if batch != nil {
		s.collector.Record(b.At, registrar.Machine{Name: b.Machine, Incarnation: b.Start}, batch)
	}
	s.mark++
	return s.mark, nil
}

// record counts a batch and appends it to the journal.
func (s *burnStore) record(now time.Time, m registrar.Machine, b *burner.Batch) {
	if !s.collector.Record(now, m, b) {
		return
	}
	body, err := json.Marshal(storedBatch{now, m.Name, m.Incarnation, encoder.AppendBatch(nil, b)})
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed {
		return
	}
	s.mark++
	if err := s.journal.Write(s.mark, journaler.Record{Kind: burnRecord, Body: body}); err != nil {
		s.disable(err)
	}
}

// disable logs the failure and stops writing, after which the counts are kept in memory only.
func (s *burnStore) disable(err error) {
	s.failed = true
	s.recorder.Error(recorder.BurnStoreFailed, zap.String("folder", s.folder), recorder.Err(err))
}

// run saves snapshots periodically, and a last one when ctx ends.
func (s *burnStore) run(ctx context.Context) error {
	ticker := time.NewTicker(burnSaveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			s.save()
			return nil
		case <-ticker.C:
			s.save()
		}
	}
}

// save writes a snapshot that replaces the journal records up to the current mark. Each batch is counted before it is written to
// the journal, so a state that is read after the mark includes all those records.
func (s *burnStore) save() {
	s.mu.Lock()
	mark, failed := s.mark, s.failed
	s.mu.Unlock()
	if failed {
		return
	}
	if err := s.replaceSnapshot(mark); err != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.disable(err)
	}
}

func (s *burnStore) replaceSnapshot(mark journaler.Mark) error {
	if err := s.journal.Roll(); err != nil {
		return err
	}
	b, err := json.Marshal(s.collector.State())
	if err != nil {
		return eris.Wrap(err, "encode burn snapshot")
	}
	if err := journaler.Save(filepath.Join(s.folder, burnSnapshot), b); err != nil {
		return err
	}
	return s.journal.Release(mark)
}
