package soak

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"citronusher.example/citronusher/standin/users"
)

const (
	statementInterval = 2 * time.Millisecond // pause of a caller between two statements
	transactionOneIn  = 4                    // one write in this many is a transaction; one of these in this many rolls back
	readOneIn         = 2                    // one operation in this many is a read
)

// caller writes increasing values to its own item through a session and reads items back: its own item on route "own",
// any caller's item on route "fresh". It opens a new session when the connection is lost.
type caller struct {
	run      *run
	name     string
	route    string
	random   *rand.Rand
	session  *users.Caller
	value    int
	ownAcked int // newest value acknowledged in the current session

	done, notRun, unknown []string // ids of its writes and commits, by reported outcome
	reads                 int
}

func newCaller(r *run, n int, seed uint64) *caller {
	route := "fresh"
	if n%2 == 1 {
		route = "own"
	}
	return &caller{
		run: r, name: fmt.Sprintf("c%d", n), route: route,
		random: rand.New(rand.NewPCG(seed, uint64(n)+1)), //nolint:gosec // the seed makes the run repeatable
	}
}

// runUntilStopped runs reads, transactions and writes in random order until the run stops.
func (c *caller) runUntilStopped() {
	for n := 0; !c.run.stop.Load(); n++ {
		time.Sleep(statementInterval)
		if c.session == nil && !c.connect(n) {
			continue
		}
		switch {
		case c.random.IntN(readOneIn) == 0:
			c.read()
		case c.random.IntN(transactionOneIn) == 0:
			c.runTransaction()
		default:
			c.write()
		}
	}
	c.end()
}

// connect opens a session at a random daemon and reports whether it succeeded. A new session gets a new name.
func (c *caller) connect(n int) bool {
	daemons := c.run.daemons
	daemon := daemons[(n+c.random.IntN(len(daemons)))%len(daemons)]
	session, err := users.Dial(daemon.entry, c.route, fmt.Sprintf("%s-%d", c.name, n))
	if err != nil {
		return false // the daemon is down; the caller tries again with a newly drawn daemon
	}
	c.session, c.ownAcked = session, 0
	return true
}

func (c *caller) end() {
	if c.session != nil {
		c.session.Close()
		c.session = nil
	}
}

// recordOutcome records the reported outcome of a write of value. A connection error leaves the outcome unknown and ends
// the session.
func (c *caller) recordOutcome(a users.Answer, err error, value int) {
	switch {
	case err != nil:
		c.unknown = append(c.unknown, a.ID)
		c.end()
	case a.Code == "":
		c.done = append(c.done, a.ID)
		c.ownAcked = value
		c.run.mu.Lock()
		c.run.acked[c.name] = max(c.run.acked[c.name], value)
		c.run.mu.Unlock()
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

func (c *caller) write() {
	c.value++
	a, err := c.session.Query(fmt.Sprintf("WRITE %s %d", c.name, c.value))
	c.recordOutcome(a, err, c.value)
}

// runTransaction writes and reads its own item in a transaction, which it commits or, less often, rolls back.
func (c *caller) runTransaction() {
	c.value++
	for _, text := range []string{"BEGIN", fmt.Sprintf("WRITE %s %d", c.name, c.value), "READ " + c.name} {
		a, err := c.session.Query(text)
		if err != nil {
			c.end()
			return // nothing was committed; only the id of a COMMIT is recorded and checked
		}
		if a.Code != "" {
			c.rollback()
			return
		}
	}
	if c.random.IntN(transactionOneIn) == 0 {
		c.rollback()
		return
	}
	a, err := c.session.Query("COMMIT")
	c.recordOutcome(a, err, c.value)
}

func (c *caller) rollback() {
	if _, err := c.session.Query("ROLLBACK"); err != nil {
		c.end()
	}
}

// read reads its own item, or on route "fresh" a random caller's item, and records a violation when the returned value is
// older than one acknowledged before the read. An acknowledged value that the group no longer has, because a promotion
// rolled it back, does not count.
func (c *caller) read() {
	item := c.name
	if c.route == "fresh" {
		item = fmt.Sprintf("c%d", c.random.IntN(c.run.options.Callers))
	}
	c.run.mu.Lock()
	acked := c.run.acked[item]
	c.run.mu.Unlock()
	if c.route == "own" {
		acked = c.ownAcked
	}
	a, err := c.session.Query("READ " + item)
	if err != nil {
		c.end()
		return
	}
	if a.Code != "" {
		return
	}
	c.reads++
	got := readValue(a.Rows)
	if got < acked && c.run.group.Holds(item, strconv.Itoa(acked)) {
		c.run.recordViolation("read %s of item %s on route %s returned %d, but %d was acknowledged before it",
			a.ID, item, c.route, got, acked)
	}
}

// readValue returns the value in the rows of a read, or 0 when the item has no value.
func readValue(rows []string) int {
	if len(rows) != 1 {
		return 0
	}
	n, err := strconv.Atoi(rows[0])
	if err != nil {
		return 0 // the item has never been written
	}
	return n
}
