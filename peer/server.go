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
	headerLimit = 5 * time.Second
	stopLimit   = 2 * time.Second // for calls in progress at the end of Close
	drainPoll   = 20 * time.Millisecond
)

// Handler is what a daemon does for its peers.
type Handler interface {
	// HandleAnnouncement takes a notice and returns the daemon's document version.
	HandleAnnouncement(notice *peerpb.AnnounceRequest) uint64
	// Document returns the version in force and its content in JSON.
	Document() (version uint64, body []byte, err error)
	// Instances returns the instances as the daemon last read them.
	Instances() []citronusher.Instance
	// Cancel cancels a caller's running request.
	Cancel(process, secret uint32)
}

// Config holds what a server needs from its daemon.
type Config struct {
	// Address is the IP:PORT to listen on.
	Address string
	// TLS is the certificate; nil for plain TCP.
	TLS *tls.Config
	// PeerKey is the credential of peers.
	PeerKey string
	// OperatorKey is the credential of operators.
	OperatorKey string
	// Home serves the exchanges.
	Home citronusher.Connector
	// Handler serves the other calls of peers.
	Handler Handler
	// Operator serves the calls of operators.
	Operator peerpb.OperatorServiceHandler
	// Clock gives the time.
	Clock citronusher.Clock
}

// Server listens for peers and operators.
type Server struct {
	config   Config
	listener net.Listener
	http     *http.Server
	group    errgroup.Group
	leaving  chan struct{}

	mu      sync.Mutex
	streams int
	drained bool
}

// NewServer starts listening.
func NewServer(config Config) (*Server, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", config.Address)
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	s := &Server{config: config, listener: listener, leaving: make(chan struct{})}
	mux := http.NewServeMux()
	mux.Handle(peerpb.NewPeerServiceHandler(s, connect.WithInterceptors(signer(config.PeerKey)),
		connect.WithReadMaxBytes(maxBody)))
	if config.Operator != nil {
		mux.Handle(peerpb.NewOperatorServiceHandler(config.Operator,
			connect.WithInterceptors(signer(config.OperatorKey)), connect.WithReadMaxBytes(maxBody)))
	}
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	s.http = &http.Server{
		Handler: mux, ReadHeaderTimeout: headerLimit, Protocols: &protocols, TLSConfig: config.TLS,
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

// Run serves one caller's exchanges.
func (s *Server) Run(
	ctx context.Context, stream *connect.BidiStream[peerpb.RunRequest, peerpb.RunResponse],
) error {
	s.count(1)
	defer s.count(-1)
	r := &runner{server: s, stream: stream, requests: make(chan *peerpb.RunRequest)}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group errgroup.Group
	group.Go(func() error { return r.read(ctx) })
	defer func() {
		cancel()
		r.dropWork()
	}()
	for {
		leaving := s.leaving
		if r.pinned {
			leaving = nil // an open transaction may end
		}
		select {
		case request, ok := <-r.requests:
			if !ok {
				return nil
			}
			if err := r.serve(ctx, request); err != nil {
				return err
			}
		case <-leaving:
			return connect.NewError(connect.CodeAborted, citronusher.ErrClosed)
		}
	}
}

func (s *Server) count(delta int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams += delta
}

// Drain ends the idle streams and waits for the others, or until ctx ends.
func (s *Server) Drain(ctx context.Context) {
	s.mu.Lock()
	if !s.drained {
		s.drained = true
		close(s.leaving)
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
		case <-time.After(drainPoll):
		case <-ctx.Done():
		}
	}
}

// Close stops listening and waits for the calls in progress.
func (s *Server) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), stopLimit)
	defer cancel()
	if err := s.http.Shutdown(ctx); err != nil {
		_ = s.http.Close()
	}
	return s.group.Wait()
}

// runner serves one stream.
type runner struct {
	server   *Server
	stream   *connect.BidiStream[peerpb.RunRequest, peerpb.RunResponse]
	requests chan *peerpb.RunRequest
	work     citronusher.DatabaseConn
	database string
	pinned   bool

	mu      sync.Mutex
	running context.CancelFunc
}

// read takes messages until the stream ends. A cancel message, or the stream's end, cancels the exchange in progress.
func (r *runner) read(ctx context.Context) error {
	defer close(r.requests)
	defer r.cancelRunning()
	for {
		request, err := r.stream.Receive()
		if err != nil {
			return nil //nolint:nilerr // the end of the stream, whatever its cause
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

func (r *runner) cancelRunning() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running != nil {
		r.running()
	}
}

func (r *runner) setRunning(cancel context.CancelFunc) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running = cancel
}

// serve runs one exchange and sends its answer.
func (r *runner) serve(ctx context.Context, message *peerpb.RunRequest) error {
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

func (r *runner) do(ctx context.Context, request citronusher.Request) (citronusher.Result, error) {
	if r.work == nil || r.database != request.Database {
		r.dropWork()
		work, err := r.server.config.Home.Open(ctx, request.Database)
		if err != nil {
			return citronusher.Result{}, err
		}
		r.work, r.database = work, request.Database
	}
	return r.work.Do(ctx, request, func(raw []byte) error { return r.stream.Send(&peerpb.RunResponse{Rows: raw}) })
}

func (r *runner) dropWork() {
	if r.work != nil {
		_ = r.work.Close()
	}
	r.work = nil
}

// Announce takes a notice.
func (s *Server) Announce(
	_ context.Context, request *connect.Request[peerpb.AnnounceRequest],
) (*connect.Response[peerpb.AnnounceResponse], error) {
	version := s.config.Handler.HandleAnnouncement(request.Msg)
	return connect.NewResponse(&peerpb.AnnounceResponse{Version: version}), nil
}

// Fetch returns the document in force, or the instances.
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
