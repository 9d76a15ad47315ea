package daemon

import (
	"context"
	"crypto/tls"
	"net"

	"github.com/gravitational/trace"
	"github.com/turmericworks/turmericworks/internal/transport/network"
	"github.com/turmericworks/turmericworks/internal/transport/tlsconf"
)

// secure holds the TLS configurations of an instance. A nil configuration means plain text.
type secure struct {
	settings TLSSettings
	network  network.Network

	callers, admin, peers *tls.Config
	// peerClient makes the configuration of a connection to another instance.
	peerClient func() (*tls.Config, error)
	// backend holds the authorities of backend servers and the platform; nil means the system's.
	backend *tlsconf.CAPool
}

// newSecure reads the certificates that the settings name.
func newSecure(s TLSSettings, n network.Network) (*secure, error) {
	out := &secure{settings: s, network: n}
	var err error
	if out.callers, err = serverConfig(s.Callers); err != nil {
		return nil, err
	}
	if out.admin, err = serverConfig(s.Admin); err != nil {
		return nil, err
	}
	if s.Peers != (KeyPair{}) {
		if err := out.loadPeers(s); err != nil {
			return nil, err
		}
	}
	if s.BackendCAFile != "" {
		if out.backend, err = tlsconf.LoadCAPool(s.BackendCAFile); err != nil {
			return nil, err
		}
	}
	return out, nil
}

func (s *secure) loadPeers(settings TLSSettings) error {
	pair, err := tlsconf.LoadKeyPair(settings.Peers.CertFile, settings.Peers.KeyFile)
	if err != nil {
		return err
	}
	ca, err := tlsconf.LoadCAPool(settings.PeerCAFile)
	if err != nil {
		return err
	}
	s.peers, s.peerClient = pair.PeerServerConfig(ca), pair.PeerClientConfig(ca)
	return nil
}

// serverConfig returns the configuration of a listener, or nil without a certificate.
func serverConfig(k KeyPair) (*tls.Config, error) {
	if k == (KeyPair{}) {
		return nil, nil
	}
	pair, err := tlsconf.LoadKeyPair(k.CertFile, k.KeyFile)
	if err != nil {
		return nil, err
	}
	return pair.ServerConfig(), nil
}

// dialPlain opens a connection without TLS, where the settings permit that. The addresses of peers and
// backend servers come from the platform and from operators, so the settings' own check cannot see them.
func (s *secure) dialPlain(ctx context.Context, address string) (net.Conn, error) {
	if !s.settings.PlainText && !isLoopback(address) {
		return nil, trace.AccessDenied("plain text to %s is not permitted: it is not a loopback address and tls.plain_text is off", address)
	}
	return s.network.Dial(ctx, address)
}

// dialPeer opens the connection under a peer client, which adds TLS where it is configured.
func (s *secure) dialPeer(ctx context.Context, address string) (net.Conn, error) {
	if s.peerClient == nil {
		return s.dialPlain(ctx, address)
	}
	return s.network.Dial(ctx, address)
}

// dialTLS opens a connection with TLS to a backend server or the platform.
func (s *secure) dialTLS(ctx context.Context, address string) (net.Conn, error) {
	conf, err := s.backend.ClientConfig()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if conf.ServerName, _, err = net.SplitHostPort(address); err != nil {
		return nil, trace.Wrap(err)
	}
	raw, err := s.network.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	conn := tls.Client(raw, conf)
	if err := conn.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		return nil, trace.Wrap(err, "TLS with %s", address)
	}
	return conn, nil
}
