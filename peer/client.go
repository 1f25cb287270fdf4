// Package peer carries statements, notices and operators' calls between daemons over Connect.
//
// It decides nothing about routes or versions; it says truthfully whether a request that it carried can have run.
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
	dialLimit   = 500 * time.Millisecond
	callLimit   = 1 * time.Second  // for a notice or a document
	idleLimit   = 45 * time.Second // after which an unused connection to a peer is closed
	pingAfter   = 20 * time.Second // of silence on a connection
	pingLimit   = 1 * time.Second
	cancelGrace = 2 * time.Second // for a home to answer a cancelled exchange
	maxStreams  = 100_000
	maxBody     = 64 << 20 // bytes of one message between daemons
)

// dialError marks a call that never left this daemon.
type dialError struct{ cause error }

func (e *dialError) Error() string { return "dial: " + e.cause.Error() }
func (e *dialError) Unwrap() error { return e.cause }

// Client makes calls to peers.
type Client struct {
	http   *http.Client
	scheme string
	key    string
	clock  citronusher.Clock

	mu    sync.Mutex
	peers map[string]*Peer
}

// shutdownText is how the HTTP/2 library says that a stream came after the last one that a stopping server took. It has
// no error value for that.
const shutdownText = "Server's graceful shutdown GOAWAY"

// untaken reports whether a call certainly did not reach the other daemon's handlers.
func untaken(err error) bool {
	var dial *dialError
	return errors.As(err, &dial) || strings.Contains(err.Error(), shutdownText)
}

// NewClient returns a client that signs in with key. config is nil for plain TCP.
func NewClient(key string, config *tls.Config, clock citronusher.Clock) *Client {
	dialer := &net.Dialer{Timeout: dialLimit}
	var protocols http.Protocols
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(config == nil)
	scheme := "http"
	if config != nil {
		scheme = "https"
	}
	transport := &http.Transport{
		Protocols: &protocols, TLSClientConfig: config, IdleConnTimeout: idleLimit,
		HTTP2: &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingLimit},
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
			connect.WithInterceptors(signer(c.key)), connect.WithReadMaxBytes(maxBody))
		p = &Peer{client: c, address: address, service: service}
		c.peers[address] = p
	}
	return p
}

// Close drops the idle connections.
func (c *Client) Close() error {
	c.http.CloseIdleConnections()
	return nil
}

// Peer is another daemon. It implements citronusher.Connector.
type Peer struct {
	client  *Client
	address string
	service peerpb.PeerServiceClient
}

// Open returns a work whose stream begins with its first exchange.
func (p *Peer) Open(context.Context, string) (citronusher.DatabaseConn, error) {
	return &remoteWork{peer: p}, nil
}

// Announce passes a notice on and returns the peer's document version.
func (p *Peer) Announce(ctx context.Context, n *peerpb.AnnounceRequest) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	response, err := p.service.Announce(ctx, connect.NewRequest(n))
	if err != nil {
		return 0, fmt.Errorf("announce to %s: %w", p.address, err)
	}
	return response.Msg.GetVersion(), nil
}

// Fetch returns the peer's document in JSON.
func (p *Peer) Fetch(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	response, err := p.service.Fetch(ctx, connect.NewRequest(&peerpb.FetchRequest{}))
	if err != nil {
		return nil, fmt.Errorf("fetch from %s: %w", p.address, err)
	}
	return unpack(response.Msg.GetBody())
}

// Instances returns the instances that the peer has listed.
func (p *Peer) Instances(ctx context.Context) ([]citronusher.Instance, error) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	response, err := p.service.Fetch(ctx, connect.NewRequest(&peerpb.FetchRequest{Instances: true}))
	if err != nil {
		return nil, fmt.Errorf("fetch from %s: %w", p.address, err)
	}
	return fromInstances(response.Msg.GetInstances()), nil
}

// Cancel passes a caller's cancel request on.
func (p *Peer) Cancel(ctx context.Context, process, secret uint32) error {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	_, err := p.service.Cancel(ctx, connect.NewRequest(&peerpb.CancelRequest{Process: process, Secret: secret}))
	return err
}

func unpack(body []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("document: %w", err)
	}
	return io.ReadAll(io.LimitReader(reader, maxBody))
}

// Compress compresses a document for another daemon.
func Compress(body []byte) ([]byte, error) {
	var packed bytes.Buffer
	writer := gzip.NewWriter(&packed)
	if _, err := writer.Write(body); err != nil {
		return nil, fmt.Errorf("document: %w", err)
	}
	if err := writer.Close(); err != nil {
		return nil, fmt.Errorf("document: %w", err)
	}
	return packed.Bytes(), nil
}

// remoteWork carries a caller's exchanges to a peer over one stream.
type remoteWork struct {
	peer   *Peer
	stream *runStream
	pinned bool
}

// runStream is one stream to a home. Messages are sent one at a time.
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

// giveUp asks the home to cancel the exchange, unless it is done, and breaks the stream when no answer comes soon.
func (s *runStream) giveUp(done <-chan struct{}) {
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

// Do sends an exchange and passes the answer on.
func (w *remoteWork) Do(
	ctx context.Context, request citronusher.Request, sink citronusher.Sink,
) (citronusher.Result, error) {
	if err := ctx.Err(); err != nil {
		return citronusher.Result{}, pg.Ended(err)
	}
	if w.stream == nil {
		streamContext, cancel := context.WithCancel(context.WithoutCancel(ctx))
		w.stream = &runStream{BidiStreamForClient: w.peer.service.Run(streamContext), cancel: cancel}
	}
	stream := w.stream
	if err := stream.send(toRequest(request, w.peer.client.clock.Now())); err != nil {
		return citronusher.Result{}, w.broken(request, err)
	}
	bounded, stopBound := context.WithDeadline(ctx, request.Deadline)
	defer stopBound()
	done := make(chan struct{})
	defer close(done)
	stop := context.AfterFunc(bounded, func() { stream.giveUp(done) })
	defer stop()
	for {
		response, err := w.stream.Receive()
		if err != nil {
			return citronusher.Result{}, w.broken(request, err)
		}
		if len(response.GetRows()) > 0 {
			if err := sink(response.GetRows()); err != nil {
				_ = w.Close()
				return citronusher.Result{}, citronusher.NewUnknown(citronusher.ReasonPeer, "caller: %v", err)
			}
		}
		if f := response.GetFailure(); f != nil {
			w.pinned = false
			return citronusher.Result{}, fromFailure(f)
		}
		if r := response.GetResult(); r != nil {
			result := fromResult(r)
			w.pinned = result.Pinned
			return result, nil
		}
	}
}

// broken says what is known of an exchange whose stream broke.
func (w *remoteWork) broken(request citronusher.Request, err error) error {
	if errors.Is(err, io.EOF) {
		if _, cause := w.stream.Receive(); cause != nil {
			err = cause
		}
	}
	pinned := w.pinned
	_ = w.Close()
	switch {
	case connect.CodeOf(err) == connect.CodeAborted:
		return citronusher.NewNotRun(citronusher.ReasonLeaving, "the home daemon %s is stopping and did not take the request",
			w.peer.address)
	case untaken(err), connect.CodeOf(err) == connect.CodeUnauthenticated:
		return citronusher.NewNotRun(citronusher.ReasonPeer, "no connection to the home daemon %s: %v", w.peer.address, err)
	case pinned && !pg.MayCommit(request.Exchange):
		return citronusher.NewNotRun(citronusher.ReasonPeer,
			"the connection to the home daemon %s broke before the transaction's commit was sent; it is rolled back: %v",
			w.peer.address, err)
	default:
		return citronusher.NewUnknown(citronusher.ReasonPeer, "the connection to the home daemon %s broke before the answer: %v",
			w.peer.address, err)
	}
}

// Close ends the stream; the home rolls an open transaction back.
func (w *remoteWork) Close() error {
	if w.stream == nil {
		return nil
	}
	err := w.stream.CloseRequest()
	w.stream.cancel()
	w.stream, w.pinned = nil, false
	return err
}
