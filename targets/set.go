// Package targets manages the connections to the members of database groups. It gives each request a connection to a
// suitable member, renews the lease for each group's primary, detects members that stopped answering and promotes a
// replica when the primary is down or leaving.
//
// Package schedule decides which request starts next and at which member, package lease whether the primary may be used,
// and package promotion when and how a primary is replaced.
package targets

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/guard"
	"citronusher.example/citronusher/meter"
)

// Config holds the dependencies of a Set.
type Config struct {
	// Self is this instance's name and Domain its failure domain.
	Self, Domain string
	// Dialer opens connections to members.
	Dialer citronusher.MemberDialer
	// Store keeps the claims on groups, and lists members and instances.
	Store citronusher.Store
	// Peers sends requests to the other instances.
	Peers citronusher.Peers
	// Promoter requests promotions from the platform.
	Promoter citronusher.Promoter
	// RefreshMembers requests that the members' reports are read again soon.
	RefreshMembers func()
	// Clock returns the current instant, from which deadlines are computed.
	Clock citronusher.MonotonicClock
	// Logger receives a record of each change of members, leases and primaries.
	Logger *slog.Logger
	// Meter receives the counters, latencies and gauges.
	Meter *meter.Meter
}

// Set holds the groups that this instance serves.
type Set struct {
	config Config
	ctx    context.Context
	cancel context.CancelFunc
	tasks  errgroup.Group
	holder string // names this process in claims: a promotion that an earlier one requested may still take effect

	mu        sync.Mutex
	groups    map[string]*Group
	plan      citronusher.Plan
	reports   []citronusher.MemberReport
	reportsAt citronusher.Instant // when reports were read from the store

	self       atomic.Pointer[citronusher.Instance] // as it was registered; nil before
	registered atomic.Bool                          // the other instances can find this one and ask it to release leases

	homes homes // has its own mutex; read while a group's mutex is held
}

// New returns a Set without groups. It serves the groups of the plan passed to Apply, until Close.
func New(config Config) *Set {
	ctx, cancel := context.WithCancel(context.Background())
	holder := fmt.Sprintf("%s/%x", config.Self, rand.Uint64()) //nolint:gosec // need not be secret
	return &Set{config: config, ctx: ctx, cancel: cancel, holder: holder, groups: map[string]*Group{}}
}

// Apply replaces the plan: it opens, reconfigures and closes groups accordingly.
func (s *Set) Apply(plan citronusher.Plan) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.plan = plan
	s.update()
}

// SetMembers replaces the members' reports. Those that fail Validate are ignored: a peer with another version of the daemon
// may have sent them.
func (s *Set) SetMembers(reports []citronusher.MemberReport, listedAt citronusher.Instant) {
	valid := slices.DeleteFunc(slices.Clone(reports), func(r citronusher.MemberReport) bool { return r.Validate() != nil })
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reportsAt = listedAt
	s.reports = valid
	s.update()
}

// SetInstances replaces the list of instances, which share the members' connections.
func (s *Set) SetInstances(list []citronusher.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.homes.setInstances(list)
	s.update()
}

// leaseRenewer returns the instance that renews the lease for a group at a replica, on behalf of the others: the
// group's first home. It returns false if that is this instance or if the instances are not known.
func (s *Set) leaseRenewer(group string) (citronusher.Instance, bool) {
	first, ok := s.homes.first(group)
	return first, ok && first.Name() != s.config.Self
}

// LeaseRenewalAge returns the time since the request that last renewed this instance's lease for a group's primary of a
// term was sent to a replica. It returns false without a valid lease of that term.
func (s *Set) LeaseRenewalAge(group string, term uint64) (time.Duration, bool) {
	g := s.find(group)
	if g == nil {
		return 0, false
	}
	return g.leaseRenewalAge(term)
}

// SetRegistered records that this instance is registered in the store as self, which allows it to use leases: before a
// promotion, all registered instances are requested to release theirs. A promotion that began before may not have asked this
// one, so that what was requested before begins no lease.
func (s *Set) SetRegistered(self citronusher.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.registered.Load() {
		return
	}
	for _, g := range s.groups {
		g.ignoreBefore(g.now())
	}
	s.self.Store(&self)
	s.registered.Store(true)
}

// isSelf reports whether a listed instance is this process. One of its name at another address is an earlier or a later
// process, which may run.
func (s *Set) isSelf(instance citronusher.Instance) bool {
	self := s.self.Load()
	return self != nil && self.SameDaemon(instance)
}

// SetUnregistered records that this instance may no longer be registered in the store. Its leases end, and none begins
// before SetRegistered is called again.
func (s *Set) SetUnregistered() {
	s.registered.Store(false)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range s.groups {
		g.releaseLease(math.MaxUint64)
	}
}

// ReleaseLease releases the lease for the primary of a group if it is of the given term or an older one.
func (s *Set) ReleaseLease(group string, term uint64) {
	if g := s.find(group); g != nil {
		g.releaseLease(term)
	}
}

// update applies the plan, the members' reports and the homes to the groups. The caller holds mu.
func (s *Set) update() {
	byGroup := map[string][]citronusher.MemberReport{}
	for _, report := range s.reports {
		byGroup[report.Group] = append(byGroup[report.Group], report)
	}
	for name, plan := range s.plan.Groups {
		share := s.shareOf(plan)
		if s.groups[name] != nil || share.home {
			s.openGroup(name).configure(share, byGroup[name], s.reportsAt)
		}
	}
	for name, g := range s.groups {
		if _, ok := s.plan.Groups[name]; !ok {
			delete(s.groups, name)
			g.close()
		}
	}
}

// shareOf returns how the connections to a group's members are divided.
func (s *Set) shareOf(plan citronusher.GroupPlan) connectionShare {
	list, count := s.homes.rankedFor(plan.Name, plan.Connections)
	isHome := slices.ContainsFunc(list[:min(count, len(list))], func(i citronusher.Instance) bool {
		return i.Name() == s.config.Self
	})
	return connectionShare{connections: plan.Connections, homes: count, home: isHome}
}

// openGroup returns the group called name and starts to serve it if needed. The caller holds mu.
func (s *Set) openGroup(name string) *Group {
	g := s.groups[name]
	if g == nil {
		g = newGroup(s, name)
		s.groups[name] = g
		s.tasks.Go(func() error {
			guard.Run(s.config.Logger, "group "+name, g.watch)
			return nil
		})
	}
	return g
}

// remove stops serving a group that is unused and of which this instance is not a home.
func (s *Set) remove(g *Group) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.groups[g.name] == g {
		delete(s.groups, g.name)
	}
	g.close()
}

// find returns the group called name, or nil if this instance does not serve it.
func (s *Set) find(name string) *Group {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.groups[name]
}

// Group returns the group called name. It returns false if the plan lacks the group or the Set is closed. A group of
// which this instance is not a home is served for as long as it is used, because another instance may see other homes.
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
	g := s.openGroup(name)
	g.recordUse()
	g.configure(s.shareOf(plan), reports, s.reportsAt)
	return g, true
}

// Homes returns the instances that may serve a group, best first, and how many of them are its homes; the others are
// substitutes. The list is empty while the instances are not known.
func (s *Set) Homes(group string) ([]citronusher.Instance, int) {
	s.mu.Lock()
	connections := s.plan.Groups[group].Connections
	s.mu.Unlock()
	return s.homes.rankedFor(group, connections)
}

// Close closes every group and its connections and waits for the background goroutines.
func (s *Set) Close() error {
	s.cancel()
	s.mu.Lock()
	for _, g := range s.groups {
		g.close()
	}
	s.mu.Unlock()
	return s.tasks.Wait()
}

// Ready reports whether the instances are known, the plan has groups and every group served has a known primary with a
// valid lease.
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

// UpdateGauges updates the gauges of queued requests, connections, leases and the highest term.
func (s *Set) UpdateGauges() {
	s.mu.Lock()
	defer s.mu.Unlock()
	var queued, connections, rights, term int64
	for _, g := range s.groups {
		g.mu.Lock()
		queued += int64(g.queue.Len())
		for _, m := range g.members {
			connections += int64(len(m.conns))
		}
		if g.lease.Valid(g.now()) {
			rights++
		}
		term = max(term, int64(g.lease.Term())) //nolint:gosec // terms stay far below the int64 limit
		g.mu.Unlock()
	}
	s.config.Meter.Queued().Update(queued)
	s.config.Meter.Connections().Update(connections)
	s.config.Meter.Leases().Update(rights)
	s.config.Meter.Term().Update(term)
}
