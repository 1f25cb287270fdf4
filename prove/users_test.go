package prove

import (
	"bytes"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"citronusher.example/citronusher/events"
	"citronusher.example/citronusher/gateway"
	"citronusher.example/citronusher/operator"
	"citronusher.example/citronusher/settings"
	"citronusher.example/citronusher/standin/users"
)

// runGateway runs the daemon for the users' platform in the same way as the command citronusherd.
func runGateway(path string) error {
	s, err := settings.Load(path)
	if err != nil {
		return err
	}
	writer := events.NewWriter(os.Stdout)
	defer writer.Close()
	return gateway.Run(path, s, events.NewLogger(writer, slog.LevelInfo), writer.Dropped)
}

// gatewayCluster is a simulated users' platform with one group in the test process, and daemons as separate processes.
type gatewayCluster struct {
	t        *testing.T
	platform *users.Platform
	group    *users.Group
	daemons  []*process
	entries  []string
	paths    []string
}

func newGatewayCluster(t *testing.T, daemons int) *gatewayCluster {
	t.Helper()
	s := &gatewayCluster{t: t, platform: users.New(users.Options{
		Slots: 3, Connections: 24, Lag: 2 * time.Millisecond, Promotion: 300 * time.Millisecond,
		StatementDuration: time.Millisecond,
	})}
	t.Cleanup(s.platform.Close)
	group, err := s.platform.AddGroup("group", 3)
	if err != nil {
		t.Fatal(err)
	}
	s.group = group
	s.platform.Route("fresh", "primary", "group", 0, 3000)
	s.platform.Route("own", "read_your_writes", "group", 2500, 3000)
	for i := range daemons {
		s.startDaemon(fmt.Sprintf("d%d", i+1))
	}
	for i := range daemons {
		s.waitUntilServing(i)
	}
	return s
}

func (s *gatewayCluster) startDaemon(name string) {
	entry := freePort(s.t)
	body := fmt.Sprintf(`{
		"protocol": "line", "name": %q, "domain": "zone", "entry": {"address": %q}, "peer": {"address": %q}, "health": %q,
		"platform": {"store": %q, "promotion": %q}, "drain": "6s",
	}`, name, entry, freePort(s.t), freePort(s.t), s.platform.Address(), s.platform.Address())
	path := filepath.Join(s.t.TempDir(), name+".json")
	if err := os.WriteFile(path, []byte(body), 0o600); err != nil {
		s.t.Fatal(err)
	}
	s.paths = append(s.paths, path)
	s.entries = append(s.entries, entry)
	s.daemons = append(s.daemons, startProcess(s.t, name, "gateway", spec{Path: path}))
}

// waitFor polls until condition holds. It fails the test after 30 s.
func (s *gatewayCluster) waitFor(what string, condition func() bool) {
	s.t.Helper()
	const timeout = 30 * time.Second
	for deadline := time.Now().Add(timeout); !condition(); {
		if time.Now().After(deadline) {
			s.t.Fatalf("timed out waiting for %s", what)
		}
		time.Sleep(time.Millisecond)
	}
}

// waitUntilServing waits until daemon i has served a write.
func (s *gatewayCluster) waitUntilServing(i int) {
	s.t.Helper()
	s.waitFor("a write", func() bool {
		c, err := users.Dial(s.entries[i], "fresh", "probe")
		if err != nil {
			return false
		}
		defer c.Close()
		a, err := c.Query("WRITE probe x")
		return err == nil && a.Code == ""
	})
}

// call opens a session at entry i on the route "fresh".
func (s *gatewayCluster) call(i int, name string) *users.Caller {
	s.t.Helper()
	c, err := users.Dial(s.entries[i], "fresh", name)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(c.Close)
	return c
}

// mustRun sends a statement, fails the test unless it succeeds, and returns its rows joined by spaces.
func (s *gatewayCluster) mustRun(c *users.Caller, text string) string {
	s.t.Helper()
	a, err := c.Query(text)
	if err != nil || a.Code != "" {
		s.t.Fatalf("%s: %+v, %v", text, a, err)
	}
	return strings.Join(a.Rows, " ")
}

// writer holds the ids of a caller's writes by reported outcome.
type writer struct {
	done, notRun, unknown []string
}

// write sends writes until stop is set. After a connection error it opens a new session at another entry.
func (w *writer) write(s *gatewayCluster, name string, stop *atomic.Bool) {
	var c *users.Caller
	for n := 0; !stop.Load(); n++ {
		if c == nil {
			session, err := users.Dial(s.entries[n%len(s.entries)], "fresh", fmt.Sprintf("%s.%d", name, n))
			if err != nil {
				time.Sleep(time.Millisecond)
				continue
			}
			c = session
		}
		a, err := c.Query(fmt.Sprintf("WRITE %s %d", name, n))
		switch {
		case err != nil:
			w.unknown = append(w.unknown, a.ID)
			c.Close()
			c = nil
		case a.Code == "":
			w.done = append(w.done, a.ID)
		case a.Code == "BUSY" || a.Code == "ABORTED" || a.Code == "READONLY":
			w.notRun = append(w.notRun, a.ID)
		default:
			w.unknown = append(w.unknown, a.ID)
		}
		time.Sleep(time.Millisecond)
	}
	if c != nil {
		c.Close()
	}
}

// TestUsersOutcomes guards against false outcomes while daemons are killed and stopped and the primary crashes under load:
// each write reported as done is committed, each reported as not run is not, and none is committed twice.
func TestUsersOutcomes(t *testing.T) {
	s := newGatewayCluster(t, 3)
	var stop atomic.Bool
	writers := make([]writer, 6)
	var tasks errgroup.Group
	for i := range writers {
		tasks.Go(func() error { writers[i].write(s, fmt.Sprintf("w%d", i), &stop); return nil })
	}
	pause := func() { time.Sleep(700 * time.Millisecond) }
	pause()
	s.group.Primary().LoseNextAnswer()
	s.daemons[1].kill(t)
	s.daemons[1].start(t)
	pause()
	old := s.group.Primary()
	old.Crash()
	s.waitFor("another primary", func() bool { return s.group.Primary() != old })
	pause()
	if err := old.Restart(); err != nil {
		t.Fatal(err)
	}
	s.daemons[2].signal(t, syscall.SIGTERM)
	pause()
	s.group.Primary().Drain()
	pause()
	stop.Store(true)
	if err := tasks.Wait(); err != nil {
		t.Fatal(err)
	}
	done := 0
	for _, w := range writers {
		done += len(w.done)
		s.requireCommits(w.done, 1, 1)
		s.requireCommits(w.notRun, 0, 0)
		s.requireCommits(w.unknown, 0, 1)
	}
	if done == 0 {
		t.Error("nothing was written")
	}
	requireFencingTokens(t, s.platform.PromotionRequests())
}

// requireCommits requires that each id was committed at least low and at most high times.
func (s *gatewayCluster) requireCommits(ids []string, low, high int) {
	s.t.Helper()
	for _, id := range ids {
		if count := s.group.Commits(id); count < low || count > high {
			s.t.Errorf("%s was committed %d times, expected %d to %d", id, count, low, high)
		}
	}
}

// requireFencingTokens requires that the tokens of promotion requests never decrease and that no two holders use the same
// token.
func requireFencingTokens(t *testing.T, requests []users.PromotionRequest) {
	t.Helper()
	for i := 1; i < len(requests); i++ {
		previous, request := requests[i-1], requests[i]
		if request.Token < previous.Token || request.Token == previous.Token && request.Holder != previous.Holder {
			t.Errorf("promotion request %+v follows %+v: token decreased or used by two holders", request, previous)
		}
	}
}

// TestUsersFrozenDaemon guards against reads from a superseded primary: a daemon is frozen during a promotion and resumes
// while the former primary still answers. It must not return the former primary's value.
func TestUsersFrozenDaemon(t *testing.T) {
	s := newGatewayCluster(t, 3)
	frozen, other := s.call(1, "frozen"), s.call(0, "other")
	s.mustRun(frozen, "WRITE x old")
	s.daemons[1].signal(t, syscall.SIGSTOP)
	old := s.group.Primary()
	old.SetPartitioned(true)
	old.SetUnresponsive(true)
	if a, err := other.Query("WRITE probe x"); err != nil || a.Code == "" { // a failed request is what detects the outage
		t.Fatalf("write to an unreachable primary: %+v, %v, want an error code", a, err)
	}
	s.waitFor("another primary", func() bool { // the first request may have failed at the frozen daemon, which detects nothing
		before := s.group.Primary()
		if a, err := other.Query("WRITE probe x"); before == old && s.group.Primary() == old && (err != nil || a.Code == "") {
			t.Fatalf("write to an unreachable primary: %+v, %v, want an error code", a, err)
		}
		return s.group.Primary() != old
	})
	old.SetUnresponsive(false)
	s.waitFor("a write", func() bool {
		a, err := other.Query("WRITE x new")
		return err == nil && a.Code == ""
	})
	s.daemons[1].signal(t, syscall.SIGCONT)
	for range 5 {
		a, err := frozen.Query("READ x")
		if err != nil || a.Code == "" && strings.Join(a.Rows, " ") != "new" {
			t.Fatalf("read through the resumed daemon: %+v, %v, want new or an error code", a, err)
		}
	}
}

// TestUsersStopAndReload guards against a reload that activates invalid settings, and against requests that a stop by
// SIGTERM interrupts: a running session finishes its transaction, and its connection ends only between requests.
func TestUsersStopAndReload(t *testing.T) {
	s := newGatewayCluster(t, 2)
	if err := os.WriteFile(s.paths[0], []byte(`{"protocol": "pigeon"}`), 0o600); err != nil {
		t.Fatal(err)
	}
	s.daemons[0].signal(t, syscall.SIGHUP)
	c := s.call(0, "reload")
	s.mustRun(c, "WRITE x one")
	s.waitFor("the log line about the rejected settings", func() bool {
		body, err := os.ReadFile(s.daemons[0].log)
		return err == nil && bytes.Contains(body, []byte("settings failed their checks"))
	})
	s.mustRun(c, "READ x")
	s.daemons[1].signal(t, syscall.SIGTERM)
	session := s.call(1, "leaving")
	s.mustRun(session, "BEGIN")
	s.mustRun(session, "WRITE y two")
	s.mustRun(session, "COMMIT")
	ended := false
	for n := 0; !ended; n++ {
		a, err := session.Query(fmt.Sprintf("WRITE z %d", n))
		ended = err != nil
		if ended && len(a.Rows)+len(a.Code)+len(a.Signature) > 0 {
			t.Errorf("a request was interrupted: %+v, %v", a, err)
		}
		time.Sleep(time.Millisecond)
	}
	if got := s.mustRun(c, "READ y"); got != "two" {
		t.Errorf("read %q of item y, want two", got)
	}
}

// TestUsersFailureIsExplained guards against failures that operators cannot diagnose: a request is rejected while the
// primary and the store are unavailable, and the log command must show both causes for the request's id.
func TestUsersFailureIsExplained(t *testing.T) {
	s := newGatewayCluster(t, 2)
	c := s.call(0, "story")
	s.mustRun(c, "WRITE x one")
	s.platform.Fail(503)
	s.group.Primary().Crash()
	var rejectedID string
	s.waitFor("a rejected request", func() bool {
		a, err := c.Query("WRITE x two")
		if err != nil {
			t.Fatal(err)
		}
		rejectedID = a.ID
		return a.Code == "BUSY"
	})
	var output bytes.Buffer
	s.waitFor("both causes in the output of the log command", func() bool {
		output.Reset()
		err := operator.Run([]string{"log", s.daemons[0].log, s.daemons[1].log, "--id", rejectedID}, &output)
		return err == nil && strings.Contains(output.String(), "member stopped answering") &&
			strings.Contains(output.String(), "the claim could not be read")
	})
	if !strings.Contains(output.String(), "id="+rejectedID) {
		t.Errorf("the output of the log command lacks the request id %s:\n%s", rejectedID, &output)
	}
}
