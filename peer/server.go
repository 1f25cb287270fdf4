package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/sync/errgroup"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/peer/peerpb"
)

const (
	readHeaderTimeout = 5 * time.Second
	shutdownTimeout   = 2 * time.Second // for the calls in progress when the server is closed
	drainPollInterval = 20 * time.Millisecond
)

// Handler handles the calls of peers that the server does not handle itself.
type Handler interface {
	// HandleAnnouncement applies an announcement and returns the daemon's document version.
	HandleAnnouncement(notice *peerpb.AnnounceRequest) uint64
	// Document returns the active version of the configuration document and its content in JSON.
	Document() (version uint64, body []byte, err error)
	// Instances returns the instances that the daemon last read from the platform's list.
	Instances() []citronusher.Instance
	// Cancel cancels a caller's running request.
	Cancel(process, secret uint32)
}

// Config holds the settings and dependencies of a Server.
type Config struct {
	// Address is the IP:PORT to listen on.
	Address string
	// TLS is the TLS configuration; nil for plain TCP.
	TLS *tls.Config
	// PeerKey is the bearer token of peers.
	PeerKey string
	// OperatorKey is the bearer token of operators.
	OperatorKey string
	// Home opens the database connections that run the exchanges.
	Home citronusher.Connector
	// Handler handles the other calls of peers.
	Handler Handler
	// Operator handles the calls of operators; nil to serve none.
	Operator peerpb.OperatorServiceHandler
	// Clock converts the remaining time of requests into deadlines.
	Clock citronusher.Clock
}

// Server serves the calls of peers and operators.
type Server struct {
	config   Config
	listener net.Listener
	http     *http.Server
	group    errgroup.Group
	draining chan struct{}

	mu      sync.Mutex
	streams int
	drained bool
}

// NewServer listens on config.Address and starts to serve. It returns an error when the address cannot be used.
func NewServer(config Config) (*Server, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", config.Address)
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	s := &Server{config: config, listener: listener, draining: make(chan struct{})}
	mux := http.NewServeMux()
	mux.Handle(peerpb.NewPeerServiceHandler(s, connect.WithInterceptors(newBearerInterceptor(config.PeerKey)),
		connect.WithReadMaxBytes(maxMessageBytes)))
	if config.Operator != nil {
		mux.Handle(peerpb.NewOperatorServiceHandler(config.Operator,
			connect.WithInterceptors(newBearerInterceptor(config.OperatorKey)), connect.WithReadMaxBytes(maxMessageBytes)))
	}
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	s.http = &http.Server{
		Handler: mux, ReadHeaderTimeout: readHeaderTimeout, Protocols: &protocols, TLSConfig: config.TLS,
		HTTP2: &http.HTTP2Config{MaxConcurrentStreams: maxStreams},
	}
	s.group.Go(s.listen)
	return s, nil
}

func (s *Server) listen() error {
	var err error
	if s.config.TLS != nil {
		err = s.http.ServeTLS(s.listener, "", "")
	} else {
		err = s.http.Serve(s.listener)
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Address returns the IP:PORT that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Run serves the stream of one caller's exchanges.
func (s *Server) Run(
	ctx context.Context, stream *connect.BidiStream[peerpb.RunRequest, peerpb.RunResponse],
) error {
	s.addStreams(1)
	defer s.addStreams(-1)
	r := &streamRunner{server: s, stream: stream, requests: make(chan *peerpb.RunRequest)}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group errgroup.Group
	group.Go(func() error { return r.read(ctx) })
	defer func() {
		cancel()
		r.closeConn()
	}()
	for {
		draining := s.draining
		if r.pinned {
			draining = nil // an open transaction may continue to its end
		}
		select {
		case request, ok := <-r.requests:
			if !ok {
				return nil
			}
			if err := r.serve(ctx, request); err != nil {
				return err
			}
		case <-draining:
			return connect.NewError(connect.CodeAborted, citronusher.ErrClosed)
		}
	}
}

func (s *Server) addStreams(delta int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams += delta
}

// Drain ends the idle streams and waits until the others have ended, or until ctx ends.
func (s *Server) Drain(ctx context.Context) {
	s.mu.Lock()
	if !s.drained {
		s.drained = true
		close(s.draining)
	}
	s.mu.Unlock()
	for ctx.Err() == nil {
		s.mu.Lock()
		open := s.streams
		s.mu.Unlock()
		if open == 0 {
			return
		}
		select {
		case <-time.After(drainPollInterval):
		case <-ctx.Done():
		}
	}
}

// Close stops listening, waits up to shutdownTimeout for the calls in progress and then closes their connections.
func (s *Server) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := s.http.Shutdown(ctx); err != nil {
		_ = s.http.Close()
	}
	return s.group.Wait()
}

// streamRunner runs the exchanges of one stream.
type streamRunner struct {
	server   *Server
	stream   *connect.BidiStream[peerpb.RunRequest, peerpb.RunResponse]
	requests chan *peerpb.RunRequest
	conn     citronusher.DatabaseConn
	database string
	pinned   bool

	mu      sync.Mutex
	running context.CancelFunc
}

// read receives messages until the stream ends. A cancel message, or the end of the stream, cancels the current exchange.
func (r *streamRunner) read(ctx context.Context) error {
	defer close(r.requests)
	defer r.cancelRunning()
	for {
		request, err := r.stream.Receive()
		if err != nil {
			return nil //nolint:nilerr // any error ends the stream
		}
		if request.GetCancel() {
			r.cancelRunning()
			continue
		}
		select {
		case r.requests <- request:
		case <-ctx.Done():
			return nil
		}
	}
}

func (r *streamRunner) cancelRunning() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running != nil {
		r.running()
	}
}

func (r *streamRunner) setRunning(cancel context.CancelFunc) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running = cancel
}

// serve runs one exchange and sends its result or failure.
func (r *streamRunner) serve(ctx context.Context, message *peerpb.RunRequest) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.setRunning(cancel)
	defer r.setRunning(nil)
	result, err := r.do(ctx, fromRequest(message, r.server.config.Clock.Now()))
	if err != nil {
		r.pinned = false
		return r.stream.Send(&peerpb.RunResponse{Failure: toFailure(citronusher.AsFailure(err))})
	}
	r.pinned = result.Pinned
	return r.stream.Send(&peerpb.RunResponse{Result: toResult(result)})
}

func (r *streamRunner) do(ctx context.Context, request citronusher.Request) (citronusher.Result, error) {
	if r.conn == nil || r.database != request.Database {
		r.closeConn()
		work, err := r.server.config.Home.Open(ctx, request.Database)
		if err != nil {
			return citronusher.Result{}, err
		}
		r.conn, r.database = work, request.Database
	}
	return r.conn.Do(ctx, request, func(raw []byte) error { return r.stream.Send(&peerpb.RunResponse{Rows: raw}) })
}

func (r *streamRunner) closeConn() {
	if r.conn != nil {
		_ = r.conn.Close()
	}
	r.conn = nil
}

// Announce handles an announcement.
func (s *Server) Announce(
	_ context.Context, request *connect.Request[peerpb.AnnounceRequest],
) (*connect.Response[peerpb.AnnounceResponse], error) {
	version := s.config.Handler.HandleAnnouncement(request.Msg)
	return connect.NewResponse(&peerpb.AnnounceResponse{Version: version}), nil
}

// Fetch returns the active configuration document, or the instances.
func (s *Server) Fetch(
	_ context.Context, request *connect.Request[peerpb.FetchRequest],
) (*connect.Response[peerpb.FetchResponse], error) {
	if request.Msg.GetInstances() {
		return connect.NewResponse(&peerpb.FetchResponse{Instances: toInstances(s.config.Handler.Instances())}), nil
	}
	version, body, err := s.config.Handler.Document()
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	packed, err := Compress(body)
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse(&peerpb.FetchResponse{Version: version, Body: packed}), nil
}

// Cancel cancels a caller's running request.
func (s *Server) Cancel(
	_ context.Context, request *connect.Request[peerpb.CancelRequest],
) (*connect.Response[peerpb.CancelResponse], error) {
	s.config.Handler.Cancel(request.Msg.GetProcess(), request.Msg.GetSecret())
	return connect.NewResponse(&peerpb.CancelResponse{}), nil
}
