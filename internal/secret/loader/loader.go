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

// DataKeySize is the length in bytes of the data key. The file holds it in hexadecimal.
const DataKeySize = 32

// Material is the key material of one machine.
type Material struct {
	// Server accepts only peers with a certificate of the authority; Client presents the machine's certificate.
	Server *tls.Config
	Client *tls.Config
	// Data authenticates datagrams between machines.
	Data encoder.Key
	// ConnectionIDs are the keys of connection ids.
	ConnectionIDs []stamper.Key
	// ResetKey is the key of QUIC stateless resets.
	ResetKey [32]byte
}

// Load reads the files that the settings name.
func Load(keys parser.Keys) (*Material, error) {
	pair, err := tls.LoadX509KeyPair(keys.Certificate, keys.PrivateKey)
	if err != nil {
		return nil, eris.Wrapf(ErrInvalid, "certificate_file %s, private_key_file %s: %v", keys.Certificate, keys.PrivateKey, err)
	}
	pem, err := os.ReadFile(keys.Authority)
	if err != nil {
		return nil, eris.Wrap(err, "authority_file")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, eris.Wrapf(ErrInvalid, "authority_file %s holds no certificate", keys.Authority)
	}
	m := &Material{
		Server: &tls.Config{
			Certificates: []tls.Certificate{pair}, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert,
			MinVersion: tls.VersionTLS13,
		},
		Client: &tls.Config{Certificates: []tls.Certificate{pair}, RootCAs: pool, MinVersion: tls.VersionTLS13},
	}
	if keys.Data == "" {
		return m, nil
	}
	return m, m.loadDataKey(keys.Data)
}

func (m *Material) loadDataKey(path string) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return eris.Wrap(err, "data_key_file")
	}
	key, err := hex.DecodeString(strings.TrimSpace(string(b)))
	if err != nil || len(key) != DataKeySize {
		return eris.Wrapf(ErrInvalid, "data_key_file %s: want %d bytes in hexadecimal", path, DataKeySize)
	}
	k0, k1, err := derive(key, "peridotstage datagram")
	if err != nil {
		return err
	}
	m.Data = encoder.Key{K0: k0, K1: k1}
	if k0, k1, err = derive(key, "peridotstage connection id"); err != nil {
		return err
	}
	m.ConnectionIDs = []stamper.Key{{K0: k0, K1: k1}}
	reset, err := hkdf.Key(sha256.New, key, nil, "peridotstage stateless reset", len(m.ResetKey))
	if err != nil {
		return eris.Wrap(err, "derive reset key")
	}
	copy(m.ResetKey[:], reset)
	return nil
}

func derive(key []byte, info string) (k0, k1 uint64, err error) {
	b, err := hkdf.Key(sha256.New, key, nil, info, 16)
	if err != nil {
		return 0, 0, eris.Wrap(err, "derive key")
	}
	return binary.BigEndian.Uint64(b), binary.BigEndian.Uint64(b[8:]), nil
}
