package peer

import (
	"context"
	"runtime/debug"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// errPanic is the result of a call whose handler has panicked.
var errPanic = status.Error(codes.Internal, "the instance failed")

// RecoverPanics returns the options of a server whose calls fail if their handlers panic; grpc-go would end the process. The
// handlers must release their locks on a panic.
func RecoverPanics(log zerolog.Logger) []grpc.ServerOption {
	recovered := func(method string, err *error) {
		if p := recover(); p != nil {
			log.Error().Str("method", method).Interface("panic", p).Bytes("stack", debug.Stack()).Msg("a call of another instance failed with a panic")
			*err = errPanic
		}
	}
	return []grpc.ServerOption{
		grpc.ChainUnaryInterceptor(func(ctx context.Context, r any, info *grpc.UnaryServerInfo, h grpc.UnaryHandler) (resp any, err error) {
			defer recovered(info.FullMethod, &err)
			return h(ctx, r)
		}),
		grpc.ChainStreamInterceptor(func(srv any, out grpc.ServerStream, info *grpc.StreamServerInfo, h grpc.StreamHandler) (err error) {
			defer recovered(info.FullMethod, &err)
			return h(srv, out)
		}),
	}
}
