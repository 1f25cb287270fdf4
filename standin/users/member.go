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

const (
	rolePrimary = "primary"
	roleReplica = "replica"
)

// Member is one member of a group. Its group's mutex guards it.
type Member struct {
	group    *Group
	id       string
	address  string
	listener net.Listener
	slots    chan struct{}
	born     int64

	role     string
	term     uint64
	held     uint64
	log      []entry
	times    []time.Time // of the commits that it made as primary; the zero time for older ones
	ledSince time.Time
	conns    map[net.Conn]struct{}

	crashed, dark, deaf, cut, leaving bool
	loseNext                          bool // the next answer to a write or commit is lost
	breakNext                         bool // the next read, write or commit breaks its connection and does not run
	busyNext                          int  // so many statements are refused
	failNext                          int  // so many statements fail
	pauses                            int
	stubborn                          bool // orders to stop receiving are refused
}

func newMember(g *Group, id string) (*Member, error) {
	m := &Member{
		group: g, id: id, role: roleReplica, term: 1, conns: map[net.Conn]struct{}{},
		slots: make(chan struct{}, g.platform.options.Slots), born: time.Now().UnixMilli(),
	}
	return m, m.listen("127.0.0.1:0")
}

func (m *Member) listen(address string) error {
	listener, err := net.Listen("tcp", address) //nolint:noctx // a test program
	if err != nil {
		return fmt.Errorf("stand-in member: %w", err)
	}
	m.listener, m.address = listener, listener.Addr().String()
	m.group.platform.tasks.Go(func() { m.accept(listener) })
	return nil
}

// ID returns the member's id.
func (m *Member) ID() string { return m.id }

// with changes the member under its group's mutex.
func (m *Member) with(change func()) {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	change()
}

// Crash makes the member refuse connections and drop the open ones. Its log stays.
func (m *Member) Crash() {
	m.with(func() { m.crashed = true })
	m.stop()
}

// Restart starts a crashed member again with its log; it forgets that it was told to stop receiving.
func (m *Member) Restart() error {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	m.crashed, m.held = false, 0
	return m.listen(m.address)
}

// Darken makes the member answer nothing any more, or answer again.
func (m *Member) Darken(dark bool) { m.with(func() { m.dark = dark }) }

// Cut partitions a primary from the other members, or ends that.
func (m *Member) Cut(cut bool) { m.with(func() { m.cut = cut }) }

// Deafen makes a replica receive nothing, or receive again.
func (m *Member) Deafen(deaf bool) { m.with(func() { m.deaf = deaf }) }

// Leave makes the member report that it takes no new work.
func (m *Member) Leave() { m.with(func() { m.leaving = true }) }

// Hold makes the member stop receiving under a term, as an earlier claimant would.
func (m *Member) Hold(term uint64) { m.with(func() { m.held = max(m.held, term) }) }

// Held returns the highest term under which the member was told to stop receiving.
func (m *Member) Held() uint64 {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	return m.held
}

// LoseAnswer makes the answer to the next write or commit get lost after it took effect.
func (m *Member) LoseAnswer() { m.with(func() { m.loseNext = true }) }

// Break makes the connection of the next read, write or commit break before it runs.
func (m *Member) Break() { m.with(func() { m.breakNext = true }) }

// Insist makes the member refuse orders to stop receiving, or take them again.
func (m *Member) Insist(stubborn bool) { m.with(func() { m.stubborn = stubborn }) }

// Fail makes the member run the next statements and fail.
func (m *Member) Fail(count int) { m.with(func() { m.failNext = count }) }

// Refuse makes the member refuse the next statements as busy.
func (m *Member) Refuse(count int) { m.with(func() { m.busyNext = count }) }

// Connections returns how many connections are open.
func (m *Member) Connections() int {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	return len(m.conns)
}

func (m *Member) stop() {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	m.listener.Close()
	for conn := range m.conns {
		conn.Close()
	}
}

func (m *Member) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		s := &memberSession{
			member: m, conn: conn, reader: bufio.NewReader(conn), values: map[string]string{}, prepared: map[string]string{},
			state: "I",
		}
		m.with(func() { m.conns[conn] = struct{}{} })
		m.group.platform.tasks.Go(s.serve)
	}
}

func (m *Member) end() string {
	if len(m.log) == 0 {
		return fmt.Sprintf("%d.0", min(m.term, 1))
	}
	return m.log[len(m.log)-1].position()
}

// holds reports whether the log holds a position.
func (m *Member) holds(position string) bool {
	if strings.HasSuffix(position, ".0") {
		return true
	}
	for i := len(m.log) - 1; i >= 0; i-- {
		if m.log[i].position() == position {
			return true
		}
	}
	return false
}

func (m *Member) read(item string) string {
	for i := len(m.log) - 1; i >= 0; i-- {
		if m.log[i].item == item {
			return m.log[i].data
		}
	}
	return "none"
}

// commit appends writes as one commit.
func (m *Member) commit(id string, writes []entry) {
	if len(writes) == 0 {
		return
	}
	number := uint64(1)
	if n := len(m.log); n > 0 {
		number = m.log[n-1].number + 1
	}
	for len(m.times) < len(m.log) {
		m.times = append(m.times, time.Time{})
	}
	for _, w := range writes {
		w.term, w.number = m.term, number
		m.log = append(m.log, w)
		m.times = append(m.times, time.Now())
	}
	m.group.commits[id]++
	for _, other := range m.group.members {
		if other.role == rolePrimary && other.term > m.term {
			m.group.late[id] = true
		}
	}
}

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
	term     uint64 // under which the transaction began
	writes   []entry
}

func (s *memberSession) serve() {
	defer s.conn.Close()
	defer s.member.with(func() { delete(s.member.conns, s.conn) })
	if !s.start() {
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
		if s.silent() {
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

func (s *memberSession) silent() bool {
	s.member.group.mu.Lock()
	defer s.member.group.mu.Unlock()
	return s.member.dark
}

func (s *memberSession) start() bool {
	line, err := s.reader.ReadString('\n')
	if err != nil || s.silent() {
		return err == nil
	}
	fields := strings.Fields(line)
	m := s.member
	m.group.mu.Lock()
	answer := "READY I " + m.end()
	switch {
	case len(fields) < 3 || fields[0] != "STARTUP":
		answer = "ERROR MALFORMED"
	case fields[1] != m.group.name, len(fields) > 3 && fields[3] != m.id:
		answer = "ERROR MISROUTED " + m.id
	case len(m.conns)+m.group.taken > m.group.platform.options.Connections:
		answer = "ERROR TOOMANY"
	}
	m.group.mu.Unlock()
	_, err = s.conn.Write([]byte(answer + "\r\n"))
	return err == nil && strings.HasPrefix(answer, "READY")
}

// slottedWords begin the statements that take a slot.
var slottedWords = []string{"READ", "WRITE", "COMMIT", "EXECUTE", "AFTERLSN", "STATUS"}

// statement runs one statement and returns its answer, or lost when the answer never arrives.
func (s *memberSession) statement(id, text string) (answer string, lost bool) {
	m := s.member
	slotted := slices.Contains(slottedWords, strings.Fields(text)[0])
	if slotted {
		m.slots <- struct{}{}
		time.Sleep(m.group.platform.options.Work)
		defer func() { <-m.slots }()
	}
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	if slotted && m.breakNext {
		m.breakNext = false
		return "", true
	}
	if slotted && m.busyNext > 0 {
		m.busyNext--
		return s.failed("BUSY"), false
	}
	if slotted && m.failNext > 0 {
		m.failNext--
		return s.failed("FAILED"), false
	}
	body, wrote := s.run(id, text)
	if wrote && m.loseNext {
		m.loseNext = false
		return "", true
	}
	return body, false
}

func (s *memberSession) failed(code string) string {
	if s.state == "T" {
		s.state = "E"
	}
	return "ERROR " + code + " refused\r\n" + s.ready()
}

func (s *memberSession) ready() string { return "READY " + s.state + " " + s.member.end() + "\r\n" }

func (s *memberSession) done(rows string) string {
	signature := fmt.Sprintf("%s.%d.%s", s.member.id, s.member.term, s.member.end())
	return rows + "COMPLETE " + signature + "\r\n" + s.ready()
}

// run carries a statement out. wrote tells whether it committed something.
func (s *memberSession) run(id, text string) (answer string, wrote bool) {
	m := s.member
	fields := strings.Fields(text)
	if fields[0] == "AFTERLSN" {
		if !m.holds(fields[1]) {
			return s.failed("LAGGING"), false
		}
		fields = fields[2:]
	}
	lostLead := s.state == "T" && !s.readOnly && (m.role != rolePrimary || m.term != s.term)
	if lostLead && fields[0] != "ROLLBACK" && (fields[0] != "COMMIT" || s.wrote) {
		return s.failed("READONLY"), false
	}
	switch fields[0] {
	case "BEGIN":
		return s.begin(len(fields) > 1), false
	case "COMMIT":
		wrote := len(s.writes) > 0 && s.state == "T"
		if wrote {
			m.commit(id, s.writes)
		}
		s.state, s.writes = "I", nil
		return s.done(""), wrote
	case "ROLLBACK":
		s.state, s.writes = "I", nil
		return s.done(""), false
	case "READ":
		return s.done("ROW " + m.read(fields[1]) + "\r\n"), false
	case "WRITE":
		return s.write(id, fields[1], fields[2])
	case "SET":
		s.values[fields[1]] = fields[2]
		return s.done(""), false
	case "PREPARE":
		s.prepared[fields[1]] = fields[2]
		return s.done(""), false
	case "EXECUTE":
		return s.execute(id, fields)
	case "DISCARD":
		clear(s.values)
		clear(s.prepared)
		return s.done(""), false
	default:
		return s.control(fields), false
	}
}

func (s *memberSession) begin(readOnly bool) string {
	if !readOnly && s.member.role != rolePrimary {
		return s.failed("READONLY")
	}
	s.state, s.readOnly, s.wrote, s.term = "T", readOnly, false, s.member.term
	return s.done("")
}

func (s *memberSession) write(id, item, data string) (string, bool) {
	if s.member.role != rolePrimary {
		return s.failed("READONLY"), false
	}
	if data == "values" { // shows what the session values are
		data = fmt.Sprint(s.values)
	}
	e := entry{item: item, data: strings.ReplaceAll(data, " ", "_")}
	if s.state == "T" {
		s.wrote = true
		s.writes = append(s.writes, e)
		return s.done(""), false
	}
	s.member.commit(id, []entry{e})
	return s.done(""), true
}

func (s *memberSession) execute(id string, fields []string) (string, bool) {
	action, ok := s.prepared[fields[1]]
	switch {
	case !ok:
		return s.failed("NOSTMT"), false
	case action == "READ":
		return s.done("ROW " + s.member.read(fields[2]) + "\r\n"), false
	default:
		return s.write(id, fields[2], fields[3])
	}
}

func (s *memberSession) control(fields []string) string {
	m := s.member
	var term uint64
	if len(fields) > 1 {
		var err error
		if term, err = strconv.ParseUint(fields[1], 10, 64); err != nil {
			return s.failed("MALFORMED")
		}
	}
	switch fields[0] {
	case "STATUS":
	case "PAUSE":
		m.pauses++
		if m.stubborn {
			return s.failed("BUSY")
		}
		if m.role == roleReplica && term > m.term {
			m.held = max(m.held, term)
		}
	case "RESUME":
		m.held = 0
	case "DEMOTE":
		if m.role == rolePrimary && term > m.term {
			m.role = roleReplica
		}
	default:
		return s.failed("MALFORMED")
	}
	return s.done(fmt.Sprintf("ROW %s %d %s %d 0 0 %d\r\n", m.role, m.term, m.end(), m.held, len(m.conns)))
}
