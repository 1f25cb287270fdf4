package pg_test

import (
	"context"
	"net"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"golang.org/x/sync/errgroup"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/pg"
)

// serveAnswer answers a start-up and then one exchange, which ends with Sync, with the given messages.
func serveAnswer(conn net.Conn, answer []pgproto3.BackendMessage) {
	defer func() { _ = conn.Close() }()
	backend := pgproto3.NewBackend(conn, conn)
	if _, err := backend.ReceiveStartupMessage(); err != nil {
		return
	}
	backend.Send(&pgproto3.AuthenticationOk{})
	backend.Send(&pgproto3.ReadyForQuery{TxStatus: pg.StatusIdle})
	_ = backend.Flush()
	if _, err := backend.Receive(); err != nil {
		return
	}
	for _, message := range answer {
		backend.Send(message)
	}
	backend.Send(&pgproto3.ReadyForQuery{TxStatus: pg.StatusActive})
	_ = backend.Flush()
	_, _ = backend.Receive()
}

// TestAnswerCountsWhatItShows guards against an answer with rows that counts as a lone command tag.
func TestAnswerCountsWhatItShows(t *testing.T) {
	row := &pgproto3.DataRow{Values: [][]byte{[]byte("1")}}
	for name, c := range map[string]struct {
		answer []pgproto3.BackendMessage
		shown  int
	}{
		"tag alone": {nil, 0},
		"prepared": {[]pgproto3.BackendMessage{
			&pgproto3.ParseComplete{}, &pgproto3.BindComplete{}, &pgproto3.NoData{}, &pgproto3.CloseComplete{},
		}, 0},
		"row":         {[]pgproto3.BackendMessage{row}, 1},
		"page":        {[]pgproto3.BackendMessage{row, row, &pgproto3.PortalSuspended{}}, 3},
		"no more":     {[]pgproto3.BackendMessage{&pgproto3.PortalSuspended{}}, 1},
		"description": {[]pgproto3.BackendMessage{&pgproto3.RowDescription{}}, 1},
		"copy":        {[]pgproto3.BackendMessage{&pgproto3.CopyOutResponse{}, &pgproto3.CopyData{}}, 2},
		"notice":      {[]pgproto3.BackendMessage{&pgproto3.NoticeResponse{Message: "1"}}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			answer := runAnswer(t, append(c.answer, &pgproto3.CommandComplete{CommandTag: []byte("BEGIN")}))
			if answer.Shown != c.shown || answer.Commands != 1 {
				t.Errorf("shown %d of %d commands, want %d of 1", answer.Shown, answer.Commands, c.shown)
			}
		})
	}
}

// runAnswer returns what Run reports of an exchange that a target answers with the given messages.
func runAnswer(t *testing.T, messages []pgproto3.BackendMessage) pg.Answer {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	var group errgroup.Group
	group.Go(func() error {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		serveAnswer(conn, messages)
		return nil
	})
	defer func() { _ = group.Wait() }()
	conn, err := pg.NewLogin("u", "p", "test", nil).Dial(context.Background(), listener.Addr().String(), "d")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	raw, err := (&pgproto3.Query{String: "BEGIN"}).Encode(nil)
	if err != nil {
		t.Fatal(err)
	}
	exchange := citronusher.Exchange{Messages: []citronusher.Message{{Kind: pg.StepQuery, Raw: raw}}}
	answer, err := conn.Run(t.Context(), exchange, func([]byte) error { return nil })
	if err != nil {
		t.Fatal(err)
	}
	return answer
}
