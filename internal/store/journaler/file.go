package journaler

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
)

// Save replaces the content of a checksummed file. The new content is durable when Save returns. A crash leaves the old or the new
// content.
func Save(path string, body []byte) error {
	if err := os.MkdirAll(filepath.Dir(path), folderMode); err != nil {
		return eris.Wrap(err, "create folder")
	}
	tempPath := path + ".tmp"
	f, err := os.OpenFile(tempPath, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, fileMode)
	if err != nil {
		return eris.Wrap(err, "create file")
	}
	defer f.Close()
	return publish(f, encodeFrame(0, 0, []Record{{Body: body}}), path, FileSyncer{})
}

// publish writes the content of a new file, makes it durable and renames the file to a path in its folder, where it replaces another one.
func publish(f *os.File, content []byte, path string, syncer Syncer) error {
	if _, err := f.Write(content); err != nil {
		return eris.Wrap(err, "write file")
	}
	if err := syncer.Sync(f); err != nil {
		return eris.Wrap(err, "sync file")
	}
	if err := os.Rename(f.Name(), path); err != nil {
		return eris.Wrap(err, "rename file")
	}
	return syncFolder(filepath.Dir(path), syncer)
}

// Load returns the content of a file that Save wrote. It returns false if the file does not exist, and ErrCorrupt if the file is
// damaged.
func Load(path string) ([]byte, bool, error) {
	b, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, false, nil
	}
	if err != nil {
		return nil, false, eris.Wrap(err, "read file")
	}
	records, n, err := decodeFrame(0, 0, b)
	if err != nil || n != len(b) || len(records) != 1 {
		return nil, false, eris.Wrapf(ErrCorrupt, "file %s", path)
	}
	return records[0].Body, true, nil
}
