package pg

import (
	"context"
	"errors"
	"fmt"
	"regexp"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"citronusher.example/citronusher"
)

// The transaction status bytes of ReadyForQuery.
const (
	StatusIdle   byte = 'I'
	StatusActive byte = 'T'
	StatusFailed byte = 'E'
)

// commitPattern matches every statement that can end a transaction with effect. It may match more.
var commitPattern = regexp.MustCompile(`(?i)\b(commit|end|prepare)\b`)

// MayCommit reports whether the exchange could commit an open transaction. It errs on the side of true.
func MayCommit(exchange citronusher.Exchange) bool {
	for _, steps := range [][]citronusher.Message{exchange.Messages, exchange.RequiredStatements} {
		for _, step := range steps {
			if (step.Kind == StepQuery || step.Kind == StepParse) &&
				commitPattern.Match(step.Raw) {
				return true
			}
		}
	}
	return false
}

// Answer is how a target answered an exchange.
type Answer struct {
	// Status is the transaction status afterwards.
	Status byte
	// Failed is the SQLSTATE of the target's error; empty when there was none.
	Failed string
	// Message is the text of the target's error.
	Message string
	// Tag is the last command tag.
	Tag string
}

// expectation is one answer that the target, or the connection itself, still owes.
type expectation struct {
	kind      byte
	name      string // of the statement that the message defines
	hidden    bool   // the caller did not send it
	synthetic []byte // answered here without asking the target
}

// Run sends an exchange and passes the encoded answers to sink, without ReadyForQuery. Its error is a
// *citronusher.Failure that says whether the exchange ran; the connection must then be closed. When ctx ends, the
// target is asked to cancel and has a short time to answer.
func (c *Conn) Run(ctx context.Context, exchange citronusher.Exchange, sink citronusher.Sink) (Answer, error) {
	raw, expected, err := c.plan(exchange)
	if err != nil {
		return Answer{}, err
	}
	before := c.status
	if err := ctx.Err(); err != nil {
		return Answer{}, Ended(err)
	}
	_ = c.conn.SetDeadline(time.Time{})
	cancelled := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(cancelled)
		_ = c.conn.SetDeadline(time.Now().Add(cancelWait))
		c.cancel()
	})
	defer func() {
		if !stop() { // the cancel request may still arrive: it must not meet another request here
			<-cancelled
			c.dirty = true
		}
	}()
	sent, err := c.conn.Write(raw)
	if err != nil {
		return Answer{}, c.broken(before, exchange, sent == len(raw), err)
	}
	answer, err := c.receive(expected, exchange.Partial, len(raw) == 0, sink)
	if err != nil {
		return answer, c.broken(before, exchange, true, err)
	}
	c.status = answer.Status
	return answer, nil
}

// Ended is the failure of a request whose context ended with err before it was sent.
func Ended(err error) error {
	if errors.Is(err, context.Canceled) {
		return citronusher.NewNotRun(citronusher.ReasonCancel, "the request was cancelled before it was sent")
	}
	return citronusher.NewNotRun(citronusher.ReasonDeadline, "the deadline passed before the request was sent")
}

// broken says what is known of an exchange whose connection broke.
func (c *Conn) broken(before byte, exchange citronusher.Exchange, sent bool, cause error) error {
	c.dirty = true
	switch {
	case !sent && before == StatusIdle:
		return citronusher.NewNotRun(citronusher.ReasonBroken, "the target connection broke before the request was sent: %v",
			cause)
	case before == StatusFailed || (before == StatusActive && (!sent || !MayCommit(exchange))):
		return citronusher.NewNotRun(citronusher.ReasonBroken,
			"the target connection broke before the transaction's commit was sent; the transaction is rolled back: %v", cause)
	default:
		return citronusher.NewUnknown(citronusher.ReasonBroken, "the target connection broke before the answer came: %v", cause)
	}
}

// plan returns the bytes to send and the answers to expect.
func (c *Conn) plan(exchange citronusher.Exchange) ([]byte, []expectation, error) {
	var raw []byte
	var expected []expectation
	defined := map[string]bool{}
	for _, step := range exchange.RequiredStatements {
		if !c.prepared[step.Name] && !defined[step.Name] {
			defined[step.Name] = true
			raw = append(raw, step.Raw...)
			expected = append(expected, expectation{kind: StepParse, name: step.Name, hidden: true})
		}
	}
	for _, step := range exchange.Messages {
		e := expectation{kind: step.Kind, name: step.Name}
		var own pgproto3.BackendMessage
		switch {
		case step.Kind == StepParse && (c.prepared[step.Name] || defined[step.Name]):
			own = &pgproto3.ParseComplete{}
		case step.Kind == StepParse:
			defined[step.Name] = true
		case step.Kind == StepClose && step.Name != "":
			own = &pgproto3.CloseComplete{}
		}
		switch {
		case step.RecordedAnswer != nil:
			e.synthetic = step.RecordedAnswer
		case own == nil:
			raw = append(raw, step.Raw...)
		default:
			encoded, err := own.Encode(nil)
			if err != nil {
				return nil, nil, fmt.Errorf("encode: %w", err)
			}
			e.synthetic = encoded
		}
		expected = append(expected, e)
	}
	for name := range defined {
		c.prepared[name] = true
	}
	if len(raw) == 0 && !exchange.Partial {
		return nil, expected, nil
	}
	if exchange.Partial {
		flush, err := (&pgproto3.Flush{}).Encode(nil)
		if err != nil {
			return nil, nil, fmt.Errorf("encode: %w", err)
		}
		raw = append(raw, flush...)
	}
	return raw, expected, nil
}

// StatementText returns the SQL of a step that carries some.
func StatementText(step citronusher.Message) string {
	switch step.Kind {
	case StepQuery:
		var m pgproto3.Query
		if m.Decode(step.Raw[messageHeader:]) == nil {
			return m.String
		}
	case StepParse:
		var m pgproto3.Parse
		if m.Decode(step.Raw[messageHeader:]) == nil {
			return m.Query
		}
	}
	return ""
}

// receive reads answers until the exchange is complete.
func (c *Conn) receive(expected []expectation, partial, nothingSent bool, sink citronusher.Sink) (Answer, error) {
	answer := Answer{Status: c.status}
	var err error
	for {
		if expected, err = c.emitSynthetic(expected, sink); err != nil {
			return answer, err
		}
		if len(expected) == 0 && (partial || nothingSent) {
			return answer, nil
		}
		if partial && c.skipping {
			return answer, nil
		}
		message, err := c.frontend.Receive()
		if err != nil {
			return answer, err
		}
		switch m := message.(type) {
		case *pgproto3.ReadyForQuery:
			c.skipping = false
			answer.Status = m.TxStatus
			return answer, nil
		case *pgproto3.ParameterStatus, *pgproto3.NotificationResponse:
			continue
		case *pgproto3.CopyInResponse, *pgproto3.CopyBothResponse:
			if err := c.refuseCopy(); err != nil {
				return answer, err
			}
			continue
		case *pgproto3.ErrorResponse:
			if m.Severity == "FATAL" {
				return answer, fmt.Errorf("target ended the connection: %s (%s)", m.Message, m.Code)
			}
			answer.Failed, answer.Message = m.Code, m.Message
			c.fail(expected)
			expected = afterError(expected)
			tagOutcome(m, citronusher.Ran)
		case *pgproto3.CommandComplete:
			answer.Tag = string(m.CommandTag)
			c.noteState(answer.Tag)
		}
		hidden := false
		if expected, hidden = consume(expected, message); hidden {
			continue
		}
		raw, err := message.Encode(nil)
		if err != nil {
			return answer, fmt.Errorf("encode: %w", err)
		}
		if err := sink(raw); err != nil {
			return answer, fmt.Errorf("caller: %w", err)
		}
	}
}

// emitSynthetic passes on the answers that come from the connection itself.
func (c *Conn) emitSynthetic(expected []expectation, sink citronusher.Sink) ([]expectation, error) {
	for len(expected) > 0 && expected[0].synthetic != nil && !c.skipping {
		if err := sink(expected[0].synthetic); err != nil {
			return expected, fmt.Errorf("caller: %w", err)
		}
		expected = expected[1:]
	}
	return expected, nil
}

// fail notes that the target ignores extended messages until Sync. Statements whose definition is still owed are not
// prepared.
func (c *Conn) fail(expected []expectation) {
	for _, e := range expected {
		if e.kind == StepQuery {
			return
		}
	}
	c.skipping = true
	for _, e := range expected {
		if e.kind == StepParse && e.synthetic == nil {
			delete(c.prepared, e.name)
		}
	}
}

// afterError keeps only the ReadyForQuery that ends the exchange.
func afterError(expected []expectation) []expectation {
	if len(expected) == 0 {
		return expected
	}
	return expected[len(expected)-1:]
}

// consume drops the expectation that message completes and reports whether the message is not for the caller.
func consume(expected []expectation, message pgproto3.BackendMessage) ([]expectation, bool) {
	if len(expected) == 0 {
		return expected, false
	}
	first := expected[0]
	complete := false
	switch message.(type) {
	case *pgproto3.ParseComplete, *pgproto3.BindComplete, *pgproto3.CloseComplete, *pgproto3.NoData:
		complete = true
	case *pgproto3.RowDescription:
		complete = first.kind == StepDescribe
	case *pgproto3.CommandComplete, *pgproto3.EmptyQueryResponse, *pgproto3.PortalSuspended:
		complete = first.kind == StepExecute
	}
	if complete {
		return expected[1:], first.hidden
	}
	return expected, false
}

// noteState marks the connection when a statement left session state on it.
func (c *Conn) noteState(tag string) {
	word, _, _ := strings.Cut(tag, " ")
	switch word {
	case "SET", "LISTEN", "PREPARE", "LOAD", "DISCARD", "DEALLOCATE":
		c.dirty = true
	}
}

func (c *Conn) refuseCopy() error {
	raw, err := (&pgproto3.CopyFail{Message: "COPY FROM is not supported"}).Encode(nil)
	if err != nil {
		return fmt.Errorf("encode: %w", err)
	}
	_, err = c.conn.Write(raw)
	return err
}

// Query runs a statement of the proxy's own and returns the first column of its rows.
func (c *Conn) Query(ctx context.Context, sql string) ([]string, Answer, error) {
	raw, err := (&pgproto3.Query{String: sql}).Encode(nil)
	if err != nil {
		return nil, Answer{}, fmt.Errorf("encode: %w", err)
	}
	var values []string
	sink := func(raw []byte) error {
		if raw[0] != 'D' {
			return nil
		}
		var row pgproto3.DataRow
		if err := row.Decode(raw[messageHeader:]); err != nil {
			return err
		}
		if len(row.Values) > 0 {
			values = append(values, string(row.Values[0]))
		}
		return nil
	}
	exchange := citronusher.Exchange{Messages: []citronusher.Message{{Kind: StepQuery, Raw: raw}}}
	answer, err := c.Run(ctx, exchange, sink)
	return values, answer, err
}
