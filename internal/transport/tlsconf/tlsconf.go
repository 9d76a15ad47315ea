// Package tlsconf makes TLS configurations whose certificates and authorities are read again when their
// files change.
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

// recheckInterval is how old the knowledge of the files may be when a handshake begins.
const recheckInterval = 10 * time.Second

// watched is a value made from the contents of files. The contents are compared, not the modification
// times: a replaced file may keep its time, and either file of a pair may change alone.
type watched[T any] struct {
	files []string
	parse func(contents [][]byte) (T, error)

	mu       sync.Mutex
	loaded   bool
	checked  time.Time
	contents [][]byte
	value    T
}

// current returns the value. While the files cannot be read or do not fit together, which happens in
// the middle of a replacement, it keeps the value it has and looks again after recheckInterval.
func (w *watched[T]) current() (T, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.loaded && time.Since(w.checked) < recheckInterval {
		return w.value, nil
	}
	w.checked = time.Now()
	err := w.read()
	if w.loaded {
		return w.value, nil
	}
	return w.value, err
}

// read takes over changed files. The caller holds the lock.
func (w *watched[T]) read() error {
	contents := make([][]byte, len(w.files))
	changed := !w.loaded
	for i, file := range w.files {
		data, err := os.ReadFile(file)
		if err != nil {
			return trace.ConvertSystemError(err)
		}
		contents[i] = data
		changed = changed || !bytes.Equal(data, w.contents[i])
	}
	if !changed {
		return nil
	}
	value, err := w.parse(contents)
	if err != nil {
		return trace.Wrap(err, "reading %s", w.files[0])
	}
	w.value, w.contents, w.loaded = value, contents, true
	return nil
}

// KeyPair is a certificate with its key. It is safe for concurrent use.
type KeyPair struct{ watched[*tls.Certificate] }

// LoadKeyPair reads a certificate and its key.
func LoadKeyPair(certFile, keyFile string) (*KeyPair, error) {
	p := &KeyPair{watched[*tls.Certificate]{files: []string{certFile, keyFile}, parse: func(c [][]byte) (*tls.Certificate, error) {
		cert, err := tls.X509KeyPair(c[0], c[1])
		return &cert, err
	}}}
	_, err := p.current()
	return p, trace.Wrap(err)
}

// CAPool is a set of certificate authorities. It is safe for concurrent use.
type CAPool struct{ watched[*x509.CertPool] }

// LoadCAPool reads certificate authorities from a PEM file.
func LoadCAPool(file string) (*CAPool, error) {
	p := &CAPool{watched[*x509.CertPool]{files: []string{file}, parse: func(c [][]byte) (*x509.CertPool, error) {
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(c[0]) {
			return nil, trace.BadParameter("%s holds no certificate", file)
		}
		return pool, nil
	}}}
	_, err := p.current()
	return p, trace.Wrap(err)
}

// ServerConfig returns the configuration of a listener that shows the certificate.
func (p *KeyPair) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return p.current() },
	}
}

// PeerServerConfig returns the configuration of a listener that also demands a certificate of one of the
// authorities from each client.
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

// PeerClientConfig returns a function that makes the configuration of one connection to an instance: it shows
// the certificate and checks the server's against the authorities as they are now.
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

// ClientConfig returns the configuration of one connection to a server that has a certificate of one of the
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
