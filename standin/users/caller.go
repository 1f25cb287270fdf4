package users

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"
)

const callerLimit = 10 * time.Second

// Caller is a scripted caller.
type Caller struct {
	conn   net.Conn
	reader *bufio.Reader
	name   string
	count  int
}

// Call opens a session on database at an entry. Its error holds the entry's answer when it refused the session.
func Call(entry, database, name string) (*Caller, error) {
	conn, err := net.DialTimeout("tcp", entry, callerLimit) //nolint:noctx // a test program
	if err != nil {
		return nil, fmt.Errorf("call: %w", err)
	}
	c := &Caller{conn: conn, reader: bufio.NewReader(conn), name: name}
	if _, err := fmt.Fprintf(conn, "STARTUP %s %s\r\n", database, name); err != nil {
		return nil, fmt.Errorf("call: %w", err)
	}
	line, err := c.line()
	if err != nil {
		return nil, err
	}
	if !strings.HasPrefix(line, "READY I") {
		return nil, fmt.Errorf("call: %s", line) //nolint:err113 // a test program
	}
	return c, nil
}

func (c *Caller) line() (string, error) {
	if err := c.conn.SetReadDeadline(time.Now().Add(callerLimit)); err != nil {
		return "", fmt.Errorf("caller: %w", err)
	}
	line, err := c.reader.ReadString('\n')
	if err != nil {
		return "", fmt.Errorf("caller: %w", err)
	}
	return strings.TrimSuffix(line, "\r\n"), nil
}

// Answer is what a caller got for a statement.
type Answer struct {
	// ID is the statement's identity, Rows its rows, Signature what stands behind success.
	ID, Signature string
	Rows          []string
	// Code is the error code; empty on success. Message is its text.
	Code, Message string
	// State is the session's state afterwards: I, T or E.
	State string
}

// Say sends a statement and waits for its answer.
func (c *Caller) Say(text string) (Answer, error) {
	c.count++
	a := Answer{ID: fmt.Sprintf("%s-%d", c.name, c.count)}
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

// Send sends one line and waits for nothing.
func (c *Caller) Send(line string) error {
	if _, err := c.conn.Write([]byte(line + "\r\n")); err != nil {
		return fmt.Errorf("caller: %w", err)
	}
	return nil
}

// Close ends the session without a word.
func (c *Caller) Close() { c.conn.Close() }
