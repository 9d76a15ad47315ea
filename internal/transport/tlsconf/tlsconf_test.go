package tlsconf

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/turmericworks/turmericworks/internal/standin/authority"
	"github.com/turmericworks/turmericworks/internal/standin/bubble"
)

// connect makes a handshake over loopback, receives a byte and returns the serial number of the server's
// certificate.
func connect(server, client *tls.Config) (string, error) {
	l, err := tls.Listen("tcp", "127.0.0.1:0", server)
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	go func() {
		if c, err := l.Accept(); err == nil {
			_, _ = c.Write([]byte{1})
			_ = c.Close()
		}
	}()
	raw, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		return "", err
	}
	c := tls.Client(raw, client)
	defer func() { _ = c.Close() }()
	// A server reports that it refuses the client's certificate only after the client's side of the handshake.
	if _, err := c.Read(make([]byte, 1)); err != nil {
		return "", err
	}
	return c.ConnectionState().PeerCertificates[0].SerialNumber.String(), nil
}

func must[T any](v T, err error) T {
	So(err, ShouldBeNil)
	return v
}

func clientConfig(p *CAPool) *tls.Config {
	conf := must(p.ClientConfig())
	conf.ServerName = "127.0.0.1"
	return conf
}

// TestRefusalsAndReload guards against accepting a connection with a certificate of another authority, without a
// client certificate or with an old version of TLS, and against replaced files that are not reloaded:
// certificates, also when the key stays the same, and authorities.
func TestRefusalsAndReload(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		Convey("TLS between two processes", t, func() {
			dir, other := t.TempDir(), t.TempDir()
			ours := must(authority.New(dir, "ours"))
			foreign := must(authority.New(other, "foreign"))
			key := must(ecdsa.GenerateKey(elliptic.P256(), rand.Reader))
			certFile, keyFile, err := ours.IssueFor(key, "a", "127.0.0.1")
			So(err, ShouldBeNil)
			pair, pool := must(LoadKeyPair(certFile, keyFile)), must(LoadCAPool(ours.CAFile()))
			foreignCert, foreignKey, err := foreign.Issue("b", "127.0.0.1")
			So(err, ShouldBeNil)
			foreignPair, foreignPool := must(LoadKeyPair(foreignCert, foreignKey)), must(LoadCAPool(foreign.CAFile()))
			peer := func(p *KeyPair, ca *CAPool) *tls.Config {
				conf := must(p.PeerClientConfig(ca)())
				conf.ServerName = "127.0.0.1"
				return conf
			}
			server := pair.PeerServerConfig(pool)

			firstSerial, err := connect(server, peer(pair, pool))
			So(err, ShouldBeNil)
			_, err = connect(server, peer(foreignPair, pool))
			So(err, ShouldNotBeNil)
			_, err = connect(server, clientConfig(pool))
			So(err, ShouldNotBeNil)
			_, err = connect(foreignPair.ServerConfig(), clientConfig(pool))
			So(err, ShouldNotBeNil)
			tls12Client := peer(pair, pool)
			tls12Client.MinVersion, tls12Client.MaxVersion = tls.VersionTLS12, tls.VersionTLS12
			_, err = connect(server, tls12Client)
			So(err, ShouldNotBeNil)
			tls11Client := clientConfig(pool)
			tls11Client.MinVersion, tls11Client.MaxVersion = tls.VersionTLS11, tls.VersionTLS11
			_, err = connect(pair.ServerConfig(), tls11Client)
			So(err, ShouldNotBeNil)

			_, _, err = ours.IssueFor(key, "a", "127.0.0.1")
			So(err, ShouldBeNil)
			time.Sleep(recheckInterval)
			secondSerial := must(connect(server, peer(pair, pool)))
			So(secondSerial, ShouldNotEqual, firstSerial)

			replaced := must(authority.New(dir, "ours"))
			So(replaced.CAFile(), ShouldEqual, ours.CAFile())
			_, _, err = replaced.Issue("a", "127.0.0.1")
			So(err, ShouldBeNil)
			time.Sleep(recheckInterval)
			thirdSerial := must(connect(server, peer(pair, pool)))
			So(thirdSerial, ShouldNotEqual, secondSerial)
			_, err = connect(server, peer(foreignPair, foreignPool))
			So(err, ShouldNotBeNil)
		})
	})
}
