package peer

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/grpc"

	"github.com/turmericworks/turmericworks/internal/protocol/peerpb"
)

// State handles the calls of instances that start while the log service is unavailable. Implementations must be
// safe for concurrent use.
type State interface {
	// ConfigState returns the exported configuration.
	ConfigState() ([]byte, error)
	// Spend spends tokens of this instance's share for one request of the caller.
	Spend(context.Context, *peerpb.SpendRequest) (*peerpb.SpendResponse, error)
}

const (
	// stateChunkBytes is the number of bytes of state in one message, well below maxMessageBytes.
	stateChunkBytes = 1 << 20
	// maxStateBytes is the largest size of a state. A configuration of 93,000 adapters takes about 19 MB.
	maxStateBytes = 256 << 20
	// stateTimeout bounds the transfer of a whole state.
	stateTimeout = 30 * time.Second
)

var errNoState = trace.NotImplemented("this instance gives no state")

// FetchState implements peerpb.PeerServer.
func (s *Service) FetchState(_ *peerpb.FetchStateRequest, out grpc.ServerStreamingServer[peerpb.StateChunk]) error {
	if s.State == nil {
		return errNoState
	}
	data, err := s.State.ConfigState()
	if err != nil {
		return trace.Wrap(err)
	}
	for {
		n := min(len(data), stateChunkBytes)
		chunk := &peerpb.StateChunk{Data: data[:n], Last: n == len(data)}
		if err := out.Send(chunk); err != nil || chunk.GetLast() {
			return trace.Wrap(err)
		}
		data = data[n:]
	}
}

// Spend implements peerpb.PeerServer.
func (s *Service) Spend(ctx context.Context, r *peerpb.SpendRequest) (*peerpb.SpendResponse, error) {
	if s.State == nil {
		return nil, errNoState
	}
	return s.State.Spend(ctx, r)
}

// Spend asks a member to spend tokens for one request. The call is not retried: if its response is lost, the tokens may
// have been spent.
func (c *Clients) Spend(ctx context.Context, addr string, r *peerpb.SpendRequest) (*peerpb.SpendResponse, error) {
	return call(ctx, c, addr, r, peerpb.PeerClient.Spend)
}

// ReadLog asks a member for the records that it has read from a topic of the log service. The member responds within
// CallTimeout.
func (c *Clients) ReadLog(ctx context.Context, addr string, r *peerpb.ReadLogRequest) (*peerpb.ReadLogResponse, error) {
	return call(ctx, c, addr, r, peerpb.PeerClient.ReadLog)
}

// GetConfiguration asks a member for the operators' configuration that it has in force.
func (c *Clients) GetConfiguration(ctx context.Context, addr string, r *peerpb.GetConfigurationRequest) (*peerpb.GetConfigurationResponse, error) {
	return call(ctx, c, addr, r, peerpb.PeerClient.GetConfiguration)
}

// FetchState returns a peer's exported configuration.
func (c *Clients) FetchState(ctx context.Context, addr string) ([]byte, error) {
	conn, err := c.conn(addr)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	stream, err := peerpb.NewPeerClient(conn).FetchState(ctx, &peerpb.FetchStateRequest{})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	var data []byte
	for {
		chunk, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil, trace.ConnectionProblem(err, "the state from the peer at %s ended before its last chunk", addr)
		}
		if err != nil {
			return nil, trace.Wrap(err)
		}
		if data = append(data, chunk.GetData()...); len(data) > maxStateBytes {
			return nil, trace.LimitExceeded("the state from the peer at %s is larger than %d bytes", addr, maxStateBytes)
		}
		if chunk.GetLast() {
			return data, nil
		}
	}
}
