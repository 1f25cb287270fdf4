package soak

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"citronusher.example/citronusher/standin/users"
)

const (
	callPause  = 2 * time.Millisecond // between two statements
	transacts  = 4                    // one operation in so many is a transaction
	readsOften = 2                    // one in so many is a read
)

// caller is a session that writes an item of its own, newer values each time, and reads its own and others' items.
type caller struct {
	run     *run
	name    string
	route   string
	random  *rand.Rand
	session *users.Caller
	value   int
	own     int // the newest value that was acknowledged to the present session

	done, notRun, unknown []string // the ids of its writes and commits, by what it was told
	reads                 int
}

func newCaller(r *run, n int, seed uint64) *caller {
	route := "fresh"
	if n%2 == 1 {
		route = "own"
	}
	return &caller{
		run: r, name: fmt.Sprintf("c%d", n), route: route,
		random: rand.New(rand.NewPCG(seed, uint64(n)+1)), //nolint:gosec // a seed repeats it
	}
}

// work writes and reads until the run stops.
func (c *caller) work() {
	for n := 0; !c.run.stop.Load(); n++ {
		time.Sleep(callPause)
		if c.session == nil && !c.connect(n) {
			continue
		}
		switch {
		case c.random.IntN(readsOften) == 0:
			c.read()
		case c.random.IntN(transacts) == 0:
			c.transact()
		default:
			c.write()
		}
	}
	c.end()
}

// connect opens a session at one daemon after the other.
func (c *caller) connect(n int) bool {
	daemons := c.run.daemons
	daemon := daemons[(n+c.random.IntN(len(daemons)))%len(daemons)]
	session, err := users.Call(daemon.entry, c.route, fmt.Sprintf("%s-%d", c.name, n))
	if err != nil {
		return false // the daemon is down; the next one is tried
	}
	c.session, c.own = session, 0
	return true
}

func (c *caller) end() {
	if c.session != nil {
		c.session.Close()
		c.session = nil
	}
}

// note records what the caller was told of the write of a value.
func (c *caller) note(a users.Answer, err error, value int) {
	switch {
	case err != nil:
		c.unknown = append(c.unknown, a.ID)
		c.end()
	case a.Code == "":
		c.done = append(c.done, a.ID)
		c.own = value
		c.run.mu.Lock()
		c.run.acked[c.name] = max(c.run.acked[c.name], value)
		c.run.mu.Unlock()
	case isPromise(a.Code):
		c.notRun = append(c.notRun, a.ID)
	default:
		c.unknown = append(c.unknown, a.ID)
	}
}

// isPromise reports whether a code says that nothing of the request is kept.
func isPromise(code string) bool {
	switch code {
	case "BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY":
		return true
	default:
		return false
	}
}

func (c *caller) write() {
	c.value++
	a, err := c.session.Say(fmt.Sprintf("WRITE %s %d", c.name, c.value))
	c.note(a, err, c.value)
}

// transact writes in a transaction, and sometimes rolls it back.
func (c *caller) transact() {
	c.value++
	for _, text := range []string{"BEGIN", fmt.Sprintf("WRITE %s %d", c.name, c.value), "READ " + c.name} {
		a, err := c.session.Say(text)
		if err != nil {
			c.end()
			return // nothing was committed; the statements' own ids never are
		}
		if a.Code != "" {
			c.rollback()
			return
		}
	}
	if c.random.IntN(transacts) == 0 {
		c.rollback()
		return
	}
	a, err := c.session.Say("COMMIT")
	c.note(a, err, c.value)
}

func (c *caller) rollback() {
	if _, err := c.session.Say("ROLLBACK"); err != nil {
		c.end()
	}
}

// read reads its own item, or on a fresh route any caller's, and checks that what was acknowledged before is there,
// unless a promotion has rolled it back.
func (c *caller) read() {
	item := c.name
	if c.route == "fresh" {
		item = fmt.Sprintf("c%d", c.random.IntN(c.run.options.Callers))
	}
	c.run.mu.Lock()
	acked := c.run.acked[item]
	c.run.mu.Unlock()
	if c.route == "own" {
		acked = c.own
	}
	a, err := c.session.Say("READ " + item)
	if err != nil {
		c.end()
		return
	}
	if a.Code != "" {
		return
	}
	c.reads++
	got := number(a.Rows)
	if got < acked && number([]string{c.run.group.Value(item)}) >= acked {
		c.run.breaks("read %s of %s on route %s returned %d, and %d was acknowledged before", a.ID, item, c.route, got, acked)
	}
}

// number returns the value in a read's rows; 0 when there is none.
func number(rows []string) int {
	if len(rows) != 1 {
		return 0
	}
	n, err := strconv.Atoi(rows[0])
	if err != nil {
		return 0 // the item was never written
	}
	return n
}
