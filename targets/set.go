// Package targets holds the connections to the members of database groups: it gives requests a connection to the
// right member, keeps the right to use each group's primary, notices members that stopped answering and promotes
// another primary.
//
// What goes next and where is decided by package place, whether the primary may be used by package right, and how a
// promotion goes by package succession.
package targets

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/meter"
	"citronusher.example/citronusher/route"
)

// Config holds what the targets need from their daemon.
type Config struct {
	// Self is the daemon's name and Domain its failure domain.
	Self, Domain string
	// Dialer opens connections to members.
	Dialer citronusher.MemberDialer
	// Store keeps the claims of promotions.
	Store citronusher.Store
	// Peers reaches the other daemons.
	Peers citronusher.Peers
	// Promoter orders promotions.
	Promoter citronusher.Promoter
	// Refresh asks for the members' newest reports, soon.
	Refresh func()
	// Timer gives the time.
	Timer citronusher.Timer
	// Logger receives the events.
	Logger *slog.Logger
	// Meter counts.
	Meter *meter.Meter
}

// daemonsUnknown is how many daemons share the connections while their number is not known.
const daemonsUnknown = 8

// Set is every group that the daemon serves.
type Set struct {
	config Config
	ctx    context.Context
	cancel context.CancelFunc
	tasks  errgroup.Group

	mu      sync.Mutex
	groups  map[string]*Group
	plan    citronusher.Plan
	reports []citronusher.MemberReport
	daemons int

	list  atomic.Pointer[[]citronusher.Instance] // the daemons; read while a group's mutex is held
	known bool                                   // the other daemons can find this one, and ask it to give rights up
}

// New returns a set without groups.
func New(config Config) *Set {
	ctx, cancel := context.WithCancel(context.Background())
	return &Set{config: config, ctx: ctx, cancel: cancel, groups: map[string]*Group{}, daemons: daemonsUnknown}
}

// Apply puts a plan in force.
func (s *Set) Apply(plan citronusher.Plan) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.plan = plan
	s.update()
}

// SetMembers takes the members' newest reports.
func (s *Set) SetMembers(reports []citronusher.MemberReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reports = reports
	s.update()
}

// SetDaemons takes the daemons that share the members' connections.
func (s *Set) SetDaemons(list []citronusher.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.daemons = max(1, len(list))
	s.list.Store(&list)
	s.update()
}

// prober returns the daemon that renews the right to a group for the others, and whether that is another one than this.
func (s *Set) prober(group string) (citronusher.Instance, bool) {
	list := s.list.Load()
	if list == nil {
		return citronusher.Instance{}, false
	}
	first := route.Homes(group, *list, 1)
	if len(first) == 0 || first[0].Name() == s.config.Self {
		return citronusher.Instance{}, false
	}
	return first[0], true
}

// Renewed tells another daemon how long ago a replica was asked that renewed the right to a group's primary of a term.
func (s *Set) Renewed(group string, term uint64) (time.Duration, bool) {
	g, ok := s.Group(group)
	if !ok {
		return 0, false
	}
	return g.renewed(term)
}

// SetKnown allows rights to be used: the daemon is registered, so that whoever promotes a member asks it first.
func (s *Set) SetKnown() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.known = true
}

func (s *Set) isKnown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.known
}

// Yield gives up the right to the primary of a group up to a term.
func (s *Set) Yield(group string, term uint64) {
	if g, ok := s.Group(group); ok {
		g.yield(term)
	}
}

// update brings the groups in line with the plan and the reports. The caller holds mu.
func (s *Set) update() {
	byGroup := map[string][]citronusher.MemberReport{}
	for _, report := range s.reports {
		byGroup[report.Group] = append(byGroup[report.Group], report)
	}
	for name, plan := range s.plan.Groups {
		g := s.groups[name]
		if g == nil {
			g = newGroup(s, name)
			s.groups[name] = g
			s.tasks.Go(func() error { g.watch(); return nil })
		}
		g.configure(plan.Connections, s.daemons, byGroup[name])
	}
	for name, g := range s.groups {
		if _, ok := s.plan.Groups[name]; !ok {
			delete(s.groups, name)
			g.close()
		}
	}
}

// Group returns the group called name.
func (s *Set) Group(name string) (*Group, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g, ok := s.groups[name]
	return g, ok
}

// Close closes every connection and waits for what runs in the background.
func (s *Set) Close() error {
	s.cancel()
	s.mu.Lock()
	for _, g := range s.groups {
		g.close()
	}
	s.mu.Unlock()
	return s.tasks.Wait()
}

// Ready reports whether the primary of every group is known.
func (s *Set) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range s.groups {
		if !g.Ready() {
			return false
		}
	}
	return len(s.groups) > 0
}

// Gauge brings the gauges of queues, connections and rights up to date.
func (s *Set) Gauge() {
	s.mu.Lock()
	defer s.mu.Unlock()
	var queued, connections, rights, term int64
	for _, g := range s.groups {
		g.mu.Lock()
		queued += int64(g.queue.Len())
		for _, m := range g.members {
			connections += int64(len(m.open))
		}
		if g.right.Valid(g.now()) {
			rights++
		}
		term = max(term, int64(g.right.Term())) //nolint:gosec // terms are small
		g.mu.Unlock()
	}
	s.config.Meter.Queued().Update(queued)
	s.config.Meter.Connections().Update(connections)
	s.config.Meter.Rights().Update(rights)
	s.config.Meter.Term().Update(term)
}
