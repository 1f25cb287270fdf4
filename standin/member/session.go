package member

import (
	"context"
	"database/sql"
	"errors"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"
)

var (
	errReadOnly    = errors.New("cannot execute a write: the member is not the primary or its term has changed")
	errAborted     = errors.New("current transaction is aborted, commands ignored until end of transaction block")
	errUnsupported = errors.New("statement is not supported by this member")
)

const (
	statusIdle   byte = 'I'
	statusActive byte = 'T'
	statusFailed byte = 'E'
	rowsPerFlush      = 200
)

// portal is a prepared statement with its arguments and, while it runs, its open result.
type portal struct {
	query   string
	args    []any
	formats []int16
	rows    *rowSource
}

// close closes the open result, if there is one.
func (p *portal) close() {
	if p.rows == nil {
		return
	}
	_ = p.rows.rows.Close()
	p.rows = nil
}

// session is one connection of a caller or of a group member.
type session struct {
	member   *Member
	conn     net.Conn
	backend  *pgproto3.Backend
	peer     string // application name
	id       uint32
	done     chan struct{}
	cancel   context.CancelFunc // of the running statement; guarded by member.mu
	engine   *sql.Conn
	types    *pgtype.Map
	prepared map[string]string
	portals  map[string]*portal

	status       byte        // transaction status as in ReadyForQuery
	implicit     bool        // an implicit transaction is open
	engineTxOpen bool        // a transaction is open in the engine
	term         uint64      // term of the primary when that transaction began; 0 on a replica
	writes       []statement // of that transaction, to be logged at its commit
	loseAnswer   bool        // close the connection instead of sending the next answer
}

func newSession(m *Member, conn net.Conn) *session {
	return &session{
		member: m, conn: conn, backend: pgproto3.NewBackend(conn, conn), done: make(chan struct{}),
		types: pgtype.NewMap(), prepared: map[string]string{}, portals: map[string]*portal{}, status: statusIdle,
	}
}

// serve handles the connection's messages until it ends.
func (s *session) serve(ctx context.Context) {
	defer func() { _ = s.conn.Close() }()
	if !s.startup(ctx) {
		return
	}
	defer s.cleanUp(ctx)
	for {
		message, err := s.backend.Receive()
		if err != nil || !s.member.faults.waitConnected(s.peer, ctx.Done()) {
			return
		}
		if _, ok := message.(*pgproto3.Terminate); ok {
			return
		}
		if !s.handle(ctx, message) {
			return
		}
	}
}

// startup answers the startup message and registers the session. It returns false if the connection must close.
func (s *session) startup(ctx context.Context) bool {
	message, err := s.backend.ReceiveStartupMessage()
	if err != nil {
		return false
	}
	switch start := message.(type) {
	case *pgproto3.SSLRequest:
		if _, err := s.conn.Write([]byte{'N'}); err != nil {
			return false
		}
		return s.startup(ctx)
	case *pgproto3.CancelRequest:
		s.member.cancelSession(start.ProcessID)
		return false
	case *pgproto3.StartupMessage:
		s.peer = start.Parameters["application_name"]
	default:
		return false
	}
	if !s.member.faults.waitConnected(s.peer, ctx.Done()) {
		return false
	}
	if !s.member.register(s) {
		s.sendError("53300", "too many connections")
		_ = s.backend.Flush()
		return false
	}
	time.Sleep(s.member.options.ConnectDelay)
	s.member.mu.Lock()
	db := s.member.engine.db
	s.member.mu.Unlock()
	if s.engine, err = db.Conn(ctx); err != nil {
		s.cleanUp(ctx)
		return false
	}
	s.backend.Send(&pgproto3.AuthenticationOk{})
	s.backend.Send(&pgproto3.ParameterStatus{Name: "server_version", Value: "15.0"})
	s.backend.Send(&pgproto3.ParameterStatus{Name: "client_encoding", Value: "UTF8"})
	s.backend.Send(&pgproto3.BackendKeyData{ProcessID: s.id, SecretKey: []byte{0, 0, 0, 1}})
	s.sendReady()
	return s.backend.Flush() == nil
}

// cleanUp closes the portals, rolls back an open transaction and unregisters the session.
func (s *session) cleanUp(ctx context.Context) {
	for name := range s.portals {
		s.closePortal(name)
	}
	if s.engine != nil {
		_, _ = s.engine.ExecContext(context.WithoutCancel(ctx), "ROLLBACK")
		_ = s.engine.Close()
	}
	s.member.unregister(s)
}

// register adds the session and returns false if the connection limit is reached. Connections of group members do not count
// towards the limit.
func (m *Member) register(s *session) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !strings.HasPrefix(s.peer, groupPrefix) {
		if m.callerConnections >= m.options.Connections {
			return false
		}
		m.callerConnections++
	}
	m.lastSessionID++
	s.id = m.lastSessionID
	m.sessions[s.id] = s
	return true
}

func (m *Member) unregister(s *session) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.sessions[s.id]; !ok {
		return
	}
	delete(m.sessions, s.id)
	if !strings.HasPrefix(s.peer, groupPrefix) {
		m.callerConnections--
	}
}

// cancelSession cancels the statement that a session runs, if any.
func (m *Member) cancelSession(id uint32) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s := m.sessions[id]; s != nil && s.cancel != nil {
		s.cancel()
	}
}

func (s *session) sendReady() { s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: s.status}) }

func (s *session) sendError(code, message string) {
	s.backend.Send(&pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: code, Message: message})
}

// handle processes one message. It returns false if the connection must close.
func (s *session) handle(ctx context.Context, message pgproto3.FrontendMessage) bool {
	var err error
	switch m := message.(type) {
	case *pgproto3.Query:
		s.simpleQuery(ctx, m.String)
		return s.flush(ctx)
	case *pgproto3.Sync:
		if err = s.endImplicit(ctx); err != nil {
			s.fail(err)
		}
		s.sendReady()
		return s.flush(ctx)
	case *pgproto3.Flush:
		return s.flush(ctx)
	case *pgproto3.Parse:
		s.prepared[m.Name] = m.Query
		s.backend.Send(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		err = s.bind(m)
	case *pgproto3.Describe:
		err = s.describe(ctx, m)
	case *pgproto3.Execute:
		err = s.executePortal(ctx, m)
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			delete(s.prepared, m.Name)
		} else {
			s.closePortal(m.Name)
		}
		s.backend.Send(&pgproto3.CloseComplete{})
	}
	if err != nil {
		s.fail(err)
		return s.skipToSync(ctx)
	}
	return true
}

// skipToSync discards messages after an error until the next Sync.
func (s *session) skipToSync(ctx context.Context) bool {
	for {
		message, err := s.backend.Receive()
		if err != nil {
			return false
		}
		if _, ok := message.(*pgproto3.Sync); ok {
			_ = s.endImplicit(ctx)
			s.sendReady()
			return s.flush(ctx)
		}
	}
}

// flush sends the buffered messages once traffic with the peer is not cut. It returns false if the connection must close.
func (s *session) flush(ctx context.Context) bool {
	if !s.member.faults.waitConnected(s.peer, ctx.Done()) || s.loseAnswer {
		return false
	}
	return s.backend.Flush() == nil
}

// fail sends err with its SQLSTATE code and marks an open transaction as failed.
func (s *session) fail(err error) {
	code := "XX000"
	text := err.Error()
	switch {
	case errors.Is(err, errReadOnly):
		code = "25006"
	case errors.Is(err, errAborted):
		code = "25P02"
	case errors.Is(err, errUnsupported):
		code = "0A000"
	case errors.Is(err, context.Canceled):
		code, text = "57014", "canceling statement due to user request"
	case strings.Contains(text, "UNIQUE"):
		code = "23505"
	case strings.Contains(text, "constraint"):
		code = "23000"
	case strings.Contains(text, "locked"):
		code = "55P03"
	case strings.Contains(text, "no such table"):
		code = "42P01"
	case strings.Contains(text, "syntax"):
		code = "42601"
	}
	s.sendError(code, text)
	if s.status == statusActive {
		s.status = statusFailed
	}
}

func (s *session) simpleQuery(ctx context.Context, query string) {
	statements := splitStatements(query)
	if len(statements) == 0 {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
	}
	for _, text := range statements {
		p := &portal{query: text}
		err := s.execute(ctx, p, 0, true, len(statements) > 1)
		if err != nil {
			s.fail(err)
			break
		}
	}
	if err := s.endImplicit(ctx); err != nil {
		s.fail(err)
	}
	s.sendReady()
}

func (s *session) bind(m *pgproto3.Bind) error {
	query, ok := s.prepared[m.PreparedStatement]
	if !ok {
		return fmt.Errorf("%w: prepared statement %q does not exist", errUnsupported, m.PreparedStatement)
	}
	args := make([]any, len(m.Parameters))
	for i, parameter := range m.Parameters {
		args[i] = argument(parameter)
	}
	s.closePortal(m.DestinationPortal)
	s.portals[m.DestinationPortal] = &portal{query: query, args: args, formats: m.ResultFormatCodes}
	s.backend.Send(&pgproto3.BindComplete{})
	return nil
}

// closePortal closes and forgets a portal, if there is one of that name.
func (s *session) closePortal(name string) {
	if p := s.portals[name]; p != nil {
		p.close()
		delete(s.portals, name)
	}
}

func (s *session) describe(ctx context.Context, m *pgproto3.Describe) error {
	query := s.prepared[m.Name]
	var formats []int16
	if m.ObjectType == 'S' {
		s.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: make([]uint32, parameterCount(query))})
	} else if p := s.portals[m.Name]; p != nil {
		query, formats = p.query, p.formats
	}
	if _, ok, _ := s.member.control("-- " + query); ok || !returnsRows(query) {
		s.backend.Send(&pgproto3.NoData{})
		return nil
	}
	columns, err := describe(ctx, s.engine, query)
	if err != nil {
		return err
	}
	s.backend.Send(rowDescription(columns, formats))
	return nil
}

func (s *session) executePortal(ctx context.Context, m *pgproto3.Execute) error {
	p := s.portals[m.Portal]
	if p == nil {
		return fmt.Errorf("%w: portal %q does not exist", errUnsupported, m.Portal)
	}
	return s.execute(ctx, p, int(m.MaxRows), false, true)
}
