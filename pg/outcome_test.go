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

// stage is where the fake target breaks the connection of a statement that holds the word "break".
type stage string

const (
	never         stage = "never"
	beforeReading stage = "before reading"
	afterReading  stage = "after reading, before running"
	afterRunning  stage = "after running, before answering"
	amidAnswer    stage = "in the middle of the answer"
	silent        stage = "after running, silent"
)

// target is a fake database that counts what took effect: a statement outside a transaction at once, the statements of
// a transaction at its commit.
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
		case status == 'T':
			pending++
		default:
			f.add(1)
		}
		if breaks && f.stage == afterRunning {
			return
		}
		if breaks && f.stage == silent {
			_, _ = backend.Receive()
			return
		}
		backend.Send(&pgproto3.CommandComplete{CommandTag: []byte("INSERT 0 1")})
		if breaks && f.stage == amidAnswer {
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

// TestOutcomesAreTrue breaks the connection at every stage and compares what the caller would be told with what took
// effect.
func TestOutcomesAreTrue(t *testing.T) {
	for _, s := range []stage{never, beforeReading, afterReading, afterRunning, amidAnswer, silent} {
		for name, statements := range map[string][]string{
			"statement":        {"INSERT break"},
			"transaction body": {"BEGIN", "INSERT break"},
			"commit":           {"BEGIN", "INSERT", "COMMIT; -- break"},
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
					t.Error("the break was not noticed")
				case last != nil && conn.Usable():
					t.Error("a connection of unknown state is still usable")
				case errors.Is(last, citronusher.ErrNotRun) && f.count() != 0:
					t.Errorf("told not run, but it took effect: %v", last)
				case last != nil && !errors.Is(last, citronusher.ErrNotRun) && !errors.Is(last, citronusher.ErrUnknown):
					t.Errorf("no outcome: %v", last)
				case s == afterReading && name == "transaction body" && !errors.Is(last, citronusher.ErrNotRun):
					t.Errorf("a transaction without commit is known not to have run: %v", last)
				}
			})
		}
	}
}

// TestUsableNoticesAClosedConnection closes an idle connection at the target.
func TestUsableNoticesAClosedConnection(t *testing.T) {
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

func TestMayCommit(t *testing.T) {
	for sql, want := range map[string]bool{
		"COMMIT": true, "insert into x values (1); commit": true, "END": true, "PREPARE TRANSACTION 'x'": true,
		"INSERT INTO x VALUES (1)": false, "ROLLBACK": false, "SELECT 'recommitted'": false,
	} {
		raw, err := (&pgproto3.Query{String: sql}).Encode(nil)
		if err != nil {
			t.Fatal(err)
		}
		got := pg.MayCommit(citronusher.Exchange{Messages: []citronusher.Message{{Kind: pg.StepQuery, Raw: raw}}})
		if got != want {
			t.Errorf("%q: may commit %t", sql, got)
		}
	}
}
