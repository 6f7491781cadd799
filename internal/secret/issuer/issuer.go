// Package issuer creates the key material of a small deployment: a certificate authority, certificates and a data key.
package issuer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/hex"
	"encoding/pem"
	"math/big"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"

	"github.com/peridotstage/peridotstage/internal/secret/loader"
)

// Names of the files in a key folder.
const (
	AuthorityFile    = "authority.pem"
	authorityKeyFile = "authority.key"
	DataKeyFile      = "data.key"
)

// serialBits is the length in bits of the random serial number of a certificate.
const serialBits = 120

// Issuer signs certificates with the certificate authority in a folder.
type Issuer struct {
	Folder string
	// ExpireAt is the time at which issued certificates expire.
	ExpireAt time.Time
	// Renew makes Issue replace existing files. Otherwise Issue fails if they exist.
	Renew bool
}

// Init creates the certificate authority and the data key. It fails if their files exist, unless Renew is set.
func (s *Issuer) Init(now time.Time) error {
	if err := os.MkdirAll(s.Folder, 0o700); err != nil {
		return eris.Wrap(err, "create key folder")
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return eris.Wrap(err, "create authority key")
	}
	t, err := s.template(now, "peridotstage authority")
	if err != nil {
		return err
	}
	t.IsCA, t.BasicConstraintsValid = true, true
	t.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, t, t, key.Public(), key)
	if err != nil {
		return eris.Wrap(err, "sign authority")
	}
	if err := s.writePair(AuthorityFile, authorityKeyFile, der, key); err != nil {
		return err
	}
	data, err := newDataKey()
	if err != nil {
		return err
	}
	return s.write(DataKeyFile, []byte(data+"\n"))
}

// newDataKey returns a random data key in hexadecimal.
func newDataKey() (string, error) {
	data := make([]byte, loader.DataKeySize)
	if _, err := rand.Read(data); err != nil {
		return "", eris.Wrap(err, "create data key")
	}
	return hex.EncodeToString(data), nil
}

// Issue creates a certificate for the given kind of holder and its private key, in the files NAME.pem and NAME.key.
func (s *Issuer) Issue(now time.Time, holder loader.Holder, name string, addresses []netip.Addr, hosts []string) error {
	caDER, err := s.readBlock(AuthorityFile)
	if err != nil {
		return err
	}
	ca, err := x509.ParseCertificate(caDER)
	if err != nil {
		return eris.Wrap(err, "parse authority")
	}
	caKeyDER, err := s.readBlock(authorityKeyFile)
	if err != nil {
		return err
	}
	caKey, err := x509.ParseECPrivateKey(caKeyDER)
	if err != nil {
		return eris.Wrap(err, "parse authority key")
	}
	t, err := s.template(now, name)
	if err != nil {
		return err
	}
	t.Subject.OrganizationalUnit = []string{string(holder)}
	t.DNSNames = hosts
	for _, a := range addresses {
		t.IPAddresses = append(t.IPAddresses, net.IP(a.AsSlice()))
	}
	t.KeyUsage = x509.KeyUsageDigitalSignature
	t.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return eris.Wrap(err, "create key")
	}
	der, err := x509.CreateCertificate(rand.Reader, t, ca, key.Public(), caKey)
	if err != nil {
		return eris.Wrap(err, "sign certificate")
	}
	return s.writePair(name+".pem", name+".key", der, key)
}

// template returns a certificate with the fields that the authority's certificate and those of holders have in common.
func (s *Issuer) template(now time.Time, name string) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, eris.Wrap(err, "create serial number")
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-time.Minute),
		NotAfter:     s.ExpireAt,
	}, nil
}

// readBlock returns the content of the first PEM block of a file of the authority.
func (s *Issuer) readBlock(name string) ([]byte, error) {
	b, err := os.ReadFile(filepath.Join(s.Folder, name))
	if err != nil {
		return nil, eris.Wrap(err, "read authority")
	}
	block, _ := pem.Decode(b)
	if block == nil {
		return nil, eris.Errorf("%s is not in PEM format", name)
	}
	return block.Bytes, nil
}

// writePair writes a certificate and its private key in PEM format.
func (s *Issuer) writePair(certName, keyName string, der []byte, key *ecdsa.PrivateKey) error {
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return eris.Wrap(err, "encode key")
	}
	if err := s.write(certName, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})); err != nil {
		return err
	}
	return s.write(keyName, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}))
}

// write creates a file. If Renew is set it replaces an existing one; otherwise it fails if the file exists.
func (s *Issuer) write(name string, b []byte) error {
	if s.Renew {
		return s.replace(name, b)
	}
	f, err := os.OpenFile(filepath.Join(s.Folder, name), os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return eris.Wrap(err, "create key file")
	}
	if _, err := f.Write(b); err != nil {
		return eris.Wrap(err, "write key file")
	}
	return eris.Wrap(f.Close(), "close key file")
}
