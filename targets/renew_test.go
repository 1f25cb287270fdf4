package targets

import (
	"testing"
	"time"

	"citronusher.example/citronusher"
)

// TestOldRenewalOfAPeerBeginsNoLease guards against a second primary in use: a daemon that had no lease when another one
// asked for its release, or was not listed then, takes over a renewal that was requested before the members were paused.
func TestOldRenewalOfAPeerBeginsNoLease(t *testing.T) {
	for _, c := range []struct {
		name  string
		start func(f *fakeGroup) *Group // up to the opened group
		age   time.Duration             // of the renewal, 10 ms after the start
		valid bool
	}{
		{"requested before the group was opened", func(f *fakeGroup) *Group {
			f.set.ReleaseLease("g", 1)
			f.advance(time.Millisecond)
			return f.open()
		}, 100 * time.Millisecond, false},
		{"requested since", func(f *fakeGroup) *Group {
			f.set.ReleaseLease("g", 1)
			f.advance(time.Millisecond)
			return f.open()
		}, 5 * time.Millisecond, true},
		{"requested before the daemon was registered", func(f *fakeGroup) *Group {
			f.set.registered.Store(false)
			g := f.open()
			f.advance(time.Second)
			f.set.SetRegistered()
			return g
		}, 100 * time.Millisecond, false},
		{"requested before the daemon was registered again", func(f *fakeGroup) *Group {
			g := f.open()
			f.advance(time.Second)
			f.set.SetUnregistered()
			f.advance(time.Second)
			f.set.SetRegistered()
			return g
		}, 100 * time.Millisecond, false},
		{"a registration that is confirmed changes nothing", func(f *fakeGroup) *Group {
			g := f.open()
			f.advance(time.Second)
			f.set.SetRegistered()
			return g
		}, 100 * time.Millisecond, true},
	} {
		f := newFakeGroup(t)
		f.members["b"].silent, f.members["c"].silent = true, true
		g := c.start(f)
		f.advance(10 * time.Millisecond)
		g.discover()
		f.peers.age, f.peers.err = c.age, nil
		g.renewFromPeer(citronusher.Instance{})
		if g.Ready() != c.valid {
			t.Errorf("%s: ready %t, want %t", c.name, g.Ready(), c.valid)
		}
	}
}

// TestLeaseLastsForARunningStatement guards against an answer that is dropped because its statement took longer than an
// unused lease is renewed.
func TestLeaseLastsForARunningStatement(t *testing.T) {
	for _, inUse := range []bool{false, true} {
		f := newFakeGroup(t)
		g := f.open()
		f.advance(time.Millisecond)
		g.discover()
		conn := acquire(t, g)
		if !inUse {
			conn.Discard()
		}
		f.advance(leaseIdleTimeout)
		g.mu.Lock()
		g.renewIfNeeded(f.timer.now)
		renews := g.renewing
		g.mu.Unlock()
		if renews != inUse {
			t.Errorf("in use %t: renews %t", inUse, renews)
		}
		if err := f.set.Close(); err != nil {
			t.Error(err)
		}
	}
}

// TestEndedLeaseIsNotRenewedByOldProof guards against a lease that the primary itself has shown to be over, by refusing a
// write, and that a renewal requested before then brings back.
func TestEndedLeaseIsNotRenewedByOldProof(t *testing.T) {
	f := newFakeGroup(t)
	g := f.open()
	f.advance(time.Millisecond)
	g.discover()
	f.members["a"].run = func() citronusher.Answer { return citronusher.Answer{Refusal: citronusher.RefusalReadOnly} }
	f.members["b"].silent, f.members["c"].silent = true, true
	f.advance(100 * time.Millisecond)
	if _, err := acquire(t, g).Run(citronusher.Never, 0, citronusher.Command{}); err != nil || g.Ready() {
		t.Fatalf("lease valid %t, error %v", g.Ready(), err)
	}
	f.peers.err = nil
	for _, c := range []struct {
		age   time.Duration
		valid bool
	}{{50 * time.Millisecond, false}, {5 * time.Millisecond, true}} {
		f.advance(10 * time.Millisecond)
		g.discover()
		f.peers.age = c.age
		g.renewFromPeer(citronusher.Instance{})
		if g.Ready() != c.valid {
			t.Errorf("renewed %s ago: lease valid %t", c.age, g.Ready())
		}
		f.settle(t)
	}
}

// TestRenewerTakesOverTheLeaseOfAHome guards against a lease renewer without a usable primary in an outage of the store, for
// example after it was frozen, although another home has a lease.
func TestRenewerTakesOverTheLeaseOfAHome(t *testing.T) {
	f := newFakeGroup(t)
	first, self := f.set.homes.list[0], citronusher.NewInstance("d1", "127.0.0.1:2", "z", citronusher.InstanceLive)
	f.set.plan.Groups = map[string]citronusher.GroupPlan{"g": {Name: "g", Connections: 16}}
	f.set.homes.setInstances([]citronusher.Instance{self, first})
	g := f.open()
	f.advance(time.Millisecond)
	g.discover()
	f.store.err, f.members["c"].silent = citronusher.ErrUnavailable, true
	f.advance(time.Minute)
	f.peers.age, f.peers.err = 100*time.Millisecond, nil
	g.renewFromReplicas()
	if !g.Ready() {
		t.Error("no lease, although the other home has one")
	}
	f.settle(t)
}
