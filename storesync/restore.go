package storesync

import (
	"math/rand/v2"
	"time"

	"citronusher.example/citronusher/events"
)

const (
	// restoreSpread is the time over which the instances of a large fleet check their registrations after a restore.
	restoreSpread = 1500 * time.Millisecond
	// restoreSettleTime is how long after a restore was noticed the instance lists of the store are not applied: instances
	// whose registrations were lost are registering again.
	restoreSettleTime = 5 * time.Second
	// unconfirmedTime is how long after such a check began this instance counts as registered while the store does not
	// answer it. The others take the list for complete 20 s after a restore, which they may have noticed earlier.
	unconfirmedTime = 10 * time.Second
)

// observeStore applies the store's newest era after a call to the store.
func (f *Syncer) observeStore() { f.observeEra(f.config.Store.Era().Number) }

// observeEra applies an era of the store that a response of the store or of another instance has shown. When it follows
// another one, the store has lost what was written since its copy: this instance's registration is checked, and the lists
// are read again.
func (f *Syncer) observeEra(era uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.era
	if era <= before {
		return
	}
	f.era = era
	if before == 0 {
		return
	}
	f.settledAt = time.Now().Add(restoreSettleTime)
	events.Log(f.config.Logger, events.ListsOutdated, "before", before, "era", era, "version", f.Plan().Version,
		"planAge", time.Since(f.confirmedAt).Milliseconds(), "membersAge", time.Since(f.listedAt).Milliseconds(),
		"instances", len(f.instances))
	signal(f.registrationCheck)
	signal(f.instancesReread)
	if len(f.duty.polled) == 0 {
		f.Refresh()
	}
}

// signal makes the next receive from a channel of capacity 1 succeed.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// unsettledFor returns how long the instance lists of the store are not to be applied yet.
func (f *Syncer) unsettledFor() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Until(f.settledAt)
}

// awaitInstancesRead waits for d, or after a restore until the instances have registered again. It reports false if the
// Syncer is closed before that.
func (f *Syncer) awaitInstancesRead(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-f.instancesReread:
		return f.sleep(f.unsettledFor())
	case <-f.ctx.Done():
		return false
	}
}

// keepRegistered checks this instance's registration after each restore of the store, and when an instance list lacks this
// instance, until the Syncer is closed.
func (f *Syncer) keepRegistered() {
	for {
		select {
		case <-f.registrationCheck:
		case <-f.ctx.Done():
			return
		}
		f.checkRegistration(time.Now().Add(unconfirmedTime))
	}
}

// checkRegistration calls the store until it lists this instance. From the deadline on the instance counts as unregistered
// if the store serves others. While it serves nobody, nobody can promote a member either.
func (f *Syncer) checkRegistration(deadline time.Time) {
	if !f.inSmallFleet() {
		f.sleep(rand.N(restoreSpread)) //nolint:gosec // not security-sensitive
	}
	unregistered := false
	var backoff startBackoff
	for f.ctx.Err() == nil {
		err := f.registerAgain(&backoff)
		f.recordRequest("instances", err)
		if err == nil {
			break
		}
		if !unregistered && time.Now().After(deadline) && f.storeServes() {
			unregistered = true
			events.Log(f.config.Logger, events.RegistrationUnknown, "after", unconfirmedTime.Milliseconds(), "error", err)
			f.config.OnUnregistered()
		}
		f.sleep(backoff.next())
	}
	if unregistered && f.ctx.Err() == nil {
		f.config.OnRegistered()
	}
}

// storeServes reports whether the store has recently confirmed the plan, to this instance or to another one that it polls.
func (f *Syncer) storeServes() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.confirmedAt) < staleAge
}

// registerAgain registers this instance unless the store lists it.
func (f *Syncer) registerAgain(backoff *startBackoff) error {
	ctx, cancel := backoff.context(f.ctx)
	defer cancel()
	known, _, err := f.config.Store.SomeInstances(ctx)
	if err != nil || f.listed(known) {
		return err
	}
	events.Log(f.config.Logger, events.RegistrationLost, "listed", len(known))
	if err := f.config.Store.Register(ctx, f.config.Self); err != nil {
		return err
	}
	f.recordRegistered(known, true)
	if f.inSmallFleet() {
		return f.config.Store.Replicate(ctx, f.config.Self)
	}
	return nil
}

// inSmallFleet reports whether every instance reads the store, as far as this one knows.
func (f *Syncer) inSmallFleet() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.instances) <= maxSmallFleet
}
