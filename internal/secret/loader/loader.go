// Package loader reads key material from files.
package loader

import (
	"crypto/hkdf"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/binary"
	"encoding/hex"
	"os"
	"slices"
	"strings"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"github.com/peridotstage/peridotstage/internal/route/stamper"
	"github.com/peridotstage/peridotstage/internal/setting/parser"
	"github.com/peridotstage/peridotstage/internal/wire/encoder"
)

// ErrInvalid means that a key file is not acceptable.
var ErrInvalid = eris.New("invalid key file")

// Holder is the kind of party that a certificate was issued to. It stands in the organizational unit of the subject.
type Holder string

// The kinds of certificate holder.
const (
	HolderMachine  Holder = "machine"
	HolderOperator Holder = "operator"
	HolderService  Holder = "service"
)

// PeerName returns the name of the verified peer if it is a holder of the given kind.
func PeerName(st tls.ConnectionState, kind Holder) (string, bool) {
	if len(st.VerifiedChains) == 0 || len(st.PeerCertificates) == 0 {
		return "", false
	}
	subject := st.PeerCertificates[0].Subject
	return subject.CommonName, slices.Contains(subject.OrganizationalUnit, string(kind))
}

// DataKeySize is the length of a data key in bytes. The file holds one key a line in hexadecimal.
const DataKeySize = 32

// maxDataKeys bounds the keys in a data key file, since each of them is tried on a datagram that does not verify.
const maxDataKeys = 4

// Material is the key material of one machine. Its methods return what the files held when they were last read.
type Material struct {
	files parser.Keys
	// Data authenticates datagrams between machines.
	Data *encoder.Keyring
	// Stamper issues and verifies connection ids.
	Stamper *stamper.Stamper
	// ResetKey is the key of QUIC stateless resets. It comes from the first data key and stays until a restart, because
	// resets are for connections of an earlier process.
	ResetKey [32]byte

	identity atomic.Pointer[identity]
}

// identity is what a machine shows to peers and asks of them.
type identity struct {
	certificate tls.Certificate
	authorities *x509.CertPool
}

// dataKeys are the keys that derive from a data key file.
type dataKeys struct {
	datagram      []encoder.Key
	connectionIDs []stamper.Key
	reset         [32]byte
}

// Load reads the files that the settings name.
func Load(files parser.Keys) (*Material, error) {
	m := &Material{files: files, Data: &encoder.Keyring{}, Stamper: &stamper.Stamper{}}
	id, d, err := m.read()
	if err != nil {
		return m, err
	}
	m.put(id, d)
	m.ResetKey = d.reset
	return m, nil
}

// Prepare reads all files again. What they hold is in force once commit is called.
func (m *Material) Prepare() (commit func(), err error) {
	id, d, err := m.read()
	return func() { m.put(id, d) }, err
}

// Reload reads all files again. If one of them is not acceptable, everything stays as it was.
func (m *Material) Reload() error { return reload(m.Prepare) }

func reload(prepare func() (func(), error)) error {
	commit, err := prepare()
	if err == nil {
		commit()
	}
	return err
}

func (m *Material) read() (*identity, dataKeys, error) {
	id, err := readIdentity(m.files)
	if err != nil {
		return nil, dataKeys{}, err
	}
	var d dataKeys
	if m.files.Data != "" {
		d, err = readDataKeys(m.files.Data)
	}
	return id, d, err
}

func (m *Material) put(id *identity, d dataKeys) {
	if m.files.Data != "" {
		m.Data.Replace(d.datagram)
		m.Stamper.Rotate(d.connectionIDs)
	}
	m.identity.Store(id)
}

// Server returns a configuration that accepts only peers with a certificate of an authority.
func (m *Material) Server() *tls.Config {
	id := m.identity.Load()
	return &tls.Config{
		Certificates: []tls.Certificate{id.certificate}, ClientCAs: id.authorities,
		ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13,
		// A session would outlive the authority that vouched for its peer.
		SessionTicketsDisabled: true,
	}
}

// Client returns a configuration that presents the machine's certificate.
func (m *Material) Client() *tls.Config {
	id := m.identity.Load()
	return &tls.Config{
		Certificates: []tls.Certificate{id.certificate}, RootCAs: id.authorities, MinVersion: tls.VersionTLS13,
	}
}

func readIdentity(files parser.Keys) (*identity, error) {
	pair, err := tls.LoadX509KeyPair(files.Certificate, files.PrivateKey)
	if err != nil {
		return nil, eris.Wrapf(ErrInvalid, "certificate_file %s, private_key_file %s: %v", files.Certificate, files.PrivateKey, err)
	}
	pem, err := os.ReadFile(files.Authority)
	if err != nil {
		return nil, eris.Wrap(err, "authority_file")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, eris.Wrapf(ErrInvalid, "authority_file %s holds no certificate", files.Authority)
	}
	return &identity{certificate: pair, authorities: pool}, nil
}

func readDataKeys(path string) (dataKeys, error) {
	var d dataKeys
	b, err := os.ReadFile(path)
	if err != nil {
		return d, eris.Wrap(err, "data_key_file")
	}
	lines := strings.Fields(string(b))
	if len(lines) < 1 || len(lines) > maxDataKeys {
		return d, eris.Wrapf(ErrInvalid, "data_key_file %s: %d lines, want 1 to %d", path, len(lines), maxDataKeys)
	}
	for i, line := range lines {
		key, err := hex.DecodeString(line)
		if err != nil || len(key) != DataKeySize {
			return d, eris.Wrapf(ErrInvalid, "data_key_file %s: line %d: want %d bytes in hexadecimal", path, i+1, DataKeySize)
		}
		if err := d.add(key); err != nil {
			return d, err
		}
	}
	return d, nil
}

// add derives the keys of one data key.
func (d *dataKeys) add(key []byte) error {
	k0, k1, err := derive(key, "peridotstage datagram")
	if err != nil {
		return err
	}
	d.datagram = append(d.datagram, encoder.Key{K0: k0, K1: k1})
	if k0, k1, err = derive(key, "peridotstage connection id"); err != nil {
		return err
	}
	id, err := hkdf.Key(sha256.New, key, nil, "peridotstage connection id key id", 1)
	if err != nil {
		return eris.Wrap(err, "derive key id")
	}
	d.connectionIDs = append(d.connectionIDs, stamper.Key{ID: stamper.KeyID(id[0]), K0: k0, K1: k1})
	if len(d.datagram) > 1 {
		return nil
	}
	reset, err := hkdf.Key(sha256.New, key, nil, "peridotstage stateless reset", len(d.reset))
	if err != nil {
		return eris.Wrap(err, "derive reset key")
	}
	copy(d.reset[:], reset)
	return nil
}

func derive(key []byte, info string) (k0, k1 uint64, err error) {
	b, err := hkdf.Key(sha256.New, key, nil, info, 16)
	if err != nil {
		return 0, 0, eris.Wrap(err, "derive key")
	}
	return binary.BigEndian.Uint64(b), binary.BigEndian.Uint64(b[8:]), nil
}
