package targets

import (
	"errors"
	"log/slog"
	"testing"
	"time"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/meter"
)

// fakeTimer is a clock that a test sets.
type fakeTimer struct{ now citronusher.Instant }

func (t *fakeTimer) Instant() citronusher.Instant { return t.now }

var errNoDial = errors.New("no member runs in this test")

// noDialer opens no connections.
type noDialer struct{}

func (noDialer) Dial(citronusher.Instant, string, string, string) (citronusher.MemberConn, error) {
	return nil, citronusher.NewNotRun(citronusher.ReasonConnect, "%v", errNoDial)
}

// newTestGroup returns a group with the members a, which leads, b and c.
func newTestGroup(t *testing.T) (*Group, *fakeTimer) {
	t.Helper()
	timer := &fakeTimer{now: citronusher.Instant(0).Add(time.Hour)}
	s := New(Config{
		Self: "d1", Dialer: noDialer{}, Clock: timer, Logger: slog.New(slog.DiscardHandler), Meter: meter.New(),
		RefreshMembers: func() {},
	})
	g := newGroup(s, "g")
	var reports []citronusher.MemberReport
	for _, id := range []string{"a", "b", "c"} {
		reports = append(reports, citronusher.MemberReport{ID: id, Group: "g", Role: citronusher.RoleReplica, Slots: 2})
	}
	g.configure(share{connections: 16, homes: 6, home: true}, reports)
	g.primary = "a"
	return g, timer
}

// TestShareLeavesConnections plays the return of all daemons after a loss of power: the old connections linger, and
// each new daemon still gets one to each member. (Found on kcg-hq scale-2: 2,198 connections over the cap, nothing
// served for 1.5 s.)
func TestShareLeavesConnections(t *testing.T) {
	for _, c := range []struct{ connections, daemons, least int }{
		{16, 6, 4}, {34, 6, 6}, {34, 8, 8}, {16, 3, 3}, {16, 12, 0},
	} {
		m := newMember(citronusher.MemberReport{})
		m.setShare(c.connections, c.daemons, true)
		free := c.connections - m.limit*c.daemons
		if m.limit < 1 || free < c.least {
			t.Errorf("%d connections, %d daemons: a share of %d leaves %d", c.connections, c.daemons, m.limit, free)
		}
	}
}

// TestBusyMemberIsNotDown checks that a member that answers on other connections is only too busy for another one.
// (Found on almandine-po trouble-1: its connections were closed and writes on them told unknown.)
func TestBusyMemberIsNotDown(t *testing.T) {
	g, timer := newTestGroup(t)
	silent := citronusher.NewNotRun(citronusher.ReasonConnect, "time-out")
	refused := silent.WithCause(citronusher.ErrRefused)
	m := g.members["a"]
	g.heard(m, timer.now)
	g.noteDialFailure(m, timer.now, silent)
	if m.down || g.lostAt != 0 {
		t.Error("a member that just answered is taken for dead")
	}
	g.noteDialFailure(m, timer.now, refused)
	if !m.down || g.lostAt == 0 || !g.refused {
		t.Error("a member whose machine refuses connections is taken for alive")
	}
	g.heard(m, timer.now)
	if m.down || g.lostAt != 0 {
		t.Error("a member that answers again is taken for dead")
	}
	timer.now = timer.now.Add(time.Second)
	g.noteDialFailure(m, timer.now, silent)
	if !m.down {
		t.Error("a member that has been silent everywhere is taken for alive")
	}
}

// TestLookDoesNotAskDarkMembers checks that a look for the primary asks the members that are up first. (Found on
// kcg-hq inc-265d: four daemons used the new primary 0.3 s late.)
func TestLookDoesNotAskDarkMembers(t *testing.T) {
	g, timer := newTestGroup(t)
	g.markDown(g.members["a"], timer.now, errNoDial)
	timer.now = timer.now.Add(downPause)
	if asked := len(g.askUp(status)); asked != 2 {
		t.Errorf("%d members were asked", asked)
	}
}

// TestGuestLeavesPromotionsToHomes plays a daemon that serves a group without being one of its homes: it has one
// connection to each member, and begins no promotion before the homes had time for theirs. (Found on
// almandine-po-grown scale-2: 27 daemons that were cut off from the homes claimed the group 1,500 times.)
func TestGuestLeavesPromotionsToHomes(t *testing.T) {
	g, timer := newTestGroup(t)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.home = false
	g.members["a"].setShare(195, 4, false)
	if limit := g.members["a"].limit; limit != 1 {
		t.Errorf("a guest may hold %d connections", limit)
	}
	g.noteLost(timer.now, true)
	timer.now = timer.now.Add(guestPatience - time.Millisecond)
	g.moveIfNeeded(timer.now)
	if g.moving {
		t.Error("a guest begins a promotion at once")
	}
}
