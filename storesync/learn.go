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
	"citronusher.example/citronusher/route"
)

const (
	maxSmallFleet  = route.MaxHomes          // instances; in a fleet of at most this size every instance reads the store
	readerCount    = 3                       // store readers in a larger fleet
	readerKey      = "readers"               // hash key by which the store readers are chosen
	pollMaxWait    = 1200 * time.Millisecond // how long a reader may hold a long poll open
	pollTimeout    = 400 * time.Millisecond  // timeout of a request, beyond the time that it may be held open
	maxOutagePeers = 2                       // instances polled per failed plan request during a store outage
	pollInterval   = 20 * time.Millisecond   // between long polls
	staleAge       = 2400 * time.Millisecond // age of the store's last confirmation at which a reader's plan is stale
	readerBackoff  = 10 * time.Second        // how long a reader is not polled after a failure or a stale answer
	directDuration = 10 * time.Second        // how long an instance without a usable reader reads the store
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

// setInstances replaces the instance list and chooses the store readers to poll.
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
	f.storeReaders = storeReadersFor(f.config.Self, instances)
	f.config.OnInstances(instances)
}

// storeReadersFor returns the store readers that self polls, in order of preference, or nil if self reads the store.
func storeReadersFor(self citronusher.Instance, instances []citronusher.Instance) []citronusher.Instance {
	if len(instances) <= maxSmallFleet {
		return nil
	}
	chosen := route.Homes(readerKey, instances, readerCount)
	if slices.ContainsFunc(chosen, func(i citronusher.Instance) bool { return i.Name() == self.Name() }) {
		return nil
	}
	return route.OrderHomes(chosen, self.Name(), self.Domain(), self.Name(), false)
}

// usableReader returns the first store reader without a recent failure. It returns false if this instance has to read
// the store: it is a store reader, the fleet is small, or every reader failed within readerBackoff.
func (f *Syncer) usableReader(now time.Time) (citronusher.Instance, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.storeReaders) == 0 || now.Before(f.directUntil) {
		return citronusher.Instance{}, false
	}
	for _, r := range f.storeReaders {
		if now.After(f.failedAt[r.Name()].Add(readerBackoff)) {
			return r, true
		}
	}
	f.directUntil = now.Add(directDuration)
	return citronusher.Instance{}, false
}

// awaitDirectRead waits until this instance has to read the store itself or Refresh is called. It reports false when the
// Syncer is closed.
func (f *Syncer) awaitDirectRead() bool {
	for f.ctx.Err() == nil {
		f.mu.Lock()
		direct := len(f.storeReaders) == 0 || time.Now().Before(f.directUntil)
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
// the store has not confirmed within staleAge, is not polled again for readerBackoff. Until a reader has given a usable
// answer it may not hold the request open, so that trying an unusable reader costs little time.
func (f *Syncer) pollReader(reader citronusher.Instance) time.Duration {
	wait := time.Duration(0)
	if f.lastUsableReader == reader.Name() {
		wait = pollMaxWait
	}
	update, err := f.fetchUpdate(reader, wait)
	if err == nil && update.PlanAge < staleAge {
		f.lastUsableReader = reader.Name()
		return pollInterval
	}
	f.lastUsableReader = ""
	f.mu.Lock()
	f.failedAt[reader.Name()] = time.Now()
	f.mu.Unlock()
	if err == nil {
		events.Log(f.config.Logger, events.PeerStale, "peer", reader.Name(), "age", update.PlanAge.Milliseconds())
	}
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
// nothing differs it waits for a change, up to the maximum wait in the request, but returns at once if the store has not
// confirmed the plan within staleAge, so that the other instance can change to another reader.
func (f *Syncer) AwaitUpdate(ctx context.Context, request citronusher.PeerUpdateRequest) citronusher.PeerUpdate {
	startedAt := time.Now()
	timer := time.NewTimer(request.MaxWait)
	defer timer.Stop()
	for {
		update, changed := f.updateSince(request)
		update.WaitedFor = time.Since(startedAt)
		if update.Plan.Version > 0 || update.Members != nil || update.Instances != nil || update.PlanAge >= staleAge {
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
	update := citronusher.PeerUpdate{PlanAge: now.Sub(f.confirmedAt), MembersAge: now.Sub(f.listedAt)}
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
