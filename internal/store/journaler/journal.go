package journaler

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/rotisserie/eris"
)

// DefaultSegmentSize is the default of Journal.SegmentSize, in bytes.
const DefaultSegmentSize = 4 << 20

const (
	segmentPrefix = "journal-"
	segmentSuffix = ".log"
	// nextSegmentName is the name of a segment that is being created. Open removes it.
	nextSegmentName = "next-segment.tmp"
	// segmentHeaderSize is the size in bytes of the magic and the number of a segment, 8 bytes each.
	segmentHeaderSize = 16
	fileMode          = 0o600
	folderMode        = 0o700
)

var segmentMagic = []byte("PSTGJNL1")

// Mark is the position of a record in an order that the user of the journal defines, for example a log index. Release compares
// marks to find the segments that are no longer needed.
type Mark uint64

type segment struct {
	id   segmentID
	path string
	// mark is the highest mark of the records in the segment.
	mark Mark
	// size is the size in bytes of the valid part of the segment when it was replayed.
	size int64
}

// Syncer makes written files durable.
type Syncer interface {
	// Sync makes the content of a file or the entries of a folder durable.
	Sync(f *os.File) error
}

// FileSyncer is the Syncer that calls fsync.
type FileSyncer struct{}

// Sync calls fsync.
func (FileSyncer) Sync(f *os.File) error { return f.Sync() }

// Journal is an append-only sequence of records in one folder. The exported fields are set before Open.
type Journal struct {
	Folder string
	// SegmentSize is the size in bytes from which Full reports true; 0 stands for DefaultSegmentSize.
	SegmentSize int64
	// Syncer makes the files durable; nil stands for FileSyncer.
	Syncer Syncer

	mu       sync.Mutex
	segments []segment
	// file is the last segment, and size its size in bytes, at which the next frame is written.
	file *os.File
	size int64
	// writeErr is the first write error. The content of the file is unknown after it, so later writes return it too.
	writeErr error
}

// Open passes all records in order to replay, which returns the mark of each, and opens the journal for appending. It truncates a
// torn write at the end of the journal, and returns ErrCorrupt for damage anywhere else.
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
	ids, err := j.segmentIDs()
	if err != nil {
		return err
	}
	for i, id := range ids {
		if i > 0 && id != ids[i-1]+1 {
			return eris.Wrapf(ErrCorrupt, "segment %d is missing in %s", ids[i-1]+1, j.Folder)
		}
		if err := j.replaySegment(id, i == len(ids)-1, replay); err != nil {
			return err
		}
	}
	if err := j.removeIncomplete(); err != nil {
		return err
	}
	if len(j.segments) == 0 {
		return j.createSegment(1, nil)
	}
	return j.openLastSegment()
}

// removeIncomplete removes what a crash has left of a segment that was being created. Versions before this one created segments in place,
// so the last one may lack its initial records. Nothing was written to it later, or Roll would have returned.
func (j *Journal) removeIncomplete() error {
	if err := os.Remove(filepath.Join(j.Folder, nextSegmentName)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return eris.Wrap(err, "remove incomplete segment")
	}
	n := len(j.segments)
	if n == 0 || j.size > segmentHeaderSize || n == 1 && j.size > 0 {
		return nil
	}
	if err := os.Remove(j.segments[n-1].path); err != nil {
		return eris.Wrap(err, "remove incomplete segment")
	}
	if j.segments = j.segments[:n-1]; n > 1 {
		j.size = j.segments[n-2].size
	}
	return syncFolder(j.Folder, j.Syncer)
}

// segmentIDs returns the numbers of the segments in the folder in ascending order.
func (j *Journal) segmentIDs() ([]segmentID, error) {
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

func (j *Journal) segmentPath(id segmentID) string {
	return filepath.Join(j.Folder, fmt.Sprintf("%s%016x%s", segmentPrefix, uint64(id), segmentSuffix))
}

// encodeSegmentHeader returns the header of a segment file.
func encodeSegmentHeader(id segmentID) []byte {
	return binary.BigEndian.AppendUint64(slices.Clone(segmentMagic), uint64(id))
}

// replaySegment replays one segment and sets j.size to the size of its valid part. last is true for the last segment, the only one
// that may end with a torn write.
func (j *Journal) replaySegment(id segmentID, last bool, replay func(Record) (Mark, error)) error {
	s := segment{id: id, path: j.segmentPath(id)}
	b, err := os.ReadFile(s.path)
	if err != nil {
		return eris.Wrap(err, "read segment")
	}
	offset := segmentHeaderSize
	if len(b) < offset || string(b[:offset]) != string(encodeSegmentHeader(id)) {
		if !last || len(b) >= offset {
			return eris.Wrapf(ErrCorrupt, "header of %s", s.path)
		}
		// A crash interrupted the creation of the segment; removeIncomplete removes it.
		j.segments, j.size = append(j.segments, s), 0
		return nil
	}
	for offset < len(b) {
		records, n, err := decodeFrame(id, int64(offset), b[offset:])
		if err != nil {
			if !last || containsFrame(id, int64(offset)+1, b[offset+1:]) {
				return eris.Wrapf(ErrCorrupt, "%s at offset %d, followed by valid records", s.path, offset)
			}
			break
		}
		for _, r := range records {
			mark, err := replay(r)
			if err != nil {
				return eris.Wrapf(err, "replay %s at offset %d", s.path, offset)
			}
			s.mark = max(s.mark, mark)
		}
		offset += n
	}
	s.size = int64(offset)
	j.segments, j.size = append(j.segments, s), s.size
	return nil
}

// openLastSegment opens the last segment for appending and truncates a torn write at its end.
func (j *Journal) openLastSegment() error {
	s := j.segments[len(j.segments)-1]
	f, err := os.OpenFile(s.path, os.O_RDWR, fileMode)
	if err != nil {
		return eris.Wrap(err, "open segment")
	}
	j.file = f
	if err := f.Truncate(j.size); err != nil {
		return eris.Wrap(err, "truncate torn write")
	}
	return eris.Wrap(j.Syncer.Sync(f), "sync segment")
}

// createSegment creates a segment with its initial records and makes it the one that is written to. A crash leaves the whole segment or
// none: with a segment that lacks its initial records, Release would remove the only other copy of them.
func (j *Journal) createSegment(id segmentID, initial []Record) error {
	content := encodeSegmentHeader(id)
	if len(initial) > 0 {
		content = append(content, encodeFrame(id, segmentHeaderSize, initial)...)
	}
	tempPath := filepath.Join(j.Folder, nextSegmentName)
	f, err := os.OpenFile(tempPath, os.O_RDWR|os.O_CREATE|os.O_TRUNC, fileMode)
	if err != nil {
		return eris.Wrap(err, "create segment")
	}
	s := segment{id: id, path: j.segmentPath(id)}
	if err := publish(f, content, s.path, j.Syncer); err != nil {
		_ = f.Close()
		return eris.Wrap(err, "create segment")
	}
	if j.file != nil {
		_ = j.file.Close()
	}
	j.file, j.size = f, int64(len(content))
	j.segments = append(j.segments, s)
	return nil
}

// Append adds records to the journal. They are durable when Append returns. mark is the highest mark among them.
func (j *Journal) Append(mark Mark, records ...Record) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.appendLocked(mark, records)
}

// appendLocked is Append for callers that hold j.mu.
func (j *Journal) appendLocked(mark Mark, records []Record) error {
	if err := j.writeLocked(mark, records); err != nil {
		return err
	}
	if err := j.Syncer.Sync(j.file); err != nil {
		j.writeErr = eris.Wrap(err, "sync records")
	}
	return j.writeErr
}

// Write adds records to the journal without syncing them. They survive the end of the process, but they survive a crash of the
// machine only after a later Append or Roll has returned. mark is the highest mark among them.
func (j *Journal) Write(mark Mark, records ...Record) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.writeLocked(mark, records)
}

// writeLocked is Write for callers that hold j.mu.
func (j *Journal) writeLocked(mark Mark, records []Record) error {
	if j.writeErr != nil {
		return j.writeErr
	}
	s := &j.segments[len(j.segments)-1]
	b := encodeFrame(s.id, j.size, records)
	if _, err := j.file.WriteAt(b, j.size); err != nil {
		j.writeErr = eris.Wrap(err, "write records")
		return j.writeErr
	}
	j.size += int64(len(b))
	s.mark = max(s.mark, mark)
	return nil
}

// Full reports whether the last segment has reached SegmentSize, so that the caller should call Roll.
func (j *Journal) Full() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.size >= j.SegmentSize
}

// Roll starts a new segment with records that replace all older ones of the same kinds. Records that were written before are durable
// when Roll returns.
func (j *Journal) Roll(initial ...Record) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.writeErr != nil {
		return j.writeErr
	}
	// Without this sync, a crash could lose records in the middle of the journal, which Open reports as damage.
	if err := j.Syncer.Sync(j.file); err != nil {
		j.writeErr = eris.Wrap(err, "sync records")
		return j.writeErr
	}
	j.writeErr = j.createSegment(j.segments[len(j.segments)-1].id+1, initial)
	return j.writeErr
}

// Release removes the oldest segments, as long as no record of theirs has a mark above upTo. It keeps the last segment.
func (j *Journal) Release(upTo Mark) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	removedCount := 0
	for removedCount < len(j.segments)-1 && j.segments[removedCount].mark <= upTo {
		if err := os.Remove(j.segments[removedCount].path); err != nil {
			return eris.Wrap(err, "remove segment")
		}
		// Each removal is made durable before the next one, because Open reports a gap between segments as damage.
		if err := syncFolder(j.Folder, j.Syncer); err != nil {
			return err
		}
		removedCount++
	}
	j.segments = slices.Clone(j.segments[removedCount:])
	return nil
}

// Close closes the journal. Later writes fail.
func (j *Journal) Close() error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.file == nil {
		return nil
	}
	err := j.file.Close()
	j.file = nil
	j.writeErr = os.ErrClosed
	return eris.Wrap(err, "close segment")
}

// syncFolder makes the entries of a folder durable.
func syncFolder(path string, syncer Syncer) error {
	folder, err := os.Open(path)
	if err != nil {
		return eris.Wrap(err, "open folder")
	}
	defer folder.Close()
	return eris.Wrap(syncer.Sync(folder), "sync folder")
}

// Exists reports whether the folder contains a segment.
func (j *Journal) Exists() (bool, error) {
	if _, err := os.Stat(j.Folder); os.IsNotExist(err) {
		return false, nil
	}
	ids, err := j.segmentIDs()
	return len(ids) > 0, err
}
