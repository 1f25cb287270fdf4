// Package peer implements the RPCs between daemons, and from operators to daemons, over Connect: statements, announcements
// and operator calls.
//
// It makes no decisions about routes or versions. Its errors state reliably whether a forwarded request may have run.
package peer

import (
	"bytes"
	"compress/gzip"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/peer/peerpb"
	"citronusher.example/citronusher/pg"
)

const (
	dialTimeout     = 500 * time.Millisecond
	callTimeout     = 1 * time.Second  // for an announcement or a configuration document
	idleConnTimeout = 45 * time.Second // after which an unused connection to a peer is closed
	pingIdleDelay   = 20 * time.Second // without received data on a connection
	pingTimeout     = 1 * time.Second
	cancelGrace     = 2 * time.Second // for a home to respond to a cancelled exchange
	maxStreams      = 100_000
	maxMessageBytes = 64 << 20 // of one message between daemons
)

// dialError is the error of a call that was never sent, because no connection could be made.
type dialError struct{ cause error }

func (e *dialError) Error() string { return "dial: " + e.cause.Error() }
func (e *dialError) Unwrap() error { return e.cause }

// Client calls other daemons. Its Peers share one HTTP transport.
type Client struct {
	http   *http.Client
	scheme string
	key    string
	clock  citronusher.Clock

	mu    sync.Mutex
	peers map[string]*Peer
}

// shutdownText is part of the HTTP/2 library's error for a stream that a stopping server did not accept because it came
// after the last one in its GOAWAY frame. The library has no error value for this case.
const shutdownText = "Server's graceful shutdown GOAWAY"

// notDelivered reports whether a call certainly did not reach the handlers of the other daemon.
func notDelivered(err error) bool {
	var dial *dialError
	return errors.As(err, &dial) || strings.Contains(err.Error(), shutdownText)
}

// NewClient returns a client that authenticates with the bearer token key. config is nil for plain TCP.
func NewClient(key string, config *tls.Config, clock citronusher.Clock) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	var protocols http.Protocols
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(config == nil)
	scheme := "http"
	if config != nil {
		scheme = "https"
	}
	transport := &http.Transport{
		Protocols: &protocols, TLSClientConfig: config, IdleConnTimeout: idleConnTimeout,
		HTTP2: &http.HTTP2Config{SendPingTimeout: pingIdleDelay, PingTimeout: pingTimeout},
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, &dialError{cause: err}
			}
			return conn, nil
		},
	}
	return &Client{
		http: &http.Client{Transport: transport}, scheme: scheme, key: key, clock: clock, peers: map[string]*Peer{},
	}
}

// Peer returns the peer at the IP:PORT address.
func (c *Client) Peer(address string) *Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.peers[address]
	if !ok {
		service := peerpb.NewPeerServiceClient(c.http, c.scheme+"://"+address,
			connect.WithInterceptors(newBearerInterceptor(c.key)), connect.WithReadMaxBytes(maxMessageBytes))
		p = &Peer{client: c, address: address, service: service}
		c.peers[address] = p
	}
	return p
}

// Close closes the idle connections.
func (c *Client) Close() error {
	c.http.CloseIdleConnections()
	return nil
}

// Peer is a client for one other daemon. It implements citronusher.Connector.
type Peer struct {
	client  *Client
	address string
	service peerpb.PeerServiceClient
}

// Open returns a database connection. Its stream to the peer is opened by its first exchange.
func (p *Peer) Open(context.Context, string) (citronusher.DatabaseConn, error) {
	return &remoteConn{peer: p}, nil
}

// Announce sends an announcement and returns the peer's document version.
func (p *Peer) Announce(ctx context.Context, n *peerpb.AnnounceRequest) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := p.service.Announce(ctx, connect.NewRequest(n))
	if err != nil {
		return 0, fmt.Errorf("announce to %s: %w", p.address, err)
	}
	return response.Msg.GetVersion(), nil
}

// Fetch returns the peer's configuration document in JSON.
func (p *Peer) Fetch(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := p.service.Fetch(ctx, connect.NewRequest(&peerpb.FetchRequest{}))
	if err != nil {
		return nil, fmt.Errorf("fetch from %s: %w", p.address, err)
	}
	return decompress(response.Msg.GetBody())
}

// Instances returns the instances that the peer last read from the platform's list.
func (p *Peer) Instances(ctx context.Context) ([]citronusher.Instance, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := p.service.Fetch(ctx, connect.NewRequest(&peerpb.FetchRequest{Instances: true}))
	if err != nil {
		return nil, fmt.Errorf("fetch from %s: %w", p.address, err)
	}
	return fromInstances(response.Msg.GetInstances()), nil
}

// Cancel forwards a caller's cancel request.
func (p *Peer) Cancel(ctx context.Context, process, secret uint32) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := p.service.Cancel(ctx, connect.NewRequest(&peerpb.CancelRequest{Process: process, Secret: secret}))
	return err
}

func decompress(body []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("decompress document: %w", err)
	}
	return io.ReadAll(io.LimitReader(reader, maxMessageBytes))
}

// Compress compresses a document with gzip.
func Compress(body []byte) ([]byte, error) {
	var packed bytes.Buffer
	writer := gzip.NewWriter(&packed)
	if _, err := writer.Write(body); err != nil {
		return nil, fmt.Errorf("compress document: %w", err)
	}
	if err := writer.Close(); err != nil {
		return nil, fmt.Errorf("compress document: %w", err)
	}
	return packed.Bytes(), nil
}

// remoteConn forwards a caller's exchanges to a peer over one stream.
type remoteConn struct {
	peer          *Peer
	stream        *runStream
	inTransaction bool // an explicit transaction is open; an implicit one, after a Flush, commits at Sync
}

// runStream is one stream to a home. mu serializes sending, since a cancel message is sent by another goroutine.
type runStream struct {
	*connect.BidiStreamForClient[peerpb.RunRequest, peerpb.RunResponse]
	cancel context.CancelFunc
	mu     sync.Mutex
}

func (s *runStream) send(message *peerpb.RunRequest) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Send(message)
}

// cancelExchange asks the home to cancel the exchange, unless it is done, and aborts the stream when it is not done within
// cancelGrace.
func (s *runStream) cancelExchange(done <-chan struct{}) {
	s.mu.Lock()
	select {
	case <-done:
	default:
		_ = s.Send(&peerpb.RunRequest{Cancel: true})
	}
	s.mu.Unlock()
	select {
	case <-done:
	case <-time.After(cancelGrace):
		s.cancel()
	}
}

// Do sends an exchange and streams the answer into sink.
func (w *remoteConn) Do(
	ctx context.Context, request citronusher.Request, sink citronusher.Sink,
) (citronusher.Result, error) {
	if err := ctx.Err(); err != nil {
		return citronusher.Result{}, pg.NewContextEnded(err)
	}
	if w.stream == nil {
		streamContext, cancel := context.WithCancel(context.WithoutCancel(ctx))
		w.stream = &runStream{BidiStreamForClient: w.peer.service.Run(streamContext), cancel: cancel}
	}
	stream := w.stream
	if err := stream.send(toRequest(request, w.peer.client.clock.Now())); err != nil {
		return citronusher.Result{}, w.connectionLost(request, err)
	}
	bounded, stopBound := context.WithDeadline(ctx, request.Deadline)
	defer stopBound()
	done := make(chan struct{})
	defer close(done)
	stop := context.AfterFunc(bounded, func() { stream.cancelExchange(done) })
	defer stop()
	for {
		response, err := w.stream.Receive()
		if err != nil {
			return citronusher.Result{}, w.connectionLost(request, err)
		}
		if len(response.GetRows()) > 0 {
			if err := sink(response.GetRows()); err != nil {
				_ = w.Close()
				return citronusher.Result{}, citronusher.NewUnknown(citronusher.ReasonPeer, "caller: %v", err)
			}
		}
		if f := response.GetFailure(); f != nil {
			w.inTransaction = false
			return citronusher.Result{}, fromFailure(f)
		}
		if r := response.GetResult(); r != nil {
			result := fromResult(r)
			w.observe(result)
			return result, nil
		}
	}
}

// observe records what a result tells of the transaction that is open.
func (w *remoteConn) observe(result citronusher.Result) {
	w.inTransaction = result.Pinned && result.Status != pg.StatusIdle
}

// connectionLost returns the failure of an exchange whose stream broke, with the outcome as far as it can be determined.
func (w *remoteConn) connectionLost(request citronusher.Request, err error) error {
	if errors.Is(err, io.EOF) {
		if _, cause := w.stream.Receive(); cause != nil {
			err = cause
		}
	}
	inTransaction := w.inTransaction
	_ = w.Close()
	switch {
	case connect.CodeOf(err) == connect.CodeAborted:
		return citronusher.NewNotRun(citronusher.ReasonLeaving, "the home daemon %s is draining and did not accept the request",
			w.peer.address)
	case notDelivered(err), connect.CodeOf(err) == connect.CodeUnauthenticated:
		return citronusher.NewNotRun(citronusher.ReasonPeer, "no connection to the home daemon %s: %v", w.peer.address, err)
	case inTransaction && !pg.MayCommit(request.Exchange):
		return citronusher.NewNotRun(citronusher.ReasonPeer,
			"the connection to the home daemon %s broke before the transaction's commit was sent; it is rolled back: %v",
			w.peer.address, err)
	default:
		return citronusher.NewUnknown(citronusher.ReasonPeer, "the connection to the home daemon %s broke before the answer: %v",
			w.peer.address, err)
	}
}

// Close ends the stream. The home then rolls back an open transaction.
func (w *remoteConn) Close() error {
	if w.stream == nil {
		return nil
	}
	err := w.stream.CloseRequest()
	w.stream.cancel()
	w.stream, w.inTransaction = nil, false
	return err
}
