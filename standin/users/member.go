package users

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"
)

const (
	rolePrimary = "primary"
	roleReplica = "replica"
)

// Member is one member of a group. The group's mutex guards its fields.
type Member struct {
	group    *Group
	id       string
	address  string
	listener net.Listener
	slots    chan struct{}
	born     int64

	role         string
	term         uint64
	pausedTerm   uint64 // highest term under which replication was paused; 0 while it runs
	log          []entry
	times        []time.Time // commit times of the log's entries; zero for entries from before the last promotion
	primarySince time.Time
	reachesSince time.Time // since when it can reach the primary; zero while it cannot
	conns        map[net.Conn]struct{}

	crashed        bool
	unresponsive   bool // sends no answers
	frozen         bool
	ordered        bool            // it performs what it has kept in order
	kept           []chan struct{} // those that wait for the member to go on, in the order in which they came
	notReceiving   bool            // receives no commits from the primary
	partitioned    bool            // cut off from the other members
	draining       bool            // reports that it accepts no new work
	loseNextAnswer bool            // the next answer to a write or commit is lost
	breakNextConn  bool            // the next statement with a slot closes its connection and does not run
	busyStatements int             // number of next statements that are rejected as busy
	busyLeading    int             // number of statements that are rejected as busy after the first one as the primary
	failStatements int             // number of next statements that fail
	pauses         int             // PAUSE commands received
	rejectsPause   bool            // PAUSE commands are rejected
}

func newMember(g *Group, id string) (*Member, error) {
	m := &Member{
		group: g, id: id, role: roleReplica, term: 1, conns: map[net.Conn]struct{}{},
		slots: make(chan struct{}, g.platform.options.Slots), born: time.Now().UnixMilli(),
	}
	return m, m.listen("127.0.0.1:0")
}

func (m *Member) listen(address string) error {
	listener, err := net.Listen("tcp", address) //nolint:noctx // test code
	if err != nil {
		return fmt.Errorf("database group member: %w", err)
	}
	m.listener, m.address = listener, listener.Addr().String()
	m.group.platform.tasks.Go(func() { m.accept(listener) })
	return nil
}

// ID returns the member's id.
func (m *Member) ID() string { return m.id }

// Address returns the member's IP:PORT.
func (m *Member) Address() string { return m.address }

// withLock calls change with the group's mutex held.
func (m *Member) withLock(change func()) {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	change()
}

// Crash closes the member's listener and connections. Its log is kept.
func (m *Member) Crash() {
	m.withLock(func() {
		m.crashed = true
		m.thaw()
	})
	m.stop()
}

// Restart starts a crashed member again under its ID with its log. Replication is no longer paused.
func (m *Member) Restart() error {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	m.crashed, m.pausedTerm, m.born = false, 0, time.Now().UnixMilli()
	return m.listen(m.address)
}

// SetUnresponsive sets whether the member runs statements without sending answers.
func (m *Member) SetUnresponsive(unresponsive bool) {
	m.withLock(func() { m.unresponsive = unresponsive })
}

// SetPartitioned sets whether the member is partitioned from the other members.
func (m *Member) SetPartitioned(partitioned bool) { m.withLock(func() { m.partitioned = partitioned }) }

// StopReceiving sets whether a replica receives no commits.
func (m *Member) StopReceiving(notReceiving bool) {
	m.withLock(func() { m.notReceiving = notReceiving })
}

// Drain makes the member report that it is draining.
func (m *Member) Drain() { m.withLock(func() { m.draining = true }) }

// CancelDrain makes the member report that it is ready again.
func (m *Member) CancelDrain() { m.withLock(func() { m.draining = false }) }

// Replace ends a member that drains and starts another one in its place: with another ID, and with its address and log.
func (m *Member) Replace(id string) error {
	m.Crash()
	m.group.platform.Remove(tableMembers, m.id)
	m.withLock(func() { m.id, m.role, m.draining = id, roleReplica, false })
	return m.Restart()
}

// PauseReplication pauses replication under a term, as an earlier promotion attempt would.
func (m *Member) PauseReplication(term uint64) {
	m.withLock(func() { m.pausedTerm = max(m.pausedTerm, term) })
}

// PausedTerm returns the highest term under which replication is paused, or 0.
func (m *Member) PausedTerm() uint64 {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	return m.pausedTerm
}

// LoseNextAnswer closes the connection of the next write or commit after it took effect and before it is answered.
func (m *Member) LoseNextAnswer() { m.withLock(func() { m.loseNextAnswer = true }) }

// BreakNextConn closes the connection of the next statement that takes a slot before the statement runs.
func (m *Member) BreakNextConn() { m.withLock(func() { m.breakNextConn = true }) }

// RejectPause sets whether the member rejects PAUSE commands.
func (m *Member) RejectPause(reject bool) { m.withLock(func() { m.rejectsPause = reject }) }

// FailStatements makes the next count statements that take a slot fail with FAILED.
func (m *Member) FailStatements(count int) { m.withLock(func() { m.failStatements = count }) }

// RejectBusy makes the member reject the next count statements that take a slot with BUSY.
func (m *Member) RejectBusy(count int) { m.withLock(func() { m.busyStatements = count }) }

// RejectBusyOnceLeading makes the member, once it is the primary and has answered a statement that takes a slot, reject the
// next count as busy.
func (m *Member) RejectBusyOnceLeading(count int) { m.withLock(func() { m.busyLeading = count }) }

// Connections returns the number of open connections.
func (m *Member) Connections() int {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	return len(m.conns)
}

// stop closes the listener and the open connections.
func (m *Member) stop() {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	m.listener.Close()
	for conn := range m.conns {
		conn.Close()
		delete(m.conns, conn) // statements that are still to run do nothing
	}
}

func (m *Member) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		s := &memberSession{
			member: m, conn: conn, reader: bufio.NewReader(conn),
			values: map[string]string{}, prepared: map[string]preparedStatement{},
			state: "I",
		}
		m.withLock(func() { m.conns[conn] = struct{}{} })
		m.group.platform.tasks.Go(s.serve)
	}
}

// lastPosition returns the position at the end of the log.
func (m *Member) lastPosition() string {
	if len(m.log) == 0 {
		return fmt.Sprintf("%d.0", min(m.term, 1))
	}
	return m.log[len(m.log)-1].position()
}

// hasPosition reports whether the log contains a position.
func (m *Member) hasPosition(position string) bool {
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

// read returns an item's last value in the log.
func (m *Member) read(item string) string {
	for i := len(m.log) - 1; i >= 0; i-- {
		if m.log[i].item == item {
			return m.log[i].data
		}
	}
	return "none"
}

// commit appends writes to the log as one commit and counts it under the statement id.
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
		w.term, w.number, w.id = m.term, number, id
		m.log = append(m.log, w)
		m.times = append(m.times, time.Now())
	}
	m.group.commitCounts[id]++
	m.group.commits[id] = Commit{ID: id, Member: m.id, Term: m.term, Number: number, At: time.Now()}
	for _, other := range m.group.members {
		if other.role == rolePrimary && other.term > m.term {
			m.group.superseded[id] = true
		}
	}
}
