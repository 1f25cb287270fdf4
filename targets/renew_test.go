package targets

import (
	"testing"
	"time"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/schedule"
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
			f.set.SetRegistered(instance("d1"))
			return g
		}, 100 * time.Millisecond, false},
		{"requested before the daemon was registered again", func(f *fakeGroup) *Group {
			g := f.open()
			f.advance(time.Second)
			f.set.SetUnregistered()
			f.advance(time.Second)
			f.set.SetRegistered(instance("d1"))
			return g
		}, 100 * time.Millisecond, false},
		{"a registration that is confirmed changes nothing", func(f *fakeGroup) *Group {
			g := f.open()
			f.advance(time.Second)
			f.set.SetRegistered(instance("d1"))
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

// TestRejectedRequestRenewsTheLease guards against a home whose lease has expired and that rejects every request without
// renewing it, so that all of them take the way to another home.
func TestRejectedRequestRenewsTheLease(t *testing.T) {
	f := newFakeGroup(t)
	g := f.open()
	f.advance(time.Millisecond)
	g.discover()
	f.advance(time.Minute)
	deadline := g.now().Add(time.Second)
	ticket := schedule.NewTicket(schedule.Requirement{Primary: true}, 1, deadline, deadline)
	if _, err := g.Acquire(ticket); err == nil {
		t.Fatal("a request was granted a primary without a lease")
	}
	f.peers.err = nil
	g.mu.Lock()
	g.renewIfNeeded(f.timer.now)
	g.mu.Unlock()
	f.settle(t)
	if !g.Ready() {
		t.Error("the lease was not renewed")
	}
}

// TestLeaseOfAnUnusedGroupIsKept guards against a group without a usable primary in an outage of the store, because nobody
// had used it and the proof by which a lease begins cannot be had: its lease renewer renews the lease, and nobody else.
func TestLeaseOfAnUnusedGroupIsKept(t *testing.T) {
	for _, renewer := range []string{"d1", "d2"} {
		f := newFakeGroup(t)
		f.set.SetInstances([]citronusher.Instance{instance(renewer)})
		g := f.open()
		f.advance(time.Millisecond)
		g.discover()
		f.advance(renewInterval)
		g.renewFromReplicas() // on connections that are older than the lease from now on
		f.store.err = citronusher.ErrUnavailable
		f.members["c"].silent = true
		for range 200 {
			f.advance(watchInterval)
			g.mu.Lock()
			g.renewIfNeeded(f.timer.now)
			g.mu.Unlock()
			f.settle(t)
		}
		if g.Ready() != (renewer == f.set.config.Self) {
			t.Errorf("lease renewer %s: lease of %s valid %t", renewer, f.set.config.Self, g.Ready())
		}
	}
}

// TestConnectionOpenedBesideARenewalKeepsTheLease guards against a lease that ends in an outage of the store because the
// connection that shows that a replica has not restarted was closed in favour of one opened during the renewal.
func TestConnectionOpenedBesideARenewalKeepsTheLease(t *testing.T) {
	f := newFakeGroup(t)
	g := f.open()
	f.advance(time.Millisecond)
	g.discover()
	f.advance(renewInterval)
	g.renewFromReplicas() // on connections that are older than the lease from now on
	f.store.err = citronusher.ErrUnavailable
	f.members["c"].silent = true
	for range 5 {
		f.advance(unusedRenewInterval)
		g.mu.Lock()
		closeAll(g.members["b"].takeSurplus(g.now()))
		g.mu.Unlock()
		g.renewFromReplicas()
		f.advance(time.Millisecond)
		g.prewarm(g.members["b"])
	}
	if !g.Ready() {
		t.Error("the lease has ended")
	}
}

// TestUnusedLeaseIsRenewedSeldom guards against the cost of groups that nobody uses: reports of replicas, and calls to the
// store while a lease cannot begin.
func TestUnusedLeaseIsRenewedSeldom(t *testing.T) {
	f := newFakeGroup(t)
	f.set.SetInstances([]citronusher.Instance{instance("d1")})
	g := f.open()
	f.advance(time.Millisecond)
	g.discover()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range []struct {
		name  string
		valid bool
		used  bool
		after time.Duration // since the last renewal, and since the last attempt that failed
		due   bool
	}{
		{"used", true, true, renewInterval, true},
		{"unused", true, false, renewInterval, false},
		{"unused for longer", true, false, unusedRenewInterval, true},
		{"used, expired", false, true, renewInterval, true},
		{"unused, expired", false, false, unusedRenewInterval - 1, false},
		{"unused, expired, for longer", false, false, unusedRenewInterval, true},
	} {
		now := f.timer.now
		g.renewalSentAt, g.nextRenewalAt = now.Add(-c.after), 0
		if !c.valid {
			now = now.Add(time.Minute)
			g.nextRenewalAt = now.Add(-c.after)
		}
		if due := g.renewalDue(c.used, now); due != c.due {
			t.Errorf("%s: due %t", c.name, due)
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
