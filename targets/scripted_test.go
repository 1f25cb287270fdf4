package targets

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"time"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/events"
	"citronusher.example/citronusher/meter"
)

// scriptedMember is a member whose answers the test sets.
type scriptedMember struct {
	status citronusher.MemberStatus
	silent bool                      // it answers no status request
	run    func() citronusher.Answer // answers a statement
}

// scriptedMembers dials the members of a test by their IDs.
type scriptedMembers map[string]*scriptedMember

func (f scriptedMembers) Dial(_ citronusher.Instant, _, _, id string) (citronusher.MemberConn, error) {
	return &scriptedConn{member: f[id]}, nil
}

type scriptedConn struct{ member *scriptedMember }

func (c *scriptedConn) Run(_ citronusher.Instant, commands ...citronusher.Command) ([]citronusher.Answer, error) {
	answers := make([]citronusher.Answer, len(commands))
	for i := range answers {
		answers[i] = c.member.run()
	}
	return answers, nil
}

func (c *scriptedConn) Status(citronusher.Instant) (citronusher.MemberStatus, error) {
	if c.member.silent {
		return citronusher.MemberStatus{}, citronusher.NewNotRun(citronusher.ReasonFull, "busy")
	}
	return c.member.status, nil
}

func (c *scriptedConn) PauseReplication(deadline citronusher.Instant, _ uint64) (citronusher.MemberStatus, error) {
	return c.Status(deadline)
}

func (c *scriptedConn) Demote(deadline citronusher.Instant, _ uint64) (citronusher.MemberStatus, error) {
	return c.Status(deadline)
}

func (*scriptedConn) ResumeReplication(citronusher.Instant) error { return nil }
func (*scriptedConn) Open() bool                                  { return true }
func (*scriptedConn) Close() error                                { return nil }

// fakeStore is a store with a claim on the group.
type fakeStore struct {
	citronusher.Store
	claim citronusher.Claim
	err   error
}

func (s *fakeStore) ReadClaim(context.Context, string) (citronusher.Claim, error) {
	return s.claim, s.err
}

func (s *fakeStore) Members(context.Context) ([]citronusher.MemberReport, error) { return nil, s.err }

func (*fakeStore) Era() citronusher.StoreEra { return citronusher.StoreEra{} }

// fakePeers is the other daemons, which renewed their leases a time ago.
type fakePeers struct {
	citronusher.Peers
	age time.Duration
	err error
}

func (p *fakePeers) LeaseRenewalAge(context.Context, citronusher.Instance, string, uint64) (time.Duration, error) {
	return p.age, p.err
}

// fakeLog keeps the records of an event.
type fakeLog struct {
	mu      sync.Mutex
	records []slog.Record
}

func (*fakeLog) Enabled(context.Context, slog.Level) bool { return true }
func (f *fakeLog) WithAttrs([]slog.Attr) slog.Handler     { return f }
func (f *fakeLog) WithGroup(string) slog.Handler          { return f }

func (f *fakeLog) Handle(_ context.Context, r slog.Record) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.records = append(f.records, r)
	return nil
}

// of returns the attributes of the records of an event.
func (f *fakeLog) of(event events.Event) []map[string]any {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []map[string]any
	for _, r := range f.records {
		attributes := map[string]any{}
		r.Attrs(func(a slog.Attr) bool { attributes[a.Key] = a.Value.Any(); return true })
		if attributes["event"] == int64(event) {
			list = append(list, attributes)
		}
	}
	return list
}

// fakeGroup is a group with the members a, which is the primary of term 1, b and c, at a daemon that is registered and is
// not the group's lease renewer.
type fakeGroup struct {
	set     *Set
	timer   *fakeTimer
	members scriptedMembers
	store   *fakeStore
	peers   *fakePeers
	log     *fakeLog
}

func newFakeGroup(t testing.TB) *fakeGroup {
	t.Helper()
	f := &fakeGroup{
		timer: &fakeTimer{now: citronusher.Instant(0).Add(time.Hour)}, members: scriptedMembers{}, store: &fakeStore{},
		peers: &fakePeers{err: citronusher.ErrNotFound}, log: &fakeLog{},
	}
	f.set = New(Config{
		Self: "d1", Dialer: f.members, Clock: f.timer, Logger: slog.New(f.log), Meter: meter.New(), Store: f.store, Peers: f.peers,
		RefreshMembers: func() {},
	})
	for _, id := range []string{"a", "b", "c"} {
		status := citronusher.MemberStatus{Role: citronusher.RoleReplica, Term: 1}
		f.members[id] = &scriptedMember{status: status, run: func() citronusher.Answer { return citronusher.Answer{} }}
	}
	f.members["a"].status.Role = citronusher.RolePrimary
	f.set.SetInstances([]citronusher.Instance{citronusher.NewInstance("d2", "127.0.0.1:1", "z", citronusher.InstanceLive)})
	f.set.SetRegistered(instance("d1"))
	return f
}

// open opens the group, without the goroutine that watches it.
func (f *fakeGroup) open() *Group {
	g := newGroup(f.set, "g")
	f.set.mu.Lock()
	f.set.groups["g"] = g
	f.set.mu.Unlock()
	var reports []citronusher.MemberReport
	for id, m := range f.members {
		reports = append(reports, citronusher.MemberReport{ID: id, Group: "g", Role: m.status.Role, Slots: 2})
	}
	slices.SortFunc(reports, func(a, b citronusher.MemberReport) int { return int(a.ID[0]) - int(b.ID[0]) })
	g.configure(connectionShare{connections: 16, homes: 2, home: true}, reports, f.timer.now)
	return g
}

func (f *fakeGroup) advance(d time.Duration) { f.timer.now = f.timer.now.Add(d) }

// settle waits for the background work that was started.
func (f *fakeGroup) settle(t *testing.T) {
	t.Helper()
	if err := f.set.tasks.Wait(); err != nil {
		t.Error(err)
	}
}
