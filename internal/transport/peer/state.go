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

// State answers instances that start while the log is down. Implementations must be safe for concurrent
// use.
type State interface {
	// ConfigState returns the exported configuration.
	ConfigState() ([]byte, error)
	Spend(context.Context, *peerpb.SpendRequest) (*peerpb.SpendResponse, error)
}

const (
	// stateChunk is the size of one message of a state, well below maxMessage.
	stateChunk = 1 << 20
	// maxState bounds a state in bytes. A configuration of 93,000 adapters takes about 19 MB.
	maxState = 256 << 20
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
		n := min(len(data), stateChunk)
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

// Spend asks a member to spend tokens for one request. It is not repeated: a lost answer may have spent.
func (c *Clients) Spend(ctx context.Context, addr string, r *peerpb.SpendRequest) (*peerpb.SpendResponse, error) {
	return call(ctx, c, addr, r, peerpb.PeerClient.Spend)
}

// ReadLog asks a member for what it read of a topic of the log service. It answers within CallTimeout.
func (c *Clients) ReadLog(ctx context.Context, addr string, r *peerpb.ReadLogRequest) (*peerpb.ReadLogResponse, error) {
	return call(ctx, c, addr, r, peerpb.PeerClient.ReadLog)
}

// FetchState returns a peer's exported configuration.
func (c *Clients) FetchState(ctx context.Context, addr string) ([]byte, error) {
	k, err := c.conn(addr)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	stream, err := peerpb.NewPeerClient(k).FetchState(ctx, &peerpb.FetchStateRequest{})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	var data []byte
	for {
		chunk, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil, trace.ConnectionProblem(err, "the state of the peer at %s ended early", addr)
		}
		if err != nil {
			return nil, trace.Wrap(err)
		}
		if data = append(data, chunk.GetData()...); len(data) > maxState {
			return nil, trace.LimitExceeded("the state of the peer at %s is larger than %d bytes", addr, maxState)
		}
		if chunk.GetLast() {
			return data, nil
		}
	}
}
