package daemon

import (
	"context"
	"crypto/tls"
	"net"

	"github.com/gravitational/trace"
	"github.com/turmericworks/turmericworks/internal/transport/network"
	"github.com/turmericworks/turmericworks/internal/transport/tlsconf"
)

// tlsConfigs holds the TLS configurations of an instance. A nil configuration means plain text.
type tlsConfigs struct {
	settings TLSSettings
	network  network.Network

	callers, admin, peers *tls.Config
	// peerClient returns the configuration for connections to other instances.
	peerClient func() (*tls.Config, error)
	// backendCAs holds the certificate authorities of backend servers and the platform; nil means the
	// system's.
	backendCAs *tlsconf.CAPool
}

// newTLSConfigs loads the certificates that the settings name.
func newTLSConfigs(s TLSSettings, n network.Network) (*tlsConfigs, error) {
	out := &tlsConfigs{settings: s, network: n}
	var err error
	if out.callers, err = serverConfig(s.Callers); err != nil {
		return nil, err
	}
	if out.admin, err = serverConfig(s.Admin); err != nil {
		return nil, err
	}
	if s.Peers != (KeyPair{}) {
		if err := out.loadPeerConfigs(s); err != nil {
			return nil, err
		}
	}
	if s.BackendCAFile != "" {
		if out.backendCAs, err = tlsconf.LoadCAPool(s.BackendCAFile); err != nil {
			return nil, err
		}
	}
	return out, nil
}

func (c *tlsConfigs) loadPeerConfigs(settings TLSSettings) error {
	pair, err := tlsconf.LoadKeyPair(settings.Peers.CertFile, settings.Peers.KeyFile)
	if err != nil {
		return err
	}
	ca, err := tlsconf.LoadCAPool(settings.PeerCAFile)
	if err != nil {
		return err
	}
	c.peers, c.peerClient = pair.PeerServerConfig(ca), pair.PeerClientConfig(ca)
	return nil
}

// over returns the configurations over another network.
func (c *tlsConfigs) over(n network.Network) *tlsConfigs {
	out := *c
	out.network = n
	return &out
}

// serverConfig returns the configuration of a listener, or nil if it has no certificate.
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

// dialPlain opens a connection without TLS if the settings permit it. The check is made here because the
// addresses of peers and backend servers come from the platform and from operators, not from the settings.
func (c *tlsConfigs) dialPlain(ctx context.Context, address string) (net.Conn, error) {
	if !c.settings.PlainText && !isLoopback(address) {
		return nil, trace.AccessDenied("plain text to %s is not permitted: it is not a loopback address and tls.plain_text is off", address)
	}
	return c.network.Dial(ctx, address)
}

// dialPeer opens the connection that a peer client uses. The client adds TLS if it is configured.
func (c *tlsConfigs) dialPeer(ctx context.Context, address string) (net.Conn, error) {
	if c.peerClient == nil {
		return c.dialPlain(ctx, address)
	}
	return c.network.Dial(ctx, address)
}

// dialTLS opens a TLS connection to a backend server or the platform.
func (c *tlsConfigs) dialTLS(ctx context.Context, address string) (net.Conn, error) {
	conf, err := c.backendCAs.ClientConfig()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if conf.ServerName, _, err = net.SplitHostPort(address); err != nil {
		return nil, trace.Wrap(err)
	}
	raw, err := c.network.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	conn := tls.Client(raw, conf)
	if err := conn.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		return nil, trace.Wrap(err, "TLS handshake with %s", address)
	}
	return conn, nil
}
