// Package pool keeps a bounded number of connections to one target and opens some of them before they are needed.
//
// It never returns a connection whose protocol or transaction state is unknown.
package pool

import (
	"context"
	"errors"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/pg"
)

const (
	openTimeout = 2 * time.Second  // for dialing one connection
	idleTimeout = 30 * time.Second // after which an idle connection above the minimum is closed
)

// Dialer opens a connection to the pool's target. Its error is passed to the requests that wait for a connection.
type Dialer func(ctx context.Context) (*pg.Conn, error)

// idleConn is an idle connection and the time after which it is closed unless the minimum of idle connections needs it.
type idleConn struct {
	conn    *pg.Conn
	closeAt time.Time
}

// Pool holds the connections to one target. It is safe for concurrent use.
type Pool struct {
	dial           Dialer
	ctx            context.Context
	cancel         context.CancelFunc
	group          errgroup.Group
	maxConnections int
	minIdle        int

	mu      sync.Mutex
	idle    []idleConn
	inUse   map[*pg.Conn]bool
	open    int // connections in use, idle or being opened
	opening int
	waiters []chan waitResult
	closed  bool
}

// waitResult is what a waiting Get receives: a connection or an error.
type waitResult struct {
	conn *pg.Conn
	err  error
}

// New returns a pool of at most maxConnections connections (at least 1). From the first Get on, it opens connections in
// the background so that minIdle of them are idle.
func New(dial Dialer, maxConnections, minIdle int) *Pool {
	ctx, cancel := context.WithCancel(context.Background())
	return &Pool{
		dial: dial, ctx: ctx, cancel: cancel, maxConnections: max(1, maxConnections), minIdle: minIdle,
		inUse: map[*pg.Conn]bool{},
	}
}

// Get returns an idle connection, or waits until one is released or opened. Its error is a *citronusher.Failure with
// the outcome not run.
func (p *Pool) Get(ctx context.Context) (*pg.Conn, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, citronusher.NewNotRun(citronusher.ReasonLeaving, "the target's pool is closed")
	}
	if conn := p.acquireIdle(); conn != nil {
		p.openMissing()
		p.mu.Unlock()
		return conn, nil
	}
	wait := make(chan waitResult, 1)
	p.waiters = append(p.waiters, wait)
	p.openMissing()
	p.mu.Unlock()
	select {
	case result := <-wait:
		return result.conn, result.err
	case <-ctx.Done():
		return nil, p.cancelWait(wait)
	}
}

// cancelWait removes a waiter whose context ended. A connection that was assigned to it in the meantime returns to the
// pool.
func (p *Pool) cancelWait(wait chan waitResult) error {
	p.mu.Lock()
	for i, w := range p.waiters {
		if w == wait {
			p.waiters = append(p.waiters[:i], p.waiters[i+1:]...)
			break
		}
	}
	p.mu.Unlock()
	select {
	case result := <-wait:
		if result.conn != nil {
			p.Put(result.conn)
		}
	default:
	}
	return citronusher.NewNotRun(citronusher.ReasonDeadline,
		"the request reached its deadline or was cancelled while it waited for a connection")
}

// acquireIdle returns the most recently used idle connection that is usable, or nil. It closes those that are not. The
// caller holds mu.
func (p *Pool) acquireIdle() *pg.Conn {
	for len(p.idle) > 0 {
		last := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if last.conn.Usable() {
			p.inUse[last.conn] = true
			return last.conn
		}
		_ = last.conn.Close()
		p.open--
	}
	return nil
}

// openMissing starts to open connections for the waiters and for the minimum of idle connections. The caller holds mu.
func (p *Pool) openMissing() {
	wanted := len(p.waiters) + p.minIdle - len(p.idle) - p.opening
	for ; wanted > 0 && p.open < p.maxConnections && !p.closed; wanted-- {
		p.open++
		p.opening++
		p.group.Go(p.openOne)
	}
}

// openOne dials one connection and adds it to the pool. On an error, waiters are notified.
func (p *Pool) openOne() error {
	ctx, cancel := context.WithTimeout(p.ctx, openTimeout)
	defer cancel()
	conn, err := p.dial(ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opening--
	if err != nil {
		p.open--
		p.failWaiters(err)
		return nil
	}
	p.makeAvailable(conn)
	return nil
}

// failWaiters returns a dial error to the waiters that exceed the number of dials still in progress. The caller holds mu.
func (p *Pool) failWaiters(err error) {
	var failure *citronusher.Failure
	atLimit := errors.As(err, &failure) && failure.Reason() == citronusher.ReasonLimit && p.open > 0
	if atLimit {
		return // wait for a connection in use to be released
	}
	for len(p.waiters) > p.opening {
		p.waiters[0] <- waitResult{err: err}
		p.waiters = p.waiters[1:]
	}
}

// makeAvailable assigns a connection to the first waiter, or adds it to the idle ones. The caller holds mu.
func (p *Pool) makeAvailable(conn *pg.Conn) {
	if p.closed {
		_ = conn.Close()
		p.open--
		return
	}
	if len(p.waiters) > 0 {
		p.inUse[conn] = true
		p.waiters[0] <- waitResult{conn: conn}
		p.waiters = p.waiters[1:]
		return
	}
	now := time.Now()
	p.idle = append(p.idle, idleConn{conn: conn, closeAt: now.Add(idleTimeout)})
	for len(p.idle) > p.minIdle && now.After(p.idle[0].closeAt) {
		_ = p.idle[0].conn.Close()
		p.idle = p.idle[1:]
		p.open--
	}
}

// Put returns a connection to the pool. A connection that is not usable is closed.
func (p *Pool) Put(conn *pg.Conn) {
	usable := conn.Usable()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.inUse, conn)
	if usable {
		p.makeAvailable(conn)
		return
	}
	_ = conn.Close()
	p.open--
	p.openMissing()
}

// Size returns the number of connections that are in use, idle or being opened.
func (p *Pool) Size() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// CloseIdle closes the idle connections. It is called after the target's role changed or its process ended.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, idle := range p.idle {
		_ = idle.conn.Close()
		p.open--
	}
	p.idle = nil
}

// CloseAll closes all connections, including those in use. It is called after the target lost the primary role: commits on
// these connections could no longer be confirmed.
func (p *Pool) CloseAll() {
	p.CloseIdle()
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.inUse {
		conn.Interrupt()
	}
}

// Close closes the idle connections, fails waiting and later calls of Get, and waits for dials in progress. Connections
// in use are closed when they are returned with Put.
func (p *Pool) Close() error {
	p.mu.Lock()
	p.closed = true
	for _, wait := range p.waiters {
		wait <- waitResult{err: citronusher.NewNotRun(citronusher.ReasonLeaving, "the target's pool is closed")}
	}
	p.waiters = nil
	p.mu.Unlock()
	p.CloseIdle()
	p.cancel()
	return p.group.Wait()
}
