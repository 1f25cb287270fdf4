package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"citronusher.example/citronusher/standin/users"
)

const (
	percent         = 100
	rollbackOneIn   = 4 // one transaction in this many rolls back
	maxStatements   = 3 // of a transaction, beside its begin and end
	preparedOneIn   = 2 // one read or write in this many is a prepared one
	redialPause     = 20 * time.Millisecond
	preparedRead    = "r"
	preparedWrite   = "w"
	preparedShape   = "x"
	itemsPerCallers = 4 // callers that share one item
)

// caller runs reads, writes and transactions on one route through a session that stays open. It opens a new session when the
// connection is lost.
type caller struct {
	run    *run
	name   string
	group  int
	route  route
	random *rand.Rand
	client *users.Caller
	daemon string
	value  int
	acks   []ack // of the current session

	done, notRun, unknown []string // ids of its writes and commits, by reported outcome
	all                   []ack    // of all sessions
	reads                 []read
}

// ack is a commit that was acknowledged.
type ack struct {
	id, daemon string
	at         time.Time
}

// read is a read that was answered.
type read struct {
	id, signature, daemon, rows string
	group                       int
	route                       route
	firstAt                     time.Time // before the first byte of the read, or of its transaction
	answeredAt                  time.Time
	own                         []ack // of its session, before firstAt
}

func newCaller(r *run, n int, seed uint64) *caller {
	return &caller{
		run: r, name: fmt.Sprintf("c%d", n), group: n % r.size.groups, route: r.size.route(n / r.size.groups),
		random: rand.New(rand.NewPCG(seed, uint64(n)+1)), //nolint:gosec // the seed makes the run repeatable
	}
}

// runUntilStopped runs operations in random order until the run stops.
func (c *caller) runUntilStopped() {
	for n := 0; !c.run.stop.Load(); n++ {
		if c.client == nil && !c.connect(n) {
			time.Sleep(redialPause)
			continue
		}
		time.Sleep(c.upTo(c.run.size.pace))
		switch {
		case c.random.IntN(percent) < c.route.transactions:
			c.runTransaction()
		case c.random.IntN(percent) < c.route.writes:
			c.commit(c.writeText())
		default:
			c.read(c.readText(), time.Now(), c.acks)
		}
	}
	c.end()
}

func (c *caller) upTo(limit time.Duration) time.Duration {
	if limit == 0 {
		return 0
	}
	return time.Duration(c.random.Int64N(int64(limit)))
}

// connect opens a session at a random daemon and prepares its statements. It reports whether it succeeded. A new session
// gets a new name.
func (c *caller) connect(n int) bool {
	daemon := c.run.daemons[c.random.IntN(len(c.run.daemons))]
	client, err := users.Dial(daemon.entry, c.run.database(c.route, c.group), fmt.Sprintf("%s-%d", c.name, n))
	if err != nil {
		return false // the daemon is down; the caller tries again with a newly drawn daemon
	}
	c.client, c.daemon, c.acks = client, daemon.name, nil
	for _, text := range []string{
		"PREPARE " + preparedRead + " READ " + preparedShape, "PREPARE " + preparedWrite + " WRITE " + preparedShape,
	} {
		if _, ok := c.query(text); !ok {
			return false
		}
	}
	return true
}

func (c *caller) end() {
	if c.client != nil {
		c.client.Close()
		c.client = nil
	}
}

// query runs a statement whose outcome does not matter beyond its success. An error of the connection ends the session.
func (c *caller) query(text string) (users.Answer, bool) {
	a, err := c.client.Query(text)
	if err != nil {
		c.end()
		return a, false
	}
	return a, a.Code == ""
}

// commit runs a write or a commit and records its reported outcome. A connection error leaves the outcome unknown and ends
// the session.
func (c *caller) commit(text string) {
	a, err := c.client.Query(text)
	switch {
	case err != nil:
		c.unknown = append(c.unknown, a.ID)
		c.end()
	case a.Code == "":
		c.done = append(c.done, a.ID)
		acked := ack{id: a.ID, daemon: c.daemon, at: time.Now()}
		c.acks, c.all = append(c.acks, acked), append(c.all, acked)
	case isNotRun(a.Code):
		c.notRun = append(c.notRun, a.ID)
	default:
		c.unknown = append(c.unknown, a.ID)
	}
}

// isNotRun reports whether an error code guarantees that the request had no effect.
func isNotRun(code string) bool {
	switch code {
	case "BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY":
		return true
	default:
		return false
	}
}

func (c *caller) item() string {
	return fmt.Sprintf("i%d", c.random.IntN(1+c.run.size.callers/itemsPerCallers))
}

func (c *caller) readText() string {
	if c.random.IntN(preparedOneIn) == 0 {
		return fmt.Sprintf("EXECUTE %s %s", preparedRead, c.item())
	}
	return "READ " + c.item()
}

func (c *caller) writeText() string {
	c.value++
	if c.random.IntN(preparedOneIn) == 0 {
		return fmt.Sprintf("EXECUTE %s %s %s.%d", preparedWrite, c.item(), c.name, c.value)
	}
	return fmt.Sprintf("WRITE %s %s.%d", c.item(), c.name, c.value)
}

// runTransaction runs a few reads and writes in a transaction, which it commits or, less often, rolls back. On a route
// without writes the transaction is read-only.
func (c *caller) runTransaction() {
	begin, readOnly := "BEGIN", c.route.writes == 0 || c.random.IntN(rollbackOneIn) == 0
	if readOnly {
		begin = "BEGIN READ"
	}
	firstAt, own, wrote := time.Now(), c.acks, false
	if _, ok := c.query(begin); !ok {
		return
	}
	for range 1 + c.random.IntN(maxStatements) {
		time.Sleep(c.upTo(c.run.size.pause))
		ok := false
		if readOnly || c.random.IntN(2) == 0 {
			ok = c.read(c.readText(), firstAt, own)
		} else {
			wrote = true
			_, ok = c.query(c.writeText())
		}
		if !ok {
			c.rollback()
			return
		}
	}
	c.endTransaction(wrote)
}

func (c *caller) endTransaction(wrote bool) {
	switch {
	case c.random.IntN(rollbackOneIn) == 0:
		c.rollback()
	case wrote:
		c.commit("COMMIT")
	default:
		c.query("COMMIT")
	}
}

func (c *caller) rollback() {
	if c.client != nil {
		c.query("ROLLBACK")
	}
}

// read runs a read and records its answer. It reports whether it succeeded.
func (c *caller) read(text string, firstAt time.Time, own []ack) bool {
	a, ok := c.query(text)
	if !ok {
		return false
	}
	rows := ""
	for _, row := range a.Rows {
		rows += "ROW " + row + "\r\n"
	}
	c.reads = append(c.reads, read{
		id: a.ID, signature: a.Signature, rows: rows, daemon: c.daemon, group: c.group, route: c.route,
		firstAt: firstAt, answeredAt: time.Now(), own: own,
	})
	return true
}
