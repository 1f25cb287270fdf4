package storesync

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/events"
)

const (
	// firstStartSpread is the time over which the registrations of a fleet that starts for the first time are spread,
	// because the store accepts a limited rate of writes.
	firstStartSpread = 1500 * time.Millisecond
	// firstStartDelay is how long after its start an instance of such a fleet reads the instance list. It is the same for
	// all instances, so that the store readers are not much later than those that poll them.
	firstStartDelay = 2 * time.Second
	// registrationDelay is how long after its registration an instance that joins a running fleet, possibly together with a
	// few others, reads the instance list.
	registrationDelay = 500 * time.Millisecond
	// restartDelay is the same for an instance that cannot read where it may be registered, as when a fleet restarts while
	// a part of the store is down. All instances then register in another part at about the same time.
	restartDelay = 150 * time.Millisecond
)

// startBackoff spaces the calls to the store of one kind until they succeed for the first time. The first calls time out
// soon, because a call that begins in an outage may never be answered, also when the store is back a moment later. The
// timeout doubles after some calls, for a store that is slow, and the delay before the next call with each failure.
type startBackoff struct {
	calls int
	delay time.Duration
}

const (
	minStartTimeout = 400 * time.Millisecond
	maxStartTimeout = 2 * time.Second
	callsPerTimeout = 3
	maxDoublings    = 3 // of the timeout
	minStartDelay   = 100 * time.Millisecond
	maxStartDelay   = 600 * time.Millisecond
)

// context returns a context for the next call. The caller must call the function that is returned with it.
func (b *startBackoff) context(parent context.Context) (context.Context, context.CancelFunc) {
	timeout := min(maxStartTimeout, minStartTimeout<<min(maxDoublings, b.calls/callsPerTimeout))
	b.calls++
	return context.WithTimeout(parent, timeout)
}

// next returns the delay after a failed call, with jitter, so that instances that start together do not call together.
func (b *startBackoff) next() time.Duration {
	b.delay = min(maxStartDelay, max(minStartDelay, b.delay*2)) //nolint:mnd // doubles
	return b.delay/2 + rand.N(b.delay/2)                        //nolint:gosec,mnd // not security-sensitive; half to whole
}

// startContext returns the context of a call to the store: one of backoff while what the call reads has not been received.
func (f *Syncer) startContext(backoff *startBackoff, received bool) (context.Context, context.CancelFunc) {
	if received {
		return context.WithCancel(f.ctx)
	}
	return backoff.context(f.ctx)
}

// awaitJoined waits for the first attempt to join the fleet, which chooses the store readers to poll.
func (f *Syncer) awaitJoined() {
	select {
	case <-f.joined:
	case <-f.ctx.Done():
	}
}

// join registers this instance and reads the instance list, again and again until both succeed.
func (f *Syncer) join() {
	attempted := false
	var backoff startBackoff
	for f.ctx.Err() == nil {
		instances, err := f.register(&backoff)
		f.recordRequest("instances", err)
		if err == nil {
			f.setInstances(instances)
		}
		if !attempted {
			attempted = true
			close(f.joined)
		}
		if err == nil {
			f.replicate(instances)
			return
		}
		if !f.sleep(backoff.next()) {
			return
		}
	}
}

// register returns instances of the fleet, and registers this one unless it is listed as live with its name and peer
// address from an earlier process. Nothing is written in that case, so that an instance can restart while the store accepts
// only reads.
func (f *Syncer) register(backoff *startBackoff) ([]citronusher.Instance, error) {
	if f.config.FirstStart {
		delay := rand.N(firstStartSpread) //nolint:gosec // not security-sensitive
		f.sleep(delay)
		return f.add(backoff, nil, firstStartDelay-delay)
	}
	ctx, cancel := backoff.context(f.ctx)
	defer cancel()
	known, complete, err := f.config.Store.SomeInstances(ctx)
	f.observeStore()
	switch {
	case err != nil:
		return nil, err
	case f.listed(known):
		f.recordRegistered(known, false)
		return known, nil
	case !complete:
		return f.add(backoff, known, restartDelay)
	default:
		// The others may serve this instance's callers while the store does not confirm the registration.
		f.setInstances(f.withSelf(known))
		return f.add(backoff, known, registrationDelay)
	}
}

// withSelf returns the list with this instance, if the list lacks it.
func (f *Syncer) withSelf(list []citronusher.Instance) []citronusher.Instance {
	if slices.ContainsFunc(list, f.config.Self.SameDaemon) {
		return list
	}
	return append(slices.Clone(list), f.config.Self)
}

// add registers this instance and returns the instances of the fleet. It reads them with a delay, to include the instances
// that start at the same time. When they cannot be read again it returns the known ones.
func (f *Syncer) add(
	backoff *startBackoff, known []citronusher.Instance, delay time.Duration,
) ([]citronusher.Instance, error) {
	ctx, cancel := backoff.context(f.ctx)
	defer cancel()
	if err := f.config.Store.Register(ctx, f.config.Self); err != nil {
		return nil, err
	}
	f.added = true
	f.observeStore()
	f.recordRegistered(known, true)
	f.sleep(delay)
	ctx, cancelReread := backoff.context(f.ctx)
	defer cancelReread()
	if reread, _, err := f.config.Store.SomeInstances(ctx); err == nil {
		known = reread
	}
	return f.withSelf(known), nil
}

// recordRegistered records that this instance is registered: by its own row, or by one that an earlier process left in the
// list that was found.
func (f *Syncer) recordRegistered(found []citronusher.Instance, written bool) {
	before := citronusher.InstanceState("none")
	if i := slices.IndexFunc(found, f.config.Self.SameDaemon); i >= 0 {
		before = found[i].State()
	}
	events.Log(f.config.Logger, events.Registered, "peer", f.config.Self.PeerAddress(), "listed", len(found), "before",
		string(before), "written", written)
	f.config.OnRegistered()
}

// replicate registers this instance in the other parts of the store too, if it was added and the fleet is so small that
// this costs little. An instance of a large fleet is then not found at once if it restarts while a part of the store is
// down.
func (f *Syncer) replicate(instances []citronusher.Instance) {
	if f.added && len(instances) <= maxSmallFleet {
		f.recordRequest("instances", f.config.Store.Replicate(f.ctx, f.config.Self))
	}
}

// listed reports whether the list has this instance with its peer address as live. One that is leaving was listed by an
// earlier process, whose call that removes it from the list may still be performed.
func (f *Syncer) listed(instances []citronusher.Instance) bool {
	return slices.ContainsFunc(instances, func(i citronusher.Instance) bool {
		return i.SameDaemon(f.config.Self) && i.State() == citronusher.InstanceLive
	})
}
