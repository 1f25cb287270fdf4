// Package member is a test program's database group member: the PostgreSQL protocol in front of an in-process SQL
// engine, with a replicated statement log, terms, and switches for lag, cuts and slowness.
//
// It stands in for the users' databases in tests. It decides nothing about promotion: it only keeps the rule that an
// order must carry a term above the member's own.
package member

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"citronusher.example/citronusher"
)

// Options configure a member.
type Options struct {
	// Name is the member's name in messages.
	Name string
	// Address is the IP:PORT to listen on.
	Address string
	// Control is the IP:PORT of the switches' HTTP listener; empty for none.
	Control string
	// Upstream is the primary's IP:PORT; empty makes the member the primary of term 1.
	Upstream string
	// Connections limits the open connections of callers.
	Connections int
	// Slots limits the statements that run at once.
	Slots int
	// Opening is how long opening a connection takes.
	Opening time.Duration
	// Work is how long each statement holds its slot.
	Work time.Duration
	// Logger receives the member's messages.
	Logger *slog.Logger
}

// Member is one running group member.
type Member struct {
	name     string
	options  Options
	logger   *slog.Logger
	listener net.Listener
	http     *http.Server
	switches *switches
	slots    chan struct{}
	cancel   context.CancelFunc
	group    *errgroup.Group

	mu       sync.Mutex
	engine   *engine
	log      replicaLog
	role     citronusher.Role
	term     uint64
	claimant string
	upstream string
	heardAt  time.Time
	freshAt  time.Time
	grown    chan struct{}
	sessions map[uint32]*session
	next     uint32
	open     int
}

// New starts a member.
func New(options Options) (*Member, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", options.Address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	engine, err := newEngine()
	if err != nil {
		_ = listener.Close()
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	m := &Member{
		name: options.Name, options: options, logger: options.Logger, listener: listener,
		switches: newSwitches(), slots: make(chan struct{}, options.Slots), cancel: cancel, group: group,
		engine: engine, role: citronusher.RoleReplica, term: 1, upstream: options.Upstream,
		grown: make(chan struct{}), sessions: map[uint32]*session{},
	}
	if options.Upstream == "" {
		m.role = citronusher.RolePrimary
		m.log.branches = []citronusher.TermStart{citronusher.NewTermStart(1, 0)}
	}
	group.Go(func() error { return m.accept(ctx) })
	group.Go(func() error { m.replicate(ctx); return nil })
	if options.Control != "" {
		if err := m.serveControl(options.Control); err != nil {
			_ = m.Close()
			return nil, err
		}
	}
	return m, nil
}

// Address returns the IP:PORT that the member listens on.
func (m *Member) Address() string { return m.listener.Addr().String() }

// Switches returns the handler that sets the member's faults.
func (m *Member) Switches() http.Handler { return m.switches }

func (m *Member) serveControl(address string) error {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return fmt.Errorf("listen for control: %w", err)
	}
	m.http = &http.Server{Handler: m.switches, ReadHeaderTimeout: pullTimeout}
	m.group.Go(func() error {
		if err := m.http.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return nil
}

func (m *Member) accept(ctx context.Context) error {
	for {
		conn, err := m.listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			return fmt.Errorf("accept: %w", err)
		}
		m.group.Go(func() error {
			newSession(m, conn).serve(ctx)
			return nil
		})
	}
}

// dropSessions closes every caller's connection. The caller holds mu.
func (m *Member) dropSessions() {
	for _, s := range m.sessions {
		_ = s.conn.Close()
	}
}

// writable returns the term under which a write may begin, or an error. The caller holds mu.
func (m *Member) writable() (uint64, error) {
	if m.role != citronusher.RolePrimary {
		return 0, errReadOnly
	}
	return m.term, nil
}

// commit commits a write transaction begun under term and logs it.
func (m *Member) commit(term uint64, statements []statement, commit func() error) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	now, err := m.writable()
	if err != nil || now != term {
		return errReadOnly
	}
	if err := commit(); err != nil {
		return err
	}
	m.log.append(record{Term: term, Statements: statements})
	close(m.grown)
	m.grown = make(chan struct{})
	return nil
}

// Close stops the member and waits for its connections.
func (m *Member) Close() error {
	m.cancel()
	_ = m.listener.Close()
	if m.http != nil {
		_ = m.http.Close()
	}
	m.mu.Lock()
	m.dropSessions()
	m.mu.Unlock()
	err := m.group.Wait()
	m.engine.close()
	return err
}
