package peer

import (
	"context"
	"crypto/subtle"
	"errors"
	"net/http"

	"connectrpc.com/connect"
)

const (
	keyHeader = "Authorization"
	keyPrefix = "Bearer "
)

// credential is an interceptor that signs outgoing calls with key and refuses incoming ones without it.
type credential struct{ key string }

func signer(key string) connect.Interceptor { return credential{key: key} }

// BearerAuth returns an interceptor that signs the calls of an operator.
func BearerAuth(key string) connect.Interceptor { return signer(key) }

var errKey = errors.New("credential was refused")

func (c credential) check(header http.Header) error {
	given := []byte(header.Get(keyHeader))
	if subtle.ConstantTimeCompare(given, []byte(keyPrefix+c.key)) != 1 {
		return connect.NewError(connect.CodeUnauthenticated, errKey)
	}
	return nil
}

// WrapUnary signs or checks a call.
func (c credential) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
		if request.Spec().IsClient {
			request.Header().Set(keyHeader, keyPrefix+c.key)
		} else if err := c.check(request.Header()); err != nil {
			return nil, err
		}
		return next(ctx, request)
	}
}

// WrapStreamingClient signs a stream.
func (c credential) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return func(ctx context.Context, spec connect.Spec) connect.StreamingClientConn {
		conn := next(ctx, spec)
		conn.RequestHeader().Set(keyHeader, keyPrefix+c.key)
		return conn
	}
}

// WrapStreamingHandler checks a stream.
func (c credential) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return func(ctx context.Context, conn connect.StreamingHandlerConn) error {
		if err := c.check(conn.RequestHeader()); err != nil {
			return err
		}
		return next(ctx, conn)
	}
}
