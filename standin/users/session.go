package users

import (
	"bufio"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"
)

// preparedStatement is a statement that a connection has prepared: READ or WRITE, and its shape.
type preparedStatement struct{ action, shape string }

// memberSession is one connection to a member.
type memberSession struct {
	member   *Member
	conn     net.Conn
	reader   *bufio.Reader
	values   map[string]string
	prepared map[string]preparedStatement
	state    string
	readOnly bool
	wrote    bool
	term     uint64 // the member's term when the transaction began
	writes   []entry
}

func (s *memberSession) serve() {
	defer s.conn.Close()
	defer s.member.withLock(func() { delete(s.member.conns, s.conn) })
	if !s.startup() {
		return
	}
	for {
		line, err := s.reader.ReadString('\n')
		if err != nil {
			return
		}
		fields := strings.SplitN(strings.TrimSuffix(line, "\r\n"), " ", 3)
		if len(fields) < 3 || fields[0] != "QUERY" {
			return
		}
		answer, lost := s.statement(fields[1], fields[2])
		s.member.awaitThaw()
		if s.unresponsive() {
			continue
		}
		if lost {
			return
		}
		if _, err := s.conn.Write([]byte(answer)); err != nil {
			return
		}
	}
}

// unresponsive reports whether the member sends no answers.
func (s *memberSession) unresponsive() bool {
	s.member.group.mu.Lock()
	defer s.member.group.mu.Unlock()
	return s.member.unresponsive
}

// startup answers the STARTUP line and reports whether the session may go on.
func (s *memberSession) startup() bool {
	line, err := s.reader.ReadString('\n')
	if err != nil || s.unresponsive() {
		return err == nil
	}
	fields := strings.Fields(line)
	m := s.member
	m.lockRunning()
	answer := "READY I " + m.lastPosition()
	switch {
	case len(fields) < 3 || fields[0] != "STARTUP":
		answer = "ERROR MALFORMED"
	case fields[1] != m.group.name, len(fields) > 3 && fields[3] != m.id:
		answer = "ERROR MISROUTED " + m.id
	case len(m.conns)+m.group.externalConnections > m.group.platform.options.Connections:
		answer = "ERROR TOOMANY"
	}
	m.group.mu.Unlock()
	_, err = s.conn.Write([]byte(answer + "\r\n"))
	return err == nil && strings.HasPrefix(answer, "READY")
}

// A read of slowItem takes slowDuration.
const (
	slowItem     = "slow"
	slowDuration = 8 * time.Second
)

// slottedCommands are the commands that need one of the member's slots.
var slottedCommands = []string{"READ", "WRITE", "COMMIT", "EXECUTE", "AFTERLSN", "STATUS"}

// statement runs one statement and returns its answer. lost means that the connection closes without an answer.
func (s *memberSession) statement(id, text string) (answer string, lost bool) {
	m := s.member
	slotted := slices.Contains(slottedCommands, strings.Fields(text)[0])
	if slotted {
		m.slots <- struct{}{}
		time.Sleep(m.group.platform.options.StatementDuration)
		if strings.HasSuffix(text, "READ "+slowItem) {
			time.Sleep(slowDuration)
		}
		defer func() { <-m.slots }()
	}
	m.lockRunning()
	defer m.group.mu.Unlock()
	if _, open := m.conns[s.conn]; m.crashed || !open {
		return "", true
	}
	if slotted && m.breakNextConn {
		m.breakNextConn = false
		return "", true
	}
	if slotted && m.busyStatements > 0 {
		m.busyStatements--
		return s.errorAnswer("BUSY"), false
	}
	if slotted && m.failStatements > 0 {
		m.failStatements--
		return s.errorAnswer("FAILED"), false
	}
	if slotted && m.busyLeading > 0 && m.role == rolePrimary {
		m.busyStatements, m.busyLeading = m.busyLeading, 0
	}
	body, wrote := s.run(id, text)
	if wrote && m.loseNextAnswer {
		m.loseNextAnswer = false
		return "", true
	}
	return body, false
}

// errorAnswer returns an error answer and marks an open transaction as failed.
func (s *memberSession) errorAnswer(code string) string {
	if s.state == "T" {
		s.state = "E"
	}
	return "ERROR " + code + " refused\r\n" + s.readyLine()
}

func (s *memberSession) readyLine() string {
	return "READY " + s.state + " " + s.member.lastPosition() + "\r\n"
}

// completeAnswer returns the answer to a successful statement.
func (s *memberSession) completeAnswer(rows string) string {
	signature := s.member.record(rows)
	return rows + "COMPLETE " + signature + "\r\n" + s.readyLine()
}

// run executes a statement. wrote reports whether it committed a write.
func (s *memberSession) run(id, text string) (answer string, wrote bool) {
	m := s.member
	fields := strings.Fields(text)
	if fields[0] == "AFTERLSN" {
		if !m.hasPosition(fields[1]) {
			return s.errorAnswer("LAGGING"), false
		}
		fields = fields[2:]
	}
	notPrimary := s.state == "T" && !s.readOnly && (m.role != rolePrimary || m.term != s.term)
	if notPrimary && fields[0] != "ROLLBACK" && (fields[0] != "COMMIT" || s.wrote) {
		return s.errorAnswer("READONLY"), false
	}
	switch fields[0] {
	case "BEGIN":
		return s.begin(len(fields) > 1), false
	case "COMMIT":
		wrote := len(s.writes) > 0 && s.state == "T"
		if wrote {
			s.writeCommitValues()
			m.commit(id, s.writes)
		}
		s.state, s.writes = "I", nil
		return s.completeAnswer(""), wrote
	case "ROLLBACK":
		s.state, s.writes = "I", nil
		return s.completeAnswer(""), false
	case "READ":
		return s.completeAnswer("ROW " + m.read(fields[1]) + "\r\n"), false
	case "WRITE":
		return s.write(id, fields[1], fields[2])
	case "SET":
		s.values[fields[1]] = fields[2]
		return s.completeAnswer(""), false
	case "PREPARE":
		s.prepared[fields[1]] = preparedStatement{action: fields[2], shape: strings.Join(fields[3:], " ")}
		return s.completeAnswer(""), false
	case "EXECUTE":
		return s.execute(id, fields)
	case "DISCARD":
		clear(s.values)
		clear(s.prepared)
		return s.completeAnswer(""), false
	default:
		return s.control(fields), false
	}
}

// writeCommitValues replaces the data commit-values by the session values at the commit, for tests to read.
func (s *memberSession) writeCommitValues() {
	for i := range s.writes {
		if s.writes[i].data == "commit-values" {
			s.writes[i].data = s.formatValues()
		}
	}
}

func (s *memberSession) formatValues() string {
	return strings.ReplaceAll(fmt.Sprint(s.values), " ", "_")
}

func (s *memberSession) begin(readOnly bool) string {
	if !readOnly && s.member.role != rolePrimary {
		return s.errorAnswer("READONLY")
	}
	s.state, s.readOnly, s.wrote, s.term = "T", readOnly, false, s.member.term
	return s.completeAnswer("")
}

func (s *memberSession) write(id, item, data string) (string, bool) {
	if s.member.role != rolePrimary {
		return s.errorAnswer("READONLY"), false
	}
	if data == "values" { // writes the session values for tests to read
		data = s.formatValues()
	}
	e := entry{item: item, data: strings.ReplaceAll(data, " ", "_")}
	if s.state == "T" {
		s.wrote = true
		s.writes = append(s.writes, e)
		return s.completeAnswer(""), false
	}
	s.member.commit(id, []entry{e})
	return s.completeAnswer(""), true
}

func (s *memberSession) execute(id string, fields []string) (string, bool) {
	prepared, ok := s.prepared[fields[1]]
	switch {
	case !ok:
		return s.errorAnswer("NOSTMT"), false
	case prepared.action == "READ" && fields[2] == "shape": // returns the prepared shape for tests to compare
		return s.completeAnswer("ROW " + prepared.shape + "\r\n"), false
	case prepared.action == "READ":
		return s.completeAnswer("ROW " + s.member.read(fields[2]) + "\r\n"), false
	default:
		return s.write(id, fields[2], fields[3])
	}
}

// control runs the commands that proxies send to members: STATUS, PAUSE, RESUME and DEMOTE.
func (s *memberSession) control(fields []string) string {
	m := s.member
	var term uint64
	if len(fields) > 1 {
		var err error
		if term, err = strconv.ParseUint(fields[1], 10, 64); err != nil {
			return s.errorAnswer("MALFORMED")
		}
	}
	switch fields[0] {
	case "STATUS":
	case "PAUSE":
		m.pauses++
		if m.rejectsPause {
			return s.errorAnswer("BUSY")
		}
		if m.role == roleReplica && term > m.term {
			m.pausedTerm = max(m.pausedTerm, term)
		}
	case "RESUME":
		m.pausedTerm = 0
	case "DEMOTE":
		if m.role == rolePrimary && term > m.term {
			m.role = roleReplica
		}
	default:
		return s.errorAnswer("MALFORMED")
	}
	return s.completeAnswer(fmt.Sprintf("ROW %s %d %s %d 0 0 %d\r\n",
		m.role, m.term, m.lastPosition(), m.pausedTerm, len(m.conns)))
}
