//go:build review

package lab

import (
	"bufio"
	"fmt"
	"maps"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"
)

// memberSession is one connection to a member.
type memberSession struct {
	member   *Member
	conn     net.Conn
	reader   *bufio.Reader
	values   map[string]string
	prepared map[string]string
	state    string
	readOnly bool
	wrote    bool
	term     uint64 // the member's term when the transaction began
	writes   []entry
	owner    func() int // returns the id of the process at the other end, 0 if the platform does not know the processes
}

func (s *memberSession) serve() {
	defer s.conn.Close()
	defer s.member.withLock(func() { delete(s.member.conns, s.conn) })
	if pids := s.member.group.platform.options.Processes; pids != nil {
		s.owner = findOwner(s.conn, pids())
	}
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
		if s.isCut() {
			continue
		}
		answer, lost := s.statement(fields[1], fields[2])
		if s.unresponsive() || s.isCut() {
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
	if err != nil || s.unresponsive() || s.isCut() {
		return err == nil
	}
	fields := strings.Fields(line)
	m := s.member
	m.group.mu.Lock()
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

// slottedCommands are the commands that need one of the member's slots.
var slottedCommands = []string{"READ", "WRITE", "COMMIT", "EXECUTE", "AFTERLSN", "STATUS"}

// statement runs one statement and returns its answer. lost means that the connection closes without an answer.
func (s *memberSession) statement(id, text string) (answer string, lost bool) {
	m := s.member
	slotted := slices.Contains(slottedCommands, strings.Fields(text)[0])
	if slotted {
		m.slots <- struct{}{}
		defer func() { <-m.slots }()
		o := m.group.platform.options
		duration := o.StatementDuration
		if id != "-" && o.Work != nil {
			duration = o.Work(text)
		}
		if id != "-" && o.OnRun != nil {
			o.OnRun(m.id, id, text, false)
			defer o.OnRun(m.id, id, text, true)
		}
		time.Sleep(duration)
	}
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
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
	signature := fmt.Sprintf("%s.%d.%s", s.member.id, s.member.term, s.member.lastPosition())
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
		if onCommit := m.group.platform.options.OnCommit; onCommit != nil {
			onCommit(m.id, id, maps.Clone(s.values))
		}
		if wrote {
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
		s.prepared[fields[1]] = strings.Join(fields[2:], " ")
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
		data = fmt.Sprint(s.values)
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

// execute runs a prepared statement. A read returns its shape with the item's value, as its result depends on both.
func (s *memberSession) execute(id string, fields []string) (string, bool) {
	prepared, ok := s.prepared[fields[1]]
	if !ok {
		return s.errorAnswer("NOSTMT"), false
	}
	action, shape, _ := strings.Cut(prepared, " ")
	if onExecute := s.member.group.platform.options.OnExecute; onExecute != nil {
		onExecute(s.member.id, id, action, shape)
	}
	if action == "READ" {
		return s.completeAnswer("ROW " + shape + " " + s.member.read(fields[2]) + "\r\n"), false
	}
	return s.write(id, fields[2], fields[3])
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
