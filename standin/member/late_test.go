package member_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/jackc/pgx/v5/pgproto3"
	"golang.org/x/sync/errgroup"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/group"
	"citronusher.example/citronusher/pg"
	"citronusher.example/citronusher/standin/member"
)

const (
	testDatabase = "guide-1"
	giveUpAfter  = 50 * time.Millisecond // of a command to a member that holds it
	lateDeadline = 10 * time.Second
)

type systemClock struct{}

func (systemClock) Now() time.Time { return time.Now() }

// lateScript sends commands to one member, which holds those of some peers and performs them when it goes on.
type lateScript struct {
	t       *testing.T
	member  *member.Member
	address string
	control map[string]*group.Target
	conns   map[string]*pg.Conn
	group   errgroup.Group
}

func newLateScript(t *testing.T) *lateScript {
	t.Helper()
	s := &lateScript{t: t, address: "127.0.0.1:0", control: map[string]*group.Target{}, conns: map[string]*pg.Conn{}}
	s.start()
	t.Cleanup(func() {
		_ = s.member.Close()
		_ = s.group.Wait()
		for _, c := range s.control {
			_ = c.Close()
		}
	})
	return s
}

func (s *lateScript) start() {
	m, err := member.New(member.Options{
		Name: "m1", Address: s.address, Connections: 16, Slots: 4, Logger: slog.New(slog.DiscardHandler),
	})
	if err != nil {
		s.t.Fatal(err)
	}
	s.member, s.address = m, m.Address()
}

// target returns the control connection of a daemon.
func (s *lateScript) target(daemon string) *group.Target {
	if s.control[daemon] == nil {
		s.control[daemon] = group.New(pg.NewLogin("u", "p", daemon, nil), s.address, testDatabase, systemClock{})
	}
	return s.control[daemon]
}

// hold makes the member hold what the given peers, separated by commas, send; without peers it performs what it held.
func (s *lateScript) hold(peers string) {
	request := httptest.NewRequestWithContext(s.t.Context(), http.MethodGet, "/?cut="+peers, nil)
	s.member.FaultHandler().ServeHTTP(httptest.NewRecorder(), request)
}

// command sends one command of a daemon: state, fence TERM, promote TERM, or follow TERM.
func (s *lateScript) command(ctx context.Context, daemon string, fields []string) string {
	var commandTerm uint64
	if len(fields) > 1 {
		_, _ = fmt.Sscan(fields[1], &commandTerm)
	}
	var state citronusher.MemberState
	var err error
	switch fields[0] {
	case "state":
		state, err = s.target(daemon).State(ctx)
	case "fence":
		state, err = s.target(daemon).Fence(ctx, commandTerm, daemon)
	case "promote":
		state, err = s.target(daemon).Promote(ctx, commandTerm, daemon)
	case "follow":
		if err = s.target(daemon).Follow(ctx, commandTerm, "127.0.0.1:1"); err == nil {
			state, err = s.target(daemon).State(ctx)
		}
	}
	switch {
	case errors.Is(err, citronusher.ErrFenced):
		return "refused"
	case err != nil:
		return "unanswered"
	}
	return fmt.Sprintf("%s of term %d, log %s", state.Role(), state.Term(), state.Position())
}

// conn returns the daemon's connection for statements, which stays open.
func (s *lateScript) conn(daemon string) (*pg.Conn, error) {
	if conn := s.conns[daemon]; conn != nil {
		return conn, nil
	}
	conn, err := pg.NewLogin("u", "p", daemon, nil).Dial(s.t.Context(), s.address, testDatabase)
	if err != nil {
		return nil, err
	}
	s.conns[daemon] = conn
	s.t.Cleanup(func() { _ = conn.Close() })
	return conn, nil
}

// write commits one row through the daemon's connection.
func (s *lateScript) write(ctx context.Context, daemon string, statements []string) string {
	conn, err := s.conn(daemon)
	if err != nil {
		return "no connection"
	}
	_, answer, err := conn.Query(ctx, strings.Join(statements, " "))
	return outcome(answer, err)
}

// page reads the first row of an unnamed portal through the daemon's connection.
func (s *lateScript) page(ctx context.Context, daemon string, statement []string) string {
	conn, err := s.conn(daemon)
	if err != nil {
		return "no connection"
	}
	messages := []pgproto3.FrontendMessage{
		&pgproto3.Parse{Query: strings.Join(statement, " ")}, &pgproto3.Bind{}, &pgproto3.Execute{MaxRows: 1}, &pgproto3.Sync{},
	}
	kinds := []byte{pg.StepParse, pg.StepBind, pg.StepExecute, pg.StepSync}
	var exchange citronusher.Exchange
	for i, message := range messages {
		raw, err := message.Encode(nil)
		if err != nil {
			s.t.Fatal(err)
		}
		exchange.Messages = append(exchange.Messages, citronusher.Message{Kind: kinds[i], Raw: raw})
	}
	rows := 0
	answer, err := conn.Run(ctx, exchange, func(raw []byte) error {
		if raw[0] == 'D' {
			rows++
		}
		return nil
	})
	return strings.TrimSpace(fmt.Sprintf("%d rows %s", rows, outcome(answer, err)))
}

// outcome returns the command tag of an answer, or its error.
func outcome(answer pg.Answer, err error) string {
	switch {
	case err != nil:
		return "unanswered"
	case answer.ErrorCode != "":
		return "error " + answer.ErrorCode
	}
	return answer.CommandTag
}

// line runs one line: hold PEERS, go on, restart, or DAEMON COMMAND, or DAEMON sql STATEMENT, or DAEMON page STATEMENT.
func (s *lateScript) line(text string) string {
	fields := strings.Fields(text)
	switch fields[0] {
	case "hold":
		s.hold(fields[1])
		return ""
	case "go-on":
		s.hold("")
		time.Sleep(giveUpAfter) // until the member has performed what it held
		return ""
	case "restart":
		_ = s.member.Close()
		s.control = map[string]*group.Target{}
		s.start()
		return ""
	}
	ctx, cancel := context.WithTimeout(s.t.Context(), lateDeadline)
	defer cancel()
	if fields[len(fields)-1] == "(held)" {
		fields = fields[:len(fields)-1]
		ctx, cancel = context.WithTimeout(ctx, giveUpAfter)
		defer cancel()
	}
	result := ""
	switch fields[1] {
	case "sql":
		result = s.write(ctx, fields[0], fields[2:])
	case "page":
		result = s.page(ctx, fields[0], fields[2:])
	default:
		result = s.command(ctx, fields[0], fields[1:])
	}
	return fmt.Sprintf("%s: %s\n", fields[0], result)
}

// TestLateCommands guards against commands and commits that a member performs after a newer term.
func TestLateCommands(t *testing.T) {
	datadriven.RunTest(t, "testdata/late.txt", func(t *testing.T, d *datadriven.TestData) string {
		s := newLateScript(t)
		var out strings.Builder
		for _, text := range strings.Split(strings.TrimSpace(d.Input), "\n") {
			out.WriteString(s.line(text))
		}
		return out.String()
	})
}
