package peer

import (
	"context"
	"crypto/tls"
	"net"

	"github.com/gravitational/trace"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
)

// clientTLS implements credentials.TransportCredentials with a new TLS configuration for each connection, so
// that replaced certificate authorities take effect without a restart.
type clientTLS struct {
	credentials.TransportCredentials
	tlsConfig func() (*tls.Config, error)
}

func clientCredentials(tlsConfig func() (*tls.Config, error)) credentials.TransportCredentials {
	if tlsConfig == nil {
		return insecure.NewCredentials()
	}
	return &clientTLS{TransportCredentials: credentials.NewTLS(nil), tlsConfig: tlsConfig}
}

// ClientHandshake implements credentials.TransportCredentials.
func (c *clientTLS) ClientHandshake(ctx context.Context, authority string, raw net.Conn) (net.Conn, credentials.AuthInfo, error) {
	conf, err := c.tlsConfig()
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	return credentials.NewTLS(conf).ClientHandshake(ctx, authority, raw)
}

// Clone implements credentials.TransportCredentials.
func (c *clientTLS) Clone() credentials.TransportCredentials {
	return &clientTLS{TransportCredentials: c.TransportCredentials.Clone(), tlsConfig: c.tlsConfig}
}
