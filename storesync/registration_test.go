package storesync

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"citronusher.example/citronusher"
)

// isRegistered reports whether the store lists the instance as live.
func (w *fakeFleet) isRegistered(instance citronusher.Instance) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Contains(w.instances, instance)
}

// TestLeavingRegistrationIsReplaced guards against a restarted instance that relies on a registration which its earlier
// process is removing: the others would not ask it to release its leases.
func TestLeavingRegistrationIsReplaced(t *testing.T) {
	for _, count := range []int{6, 40} {
		synctest.Test(t, func(t *testing.T) {
			w := newFakeFleet()
			w.start(count)
			defer w.close(t)
			time.Sleep(2 * time.Second)
			restarted := w.instances[0]
			w.set(func() {
				w.instances = slices.Clone(w.instances)
				w.instances[0] = restarted.WithState(citronusher.InstanceLeaving)
			})
			w.restart(t, []citronusher.Instance{restarted})
			time.Sleep(time.Second)
			if !w.isRegistered(restarted) {
				t.Errorf("fleet of %d: the restarted instance has not registered", count)
			}
		})
	}
}

// TestMissingRegistrationIsNoticed guards against an instance that stays unlisted for good, and is not asked to release its
// leases, because its row was removed while the store stayed in its era.
func TestMissingRegistrationIsNoticed(t *testing.T) {
	for _, count := range []int{6, 12, 13, 80} {
		for _, reader := range []bool{true, false} {
			t.Run(fmt.Sprintf("%d reader %t", count, reader), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					w := newFakeFleet()
					w.start(count)
					defer w.close(t)
					time.Sleep(10 * time.Second)
					i := slices.IndexFunc(w.instances, func(i citronusher.Instance) bool {
						return dutyOf(i, w.instances).reader == reader || count <= maxSmallFleet
					})
					removed := w.instances[i]
					w.set(func() { w.instances = slices.Delete(slices.Clone(w.instances), i, i+1) })
					time.Sleep(instanceInterval + 2*restoreSpread)
					if !w.isRegistered(removed) {
						t.Error("the instance has not registered again")
					}
				})
			})
		}
	}
}

// TestUnconfirmedRegistrationEnds guards against an instance that keeps its leases although the store, back from a copy
// without its row, turns it away: it is not asked to release them once the others take the list for complete.
func TestUnconfirmedRegistrationEnds(t *testing.T) {
	for _, count := range []int{6, 40} {
		synctest.Test(t, func(t *testing.T) {
			w := newFakeFleet()
			w.start(count)
			defer w.close(t)
			time.Sleep(10 * time.Second)
			i := slices.IndexFunc(w.instances, func(i citronusher.Instance) bool {
				return !dutyOf(i, w.instances).reader || count <= maxSmallFleet
			})
			away := w.instances[i].Name()
			w.set(func() { w.cutOff[away] = true })
			w.restore(slices.Delete(slices.Clone(w.instances), i, i+1))
			counts := func() (registered bool) {
				w.set(func() { registered = w.registered[away] })
				return registered
			}
			time.Sleep(unconfirmedTime / 2)
			if !counts() {
				t.Errorf("fleet of %d: unregistered although the others wait for it", count)
			}
			time.Sleep(20*time.Second - unconfirmedTime/2)
			if counts() {
				t.Errorf("fleet of %d: registered although the others may not know it", count)
			}
			w.set(func() { w.cutOff[away] = false })
			time.Sleep(5 * time.Second)
			if !counts() {
				t.Errorf("fleet of %d: not registered again", count)
			}
		})
	}
}

// TestOutageAfterRestoreEndsNoLeases guards against a fleet that ends all its leases because the store, back from a copy,
// is away again before it has confirmed the registrations.
func TestOutageAfterRestoreEndsNoLeases(t *testing.T) {
	for _, count := range []int{6, 40} {
		synctest.Test(t, func(t *testing.T) {
			w := newFakeFleet()
			w.start(count)
			defer w.close(t)
			time.Sleep(10 * time.Second)
			last := w.instances[slices.IndexFunc(w.instances, func(i citronusher.Instance) bool {
				return dutyOf(i, w.instances).reader
			})].Name()
			w.set(func() {
				for _, i := range w.instances {
					w.cutOff[i.Name()] = i.Name() != last
				}
			})
			w.restore(w.instances)
			time.Sleep(5 * time.Second) // in which the others hear of the era from the last one
			w.set(func() { w.cutOff[last] = true })
			time.Sleep(3 * unconfirmedTime)
			w.set(func() {
				for name, registered := range w.registered {
					if !registered {
						t.Errorf("fleet of %d: %s counts as unregistered", count, name)
					}
				}
			})
		})
	}
}

// TestInstancesAreKnownBeforeTheRegistration guards against a restarted instance that cannot forward its callers'
// statements to the homes, because the store does not confirm its registration.
func TestInstancesAreKnownBeforeTheRegistration(t *testing.T) {
	for _, count := range []int{6, 40} {
		synctest.Test(t, func(t *testing.T) {
			w := newFakeFleet()
			w.start(count)
			defer w.close(t)
			time.Sleep(2 * time.Second)
			restarted := w.instances[0]
			w.set(func() {
				w.readOnly = true
				w.instances = slices.Clone(w.instances)
				w.instances[0] = restarted.WithState(citronusher.InstanceLeaving)
				delete(w.registered, restarted.Name())
			})
			w.restart(t, []citronusher.Instance{restarted})
			time.Sleep(time.Second)
			f := w.followers[restarted.Name()]
			f.mu.Lock()
			known := len(f.instances)
			f.mu.Unlock()
			if known != count || !f.Synced() {
				t.Errorf("fleet of %d: %d instances are known, synced %t", count, known, f.Synced())
			}
			w.set(func() {
				if w.registered[restarted.Name()] {
					t.Errorf("fleet of %d: registered without a write", count)
				}
			})
		})
	}
}
