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
	burnFolder   = "burn"
	burnSnapshot = "snapshot"
	// damagedSuffix marks a folder that was put aside.
	damagedSuffix = ".damaged"
	// burnRecord is the only kind of record in the journal.
	burnRecord journaler.Kind = 1
	// burnSaveInterval bounds the journal: 1,000 nodes with a batch of 300 bytes every 5 s write 36 MB in it.
	burnSaveInterval = 10 * time.Minute
)

// burnStore keeps what a collector has recorded in the data folder, so that the windows survive a restart. Batches are written
// before they are confirmed and not synced one by one, which would cost 200 syncs a second: a crash of the machine can lose the
// newest, and the report then says so by their numbers.
type burnStore struct {
	collector *burner.Collector
	recorder  *recorder.Recorder
	folder    string
	journal   *journaler.Journal
	// mu orders marks and saves; failed is set after the first failed write.
	mu     sync.Mutex
	mark   journaler.Mark
	failed bool
}

// storedBatch is a record of the journal.
type storedBatch struct {
	At      time.Time
	Machine registrar.MachineName
	Start   registrar.Incarnation
	Batch   []byte
}

// openBurnStore returns a collector with what the data folder holds. A damaged folder is put aside: it costs the counts, which
// the report shows, but not the start of the instance.
func openBurnStore(cfg parser.Control, rec *recorder.Recorder) *burnStore {
	s := &burnStore{recorder: rec, folder: filepath.Join(cfg.DataFolder, burnFolder)}
	err := s.load(cfg)
	if err == nil {
		return s
	}
	s.fail(err)
	aside := s.folder + damagedSuffix
	if errors.Join(os.RemoveAll(aside), os.Rename(s.folder, aside), s.load(cfg)) == nil {
		s.failed = false
	}
	return s
}

func (s *burnStore) load(cfg parser.Control) error {
	s.mark = 0
	s.collector = &burner.Collector{Instance: cfg.Name}
	// A collector whose folder cannot be read counts in memory.
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

// record counts a batch and writes it.
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
		s.fail(err)
	}
}

// fail logs the first failure. Counts are kept in memory only from then on.
func (s *burnStore) fail(err error) {
	s.failed = true
	s.recorder.Error(recorder.BurnStoreFailed, zap.String("folder", s.folder), recorder.Err(err))
}

// run saves snapshots until ctx ends, and a last one then.
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

// save makes the journal up to now unnecessary. Every batch of the journal was counted before it was written, so the state that
// is read after the mark has it.
func (s *burnStore) save() {
	s.mu.Lock()
	mark, failed := s.mark, s.failed
	s.mu.Unlock()
	if failed {
		return
	}
	if err := s.replace(mark); err != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.fail(err)
	}
}

func (s *burnStore) replace(mark journaler.Mark) error {
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
