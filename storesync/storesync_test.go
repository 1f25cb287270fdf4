package storesync

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/meter"
)

// fakeFleet is a fake store and the Syncers of a fleet that use it. Tests run it on the fake clock of synctest.
type fakeFleet struct {
	mu           sync.Mutex
	changed      chan struct{}
	plan         citronusher.Plan
	era          uint64
	seenEras     map[string]uint64 // by instance, the era of the last answered call
	invalid      uint64            // version of an invalid configuration that the store holds in place of plan; 0 without
	members      []citronusher.MemberReport
	instances    []citronusher.Instance
	calls        int
	requests     int             // requests between instances
	latency      time.Duration   // of a call to the store
	cutOff       map[string]bool // instances whose calls to the store are not answered
	unresponsive map[string]bool // instances that do not answer the others
	readOnly     bool            // the store accepts no writes
	followers    map[string]*Syncer
	registered   map[string]bool // instances that count as registered, by their own account
}

func newFakeFleet() *fakeFleet {
	return &fakeFleet{
		changed: make(chan struct{}), plan: citronusher.Plan{Version: 1},
		members: []citronusher.MemberReport{{ID: "m"}}, cutOff: map[string]bool{},
		unresponsive: map[string]bool{}, followers: map[string]*Syncer{},
		era: 1, seenEras: map[string]uint64{}, registered: map[string]bool{},
	}
}

// setPlan publishes a plan and ends the plan requests that wait for one.
func (w *fakeFleet) setPlan(version uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.plan, w.invalid = citronusher.Plan{Version: version}, 0
	w.endWaits()
}

// setInvalidPlan publishes an invalid configuration and ends the plan requests that wait for one.
func (w *fakeFleet) setInvalidPlan(version uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.invalid = version
	w.endWaits()
}

// endWaits ends the plan requests that wait for a change. The caller holds mu.
func (w *fakeFleet) endWaits() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// version returns the store's version, which is that of the newest configuration. The caller holds mu.
func (w *fakeFleet) version() citronusher.StoreVersion {
	return citronusher.StoreVersion{Era: w.era, Number: max(w.plan.Version, w.invalid)}
}

func (w *fakeFleet) set(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
}

// instanceView is the Store and the Peers of one instance.
type instanceView struct {
	citronusher.Store
	fleet *fakeFleet
	name  string
}

// call counts a call to the store. While the instance is cut off, it blocks until ctx ends, at most 2 s, and fails.
func (v instanceView) call(ctx context.Context) error {
	v.fleet.mu.Lock()
	v.fleet.calls++
	cutOff, latency := v.fleet.cutOff[v.name], v.fleet.latency
	v.fleet.mu.Unlock()
	if !cutOff {
		time.Sleep(latency)
		v.fleet.set(func() { v.fleet.seenEras[v.name] = v.fleet.era })
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	<-ctx.Done()
	return fmt.Errorf("%w: cut off", citronusher.ErrUnavailable)
}

// Era returns the era of the last call of this instance that was answered.
func (v instanceView) Era() citronusher.StoreEra {
	v.fleet.mu.Lock()
	defer v.fleet.mu.Unlock()
	return citronusher.StoreEra{Number: v.fleet.seenEras[v.name]}
}

func (v instanceView) Plan(ctx context.Context) (citronusher.Plan, citronusher.StoreVersion, error) {
	if err := v.call(ctx); err != nil {
		return citronusher.Plan{}, citronusher.StoreVersion{}, err
	}
	v.fleet.mu.Lock()
	defer v.fleet.mu.Unlock()
	if v.fleet.invalid > 0 {
		return citronusher.Plan{}, v.fleet.version(), citronusher.ErrInvalid
	}
	return v.fleet.plan, v.fleet.version(), nil
}

func (v instanceView) WaitForPlan(
	ctx context.Context, after citronusher.StoreVersion,
) (citronusher.Plan, bool, citronusher.StoreVersion, error) {
	if err := v.call(ctx); err != nil {
		return citronusher.Plan{}, false, after, err
	}
	v.fleet.mu.Lock()
	changed, version := v.fleet.changed, v.fleet.version()
	v.fleet.mu.Unlock()
	if version.Era == after.Era && version.Number <= after.Number {
		select {
		case <-changed:
		case <-time.After(1600 * time.Millisecond):
		case <-ctx.Done():
		}
	}
	v.fleet.mu.Lock()
	defer v.fleet.mu.Unlock()
	if v.fleet.cutOff[v.name] {
		return citronusher.Plan{}, false, after, citronusher.ErrUnavailable
	}
	version = v.fleet.version()
	found := version.Era != after.Era || version.Number > after.Number
	if v.fleet.invalid > 0 {
		err := citronusher.ErrInvalid
		if !found {
			err = nil
		}
		return citronusher.Plan{}, false, version, err
	}
	return v.fleet.plan, found, version, nil
}

func (v instanceView) Members(ctx context.Context) ([]citronusher.MemberReport, error) {
	if err := v.call(ctx); err != nil {
		return nil, err
	}
	v.fleet.mu.Lock()
	defer v.fleet.mu.Unlock()
	return v.fleet.members, nil
}

func (v instanceView) Instances(ctx context.Context) ([]citronusher.Instance, error) {
	if err := v.call(ctx); err != nil {
		return nil, err
	}
	v.fleet.mu.Lock()
	defer v.fleet.mu.Unlock()
	return v.fleet.instances, nil
}

func (v instanceView) SomeInstances(ctx context.Context) ([]citronusher.Instance, bool, error) {
	list, err := v.Instances(ctx)
	return list, true, err
}

func (v instanceView) Replicate(ctx context.Context, _ citronusher.Instance) error {
	return v.call(ctx)
}

func (v instanceView) Register(ctx context.Context, instance citronusher.Instance) error {
	if err := v.call(ctx); err != nil {
		return err
	}
	v.fleet.mu.Lock()
	defer v.fleet.mu.Unlock()
	if v.fleet.readOnly {
		return citronusher.ErrUnavailable
	}
	instances := slices.DeleteFunc(slices.Clone(v.fleet.instances), func(i citronusher.Instance) bool {
		return i.Name() == instance.Name()
	})
	instances = append(instances, instance)
	v.fleet.instances = instances
	return nil
}

func (v instanceView) FetchUpdate(
	ctx context.Context, instance citronusher.Instance, request citronusher.PeerUpdateRequest,
) (citronusher.PeerUpdate, error) {
	v.fleet.mu.Lock()
	v.fleet.requests++
	unresponsive, f := v.fleet.unresponsive[instance.Name()], v.fleet.followers[instance.Name()]
	v.fleet.mu.Unlock()
	if f == nil {
		return citronusher.PeerUpdate{}, citronusher.ErrNotDelivered
	}
	if unresponsive {
		<-ctx.Done()
		return citronusher.PeerUpdate{}, citronusher.ErrUnavailable
	}
	return f.AwaitUpdate(ctx, request), nil
}

func (v instanceView) ReleaseLease(context.Context, citronusher.Instance, string, citronusher.Claim, uint64) error {
	return nil
}

func (v instanceView) LeaseRenewalAge(context.Context, citronusher.Instance, string, uint64) (time.Duration, error) {
	return 0, citronusher.ErrNotFound
}

// start starts the Syncers of a fleet of count instances, all of them registered.
func (w *fakeFleet) start(count int) {
	for i := range count {
		name := fmt.Sprintf("d%02d", i)
		w.instances = append(w.instances, citronusher.NewInstance(name, name, fmt.Sprintf("z%d", i%4), citronusher.InstanceLive))
	}
	for _, instance := range w.instances {
		w.startOne(instance, false)
	}
}

// setRegistered records whether an instance counts as registered.
func (w *fakeFleet) setRegistered(instance citronusher.Instance, registered bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.registered[instance.Name()] = registered
}

// startOne starts the Syncer of an instance.
func (w *fakeFleet) startOne(instance citronusher.Instance, firstStart bool) {
	v := instanceView{fleet: w, name: instance.Name()}
	f := New(Config{
		Self: instance, FirstStart: firstStart, Store: v, Peers: v,
		OnPlan: func(citronusher.Plan) {}, OnMembers: func([]citronusher.MemberReport, time.Time) {},
		OnInstances: func([]citronusher.Instance) {}, OnRegistered: func() { w.setRegistered(instance, true) },
		OnUnregistered: func() { w.setRegistered(instance, false) }, Logger: slog.New(slog.DiscardHandler),
		Meter: meter.New(),
	})
	w.set(func() { w.followers[instance.Name()] = f })
}

// restart ends the Syncers of some instances and starts them again. They have lost what they knew.
func (w *fakeFleet) restart(t *testing.T, instances []citronusher.Instance) {
	t.Helper()
	for _, instance := range instances {
		f := w.followers[instance.Name()]
		w.set(func() { delete(w.followers, instance.Name()) })
		if err := f.Close(); err != nil {
			t.Error(err)
		}
	}
	for _, instance := range instances {
		w.startOne(instance, false)
	}
}

// takeCalls returns the number of calls to the store since it was last called.
func (w *fakeFleet) takeCalls() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	calls := w.calls
	w.calls = 0
	return calls
}

// unsynced returns the names of the instances that have not received a plan and a member list.
func (w *fakeFleet) unsynced() []string {
	var names []string
	for name, f := range w.followers {
		if !f.Synced() {
			names = append(names, name)
		}
	}
	return names
}

func (w *fakeFleet) close(t *testing.T) {
	t.Helper()
	for _, f := range w.followers {
		if err := f.Close(); err != nil {
			t.Error(err)
		}
	}
}

// readers returns the names of the instances that read the store.
func (w *fakeFleet) readers() []string {
	var names []string
	for _, i := range w.instances {
		if dutyOf(i, w.instances).reader {
			names = append(names, i.Name())
		}
	}
	return names
}

// outdated returns the names of the instances, without those in except, whose plan has another version.
func (w *fakeFleet) outdated(version uint64, except map[string]bool) []string {
	var names []string
	for name, f := range w.followers {
		if f.Plan().Version != version && !except[name] {
			names = append(names, name)
		}
	}
	return names
}

// TestOnlyStoreReadersCallTheStore guards against store calls that grow with the fleet: in a fleet of 82 instances only
// three read the store, and a new plan still reaches every instance within 200 ms. When every instance read the store,
// kcg-hq-grown quiet-1 counted 5,986 store calls in 48 s, 0.094 of the day's worth.
func TestOnlyStoreReadersCallTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFakeFleet()
		w.start(82)
		defer w.close(t)
		if got := w.readers(); len(got) != readerCount {
			t.Fatalf("store readers %v", got)
		}
		time.Sleep(10 * time.Second)
		w.set(func() { w.calls = 0 })
		time.Sleep(30 * time.Second)
		w.mu.Lock()
		calls := w.calls
		w.mu.Unlock()
		if calls > readerCount*60 {
			t.Errorf("%d calls to the store in 30 s", calls)
		}
		w.setPlan(2)
		time.Sleep(200 * time.Millisecond)
		if late := w.outdated(2, nil); len(late) > 0 {
			t.Errorf("plan not active at %v", late)
		}
	})
}

// TestStaleReaderIsReplaced guards against instances that keep polling a store reader which has lost the store or
// stopped answering: they change to another reader and receive a new plan within 3 s.
func TestStaleReaderIsReplaced(t *testing.T) {
	for _, fault := range []string{"cut", "silent"} {
		t.Run(fault, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newFakeFleet()
				w.start(40)
				defer w.close(t)
				time.Sleep(10 * time.Second)
				failing := w.readers()[0]
				w.set(func() {
					w.cutOff[failing] = true
					w.unresponsive[failing] = fault == "silent"
				})
				w.setPlan(2)
				time.Sleep(2900 * time.Millisecond)
				if late := w.outdated(2, map[string]bool{failing: true}); len(late) > 0 {
					t.Errorf("plan not active at %v", late)
				}
			})
		})
	}
}

// TestAllReadersUnresponsive guards against missing a new plan when no store reader answers: the other instances read
// the store themselves and receive the plan within 3 s.
func TestAllReadersUnresponsive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFakeFleet()
		w.start(20)
		defer w.close(t)
		time.Sleep(10 * time.Second)
		readers := map[string]bool{}
		for _, name := range w.readers() {
			readers[name] = true
		}
		w.set(func() { w.unresponsive = readers })
		time.Sleep(8 * time.Second)
		w.setPlan(2)
		time.Sleep(2900 * time.Millisecond)
		if late := w.outdated(2, readers); len(late) > 0 {
			t.Errorf("plan not active at %v", late)
		}
	})
}

// TestUnchangedMembersAreListedAgain guards against a member list that ages on instances that poll a reader: a reader
// does not send an unchanged list again, but its listing time must still advance, or a missing member would never be
// removed.
func TestUnchangedMembersAreListedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFakeFleet()
		w.members = []citronusher.MemberReport{{ID: "m"}}
		w.start(20)
		defer w.close(t)
		time.Sleep(10 * time.Second)
		for name, f := range w.followers {
			f.mu.Lock()
			age := time.Since(f.listedAt)
			f.mu.Unlock()
			if age > memberInterval+pollMaxWait+pollTimeout {
				t.Errorf("%s: the member list is %s old", name, age)
			}
		}
	})
}

// TestEmptyMemberList guards against busy polling when the store lists no members, as after an outage in which every
// report expired. An empty list that is never applied always differs from the reader's, so that each long poll returns
// at once and each instance sends 50 requests per second.
func TestEmptyMemberList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFakeFleet()
		w.members = []citronusher.MemberReport{}
		w.start(20)
		defer w.close(t)
		time.Sleep(10 * time.Second)
		w.set(func() { w.requests = 0 })
		time.Sleep(12 * time.Second)
		w.mu.Lock()
		requests := w.requests
		w.mu.Unlock()
		if limit := 20 * 12; requests > limit {
			t.Errorf("%d requests between 20 instances in 12 s, want at most %d", requests, limit)
		}
	})
}

// TestReturningMembersAreListedSoon guards against daemons that start right after an outage of the store and wait for the
// next periodic list to find members whose reports had expired: on a day with a restart at 10 s two of three groups had no
// known primary until 13.9 s, although their reports were back before 13 s.
func TestReturningMembersAreListedSoon(t *testing.T) {
	for _, fleet := range []int{6, 40} {
		synctest.Test(t, func(t *testing.T) {
			w := newFakeFleet()
			w.start(fleet)
			defer w.close(t)
			time.Sleep(time.Second)
			w.set(func() { w.members = []citronusher.MemberReport{{ID: "m"}, {ID: "n"}} })
			time.Sleep(2 * minMemberInterval)
			for name, f := range w.followers {
				f.mu.Lock()
				count := len(f.memberList)
				f.mu.Unlock()
				if count != 2 {
					t.Errorf("%s knows %d members", name, count)
				}
			}
		})
	}
}
