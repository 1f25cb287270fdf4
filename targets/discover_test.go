package targets

import (
	"context"
	"testing"
	"time"

	"citronusher.example/citronusher"
)

// TestSupersededPrimaryIsNotAdopted guards against a lease on the old primary that begins after a promotion: its promoter
// has seen the new primary lead, which is too busy to answer again, while a replica has not heard of the new term.
func TestSupersededPrimaryIsNotAdopted(t *testing.T) {
	f := newFakeGroup(t)
	g := f.open()
	f.store.claim.Term = 1
	f.advance(time.Millisecond)
	f.members["b"].status = citronusher.MemberStatus{Role: citronusher.RolePrimary, Term: 2}
	m := &promotionAttempt{group: g, primary: "a", term: 1, requested: true, claimDeadline: f.timer.now.Add(time.Second)}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if r := g.query(g.members["b"], memberTimeout, requestStatus); r.status.Term != 2 {
		t.Fatalf("the new primary answers: %+v", r)
	}
	f.members["b"].silent = true
	m.adoptPromoted()
	m.awaitLease(ctx)
	if g.Ready() {
		t.Errorf("the lease of term %d on %s is valid", g.lease.Term(), g.primary)
	}
	f.members["b"].silent = false
	m.adoptPromoted()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.primary != "b" || g.lease.Term() != 2 {
		t.Errorf("the primary is %s of term %d", g.primary, g.lease.Term())
	}
}

// TestUnregisteredInstanceAdoptsNoPrimary guards against a lease that a discovery begins, which was in progress when the
// store turned this instance away.
func TestUnregisteredInstanceAdoptsNoPrimary(t *testing.T) {
	f := newFakeGroup(t)
	g := f.open()
	f.advance(time.Millisecond)
	f.set.SetUnregistered()
	f.advance(time.Millisecond)
	if adopted := g.adopt(g.queryAll(requestStatus)); adopted || g.Ready() {
		t.Errorf("adopted %t, with a lease %t", adopted, g.Ready())
	}
	f.set.SetRegistered(instance("d1"))
	if adopted := g.adopt(g.queryAll(requestStatus)); !adopted || !g.Ready() {
		t.Errorf("registered again: adopted %t, with a lease %t", adopted, g.Ready())
	}
}
