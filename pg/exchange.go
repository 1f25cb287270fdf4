package pg

import (
	"context"
	"fmt"
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

// Answer summarizes a target's answer to an exchange.
type Answer struct {
	// Status is the transaction status byte after the exchange.
	Status byte
	// ErrorCode is the SQLSTATE of the target's error; empty when there was none.
	ErrorCode string
	// Message is the text of the target's error.
	Message string
	// CommandTag is the last command tag.
	CommandTag string
	// Commands is the number of command tags.
	Commands int
	// Shown is the number of other messages passed on that tell something of the target's data, such as rows.
	Shown int
}

// expectedAnswer is an answer that is still missing, from the target or from the connection itself.
type expectedAnswer struct {
	kind        byte
	name        string // of the statement that the message defines
	internal    bool   // the message was added here, so that its answer is not passed to the caller
	localAnswer []byte // the encoded answer, when the target is not sent the message
}

// Run sends an exchange and passes the encoded answers to sink, without ReadyForQuery. Its error is a
// *citronusher.Failure with the exchange's outcome, or an error from encoding a message; the connection must then be
// closed. When ctx ends, Run sends the target a cancel request and waits at most cancelTimeout for its answer.
func (c *Conn) Run(ctx context.Context, exchange citronusher.Exchange, sink citronusher.Sink) (Answer, error) {
	raw, expected, err := c.encodeExchange(exchange)
	if err != nil {
		return Answer{}, err
	}
	before := c.status
	if err := ctx.Err(); err != nil {
		return Answer{}, NewContextEnded(err)
	}
	_ = c.conn.SetDeadline(time.Time{})
	cancelled := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(cancelled)
		_ = c.conn.SetDeadline(time.Now().Add(cancelTimeout))
		c.cancel()
	})
	defer func() {
		if !stop() { // the cancel request may arrive late and must not cancel a later request on this connection
			<-cancelled
			c.dirty = true
		}
	}()
	sent, err := c.conn.Write(raw)
	if err != nil {
		return Answer{}, c.failure(before, exchange, sent, len(raw), err)
	}
	answer, err := c.receiveAnswers(expected, exchange.Partial, len(raw) == 0, sink)
	if err != nil {
		return answer, c.failure(before, exchange, len(raw), len(raw), err)
	}
	if exchange.Partial && answer.ErrorCode == "" {
		answer.Status = statusAfter(exchange, answer.Status)
	}
	c.status = answer.Status
	c.unsynced = exchange.Partial || (c.unsynced && len(raw) == 0)
	return answer, nil
}

// encodeExchange returns the bytes to send and the answers to expect. It prepends the definitions of prepared statements
// that the connection does not have, and leaves out messages that can be answered without the target.
func (c *Conn) encodeExchange(exchange citronusher.Exchange) ([]byte, []expectedAnswer, error) {
	var raw []byte
	var expected []expectedAnswer
	defined := map[string]bool{}
	for _, step := range exchange.RequiredStatements {
		if !c.prepared[step.Name] && !defined[step.Name] {
			defined[step.Name] = true
			raw = append(raw, step.Raw...)
			expected = append(expected, expectedAnswer{kind: StepParse, name: step.Name, internal: true})
		}
	}
	for _, step := range exchange.Messages {
		e := expectedAnswer{kind: step.Kind, name: step.Name}
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
			e.localAnswer = step.RecordedAnswer
		case own == nil:
			raw = append(raw, step.Raw...)
		default:
			encoded, err := own.Encode(nil)
			if err != nil {
				return nil, nil, fmt.Errorf("encode: %w", err)
			}
			e.localAnswer = encoded
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

// StatementText returns the SQL text of a Query or Parse message, and an empty string for any other.
func StatementText(step citronusher.Message) string {
	switch step.Kind {
	case StepQuery:
		var m pgproto3.Query
		if m.Decode(step.Raw[messageHeaderSize:]) == nil {
			return m.String
		}
	case StepParse:
		var m pgproto3.Parse
		if m.Decode(step.Raw[messageHeaderSize:]) == nil {
			return m.Query
		}
	}
	return ""
}

// receiveAnswers reads the target's answers until the exchange is complete, and passes them to sink.
func (c *Conn) receiveAnswers(
	expected []expectedAnswer, partial, nothingSent bool, sink citronusher.Sink,
) (Answer, error) {
	answer := Answer{Status: c.status}
	var err error
	for {
		if expected, err = c.sendLocalAnswers(expected, sink); err != nil {
			return answer, err
		}
		if len(expected) == 0 && (partial || nothingSent) {
			return answer, nil
		}
		if partial && c.discarding {
			return answer, nil
		}
		message, err := c.frontend.Receive()
		if err != nil {
			return answer, err
		}
		switch m := message.(type) {
		case *pgproto3.ReadyForQuery:
			c.discarding = false
			answer.Status = m.TxStatus
			return answer, nil
		case *pgproto3.ParameterStatus, *pgproto3.NotificationResponse:
			continue
		case *pgproto3.CopyInResponse, *pgproto3.CopyBothResponse:
			if err := c.rejectCopy(); err != nil {
				return answer, err
			}
			continue
		case *pgproto3.ErrorResponse:
			if m.Severity == "FATAL" {
				return answer, fmt.Errorf("target ended the connection: %s (%s)", m.Message, m.Code)
			}
			answer.ErrorCode, answer.Message = m.Code, m.Message
			c.discardUntilSync(expected)
			expected = onlyReadyForQuery(expected)
			setOutcome(m, citronusher.Ran)
		case *pgproto3.CommandComplete:
			answer.CommandTag = string(m.CommandTag)
			answer.Commands++
			c.checkSessionState(answer.CommandTag)
		}
		hidden := false
		if expected, hidden = matchAnswer(expected, message); hidden {
			continue
		}
		if shows(message) {
			answer.Shown++
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

// shows reports whether a message tells something of the target's data beside a command tag. Rows do, and PortalSuspended,
// which ends a page of rows without a tag.
func shows(message pgproto3.BackendMessage) bool {
	switch message.(type) {
	case *pgproto3.CommandComplete, *pgproto3.EmptyQueryResponse:
		return false
	case *pgproto3.ParseComplete, *pgproto3.BindComplete, *pgproto3.CloseComplete, *pgproto3.NoData:
		return false
	}
	return true
}

// sendLocalAnswers passes on the answers to messages that were not sent to the target, up to the next one that was.
func (c *Conn) sendLocalAnswers(expected []expectedAnswer, sink citronusher.Sink) ([]expectedAnswer, error) {
	for len(expected) > 0 && expected[0].localAnswer != nil && !c.discarding {
		if err := sink(expected[0].localAnswer); err != nil {
			return expected, fmt.Errorf("caller: %w", err)
		}
		expected = expected[1:]
	}
	return expected, nil
}

// discardUntilSync records that the target discards extended messages until Sync. Statements whose Parse has not been
// answered are not prepared. After a simple query nothing is discarded.
func (c *Conn) discardUntilSync(expected []expectedAnswer) {
	for _, e := range expected {
		if e.kind == StepQuery {
			return
		}
	}
	c.discarding = true
	for _, e := range expected {
		if e.kind == StepParse && e.localAnswer == nil {
			delete(c.prepared, e.name)
		}
	}
}

// onlyReadyForQuery keeps only the last expected answer, the ReadyForQuery that ends the exchange.
func onlyReadyForQuery(expected []expectedAnswer) []expectedAnswer {
	if len(expected) == 0 {
		return expected
	}
	return expected[len(expected)-1:]
}

// matchAnswer removes the first expected answer if message completes it, and reports whether the message must be
// withheld from the caller.
func matchAnswer(expected []expectedAnswer, message pgproto3.BackendMessage) ([]expectedAnswer, bool) {
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
		return expected[1:], first.internal
	}
	return expected, false
}

// checkSessionState marks the connection as not reusable when the command tag is of a statement that changes session
// state.
func (c *Conn) checkSessionState(tag string) {
	word, _, _ := strings.Cut(tag, " ")
	switch word {
	case "SET", "LISTEN", "PREPARE", "LOAD", "DISCARD", "DEALLOCATE":
		c.dirty = true
	}
}

// rejectCopy answers COPY FROM with CopyFail; the target then ends the statement with an error.
func (c *Conn) rejectCopy() error {
	raw, err := (&pgproto3.CopyFail{Message: "COPY FROM is not supported"}).Encode(nil)
	if err != nil {
		return fmt.Errorf("encode: %w", err)
	}
	_, err = c.conn.Write(raw)
	return err
}

// Query runs an internal statement of the proxy and returns the first column of its rows. Its error is that of Run.
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
		if err := row.Decode(raw[messageHeaderSize:]); err != nil {
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
