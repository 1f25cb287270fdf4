// Package storesync keeps an instance's plan, member list and instance list in sync with the platform's store.
//
// In a small fleet every instance reads the store. In a large fleet a few store readers do, and the other instances
// long-poll one of them, so that the number of store calls does not grow with the fleet. When the readers are cut off from
// the store, their deputies read it, and when those are cut off as well, the other instances exchange what they have and
// read the store rarely. During an outage the last received plan and lists stay active. A plan is never replaced by one with
// a lower version.
//
// A starting instance reads only the instance list, and registers if the list lacks it. It receives the plan and the members
// from a store reader, and is not synced before it has both. A reader's plan counts only if the store has confirmed it
// recently, so that a restarted fleet never uses a plan or a member list from before its restart.
//
// The store may come back from a copy and lose registrations. Each instance then registers again if the store lacks it, and
// the others keep the instance list that they have meanwhile.
package storesync

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/events"
	"citronusher.example/citronusher/meter"
)

const (
	planInterval           = 150 * time.Millisecond  // between plan requests, to read changes in quick succession together
	minRetryDelay          = 300 * time.Millisecond  // after the first failure; doubled up to maxRetryDelay
	maxRetryDelay          = 1200 * time.Millisecond // upper bound of the retry backoff
	memberInterval         = 2500 * time.Millisecond // between periodic requests for the member list
	minMemberInterval      = 400 * time.Millisecond  // minimum time between requests for the member list
	settleTime             = 4 * time.Second         // after the first member list, in which it is requested at that rate
	instanceInterval       = 20 * time.Second        // between requests for the instance list in a small fleet
	readerInstanceInterval = 10 * time.Second        // between a store reader's requests for the instance list
	directCheckInterval    = 250 * time.Millisecond  // between checks whether this instance has to read the store itself
)

// Config holds the dependencies and callbacks of a Syncer.
type Config struct {
	// Self is this instance.
	Self citronusher.Instance
	// FirstStart is set when the whole fleet starts for the first time, so that this instance is not registered yet.
	FirstStart bool
	// Store is the platform's store.
	Store citronusher.Store
	// OnPlan is called with each newer plan. OnPlan, OnMembers and OnInstances are called while the Syncer is locked, so
	// they must not call AwaitUpdate or Close.
	OnPlan func(citronusher.Plan)
	// OnMembers is called with the member list, and when this or another instance read it from the store, each time that it is
	// received or confirmed as unchanged.
	OnMembers func(members []citronusher.MemberReport, listedAt time.Time)
	// OnInstances is called with each instance list received.
	OnInstances func([]citronusher.Instance)
	// OnRegistered is called once this instance is registered in the store.
	OnRegistered func()
	// OnUnregistered is called when this instance may not be registered any more. OnRegistered is called once it is again.
	OnUnregistered func()
	// Peers sends requests to the other instances.
	Peers citronusher.Peers
	// Logger receives a record of each applied plan, of store outages and of failing peers.
	Logger *slog.Logger
	// Meter counts the requests to the store and to peers.
	Meter *meter.Meter
}

// Syncer keeps the plan, the member list and the instance list in sync with the store until it is closed.
type Syncer struct {
	config           Config
	ctx              context.Context
	cancel           context.CancelFunc
	tasks            errgroup.Group
	refresh          chan struct{}
	plan             atomic.Pointer[citronusher.Plan]
	membersReceived  atomic.Bool
	lastUsableReader string // reader whose last answer was usable; accessed only by the plan goroutine

	added         bool          // this process has registered the instance; accessed only by the instance goroutine
	joined        chan struct{} // closed after the first attempt to join the fleet
	joinDeadline  time.Time     // until when a starting instance tries readers; set and read by the plan goroutine
	joinBackoff   startBackoff  // spaces the reads of the store by a starting instance without readers
	nextOwnReadAt time.Time     // when the plan goroutine may read the store in place of the readers; see ownRead

	mu          sync.Mutex
	failing     map[string]bool // by kind of store request, whether the last one failed
	confirmedAt time.Time       // when the store last confirmed that there is no newer plan
	instances   []citronusher.Instance
	duty        duty
	retryAt     map[string]time.Time       // by reader name, until when it is not polled after a failure or a stale answer
	directUntil time.Time                  // until when a deputy reads the store because no reader is usable
	memberList  []citronusher.MemberReport // the current member list
	listedAt    time.Time                  // when memberList was requested from the store, by this or another instance
	digests     digests                    // of the current lists
	changed     chan struct{}              // closed and replaced when the plan or a list changes
	era         uint64                     // newest era of the store; 0 until one is known
	settledAt   time.Time                  // until when the store's instance lists are not applied, after a restore

	registrationCheck chan struct{} // receives when this instance's registration may be lost
	instancesReread   chan struct{} // receives when the instance list is to be read again
}

// New returns a Syncer and starts its goroutines, which run until Close.
func New(config Config) *Syncer {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Syncer{config: config, ctx: ctx, cancel: cancel, refresh: make(chan struct{}, 1), changed: make(chan struct{})}
	f.registrationCheck, f.instancesReread = make(chan struct{}, 1), make(chan struct{}, 1)
	f.failing, f.retryAt, f.joined = map[string]bool{}, map[string]time.Time{}, make(chan struct{})
	f.plan.Store(&citronusher.Plan{})
	f.tasks.Go(func() error { f.syncPlan(); return nil })
	f.tasks.Go(func() error { f.syncMembers(); return nil })
	f.tasks.Go(func() error { f.syncInstances(); return nil })
	return f
}

// Plan returns the current plan; its version is 0 until one has been received.
func (f *Syncer) Plan() citronusher.Plan { return *f.plan.Load() }

// Synced reports whether a plan and a member list have been received.
func (f *Syncer) Synced() bool { return f.Plan().Version > 0 && f.membersReceived.Load() }

// Refresh requests that the member list is read again soon. It does not block.
func (f *Syncer) Refresh() {
	signal(f.refresh)
}

// sleep waits for d. It reports false if the Syncer is closed before that.
func (f *Syncer) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-f.ctx.Done():
		return false
	}
}

// recordRequest counts a store request of the kind part and logs when such requests begin to fail or succeed again.
func (f *Syncer) recordRequest(part string, err error) {
	f.config.Meter.Polls().Inc(1)
	f.observeStore()
	f.mu.Lock()
	defer f.mu.Unlock()
	failed := err != nil
	if f.failing[part] == failed || f.ctx.Err() != nil {
		return
	}
	f.failing[part] = failed
	if failed {
		events.Log(f.config.Logger, events.PlatformUnavailable, "part", part, "error", err)
	} else {
		events.Log(f.config.Logger, events.PlatformRecovered, "part", part)
	}
}

func nextRetryDelay(before time.Duration) time.Duration {
	return min(maxRetryDelay, max(minRetryDelay, before*2))
}

// planCursor is the state of reading plans from the store.
type planCursor struct {
	version citronusher.StoreVersion // of the last plan read
	known   bool                     // whether version is set
	delay   time.Duration            // delay before the next request
	start   startBackoff             // of the requests until a plan is known
}

func (f *Syncer) syncPlan() {
	f.awaitJoined()
	f.joinDeadline = time.Now().Add(joinPatience)
	var cursor planCursor
	for f.ctx.Err() == nil {
		var delay time.Duration
		reader, source := f.planSource(time.Now())
		switch source {
		case sourceReader:
			cursor = planCursor{}
			delay = f.pollReader(reader)
		case sourceStore:
			f.readPlan(&cursor)
			delay = cursor.delay
		case sourcePeers:
			cursor = planCursor{}
			delay = f.ownRead()
		}
		if !f.sleep(delay) {
			return
		}
	}
}

// readPlan makes one plan request to the store, a long poll once a version is known, and applies a newer plan. It
// sets the delay before the next request. If the store fails, it fetches updates from other instances.
func (f *Syncer) readPlan(cursor *planCursor) {
	var plan citronusher.Plan
	var err error
	found := true
	if cursor.known {
		plan, found, cursor.version, err = f.config.Store.WaitForPlan(f.ctx, cursor.version)
	} else {
		ctx, cancel := f.startContext(&cursor.start, f.Plan().Version > 0)
		plan, cursor.version, err = f.config.Store.Plan(ctx)
		cancel()
	}
	invalid := errors.Is(err, citronusher.ErrInvalid)
	switch {
	case invalid:
		f.recordRequest("plan", nil)
	case !errors.Is(err, citronusher.ErrNotFound):
		f.recordRequest("plan", err)
	}
	switch {
	case errors.Is(err, citronusher.ErrNotFound):
		cursor.delay = minRetryDelay
	case err != nil && !invalid && f.Plan().Version == 0:
		f.fetchFromPeers()
		cursor.delay = cursor.start.next()
	case err != nil && !invalid:
		f.fetchFromPeers()
		cursor.delay = nextRetryDelay(cursor.delay)
	default:
		cursor.known, cursor.delay = true, planInterval
		f.applyRead(plan, found, err)
	}
}

// applyRead applies the result of a request to which the store responded. err is ErrInvalid if the newest plan is invalid:
// the active plan then stays, and an instance that has none fetches it from other instances.
func (f *Syncer) applyRead(plan citronusher.Plan, found bool, err error) {
	if err != nil {
		events.Log(f.config.Logger, events.DocumentRejected, "error", err)
	}
	if found {
		f.applyPlan(plan)
	}
	f.confirmPlan(time.Now())
	if f.Plan().Version == 0 {
		f.fetchFromPeers()
	}
}

// confirmPlan records that the store confirmed at the given time that there was no newer plan.
func (f *Syncer) confirmPlan(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at.After(f.confirmedAt) {
		f.confirmedAt = at
	}
}

// applyPlan replaces the current plan if the given one has a higher version.
func (f *Syncer) applyPlan(plan citronusher.Plan) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.Plan().Version
	if plan.Version <= before {
		return
	}
	f.plan.Store(&plan)
	f.config.Meter.Version().Update(int64(plan.Version)) //nolint:gosec // plan versions stay far below the int64 limit
	events.Log(f.config.Logger, events.DocumentApplied, "version", plan.Version, "before", before, "routes", len(plan.Routes))
	f.config.OnPlan(plan)
	f.notifyChanged()
}

// notifyChanged ends the wait of the long polls of other instances. The caller holds mu.
func (f *Syncer) notifyChanged() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// setMembers replaces the current member list unless that one was listed at the same time or later.
func (f *Syncer) setMembers(members []citronusher.MemberReport, listedAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !listedAt.After(f.listedAt) {
		return
	}
	f.memberList, f.listedAt = members, listedAt
	if digest := digestOf(members); digest != f.digests.members {
		f.digests.members = digest
		f.notifyChanged()
	}
	f.config.OnMembers(members, listedAt)
	f.membersReceived.Store(true)
}

// confirmMembers applies the current member list again as listed at listedAt, if it has the given digest. Repeating an
// unchanged list matters because a member is removed only once lists have lacked it for some time.
func (f *Syncer) confirmMembers(digest uint64, listedAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if digest == 0 || digest != f.digests.members || !listedAt.After(f.listedAt) {
		return
	}
	f.listedAt = listedAt
	f.config.OnMembers(f.memberList, listedAt)
}

func (f *Syncer) syncMembers() {
	f.awaitJoined()
	wait := time.Duration(0)
	var start startBackoff
	var settledAt time.Time
	for f.awaitDirectRead() {
		err := f.readMembers(&start)
		if err == nil && settledAt.IsZero() {
			settledAt = time.Now().Add(settleTime)
		}
		switch {
		case err == nil && time.Now().Before(settledAt): // reports that expired in an outage come back one by one
			wait = minMemberInterval
		case err == nil:
			wait = memberInterval
		case f.membersReceived.Load():
			wait = nextRetryDelay(wait)
		default:
			wait = start.next()
		}
		if !f.sleep(min(wait, minMemberInterval)) {
			return
		}
		select {
		case <-time.After(max(0, wait-minMemberInterval)):
		case <-f.refresh:
		case <-f.ctx.Done():
		}
	}
}

// readMembers reads the member list from the store. start applies until a list has been received.
func (f *Syncer) readMembers(start *startBackoff) error {
	ctx, cancel := f.startContext(start, f.membersReceived.Load())
	defer cancel()
	listedAt := time.Now()
	members, err := f.config.Store.Members(ctx)
	f.recordRequest("members", err)
	if err == nil {
		f.setMembers(members, listedAt)
	}
	return err
}

func (f *Syncer) syncInstances() {
	f.join()
	f.tasks.Go(func() error { f.keepRegistered(); return nil })
	wait := time.Duration(0)
	startupIntervals := []time.Duration{time.Second, 2 * time.Second} //nolint:mnd // for instances that start together
	for f.awaitDirectRead() {
		instances, err := f.config.Store.Instances(f.ctx)
		f.recordRequest("instances", err)
		unsettled := f.unsettledFor()
		switch {
		case err != nil:
			wait = nextRetryDelay(wait)
		case unsettled > 0:
			wait = unsettled
		default:
			wait = f.nextInstanceInterval(len(instances))
			if len(startupIntervals) > 0 {
				wait, startupIntervals = startupIntervals[0], startupIntervals[1:]
			}
			f.setInstances(instances)
		}
		if !f.awaitInstancesRead(wait) {
			return
		}
	}
}

func (f *Syncer) nextInstanceInterval(count int) time.Duration {
	if count > maxSmallFleet {
		return readerInstanceInterval
	}
	return instanceInterval
}

// Close stops the goroutines and waits for them.
func (f *Syncer) Close() error {
	f.cancel()
	return f.tasks.Wait()
}
