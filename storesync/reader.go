package storesync

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/events"
)

const (
	pollMaxWait    = 1200 * time.Millisecond // how long a reader may hold a long poll open
	joinMaxWait    = 600 * time.Millisecond  // the same, for a starting instance and a reader that may be starting too
	pollTimeout    = 400 * time.Millisecond  // timeout of a request, beyond the time that it may be held open
	maxOutagePeers = 2                       // instances polled at a time while no reader is usable
	pollInterval   = 20 * time.Millisecond   // between long polls
	peerInterval   = 600 * time.Millisecond  // between polls of other instances while no reader is usable
	staleAge       = 2400 * time.Millisecond // age of the store's last confirmation at which a reader's plan is stale
	deputyStaleAge = 2000 * time.Millisecond // the same, for the readers' deputies
	failedBackoff  = 10 * time.Second        // how long a reader is not polled after a failure
	staleBackoff   = 2 * time.Second         // how long a reader is not polled after a stale answer
	joinRetryDelay = 100 * time.Millisecond  // how long a starting instance does not poll a reader that was not usable
	joinPatience   = 400 * time.Millisecond  // how long a starting instance tries readers before it reads the store itself
	directDuration = 10 * time.Second        // how long a deputy without a usable reader reads the store
)

// digests are hashes of the current lists, by which two instances detect that their lists are equal.
type digests struct {
	members, instances uint64
}

// digestOf returns a hash of a list. It is never 0, which stands for no list.
func digestOf(list any) uint64 {
	body, err := json.Marshal(list)
	if err != nil {
		return 1 // cannot happen: the lists hold only strings, numbers and booleans
	}
	return max(1, xxhash.Sum64(body))
}

// setInstances replaces the instance list and this instance's duty. When the list lacks this instance, its registration is
// checked.
func (f *Syncer) setInstances(instances []citronusher.Instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	names := make([]string, 0, len(instances))
	for _, i := range instances {
		names = append(names, i.Name()+" "+i.PeerAddress())
	}
	slices.Sort(names)
	digest := digestOf(names)
	if digest != f.digests.instances {
		f.digests.instances = digest
		f.notifyChanged()
	}
	f.instances = instances
	if !slices.ContainsFunc(instances, f.config.Self.SameDaemon) {
		signal(f.registrationCheck)
	}
	f.duty = dutyOf(f.config.Self, instances)
	f.config.OnInstances(instances)
}

// source is where an instance gets the plan from.
type source int

const (
	sourceStore  source = iota // the store
	sourceReader               // a store reader or a deputy
	sourcePeers                // other instances, and now and then the store
)

// planSource returns where to get the plan from at now, and the instance to poll for sourceReader: the first one without a
// recent failure.
func (f *Syncer) planSource(now time.Time) (citronusher.Instance, source) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.duty.polled) == 0 || now.Before(f.directUntil) {
		return citronusher.Instance{}, sourceStore
	}
	if !f.Synced() && now.After(f.joinDeadline) {
		return citronusher.Instance{}, sourcePeers
	}
	for _, r := range f.duty.polled {
		if now.After(f.retryAt[r.Name()]) {
			return r, sourceReader
		}
	}
	if !f.duty.deputy {
		return citronusher.Instance{}, sourcePeers
	}
	f.directUntil = now.Add(directDuration)
	return citronusher.Instance{}, sourceStore
}

// ownRead gets updates from other instances while neither a reader nor a deputy is usable. Now and then it also reads the
// store, so rarely that a whole fleet without usable readers is no load for the store. It returns the delay before the
// next call.
func (f *Syncer) ownRead() time.Duration {
	now := time.Now()
	if !f.Synced() {
		return f.joinWithoutReaders(now)
	}
	f.fetchFromPeers()
	if now.Before(f.nextOwnReadAt) {
		return peerInterval
	}
	f.mu.Lock()
	interval := f.duty.ownReadInterval
	f.mu.Unlock()
	if f.nextOwnReadAt.IsZero() { // spreads the first reads of instances that lose the readers at the same time
		f.nextOwnReadAt = now.Add(rand.N(interval)) //nolint:gosec // not security-sensitive
		return peerInterval
	}
	f.nextOwnReadAt = now.Add(interval/2 + rand.N(interval)) //nolint:gosec,mnd // not security-sensitive; the mean is interval
	f.readAll()
	return peerInterval
}

// joinWithoutReaders reads the store because a starting instance has found no usable reader until its join deadline. It
// returns the delay before the next call.
func (f *Syncer) joinWithoutReaders(now time.Time) time.Duration {
	if now.Before(f.joinDeadline) {
		return joinRetryDelay
	}
	f.readAll()
	return f.joinBackoff.next()
}

// readAll reads the plan and the member list from the store.
func (f *Syncer) readAll() {
	var cursor planCursor
	f.readPlan(&cursor)
	if cursor.known {
		_ = f.readMembers(&cursor.start) // recorded; the next call reads them again
	}
}

// awaitDirectRead waits until this instance has to read the store itself or Refresh is called. It reports false when the
// Syncer is closed.
func (f *Syncer) awaitDirectRead() bool {
	for f.ctx.Err() == nil {
		f.mu.Lock()
		direct := len(f.duty.polled) == 0 || time.Now().Before(f.directUntil)
		f.mu.Unlock()
		if direct {
			return true
		}
		select {
		case <-f.refresh:
			return true
		case <-time.After(directCheckInterval):
		case <-f.ctx.Done():
		}
	}
	return false
}

// pollReader polls a reader for updates and returns the delay before the next poll. A reader that fails, or whose plan
// the store has not confirmed recently, is not polled again for some time. Until a reader has given a usable answer it may
// not hold the request open, so that trying an unusable reader costs little time. A starting instance gives it some time,
// because the reader may be starting too.
func (f *Syncer) pollReader(reader citronusher.Instance) time.Duration {
	wait := time.Duration(0)
	switch {
	case f.lastUsableReader == reader.Name():
		wait = pollMaxWait
	case !f.Synced():
		wait = joinMaxWait
	}
	update, err := f.fetchUpdate(reader, wait)
	f.mu.Lock()
	defer f.mu.Unlock()
	usable := err == nil && update.PlanAge < f.duty.staleAge()
	if usable {
		f.lastUsableReader = reader.Name()
		f.nextOwnReadAt = time.Time{}
		return pollInterval
	}
	f.lastUsableReader = ""
	backoff := staleBackoff
	switch {
	case !f.Synced():
		backoff = joinRetryDelay
	case err != nil:
		backoff = failedBackoff
	}
	f.retryAt[reader.Name()] = time.Now().Add(backoff)
	if err != nil {
		return 0
	}
	events.Log(f.config.Logger, events.PeerStale, "peer", reader.Name(), "age", update.PlanAge.Milliseconds())
	return 0
}

// fetchUpdate requests updates from an instance, which may hold the request open for wait, and applies them. Its error
// is that of Peers.FetchUpdate.
func (f *Syncer) fetchUpdate(instance citronusher.Instance, wait time.Duration) (citronusher.PeerUpdate, error) {
	ctx, cancel := context.WithTimeout(f.ctx, wait+pollTimeout)
	defer cancel()
	f.mu.Lock()
	request := citronusher.PeerUpdateRequest{
		Plan: f.Plan().Version, Members: f.digests.members, Instances: f.digests.instances, MaxWait: wait,
	}
	f.mu.Unlock()
	sentAt := time.Now()
	update, err := f.config.Peers.FetchUpdate(ctx, instance, request)
	f.config.Meter.Fetches().Inc(1)
	if err != nil {
		events.Log(f.config.Logger, events.PeerFailed, "peer", instance.Name(), "error", err)
		return update, err
	}
	f.observeEra(update.Era)
	answeredAt := sentAt.Add(update.WaitedFor)
	f.applyPlan(update.Plan)
	f.confirmPlan(answeredAt.Add(-update.PlanAge))
	listedAt := answeredAt.Add(-update.MembersAge)
	if update.Members != nil {
		f.setMembers(update.Members, listedAt)
	} else {
		f.confirmMembers(request.Members, listedAt)
	}
	if len(update.Instances) > 0 {
		f.setInstances(update.Instances)
	}
	return update, nil
}

// fetchFromPeers fetches updates from a few other instances while the store is unavailable to this one.
func (f *Syncer) fetchFromPeers() {
	for _, instance := range f.randomPeers() {
		if _, err := f.fetchUpdate(instance, 0); err != nil {
			continue // fetchUpdate has logged it
		}
	}
}

// randomPeers returns up to maxOutagePeers other instances, chosen at random.
func (f *Syncer) randomPeers() []citronusher.Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	others := make([]citronusher.Instance, 0, len(f.instances))
	for _, instance := range f.instances {
		if instance.Name() != f.config.Self.Name() {
			others = append(others, instance)
		}
	}
	//nolint:gosec // the random choice is not security-sensitive
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others[:min(maxOutagePeers, len(others))]
}

// AwaitUpdate returns the plan and lists of this instance that differ from those in the request of another instance. If
// nothing differs, or this instance has just started and is not synced, it waits for a change, up to the maximum wait in
// the request. It returns at once if the store has not confirmed the plan within staleAge, so that the other instance can
// change to another reader.
func (f *Syncer) AwaitUpdate(ctx context.Context, request citronusher.PeerUpdateRequest) citronusher.PeerUpdate {
	startedAt := time.Now()
	timer := time.NewTimer(request.MaxWait)
	defer timer.Stop()
	for {
		update, changed := f.updateSince(request)
		update.WaitedFor = time.Since(startedAt)
		news := update.Plan.Version > 0 || update.Members != nil || update.Instances != nil
		if f.Synced() && (news || update.PlanAge >= staleAge) {
			return update
		}
		select {
		case <-changed:
		case <-timer.C:
			update, _ = f.updateSince(request)
			update.WaitedFor = time.Since(startedAt)
			return update
		case <-ctx.Done():
			return update
		case <-f.ctx.Done():
			return update
		}
	}
}

// updateSince returns the plan and lists that differ from those in the request, and a channel that is closed at the
// next change.
func (f *Syncer) updateSince(request citronusher.PeerUpdateRequest) (citronusher.PeerUpdate, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	update := citronusher.PeerUpdate{PlanAge: now.Sub(f.confirmedAt), MembersAge: now.Sub(f.listedAt), Era: f.era}
	if plan := f.Plan(); plan.Version > request.Plan {
		update.Plan = plan
	}
	if f.digests.members != request.Members {
		update.Members = f.memberList
	}
	if f.digests.instances != request.Instances {
		update.Instances = f.instances
	}
	return update, f.changed
}
