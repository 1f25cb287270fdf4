package targets

import (
	"log/slog"
	"math"
	"testing"
	"time"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/meter"
)

// TestOddReportOfAPeerIsNoMember guards against promotions that never happen, because a peer with another version of the
// daemon passes on the entry of another writer, and it counts as a member that cannot be reached.
func TestOddReportOfAPeerIsNoMember(t *testing.T) {
	s := New(Config{
		Self: "d1", Dialer: noDialer{}, Clock: &fakeTimer{}, Logger: slog.New(slog.DiscardHandler), Meter: meter.New(),
		RefreshMembers: func() {},
	})
	defer s.Close()
	s.SetInstances([]citronusher.Instance{citronusher.NewInstance("d1", "127.0.0.1:1", "z", citronusher.InstanceLive)})
	s.Apply(citronusher.Plan{Version: 1, Groups: map[string]citronusher.GroupPlan{"g": {Name: "g", Connections: 16}}})
	good := citronusher.MemberReport{ID: "a", Group: "g", Address: "127.0.0.1:1", Role: citronusher.RoleReplica, Slots: 2}
	for id, change := range map[string]func(*citronusher.MemberReport){
		"port zero":   func(r *citronusher.MemberReport) { r.Address = "127.0.0.1:0" },
		"port":        func(r *citronusher.MemberReport) { r.Address = "127.0.0.1:65536" },
		"address":     func(r *citronusher.MemberReport) { r.Address = "0.0.0.0:1" },
		"no address":  func(r *citronusher.MemberReport) { r.Address = "" },
		"capacity":    func(r *citronusher.MemberReport) { r.Slots = math.MaxInt },
		"no capacity": func(r *citronusher.MemberReport) { r.Slots = -1 },
		"born":        func(r *citronusher.MemberReport) { r.BornMillis = math.MinInt64 },
		"role":        func(r *citronusher.MemberReport) { r.Role = "king" },
		"id":          func(r *citronusher.MemberReport) { r.ID = "x\r\nQUERY - DEMOTE 9" },
	} {
		odd := good
		odd.ID = "odd"
		change(&odd)
		s.SetMembers([]citronusher.MemberReport{good, odd}, 0)
		g, _ := s.Group("g")
		g.mu.Lock()
		if len(g.members) != 1 || g.members["a"] == nil {
			t.Errorf("%s: taken for a member", id)
			clear(g.members)
		}
		g.mu.Unlock()
	}
}

// TestUnregisteredInstanceUsesNoLease guards against an instance that uses a primary, or replaces it, although the others
// may not know it and ask it to release its lease.
func TestUnregisteredInstanceUsesNoLease(t *testing.T) {
	g, timer := newTestGroup(t)
	g.set.groups["g"] = g
	g.set.SetRegistered(instance("d1"))
	g.lease.Begin(1)
	g.lease.Establish(timer.now)
	if !g.Ready() {
		t.Fatal("no lease began")
	}
	g.set.SetUnregistered()
	timer.now = timer.now.Add(10 * time.Millisecond)
	if g.Ready() {
		t.Error("the lease is still used")
	}
	g.discover()
	timer.now = timer.now.Add(time.Minute)
	g.mu.Lock()
	g.promoteIfNeeded(timer.now)
	promoting := g.promoting
	g.mu.Unlock()
	if promoting || g.Ready() {
		t.Errorf("promoting %t, with a lease %t", promoting, g.Ready())
	}
}
