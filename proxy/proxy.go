// Package proxy serves callers' sessions over typed statements, independently of the callers' protocol. It keeps the
// session values, prepared statements and transaction state of each session, looks up the route of each statement,
// passes the statement to an executor and returns the answer or the failure to the caller.
package proxy

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/guard"
	"citronusher.example/citronusher/meter"
)

const (
	acceptRetryDelay  = 20 * time.Millisecond // before Accept is called again after an error
	drainPollInterval = 20 * time.Millisecond
)

// Config holds what the proxy needs from its daemon.
type Config struct {
	// Address is the IP:PORT to listen on.
	Address string
	// NewCaller wraps an accepted connection in its protocol.
	NewCaller func(net.Conn) citronusher.Caller
	// Plan returns the active plan.
	Plan func() citronusher.Plan
	// NewExecutor returns a new executor for the statements of one session.
	NewExecutor func() citronusher.Executor
	// Clock is the clock for deadlines and latencies.
	Clock citronusher.MonotonicClock
	// Logger receives the log events.
	Logger *slog.Logger
	// Meter receives the request metrics.
	Meter *meter.Meter
}

// Proxy listens for callers and serves their sessions.
type Proxy struct {
	config   Config
	listener net.Listener
	tasks    errgroup.Group

	mu       sync.Mutex
	sessions map[*session]struct{}
	draining bool

	// rollingBack is set when transactions are rolled back for the daemon's stop; from then on no statement is passed on.
	rollingBack atomic.Bool
	// stateBytes is the size of the session values and prepared statements of all sessions.
	stateBytes atomic.Int64
}

// New listens on config.Address and starts to accept callers. It returns an error when the address cannot be used.
func New(config Config) (*Proxy, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", config.Address)
	if err != nil {
		return nil, fmt.Errorf("listen for callers: %w", err)
	}
	p := &Proxy{config: config, listener: listener, sessions: map[*session]struct{}{}}
	p.tasks.Go(p.accept)
	return p, nil
}

// Address returns the IP:PORT that the proxy listens on.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

func (p *Proxy) accept() error {
	for {
		conn, err := p.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			time.Sleep(acceptRetryDelay) // for instance when the process is out of file descriptors
			continue
		}
		p.tasks.Go(func() error {
			p.serve(conn)
			return nil
		})
	}
}

func (p *Proxy) serve(conn net.Conn) {
	s := newSession(p, p.config.NewCaller(conn))
	p.mu.Lock()
	p.sessions[s] = struct{}{}
	if p.draining {
		s.caller.Interrupt()
	}
	p.mu.Unlock()
	p.config.Meter.Callers().Inc(1)
	if guard.Run(p.config.Logger, "session", s.run) {
		guard.Run(p.config.Logger, "end of session", s.abort)
	}
	p.config.Meter.Callers().Dec(1)
	p.mu.Lock()
	delete(p.sessions, s)
	p.mu.Unlock()
}

// StopAccepting closes the listener and ends every session once it is between requests and outside a transaction.
func (p *Proxy) StopAccepting() error {
	err := p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.draining = true
	for s := range p.sessions {
		s.interruptIfIdle()
	}
	return err
}

// Drain waits until every session has ended, or until ctx ends.
func (p *Proxy) Drain(ctx context.Context) {
	for ctx.Err() == nil && !p.Idle() {
		select {
		case <-time.After(drainPollInterval):
		case <-ctx.Done():
		}
	}
}

// Idle reports whether no session is open.
func (p *Proxy) Idle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.sessions) == 0
}

func (p *Proxy) isDraining() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.draining
}

// RollBackTransactions rolls back every open transaction, so that the sessions can end: at once those that are between two
// statements, and those of which a statement is running when it has been answered. From now on new statements are refused.
// It returns when the former are rolled back.
func (p *Proxy) RollBackTransactions() {
	p.rollingBack.Store(true)
	var tasks errgroup.Group
	for _, s := range p.openSessions() {
		tasks.Go(func() error {
			s.tryRollBack()
			return nil
		})
	}
	_ = tasks.Wait() // the tasks return no errors
}

func (p *Proxy) openSessions() []*session {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Collect(maps.Keys(p.sessions))
}

// Close closes the listener and every session, and waits until the sessions have ended.
func (p *Proxy) Close() error {
	err := p.listener.Close()
	if errors.Is(err, net.ErrClosed) {
		err = nil
	}
	p.mu.Lock()
	p.draining = true
	for s := range p.sessions {
		s.caller.Interrupt()
		if closeErr := s.caller.Close(); closeErr != nil && !errors.Is(closeErr, net.ErrClosed) {
			err = errors.Join(err, closeErr)
		}
	}
	p.mu.Unlock()
	return errors.Join(err, p.tasks.Wait())
}
