package home

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/admission"
	"citronusher.example/citronusher/meter"
	"citronusher.example/citronusher/pg"
	"citronusher.example/citronusher/profile"
	"citronusher.example/citronusher/term"
)

// stepClock is a clock whose time is set by the test.
type stepClock struct{ now time.Time }

func (c *stepClock) Now() time.Time { return c.now }

func newTestSet(clock *stepClock) *Set {
	return New(Config{
		Self: "d1", Login: pg.NewLogin("u", "p", "d1", nil), Clock: clock, Logger: slog.New(slog.DiscardHandler),
		Meter: meter.New(), Policy: Policy{
			Queue: true, Homes: true, Replicas: true, PromotionTimeouts: term.DefaultTimeouts(),
			Limiter: func(int, int, int) admission.Limiter { return admission.Fixed(1) },
		},
	})
}

// TestFormerPrimaryServesNoSession guards against a session that misses its own write at a former primary: this one accepted
// the new term, and its log is longer than the new primary's, but with other records.
func TestFormerPrimaryServesNoSession(t *testing.T) {
	document, err := profile.New().Edit(profile.PartTarget, "guide-1", 0, []byte(`{"connections": 16, "slots": 2, "members": [
		{"name": "m1", "address": "127.0.0.1:1", "domain": "oita"}, {"name": "m2", "address": "127.0.0.1:2", "domain": "oita"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	clock := &stepClock{now: time.Now()}
	config, _ := document.Database("guide-1")
	d := &database{
		set: newTestSet(clock), name: "guide-1", config: config, order: []string{"m1", "m2"}, targets: map[string]*target{},
		monitor: term.NewMonitor([]string{"m1", "m2"}, term.DefaultTimeouts(), clock.now), changed: make(chan struct{}),
	}
	for _, m := range config.Members() {
		d.targets[m.Name()] = newTarget(d, m)
	}
	starts := []citronusher.TermStart{citronusher.NewTermStart(1, 0), citronusher.NewTermStart(2, 95)}
	observe := func(name string, role citronusher.Role, logTerm, offset uint64) {
		state := citronusher.NewMemberState(role, 2, citronusher.NewPosition(logTerm, offset), starts, clock.now)
		d.observe(d.targets[name], state.WithReplication(clock.now, clock.now), nil)
	}
	observe("m2", citronusher.RolePrimary, 2, 98)
	stale, _ := document.Profile(profile.Stale)
	request := citronusher.Request{MinPosition: citronusher.NewPosition(2, 98), PositionKnown: true}
	for _, c := range []struct {
		logTerm, offset uint64
		want            bool
	}{{1, 100, false}, {1, 95, false}, {2, 97, false}, {2, 98, true}} {
		observe("m1", citronusher.RoleReplica, c.logTerm, c.offset)
		if _, _, ok := d.chooseReplica(request, stale); ok != c.want {
			t.Errorf("replica whose log ends at %d/%d: chosen %t", c.logTerm, c.offset, ok)
		}
	}
	for _, m := range d.targets {
		_ = m.Close()
	}
}

// TestWaitingRequestStartsBehindLongRunning guards against short requests that wait behind requests of the short class that
// run long. It fills a target with one of these: a waiting request must start although the running one does not end.
func TestWaitingRequestStartsBehindLongRunning(t *testing.T) {
	document, err := profile.New().Edit(profile.PartTarget, "guide-1", 0,
		[]byte(`{"connections": 16, "slots": 2, "members": [{"name": "m1", "address": "127.0.0.1:1", "domain": "oita"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	clock := &stepClock{now: time.Now()}
	set := newTestSet(clock)
	config, _ := document.Database("guide-1")
	d := &database{set: set, name: "guide-1", config: config}
	m := newTarget(d, config.Members()[0])
	ctx := context.Background()
	place := func() *admission.Ticket { return admission.NewTicket("shop", false, true, clock.now.Add(time.Minute)) }
	if err := m.admit(ctx, place()); err != nil {
		t.Fatal(err)
	}
	waiting := place()
	done := make(chan error, 1)
	d.group.Go(func() error { done <- m.admit(ctx, waiting); return nil })
	for queued := 0; queued == 0; time.Sleep(time.Millisecond) {
		m.mu.Lock()
		queued = m.queue.Waiting()
		m.mu.Unlock()
	}
	m.mu.Lock()
	clock.now = clock.now.Add(2 * longRunningAfter)
	m.mu.Unlock()
	m.startBehindLong()
	if err := <-done; err != nil {
		t.Error(err)
	}
	if err := m.Close(); err != nil {
		t.Error(err)
	}
	_ = d.group.Wait()
}
