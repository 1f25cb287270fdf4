package targets

import (
	"sync"
	"time"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/events"
	"citronusher.example/citronusher/lease"
	"citronusher.example/citronusher/schedule"
)

// Group is one database group at this daemon.
type Group struct {
	set  *Set
	name string
	done chan struct{}

	mu        sync.Mutex
	closed    bool
	members   map[string]*member
	right     lease.Lease
	primary   string // under the right's term
	window    lease.History
	queue     schedule.Queue
	waits     map[*schedule.Ticket]chan grant
	changed   chan struct{} // closed when the right or the primary changes
	kicked    chan struct{} // holds a token while the watch has something to do at once
	usedAt    citronusher.Instant
	renewAt   citronusher.Instant // when the last renewal was asked for
	sharedAt  citronusher.Instant // when another daemon was asked for its renewal last
	renewing  bool
	expiredAt citronusher.Instant // when it was last logged that the right expired
	looking   bool
	lookedAt  citronusher.Instant
	lostAt    citronusher.Instant // since when the primary is not reachable; 0 while it is
	refused   bool                // the primary's machine refuses connections
	backAt    citronusher.Instant // when a primary that is lost is expected to be replaced
	moving    bool                // this daemon carries out a promotion
	deferred  citronusher.Instant // no promotion is begun before
	highest   uint64              // the highest term that any member told
	home      bool                // this daemon is one of the group's homes
	wantedAt  citronusher.Instant // when a request last came
}

// grant answers a waiting request.
type grant struct {
	member *member
	conn   *pooledConn // nil when one must be opened
	err    error
}

func newGroup(s *Set, name string) *Group {
	return &Group{
		set: s, name: name, done: make(chan struct{}), members: map[string]*member{}, waits: map[*schedule.Ticket]chan grant{},
		changed: make(chan struct{}), kicked: make(chan struct{}, 1),
	}
}

// share says how the connections of a group's members are divided.
type share struct {
	connections int  // that each member takes from all daemons together
	homes       int  // that divide them
	home        bool // this daemon is one of them
}

func (g *Group) now() citronusher.Instant { return g.set.config.Clock.Instant() }

// configure takes the members' reports and divides their connections among the homes. A member that lists lack is
// kept for a while: reports expire while the platform's store is down.
func (g *Group) configure(s share, reports []citronusher.MemberReport) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.home = s.home
	now := g.now()
	seen := map[string]bool{}
	for _, report := range reports {
		seen[report.ID] = true
		g.takeReport(report, now)
		g.members[report.ID].setShare(s.connections, s.homes, s.home)
	}
	for id, m := range g.members {
		if seen[id] {
			m.missingSince = 0
			continue
		}
		if m.missingSince == 0 {
			m.missingSince = now
		}
		if now >= m.missingSince.Add(missingSpan) && len(reports) > 0 {
			delete(g.members, id)
			closeAll(m.takeAll())
			events.Log(g.set.config.Logger, events.MemberRemoved, "group", g.name, "member", id)
		}
	}
	g.dispatch(now)
	g.kick()
}

// takeReport records one member's report. The caller holds mu.
func (g *Group) takeReport(report citronusher.MemberReport, now citronusher.Instant) {
	m := g.members[report.ID]
	restarted := m != nil && (m.report.BornMillis != report.BornMillis || m.report.Address != report.Address)
	if m == nil {
		m = newMember(report)
		g.members[report.ID] = m
		events.Log(g.set.config.Logger, events.MemberAdded, "group", g.name, "member", report.ID, "address", report.Address,
			"role", string(report.Role))
	}
	if restarted {
		closeAll(m.takeAll())
		m.downUntil, m.replaced = 0, false
	}
	if report.Leaving && m.leavingSince == 0 {
		m.leavingSince = now
		events.Log(g.set.config.Logger, events.MemberLeaving, "group", g.name, "member", report.ID)
	}
	if !report.Leaving {
		m.leavingSince = 0
	}
	m.report = report
}

func closeAll(conns []*pooledConn) {
	for _, c := range conns {
		closeConn(c)
	}
}

// closeConn closes a connection. Nothing can be done about a failure: the connection is gone either way.
func closeConn(c *pooledConn) {
	if err := c.link.Close(); err != nil {
		return
	}
}

// kick makes the watch look at once.
func (g *Group) kick() {
	select {
	case g.kicked <- struct{}{}:
	default:
	}
}

// wake signals a change of the right or the primary. The caller holds mu.
func (g *Group) wake() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// dispatch starts the waiting requests that can start. The caller holds mu.
func (g *Group) dispatch(now citronusher.Instant) {
	started, expired := g.queue.Dispatch(now, func() bool { return g.room(now) }, func(t *schedule.Ticket) (string, bool) {
		if g.needsPrimary(t) && !g.roomAt(g.primary, now) {
			return "", false
		}
		chosen, ok := schedule.Choose(g.candidates(now, t.Requirement()), t.Requirement(), t)
		if ok {
			g.members[chosen.Name].take(t.Requirement().Pinned)
		}
		return chosen.Name, ok
	})
	for _, a := range started {
		m := g.members[a.Member]
		g.answer(a.Ticket, grant{member: m, conn: m.takeIdle()})
	}
	for _, t := range expired {
		g.answer(t, grant{err: g.refuse(t, now)})
	}
}

// room reports whether any member can take another request. The caller holds mu.
func (g *Group) room(now citronusher.Instant) bool {
	for id := range g.members {
		if g.roomAt(id, now) {
			return true
		}
	}
	return false
}

// roomAt reports whether a member can take another request. The caller holds mu.
func (g *Group) roomAt(id string, now citronusher.Instant) bool {
	m, ok := g.members[id]
	return ok && m.candidate(now, schedule.Requirement{}, id == g.primary, false).HasCapacity()
}

// answer gives a waiting request its grant. The caller holds mu.
func (g *Group) answer(t *schedule.Ticket, result grant) {
	if wait, ok := g.waits[t]; ok {
		delete(g.waits, t)
		wait <- result
	}
}

// refuse says why a request did not start, and when to come back. The caller holds mu.
func (g *Group) refuse(t *schedule.Ticket, now citronusher.Instant) *citronusher.Failure {
	if g.needsPrimary(t) && !g.usablePrimary(now) {
		back := max(backLeast, g.backAt.Sub(now)).Round(backLeast)
		return citronusher.NewNotRun(citronusher.ReasonPrimary, "group %s has no usable primary now; try again in %d ms", g.name,
			back.Milliseconds()).WithRetryAfter(back)
	}
	if !schedule.Servable(g.candidates(now, t.Requirement()), t.Requirement()) {
		return citronusher.NewNotRun(citronusher.ReasonConnect, "no member of group %s can serve now; try again in %d ms", g.name,
			backLeast.Milliseconds()).WithRetryAfter(backLeast)
	}
	return citronusher.NewNotRun(citronusher.ReasonQueue, "the members of group %s are busy; try again in %d ms", g.name,
		backLeast.Milliseconds()).WithRetryAfter(backLeast)
}

// candidates describes the members for the choice. The caller holds mu.
func (g *Group) candidates(now citronusher.Instant, need schedule.Requirement) []schedule.Candidate {
	valid := g.right.Valid(now)
	list := make([]schedule.Candidate, 0, len(g.members))
	for id, m := range g.members {
		primary := id == g.primary
		if primary && !valid {
			continue
		}
		if !primary && m.report.Role == citronusher.RolePrimary && g.primary == "" {
			continue
		}
		list = append(list, m.candidate(now, need, primary, m.report.Domain == g.set.config.Domain))
	}
	return list
}

// ReadRequirement returns what a read of the route asks of a member, for a session that has written up to seen and a request that
// arrived at arrived.
func (g *Group) ReadRequirement(route citronusher.Route, seen citronusher.Position, arrived citronusher.Instant) schedule.Requirement {
	if route.Consistency == citronusher.ConsistencyPrimary {
		return schedule.Requirement{Primary: true}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	position, known := g.window.FirstSince(arrived.Add(-route.Age))
	if route.Consistency == citronusher.ConsistencySession && g.right.Term() == seen.Term() {
		position = position.Max(seen)
	}
	if route.Consistency == citronusher.ConsistencySession && seen.Term() > g.right.Term() {
		known = false
	}
	return schedule.Requirement{MinPosition: position, PositionKnown: known}
}

// close refuses the waiting requests and closes every connection.
func (g *Group) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return
	}
	g.closed = true
	close(g.done)
	for t := range g.waits {
		g.answer(t, grant{err: citronusher.NewNotRun(citronusher.ReasonHome, "the group is no longer served here")})
	}
	for _, m := range g.members {
		closeAll(m.takeAll())
	}
	g.wake()
}

// Ready reports whether the daemon knows the group's primary.
func (g *Group) Ready() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.primary != "" && g.right.Valid(g.now())
}

const (
	groupTick = 50 * time.Millisecond
	backLeast = 100 * time.Millisecond // the least time after which a refused caller is told to come back
)
