// Package member simulates a member of the users' database groups in tests. It serves the PostgreSQL protocol on top of an
// in-process SQL engine and has a replicated statement log, terms, and injectable faults: lag, partitions and slowness.
//
// It makes no promotion decisions. It only enforces terms: a fence command must carry a term above the member's own,
// promote the fenced term, and follow no lower term.
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
	// Name is the member's name in log messages and in its connections to other members.
	Name string
	// Address is the IP:PORT to listen on.
	Address string
	// FaultAddress is the IP:PORT of the HTTP listener that sets faults; empty for none.
	FaultAddress string
	// Upstream is the primary's IP:PORT; empty makes the member the primary of term 1.
	Upstream string
	// Connections is the maximum number of open caller connections.
	Connections int
	// Slots is the maximum number of statements that run at once.
	Slots int
	// ConnectDelay is the delay before a connection is ready.
	ConnectDelay time.Duration
	// StatementDuration is how long each statement occupies its slot.
	StatementDuration time.Duration
	// Logger receives the member's log messages.
	Logger *slog.Logger
}

// Member is one running group member.
type Member struct {
	name     string
	options  Options
	logger   *slog.Logger
	listener net.Listener
	http     *http.Server
	faults   *faults
	slots    chan struct{}
	cancel   context.CancelFunc
	group    *errgroup.Group

	mu                sync.Mutex
	engine            *engine
	log               replicaLog
	role              citronusher.Role
	term              uint64
	claimant          string        // by whom the member was fenced for its term
	upstream          string        // IP:PORT of the primary to replicate from; empty for none
	lastResponseAt    time.Time     // when the primary last answered
	freshAt           time.Time     // when all received records were last applied
	logAppended       chan struct{} // closed and replaced when a record is appended
	sessions          map[uint32]*session
	lastSessionID     uint32 // id of the newest session
	callerConnections int    // open connections of callers, without those of group members
}

// New starts a member. The caller must close it.
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
		faults: newFaults(), slots: make(chan struct{}, options.Slots), cancel: cancel, group: group,
		engine: engine, role: citronusher.RoleReplica, term: 1, upstream: options.Upstream,
		logAppended: make(chan struct{}), sessions: map[uint32]*session{},
	}
	if options.Upstream == "" {
		m.role = citronusher.RolePrimary
		m.log.termStarts = []citronusher.TermStart{citronusher.NewTermStart(1, 0)}
	}
	group.Go(func() error { return m.accept(ctx) })
	group.Go(func() error { m.replicate(ctx); return nil })
	if options.FaultAddress != "" {
		if err := m.serveFaults(options.FaultAddress); err != nil {
			_ = m.Close()
			return nil, err
		}
	}
	return m, nil
}

// Address returns the IP:PORT that the member listens on.
func (m *Member) Address() string { return m.listener.Addr().String() }

// FaultHandler returns the HTTP handler that sets the member's faults.
func (m *Member) FaultHandler() http.Handler { return m.faults }

// serveFaults serves the fault handler at address.
func (m *Member) serveFaults(address string) error {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return fmt.Errorf("listen for fault control: %w", err)
	}
	m.http = &http.Server{Handler: m.faults, ReadHeaderTimeout: pullTimeout}
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

// closeSessions closes every session's connection. The caller must hold m.mu.
func (m *Member) closeSessions() {
	for _, s := range m.sessions {
		_ = s.conn.Close()
	}
}

// writable returns the term under which a write may begin, or errReadOnly on a replica. The caller must hold m.mu.
func (m *Member) writable() (uint64, error) {
	if m.role != citronusher.RolePrimary {
		return 0, errReadOnly
	}
	return m.term, nil
}

// commit runs commit for a write transaction that began under term and appends its statements to the log. It returns
// errReadOnly if the member is no longer the primary of that term.
func (m *Member) commit(term uint64, statements []statement, commit func() error) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	currentTerm, err := m.writable()
	if err != nil || currentTerm != term {
		return errReadOnly
	}
	if err := commit(); err != nil {
		return err
	}
	m.log.append(record{Term: term, Statements: statements})
	close(m.logAppended)
	m.logAppended = make(chan struct{})
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
	m.closeSessions()
	m.mu.Unlock()
	err := m.group.Wait()
	m.engine.close()
	return err
}
