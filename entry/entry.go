// Package entry serves callers: it authenticates them, collects their exchanges, forwards each to a home and returns the
// answers.
//
// It retries requests that did not run, and reports the outcome of all others. It does not connect to targets.
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

const (
	drainPollInterval = 20 * time.Millisecond
	failureTimeout    = 150 * time.Millisecond // for the failures of cancelled requests to reach their callers
)

// Hop is one home that an entry can forward a database's requests to.
type Hop struct {
	name  string
	home  citronusher.Connector
	local bool
}

// NewHop returns the hop to the daemon called name; local is true if it is the entry's own daemon.
func NewHop(name string, home citronusher.Connector, local bool) Hop {
	return Hop{name: name, home: home, local: local}
}

// Name returns the daemon's name.
func (h Hop) Name() string { return h.name }

// Router returns the homes of databases and records those that fail.
type Router interface {
	// Route returns the homes of database in the order in which to try them; long is true for long-running requests.
	Route(database, caller string, long bool) []Hop
	// PeerFailed records that a daemon did not answer.
	PeerFailed(name string)
	// Cancel forwards a cancel request to the daemon whose process IDs contain the tag.
	Cancel(ctx context.Context, tag uint16, process, secret uint32)
}

// Config holds the settings and dependencies of an Entry.
type Config struct {
	// Self is the instance's name.
	Self string
	// Address is the IP:PORT to listen on.
	Address string
	// TLS is the certificate for callers; nil for plain TCP.
	TLS *tls.Config
	// Password returns a user's password, and false if the user does not exist.
	Password func(user string) (string, bool)
	// Document returns the active configuration.
	Document func() profile.Document
	// Router returns the homes of databases.
	Router Router
	// Idle is the idle timeout of a caller's transaction.
	Idle time.Duration
	// Clock returns the current time.
	Clock citronusher.Clock
	// Logger is where events are logged.
	Logger *slog.Logger
	// Meter holds the metrics.
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

// New returns an entry that listens at config.Address. It fails if the address cannot be listened on.
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

// InstanceTag returns the upper part of the process IDs of an instance, a hash of its name. It allows another entry to
// forward a cancel request to the instance.
func InstanceTag(instance string) uint16 {
	const positive = 0x7fff // process IDs are signed
	return uint16(xxhash.Sum64String(instance) & positive)
}

func (e *Entry) accept() error {
	for {
		conn, err := e.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			time.Sleep(drainPollInterval) // for example, no file descriptor is free
			continue
		}
		e.group.Go(func() error {
			e.serve(conn)
			return nil
		})
	}
}

// register assigns a process ID and a secret to a session. It returns false while the entry drains.
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
		s.processID = uint32(InstanceTag(e.config.Self))<<16 | uint32(e.next)
		if _, used := e.sessions[s.processID]; !used {
			break
		}
	}
	s.secret = binary.BigEndian.Uint32(secret[:])
	e.sessions[s.processID] = s
	e.config.Meter.Callers().Inc(1)
	return true
}

func (e *Entry) unregister(s *callerSession) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.sessions, s.processID)
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

// Cancel cancels the running request of the session with this process ID if the secret matches. It reports whether this
// entry has that session.
func (e *Entry) Cancel(process, secret uint32) bool {
	e.mu.Lock()
	s := e.sessions[process]
	e.mu.Unlock()
	if s == nil || s.secret != secret {
		return false
	}
	s.cancelRunning()
	return true
}

// cancelAnywhere cancels a request of this entry, or forwards the cancel request to the daemons that the process ID may
// name: several names may have the same tag.
func (e *Entry) cancelAnywhere(process, secret uint32) {
	const tagShift = 16
	tag := uint16(process >> tagShift)
	if tag == InstanceTag(e.config.Self) && e.Cancel(process, secret) {
		return
	}
	e.config.Router.Cancel(e.ctx, tag, process, secret)
}

// Drain stops accepting callers, closes idle sessions and waits until running requests and open transactions have ended,
// or until ctx ends.
func (e *Entry) Drain(ctx context.Context) {
	_ = e.listener.Close()
	e.mu.Lock()
	e.draining = true
	for _, s := range e.sessions {
		s.interruptRead()
	}
	e.mu.Unlock()
	for ctx.Err() == nil && e.count() > 0 {
		select {
		case <-time.After(drainPollInterval):
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

// Close ends every session and waits for them. Running requests are cancelled, and open transactions rolled back; their
// callers get the failure.
func (e *Entry) Close() error {
	e.cancel()
	ctx, cancel := context.WithTimeout(context.Background(), failureTimeout)
	defer cancel()
	e.Drain(ctx)
	e.mu.Lock()
	for _, s := range e.sessions {
		_ = s.conn.Close()
	}
	e.mu.Unlock()
	return e.group.Wait()
}
