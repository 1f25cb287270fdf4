package home

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"citronusher.example/citronusher/admission"
	"citronusher.example/citronusher/meter"
	"citronusher.example/citronusher/pg"
	"citronusher.example/citronusher/profile"
	"citronusher.example/citronusher/term"
)

// stepClock is a clock whose time is set by the test.
type stepClock struct{ now time.Time }

func (c *stepClock) Now() time.Time { return c.now }

// TestWaitingRequestStartsBehindLongRunning guards against short requests that wait behind requests of the short class that
// run long. It fills a target with one of these: a waiting request must start although the running one does not end.
func TestWaitingRequestStartsBehindLongRunning(t *testing.T) {
	document, err := profile.New().Edit(profile.PartTarget, "guide-1", 0,
		[]byte(`{"connections": 16, "slots": 2, "members": [{"name": "m1", "address": "127.0.0.1:1", "domain": "oita"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	clock := &stepClock{now: time.Now()}
	set := New(Config{
		Self: "d1", Login: pg.NewLogin("u", "p", "d1", nil), Clock: clock, Logger: slog.New(slog.DiscardHandler),
		Meter: meter.New(), Policy: Policy{
			Queue: true, Homes: true, PromotionTimeouts: term.DefaultTimeouts(),
			Limiter: func(int, int, int) admission.Limiter { return admission.Fixed(1) },
		},
	})
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
