package storesync

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"citronusher.example/citronusher"
)

// restore returns the store to a copy with the given instances.
func (w *fakeFleet) restore(instances []citronusher.Instance) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.era++
	w.instances = instances
	close(w.changed)
	w.changed = make(chan struct{})
}

func hasInstance(instances []citronusher.Instance, name string) bool {
	return slices.ContainsFunc(instances, func(i citronusher.Instance) bool { return i.Name() == name })
}

// TestLostRegistrationIsRepeated guards against a daemon that the others no longer find, and ask to release leases, because
// the store came back from a copy that lacks its registration. It is registered again, once, whether it reads the store
// itself or polls a reader, and no instance that knew it forgets it meanwhile.
func TestLostRegistrationIsRepeated(t *testing.T) {
	for name, test := range map[string]struct {
		count int
		known bool // the others know the instance when the store is restored
	}{
		"small fleet":               {6, false},
		"small fleet, known before": {6, true},
		"large fleet":               {40, false},
		"large fleet, known before": {40, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newFakeFleet()
				w.start(test.count)
				defer w.close(t)
				time.Sleep(10 * time.Second)
				registered := slices.Clone(w.instances)
				w.startOne(citronusher.NewInstance("late", "late", "z0", citronusher.InstanceLive), false)
				time.Sleep(2 * time.Second)
				if test.known {
					time.Sleep(2 * instanceInterval)
				}
				w.restore(registered)
				for range 300 {
					time.Sleep(100 * time.Millisecond)
					for follower, f := range w.followers {
						f.mu.Lock()
						instances := f.instances
						f.mu.Unlock()
						if test.known && !hasInstance(instances, "late") {
							t.Fatalf("%s has forgotten the instance", follower)
						}
					}
				}
				for follower, f := range w.followers {
					f.mu.Lock()
					instances := f.instances
					f.mu.Unlock()
					if !hasInstance(instances, "late") {
						t.Errorf("%s does not know the instance", follower)
					}
				}
				if len(w.instances) != test.count+1 {
					t.Errorf("%d instances are registered", len(w.instances))
				}
			})
		})
	}
}

// TestRestoreIsNoFloodOfCalls guards against a large fleet in which every instance reads the store more than once because it
// was restored.
func TestRestoreIsNoFloodOfCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const count = 82
		w := newFakeFleet()
		w.start(count)
		defer w.close(t)
		time.Sleep(10 * time.Second)
		w.takeCalls()
		w.restore(w.instances)
		const span = 10 * time.Second
		time.Sleep(span)
		const perReader = 2 * 10 // two a second, of three kinds
		if calls := w.takeCalls(); calls > count+readerCount*perReader {
			t.Errorf("%d calls to the store in %s", calls, span)
		}
	})
}

// TestOlderPlanOfRestoredStoreIsNotApplied guards against a change that comes back older while the store has not written the
// operator's rows again.
func TestOlderPlanOfRestoredStoreIsNotApplied(t *testing.T) {
	for _, count := range []int{6, 40} {
		synctest.Test(t, func(t *testing.T) {
			w := newFakeFleet()
			w.start(count)
			defer w.close(t)
			time.Sleep(5 * time.Second)
			w.setPlan(3)
			time.Sleep(time.Second)
			w.set(func() { w.plan = citronusher.Plan{Version: 1} })
			w.restore(w.instances)
			for range 40 {
				time.Sleep(100 * time.Millisecond)
				if older := w.outdated(3, nil); len(older) > 0 {
					t.Fatalf("another plan is active at %v", older)
				}
			}
			w.setPlan(3)
			w.setPlan(4)
			time.Sleep(3 * time.Second)
			if late := w.outdated(4, nil); len(late) > 0 {
				t.Errorf("plan not active at %v", late)
			}
		})
	}
}
