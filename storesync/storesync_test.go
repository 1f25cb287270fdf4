package storesync

import (
	"testing"
	"testing/synctest"
	"time"

	"citronusher.example/citronusher"
)

// TestOnlyStoreReadersCallTheStore guards against store calls that grow with the fleet: in a fleet of 82 instances only
// three read the store, and a new plan still reaches every instance within 200 ms. When every instance read the store,
// kcg-hq-grown quiet-1 counted 5,986 store calls in 48 s, 0.094 of the day's worth.
func TestOnlyStoreReadersCallTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFakeFleet()
		w.start(82)
		defer w.close(t)
		if got := w.readers(); len(got) != readerCount {
			t.Fatalf("store readers %v", got)
		}
		time.Sleep(10 * time.Second)
		w.set(func() { w.calls = 0 })
		time.Sleep(30 * time.Second)
		w.mu.Lock()
		calls := w.calls
		w.mu.Unlock()
		if calls > readerCount*60 {
			t.Errorf("%d calls to the store in 30 s", calls)
		}
		w.setPlan(2)
		time.Sleep(200 * time.Millisecond)
		if late := w.outdated(2, nil); len(late) > 0 {
			t.Errorf("plan not active at %v", late)
		}
	})
}

// TestStaleReaderIsReplaced guards against instances that keep polling a store reader which has lost the store or
// stopped answering: they change to another reader and receive a new plan within 3 s.
func TestStaleReaderIsReplaced(t *testing.T) {
	for _, fault := range []string{"cut", "silent"} {
		t.Run(fault, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newFakeFleet()
				w.start(40)
				defer w.close(t)
				time.Sleep(10 * time.Second)
				failing := w.readers()[0]
				w.set(func() {
					w.cutOff[failing] = true
					w.unresponsive[failing] = fault == "silent"
				})
				w.setPlan(2)
				time.Sleep(2900 * time.Millisecond)
				if late := w.outdated(2, map[string]bool{failing: true}); len(late) > 0 {
					t.Errorf("plan not active at %v", late)
				}
			})
		})
	}
}

// TestAllReadersUnresponsive guards against missing a new plan when no store reader answers: the other instances read
// the store themselves and receive the plan within 3 s.
func TestAllReadersUnresponsive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFakeFleet()
		w.start(20)
		defer w.close(t)
		time.Sleep(10 * time.Second)
		readers := map[string]bool{}
		for _, name := range w.readers() {
			readers[name] = true
		}
		w.set(func() { w.unresponsive = readers })
		time.Sleep(8 * time.Second)
		w.setPlan(2)
		time.Sleep(2900 * time.Millisecond)
		if late := w.outdated(2, readers); len(late) > 0 {
			t.Errorf("plan not active at %v", late)
		}
	})
}

// TestUnchangedMembersAreListedAgain guards against a member list that ages on instances that poll a reader: a reader
// does not send an unchanged list again, but its listing time must still advance, or a missing member would never be
// removed.
func TestUnchangedMembersAreListedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFakeFleet()
		w.members = []citronusher.MemberReport{{ID: "m"}}
		w.start(20)
		defer w.close(t)
		time.Sleep(10 * time.Second)
		for name, f := range w.followers {
			f.mu.Lock()
			age := time.Since(f.listedAt)
			f.mu.Unlock()
			if age > memberInterval+pollMaxWait+pollTimeout {
				t.Errorf("%s: the member list is %s old", name, age)
			}
		}
	})
}

// TestEmptyMemberList guards against busy polling when the store lists no members, as after an outage in which every
// report expired. An empty list that is never applied always differs from the reader's, so that each long poll returns
// at once and each instance sends 50 requests per second.
func TestEmptyMemberList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFakeFleet()
		w.members = []citronusher.MemberReport{}
		w.start(20)
		defer w.close(t)
		time.Sleep(10 * time.Second)
		w.set(func() { w.requests = 0 })
		time.Sleep(12 * time.Second)
		w.mu.Lock()
		requests := w.requests
		w.mu.Unlock()
		if limit := 20 * 12; requests > limit {
			t.Errorf("%d requests between 20 instances in 12 s, want at most %d", requests, limit)
		}
	})
}

// TestReturningMembersAreListedSoon guards against daemons that start right after an outage of the store and wait for the
// next periodic list to find members whose reports had expired: on a day with a restart at 10 s two of three groups had no
// known primary until 13.9 s, although their reports were back before 13 s.
func TestReturningMembersAreListedSoon(t *testing.T) {
	for _, fleet := range []int{6, 40} {
		synctest.Test(t, func(t *testing.T) {
			w := newFakeFleet()
			w.start(fleet)
			defer w.close(t)
			time.Sleep(time.Second)
			w.set(func() { w.members = []citronusher.MemberReport{{ID: "m"}, {ID: "n"}} })
			time.Sleep(2 * minMemberInterval)
			for name, f := range w.followers {
				f.mu.Lock()
				count := len(f.memberList)
				f.mu.Unlock()
				if count != 2 {
					t.Errorf("%s knows %d members", name, count)
				}
			}
		})
	}
}
