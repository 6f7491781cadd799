package loader

import (
	"crypto/tls"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// Pair is a certificate with its private key, for example that of a service.
type Pair struct {
	certificateFile, keyFile string
	current                  atomic.Pointer[tls.Certificate]
}

// LoadPair reads a certificate and its private key.
func LoadPair(certificateFile, keyFile string) (*Pair, error) {
	p := &Pair{certificateFile: certificateFile, keyFile: keyFile}
	return p, p.Reload()
}

// Prepare reads the files again. The new certificate is used once commit is called.
func (p *Pair) Prepare() (commit func(), err error) {
	c, err := tls.LoadX509KeyPair(p.certificateFile, p.keyFile)
	if err != nil {
		return nil, eris.Wrapf(ErrInvalid, "certificate %s, private key %s: %v", p.certificateFile, p.keyFile, err)
	}
	return func() { p.current.Store(&c) }, nil
}

// Reload reads the files again. If they are invalid, the pair does not change.
func (p *Pair) Reload() error { return reload(p.Prepare) }

// Get returns the current certificate for a new connection. It fits the GetCertificate field of tls.Config.
func (p *Pair) Get(*tls.ClientHelloInfo) (*tls.Certificate, error) { return p.current.Load(), nil }
