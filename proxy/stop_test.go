package proxy

import (
	"log/slog"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/meter"
)

// scriptedCaller sends the statements that the test passes on and records the replies.
type scriptedCaller struct {
	citronusher.Caller
	statements  chan citronusher.Statement
	interrupted chan struct{}
	replies     chan string
}

func newScriptedCaller() *scriptedCaller {
	return &scriptedCaller{
		statements: make(chan citronusher.Statement), interrupted: make(chan struct{}, 1), replies: make(chan string, 1),
	}
}

func (*scriptedCaller) Startup() (string, error) { return "d", nil }
func (*scriptedCaller) Accept() error            { return nil }
func (*scriptedCaller) Close() error             { return nil }

func (c *scriptedCaller) Next() (citronusher.Statement, error) {
	select {
	case statement := <-c.statements:
		return statement, nil
	case <-c.interrupted:
		return citronusher.Statement{}, citronusher.ErrClosed
	}
}

func (c *scriptedCaller) Interrupt() {
	select {
	case c.interrupted <- struct{}{}:
	default:
	}
}

func (c *scriptedCaller) SendAnswer(citronusher.Answer, citronusher.TransactionState) error {
	c.replies <- "answer"
	return nil
}

func (c *scriptedCaller) SendDone(citronusher.TransactionState) error {
	c.replies <- "done"
	return nil
}

func (c *scriptedCaller) SendFailure(failure *citronusher.Failure, _ citronusher.TransactionState) error {
	c.replies <- string(failure.Reason())
	return nil
}

// ask sends a statement and returns the reply to it.
func (c *scriptedCaller) ask(kind citronusher.StatementKind) string {
	c.statements <- citronusher.Statement{Kind: kind}
	return <-c.replies
}

// slowExecutor runs each statement for some time, and counts what it does.
type slowExecutor struct {
	runTime     time.Duration
	ran, rolled int
}

func (e *slowExecutor) Execute(task citronusher.Task) (citronusher.TaskResult, error) {
	e.ran++
	time.Sleep(e.runTime)
	var result citronusher.TaskResult
	if task.Part != citronusher.PartNone && task.Statement.Kind != citronusher.StatementCommit {
		result.Answer.State = citronusher.StateOpen
	}
	return result, nil
}

func (e *slowExecutor) Rollback() { e.rolled++ }

// TestStopReachesEveryTransaction guards against a transaction that a planned stop passes over because of what it does at
// that moment, so that a later statement of it is broken off without an answer.
func TestStopReachesEveryTransaction(t *testing.T) {
	const (
		begin  = citronusher.StatementBegin
		read   = citronusher.StatementRead
		commit = citronusher.StatementCommit
	)
	for name, test := range map[string]struct {
		before  []citronusher.StatementKind // answered before transactions are rolled back
		running citronusher.StatementKind   // runs meanwhile; StatementOther for none
		reply   string                      // to the running statement
		next    citronusher.StatementKind
		after   string // reply to the next statement
		ran     int    // statements that reach a member
		rolled  int
	}{
		"only begun":          {[]citronusher.StatementKind{begin}, 0, "", read, "gone", 0, 0},
		"between statements":  {[]citronusher.StatementKind{begin, read}, 0, "", read, "gone", 1, 1},
		"first is running":    {[]citronusher.StatementKind{begin}, read, "answer", read, "gone", 1, 1},
		"later is running":    {[]citronusher.StatementKind{begin, read}, read, "answer", commit, "gone", 2, 1},
		"commit is under way": {[]citronusher.StatementKind{begin, read}, commit, "answer", begin, "closed", 2, 0},
		"no transaction":      {[]citronusher.StatementKind{read}, 0, "", begin, "leaving", 1, 0},
		"failed commit next":  {[]citronusher.StatementKind{begin, read}, 0, "", commit, "gone", 1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				caller, executor := newScriptedCaller(), &slowExecutor{runTime: time.Second}
				plan := citronusher.Plan{
					Version: 1, Idle: time.Hour, Routes: map[string]citronusher.Route{"d": {Name: "d", Group: "g"}},
				}
				p := &Proxy{sessions: map[*session]struct{}{}, config: Config{
					NewCaller:   func(net.Conn) citronusher.Caller { return caller },
					NewExecutor: func() citronusher.Executor { return executor },
					Plan:        func() citronusher.Plan { return plan },
					Clock:       citronusher.SystemClock{}, Logger: slog.New(slog.DiscardHandler), Meter: meter.New(),
				}}
				var serving errgroup.Group
				serving.Go(func() error {
					p.serve(nil)
					return nil
				})
				for _, kind := range test.before {
					caller.ask(kind)
				}
				if test.running != citronusher.StatementOther {
					caller.statements <- citronusher.Statement{Kind: test.running}
				}
				synctest.Wait()
				if test.after == "closed" {
					p.mu.Lock()
					p.draining = true
					p.mu.Unlock()
				}
				p.RollBackTransactions()
				if test.running != citronusher.StatementOther {
					if reply := <-caller.replies; reply != test.reply {
						t.Errorf("the running statement: %s", reply)
					}
				}
				synctest.Wait()
				if test.after == "closed" {
					_ = serving.Wait() // serve returns no error
				} else if reply := caller.ask(test.next); reply != test.after {
					t.Errorf("the next statement: %s, want %s", reply, test.after)
				}
				if executor.ran != test.ran || executor.rolled != test.rolled {
					t.Errorf("%d statements ran, %d transactions were rolled back", executor.ran, executor.rolled)
				}
				caller.Interrupt()
				_ = serving.Wait()
			})
		})
	}
}
