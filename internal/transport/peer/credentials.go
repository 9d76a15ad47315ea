package peer

import (
	"context"
	"crypto/tls"
	"net"

	"github.com/gravitational/trace"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
)

// clientTLS are credentials that make a new configuration for each connection, so that replaced
// authorities are used without a restart.
type clientTLS struct {
	credentials.TransportCredentials
	conf func() (*tls.Config, error)
}

func clientCredentials(conf func() (*tls.Config, error)) credentials.TransportCredentials {
	if conf == nil {
		return insecure.NewCredentials()
	}
	return &clientTLS{TransportCredentials: credentials.NewTLS(nil), conf: conf}
}

// ClientHandshake implements credentials.TransportCredentials.
func (c *clientTLS) ClientHandshake(ctx context.Context, authority string, raw net.Conn) (net.Conn, credentials.AuthInfo, error) {
	conf, err := c.conf()
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	return credentials.NewTLS(conf).ClientHandshake(ctx, authority, raw)
}

// Clone implements credentials.TransportCredentials.
func (c *clientTLS) Clone() credentials.TransportCredentials {
	return &clientTLS{TransportCredentials: c.TransportCredentials.Clone(), conf: c.conf}
}
