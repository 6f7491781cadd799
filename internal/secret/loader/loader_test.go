package loader_test

import (
	"crypto/tls"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/peridotstage/peridotstage/internal/route/carrier"
	"github.com/peridotstage/peridotstage/internal/route/stamper"
	"github.com/peridotstage/peridotstage/internal/secret/issuer"
	"github.com/peridotstage/peridotstage/internal/secret/loader"
	"github.com/peridotstage/peridotstage/internal/setting/parser"
	"github.com/peridotstage/peridotstage/internal/wire/encoder"
)

// machine is the key material of one machine with the issuer of its files.
type machine struct {
	*loader.Material
	authority *issuer.Issuer
}

func newMachine(t *testing.T, folder string) machine {
	now := time.Now()
	is := &issuer.Issuer{Folder: folder, ExpireAt: now.Add(time.Hour)}
	require.NoError(t, is.Init(now))
	require.NoError(t, is.Issue(now, loader.HolderMachine, "a", []netip.Addr{netip.MustParseAddr("127.0.0.1")}, nil))
	return machine{load(t, folder), is}
}

func load(t *testing.T, folder string) *loader.Material {
	m, err := loader.Load(parser.Keys{
		Authority: filepath.Join(folder, issuer.AuthorityFile), Certificate: filepath.Join(folder, "a.pem"),
		PrivateKey: filepath.Join(folder, "a.key"), Data: filepath.Join(folder, issuer.DataKeyFile),
	})
	require.NoError(t, err)
	return m
}

// accepts reports whether receiver verifies a datagram and a connection id of sender.
func accepts(t *testing.T, receiver, sender *loader.Material) bool {
	var h carrier.Header
	_, err := receiver.Data.Parse(sender.Data.Append(nil, &h, []byte("payload")), &h)
	var id [stamper.Size]byte
	require.NoError(t, sender.Stamper.Stamp(id[:], 7, 1))
	upstream, ok := receiver.Stamper.Verify(id[:])
	require.Equal(t, err == nil, ok)
	if err != nil {
		require.ErrorIs(t, err, encoder.ErrTag)
		return false
	}
	require.EqualValues(t, 7, upstream)
	return true
}

// TestDataKeyRotation guards against two machines that are one step of a key rotation apart dropping each other's datagrams, and
// against an old key that is still accepted after the last step.
func TestDataKeyRotation(t *testing.T) {
	folder := t.TempDir()
	m := newMachine(t, folder)
	old := load(t, folder)
	updated, outdated := m.Material, load(t, folder)
	for _, step := range []func() error{m.authority.AddDataKey, m.authority.SwitchDataKey, m.authority.DropDataKeys} {
		require.NoError(t, step())
		require.NoError(t, updated.Reload())
		require.True(t, accepts(t, updated, outdated) && accepts(t, outdated, updated))
		require.NoError(t, outdated.Reload())
	}
	require.False(t, accepts(t, updated, old), "a removed key is still accepted")
	require.ErrorIs(t, m.authority.SwitchDataKey(), issuer.ErrRotation)
}

// TestReloadKeepsKeys guards against a machine that loses its keys, or adopts only some of the new ones, when one file is
// invalid.
func TestReloadKeepsKeys(t *testing.T) {
	for _, name := range []string{issuer.AuthorityFile, "a.pem", "a.key", issuer.DataKeyFile} {
		folder := t.TempDir()
		m := newMachine(t, folder)
		before := load(t, folder)
		require.NoError(t, m.authority.AddDataKey())
		require.NoError(t, m.authority.SwitchDataKey())
		require.NoError(t, os.WriteFile(filepath.Join(folder, name), []byte("wrong"), 0o600))
		require.ErrorIs(t, m.Reload(), loader.ErrInvalid, name)
		require.True(t, accepts(t, before, m.Material), name)
		require.NoError(t, handshake(before, m.Material), name)
	}
}

// TestAuthorityRotation guards against a reload that ignores a new certificate authority.
func TestAuthorityRotation(t *testing.T) {
	server, other := newMachine(t, t.TempDir()), newMachine(t, t.TempDir())
	require.Error(t, handshake(server.Material, other.Material))
	appendFile(t, filepath.Join(server.authority.Folder, issuer.AuthorityFile), filepath.Join(other.authority.Folder, issuer.AuthorityFile))
	appendFile(t, filepath.Join(other.authority.Folder, issuer.AuthorityFile), filepath.Join(server.authority.Folder, issuer.AuthorityFile))
	require.NoError(t, server.Reload())
	require.NoError(t, other.Reload())
	require.NoError(t, handshake(server.Material, other.Material))
}

func appendFile(t *testing.T, to, from string) {
	content, err := os.ReadFile(to)
	require.NoError(t, err)
	appended, err := os.ReadFile(from)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(to, append(content, appended...), 0o600))
}

// handshake connects client to server in memory and returns the first error of either side.
func handshake(server, client *loader.Material) error {
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	cfg := client.Client()
	cfg.ServerName = "127.0.0.1"
	result := make(chan error, 1)
	go func() {
		s := tls.Server(a, server.Server())
		err := s.Handshake()
		if err == nil {
			_, err = s.Write([]byte("x"))
		}
		_ = a.Close()
		result <- err
	}()
	c := tls.Client(b, cfg)
	_, err := c.Read(make([]byte, 1))
	if serverErr := <-result; err == nil {
		err = serverErr
	}
	return err
}
