package entry

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/pg"
)

const (
	maxSteps      = 10_000 // messages of one exchange
	maxStatements = 5_000  // prepared statements of one caller
	bytesPerOID   = 4
)

// collector collects a caller's messages until an exchange is complete. It renames prepared statements to a name derived
// from their text and parameter types, so that target connections can share them between callers.
type collector struct {
	exchange   citronusher.Exchange
	text       string // of the first statement; the entry answers some itself
	discarding bool   // discard messages until Sync, after an error in an extended exchange
}

func (c *collector) empty() bool { return len(c.exchange.Messages) == 0 && !c.discarding }

// take returns the complete exchange and its first statement's text, and resets both for the next one.
func (c *collector) take() (citronusher.Exchange, string) {
	exchange, text := c.exchange, c.text
	c.exchange, c.text = citronusher.Exchange{}, ""
	return exchange, text
}

// add adds a message and reports whether it completes an exchange. statements holds the caller's prepared statements by
// the caller's name.
func (c *collector) add(message pgproto3.FrontendMessage, statements map[string]citronusher.Message) (bool, error) {
	if _, sync := message.(*pgproto3.Sync); c.discarding && !sync {
		return false, nil
	}
	if len(c.exchange.Messages) >= maxSteps || len(statements) > maxStatements {
		return false, citronusher.NewNotRun(citronusher.ReasonInput, "more than %d messages without Sync, or more than %d "+
			"prepared statements", maxSteps, maxStatements)
	}
	switch m := message.(type) {
	case *pgproto3.Query:
		c.text = m.String
		return true, c.append(pg.StepQuery, "", m)
	case *pgproto3.Sync:
		return true, c.append(pg.StepSync, "", m)
	case *pgproto3.Flush:
		c.exchange.Partial = true
		return len(c.exchange.Messages) > 0, nil
	case *pgproto3.Parse:
		return false, c.addParse(m, statements)
	case *pgproto3.Bind:
		name, err := c.requireStatement(m.PreparedStatement, statements)
		if err != nil {
			return false, err
		}
		m.PreparedStatement = name
		return false, c.append(pg.StepBind, name, m)
	case *pgproto3.Describe:
		return false, c.addDescribe(m, statements)
	case *pgproto3.Execute:
		return false, c.append(pg.StepExecute, "", m)
	case *pgproto3.Close:
		return false, c.addClose(m, statements)
	default:
		return false, citronusher.NewNotRun(citronusher.ReasonInput, "message %T is not supported", message)
	}
}

func (c *collector) append(kind byte, name string, message pgproto3.FrontendMessage) error {
	raw, err := message.Encode(nil)
	if err != nil {
		return fmt.Errorf("encode: %w", err)
	}
	c.exchange.Messages = append(c.exchange.Messages, citronusher.Message{
		Statement: statementKind(message), Kind: kind, Name: name, Raw: raw,
	})
	return nil
}

// statementKind returns the kind of the statement in a message.
func statementKind(message pgproto3.FrontendMessage) citronusher.StatementKind {
	switch m := message.(type) {
	case *pgproto3.Query:
		return pg.StatementKind(m.String)
	case *pgproto3.Parse:
		return pg.StatementKind(m.Query)
	default:
		return citronusher.StatementOther
	}
}

// sharedName returns the name of a prepared statement on target connections, which is the same for all callers. It is a
// cryptographic hash, because callers choose the text: nobody can make two statements that share a name.
func sharedName(m *pgproto3.Parse) string {
	text := make([]byte, 0, len(m.Query)+len(m.ParameterOIDs)*bytesPerOID+1)
	text = append(text, m.Query...)
	text = append(text, 0) // a query contains no zero byte
	for _, oid := range m.ParameterOIDs {
		text = binary.BigEndian.AppendUint32(text, oid)
	}
	sum := sha256.Sum256(text)
	return "s" + base64.RawURLEncoding.EncodeToString(sum[:])
}

func (c *collector) addParse(m *pgproto3.Parse, statements map[string]citronusher.Message) error {
	own := m.Name
	if c.text == "" {
		c.text = m.Query
	}
	m.Name = sharedName(m)
	if err := c.append(pg.StepParse, m.Name, m); err != nil {
		return err
	}
	statements[own] = c.exchange.Messages[len(c.exchange.Messages)-1]
	return nil
}

// requireStatement returns the shared name of a caller's statement, and adds its definition to the statements that the
// exchange requires unless the exchange defines it.
func (c *collector) requireStatement(own string, statements map[string]citronusher.Message) (string, error) {
	definition, ok := statements[own]
	if !ok {
		return "", citronusher.NewNotRun(citronusher.ReasonInput, "prepared statement %q does not exist", own)
	}
	if c.text == "" {
		var parse pgproto3.Parse
		const header = 5
		if err := parse.Decode(definition.Raw[header:]); err != nil {
			return "", fmt.Errorf("statement %q: %w", own, err)
		}
		c.text = parse.Query
	}
	for _, step := range c.exchange.Messages {
		if step.Kind == pg.StepParse && step.Name == definition.Name {
			return definition.Name, nil
		}
	}
	c.exchange.RequiredStatements = append(c.exchange.RequiredStatements, definition)
	return definition.Name, nil
}

func (c *collector) addDescribe(m *pgproto3.Describe, statements map[string]citronusher.Message) error {
	if m.ObjectType != 'S' {
		return c.append(pg.StepDescribe, "", m)
	}
	name, err := c.requireStatement(m.Name, statements)
	if err != nil {
		return err
	}
	m.Name = name
	return c.append(pg.StepDescribe, name, m)
}

// addClose removes a caller's statement. Target connections keep the shared one: a Close message with a name is answered
// without the target.
func (c *collector) addClose(m *pgproto3.Close, statements map[string]citronusher.Message) error {
	if m.ObjectType != 'S' {
		return c.append(pg.StepClose, "", m)
	}
	delete(statements, m.Name)
	return c.append(pg.StepClose, "closed", m)
}

// firstWord returns a statement's first word in lower case.
func firstWord(text string) string {
	text = strings.TrimLeft(text, " \t\r\n(")
	if end := strings.IndexAny(text, " \t\r\n;("); end >= 0 {
		text = text[:end]
	}
	return strings.ToLower(text)
}
