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

// machine holds the keys of one machine and the files they come from.
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

// accepts reports whether receiver takes a datagram and a connection id of sender.
func accepts(t *testing.T, receiver, sender *loader.Material) bool {
	var h carrier.Header
	_, err := receiver.Data.Parse(sender.Data.Append(nil, &h, []byte("payload")), &h)
	var id [stamper.Size]byte
	require.NoError(t, sender.Stamper.Stamp(id[:], 7, 1))
	u, ok := receiver.Stamper.Verify(id[:])
	require.Equal(t, err == nil, ok)
	if err != nil {
		require.ErrorIs(t, err, encoder.ErrTag)
		return false
	}
	require.EqualValues(t, 7, u)
	return true
}

// TestDataKeyRotation guards against a step of a rotation during which two machines that are one step apart drop each
// other's datagrams, and against an old key that still verifies after the last step.
func TestDataKeyRotation(t *testing.T) {
	folder := t.TempDir()
	m := newMachine(t, folder)
	first := load(t, folder)
	ahead, behind := m.Material, load(t, folder)
	for _, step := range []func() error{m.authority.AddDataKey, m.authority.SwitchDataKey, m.authority.DropDataKeys} {
		require.NoError(t, step())
		require.NoError(t, ahead.Reload())
		require.True(t, accepts(t, ahead, behind) && accepts(t, behind, ahead))
		require.NoError(t, behind.Reload())
	}
	require.False(t, accepts(t, ahead, first), "a key that was dropped still verifies")
	require.ErrorIs(t, m.authority.SwitchDataKey(), issuer.ErrRotation)
}

// TestReloadKeepsKeys guards against a machine that loses its keys, or takes some of the new ones, when a file is wrong.
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

// TestAuthorityRotation guards against a new authority that is not accepted without a restart.
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
	a, err := os.ReadFile(to)
	require.NoError(t, err)
	b, err := os.ReadFile(from)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(to, append(a, b...), 0o600))
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
