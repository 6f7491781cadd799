package journaler

import (
	"encoding/binary"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/rotisserie/eris"
)

// DefaultSegmentSize is the size in bytes at which a new segment begins.
const DefaultSegmentSize = 4 << 20

const (
	segmentPrefix = "journal-"
	segmentSuffix = ".log"
	// segmentHeader is magic and segment number.
	segmentHeader = 16
	fileMode      = 0o600
	folderMode    = 0o700
)

var segmentMagic = []byte("PSTGJNL1")

// Mark orders what records are about, for example log indexes. It decides when a segment is no longer needed.
type Mark uint64

type segment struct {
	id   segmentID
	path string
	// mark is the highest mark of the records in the segment.
	mark Mark
}

// Syncer makes written files durable.
type Syncer interface {
	Sync(f *os.File) error
}

// FileSyncer calls fsync.
type FileSyncer struct{}

// Sync makes the content of a file or the entries of a folder durable.
func (FileSyncer) Sync(f *os.File) error { return f.Sync() }

// Journal is an append-only sequence of records in one folder. The exported fields are set before Open.
type Journal struct {
	Folder string
	// SegmentSize is the size at which a new segment begins; 0 stands for DefaultSegmentSize.
	SegmentSize int64
	// Syncer makes the files durable; nil stands for FileSyncer.
	Syncer Syncer

	mu       sync.Mutex
	segments []segment
	// file is the last segment, open for appending at size.
	file *os.File
	size int64
	// failed is the first write error. The state of the file is unknown after it, so later calls fail too.
	failed error
}

// Open reads all records in order and passes them to replay, which returns the mark of each. It cuts a torn tail and
// returns ErrCorrupt for damage anywhere else.
func (j *Journal) Open(replay func(Record) (Mark, error)) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.SegmentSize == 0 {
		j.SegmentSize = DefaultSegmentSize
	}
	if j.Syncer == nil {
		j.Syncer = FileSyncer{}
	}
	if err := os.MkdirAll(j.Folder, folderMode); err != nil {
		return eris.Wrap(err, "create journal folder")
	}
	ids, err := j.list()
	if err != nil {
		return err
	}
	for i, id := range ids {
		if i > 0 && id != ids[i-1]+1 {
			return eris.Wrapf(ErrCorrupt, "segment %d is missing in %s", ids[i-1]+1, j.Folder)
		}
		if err := j.load(id, i == len(ids)-1, replay); err != nil {
			return err
		}
	}
	if len(ids) == 0 {
		return j.create(1)
	}
	return j.resume()
}

func (j *Journal) list() ([]segmentID, error) {
	files, err := os.ReadDir(j.Folder)
	if err != nil {
		return nil, eris.Wrap(err, "list journal folder")
	}
	var ids []segmentID
	for _, f := range files {
		name, ok := strings.CutPrefix(f.Name(), segmentPrefix)
		if !ok {
			continue
		}
		id, err := strconv.ParseUint(strings.TrimSuffix(name, segmentSuffix), 16, 64)
		if err != nil {
			return nil, eris.Wrapf(ErrCorrupt, "unexpected file %s", f.Name())
		}
		ids = append(ids, segmentID(id))
	}
	slices.Sort(ids)
	return ids, nil
}

func (j *Journal) path(id segmentID) string {
	return filepath.Join(j.Folder, fmt.Sprintf("%s%016x%s", segmentPrefix, uint64(id), segmentSuffix))
}

func header(id segmentID) []byte {
	return binary.BigEndian.AppendUint64(slices.Clone(segmentMagic), uint64(id))
}

// load replays one segment and leaves the end of its valid part in j.size.
func (j *Journal) load(id segmentID, last bool, replay func(Record) (Mark, error)) error {
	s := segment{id: id, path: j.path(id)}
	b, err := os.ReadFile(s.path)
	if err != nil {
		return eris.Wrap(err, "read segment")
	}
	at := segmentHeader
	if len(b) < at || string(b[:at]) != string(header(id)) {
		if !last || len(b) >= at {
			return eris.Wrapf(ErrCorrupt, "header of %s", s.path)
		}
		// The process stopped while it created the segment.
		j.segments, j.size = append(j.segments, s), 0
		return nil
	}
	for at < len(b) {
		records, n, err := decodeFrame(id, int64(at), b[at:])
		if err != nil {
			if !last || frameAfter(id, int64(at)+1, b[at+1:]) {
				return eris.Wrapf(ErrCorrupt, "%s at offset %d, with valid records behind it", s.path, at)
			}
			break
		}
		for _, r := range records {
			m, err := replay(r)
			if err != nil {
				return eris.Wrapf(err, "replay %s at offset %d", s.path, at)
			}
			s.mark = max(s.mark, m)
		}
		at += n
	}
	j.segments, j.size = append(j.segments, s), int64(at)
	return nil
}

// resume opens the last segment for appending, without its torn tail.
func (j *Journal) resume() error {
	s := j.segments[len(j.segments)-1]
	if j.size == 0 {
		j.segments = j.segments[:len(j.segments)-1]
		return j.create(s.id)
	}
	f, err := os.OpenFile(s.path, os.O_RDWR, fileMode)
	if err != nil {
		return eris.Wrap(err, "open segment")
	}
	j.file = f
	if err := f.Truncate(j.size); err != nil {
		return eris.Wrap(err, "cut torn tail")
	}
	return eris.Wrap(j.Syncer.Sync(f), "sync segment")
}

// create begins a segment. Its folder entry is durable when it returns.
func (j *Journal) create(id segmentID) error {
	s := segment{id: id, path: j.path(id)}
	f, err := os.OpenFile(s.path, os.O_RDWR|os.O_CREATE|os.O_TRUNC, fileMode)
	if err != nil {
		return eris.Wrap(err, "create segment")
	}
	if _, err := f.Write(header(id)); err != nil {
		return eris.Wrap(err, "write segment header")
	}
	if err := j.Syncer.Sync(f); err != nil {
		return eris.Wrap(err, "sync segment")
	}
	if j.file != nil {
		_ = j.file.Close()
	}
	j.file, j.size = f, segmentHeader
	j.segments = append(j.segments, s)
	return syncFolder(j.Folder, j.Syncer)
}

// Append makes records durable. mark is the highest mark among them.
func (j *Journal) Append(mark Mark, records ...Record) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.append(mark, records)
}

func (j *Journal) append(mark Mark, records []Record) error {
	if err := j.write(mark, records); err != nil {
		return err
	}
	if err := j.Syncer.Sync(j.file); err != nil {
		j.failed = eris.Wrap(err, "sync records")
	}
	return j.failed
}

// Write adds records that survive the end of the process, but a crash of the machine only once a later Append or Roll has
// returned.
func (j *Journal) Write(mark Mark, records ...Record) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.write(mark, records)
}

func (j *Journal) write(mark Mark, records []Record) error {
	if j.failed != nil {
		return j.failed
	}
	s := &j.segments[len(j.segments)-1]
	b := encodeFrame(s.id, j.size, records)
	if _, err := j.file.WriteAt(b, j.size); err != nil {
		j.failed = eris.Wrap(err, "write records")
		return j.failed
	}
	j.size += int64(len(b))
	s.mark = max(s.mark, mark)
	return nil
}

// Full reports that the last segment has reached its size, so that the caller should call Roll.
func (j *Journal) Full() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.size >= j.SegmentSize
}

// Roll begins a new segment with records that make all older ones of the same kinds unnecessary.
func (j *Journal) Roll(head ...Record) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.failed != nil {
		return j.failed
	}
	// Records that were only written must not be lost in the middle of the journal.
	if err := j.Syncer.Sync(j.file); err != nil {
		j.failed = eris.Wrap(err, "sync records")
		return j.failed
	}
	if err := j.create(j.segments[len(j.segments)-1].id + 1); err != nil {
		j.failed = err
		return err
	}
	return j.append(0, head)
}

// Release removes the oldest segments whose records all have marks up to the given one. The last segment stays.
func (j *Journal) Release(upTo Mark) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	n := 0
	for n < len(j.segments)-1 && j.segments[n].mark <= upTo {
		if err := os.Remove(j.segments[n].path); err != nil {
			return eris.Wrap(err, "remove segment")
		}
		// The removal must be durable in order, or a restart would find a gap.
		if err := syncFolder(j.Folder, j.Syncer); err != nil {
			return err
		}
		n++
	}
	j.segments = slices.Clone(j.segments[n:])
	return nil
}

// Close closes the last segment.
func (j *Journal) Close() error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.file == nil {
		return nil
	}
	err := j.file.Close()
	j.file = nil
	j.failed = os.ErrClosed
	return eris.Wrap(err, "close segment")
}

func syncFolder(path string, s Syncer) error {
	d, err := os.Open(path)
	if err != nil {
		return eris.Wrap(err, "open folder")
	}
	defer d.Close()
	return eris.Wrap(s.Sync(d), "sync folder")
}

// Exists reports whether the folder holds a segment.
func (j *Journal) Exists() (bool, error) {
	if _, err := os.Stat(j.Folder); os.IsNotExist(err) {
		return false, nil
	}
	ids, err := j.list()
	return len(ids) > 0, err
}
