// Package loader reads certificates, private keys and data keys from files, and reads them again on request.
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

// ErrInvalid means that the content of a key file is invalid.
var ErrInvalid = eris.New("invalid key file")

// Holder is the kind of holder that a certificate was issued to. It is stored as the organizational unit of the subject.
type Holder string

// The kinds of certificate holder.
const (
	HolderMachine  Holder = "machine"
	HolderOperator Holder = "operator"
	HolderService  Holder = "service"
)

// PeerName returns the common name of a verified peer, and whether its certificate was issued to the given kind of holder.
func PeerName(state tls.ConnectionState, holder Holder) (string, bool) {
	if len(state.VerifiedChains) == 0 || len(state.PeerCertificates) == 0 {
		return "", false
	}
	subject := state.PeerCertificates[0].Subject
	return subject.CommonName, slices.Contains(subject.OrganizationalUnit, string(holder))
}

// DataKeySize is the length of a data key in bytes. A data key file has one key per line, in hexadecimal.
const DataKeySize = 32

// maxDataKeys is the maximum number of keys in a data key file. It is small because a datagram that no key verifies is
// checked with each of them.
const maxDataKeys = 4

// Material is the key material of one machine. Its methods use the files as they were last read.
type Material struct {
	files parser.Keys
	// Data holds the keys that authenticate datagrams between machines.
	Data *encoder.Keyring
	// Stamper issues and verifies connection ids.
	Stamper *stamper.Stamper
	// ResetKey is the key of QUIC stateless resets. It is derived from the first data key and does not change until a restart,
	// because resets concern connections of an earlier process.
	ResetKey [32]byte

	identity atomic.Pointer[identity]
}

// identity is the certificate that a machine presents to its peers, and the authorities whose certificates it accepts from them.
type identity struct {
	certificate tls.Certificate
	authorities *x509.CertPool
}

// derivedKeys holds the keys that are derived from the data keys in a file.
type derivedKeys struct {
	datagram      []encoder.Key
	connectionIDs []stamper.Key
	reset         [32]byte
}

// Load reads the files that the settings name.
func Load(files parser.Keys) (*Material, error) {
	m := &Material{files: files, Data: &encoder.Keyring{}, Stamper: &stamper.Stamper{}}
	id, keys, err := m.read()
	if err != nil {
		return m, err
	}
	m.replaceKeys(id, keys)
	m.ResetKey = keys.reset
	return m, nil
}

// Prepare reads all files again. Their content is used once commit is called.
func (m *Material) Prepare() (commit func(), err error) {
	id, keys, err := m.read()
	return func() { m.replaceKeys(id, keys) }, err
}

// Reload reads all files again. If one of them is invalid, the material does not change.
func (m *Material) Reload() error { return reload(m.Prepare) }

// reload calls prepare and commits its result unless it fails.
func reload(prepare func() (func(), error)) error {
	commit, err := prepare()
	if err == nil {
		commit()
	}
	return err
}

// read reads all files without changing the material.
func (m *Material) read() (*identity, derivedKeys, error) {
	id, err := readIdentity(m.files)
	if err != nil {
		return nil, derivedKeys{}, err
	}
	var keys derivedKeys
	if m.files.Data != "" {
		keys, err = readDataKeys(m.files.Data)
	}
	return id, keys, err
}

// replaceKeys replaces the identity and the derived keys in use.
func (m *Material) replaceKeys(id *identity, keys derivedKeys) {
	if m.files.Data != "" {
		m.Data.Replace(keys.datagram)
		m.Stamper.Rotate(keys.connectionIDs)
	}
	m.identity.Store(id)
}

// Server returns a TLS configuration that accepts only peers with a certificate of one of the authorities.
func (m *Material) Server() *tls.Config {
	id := m.identity.Load()
	return &tls.Config{
		Certificates: []tls.Certificate{id.certificate}, ClientCAs: id.authorities,
		ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13,
		// A resumed session could outlive the trust in the authority that signed the certificate of the peer.
		SessionTicketsDisabled: true,
	}
}

// Client returns a TLS configuration that presents the machine's certificate.
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

func readDataKeys(path string) (derivedKeys, error) {
	var keys derivedKeys
	b, err := os.ReadFile(path)
	if err != nil {
		return keys, eris.Wrap(err, "data_key_file")
	}
	lines := strings.Fields(string(b))
	if len(lines) < 1 || len(lines) > maxDataKeys {
		return keys, eris.Wrapf(ErrInvalid, "data_key_file %s: %d lines, want 1 to %d", path, len(lines), maxDataKeys)
	}
	for i, line := range lines {
		key, err := hex.DecodeString(line)
		if err != nil || len(key) != DataKeySize {
			return keys, eris.Wrapf(ErrInvalid, "data_key_file %s: line %d: want %d bytes in hexadecimal", path, i+1, DataKeySize)
		}
		if err := keys.add(key); err != nil {
			return keys, err
		}
	}
	return keys, nil
}

// add derives the keys of one data key and appends them. The reset key is derived only from the first data key.
func (d *derivedKeys) add(key []byte) error {
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

// derive returns a key of 128 bits, as two words, that is bound to the purpose named by info.
func derive(key []byte, info string) (k0, k1 uint64, err error) {
	b, err := hkdf.Key(sha256.New, key, nil, info, 16)
	if err != nil {
		return 0, 0, eris.Wrap(err, "derive key")
	}
	return binary.BigEndian.Uint64(b), binary.BigEndian.Uint64(b[8:]), nil
}
