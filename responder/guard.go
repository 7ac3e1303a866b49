package responder

import (
	"context"
	"strings"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	"burdocklink/encoder/wire"
)

// operatorPrefix is the prefix of the methods of the operators' service.
var operatorPrefix = "/" + wire.Operator_ServiceDesc.ServiceName + "/"

// checkCall allows only the system's own processes to call methods that are not for
// operators.
func (r *Responder) checkCall(ctx context.Context, request any, info *grpc.UnaryServerInfo, handle grpc.UnaryHandler) (any, error) {
	if err := r.check(ctx, info.FullMethod); err != nil {
		return nil, err
	}
	return handle(ctx, request)
}

func (r *Responder) checkStream(server any, stream grpc.ServerStream, info *grpc.StreamServerInfo, handle grpc.StreamHandler) error {
	if err := r.check(stream.Context(), info.FullMethod); err != nil {
		return err
	}
	return handle(server, stream)
}

// check requires a verified certificate of all callers except operators, who
// authenticate with a key instead.
func (r *Responder) check(ctx context.Context, method string) error {
	if r.settings.Credentials == nil || strings.HasPrefix(method, operatorPrefix) {
		return nil
	}
	caller, ok := peer.FromContext(ctx)
	if ok && hasCertificate(caller) {
		return nil
	}
	return status.Error(codes.Unauthenticated, "a certificate of the system is needed")
}

func hasCertificate(caller *peer.Peer) bool {
	info, ok := caller.AuthInfo.(credentials.TLSInfo)
	return ok && len(info.State.VerifiedChains) > 0
}
