package proxy

import (
	"log/slog"
	"net"
	"testing"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/meter"
)

// brokenCaller sends a statement that the executor fails on unexpectedly.
type brokenCaller struct {
	citronusher.Caller
	closed bool
}

func (*brokenCaller) Startup() (string, error) { return "d", nil }
func (*brokenCaller) Accept() error            { return nil }
func (c *brokenCaller) Close() error           { c.closed = true; return nil }
func (*brokenCaller) Next() (citronusher.Statement, error) {
	return citronusher.Statement{Kind: citronusher.StatementRead, Text: "READ a"}, nil
}

// brokenExecutor panics, as code with a fault may.
type brokenExecutor struct{ rolledBack bool }

func (*brokenExecutor) Execute(citronusher.Task) (citronusher.TaskResult, error) { panic("broken") }
func (e *brokenExecutor) Rollback()                                              { e.rolledBack = true }

// TestBrokenSessionEnds guards against a session that stays open without an answer, and keeps its transaction, after an
// unexpected error, and against the end of the daemon.
func TestBrokenSessionEnds(t *testing.T) {
	caller, executor := &brokenCaller{}, &brokenExecutor{}
	plan := citronusher.Plan{Version: 1, Routes: map[string]citronusher.Route{"d": {Name: "d", Group: "g"}}}
	p := &Proxy{sessions: map[*session]struct{}{}, config: Config{
		NewCaller:   func(net.Conn) citronusher.Caller { return caller },
		NewExecutor: func() citronusher.Executor { return executor },
		Plan:        func() citronusher.Plan { return plan },
		Clock:       citronusher.SystemClock{}, Logger: slog.New(slog.DiscardHandler), Meter: meter.New(),
	}}
	p.serve(nil)
	if !caller.closed || !executor.rolledBack || !p.Idle() {
		t.Errorf("closed %t, rolled back %t, no session %t", caller.closed, executor.rolledBack, p.Idle())
	}
}
