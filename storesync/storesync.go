// Package storesync keeps a daemon's plan, members and instances up to date with the platform's store. In a small fleet
// every daemon reads the store; in a large one a few do and the others learn from them, so that the calls do not grow
// with the fleet. In an outage the last known ones stay in force. A plan's version never goes back.
package storesync

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/events"
	"citronusher.example/citronusher/meter"
)

const (
	planPause     = 150 * time.Millisecond  // between two answers of the feed, for quick successions of changes
	retryPause    = 300 * time.Millisecond  // after the first failure; doubled up to retryMost
	retryMost     = 1200 * time.Millisecond // the longest pause after a failure
	memberPause   = 2500 * time.Millisecond // between two lists of members
	refreshPause  = 400 * time.Millisecond  // between two lists that were asked for
	instancePause = 20 * time.Second        // between two lists of instances
	readerPause   = 5 * time.Second         // between two lists of instances that others learn from
	startPause    = 500 * time.Millisecond  // for daemons that start together to become known
	directPoll    = 250 * time.Millisecond  // between two looks whether this daemon has to read the store
)

// Config holds what following needs.
type Config struct {
	// Self is this daemon.
	Self citronusher.Instance
	// Store is what is followed.
	Store citronusher.Store
	// OnPlan receives each newer plan.
	OnPlan func(citronusher.Plan)
	// OnMembers receives each list of members.
	OnMembers func([]citronusher.MemberReport)
	// OnInstances receives each list of daemons.
	OnInstances func([]citronusher.Instance)
	// OnRegistered is called once the other daemons can find this one.
	OnRegistered func()
	// Peers reaches the other daemons.
	Peers citronusher.Peers
	// Logger receives the events.
	Logger *slog.Logger
	// Meter counts.
	Meter *meter.Meter
}

// Syncer follows the store until it is closed.
type Syncer struct {
	config  Config
	ctx     context.Context
	cancel  context.CancelFunc
	tasks   errgroup.Group
	refresh chan struct{}
	plan    atomic.Pointer[citronusher.Plan]
	members atomic.Bool
	trusted string // the reader that answered last; used by one goroutine

	mu          sync.Mutex
	down        map[string]bool // the parts that do not get answers
	confirmedAt time.Time       // when the store last confirmed that there is no newer plan
	instances   []citronusher.Instance
	readers     []citronusher.Instance     // that this daemon learns from, the best first; none when it reads the store
	failedAt    map[string]time.Time       // when a reader was last of no use
	directUntil time.Time                  // until when this daemon reads the store because no reader is of use
	list        []citronusher.MemberReport // the members that are in force
	listedAt    time.Time                  // when they were listed, here or at another daemon
	digests     digests                    // of the lists
	changed     chan struct{}              // closed when there is something new to learn
}

// New starts following.
func New(config Config) *Syncer {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Syncer{config: config, ctx: ctx, cancel: cancel, refresh: make(chan struct{}, 1), changed: make(chan struct{})}
	f.down, f.failedAt = map[string]bool{}, map[string]time.Time{}
	f.plan.Store(&citronusher.Plan{})
	f.tasks.Go(func() error { f.followPlan(); return nil })
	f.tasks.Go(func() error { f.followMembers(); return nil })
	f.tasks.Go(func() error { f.followInstances(); return nil })
	return f
}

// Plan returns the plan in force; without routes while none is known.
func (f *Syncer) Plan() citronusher.Plan { return *f.plan.Load() }

// Synced reports whether a plan and a list of members are known.
func (f *Syncer) Synced() bool { return f.Plan().Version > 0 && f.members.Load() }

// Refresh asks for a new list of members soon.
func (f *Syncer) Refresh() {
	select {
	case f.refresh <- struct{}{}:
	default:
	}
}

// pause waits, and reports false when the follower closes.
func (f *Syncer) pause(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-f.ctx.Done():
		return false
	}
}

// note logs when a part stops or begins to get answers.
func (f *Syncer) note(part string, err error) {
	f.config.Meter.Polls().Inc(1)
	f.mu.Lock()
	defer f.mu.Unlock()
	down := err != nil
	if f.down[part] == down || f.ctx.Err() != nil {
		return
	}
	f.down[part] = down
	if down {
		events.Log(f.config.Logger, events.PlatformUnavailable, "part", part, "error", err)
	} else {
		events.Log(f.config.Logger, events.PlatformRecovered, "part", part)
	}
}

func nextPause(before time.Duration) time.Duration { return min(retryMost, max(retryPause, before*2)) }

// planFeed is how far a daemon has read the store's feed of plans.
type planFeed struct {
	version uint64 // the store's
	known   bool
	wait    time.Duration // before the next call
}

func (f *Syncer) followPlan() {
	var feed planFeed
	for f.ctx.Err() == nil {
		if reader, ok := f.reader(time.Now()); ok {
			feed = planFeed{}
			if !f.pause(f.learnFrom(reader)) {
				return
			}
			continue
		}
		f.readPlan(&feed)
		if !f.pause(feed.wait) {
			return
		}
	}
}

// readPlan makes one call to the store.
func (f *Syncer) readPlan(feed *planFeed) {
	var plan citronusher.Plan
	var err error
	found := true
	if feed.known {
		plan, found, feed.version, err = f.config.Store.WaitForPlan(f.ctx, feed.version)
	} else {
		plan, feed.version, err = f.config.Store.Plan(f.ctx)
	}
	if !errors.Is(err, citronusher.ErrNotFound) {
		f.note("plan", err)
	}
	switch {
	case errors.Is(err, citronusher.ErrNotFound):
		feed.wait = retryPause
	case errors.Is(err, citronusher.ErrInvalid):
		events.Log(f.config.Logger, events.DocumentRejected, "error", err)
		feed.wait = nextPause(feed.wait)
	case err != nil:
		f.learn()
		feed.wait = nextPause(feed.wait)
	default:
		feed.known, feed.wait = true, planPause
		if found {
			f.apply(plan)
		}
		f.confirm(time.Now())
	}
}

// confirm records when the store confirmed that there was no newer plan.
func (f *Syncer) confirm(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at.After(f.confirmedAt) {
		f.confirmedAt = at
	}
}

// apply puts a plan in force unless it is older than the one in force.
func (f *Syncer) apply(plan citronusher.Plan) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.Plan().Version
	if plan.Version <= before {
		return
	}
	f.plan.Store(&plan)
	f.config.Meter.Version().Update(int64(plan.Version)) //nolint:gosec // versions are small
	events.Log(f.config.Logger, events.DocumentApplied, "version", plan.Version, "before", before, "routes", len(plan.Routes))
	f.config.OnPlan(plan)
	f.wake()
}

// wake answers the daemons that wait for something new. The caller holds mu.
func (f *Syncer) wake() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// setMembers puts a list of members in force unless a later one is.
func (f *Syncer) setMembers(members []citronusher.MemberReport, listedAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !listedAt.After(f.listedAt) {
		return
	}
	f.list, f.listedAt = members, listedAt
	if digest := digestOf(members); digest != f.digests.members {
		f.digests.members = digest
		f.wake()
	}
	f.config.OnMembers(members)
	f.members.Store(true)
}

// relist puts the members that are in force, if they have the digest, in force again as listed at listedAt: a member that
// lists lack is dropped only when it has been missing for a while.
func (f *Syncer) relist(digest uint64, listedAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if digest == 0 || digest != f.digests.members || !listedAt.After(f.listedAt) {
		return
	}
	f.listedAt = listedAt
	f.config.OnMembers(f.list)
}

func (f *Syncer) followMembers() {
	wait := time.Duration(0)
	for f.awaitDirect() {
		members, err := f.config.Store.Members(f.ctx)
		f.note("members", err)
		if err == nil {
			wait = memberPause
			f.setMembers(members, time.Now())
		} else {
			wait = nextPause(wait)
		}
		if !f.pause(min(wait, refreshPause)) {
			return
		}
		select {
		case <-time.After(max(0, wait-refreshPause)):
		case <-f.refresh:
		case <-f.ctx.Done():
		}
	}
}

func (f *Syncer) followInstances() {
	registered, wait := false, time.Duration(0)
	early := []time.Duration{time.Second, 2 * time.Second} //nolint:mnd // daemons that start together
	for !registered && f.ctx.Err() == nil || f.awaitDirect() {
		instances, err := f.config.Store.Instances(f.ctx)
		if !registered {
			var registerErr error
			registered, registerErr = f.register(&instances)
			err = errors.Join(err, registerErr)
		}
		f.note("instances", err)
		if err == nil {
			wait = f.instancePause(len(instances))
			if len(early) > 0 {
				wait, early = early[0], early[1:]
			}
			f.setInstances(instances)
		} else {
			wait = nextPause(wait)
		}
		if !f.pause(wait) {
			return
		}
	}
}

func (f *Syncer) instancePause(count int) time.Duration {
	if count > smallFleet {
		return readerPause
	}
	return instancePause
}

// register makes the daemon known to the others, unless an earlier process of the same name and address is in the
// list. In that case nothing has to be written, which a store that only reads cannot do. Otherwise the list is read
// again after a while: daemons that start together become known meanwhile.
func (f *Syncer) register(instances *[]citronusher.Instance) (bool, error) {
	if slices.ContainsFunc(*instances, func(i citronusher.Instance) bool {
		return i.Name() == f.config.Self.Name() && i.PeerAddress() == f.config.Self.PeerAddress()
	}) {
		f.config.OnRegistered()
		return true, nil
	}
	if err := f.config.Store.Register(f.ctx, f.config.Self); err != nil {
		return false, err
	}
	f.config.OnRegistered()
	*instances = append(*instances, f.config.Self)
	f.pause(startPause)
	again, err := f.config.Store.Instances(f.ctx)
	if err == nil {
		*instances = again
	}
	return true, err
}

// Close stops following and waits.
func (f *Syncer) Close() error {
	f.cancel()
	return f.tasks.Wait()
}
