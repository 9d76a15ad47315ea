// Package tlsconf makes TLS configurations whose certificates are read again when their files change.
package tlsconf

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// recheckInterval is how old the knowledge of the files may be when a handshake begins.
const recheckInterval = 10 * time.Second

// Pair is a certificate with its key, read again when the files change. It is safe for concurrent use.
type Pair struct {
	certFile, keyFile string

	mu      sync.Mutex
	checked time.Time
	modTime time.Time
	cert    *tls.Certificate
}

// LoadPair reads a certificate and its key.
func LoadPair(certFile, keyFile string) (*Pair, error) {
	p := &Pair{certFile: certFile, keyFile: keyFile}
	_, err := p.current()
	return p, trace.Wrap(err)
}

// current returns the certificate. When a new file cannot be read it keeps the old certificate.
func (p *Pair) current() (*tls.Certificate, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cert != nil && time.Since(p.checked) < recheckInterval {
		return p.cert, nil
	}
	p.checked = time.Now()
	info, err := os.Stat(p.keyFile)
	if err == nil && p.cert != nil && info.ModTime().Equal(p.modTime) {
		return p.cert, nil
	}
	cert, loadErr := tls.LoadX509KeyPair(p.certFile, p.keyFile)
	if loadErr != nil {
		if p.cert != nil {
			return p.cert, nil
		}
		return nil, trace.Wrap(loadErr, "reading the certificate %s", p.certFile)
	}
	p.cert = &cert
	if err == nil {
		p.modTime = info.ModTime()
	}
	return p.cert, nil
}

// Server returns the configuration of a listener that shows the certificate.
func (p *Pair) Server() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return p.current() },
	}
}

// Mutual returns the configurations of listener and client between instances: both sides show their
// certificate and check the other's against the authorities in caFile.
func (p *Pair) Mutual(caFile string) (server, client *tls.Config, err error) {
	pool, err := LoadPool(caFile)
	if err != nil {
		return nil, nil, err
	}
	server = p.Server()
	server.MinVersion = tls.VersionTLS13
	server.ClientAuth = tls.RequireAndVerifyClientCert
	server.ClientCAs = pool
	client = &tls.Config{
		MinVersion:           tls.VersionTLS13,
		RootCAs:              pool,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return p.current() },
	}
	return server, client, nil
}

// LoadPool reads certificate authorities from a PEM file.
func LoadPool(file string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(file)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, trace.BadParameter("%s holds no certificate", file)
	}
	return pool, nil
}
