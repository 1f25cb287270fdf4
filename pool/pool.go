// Package pool keeps connections to one target, opened ahead of need, within a fixed share.
//
// It never hands out a connection whose state is unknown.
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
	openLimit = 2 * time.Second  // for opening one connection
	idleLimit = 30 * time.Second // after which a spare connection is closed
)

// Dialer opens a connection to the pool's target.
type Dialer func(ctx context.Context) (*pg.Conn, error)

type idleConn struct {
	conn    *pg.Conn
	closeAt time.Time
}

// Pool is safe for concurrent use.
type Pool struct {
	dial   Dialer
	ctx    context.Context
	cancel context.CancelFunc
	group  errgroup.Group
	share  int
	spare  int

	mu      sync.Mutex
	idle    []idleConn
	inUse   map[*pg.Conn]bool
	open    int // connections in use, idle or being opened
	opening int
	waiters []chan waitResult
	closed  bool
}

type waitResult struct {
	conn *pg.Conn
	err  error
}

// New returns a pool of at most share connections that keeps spare of them open ahead of need once it was used.
func New(dial Dialer, share, spare int) *Pool {
	ctx, cancel := context.WithCancel(context.Background())
	return &Pool{dial: dial, ctx: ctx, cancel: cancel, share: max(1, share), spare: spare, inUse: map[*pg.Conn]bool{}}
}

// Get returns an idle connection, or waits for one that is given back or opened. Its error is a *citronusher.Failure
// that did not run.
func (p *Pool) Get(ctx context.Context) (*pg.Conn, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, citronusher.NewNotRun(citronusher.ReasonLeaving, "the target's pool is closed")
	}
	if conn := p.takeIdle(); conn != nil {
		p.openAhead()
		p.mu.Unlock()
		return conn, nil
	}
	wait := make(chan waitResult, 1)
	p.waiters = append(p.waiters, wait)
	p.openAhead()
	p.mu.Unlock()
	select {
	case result := <-wait:
		return result.conn, result.err
	case <-ctx.Done():
		return nil, p.abandon(wait)
	}
}

// abandon gives up waiting; a connection that arrived meanwhile goes back.
func (p *Pool) abandon(wait chan waitResult) error {
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
	return citronusher.NewNotRun(citronusher.ReasonDeadline, "the deadline passed while the request waited for a connection")
}

// takeIdle returns the most recently used healthy connection. The caller holds mu.
func (p *Pool) takeIdle() *pg.Conn {
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

// openAhead starts opening connections for the waiters and the spares. The caller holds mu.
func (p *Pool) openAhead() {
	wanted := len(p.waiters) + p.spare - len(p.idle) - p.opening
	for ; wanted > 0 && p.open < p.share && !p.closed; wanted-- {
		p.open++
		p.opening++
		p.group.Go(p.openOne)
	}
}

func (p *Pool) openOne() error {
	ctx, cancel := context.WithTimeout(p.ctx, openLimit)
	defer cancel()
	conn, err := p.dial(ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opening--
	if err != nil {
		p.open--
		p.failWaiter(err)
		return nil
	}
	p.offer(conn)
	return nil
}

// failWaiter passes a failed opening to the waiters that no other opening serves. The caller holds mu.
func (p *Pool) failWaiter(err error) {
	var failure *citronusher.Failure
	limited := errors.As(err, &failure) && failure.Reason() == citronusher.ReasonLimit && p.open > 0
	if limited {
		return // a connection in use will be given back
	}
	for len(p.waiters) > p.opening {
		p.waiters[0] <- waitResult{err: err}
		p.waiters = p.waiters[1:]
	}
}

// offer hands a connection to a waiter or keeps it. The caller holds mu.
func (p *Pool) offer(conn *pg.Conn) {
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
	p.idle = append(p.idle, idleConn{conn: conn, closeAt: now.Add(idleLimit)})
	for len(p.idle) > p.spare && now.After(p.idle[0].closeAt) {
		_ = p.idle[0].conn.Close()
		p.idle = p.idle[1:]
		p.open--
	}
}

// Put gives a connection back. One that is not usable is closed.
func (p *Pool) Put(conn *pg.Conn) {
	usable := conn.Usable()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.inUse, conn)
	if usable {
		p.offer(conn)
		return
	}
	_ = conn.Close()
	p.open--
	p.openAhead()
}

// Open returns how many connections the pool holds.
func (p *Pool) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// Drop closes the idle connections, after the target lost its role or its process.
func (p *Pool) Drop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, i := range p.idle {
		_ = i.conn.Close()
		p.open--
	}
	p.idle = nil
}

// Abort closes the idle connections and breaks those in use, after the target lost its role: no answer of theirs could
// be confirmed.
func (p *Pool) Abort() {
	p.Drop()
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.inUse {
		conn.Break()
	}
}

// Close closes the idle connections, refuses further use and waits for openings in progress. Connections in use are
// closed as they come back.
func (p *Pool) Close() error {
	p.mu.Lock()
	p.closed = true
	for _, wait := range p.waiters {
		wait <- waitResult{err: citronusher.NewNotRun(citronusher.ReasonLeaving, "the target's pool is closed")}
	}
	p.waiters = nil
	p.mu.Unlock()
	p.Drop()
	p.cancel()
	return p.group.Wait()
}
