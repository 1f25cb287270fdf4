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
	smallFleet  = route.MaxHomes // daemons; so few all read the store
	readerCount = 3              // daemons of a larger fleet that read the store
	readerKey   = "readers"      // under which they are chosen
	learnWait   = 1200 * time.Millisecond
	learnLimit  = 400 * time.Millisecond  // for an answer that is not kept back
	learnFrom   = 2                       // daemons that are asked at a time in an outage
	learnPause  = 20 * time.Millisecond   // between two questions
	staleAfter  = 2400 * time.Millisecond // since the store last confirmed a reader's plan
	failedSpan  = 10 * time.Second        // for which a reader of no use is not asked
	directSpan  = 10 * time.Second        // for which a daemon without a reader reads the store
)

// digests tell whether lists are the same.
type digests struct {
	members, instances uint64
}

// digestOf returns a digest of a list; never 0.
func digestOf(list any) uint64 {
	body, err := json.Marshal(list)
	if err != nil {
		return 1 // the lists hold only texts and numbers
	}
	return max(1, xxhash.Sum64(body))
}

// setInstances takes the daemons and picks those that this one learns from.
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
		f.wake()
	}
	f.instances = instances
	f.readers = readers(f.config.Self, instances)
	f.config.OnInstances(instances)
}

// readers returns the daemons that self learns from; none when it reads the store itself.
func readers(self citronusher.Instance, instances []citronusher.Instance) []citronusher.Instance {
	if len(instances) <= smallFleet {
		return nil
	}
	chosen := route.Homes(readerKey, instances, readerCount)
	if slices.ContainsFunc(chosen, func(i citronusher.Instance) bool { return i.Name() == self.Name() }) {
		return nil
	}
	return route.OrderHomes(chosen, self.Name(), self.Domain(), self.Name(), false)
}

// reader returns the daemon to learn from; false when this one has to read the store.
func (f *Syncer) reader(now time.Time) (citronusher.Instance, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.readers) == 0 || now.Before(f.directUntil) {
		return citronusher.Instance{}, false
	}
	for _, r := range f.readers {
		if now.After(f.failedAt[r.Name()].Add(failedSpan)) {
			return r, true
		}
	}
	f.directUntil = now.Add(directSpan)
	return citronusher.Instance{}, false
}

// awaitDirect waits until this daemon has to read the store itself. It reports false when the follower closes.
func (f *Syncer) awaitDirect() bool {
	for f.ctx.Err() == nil {
		f.mu.Lock()
		direct := len(f.readers) == 0 || time.Now().Before(f.directUntil)
		f.mu.Unlock()
		if direct {
			return true
		}
		select {
		case <-f.refresh:
			return true
		case <-time.After(directPoll):
		case <-f.ctx.Done():
		}
	}
	return false
}

// learnFrom asks a reader for what is new and returns the pause before the next question. A reader that does not answer,
// or that has not heard from the store for long, is left alone for a while. One that has not answered yet may not keep
// the question, so that little time is lost when it is of no use either.
func (f *Syncer) learnFrom(reader citronusher.Instance) time.Duration {
	wait := time.Duration(0)
	if f.trusted == reader.Name() {
		wait = learnWait
	}
	learnt, err := f.ask(reader, wait)
	if err == nil && learnt.PlanAge < staleAfter {
		f.trusted = reader.Name()
		return learnPause
	}
	f.trusted = ""
	f.mu.Lock()
	f.failedAt[reader.Name()] = time.Now()
	f.mu.Unlock()
	if err == nil {
		events.Log(f.config.Logger, events.PeerStale, "peer", reader.Name(), "age", learnt.PlanAge.Milliseconds())
	}
	return 0
}

// ask asks a daemon for what is new and takes it over.
func (f *Syncer) ask(instance citronusher.Instance, wait time.Duration) (citronusher.PeerUpdate, error) {
	ctx, cancel := context.WithTimeout(f.ctx, wait+learnLimit)
	defer cancel()
	f.mu.Lock()
	known := citronusher.PeerUpdateRequest{
		Plan: f.Plan().Version, Members: f.digests.members, Instances: f.digests.instances, MaxWait: wait,
	}
	f.mu.Unlock()
	askedAt := time.Now()
	learnt, err := f.config.Peers.FetchUpdate(ctx, instance, known)
	f.config.Meter.Fetches().Inc(1)
	if err != nil {
		events.Log(f.config.Logger, events.PeerFailed, "peer", instance.Name(), "error", err)
		return learnt, err
	}
	answeredAt := askedAt.Add(learnt.WaitedFor)
	f.apply(learnt.Plan)
	f.confirm(answeredAt.Add(-learnt.PlanAge))
	listedAt := answeredAt.Add(-learnt.MembersAge)
	if learnt.Members != nil {
		f.setMembers(learnt.Members, listedAt)
	} else {
		f.relist(known.Members, listedAt)
	}
	if len(learnt.Instances) > 0 {
		f.setInstances(learnt.Instances)
	}
	return learnt, nil
}

// learn asks other daemons for a newer plan and newer members while the store does not answer this one.
func (f *Syncer) learn() {
	for _, instance := range f.others() {
		if _, err := f.ask(instance, 0); err != nil {
			continue // logged by ask
		}
	}
}

// others picks the daemons that are asked.
func (f *Syncer) others() []citronusher.Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	others := make([]citronusher.Instance, 0, len(f.instances))
	for _, instance := range f.instances {
		if instance.Name() != f.config.Self.Name() {
			others = append(others, instance)
		}
	}
	//nolint:gosec // the choice needs no secrecy
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others[:min(learnFrom, len(others))]
}

// AwaitUpdate returns what this daemon knows besides what another one knows already. It waits until there is something new,
// at most for as long as the other daemon says, and not at all when this one has not heard from the store for long.
func (f *Syncer) AwaitUpdate(ctx context.Context, known citronusher.PeerUpdateRequest) citronusher.PeerUpdate {
	beganAt := time.Now()
	timer := time.NewTimer(known.MaxWait)
	defer timer.Stop()
	for {
		told, changed := f.news(known)
		told.WaitedFor = time.Since(beganAt)
		if told.Plan.Version > 0 || told.Members != nil || told.Instances != nil || told.PlanAge >= staleAfter {
			return told
		}
		select {
		case <-changed:
		case <-timer.C:
			told, _ = f.news(known)
			told.WaitedFor = time.Since(beganAt)
			return told
		case <-ctx.Done():
			return told
		case <-f.ctx.Done():
			return told
		}
	}
}

// news returns what is not known already, and a channel that is closed when there is more.
func (f *Syncer) news(known citronusher.PeerUpdateRequest) (citronusher.PeerUpdate, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	told := citronusher.PeerUpdate{PlanAge: now.Sub(f.confirmedAt), MembersAge: now.Sub(f.listedAt)}
	if plan := f.Plan(); plan.Version > known.Plan {
		told.Plan = plan
	}
	if f.digests.members != known.Members {
		told.Members = f.list
	}
	if f.digests.instances != known.Instances {
		told.Instances = f.instances
	}
	return told, f.changed
}
