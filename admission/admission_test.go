package admission_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"citronusher.example/citronusher/admission"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(milliseconds int) time.Time { return start.Add(time.Duration(milliseconds) * time.Millisecond) }

// queueScript applies the lines of a script to a queue.
type queueScript struct {
	queue   *admission.Queue
	tickets map[string]*admission.Ticket
	names   map[*admission.Ticket]string
	now     int
	out     strings.Builder
}

func (s *queueScript) line(fields []string) {
	switch fields[0] {
	case "at":
		_, _ = fmt.Sscan(fields[1], &s.now)
	case "offer": // offer NAME CALLER CLASS KIND DEADLINE
		var deadline int
		_, _ = fmt.Sscan(fields[5], &deadline)
		t := admission.NewTicket(fields[2], fields[3] == "long", fields[4] == "fresh", at(deadline))
		s.tickets[fields[1]], s.names[t] = t, fields[1]
		d := s.queue.Offer(t, at(s.now))
		switch {
		case d.Run:
			fmt.Fprintf(&s.out, "%d: %s runs\n", s.now, fields[1])
		case d.Wait:
			fmt.Fprintf(&s.out, "%d: %s waits\n", s.now, fields[1])
		default:
			fmt.Fprintf(&s.out, "%d: %s refused: %s\n", s.now, fields[1], d.Reason)
		}
	case "finish":
		started, expired := s.queue.Finish(s.tickets[fields[1]], at(s.now))
		for _, t := range started {
			fmt.Fprintf(&s.out, "%d: %s runs\n", s.now, s.names[t])
		}
		for _, t := range expired {
			fmt.Fprintf(&s.out, "%d: %s expired\n", s.now, s.names[t])
		}
	case "next":
		started, _ := s.queue.Next(at(s.now))
		for _, t := range started {
			fmt.Fprintf(&s.out, "%d: %s runs\n", s.now, s.names[t])
		}
	case "leave":
		fmt.Fprintf(&s.out, "%d: %s left %t\n", s.now, fields[1], s.queue.Remove(s.tickets[fields[1]]))
	}
}

// TestQueue checks in which order requests start, and which are rejected or expire.
func TestQueue(t *testing.T) {
	datadriven.RunTest(t, "testdata/queue.txt", func(_ *testing.T, d *datadriven.TestData) string {
		s := &queueScript{
			queue: admission.New(admission.Fixed(2), 1, 100*time.Millisecond), tickets: map[string]*admission.Ticket{},
			names: map[*admission.Ticket]string{},
		}
		for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
			s.line(strings.Fields(line))
		}
		return s.out.String()
	})
}

// TestQueueNeverExceedsItsLimits checks for random requests that no class exceeds its limit, which would overload the
// target, and that every queued request ends.
func TestQueueNeverExceedsItsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit, longLimit := rapid.IntRange(1, 4).Draw(t, "limit"), rapid.IntRange(1, 3).Draw(t, "long")
		q := admission.New(admission.Fixed(limit), longLimit, time.Hour)
		var all, running []*admission.Ticket
		now := 0
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += rapid.IntRange(0, 20).Draw(t, "pass")
			if rapid.Bool().Draw(t, "offer") || len(running) == 0 {
				ticket := admission.NewTicket(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "caller")), rapid.Bool().Draw(t, "long"),
					rapid.Bool().Draw(t, "fresh"), at(now+rapid.IntRange(1, 300).Draw(t, "deadline")))
				if d := q.Offer(ticket, at(now)); d.Run || d.Wait {
					all = append(all, ticket)
				}
			} else {
				q.Finish(running[rapid.IntRange(0, len(running)-1).Draw(t, "which")], at(now))
			}
			running = running[:0]
			for _, ticket := range all {
				if ticket.Running() {
					running = append(running, ticket)
				}
			}
			if len(running) > limit+longLimit || q.Running() != len(running) {
				t.Fatalf("%d run, the queue says %d, limits %d and %d", len(running), q.Running(), limit, longLimit)
			}
		}
		for len(running) > 0 {
			q.Finish(running[0], at(now))
			running = running[:0]
			for _, ticket := range all {
				if ticket.Running() {
					running = append(running, ticket)
				}
			}
		}
		if q.Waiting() != 0 {
			t.Fatalf("%d requests still wait", q.Waiting())
		}
	})
}

// TestLimitersFollowLatency checks that the limit ends near the number of slots of a target whose latency grows with its
// queue. A limit that is too high queues requests at the target, one that is too low leaves slots unused.
func TestLimitersFollowLatency(t *testing.T) {
	const slots = 4
	for name, l := range map[string]admission.Limiter{
		"aimd": admission.NewAIMD(1, 1, 32), "gradient": admission.NewGradient(1, 1, 32),
	} {
		for range 5000 {
			running := l.Limit()
			latency := 10 * time.Millisecond * time.Duration(max(slots, running)) / slots
			l.Observe(latency, running)
		}
		if got := l.Limit(); got < slots || got > 4*slots {
			t.Errorf("%s: limit %d with %d slots", name, got, slots)
		}
	}
}

// TestLimitersSurviveNoise checks that short, noisy latencies of an idle target do not reduce the limit.
func TestLimitersSurviveNoise(t *testing.T) {
	noise := []time.Duration{200, 900, 300, 250, 1500, 280, 400, 220, 700, 350} // microseconds
	for name, l := range map[string]admission.Limiter{
		"aimd": admission.NewAIMD(4, 1, 32), "gradient": admission.NewGradient(4, 1, 32),
	} {
		for n := range 5000 {
			l.Observe(noise[n%len(noise)]*time.Microsecond, l.Limit())
		}
		if got := l.Limit(); got < 4 {
			t.Errorf("%s: limit %d on an idle target", name, got)
		}
	}
}
