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
