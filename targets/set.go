// Package targets holds the connections to the members of database groups: it gives requests a connection to the
// right member, keeps the right to use each group's primary, notices members that stopped answering and promotes
// another primary.
//
// What goes next and where is decided by package schedule, whether the primary may be used by package lease, and how a
// promotion goes by package promotion.
package targets

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/meter"
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
	// RefreshMembers asks for the members' newest reports, soon.
	RefreshMembers func()
	// Clock gives the time.
	Clock citronusher.MonotonicClock
	// Logger receives the events.
	Logger *slog.Logger
	// Meter counts.
	Meter *meter.Meter
}

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
	known   bool // the other daemons can find this one, and ask it to give rights up

	homes homes // has its own mutex; read while a group's mutex is held
}

// New returns a set without groups.
func New(config Config) *Set {
	ctx, cancel := context.WithCancel(context.Background())
	return &Set{config: config, ctx: ctx, cancel: cancel, groups: map[string]*Group{}}
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

// SetInstances takes the daemons that share the members' connections.
func (s *Set) SetInstances(list []citronusher.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.homes.set(list)
	s.update()
}

// prober returns the daemon that renews the right to a group for the others, and whether that is another one than this.
func (s *Set) prober(group string) (citronusher.Instance, bool) {
	first, ok := s.homes.first(group)
	return first, ok && first.Name() != s.config.Self
}

// LeaseRenewalAge tells another daemon how long ago a replica was asked that renewed the right to a group's primary of a term.
func (s *Set) LeaseRenewalAge(group string, term uint64) (time.Duration, bool) {
	g := s.find(group)
	if g == nil {
		return 0, false
	}
	return g.renewed(term)
}

// SetRegistered allows rights to be used: the daemon is registered, so that whoever promotes a member asks it first.
func (s *Set) SetRegistered() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.known = true
}

func (s *Set) isKnown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.known
}

// ReleaseLease gives up the right to the primary of a group up to a term.
func (s *Set) ReleaseLease(group string, term uint64) {
	if g := s.find(group); g != nil {
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
		part := s.share(plan)
		if s.groups[name] != nil || part.home {
			s.open(name).configure(part, byGroup[name])
		}
	}
	for name, g := range s.groups {
		if _, ok := s.plan.Groups[name]; !ok {
			delete(s.groups, name)
			g.close()
		}
	}
}

// share returns this daemon's part in a group.
func (s *Set) share(plan citronusher.GroupPlan) share {
	list, count := s.homes.of(plan.Name, plan.Connections)
	mine := slices.ContainsFunc(list[:min(count, len(list))], func(i citronusher.Instance) bool {
		return i.Name() == s.config.Self
	})
	return share{connections: plan.Connections, homes: count, home: mine}
}

// open returns the group called name, which is served from now on. The caller holds mu.
func (s *Set) open(name string) *Group {
	g := s.groups[name]
	if g == nil {
		g = newGroup(s, name)
		s.groups[name] = g
		s.tasks.Go(func() error { g.watch(); return nil })
	}
	return g
}

// drop stops serving a group that this daemon is no home of and that nobody has used for a while.
func (s *Set) drop(g *Group) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.groups[g.name] == g {
		delete(s.groups, g.name)
	}
	g.close()
}

// find returns the group called name if it is served here, and nil otherwise.
func (s *Set) find(name string) *Group {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.groups[name]
}

// Group returns the group called name, if the plan has it. One that this daemon is no home of is served for as long as
// it is used: another daemon's view of the homes may differ.
func (s *Set) Group(name string) (*Group, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if g := s.groups[name]; g != nil {
		return g, true
	}
	plan, ok := s.plan.Groups[name]
	if !ok || s.ctx.Err() != nil {
		return nil, false
	}
	reports := slices.DeleteFunc(slices.Clone(s.reports), func(r citronusher.MemberReport) bool { return r.Group != name })
	g := s.open(name)
	g.wanted()
	g.configure(s.share(plan), reports)
	return g, true
}

// Homes returns daemons for a group, the best first, and how many of them are its homes. There is none while the
// daemons are not known.
func (s *Set) Homes(group string) ([]citronusher.Instance, int) {
	s.mu.Lock()
	connections := s.plan.Groups[group].Connections
	s.mu.Unlock()
	return s.homes.of(group, connections)
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

// Ready reports whether the daemons are known, and the primary of every group that this one is a home of.
func (s *Set) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.homes.known() {
		return false
	}
	for _, g := range s.groups {
		if !g.Ready() {
			return false
		}
	}
	return len(s.plan.Groups) > 0
}

// UpdateGauges brings the gauges of queues, connections and rights up to date.
func (s *Set) UpdateGauges() {
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
	s.config.Meter.Leases().Update(rights)
	s.config.Meter.Term().Update(term)
}
