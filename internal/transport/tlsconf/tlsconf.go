// Package tlsconf builds TLS configurations whose certificates and certificate authorities are reloaded when
// their files change.
package tlsconf

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// recheckInterval is the shortest time between two checks of the files. A handshake checks them if the last check was
// longer ago.
const recheckInterval = 10 * time.Second

// reloader holds a value that is parsed from files and reloaded when their contents change. It compares the
// contents and not the modification times: a replaced file may keep its time, and either file of a pair may
// change alone.
type reloader[T any] struct {
	files []string
	parse func(contents [][]byte) (T, error)

	mu       sync.Mutex
	loaded   bool
	checked  time.Time
	contents [][]byte
	value    T
}

// current returns the value. While the files cannot be read or do not match each other, as in the middle of a
// replacement, it returns the last valid value and checks the files again after recheckInterval.
func (r *reloader[T]) current() (T, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.loaded && time.Since(r.checked) < recheckInterval {
		return r.value, nil
	}
	r.checked = time.Now()
	err := r.reload()
	if r.loaded {
		return r.value, nil
	}
	return r.value, err
}

// reload parses the files if their contents have changed. The caller holds the lock.
func (r *reloader[T]) reload() error {
	contents := make([][]byte, len(r.files))
	changed := !r.loaded
	for i, file := range r.files {
		data, err := os.ReadFile(file)
		if err != nil {
			return trace.ConvertSystemError(err)
		}
		contents[i] = data
		changed = changed || !bytes.Equal(data, r.contents[i])
	}
	if !changed {
		return nil
	}
	value, err := r.parse(contents)
	if err != nil {
		return trace.Wrap(err, "parsing %s", r.files[0])
	}
	r.value, r.contents, r.loaded = value, contents, true
	return nil
}

// KeyPair is a certificate with its private key. It is safe for concurrent use.
type KeyPair struct{ reloader[*tls.Certificate] }

// LoadKeyPair reads a certificate and its private key from PEM files.
func LoadKeyPair(certFile, keyFile string) (*KeyPair, error) {
	p := &KeyPair{reloader[*tls.Certificate]{files: []string{certFile, keyFile}, parse: func(c [][]byte) (*tls.Certificate, error) {
		cert, err := tls.X509KeyPair(c[0], c[1])
		return &cert, err
	}}}
	_, err := p.current()
	return p, trace.Wrap(err)
}

// CAPool is a set of certificate authorities. It is safe for concurrent use.
type CAPool struct{ reloader[*x509.CertPool] }

// LoadCAPool reads certificate authorities from a PEM file.
func LoadCAPool(file string) (*CAPool, error) {
	p := &CAPool{reloader[*x509.CertPool]{files: []string{file}, parse: func(c [][]byte) (*x509.CertPool, error) {
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(c[0]) {
			return nil, trace.BadParameter("%s contains no certificate", file)
		}
		return pool, nil
	}}}
	_, err := p.current()
	return p, trace.Wrap(err)
}

// ServerConfig returns the configuration of a listener that presents the certificate.
func (p *KeyPair) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return p.current() },
	}
}

// PeerServerConfig returns the configuration of a listener that also requires each client to present a certificate
// signed by one of the authorities.
func (p *KeyPair) PeerServerConfig(ca *CAPool) *tls.Config {
	base := p.ServerConfig()
	base.MinVersion = tls.VersionTLS13
	base.ClientAuth = tls.RequireAndVerifyClientCert
	base.NextProtos = []string{"h2"} // gRPC needs it
	outer := base.Clone()
	outer.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		pool, err := ca.current()
		if err != nil {
			return nil, err
		}
		conf := base.Clone()
		conf.ClientCAs = pool
		return conf, nil
	}
	return outer
}

// PeerClientConfig returns a function that builds the configuration of one connection to an instance. The
// connection presents the certificate and verifies the server's against the current authorities.
func (p *KeyPair) PeerClientConfig(ca *CAPool) func() (*tls.Config, error) {
	return func() (*tls.Config, error) {
		conf, err := ca.ClientConfig()
		if err != nil {
			return nil, err
		}
		conf.MinVersion = tls.VersionTLS13
		conf.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return p.current() }
		return conf, nil
	}
}

// ClientConfig returns the configuration of one connection to a server whose certificate is signed by one of the
// authorities. A nil pool stands for the system's authorities.
func (p *CAPool) ClientConfig() (*tls.Config, error) {
	conf := &tls.Config{MinVersion: tls.VersionTLS12}
	if p == nil {
		return conf, nil
	}
	pool, err := p.current()
	conf.RootCAs = pool
	return conf, err
}
