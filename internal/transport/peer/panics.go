package peer

import (
	"context"
	"runtime/debug"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// PanicFunc is called after a panic in the handler of a call, from any goroutine.
type PanicFunc func(call string, value any, stack []byte)

// recovered ends a panic: the call then fails with codes.Internal. It must be deferred.
func (f PanicFunc) recovered(call string, err *error) {
	value := recover()
	if value == nil {
		return
	}
	*err = status.Error(codes.Internal, "the handler of the call failed")
	if f != nil {
		f(call, value, debug.Stack())
	}
}

func (f PanicFunc) unary(ctx context.Context, r any, info *grpc.UnaryServerInfo, handle grpc.UnaryHandler) (response any, err error) {
	defer f.recovered(info.FullMethod, &err)
	return handle(ctx, r)
}

func (f PanicFunc) stream(s any, stream grpc.ServerStream, info *grpc.StreamServerInfo, handle grpc.StreamHandler) (err error) {
	defer f.recovered(info.FullMethod, &err)
	return handle(s, stream)
}
