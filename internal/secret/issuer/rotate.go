package issuer

import (
	"os"
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"
)

// ErrRotation means that the number of keys in the data key file does not allow the requested step of a key rotation.
var ErrRotation = eris.New("data key file does not allow this step of a key rotation")

// AddDataKey adds a new key after the one that seals datagrams. Machines that have read the file accept both keys.
func (s *Issuer) AddDataKey() error {
	key, err := newDataKey()
	if err != nil {
		return err
	}
	return s.changeDataKeys(func(keys []string) ([]string, error) {
		if len(keys) != 1 {
			return nil, eris.Wrapf(ErrRotation, "it holds %d keys, want 1", len(keys))
		}
		return append(keys, key), nil
	})
}

// SwitchDataKey makes the added key the one that seals datagrams. It is called once all machines have read the file with both
// keys, because the others drop datagrams that are sealed with the new key.
func (s *Issuer) SwitchDataKey() error {
	return s.changeDataKeys(func(keys []string) ([]string, error) {
		if len(keys) != 2 {
			return nil, eris.Wrapf(ErrRotation, "it holds %d keys, want 2", len(keys))
		}
		return []string{keys[1], keys[0]}, nil
	})
}

// DropDataKeys removes all keys but the one that seals datagrams. It is called once all machines have read the file written by
// SwitchDataKey, because the others still seal with the old key and their datagrams would be dropped.
func (s *Issuer) DropDataKeys() error {
	return s.changeDataKeys(func(keys []string) ([]string, error) {
		if len(keys) < 2 {
			return nil, eris.Wrapf(ErrRotation, "it holds %d keys, want at least 2", len(keys))
		}
		return keys[:1], nil
	})
}

// changeDataKeys replaces the keys in the data key file by those that change returns.
func (s *Issuer) changeDataKeys(change func(keys []string) ([]string, error)) error {
	b, err := os.ReadFile(filepath.Join(s.Folder, DataKeyFile))
	if err != nil {
		return eris.Wrap(err, "read data keys")
	}
	keys, err := change(strings.Fields(string(b)))
	if err != nil {
		return err
	}
	return s.replace(DataKeyFile, []byte(strings.Join(keys, "\n")+"\n"))
}

// replace writes a temporary file and renames it, so that no process reads a partly written file.
func (s *Issuer) replace(name string, b []byte) error {
	path := filepath.Join(s.Folder, name)
	if err := os.WriteFile(path+".new", b, 0o600); err != nil {
		return eris.Wrap(err, "write key file")
	}
	return eris.Wrap(os.Rename(path+".new", path), "replace key file")
}
