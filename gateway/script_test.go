package gateway_test

import (
	"fmt"
	"log/slog"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"citronusher.example/citronusher/gateway"
	"citronusher.example/citronusher/settings"
	"citronusher.example/citronusher/standin/users"
)

const (
	waitTimeout  = 15 * time.Second
	copyDelay    = 60 * time.Millisecond
	drainTimeout = 6 * time.Second
	oddDepth     = 5000 // of a deeply nested entry; encoding/json accepts it
)

// retryAfterPattern matches the retry-after time in a message to a caller.
var retryAfterPattern = regexp.MustCompile(`\d+ ms`)

// script runs a scenario with a simulated platform, daemons and callers.
type script struct {
	t        *testing.T
	platform *users.Platform
	group    *users.Group
	daemons  []*gateway.Gateway
	callers  map[string]*users.Caller
	writes   sync.WaitGroup
	stops    sync.WaitGroup
	written  atomic.Bool // the last write beside other actions succeeded
}

// TestScripts runs the scenarios in testdata. The first lines of each file state what it checks.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &script{t: t, callers: map[string]*users.Caller{}}
		t.Cleanup(s.close)
		datadriven.RunTest(t, path, s.run)
	})
}

func (s *script) close() {
	for _, c := range s.callers {
		c.Close()
	}
	for i := range s.daemons {
		s.closeDaemon(i + 1)
	}
	if s.platform != nil {
		s.platform.Close()
	}
}

// closeDaemon closes a daemon without draining it.
func (s *script) closeDaemon(number int) {
	d := s.daemons[number-1]
	if d == nil {
		return
	}
	if err := d.Close(); err != nil {
		s.t.Errorf("close: %v", err)
	}
	s.daemons[number-1] = nil
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "platform":
		return s.startPlatform(d)
	case "daemons":
		return s.startDaemons(d)
	case "call":
		return s.openSessions(d)
	case "say":
		return s.send(d)
	case "reasons":
		return s.sendForMessages(d)
	case "do":
		return s.runActions(d)
	default:
		d.Fatalf(t, "unknown command %s", d.Cmd)
		return ""
	}
}

func millis(t *testing.T, d *datadriven.TestData, name string, otherwise int) time.Duration {
	t.Helper()
	value := otherwise
	d.MaybeScanArgs(t, name, &value)
	return time.Duration(value) * time.Millisecond
}

// startPlatform starts a platform with one group of three members and a route for each consistency.
func (s *script) startPlatform(d *datadriven.TestData) string {
	connections, slots := 16, 2
	d.MaybeScanArgs(s.t, "connections", &connections)
	d.MaybeScanArgs(s.t, "slots", &slots)
	s.platform = users.New(users.Options{
		Slots: slots, Connections: connections, Lag: millis(s.t, d, "lag", 5), Promotion: millis(s.t, d, "promotion", 400),
		StatementDuration: millis(s.t, d, "work", 1),
	})
	group, err := s.platform.AddGroup("group", 3)
	if err != nil {
		d.Fatalf(s.t, "%v", err)
	}
	s.group = group
	s.platform.Route("fresh", "primary", "group", 0, 4000)
	s.platform.Route("own", "read_your_writes", "group", 2500, 4000)
	s.platform.Route("stale", "bounded_staleness", "group", 1500, 4000)
	return ""
}

func daemonSettings(t *testing.T, name, platform string) settings.Settings {
	t.Helper()
	s, err := settings.Parse([]byte(fmt.Sprintf(`{
		"protocol": "line", "name": %q, "domain": "zone", "health": "127.0.0.1:0",
		"entry": {"address": "127.0.0.1:0"}, "peer": {"address": "127.0.0.1:0"},
		"platform": {"store": %q, "promotion": %q}, "drain": "6s",
	}`, name, platform, platform)))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// logger returns a logger that discards its records, unless CITRONUSHER_LOG is set.
func logger() *slog.Logger {
	if os.Getenv("CITRONUSHER_LOG") != "" {
		return slog.New(slog.NewTextHandler(os.Stderr, nil))
	}
	return slog.New(slog.DiscardHandler)
}

// replaceDaemon starts another process under a daemon's name, as after a crash. What the old one has begun goes on.
func (s *script) replaceDaemon(number int) {
	g, err := gateway.New(daemonSettings(s.t, fmt.Sprintf("d%d", number), s.platform.Address()), logger())
	if err != nil {
		s.t.Fatal(err)
	}
	s.daemons = append(s.daemons, g)
}

func (s *script) startDaemons(d *datadriven.TestData) string {
	count, err := strconv.Atoi(d.CmdArgs[0].Key)
	if err != nil {
		d.Fatalf(s.t, "%v", err)
	}
	logger := logger()
	var started []*gateway.Gateway
	for range count {
		name := fmt.Sprintf("d%d", len(s.daemons)+1)
		g, err := gateway.New(daemonSettings(s.t, name, s.platform.Address()), logger)
		if err != nil {
			d.Fatalf(s.t, "%v", err)
		}
		s.daemons = append(s.daemons, g)
		started = append(started, g)
	}
	if d.HasArg("unready") {
		return ""
	}
	for _, g := range started {
		s.waitUntil("ready", g.Ready)
	}
	return ""
}

// waitUntil waits until condition holds, and fails the test after waitTimeout.
func (s *script) waitUntil(what string, condition func() bool) {
	if !waitFor(condition) {
		s.t.Fatalf("timed out waiting for: %s", what)
	}
}

// waitFor waits until condition holds. It reports false after waitTimeout.
func waitFor(condition func() bool) bool {
	deadline := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(time.Millisecond)
	}
	return true
}

// openSessions opens sessions: each line is a session name, a daemon's number and a database.
func (s *script) openSessions(d *datadriven.TestData) string {
	var out strings.Builder
	for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
		fields := strings.Fields(line)
		daemon, err := strconv.Atoi(fields[1])
		if err != nil {
			d.Fatalf(s.t, "%v", err)
		}
		c, err := users.Dial(s.daemons[daemon-1].Entry(), fields[2], fields[0])
		if err != nil {
			fmt.Fprintf(&out, "%s: %s\n", fields[0], strings.Join(strings.Fields(err.Error())[:3], " "))
			continue
		}
		s.callers[fields[0]] = c
	}
	return out.String()
}

// send sends statements: each line is a session name and a statement. It returns the rows, the error code and the
// session's state. With the argument within it marks statements that took more than so many milliseconds.
func (s *script) send(d *datadriven.TestData) string {
	var out strings.Builder
	limit := millis(s.t, d, "within", int(waitTimeout.Milliseconds()))
	for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
		name, text, _ := strings.Cut(line, " ")
		sentAt := time.Now()
		answer, err := s.callers[name].Query(text)
		if err != nil {
			fmt.Fprintf(&out, "%s: connection ended\n", line)
			continue
		}
		late := ""
		if time.Since(sentAt) > limit {
			late = " late"
		}
		fmt.Fprintf(&out, "%s: %s%s\n", line, s.format(answer, !d.HasArg("anyone")), late)
	}
	return out.String()
}

// sendForMessages sends statements as send does, and returns the error codes and messages.
func (s *script) sendForMessages(d *datadriven.TestData) string {
	var out strings.Builder
	for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
		name, text, _ := strings.Cut(line, " ")
		answer, err := s.callers[name].Query(text)
		fmt.Fprintf(&out, "%s: %s %s", line, answer.Code, retryAfterPattern.ReplaceAllString(answer.Message, "N ms"))
		if err != nil {
			fmt.Fprintf(&out, " %v", err)
		}
		out.WriteString("\n")
	}
	return out.String()
}

// format formats an answer. With signed it adds whether the primary or a replica signed it.
func (s *script) format(a users.Answer, signed bool) string {
	parts := append([]string{}, a.Rows...)
	switch {
	case a.Code != "":
		parts = append(parts, a.Code)
	case signed && a.Signature != "-":
		id, _, _ := strings.Cut(a.Signature, ".")
		if id == s.group.Primary().ID() {
			parts = append(parts, "(primary)")
		} else {
			parts = append(parts, "(replica)")
		}
	}
	return strings.Join(append(parts, a.State), " ")
}
