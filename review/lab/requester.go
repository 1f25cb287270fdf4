//go:build review

package lab

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strings"
	"time"
)

// ErrEnded is the error of a request whose connection ended without a complete answer.
var ErrEnded = errors.New("the connection ended without a complete answer")

// Requester is one requester's session, which records each request in a Record.
type Requester struct {
	Name   string
	conn   net.Conn
	reader *bufio.Reader
	record *Record
	count  int
}

// Reply is the complete answer to one request, with the times when its last byte was sent and its last byte arrived.
type Reply struct {
	ID, Text, Signature, Code, State string
	Rows                             []string
	SentAt, EndedAt                  time.Time
}

// OpenSession opens a session for database at the entry of a daemon. It fails when READY takes more than 2 s.
func OpenSession(record *Record, entry, database, name string) (*Requester, error) {
	conn, err := net.DialTimeout("tcp", entry, 2*time.Second) //nolint:noctx // test code
	if err != nil {
		return nil, fmt.Errorf("session %s: %w", name, err)
	}
	r := &Requester{Name: name, conn: conn, reader: bufio.NewReader(conn), record: record}
	fmt.Fprintf(conn, "STARTUP %s %s\r\n", database, name)
	_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second)) // a failure shows in the read
	line, err := r.reader.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "READY I") {
		conn.Close()
		return nil, fmt.Errorf("session %s: %q %w", name, strings.TrimSpace(line), errors.Join(err, ErrEnded))
	}
	return r, nil
}

// Ask sends a request and waits for its answer, at most for budget. With ErrEnded the connection has ended.
func (r *Requester) Ask(text string, budget time.Duration) (Reply, error) {
	r.count++
	p := Reply{ID: fmt.Sprintf("%s-%d", r.Name, r.count), Text: text}
	_ = r.conn.SetDeadline(time.Now().Add(budget)) // a failure shows in the write
	_, err := fmt.Fprintf(r.conn, "QUERY %s %s\r\n", p.ID, text)
	p.SentAt = time.Now()
	for err == nil {
		var line string
		if line, err = r.reader.ReadString('\n'); err != nil {
			break
		}
		word, rest, _ := strings.Cut(strings.TrimSuffix(line, "\r\n"), " ")
		switch word {
		case "ROW":
			p.Rows = append(p.Rows, rest)
		case "COMPLETE":
			p.Signature = rest
		case "ERROR":
			p.Code = rest
		case "READY":
			p.EndedAt = time.Now()
			p.State, _, _ = strings.Cut(rest, " ")
			r.record.Line("%s answered %s rows=%v complete=%q error=%q state=%s", p.ID, text, p.Rows, p.Signature, p.Code, p.State)
			return p, nil
		}
	}
	p.EndedAt = time.Now()
	r.record.Line("%s ENDED %s: %v", p.ID, text, err)
	return p, fmt.Errorf("%w: %w", ErrEnded, err)
}

// OK reports whether the reply is a success.
func (p Reply) OK() bool { return p.Code == "" && p.Signature != "" }

// Close ends the session.
func (r *Requester) Close() {
	fmt.Fprint(r.conn, "TERMINATE\r\n")
	r.conn.Close()
}
