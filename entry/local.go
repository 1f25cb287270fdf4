package entry

import (
	"regexp"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/pg"
)

// settingPrefix is the prefix of the session settings of the proxy itself.
const settingPrefix = "citronusher."

var (
	setPattern = regexp.MustCompile(
		`(?is)^\s*set\s+(?:session\s+)?citronusher\.(\w+)\s*(?:=|\s+to\s+)\s*'?([^']*?)'?\s*;?\s*$`)
	showPattern      = regexp.MustCompile(`(?is)^\s*show\s+citronusher\.(\w+)\s*;?\s*$`)
	otherSetPattern  = regexp.MustCompile(`(?is)^\s*(set\s+(?:session\s+)?(\w+)|listen|unlisten)\b`)
	transactionWords = map[string]bool{"local": true, "transaction": true, "constraints": true}
)

// set changes a session setting. Its error is a *citronusher.Failure.
func (s *callerSession) set(name, value string) error {
	switch name {
	case "profile":
		if _, ok := s.entry.config.Document().Profile(value); !ok {
			return citronusher.NewNotRun(citronusher.ReasonProfile, "profile %q is not configured", value)
		}
		s.profile = value
	case "token":
		if err := s.session.MergeToken(value); err != nil {
			return citronusher.NewNotRun(citronusher.ReasonInput, "%v", err)
		}
	case "request":
		s.request = value
	default:
		return citronusher.NewNotRun(citronusher.ReasonInput,
			"citronusher.%s cannot be set (allowed: profile, request, token; session at start-up)", name)
	}
	return nil
}

// show returns the value of a session setting. Its error is a *citronusher.Failure.
func (s *callerSession) show(name string) (string, error) {
	switch name {
	case "profile":
		return s.profile, nil
	case "token":
		return s.session.Token(), nil
	case "request":
		return s.request, nil
	case "session":
		return s.session.Name(), nil
	default:
		return "", citronusher.NewNotRun(citronusher.ReasonInput, "citronusher.%s does not exist", name)
	}
}

// localAnswer is the entry's own answer to a statement that is not sent to a target.
type localAnswer struct {
	rows []pgproto3.BackendMessage
	tag  string
}

// answerLocally answers SET and SHOW of session settings, and rejects statements that would leave state on a target
// connection. handled is false for all other statements.
func (s *callerSession) answerLocally(text string) (answer localAnswer, handled bool, err error) {
	if match := setPattern.FindStringSubmatch(text); match != nil {
		return localAnswer{tag: "SET"}, true, s.set(strings.ToLower(match[1]), match[2])
	}
	if match := showPattern.FindStringSubmatch(text); match != nil {
		value, err := s.show(strings.ToLower(match[1]))
		return localAnswer{rows: showRows(match[1], value), tag: "SHOW"}, true, err
	}
	if s.aborted {
		return s.answerAborted(text)
	}
	if match := otherSetPattern.FindStringSubmatch(text); match != nil && !transactionWords[strings.ToLower(match[2])] {
		return localAnswer{}, true, citronusher.NewNotRun(citronusher.ReasonInput,
			"%s is not supported: target connections are shared, so that a setting would not stay with this session; "+
				"use SET LOCAL in a transaction", strings.TrimSpace(match[0]))
	}
	return localAnswer{}, false, nil
}

// answerAborted answers a statement of a session whose open transaction is already rolled back. Statements are rejected
// until the caller ends the transaction, so that none runs outside the transaction that it belongs to.
func (s *callerSession) answerAborted(text string) (localAnswer, bool, error) {
	switch firstWord(text) {
	case "rollback", "abort", "commit", "end":
		s.aborted = false
		s.status = pg.StatusIdle
		return localAnswer{tag: "ROLLBACK"}, true, nil
	default:
		return localAnswer{}, true, citronusher.NewNotRun(citronusher.ReasonGone,
			"the transaction was rolled back because of an earlier failure; commands are ignored until ROLLBACK")
	}
}

// showRows returns the row description and the row of the answer to SHOW.
func showRows(name, value string) []pgproto3.BackendMessage {
	field := pgproto3.FieldDescription{
		Name: []byte(settingPrefix + name), DataTypeOID: pgtype.TextOID, DataTypeSize: -1, TypeModifier: -1,
	}
	return []pgproto3.BackendMessage{
		&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{field}},
		&pgproto3.DataRow{Values: [][]byte{[]byte(value)}},
	}
}

// sendLocal sends a local answer, with one answer message for each message of the exchange that requires one.
func (s *callerSession) sendLocal(exchange citronusher.Exchange, answer localAnswer) error {
	for _, step := range exchange.Messages {
		var messages []pgproto3.BackendMessage
		switch step.Kind {
		case pg.StepQuery:
			messages = append(messages, answer.rows...)
			messages = append(messages, &pgproto3.CommandComplete{CommandTag: []byte(answer.tag)})
		case pg.StepParse:
			messages = append(messages, &pgproto3.ParseComplete{})
		case pg.StepBind:
			messages = append(messages, &pgproto3.BindComplete{})
		case pg.StepClose:
			messages = append(messages, &pgproto3.CloseComplete{})
		case pg.StepDescribe:
			messages = describeLocal(step, answer)
		case pg.StepExecute:
			if len(answer.rows) > 0 {
				messages = append(messages, answer.rows[1:]...)
			}
			messages = append(messages, &pgproto3.CommandComplete{CommandTag: []byte(answer.tag)})
		}
		if err := s.send(messages...); err != nil {
			return err
		}
	}
	return nil
}

// describeLocal returns the answer to a Describe message. It has a name if it describes a statement, not a portal.
func describeLocal(step citronusher.Message, answer localAnswer) []pgproto3.BackendMessage {
	var messages []pgproto3.BackendMessage
	if step.Name != "" {
		messages = append(messages, &pgproto3.ParameterDescription{})
	}
	if len(answer.rows) == 0 {
		return append(messages, &pgproto3.NoData{})
	}
	return append(messages, answer.rows[0])
}
