package soak

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"citronusher.example/citronusher/standin/users"
)

// checkRun is a run of one group with two members' callers.
type checkRun struct {
	t      *testing.T
	run    *run
	caller *caller
}

func newCheckRun(t *testing.T) checkRun {
	t.Helper()
	s := small()
	s.platform.Record = true
	r := &run{size: s}
	t.Cleanup(func() { r.platform.Close() })
	if err := r.startPlatform(); err != nil {
		t.Fatal(err)
	}
	return checkRun{t: t, run: r, caller: newCaller(r, 0, 1)}
}

// query runs a statement at a member and returns its answer.
func (c checkRun) query(m *users.Member, text string) users.Answer {
	c.t.Helper()
	session, err := users.Dial(m.Address(), groupName(0), "s"+strings.ReplaceAll(text, " ", "-"))
	if err != nil {
		c.t.Fatal(err)
	}
	defer session.Close()
	a, err := session.Query(text)
	if err != nil || a.Code != "" {
		c.t.Fatalf("%s: %+v, %v", text, a, err)
	}
	return a
}

// write commits a write at a member and acknowledges it.
func (c checkRun) write(m *users.Member, data string) ack {
	acked := ack{id: c.query(m, "WRITE x "+data).ID, at: time.Now()}
	c.caller.all = append(c.caller.all, acked)
	c.caller.done = append(c.caller.done, acked.id)
	return acked
}

// read runs a read of a route at a member.
func (c checkRun) read(m *users.Member, one route, firstAt time.Time, own ...ack) {
	a := c.query(m, "READ x")
	c.caller.reads = append(c.caller.reads, read{
		id: a.ID, signature: a.Signature, rows: "ROW " + a.Rows[0] + "\r\n", route: one, firstAt: firstAt, own: own,
	})
}

// violations returns the rules that the checks so far found broken, and forgets the reads.
func (c checkRun) violations() string {
	c.run.violations = nil
	c.run.check([]*caller{c.caller})
	c.caller.reads = nil
	var rules []string
	for _, v := range c.run.violations {
		rule, _, _ := strings.Cut(v, ":")
		rules = append(rules, rule)
	}
	return strings.Join(rules, " ")
}

func (c checkRun) expect(what, want string) {
	c.t.Helper()
	if got := c.violations(); got != want {
		c.t.Errorf("%s: violations %q, want %q", what, got, want)
	}
}

// TestStale checks which reads count as stale on a replica that receives nothing: by route, by the time of the read's first
// byte, and by session.
func TestStale(t *testing.T) {
	c := newCheckRun(t)
	primary, replica := c.run.groups[0].Member(0), c.run.groups[0].Member(1)
	fresh, own := c.run.size.routes[0], c.run.size.routes[1]
	bounded := route{name: "stale", consistency: consistencyBounded, maxStaleness: 10 * time.Millisecond}
	replica.StopReceiving(true)
	before := time.Now()
	acked := c.write(primary, "1")
	time.Sleep(bounded.maxStaleness)
	c.read(primary, fresh, time.Now())
	c.read(replica, fresh, before)
	c.read(replica, own, time.Now())
	c.expect("reads that may lack the write", "")
	c.read(replica, fresh, time.Now())
	c.expect("primary route", "STALE")
	c.read(replica, own, time.Now(), acked)
	c.expect("own write", "STALE")
	c.read(replica, bounded, time.Now())
	c.expect("bounded route", "STALE")
}

// TestRolledBackCommitIsNotStale checks that a read may lack an acknowledged commit that a promotion rolled back, and that a
// commit at the old primary after the promotion breaks ONE once it is acknowledged.
func TestRolledBackCommitIsNotStale(t *testing.T) {
	c := newCheckRun(t)
	group, fresh := c.run.groups[0], c.run.size.routes[0]
	old, next := group.Member(0), group.Member(1)
	next.StopReceiving(true)
	c.write(old, "1")
	old.SetPartitioned(true)
	c.promote(next)
	c.read(next, fresh, time.Now())
	c.expect("the commit was rolled back", "")
	c.write(next, "2")
	c.read(old, fresh, time.Now())
	c.expect("the old primary lacks a commit", "STALE")
	c.write(old, "3")
	c.expect("commit at the old primary", "ONE")
}

// promote requests the promotion of a member and waits for its effect.
func (c checkRun) promote(m *users.Member) {
	c.t.Helper()
	if err := requestPromotion(c.run.platform.Address(), groupName(0), m.ID()); err != nil {
		c.t.Fatal(err)
	}
	for c.run.groups[0].Primary() != m {
		time.Sleep(time.Millisecond)
	}
}

// TestLateWriteIsAllowed checks that a write of unknown outcome which the member runs late, over a newer value, breaks
// nothing.
func TestLateWriteIsAllowed(t *testing.T) {
	c := newCheckRun(t)
	primary, fresh := c.run.groups[0].Member(0), c.run.size.routes[0]
	session, err := users.Dial(primary.Address(), groupName(0), "late")
	if err != nil {
		t.Fatal(err)
	}
	primary.SetFrozen(true)
	if err := session.Send("QUERY late WRITE x old"); err != nil {
		t.Fatal(err)
	}
	session.Close()
	c.caller.unknown = append(c.caller.unknown, "late")
	primary.SetFrozen(false)
	c.write(primary, "new")
	for c.run.groups[0].Commits("late") == 0 {
		time.Sleep(time.Millisecond)
	}
	c.read(primary, fresh, time.Now())
	c.expect("late write", "")
}

// requestPromotion requests a promotion as a daemon does.
func requestPromotion(platform, group, member string) error {
	body := strings.NewReader(fmt.Sprintf(`{"Service":%q,"Id":%q}`, group, member))
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+platform+"/promote", body)
	if err != nil {
		return fmt.Errorf("promotion: %w", err)
	}
	request.Header.Set("Fencing-Token", "1")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("promotion: %w", err)
	}
	http.DefaultClient.CloseIdleConnections()
	return response.Body.Close()
}
