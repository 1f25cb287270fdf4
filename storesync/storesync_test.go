package storesync

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/meter"
)

// world is a store and the followers of a fleet, on a clock of their own.
type world struct {
	mu        sync.Mutex
	changed   chan struct{}
	plan      citronusher.Plan
	members   []citronusher.MemberReport
	instances []citronusher.Instance
	calls     int
	questions int             // between daemons
	cut       map[string]bool // daemons whose calls to the store are not answered
	silent    map[string]bool // daemons that do not answer others
	followers map[string]*Syncer
}

func newWorld() *world {
	return &world{
		changed: make(chan struct{}), plan: citronusher.Plan{Version: 1}, cut: map[string]bool{}, silent: map[string]bool{},
		followers: map[string]*Syncer{},
	}
}

// setPlan publishes a plan.
func (w *world) setPlan(version uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.plan = citronusher.Plan{Version: version}
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *world) set(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
}

// view is the world as one daemon reaches it: its store and its peers.
type view struct {
	citronusher.Store
	world *world
	name  string
}

// call counts a call to the store, and hangs until ctx ends while the daemon is cut off.
func (v view) call(ctx context.Context) error {
	v.world.mu.Lock()
	v.world.calls++
	cut := v.world.cut[v.name]
	v.world.mu.Unlock()
	if !cut {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	<-ctx.Done()
	return fmt.Errorf("%w: cut off", citronusher.ErrUnavailable)
}

func (v view) Plan(ctx context.Context) (citronusher.Plan, uint64, error) {
	if err := v.call(ctx); err != nil {
		return citronusher.Plan{}, 0, err
	}
	v.world.mu.Lock()
	defer v.world.mu.Unlock()
	return v.world.plan, v.world.plan.Version, nil
}

func (v view) WaitForPlan(ctx context.Context, after uint64) (citronusher.Plan, bool, uint64, error) {
	if err := v.call(ctx); err != nil {
		return citronusher.Plan{}, false, after, err
	}
	v.world.mu.Lock()
	changed, plan := v.world.changed, v.world.plan
	v.world.mu.Unlock()
	if plan.Version <= after {
		select {
		case <-changed:
		case <-time.After(1600 * time.Millisecond):
		case <-ctx.Done():
		}
	}
	v.world.mu.Lock()
	defer v.world.mu.Unlock()
	if v.world.cut[v.name] {
		return citronusher.Plan{}, false, after, citronusher.ErrUnavailable
	}
	return v.world.plan, v.world.plan.Version > after, v.world.plan.Version, nil
}

func (v view) Members(ctx context.Context) ([]citronusher.MemberReport, error) {
	if err := v.call(ctx); err != nil {
		return nil, err
	}
	v.world.mu.Lock()
	defer v.world.mu.Unlock()
	return v.world.members, nil
}

func (v view) Instances(ctx context.Context) ([]citronusher.Instance, error) {
	if err := v.call(ctx); err != nil {
		return nil, err
	}
	v.world.mu.Lock()
	defer v.world.mu.Unlock()
	return v.world.instances, nil
}

func (v view) FetchUpdate(
	ctx context.Context, instance citronusher.Instance, known citronusher.PeerUpdateRequest,
) (citronusher.PeerUpdate, error) {
	v.world.mu.Lock()
	v.world.questions++
	silent, f := v.world.silent[instance.Name()], v.world.followers[instance.Name()]
	v.world.mu.Unlock()
	if silent || f == nil {
		<-ctx.Done()
		return citronusher.PeerUpdate{}, citronusher.ErrUnavailable
	}
	return f.AwaitUpdate(ctx, known), nil
}

func (v view) ReleaseLease(context.Context, citronusher.Instance, string, citronusher.Claim, uint64) error {
	return nil
}

func (v view) LeaseRenewalAge(context.Context, citronusher.Instance, string, uint64) (time.Duration, error) {
	return 0, citronusher.ErrNotFound
}

// start starts the followers of a fleet whose daemons are registered.
func (w *world) start(count int) {
	for i := range count {
		name := fmt.Sprintf("d%02d", i)
		w.instances = append(w.instances, citronusher.NewInstance(name, name, fmt.Sprintf("z%d", i%4), citronusher.InstanceLive))
	}
	for _, instance := range w.instances {
		v := view{world: w, name: instance.Name()}
		f := New(Config{
			Self: instance, Store: v, Peers: v, OnPlan: func(citronusher.Plan) {}, OnMembers: func([]citronusher.MemberReport) {},
			OnInstances: func([]citronusher.Instance) {}, OnRegistered: func() {}, Logger: slog.New(slog.DiscardHandler),
			Meter: meter.New(),
		})
		w.set(func() { w.followers[instance.Name()] = f })
	}
}

func (w *world) close(t *testing.T) {
	t.Helper()
	for _, f := range w.followers {
		if err := f.Close(); err != nil {
			t.Error(err)
		}
	}
}

// readers returns the names of the daemons that read the store.
func (w *world) readers() []string {
	var names []string
	for _, i := range w.instances {
		if readers(i, w.instances) == nil {
			names = append(names, i.Name())
		}
	}
	return names
}

// behind returns the daemons, the ones in except left out, that do not have the version in force.
func (w *world) behind(version uint64, except map[string]bool) []string {
	var names []string
	for name, f := range w.followers {
		if f.Plan().Version != version && !except[name] {
			names = append(names, name)
		}
	}
	return names
}

// TestFewRead plays a fleet of 82 daemons: three of them read the store, and a change is in force everywhere at once.
// (Found on kcg-hq-grown quiet-1: 5,986 calls to the store in 48 s, 0.094 of the day's worth.)
func TestFewRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		w.start(82)
		defer w.close(t)
		if got := w.readers(); len(got) != readerCount {
			t.Fatalf("readers %v", got)
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
		if late := w.behind(2, nil); len(late) > 0 {
			t.Errorf("not in force at %v", late)
		}
	})
}

// TestStaleReaderIsLeft cuts a reader off from the store, then changes the plan: the daemons that learn from it have the
// change in force within 3 s all the same.
func TestStaleReaderIsLeft(t *testing.T) {
	for _, fault := range []string{"cut", "silent"} {
		t.Run(fault, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld()
				w.start(40)
				defer w.close(t)
				time.Sleep(10 * time.Second)
				lost := w.readers()[0]
				w.set(func() {
					w.cut[lost] = true
					w.silent[lost] = fault == "silent"
				})
				w.setPlan(2)
				time.Sleep(2900 * time.Millisecond)
				if late := w.behind(2, map[string]bool{lost: true}); len(late) > 0 {
					t.Errorf("not in force at %v", late)
				}
			})
		})
	}
}

// TestWithoutReaders takes every reader away: the other daemons read the store themselves.
func TestWithoutReaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		w.start(20)
		defer w.close(t)
		time.Sleep(10 * time.Second)
		gone := map[string]bool{}
		for _, name := range w.readers() {
			gone[name] = true
		}
		w.set(func() { w.silent = gone })
		time.Sleep(8 * time.Second)
		w.setPlan(2)
		time.Sleep(2900 * time.Millisecond)
		if late := w.behind(2, gone); len(late) > 0 {
			t.Errorf("not in force at %v", late)
		}
	})
}

// TestMembersAreListedAgain keeps a fleet's members unchanged: daemons that learn from others still hear of them, so that
// a member that is missing is noticed after a while.
func TestMembersAreListedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		w.members = []citronusher.MemberReport{{ID: "m"}}
		w.start(20)
		defer w.close(t)
		time.Sleep(10 * time.Second)
		for name, f := range w.followers {
			f.mu.Lock()
			age := time.Since(f.listedAt)
			f.mu.Unlock()
			if age > memberPause+learnWait+learnLimit {
				t.Errorf("%s heard of its members %s ago", name, age)
			}
		}
	})
}

// TestWithoutMembers plays a store that lists no members at all, as after an outage in which every report expired: daemons
// that learn from others keep one question open each, as ever. (Found by reading: the empty list was never taken over, so
// that each answer came at once and each daemon asked 50 times a second.)
func TestWithoutMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		w.members = []citronusher.MemberReport{}
		w.start(20)
		defer w.close(t)
		time.Sleep(10 * time.Second)
		w.set(func() { w.questions = 0 })
		time.Sleep(12 * time.Second)
		w.mu.Lock()
		questions := w.questions
		w.mu.Unlock()
		if most := 20 * 12; questions > most {
			t.Errorf("%d questions between 20 daemons in 12 s, expected %d at most", questions, most)
		}
	})
}
