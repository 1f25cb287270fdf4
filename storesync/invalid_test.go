package storesync

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"citronusher.example/citronusher"
)

// TestInvalidPlanIsPassedOver guards against daemons that lose the store readers, the members or the next plan, or never get
// ready, because the store holds an invalid configuration. The previous plan stays active, and daemons that start get it
// from the others.
func TestInvalidPlanIsPassedOver(t *testing.T) {
	for _, fleet := range []int{6, 40} {
		synctest.Test(t, func(t *testing.T) {
			w := newFakeFleet()
			w.start(fleet)
			defer w.close(t)
			time.Sleep(10 * time.Second)
			w.setInvalidPlan(2)
			time.Sleep(time.Second)
			reader := slices.IndexFunc(w.instances, func(i citronusher.Instance) bool { return i.Name() == w.readers()[0] })
			w.restart(t, append(slices.Clone(w.instances[reader:reader+1]), w.instances[len(w.instances)-2:]...))
			time.Sleep(5 * time.Second)
			if waiting := w.unsynced(); len(waiting) > 0 {
				t.Errorf("fleet of %d: %v did not start", fleet, waiting)
			}
			w.set(func() { w.members = []citronusher.MemberReport{{ID: "m"}, {ID: "n"}} })
			stale := 0
			for range 20 {
				time.Sleep(500 * time.Millisecond)
				stale += w.staleReaders()
			}
			if stale > 0 {
				t.Errorf("fleet of %d: a reader was stale at %d times", fleet, stale)
			}
			if late := w.outdated(1, nil); len(late) > 0 {
				t.Errorf("fleet of %d: the previous plan is not active at %v", fleet, late)
			}
			for name, f := range w.followers {
				f.mu.Lock()
				count := len(f.memberList)
				f.mu.Unlock()
				if count != 2 {
					t.Errorf("fleet of %d: %s knows %d members", fleet, name, count)
				}
			}
			w.setPlan(3)
			time.Sleep(2900 * time.Millisecond)
			if late := w.outdated(3, nil); len(late) > 0 {
				t.Errorf("fleet of %d: the next plan is not active at %v", fleet, late)
			}
		})
	}
}

// staleReaders returns the number of store readers whose plan is stale for those that poll them.
func (w *fakeFleet) staleReaders() int {
	count := 0
	for _, name := range w.readers() {
		f := w.followers[name]
		f.mu.Lock()
		if time.Since(f.confirmedAt) >= deputyStaleAge {
			count++
		}
		f.mu.Unlock()
	}
	return count
}
