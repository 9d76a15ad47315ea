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

// connect does a handshake over loopback, exchanges a byte and returns the serial number that the server
// showed.
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
	// A server tells its refusal of a client's certificate only after the client's side of the handshake.
	if _, err := c.Read(make([]byte, 1)); err != nil {
		return "", err
	}
	return c.ConnectionState().PeerCertificates[0].SerialNumber.String(), nil
}

func must[T any](v T, err error) T {
	So(err, ShouldBeNil)
	return v
}

func clientOf(p *CAPool) *tls.Config {
	conf := must(p.ClientConfig())
	conf.ServerName = "127.0.0.1"
	return conf
}

// Guards against a connection with a certificate of a foreign authority, without a client certificate or
// with an old version of TLS, and against replaced files that are not noticed: also when only the
// certificate changes, and for authorities.
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
			strangerCert, strangerKey, err := foreign.Issue("b", "127.0.0.1")
			So(err, ShouldBeNil)
			stranger, strangers := must(LoadKeyPair(strangerCert, strangerKey)), must(LoadCAPool(foreign.CAFile()))
			peer := func(p *KeyPair, ca *CAPool) *tls.Config {
				conf := must(p.PeerClientConfig(ca)())
				conf.ServerName = "127.0.0.1"
				return conf
			}
			server := pair.PeerServerConfig(pool)

			first, err := connect(server, peer(pair, pool))
			So(err, ShouldBeNil)
			_, err = connect(server, peer(stranger, pool))
			So(err, ShouldNotBeNil)
			_, err = connect(server, clientOf(pool))
			So(err, ShouldNotBeNil)
			_, err = connect(stranger.ServerConfig(), clientOf(pool))
			So(err, ShouldNotBeNil)
			old := peer(pair, pool)
			old.MinVersion, old.MaxVersion = tls.VersionTLS12, tls.VersionTLS12
			_, err = connect(server, old)
			So(err, ShouldNotBeNil)
			older := clientOf(pool)
			older.MinVersion, older.MaxVersion = tls.VersionTLS11, tls.VersionTLS11
			_, err = connect(pair.ServerConfig(), older)
			So(err, ShouldNotBeNil)

			_, _, err = ours.IssueFor(key, "a", "127.0.0.1")
			So(err, ShouldBeNil)
			time.Sleep(recheckInterval)
			second := must(connect(server, peer(pair, pool)))
			So(second, ShouldNotEqual, first)

			replaced := must(authority.New(dir, "ours"))
			So(replaced.CAFile(), ShouldEqual, ours.CAFile())
			_, _, err = replaced.Issue("a", "127.0.0.1")
			So(err, ShouldBeNil)
			time.Sleep(recheckInterval)
			third := must(connect(server, peer(pair, pool)))
			So(third, ShouldNotEqual, second)
			_, err = connect(server, peer(stranger, strangers))
			So(err, ShouldNotBeNil)
		})
	})
}
