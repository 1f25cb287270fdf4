package relay_test

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/meter"
	"citronusher.example/citronusher/relay"
)

const (
	limit = 200 * time.Millisecond // for a statement
	pause = 350 * time.Millisecond
)

var clock = citronusher.SystemClock{}

// fleet is a daemon e and the homes that it may reach, each with a way of its own to answer.
type fleet struct {
	mu      sync.Mutex
	count   int
	homes   []citronusher.Instance
	ways    map[string]string
	asked   []string // what was asked of whom since the last report
	rolled  chan string
	keys    map[uint64]bool
	relay   *relay.Relay
	session citronusher.Executor
}

func (f *fleet) set(name, way string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ways[name] = way
}

// answer plays how name answers a task.
func (f *fleet) answer(name string, task citronusher.Task) (citronusher.TaskResult, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asked = append(f.asked, name)
	done := citronusher.TaskResult{SessionPosition: task.SessionPosition, Trace: citronusher.Trace{Member: "m", Attempts: 1}}
	if task.Part != citronusher.PartNone && task.Statement.Kind != citronusher.StatementCommit {
		done.Answer.State = citronusher.StateOpen
	}
	switch way := f.ways[name]; way {
	case "", "runs":
		return done, nil
	case "unreached":
		return citronusher.TaskResult{}, fmt.Errorf("%w: %s", citronusher.ErrNotDelivered, name)
	case "breaks":
		return citronusher.TaskResult{}, fmt.Errorf("%w: %s", citronusher.ErrUnavailable, name)
	case "doubts":
		return done, citronusher.NewUnknown(citronusher.ReasonBroken, "the connection to the member broke while the write ran")
	default:
		back, _ := strings.CutPrefix(way, "soon-")
		failure := citronusher.NewNotRun(citronusher.Reason(back), "refused at %s", name)
		if back == way {
			failure = failure.WithRetryAfter(time.Hour)
		}
		return done, failure
	}
}

// Execute is another daemon's answer.
func (f *fleet) Execute(
	_ context.Context, home citronusher.Instance, key citronusher.SessionKey, task citronusher.Task,
) (citronusher.TaskResult, error) {
	f.mu.Lock()
	f.keys[key.Number] = true
	f.mu.Unlock()
	done, err := f.answer(home.Name(), task)
	done.Trace.Home = home.Name()
	return done, err
}

// Rollback records which daemon was told to roll back.
func (f *fleet) Rollback(_ context.Context, home citronusher.Instance, _ citronusher.SessionKey) error {
	f.rolled <- home.Name()
	return nil
}

// Ping is answered by daemons that run tasks.
func (f *fleet) Ping(_ context.Context, home citronusher.Instance) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if way := f.ways[home.Name()]; way == "unreached" || way == "breaks" {
		return citronusher.ErrUnavailable
	}
	return nil
}

// local runs tasks at the daemon itself.
type local struct{ fleet *fleet }

func (l local) Execute(task citronusher.Task) (citronusher.TaskResult, error) {
	return l.fleet.answer("e", task)
}
func (l local) Rollback() { l.fleet.rolled <- "e" }

// TestRelay plays the scripts in testdata: which homes a statement is tried at, and what its session is told.
func TestRelay(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		f := &fleet{ways: map[string]string{}, rolled: make(chan string, 16), keys: map[uint64]bool{}}
		f.relay = relay.New(relay.Config{
			Self: "e", Domain: "near", NewLocalExecutor: func() citronusher.Executor { return local{fleet: f} },
			Homes:     func(string) ([]citronusher.Instance, int) { return f.homes, f.count },
			Forwarder: f, Clock: clock, Logger: slog.New(slog.DiscardHandler), Meter: meter.New(),
		})
		f.session = f.relay.Open()
		datadriven.RunTest(t, path, f.run)
		if err := f.relay.Close(); err != nil {
			t.Error(err)
		}
	})
}

func (f *fleet) run(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "homes":
		f.count = len(d.CmdArgs)
		d.MaybeScanArgs(t, "count", &f.count)
		f.homes = nil
		for _, arg := range d.CmdArgs {
			if arg.Key != "count" {
				f.homes = append(f.homes, citronusher.NewInstance(arg.Key, arg.Key, strings.Join(arg.Vals, ""),
					citronusher.InstanceLive))
			}
		}
		return ""
	case "is":
		f.set(d.CmdArgs[0].Key, d.CmdArgs[1].Key)
		return ""
	case "task":
		return f.task(d)
	case "pause": // until a home that could not serve is asked in its turn again
		time.Sleep(pause)
		return ""
	case "rollback":
		f.session.Rollback()
		return f.told()
	case "rolled-back":
		return <-f.rolled + "\n"
	default:
		d.Fatalf(t, "unknown command %s", d.Cmd)
		return ""
	}
}

// task runs one statement and tells who was asked and how it ended.
func (f *fleet) task(d *datadriven.TestData) string {
	now := clock.Instant()
	task := citronusher.Task{
		Route: citronusher.Route{Name: "r", Group: "g", Limit: limit}, ArrivedAt: now,
		Statement: citronusher.Statement{ID: "q", Kind: citronusher.StatementRead},
	}
	for _, arg := range d.CmdArgs {
		switch arg.Key {
		case "write":
			task.Writes, task.Statement.Kind = true, citronusher.StatementWrite
		case "commit":
			task.Statement.Kind = citronusher.StatementCommit
		case "first":
			task.Part = citronusher.PartFirst
		case "next":
			task.Part = citronusher.PartNext
		}
	}
	_, err := f.session.Execute(task)
	out := "asked " + f.told()
	if err != nil {
		failure := citronusher.AsFailure(err)
		return out + fmt.Sprintf("%s, reason %s\n", failure.Outcome(), failure.Reason())
	}
	return out + "done\n"
}

// told returns who was asked since the last call, each once.
func (f *fleet) told() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var asked []string
	for _, name := range f.asked {
		if !slices.Contains(asked, name) {
			asked = append(asked, name)
		}
	}
	f.asked = nil
	return strings.Join(asked, " ") + "\n"
}
