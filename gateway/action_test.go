package gateway_test

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/datadriven"

	"citronusher.example/citronusher/standin/users"
)

// runActions runs one action per line: a change of the platform, a fault, or a wait for a condition.
func (s *script) runActions(d *datadriven.TestData) string {
	var out strings.Builder
	for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
		fields := strings.Fields(line)
		if result := s.action(fields); result != "" {
			fmt.Fprintf(&out, "%s: %s\n", line, result)
		}
	}
	return out.String()
}

func (s *script) number(text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		s.t.Fatal(err)
	}
	return n
}

func (s *script) member(text string) *users.Member { return s.group.Member(s.number(text) - 1) }

// oddEntry returns the entry of a member that does not exist, complete but for one odd value.
func (s *script) oddEntry(kind string) string {
	address, capacity, sequence, extra := "127.0.0.1:1", "2", "3", "0"
	switch kind {
	case "nested":
		extra = strings.Repeat("[", oddDepth) + strings.Repeat("]", oddDepth)
	case "capacity":
		capacity = "1e400"
	case "sequence":
		sequence = "1e400"
	case "port":
		address = "127.0.0.1:65536"
	case "port-zero":
		address = "127.0.0.1:0"
	default:
		s.t.Fatalf("unknown odd entry %s", kind)
	}
	return fmt.Sprintf(`{"Service":"group","Address":%q,"Zone":"zone","Version":"v1","Capacity":%s,"State":"ready",
		"WarmupLeftMs":0,"Sequence":%s,"CurrentRole":"replica","born":1,"Extra":%s}`, address, capacity, sequence, extra)
}

func (s *script) action(fields []string) string {
	switch fields[0] {
	case "end":
		s.closeDaemon(s.number(fields[1]))
	case "replace":
		s.replaceDaemon(s.number(fields[1]))
	case "stop":
		s.daemons[s.number(fields[1])-1].Drain(drainTimeout)
		s.closeDaemon(s.number(fields[1]))
	case "begin-stop": // as stop, beside the actions up to end-stop
		number := s.number(fields[1])
		s.stops.Go(func() {
			s.daemons[number-1].Drain(drainTimeout)
			s.closeDaemon(number)
		})
	case "end-stop":
		s.stops.Wait()
	case "crash":
		s.member(fields[1]).Crash()
	case "crash-primary":
		s.group.Primary().Crash()
	case "restart":
		if err := s.member(fields[1]).Restart(); err != nil {
			s.t.Fatal(err)
		}
	case "dark":
		s.member(fields[1]).SetUnresponsive(true)
	case "dark-primary":
		s.group.Primary().SetUnresponsive(true)
	case "light":
		s.member(fields[1]).SetUnresponsive(false)
	case "deafen":
		s.member(fields[1]).StopReceiving(true)
	case "hear":
		s.member(fields[1]).StopReceiving(false)
	case "leave":
		s.member(fields[1]).Drain()
	case "stay":
		s.member(fields[1]).CancelDrain()
	case "freeze":
		s.member(fields[1]).SetFrozen(true)
	case "thaw":
		s.member(fields[1]).SetFrozen(false)
	case "thaw-in-order": // what the member has kept is performed first
		s.member(fields[1]).ThawInOrder()
	case "hold":
		s.member(fields[1]).PauseReplication(uint64(s.number(fields[2]))) //nolint:gosec // small
	case "lose-answer":
		s.member(fields[1]).LoseNextAnswer()
	case "insist":
		s.member(fields[1]).RejectPause(true)
	case "relent":
		s.member(fields[1]).RejectPause(false)
	case "break":
		s.member(fields[1]).BreakNextConn()
	case "fail":
		s.member(fields[1]).FailStatements(s.number(fields[2]))
	case "busy":
		s.member(fields[1]).RejectBusy(s.number(fields[2]))
	case "busy-leader": // once it leads and has answered
		s.member(fields[1]).RejectBusyOnceLeading(s.number(fields[2]))
	case "cut":
		s.member(fields[1]).SetPartitioned(true)
	case "join":
		s.member(fields[1]).SetPartitioned(false)
	case "store":
		s.platform.Fail(s.number(fields[1]))
	case "lose-promotions":
		s.platform.LosePromotionAnswers(fields[1] == "on")
	case "promotions": // what becomes of promotion requests from now on
		s.planPromotions(fields[1:])
	case "late-deletions":
		s.platform.DelayDeletions(time.Duration(s.number(fields[1])) * time.Millisecond)
	case "store-copy":
		s.platform.Copy()
	case "store-restore":
		s.platform.Restore()
	case "part-down":
		s.platform.FailPart(strings.Join(fields[1:], " "))
	case "deaf-feeds":
		s.platform.StallFeeds(fields[1] == "on")
	case "garbage":
		s.platform.PutBytes("servers", "i-garbage", []byte(fields[1]))
	case "odd":
		s.platform.PutBytes("servers", "i-odd-"+fields[1], []byte(s.oddEntry(fields[1])))
	case "route":
		s.platform.Route(fields[1], fields[2], "group", 1500, 4000)
	case "drop-route":
		s.platform.DropRoute(fields[1])
	case "occupy":
		s.platform.UseConnections(s.number(fields[1]))
	case "vacate":
		s.platform.UseConnections(0)
	case "sleep":
		time.Sleep(time.Duration(s.number(fields[1])) * time.Millisecond)
	default:
		return s.observe(fields)
	}
	return ""
}

// observe returns a state or waits for one.
func (s *script) observe(fields []string) string {
	switch fields[0] {
	case "await-primary":
		m := s.member(fields[1])
		s.waitUntil("primary", func() bool { return s.group.Primary() == m })
	case "await-new-primary":
		old := s.group.Primary()
		s.waitUntil("new primary", func() bool { return s.group.Primary() != old })
	case "await-copies": // until every replica has the primary's log, and homes use replicas again that lacked it
		s.waitUntil("copies", s.group.Replicated)
		time.Sleep(copyDelay)
	case "await-released": // until a promotion was attempted and the member's replication is resumed
		m := s.member(fields[1])
		s.waitUntil("released", func() bool { return s.group.Pauses() > 0 && m.PausedTerm() == 0 })
	case "await-orders": // until so many promotions were requested
		s.waitUntil("orders", func() bool { return len(s.platform.PromotionRequests()) >= s.number(fields[1]) })
	case "await-ready":
		s.waitUntil("ready", s.daemons[s.number(fields[1])-1].Ready)
	case "await-listed": // until so many daemons are registered in each place
		for _, table := range []string{"instances", "instances2", "instances3"} {
			s.waitUntil("listed", func() bool { return s.platform.Count(table) == s.number(fields[1]) })
		}
	case "read": // reads an item, and returns how that ended
		a, err := s.callers[fields[1]].Query("READ " + fields[2])
		if err != nil {
			return "connection ended without an answer"
		}
		return s.format(a, false)
	case "transaction": // runs reads in a transaction until one fails, and returns how that one failed
		return s.readUntilFailure(s.callers[fields[1]])
	case "await-write": // until a session's writes succeed again
		s.waitUntil("write", func() bool { return write(s.callers[fields[1]]) })
	case "begin-write": // as await-write, beside the actions up to end-write
		c := s.callers[fields[1]]
		s.writes.Go(func() { s.written.Store(waitFor(func() bool { return write(c) })) })
	case "end-write":
		s.writes.Wait()
		if !s.written.Load() {
			s.t.Fatal("timed out waiting for: write")
		}
	case "ready":
		return strconv.FormatBool(s.daemons[s.number(fields[1])-1].Ready())
	case "commits":
		return strconv.Itoa(s.group.Commits(fields[1]))
	case "orders":
		return s.promotionRequests()
	case "promoted": // the members that promotions made the primary, in order
		return s.promoted()
	case "leaders": // the members that led after each promotion, in order
		return strings.Join(s.leaders(), " ")
	case "pauses":
		return strconv.Itoa(s.group.Pauses())
	case "over-cap":
		return strconv.FormatBool(s.member(fields[1]).Connections() > s.number(fields[2]))
	default:
		s.t.Fatalf("unknown action %s", fields[0])
	}
	return ""
}

// write reports whether a write of the session succeeds.
func write(c *users.Caller) bool {
	a, err := c.Query("WRITE probe x")
	return err == nil && a.Code == ""
}

// readUntilFailure runs a transaction of reads, and returns the code of the failure that ends it.
func (s *script) readUntilFailure(c *users.Caller) string {
	for text := "BEGIN READ"; ; text = "READ x" {
		a, err := c.Query(text)
		switch {
		case err != nil:
			return "connection ended without an answer"
		case a.Code != "":
			return a.Code
		}
	}
}

// promotionRequests returns the number of requested promotions, and whether the token increased with each change of holder.
func (s *script) promotionRequests() string {
	orders := s.platform.PromotionRequests()
	verdict := "tokens rise"
	for i := 1; i < len(orders); i++ {
		same := orders[i].Holder == orders[i-1].Holder
		if orders[i].Token < orders[i-1].Token || !same && orders[i].Token == orders[i-1].Token {
			verdict = "tokens do not rise"
		}
	}
	return fmt.Sprintf("%d, %s", len(orders), verdict)
}

// planPromotions sets what becomes of promotion requests: "usual", "lost", "cut", "refused STATUS", "late MILLISECONDS"
// until their effect, or "held MILLISECONDS" until they are handled.
func (s *script) planPromotions(fields []string) {
	number := 0
	if len(fields) > 1 {
		number = s.number(fields[1])
	}
	duration := time.Duration(number) * time.Millisecond
	plans := map[string]users.PromotionPlan{
		"usual": {}, "lost": {Lost: true}, "cut": {Cut: true}, "refused": {Status: number}, "late": {Delay: duration},
		"held": {Held: duration},
	}
	plan, ok := plans[fields[0]]
	if !ok {
		s.t.Fatalf("unknown plan %s", fields[0])
	}
	s.platform.PlanPromotions(func() users.PromotionPlan { return plan })
}

// promoted returns the members that promotions made the primary, each once, once no promotion is on its way.
func (s *script) promoted() string {
	var members []string
	for _, id := range s.leaders() {
		if !slices.Contains(members, id) {
			members = append(members, id)
		}
	}
	return strings.Join(members, " ")
}

// leaders returns the member that each promotion made the primary, once no promotion is on its way.
func (s *script) leaders() []string {
	s.waitUntil("no promotion on its way", func() bool { return s.platform.PendingPromotions() == 0 })
	var members []string
	for _, p := range s.group.Promotions() {
		members = append(members, p.Member)
	}
	return members
}
