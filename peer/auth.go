package peer

import (
	"context"
	"crypto/subtle"
	"errors"
	"net/http"

	"connectrpc.com/connect"
)

const (
	authHeader   = "Authorization"
	bearerPrefix = "Bearer "
)

// bearerInterceptor adds the bearer token key to outgoing calls and rejects incoming calls without it.
type bearerInterceptor struct{ key string }

func newBearerInterceptor(key string) connect.Interceptor { return bearerInterceptor{key: key} }

// BearerAuth returns an interceptor that adds the bearer token key to the calls of an operator.
func BearerAuth(key string) connect.Interceptor { return newBearerInterceptor(key) }

var errBearerToken = errors.New("the bearer token is missing or wrong")

func (c bearerInterceptor) check(header http.Header) error {
	given := []byte(header.Get(authHeader))
	if subtle.ConstantTimeCompare(given, []byte(bearerPrefix+c.key)) != 1 {
		return connect.NewError(connect.CodeUnauthenticated, errBearerToken)
	}
	return nil
}

// WrapUnary adds the token to an outgoing call, or checks it on an incoming call.
func (c bearerInterceptor) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
		if request.Spec().IsClient {
			request.Header().Set(authHeader, bearerPrefix+c.key)
		} else if err := c.check(request.Header()); err != nil {
			return nil, err
		}
		return next(ctx, request)
	}
}

// WrapStreamingClient adds the token to an outgoing stream.
func (c bearerInterceptor) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return func(ctx context.Context, spec connect.Spec) connect.StreamingClientConn {
		conn := next(ctx, spec)
		conn.RequestHeader().Set(authHeader, bearerPrefix+c.key)
		return conn
	}
}

// WrapStreamingHandler checks the token of an incoming stream.
func (c bearerInterceptor) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return func(ctx context.Context, conn connect.StreamingHandlerConn) error {
		if err := c.check(conn.RequestHeader()); err != nil {
			return err
		}
		return next(ctx, conn)
	}
}
