package targets

import (
	"sync"
	"time"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/events"
	"citronusher.example/citronusher/lease"
	"citronusher.example/citronusher/schedule"
)

// Group is this instance's view of one database group: its members and their connections, the queue of waiting requests
// and the lease for the primary.
type Group struct {
	set  *Set
	name string
	done chan struct{}

	mu                  sync.Mutex
	closed              bool
	members             map[string]*member
	lease               lease.Lease
	primary             string // member ID of the primary under the lease's term; empty while none is known
	history             lease.History
	answered            citronusher.Position // highest of the primary's answers in the term of the lease
	lostLog             bool                 // the primary of that term has started again without a part of its log
	queue               schedule.Queue
	waiting             map[*schedule.Ticket]chan grant
	changed             chan struct{}       // closed and replaced when the lease or the primary changes
	wakeLoopC           chan struct{}       // holds a token while the watch loop has to run a step at once
	primaryUsedAt       citronusher.Instant // when a request or another instance last needed the lease
	renewalSentAt       citronusher.Instant // when the request that last renewed the lease was sent
	peerAskedAt         citronusher.Instant // when the lease renewer was last queried
	renewing            bool                // a renewal is in progress
	nextRenewalAt       citronusher.Instant // when the next renewal may begin after one failed
	expiredAt           citronusher.Instant // when the expiry of the lease was last logged
	lateLoggedAt        citronusher.Instant // when a late answer of the primary was last logged
	primaryCheckedAt    citronusher.Instant // when a primary whose lease no replica renews was last checked
	discovering         bool                // a discovery of the primary is in progress
	discoveredAt        citronusher.Instant // when the last discovery began
	unavailableSince    citronusher.Instant // since when the primary is unavailable; 0 while it is available
	connectionRefused   bool                // the primary's machine refuses connections
	expectedBackAt      citronusher.Instant // when an unavailable primary is expected to be replaced
	promoting           bool                // this instance is carrying out a promotion
	earliestPromotionAt citronusher.Instant // earliest time of the next promotion
	earliestPlannedAt   citronusher.Instant // earliest time of the next planned promotion
	recordedEra         uint64              // era of the store in which the group was found claimed, or recorded as free
	highestTerm         uint64              // highest term reported by any member
	home                bool                // this instance is one of the group's homes
	requestedAt         citronusher.Instant // when the last request came
}

// grant is the result of waiting in the queue: a member, or the error of a rejected request.
type grant struct {
	member *member
	conn   *pooledConn // nil when one must be opened
	err    error
}

// newGroup returns a group without members. A release that was requested before this is not known to it, so that what was
// requested before begins no lease.
func newGroup(s *Set, name string) *Group {
	g := &Group{
		set: s, name: name, done: make(chan struct{}), members: map[string]*member{}, waiting: map[*schedule.Ticket]chan grant{},
		changed: make(chan struct{}), wakeLoopC: make(chan struct{}, 1),
	}
	g.lease.IgnoreBefore(g.now())
	return g
}

// connectionShare is how the connections to each member of a group are divided among instances.
type connectionShare struct {
	connections int  // connections that each member accepts from all instances together
	homes       int  // number of homes that share them
	home        bool // this instance is one of the homes
}

func (g *Group) now() citronusher.Instant { return g.set.config.Clock.Instant() }

// configure applies the members' latest reports, listed at reportsAt, and this instance's share of their connections. A
// member without a report is removed only after missingTimeout, and not if every report is missing, because reports expire
// while the platform's store is down.
func (g *Group) configure(
	share connectionShare, reports []citronusher.MemberReport, reportsAt citronusher.Instant,
) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.home = share.home
	now := g.now()
	listed := map[string]bool{}
	for _, report := range reports {
		listed[report.ID] = true
		g.applyReport(report, reportsAt, now)
		g.members[report.ID].setShare(share.connections, share.homes, share.home)
	}
	for id, m := range g.members {
		if listed[id] {
			m.missingSince = 0
			continue
		}
		if m.missingSince == 0 {
			m.missingSince = now
		}
		if now >= m.missingSince.Add(missingTimeout) && len(reports) > 0 {
			delete(g.members, id)
			closeAll(m.takeAll())
			events.Log(g.set.config.Logger, events.MemberRemoved, "group", g.name, "member", id)
			if id == g.primary {
				g.losePrimary(now)
			}
		}
	}
	g.dispatch(now)
	g.wakeLoop()
}

// applyReport applies one member's report, listed at listedAt. If the member restarted or has a new address, its
// connections are closed. The caller holds mu.
func (g *Group) applyReport(report citronusher.MemberReport, listedAt, now citronusher.Instant) {
	m := g.members[report.ID]
	restarted := m != nil && (m.report.BornMillis != report.BornMillis || m.report.Address != report.Address)
	if m == nil {
		m = newMember(report)
		m.stayedAt = listedAt
		g.members[report.ID] = m
		events.Log(g.set.config.Logger, events.MemberAdded, "group", g.name, "member", report.ID, "address", report.Address,
			"role", string(report.Role))
	}
	if restarted {
		closeAll(m.takeAll())
		m.downUntil, m.wrongMember = 0, false
	}
	if report.Leaving && m.leavingSince == 0 {
		m.leavingSince = now
		events.Log(g.set.config.Logger, events.MemberLeaving, "group", g.name, "member", report.ID, "age",
			now.Sub(m.stayedAt).Milliseconds())
	}
	if !report.Leaving {
		m.leavingSince, m.stayedAt = 0, listedAt
	}
	m.report = report
}

// losePrimary ends the lease on a primary that is no longer a member, so that another primary is looked for, and one is
// promoted when there is none. The caller holds mu.
func (g *Group) losePrimary(now citronusher.Instant) {
	g.endLease("primary was removed", now)
	g.primary = ""
	g.markUnavailable(now, false)
	g.notifyChanged()
}

func closeAll(conns []*pooledConn) {
	for _, c := range conns {
		closeConn(c)
	}
}

// closeConn closes a connection. It ignores an error, because the connection is not used again either way.
func closeConn(c *pooledConn) {
	if err := c.link.Close(); err != nil {
		return
	}
}

// wakeLoop makes the watch loop run a step at once. It does not block.
func (g *Group) wakeLoop() {
	select {
	case g.wakeLoopC <- struct{}{}:
	default:
	}
}

// notifyChanged signals a change of the lease or the primary to the goroutines that wait on changed. The caller holds
// mu.
func (g *Group) notifyChanged() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// dispatch grants a member to each queued request that can start now and rejects those whose deadline has passed. The
// caller holds mu.
func (g *Group) dispatch(now citronusher.Instant) {
	started, expired := g.queue.Dispatch(now, func() bool { return g.hasCapacity(now) }, func(
		t *schedule.Ticket,
	) (string, bool) {
		if t.Requirement().PrimaryOnly() && !g.memberHasCapacity(g.primary, now) {
			return "", false
		}
		chosen, ok := schedule.Choose(g.candidates(now, t.Requirement()), t.Requirement(), t)
		if ok {
			g.members[chosen.Name].reserve(t.Requirement().Pinned)
		}
		return chosen.Name, ok
	})
	for _, a := range started {
		m := g.members[a.Member]
		g.resolve(a.Ticket, grant{member: m, conn: m.takeIdle()})
	}
	hopeless := g.queue.RemoveHopeless(now, func(t *schedule.Ticket) bool {
		return schedule.Servable(g.candidates(now, t.Requirement()), t.Requirement())
	})
	for _, t := range append(expired, hopeless...) {
		g.resolve(t, grant{err: g.rejection(t, now)})
	}
}

// hasCapacity reports whether any member has capacity for another request. The caller holds mu.
func (g *Group) hasCapacity(now citronusher.Instant) bool {
	for id := range g.members {
		if g.memberHasCapacity(id, now) {
			return true
		}
	}
	return false
}

// memberHasCapacity reports whether a member has capacity for another request. The caller holds mu.
func (g *Group) memberHasCapacity(id string, now citronusher.Instant) bool {
	m, ok := g.members[id]
	return ok && m.candidate(now, schedule.Requirement{}, id == g.primary, false).HasCapacity()
}

// resolve passes the result to a waiting request, unless it has one already. The caller holds mu.
func (g *Group) resolve(t *schedule.Ticket, result grant) {
	if granted, ok := g.waiting[t]; ok {
		delete(g.waiting, t)
		granted <- result
	}
}

// rejection returns the failure of a request that did not start, with the delay after which to retry. The caller holds
// mu.
func (g *Group) rejection(t *schedule.Ticket, now citronusher.Instant) *citronusher.Failure {
	if t.Requirement().PrimaryOnly() && !g.usablePrimary(now) {
		retryAfter := max(minRetryDelay, g.expectedBackAt.Sub(now)).Round(minRetryDelay)
		return citronusher.NewNotRun(citronusher.ReasonPrimary, "group %s has no usable primary now; try again in %d ms", g.name,
			retryAfter.Milliseconds()).WithRetryAfter(retryAfter)
	}
	if !schedule.Servable(g.candidates(now, t.Requirement()), t.Requirement()) {
		return citronusher.NewNotRun(citronusher.ReasonConnect, "no member of group %s can serve now; try again in %d ms", g.name,
			minRetryDelay.Milliseconds()).WithRetryAfter(minRetryDelay)
	}
	retryAfter := max(minRetryDelay, g.queue.RetryDelay(t, now))
	return citronusher.NewNotRun(citronusher.ReasonQueue, "the members of group %s are busy; try again in %d ms", g.name,
		retryAfter.Milliseconds()).WithRetryAfter(retryAfter)
}

// candidates returns the members among which one is chosen for a request. It omits the primary unless the lease is valid
// and, while no primary is known, a member that reports to be the primary. The caller holds mu.
func (g *Group) candidates(now citronusher.Instant, requirement schedule.Requirement) []schedule.Candidate {
	valid := g.lease.Valid(now)
	list := make([]schedule.Candidate, 0, len(g.members))
	for id, m := range g.members {
		primary := id == g.primary
		if primary && !valid {
			continue
		}
		if !primary && m.report.Role == citronusher.RolePrimary && g.primary == "" {
			continue
		}
		list = append(list, m.candidate(now, requirement, primary, m.report.Domain == g.set.config.Domain))
	}
	return list
}

// ReadRequirement returns what a read of the route requires of a member, for a request that arrived at arrivedAt and a
// session whose last write is at sessionPosition.
func (g *Group) ReadRequirement(
	route citronusher.Route, sessionPosition citronusher.Position, arrivedAt citronusher.Instant,
) schedule.Requirement {
	if route.Consistency == citronusher.ConsistencyPrimary {
		return schedule.Requirement{Primary: true}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	position, known := g.history.FirstSince(arrivedAt.Add(-route.Age))
	if route.Consistency == citronusher.ConsistencySession && g.lease.Term() == sessionPosition.Term() {
		position = position.Max(sessionPosition)
	}
	if route.Consistency == citronusher.ConsistencySession && sessionPosition.Term() > g.lease.Term() {
		known = false
	}
	return schedule.Requirement{MinPosition: position, PositionKnown: known}
}

// close rejects the waiting requests, stops the watch loop and closes every connection.
func (g *Group) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return
	}
	g.closed = true
	close(g.done)
	for t := range g.waiting {
		g.resolve(t, grant{err: citronusher.NewNotRun(citronusher.ReasonHome, "the group is no longer served by this instance")})
	}
	for _, m := range g.members {
		closeAll(m.takeAll())
	}
	g.notifyChanged()
}

// Ready reports whether this instance knows the group's primary and holds a valid lease for it.
func (g *Group) Ready() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.primary != "" && g.lease.Valid(g.now())
}

const (
	watchInterval = 50 * time.Millisecond  // between steps of the watch loop
	minRetryDelay = 100 * time.Millisecond // shortest retry delay returned with a rejection
)
