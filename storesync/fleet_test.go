package storesync

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"testing"
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
