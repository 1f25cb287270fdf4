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

// runGateway is the daemon of the users' platform, as its command runs it.
func runGateway(path string) error {
	s, err := settings.Load(path)
	if err != nil {
		return err
	}
	writer := events.NewWriter(os.Stdout)
	defer writer.Close()
	return gateway.Run(path, s, events.NewLogger(writer, slog.LevelInfo), writer.Dropped)
}

// site is a stand-in of the users' platform with one group, and daemons before it as separate processes.
type site struct {
	t        *testing.T
	platform *users.Platform
	group    *users.Group
	daemons  []*process
	entries  []string
	paths    []string
}

func newSite(t *testing.T, daemons int) *site {
	t.Helper()
	s := &site{t: t, platform: users.New(users.Options{
		Slots: 3, Connections: 24, Lag: 2 * time.Millisecond, Promotion: 300 * time.Millisecond, Work: time.Millisecond,
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
		s.awaitServed(i)
	}
	return s
}

func (s *site) startDaemon(name string) {
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

// await waits until condition holds.
func (s *site) await(what string, condition func() bool) {
	s.t.Helper()
	const limit = 30 * time.Second
	for deadline := time.Now().Add(limit); !condition(); {
		if time.Now().After(deadline) {
			s.t.Fatalf("not in time: %s", what)
		}
		time.Sleep(time.Millisecond)
	}
}

// awaitServed waits until the daemon serves a write.
func (s *site) awaitServed(i int) {
	s.t.Helper()
	s.await("a write", func() bool {
		c, err := users.Call(s.entries[i], "fresh", "probe")
		if err != nil {
			return false
		}
		defer c.Close()
		a, err := c.Say("WRITE probe x")
		return err == nil && a.Code == ""
	})
}

func (s *site) call(i int, name string) *users.Caller {
	s.t.Helper()
	c, err := users.Call(s.entries[i], "fresh", name)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(c.Close)
	return c
}

// must sends a statement that has to succeed and returns its first row.
func (s *site) must(c *users.Caller, text string) string {
	s.t.Helper()
	a, err := c.Say(text)
	if err != nil || a.Code != "" {
		s.t.Fatalf("%s: %+v, %v", text, a, err)
	}
	return strings.Join(a.Rows, " ")
}

// writer is a caller that writes until stop, and records what it was told.
type writer struct {
	done, notRun, unknown []string
}

// write sends writes with the sessions that the entries give it, one entry after the other.
func (w *writer) write(s *site, name string, stop *atomic.Bool) {
	var c *users.Caller
	for n := 0; !stop.Load(); n++ {
		if c == nil {
			fresh, err := users.Call(s.entries[n%len(s.entries)], "fresh", fmt.Sprintf("%s.%d", name, n))
			if err != nil {
				time.Sleep(time.Millisecond)
				continue
			}
			c = fresh
		}
		a, err := c.Say(fmt.Sprintf("WRITE %s %d", name, n))
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

// TestUsersOutcomes kills and stops daemons and crashes the primary under load. Each write that was told done was
// committed, each that was told not run was not, and none was committed twice.
func TestUsersOutcomes(t *testing.T) {
	s := newSite(t, 3)
	var stop atomic.Bool
	writers := make([]writer, 6)
	var tasks errgroup.Group
	for i := range writers {
		tasks.Go(func() error { writers[i].write(s, fmt.Sprintf("w%d", i), &stop); return nil })
	}
	pause := func() { time.Sleep(700 * time.Millisecond) }
	pause()
	s.group.Primary().LoseAnswer()
	s.daemons[1].kill(t)
	s.daemons[1].start(t)
	pause()
	old := s.group.Primary()
	old.Crash()
	s.await("another primary", func() bool { return s.group.Primary() != old })
	pause()
	if err := old.Restart(); err != nil {
		t.Fatal(err)
	}
	s.daemons[2].signal(t, syscall.SIGTERM)
	pause()
	s.group.Primary().Leave()
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
	requireFences(t, s.platform.Orders())
}

func (s *site) requireCommits(ids []string, low, high int) {
	s.t.Helper()
	for _, id := range ids {
		if count := s.group.Commits(id); count < low || count > high {
			s.t.Errorf("%s was committed %d times, expected %d to %d", id, count, low, high)
		}
	}
}

// requireFences requires that tokens rise, and differ between holders.
func requireFences(t *testing.T, orders []users.Order) {
	t.Helper()
	for i := 1; i < len(orders); i++ {
		if orders[i].Token < orders[i-1].Token || orders[i].Token == orders[i-1].Token && orders[i].Holder != orders[i-1].Holder {
			t.Errorf("promotion %+v after %+v", orders[i], orders[i-1])
		}
	}
}

// TestUsersFrozenDaemon stops a daemon while another primary takes over, and lets it go on while the old primary
// still answers. It reads nothing from there.
func TestUsersFrozenDaemon(t *testing.T) {
	s := newSite(t, 3)
	frozen, other := s.call(1, "frozen"), s.call(0, "other")
	s.must(frozen, "WRITE x old")
	s.daemons[1].signal(t, syscall.SIGSTOP)
	old := s.group.Primary()
	old.Cut(true)
	old.Darken(true)
	if a, err := other.Say("WRITE x between"); err != nil || a.Code == "" { // requests are what shows that a primary is lost
		t.Fatalf("a dark primary answered: %+v, %v", a, err)
	}
	s.await("another primary", func() bool { return s.group.Primary() != old })
	old.Darken(false)
	s.await("a write", func() bool {
		a, err := other.Say("WRITE x new")
		return err == nil && a.Code == ""
	})
	s.daemons[1].signal(t, syscall.SIGCONT)
	for range 5 {
		a, err := frozen.Say("READ x")
		if err != nil || a.Code == "" && strings.Join(a.Rows, " ") != "new" {
			t.Fatalf("the daemon that stood still read %+v, %v", a, err)
		}
	}
}

// TestUsersStopAndReload stops daemons by SIGTERM under load: no request is cut off. Bad settings are refused while
// the old ones stay.
func TestUsersStopAndReload(t *testing.T) {
	s := newSite(t, 2)
	if err := os.WriteFile(s.paths[0], []byte(`{"protocol": "pigeon"}`), 0o600); err != nil {
		t.Fatal(err)
	}
	s.daemons[0].signal(t, syscall.SIGHUP)
	c := s.call(0, "reload")
	s.must(c, "WRITE x one")
	s.await("the refusal", func() bool {
		body, err := os.ReadFile(s.daemons[0].log)
		return err == nil && bytes.Contains(body, []byte("settings failed their checks"))
	})
	s.must(c, "READ x")
	s.daemons[1].signal(t, syscall.SIGTERM)
	leaving := s.call(1, "leaving")
	s.must(leaving, "BEGIN")
	s.must(leaving, "WRITE y two")
	s.must(leaving, "COMMIT")
	ended := false
	for n := 0; !ended; n++ {
		a, err := leaving.Say(fmt.Sprintf("WRITE z %d", n))
		ended = err != nil
		if ended && len(a.Rows)+len(a.Code)+len(a.Signature) > 0 {
			t.Errorf("a request was cut off: %+v, %v", a, err)
		}
		time.Sleep(time.Millisecond)
	}
	if got := s.must(c, "READ y"); got != "two" {
		t.Errorf("read %q", got)
	}
}

// TestUsersFailureIsExplained refuses a request while the primary is lost and the store is down, and finds both
// causes from the request's id and the logs alone.
func TestUsersFailureIsExplained(t *testing.T) {
	s := newSite(t, 2)
	c := s.call(0, "story")
	s.must(c, "WRITE x one")
	s.platform.Fail(503)
	s.group.Primary().Crash()
	var refused string
	s.await("a refusal", func() bool {
		a, err := c.Say("WRITE x two")
		if err != nil {
			t.Fatal(err)
		}
		refused = a.ID
		return a.Code == "BUSY"
	})
	var told bytes.Buffer
	s.await("the story", func() bool {
		told.Reset()
		err := operator.Run([]string{"log", s.daemons[0].log, s.daemons[1].log, "--id", refused}, &told)
		return err == nil && strings.Contains(told.String(), "member stopped answering") &&
			strings.Contains(told.String(), "the claim could not be read")
	})
	if !strings.Contains(told.String(), "id="+refused) {
		t.Errorf("the story lacks the request:\n%s", &told)
	}
}
