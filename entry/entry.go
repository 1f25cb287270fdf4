// Package entry serves callers: it signs them in, collects their exchanges, finds a home for each and passes the
// answers on.
//
// It retries what did not run, and says truthfully what is known of everything else. It never talks to targets.
package entry

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/meter"
	"citronusher.example/citronusher/profile"
	"citronusher.example/citronusher/retry"
)

const drainPoll = 20 * time.Millisecond

// Hop is a daemon that can serve a database.
type Hop struct {
	name  string
	home  citronusher.Connector
	local bool
}

// NewHop returns the daemon called name; local is true for this daemon itself.
func NewHop(name string, home citronusher.Connector, local bool) Hop {
	return Hop{name: name, home: home, local: local}
}

// Name returns the daemon's name.
func (h Hop) Name() string { return h.name }

// Router knows the daemons.
type Router interface {
	// Route returns the homes of database in the order in which to ask them.
	Route(database, caller string, long bool) []Hop
	// PeerFailed reports a daemon that did not answer.
	PeerFailed(name string)
	// Cancel passes a cancel request on to the daemon whose process numbers carry the tag.
	Cancel(ctx context.Context, tag uint16, process, secret uint32)
}

// Config holds what an entry needs from its daemon.
type Config struct {
	// Self is the instance's name.
	Self string
	// Address is the IP:PORT to listen on.
	Address string
	// TLS is the certificate for callers; nil for plain TCP.
	TLS *tls.Config
	// Password looks a user's password up.
	Password func(user string) (string, bool)
	// Document returns the configuration in force.
	Document func() profile.Document
	// Router finds homes.
	Router Router
	// Idle is how long a caller may leave a transaction idle.
	Idle time.Duration
	// Clock gives the time.
	Clock citronusher.Clock
	// Logger receives the events.
	Logger *slog.Logger
	// Meter counts.
	Meter *meter.Meter
}

// Entry is the listener for callers.
type Entry struct {
	config   Config
	listener net.Listener
	users    *users
	ctx      context.Context
	cancel   context.CancelFunc
	group    errgroup.Group

	mu       sync.Mutex
	sessions map[uint32]*callerSession
	next     uint16
	draining bool
	budgets  map[string]*retry.Budget
}

// New starts listening.
func New(config Config) (*Entry, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", config.Address)
	if err != nil {
		return nil, fmt.Errorf("listen for callers: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	e := &Entry{
		config: config, listener: listener, users: newUsers(config.Password), ctx: ctx, cancel: cancel,
		sessions: map[uint32]*callerSession{}, budgets: map[string]*retry.Budget{},
	}
	e.group.Go(e.accept)
	return e, nil
}

// Address returns the IP:PORT that the entry listens on.
func (e *Entry) Address() string { return e.listener.Addr().String() }

// Tag returns the part of process numbers that names the instance, so that a cancel request that reaches another entry
// finds its way.
func Tag(instance string) uint16 {
	const positive = 0x7fff // process numbers are signed
	return uint16(xxhash.Sum64String(instance) & positive)
}

func (e *Entry) accept() error {
	for {
		conn, err := e.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			time.Sleep(drainPoll) // out of file descriptors, for instance
			continue
		}
		e.group.Go(func() error {
			e.serve(conn)
			return nil
		})
	}
}

// register gives a session its process number and secret. It reports false while the entry drains.
func (e *Entry) register(s *callerSession) bool {
	var secret [4]byte
	_, _ = rand.Read(secret[:])
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.draining {
		return false
	}
	for {
		e.next++
		s.process = uint32(Tag(e.config.Self))<<16 | uint32(e.next)
		if _, used := e.sessions[s.process]; !used {
			break
		}
	}
	s.secret = binary.BigEndian.Uint32(secret[:])
	e.sessions[s.process] = s
	e.config.Meter.Callers().Inc(1)
	return true
}

func (e *Entry) unregister(s *callerSession) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.sessions, s.process)
	e.config.Meter.Callers().Dec(1)
}

// budget returns the retry budget of a database.
func (e *Entry) budget(database string) *retry.Budget {
	e.mu.Lock()
	defer e.mu.Unlock()
	b, ok := e.budgets[database]
	if !ok {
		b = retry.NewBudget()
		e.budgets[database] = b
	}
	return b
}

// Cancel cancels the running request of a session of this entry.
func (e *Entry) Cancel(process, secret uint32) {
	e.mu.Lock()
	s := e.sessions[process]
	e.mu.Unlock()
	if s != nil && s.secret == secret {
		s.cancelRunning()
	}
}

// cancelAnywhere passes a cancel request on to the daemon that it is for.
func (e *Entry) cancelAnywhere(process, secret uint32) {
	const tagShift = 16
	tag := uint16(process >> tagShift)
	if tag == Tag(e.config.Self) {
		e.Cancel(process, secret)
		return
	}
	e.config.Router.Cancel(e.ctx, tag, process, secret)
}

// Drain stops accepting callers, ends idle sessions and waits until the running requests and open transactions have
// ended, or until ctx ends.
func (e *Entry) Drain(ctx context.Context) {
	_ = e.listener.Close()
	e.mu.Lock()
	e.draining = true
	for _, s := range e.sessions {
		s.wake()
	}
	e.mu.Unlock()
	for ctx.Err() == nil && e.count() > 0 {
		select {
		case <-time.After(drainPoll):
		case <-ctx.Done():
		}
	}
}

func (e *Entry) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.sessions)
}

func (e *Entry) isDraining() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.draining
}

// Close ends every session and waits for them.
func (e *Entry) Close() error {
	_ = e.listener.Close()
	e.cancel()
	e.mu.Lock()
	e.draining = true
	for _, s := range e.sessions {
		_ = s.conn.Close()
	}
	e.mu.Unlock()
	return e.group.Wait()
}
