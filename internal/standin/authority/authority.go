// Package authority is a test certificate authority that issues the certificates of instances, backend
// servers and the platform.
package authority

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/gravitational/trace"
)

// fileMode allows only the owner to read a key file.
const fileMode = 0o600

// serialBits is the length of a random serial number.
const serialBits = 120

// The validity period of certificates includes virtual time, which begins in the year 2000, and the present.
var (
	notBefore = time.Date(1999, 1, 1, 0, 0, 0, 0, time.UTC)
	notAfter  = time.Date(2100, 1, 1, 0, 0, 0, 0, time.UTC)
)

// Authority is a certificate authority.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	dir  string
}

// New creates an authority with a new key. It writes the authority's certificate to dir, where Issue writes too.
func New(dir, name string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	template, err := newTemplate(name)
	if err != nil {
		return nil, err
	}
	template.IsCA, template.BasicConstraintsValid, template.KeyUsage = true, true, x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	a := &Authority{key: key, dir: dir}
	if a.cert, err = x509.ParseCertificate(der); err != nil {
		return nil, trace.Wrap(err)
	}
	return a, writePEM(a.CAFile(), "CERTIFICATE", der)
}

func newTemplate(name string) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: name}, NotBefore: notBefore, NotAfter: notAfter,
	}, nil
}

// CAFile returns the path of the authority's certificate.
func (a *Authority) CAFile() string { return filepath.Join(a.dir, a.cert.Subject.CommonName+"-ca.pem") }

// Issue generates a key, issues a certificate for clients and servers and writes them to the files name.pem
// and name-key.pem, replacing existing files. Hosts are IP addresses or DNS names.
func (a *Authority) Issue(name string, hosts ...string) (certFile, keyFile string, err error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return "", "", trace.Wrap(err)
	}
	return a.IssueFor(key, name, hosts...)
}

// IssueFor is like Issue but uses an existing key.
func (a *Authority) IssueFor(key *ecdsa.PrivateKey, name string, hosts ...string) (certFile, keyFile string, err error) {
	template, err := newTemplate(name)
	if err != nil {
		return "", "", err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	for _, h := range hosts {
		if ip := net.ParseIP(h); ip != nil {
			template.IPAddresses = append(template.IPAddresses, ip)
		} else {
			template.DNSNames = append(template.DNSNames, h)
		}
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return "", "", trace.Wrap(err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return "", "", trace.Wrap(err)
	}
	certFile, keyFile = filepath.Join(a.dir, name+".pem"), filepath.Join(a.dir, name+"-key.pem")
	if err := writePEM(keyFile, "PRIVATE KEY", keyDER); err != nil {
		return "", "", err
	}
	return certFile, keyFile, writePEM(certFile, "CERTIFICATE", der)
}

func writePEM(file, kind string, der []byte) error {
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	return trace.ConvertSystemError(os.WriteFile(file, data, fileMode))
}
