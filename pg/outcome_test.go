package pg_test

import (
	"context"
	"errors"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"golang.org/x/sync/errgroup"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/pg"
)

// stage is the point at which the fake target closes the connection of a statement that contains the word "break".
type stage string

const (
	never         stage = "never"
	beforeReading stage = "before reading"
	afterReading  stage = "after reading, before running"
	afterRunning  stage = "after running, before answering"
	duringAnswer  stage = "in the middle of the answer"
	unresponsive  stage = "after running, unresponsive"
)

// target is a fake database that counts the statements that took effect: one outside a transaction immediately, those
// of a transaction at its commit.
type target struct {
	stage    stage
	listener net.Listener
	group    errgroup.Group

	mu      sync.Mutex
	effects int
	conns   []net.Conn
}

func newTarget(t *testing.T, s stage) *target {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &target{stage: s, listener: listener}
	f.group.Go(func() error {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return nil //nolint:nilerr // the listener was closed
			}
			f.mu.Lock()
			f.conns = append(f.conns, conn)
			f.mu.Unlock()
			f.group.Go(func() error { f.serve(conn); return nil })
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		f.mu.Lock()
		for _, conn := range f.conns {
			_ = conn.Close()
		}
		f.mu.Unlock()
		_ = f.group.Wait()
	})
	return f
}

func (f *target) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	backend := pgproto3.NewBackend(conn, conn)
	if _, err := backend.ReceiveStartupMessage(); err != nil {
		return
	}
	backend.Send(&pgproto3.AuthenticationOk{})
	backend.Send(&pgproto3.BackendKeyData{ProcessID: 1, SecretKey: []byte{0, 0, 0, 1}})
	backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	if backend.Flush() != nil {
		return
	}
	status, pending := byte('I'), 0
	for {
		if f.stage == beforeReading && status == 'I' {
			time.Sleep(20 * time.Millisecond)
			return
		}
		message, err := backend.Receive()
		if err != nil {
			return
		}
		query, ok := message.(*pgproto3.Query)
		if !ok {
			return
		}
		breaks := strings.Contains(query.String, "break")
		if breaks && f.stage == afterReading {
			return
		}
		switch {
		case strings.HasPrefix(query.String, "BEGIN"):
			status = 'T'
		case strings.HasPrefix(query.String, "COMMIT"):
			f.add(pending)
			status = 'I'
		case strings.HasPrefix(query.String, "ROLLBACK;"):
			f.add(1) // the statement after it
			pending, status = 0, 'I'
		case status == 'T':
			pending++
		default:
			f.add(1)
		}
		if breaks && f.stage == afterRunning {
			return
		}
		if breaks && f.stage == unresponsive {
			_, _ = backend.Receive()
			return
		}
		backend.Send(&pgproto3.CommandComplete{CommandTag: []byte("INSERT 0 1")})
		if breaks && f.stage == duringAnswer {
			_ = backend.Flush()
			return
		}
		backend.Send(&pgproto3.ReadyForQuery{TxStatus: status})
		if backend.Flush() != nil {
			return
		}
	}
}

func (f *target) add(count int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.effects += count
}

func (f *target) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.effects
}

// TestOutcomesMatchEffects guards against a wrong outcome for a request whose connection is lost, such as not run for one
// that took effect. It closes the connection at every stage of statements inside and outside a transaction, and compares
// the reported outcome with the statements that took effect.
func TestOutcomesMatchEffects(t *testing.T) {
	for _, s := range []stage{never, beforeReading, afterReading, afterRunning, duringAnswer, unresponsive} {
		for name, statements := range map[string][]string{
			"statement":        {"INSERT break"},
			"transaction body": {"BEGIN", "INSERT break"},
			"commit":           {"BEGIN", "INSERT", "COMMIT; -- break"},
			"after rollback":   {"BEGIN", "INSERT", "ROLLBACK; INSERT break"},
		} {
			t.Run(string(s)+"/"+name, func(t *testing.T) {
				f := newTarget(t, s)
				conn, err := pg.NewLogin("u", "p", "test", nil).Dial(context.Background(), f.listener.Addr().String(), "d")
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = conn.Close() }()
				var last error
				for _, sql := range statements {
					ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
					_, _, last = conn.Query(ctx, sql)
					cancel()
					if last != nil {
						break
					}
				}
				switch {
				case last == nil && s != never:
					t.Error("the lost connection was not reported")
				case last != nil && conn.Usable():
					t.Error("a connection of unknown state is still usable")
				case errors.Is(last, citronusher.ErrNotRun) && f.count() != 0:
					t.Errorf("reported as not run, but it took effect: %v", last)
				case last != nil && !errors.Is(last, citronusher.ErrNotRun) && !errors.Is(last, citronusher.ErrUnknown):
					t.Errorf("the error has no outcome: %v", last)
				case s == afterReading && name == "transaction body" && !errors.Is(last, citronusher.ErrNotRun):
					t.Errorf("want not run for a transaction whose commit was not sent, got: %v", last)
				}
			})
		}
	}
}

// TestUsableDetectsClosedConnection guards against the reuse of an idle connection that the target has closed.
func TestUsableDetectsClosedConnection(t *testing.T) {
	f := newTarget(t, beforeReading)
	conn, err := pg.NewLogin("u", "p", "test", nil).Dial(context.Background(), f.listener.Addr().String(), "d")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	for range 100 {
		if !conn.Usable() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("a connection that the target closed is still usable")
}

// TestMayCommit guards against a statement that commits but is not recognized: after a lost connection its transaction
// would be reported as not run.
func TestMayCommit(t *testing.T) {
	for sql, want := range map[string]bool{
		"COMMIT": true, "insert into x values (1); commit": true, "END": true, "PREPARE TRANSACTION 'x'": true,
		"ROLLBACK; INSERT INTO x VALUES (1)": true, "ROLLBACK;": false, "ROLLBACK TO a": false,
		"INSERT INTO x VALUES (1)": false, "ROLLBACK": false, "SELECT 'recommitted'": false,
	} {
		raw, err := (&pgproto3.Query{String: sql}).Encode(nil)
		if err != nil {
			t.Fatal(err)
		}
		got := pg.MayCommit(citronusher.Exchange{Messages: []citronusher.Message{{Kind: pg.StepQuery, Raw: raw}}})
		if got != want {
			t.Errorf("MayCommit(%q) = %t", sql, got)
		}
	}
}

// serveLate answers a start-up and one query, and then reads nothing until goOn is closed. It returns how many prepared
// statements are run by what it reads from then on.
func serveLate(conn net.Conn, goOn <-chan struct{}) (executed int) {
	defer func() { _ = conn.Close() }()
	backend := pgproto3.NewBackend(conn, conn)
	if _, err := backend.ReceiveStartupMessage(); err != nil {
		return 0
	}
	backend.Send(&pgproto3.AuthenticationOk{})
	backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	_ = backend.Flush()
	_, _ = backend.Receive()
	backend.Send(&pgproto3.CommandComplete{CommandTag: []byte("BEGIN")})
	backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'T'})
	_ = backend.Flush()
	<-goOn
	for {
		message, err := backend.Receive()
		if err != nil {
			return executed
		}
		if _, ok := message.(*pgproto3.Execute); ok {
			executed++
		}
	}
}

// TestPartlySentCommit guards against a commit that is reported as not run, although it was sent before the rest of its
// exchange could not be: the target is frozen and runs it when it goes on.
func TestPartlySentCommit(t *testing.T) {
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	const (
		readBuffer = 64 << 10 // bytes, of the target's socket
		excess     = 8 << 20  // bytes, more than the sockets buffer
	)
	goOn := make(chan struct{})
	executed := 0
	var server errgroup.Group
	server.Go(func() error {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		_ = conn.(*net.TCPConn).SetReadBuffer(readBuffer)
		executed = serveLate(conn, goOn)
		return nil
	})
	conn, err := pg.NewLogin("u", "p", "test", nil).Dial(t.Context(), listener.Addr().String(), "d")
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := conn.Query(t.Context(), "BEGIN"); err != nil {
		t.Fatal(err)
	}
	var exchange citronusher.Exchange
	names := []string{"s", "", "", "t", ""}
	for i, m := range []pgproto3.FrontendMessage{
		&pgproto3.Parse{Name: "s", Query: "COMMIT"}, &pgproto3.Bind{PreparedStatement: "s"}, &pgproto3.Execute{},
		&pgproto3.Parse{Name: "t", Query: "SELECT '" + strings.Repeat("x", excess) + "'"}, &pgproto3.Sync{},
	} {
		raw, err := m.Encode(nil)
		if err != nil {
			t.Fatal(err)
		}
		exchange.Messages = append(exchange.Messages, citronusher.Message{Kind: raw[0], Name: names[i], Raw: raw})
	}
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	_, failure := conn.Run(ctx, exchange, func([]byte) error { return nil })
	_ = conn.Close()
	close(goOn)
	if err := server.Wait(); err != nil {
		t.Fatal(err)
	}
	if executed != 1 || !errors.Is(failure, citronusher.ErrUnknown) {
		t.Errorf("the target ran the commit %d times, reported: %v", executed, failure)
	}
}

// serveFlushed answers a start-up, a query with the status active, the messages up to a Flush, and nothing after it.
func serveFlushed(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	backend := pgproto3.NewBackend(conn, conn)
	if _, err := backend.ReceiveStartupMessage(); err != nil {
		return
	}
	backend.Send(&pgproto3.AuthenticationOk{})
	backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	for backend.Flush() == nil {
		message, err := backend.Receive()
		if err != nil {
			return
		}
		switch message.(type) {
		case *pgproto3.Query:
			backend.Send(&pgproto3.CommandComplete{CommandTag: []byte("BEGIN")})
			backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'T'})
		case *pgproto3.Parse:
			backend.Send(&pgproto3.ParseComplete{})
		case *pgproto3.Bind:
			backend.Send(&pgproto3.BindComplete{})
		case *pgproto3.Execute:
			backend.Send(&pgproto3.CommandComplete{CommandTag: []byte("OK")})
		case *pgproto3.Sync:
			return
		}
	}
}

// TestLostAnswerAfterFlushedEnd guards against an exchange that is reported as rolled back with its transaction, although
// that had ended before a Flush and the exchange committed a later one.
func TestLostAnswerAfterFlushedEnd(t *testing.T) {
	for end, want := range map[string]error{
		"COMMIT": citronusher.ErrUnknown, "ROLLBACK": citronusher.ErrUnknown, "ROLLBACK TO a": citronusher.ErrNotRun,
		"INSERT INTO x VALUES (1)": citronusher.ErrNotRun,
	} {
		t.Run(end, func(t *testing.T) {
			listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = listener.Close() }()
			var server errgroup.Group
			server.Go(func() error {
				conn, err := listener.Accept()
				if err != nil {
					return err
				}
				serveFlushed(conn)
				return nil
			})
			defer func() { _ = server.Wait() }()
			conn, err := pg.NewLogin("u", "p", "test", nil).Dial(t.Context(), listener.Addr().String(), "d")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			if _, _, err := conn.Query(t.Context(), "BEGIN"); err != nil {
				t.Fatal(err)
			}
			ignore := func([]byte) error { return nil }
			flushed := extended(t, end)
			flushed.Messages = flushed.Messages[:len(flushed.Messages)-1]
			flushed.Partial = true
			if _, err := conn.Run(t.Context(), flushed, ignore); err != nil {
				t.Fatal(err)
			}
			if _, err := conn.Run(t.Context(), extended(t, "INSERT INTO x VALUES (2)"), ignore); !errors.Is(err, want) {
				t.Errorf("%v, want %v", err, want)
			}
		})
	}
}
