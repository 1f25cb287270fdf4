//go:build review

package lab

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"
)

const callerTimeout = 10 * time.Second

// Caller is a test client that speaks the line protocol.
type Caller struct {
	conn       net.Conn
	reader     *bufio.Reader
	name       string
	statements int // statements sent so far
}

// Dial opens a session on database at an entry. If the entry rejects the session, the error contains the entry's answer.
func Dial(entry, database, name string) (*Caller, error) {
	conn, err := net.DialTimeout("tcp", entry, callerTimeout) //nolint:noctx // test code
	if err != nil {
		return nil, fmt.Errorf("open session: %w", err)
	}
	c := &Caller{conn: conn, reader: bufio.NewReader(conn), name: name}
	if _, err := fmt.Fprintf(conn, "STARTUP %s %s\r\n", database, name); err != nil {
		return nil, fmt.Errorf("open session: %w", err)
	}
	line, err := c.line()
	if err != nil {
		return nil, err
	}
	if !strings.HasPrefix(line, "READY I") {
		return nil, fmt.Errorf("call: %s", line) //nolint:err113 // test code
	}
	return c, nil
}

// line reads one line without its line end.
func (c *Caller) line() (string, error) {
	if err := c.conn.SetReadDeadline(time.Now().Add(callerTimeout)); err != nil {
		return "", fmt.Errorf("caller connection: %w", err)
	}
	line, err := c.reader.ReadString('\n')
	if err != nil {
		return "", fmt.Errorf("caller connection: %w", err)
	}
	return strings.TrimSuffix(line, "\r\n"), nil
}

// Answer is the result of one statement.
type Answer struct {
	// ID is the statement's id, Rows the rows returned, Signature the text after COMPLETE on success.
	ID, Signature string
	Rows          []string
	// Code is the error code; empty on success. Message is its text.
	Code, Message string
	// State is the session state after the statement: I (idle), T (in a transaction) or E (failed transaction).
	State string
}

// Query sends a statement as QUERY and waits for its answer.
func (c *Caller) Query(text string) (Answer, error) {
	c.statements++
	a := Answer{ID: fmt.Sprintf("%s-%d", c.name, c.statements)}
	if err := c.Send("QUERY " + a.ID + " " + text); err != nil {
		return a, err
	}
	for {
		line, err := c.line()
		if err != nil {
			return a, err
		}
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "ROW":
			a.Rows = append(a.Rows, rest)
		case "COMPLETE":
			a.Signature = rest
		case "ERROR":
			a.Code, a.Message, _ = strings.Cut(rest, " ")
		case "READY":
			a.State, _, _ = strings.Cut(rest, " ")
			return a, nil
		}
	}
}

// Send sends one line without waiting for an answer.
func (c *Caller) Send(line string) error {
	if _, err := c.conn.Write([]byte(line + "\r\n")); err != nil {
		return fmt.Errorf("caller connection: %w", err)
	}
	return nil
}

// Close closes the connection without ending the session.
func (c *Caller) Close() { c.conn.Close() }
