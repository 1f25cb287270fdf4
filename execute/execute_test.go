package execute_test

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/execute"
	"citronusher.example/citronusher/meter"
	"citronusher.example/citronusher/targets"
)

const (
	answerTime  = 2 * time.Second // that the primary takes for a statement that it runs late: longer than a lease
	limit       = 3 * time.Second
	waitTimeout = 5 * time.Second
)

// clock is a clock that the test advances.
type clock struct{ now atomic.Int64 }

func (c *clock) Instant() citronusher.Instant { return citronusher.Instant(c.now.Load()) }
func (c *clock) advance(d time.Duration)      { c.now.Add(int64(d)) }

// members is a group of the primary a and the replicas b and c.
type members struct {
	citronusher.Store
	citronusher.Peers
	clock clock

	mu      sync.Mutex
	paused  bool   // a promotion has paused the replicas
	late    string // text of the statement that the primary answers after answerTime
	promote bool   // a promotion begins before the late answer
}

func (m *members) Dial(_ citronusher.Instant, _, _, id string) (citronusher.MemberConn, error) {
	return &conn{members: m, id: id}, nil
}

func (*members) ReadClaim(context.Context, string) (citronusher.Claim, error) {
	return citronusher.Claim{}, nil
}
func (*members) Era() citronusher.StoreEra { return citronusher.StoreEra{} }

func (*members) Members(context.Context) ([]citronusher.MemberReport, error) {
	return nil, citronusher.ErrUnavailable
}

// conn is a connection to a member.
type conn struct {
	members *members
	id      string
	state   citronusher.TransactionState
}

func (c *conn) Run(_ citronusher.Instant, commands ...citronusher.Command) ([]citronusher.Answer, error) {
	answers := make([]citronusher.Answer, len(commands))
	for i, command := range commands {
		answers[i] = c.answer(command.Statement)
	}
	return answers, nil
}

func (c *conn) answer(statement citronusher.Statement) citronusher.Answer {
	m := c.members
	m.mu.Lock()
	defer m.mu.Unlock()
	switch statement.Kind {
	case citronusher.StatementBegin, citronusher.StatementBeginReadOnly:
		c.state = citronusher.StateOpen
	case citronusher.StatementCommit, citronusher.StatementRollback:
		c.state = citronusher.StateIdle
	default:
	}
	if c.id == "a" && m.late != "" && statement.Kind == kinds[m.late] {
		m.paused = m.promote
		m.clock.advance(answerTime)
	}
	return citronusher.Answer{Payload: []byte("row"), State: c.state, Position: citronusher.NewPosition(1, 1)}
}

func (c *conn) Status(citronusher.Instant) (citronusher.MemberStatus, error) {
	c.members.mu.Lock()
	defer c.members.mu.Unlock()
	if c.id == "a" {
		return citronusher.MemberStatus{Role: citronusher.RolePrimary, Term: 1}, nil
	}
	status := citronusher.MemberStatus{Role: citronusher.RoleReplica, Term: 1}
	if c.members.paused {
		status.PausedTerm = 2
	}
	return status, nil
}

func (c *conn) PauseReplication(deadline citronusher.Instant, _ uint64) (citronusher.MemberStatus, error) {
	return c.Status(deadline)
}

func (c *conn) Demote(deadline citronusher.Instant, _ uint64) (citronusher.MemberStatus, error) {
	return c.Status(deadline)
}

func (*conn) ResumeReplication(citronusher.Instant) error { return nil }
func (*conn) Open() bool                                  { return true }
func (*conn) Close() error                                { return nil }

// newSet returns a set that has a lease on the primary.
func newSet(t *testing.T, m *members) *targets.Set {
	t.Helper()
	m.clock.advance(time.Hour)
	s := targets.New(targets.Config{
		Self: "d1", Dialer: m, Store: m, Peers: m, RefreshMembers: func() {}, Clock: &m.clock,
		Logger: slog.New(slog.DiscardHandler), Meter: meter.New(),
	})
	t.Cleanup(func() { _ = s.Close() })
	s.SetInstances([]citronusher.Instance{citronusher.NewInstance("d1", "127.0.0.1:1", "z", citronusher.InstanceLive)})
	var reports []citronusher.MemberReport
	for _, id := range []string{"a", "b", "c"} {
		reports = append(reports, citronusher.MemberReport{
			ID: id, Group: "g", Address: "127.0.0.1:1", Role: citronusher.RoleReplica, Slots: 4,
		})
	}
	s.SetMembers(reports, m.clock.Instant())
	s.Apply(citronusher.Plan{Version: 1, Groups: map[string]citronusher.GroupPlan{"g": {Name: "g", Connections: 16}}})
	s.SetRegistered(citronusher.NewInstance("d1", "127.0.0.1:1", "z", citronusher.InstanceLive))
	for start := time.Now(); !s.Ready(); time.Sleep(time.Millisecond) {
		if time.Since(start) > waitTimeout {
			t.Fatal("no lease began")
		}
		m.clock.advance(time.Millisecond)
	}
	return s
}

// kinds are the statements of the scripts.
var kinds = map[string]citronusher.StatementKind{
	"begin": citronusher.StatementBegin, "read": citronusher.StatementRead, "write": citronusher.StatementWrite,
	"execute": citronusher.StatementExecute, "commit": citronusher.StatementCommit,
}

// TestAnswersOfThePrimary guards against an answer of the primary that is passed on although another primary may have taken
// over before it came, and against a failure that tells its caller something untrue. In each line of a script a primary runs
// the last statement of the line after 2 s: longer than the lease.
func TestAnswersOfThePrimary(t *testing.T) {
	datadriven.RunTest(t, "testdata/primary.txt", func(t *testing.T, d *datadriven.TestData) string {
		var out strings.Builder
		for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
			m := &members{promote: d.Cmd == "promoted"}
			e := execute.New(execute.Config{
				Targets: newSet(t, m), Clock: &m.clock, Logger: slog.New(slog.DiscardHandler), Meter: meter.New(),
			})
			fmt.Fprintf(&out, "%s: %s\n", line, runLine(m, e, strings.Fields(line)))
			e.Rollback()
		}
		return out.String()
	})
}

// runLine runs a statement alone, or those of a transaction after the word begin, and returns how the last one ended.
func runLine(m *members, e *execute.Executor, fields []string) string {
	inTransaction := fields[0] == "begin"
	late := fields[len(fields)-1]
	if inTransaction && len(fields) > 1 {
		fields = fields[1:]
	}
	for i, field := range fields {
		last := i == len(fields)-1
		task := newTask(m, field)
		switch {
		case inTransaction && i == 0:
			task.Part = citronusher.PartFirst
		case inTransaction:
			task.Part = citronusher.PartNext
		}
		if last {
			m.mu.Lock()
			m.late = late
			m.mu.Unlock()
		}
		result, err := e.Execute(task)
		if !last {
			if err != nil {
				return field + ": " + err.Error()
			}
			continue
		}
		if err != nil {
			return citronusher.AsFailure(err).Outcome().String()
		}
		return "answered " + string(result.Answer.Payload)
	}
	return ""
}

func newTask(m *members, field string) citronusher.Task {
	now := m.clock.Instant()
	task := citronusher.Task{
		Route: citronusher.Route{
			Name: "r", Group: "g", Consistency: citronusher.ConsistencyPrimary, Limit: limit, Goal: limit,
		},
		Statement: citronusher.Statement{Kind: kinds[field], ID: "1", Text: field}, Writes: field == "write",
		ArrivedAt: now, BeganAt: now, MemberWaitDeadline: now.Add(limit),
	}
	if field == "execute" {
		task.Prepared = citronusher.PreparedStatement{Text: "shape"}
	}
	return task
}
