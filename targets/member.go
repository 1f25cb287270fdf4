package targets

import (
	"time"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/schedule"
)

const (
	dialTimeout     = 400 * time.Millisecond  // timeout of opening a connection
	idleTimeout     = 600 * time.Millisecond  // after which idle connections beyond minIdleConns are closed
	minBehindDelay  = 40 * time.Millisecond   // before a replica that lagged behind gets another read at that position
	maxBehindDelay  = 320 * time.Millisecond  // the same, after it has lagged behind several times in a row
	fullBackoff     = 400 * time.Millisecond  // before another connection to a member that is out of connections is tried
	downBackoff     = 500 * time.Millisecond  // before a member that did not answer is tried again
	leavingTimeout  = 3500 * time.Millisecond // how long a leaving primary may still be used after a list first showed that
	stayedTimeout   = 6500 * time.Millisecond // the same, after a list last showed that it stays
	missingTimeout  = 2500 * time.Millisecond // after which a member that the lists lack is removed
	reservedDivisor = 3                       // one part in so many of the connections is kept free for restarted instances
	minShare        = 2                       // connections per member that a home has at least, if there are that many
)

// pooledConn is an open connection to a member with its session state.
type pooledConn struct {
	link      citronusher.MemberConn
	state     *SessionState
	openedAt  citronusher.Instant // when the member had accepted it
	sentAt    citronusher.Instant // when the running statement was sent; 0 when none runs
	idleSince citronusher.Instant
}

// member is this instance's state of one group member. It is guarded by the group's mutex.
type member struct {
	report        citronusher.MemberReport
	idle          []*pooledConn
	conns         map[*pooledConn]struct{} // idle and busy ones
	inUse         int                      // connections that requests hold or are opening
	pinned        int                      // those of them that transactions hold
	inTransaction int                      // running statements of this instance inside transactions
	running       int                      // all running statements of this instance
	maxConns      int                      // connections that this instance may have
	window        schedule.Window

	runningSince   citronusher.Instant  // since when the member's process is known to run without a restart
	runningUntil   citronusher.Instant  // until when it is known to have run
	lastResponseAt citronusher.Instant  // when the member last answered
	downUntil      citronusher.Instant  // until when no request is sent to the member after a failure
	fullUntil      citronusher.Instant  // until when no further connection to the member is opened
	behindUntil    citronusher.Instant  // until when reads at behindPosition or later are not sent to the member
	behindDelay    time.Duration        // length of the period that ends at behindUntil
	behindPosition citronusher.Position // lowest position that the member was found to lack
	position       citronusher.Position // last log position that the member reported
	leavingSince   citronusher.Instant  // since when the member reports to be leaving; 0 while it does not
	stayedAt       citronusher.Instant  // when it last did not; it may be leaving from then on
	missingSince   citronusher.Instant  // since when member lists lack the member; 0 while they have it
	wrongMember    bool                 // another member answers at its address
	down           bool                 // the member has not answered since the last failure
	probing        bool                 // a probe is in progress
	prewarming     bool                 // a connection is being opened ahead of need
}

func newMember(report citronusher.MemberReport) *member {
	return &member{report: report, conns: map[*pooledConn]struct{}{}}
}

// setShare sets how many connections to the member this instance may have: an equal part of those that the homes share.
// A third of all connections stays free, because the connections of instances that lost power stay open at the member
// for a while and the restarted instances need new ones at once. An instance that is not a home uses one of that third.
func (m *member) setShare(connections, homes int, home bool) {
	if !home {
		m.maxConns = 1
		return
	}
	homes = max(1, homes)
	m.maxConns = max(minShare, (connections-connections/reservedDivisor)/homes)
	m.maxConns = min(m.maxConns, max(1, connections/homes))
}

// observeRunning records that the member answered a request that was sent at sentAt on a connection opened at openedAt. The
// same process accepted and answered it. It is the one that was known before if that one ran when the connection was
// opened.
func (m *member) observeRunning(openedAt, sentAt citronusher.Instant) {
	switch {
	case openedAt > m.runningUntil:
		m.runningSince, m.runningUntil = openedAt, sentAt
	case sentAt >= m.runningSince:
		m.runningSince = min(m.runningSince, openedAt)
		m.runningUntil = max(m.runningUntil, sentAt)
	}
}

// reserve counts a connection as in use, for a request that holds or opens it.
func (m *member) reserve(pinned bool) {
	m.inUse++
	if pinned {
		m.pinned++
	}
}

// release counts a connection as no longer in use.
func (m *member) release(pinned bool) {
	m.inUse--
	if pinned {
		m.pinned--
	}
}

// oldestSent returns when the oldest running statement was sent, or 0 when none runs.
func (m *member) oldestSent() citronusher.Instant {
	oldest := citronusher.Instant(0)
	for c := range m.conns {
		if c.sentAt != 0 && (oldest == 0 || c.sentAt < oldest) {
			oldest = c.sentAt
		}
	}
	return oldest
}

// usable reports whether new requests may be sent to the member. A leaving member is usable only as the primary, and only
// for some time, in which another member is promoted. The list that shows it may be late, after an outage of the store.
func (m *member) usable(now citronusher.Instant, primary bool) bool {
	if m.down || m.wrongMember || m.outOfConnections(now) {
		return false
	}
	if m.report.Leaving {
		return primary && now < min(m.leavingSince.Add(leavingTimeout), m.stayedAt.Add(stayedTimeout))
	}
	return true
}

// outOfConnections reports whether this instance has no connection to the member and the member accepts no more.
func (m *member) outOfConnections(now citronusher.Instant) bool {
	return now < m.fullUntil && len(m.conns) == 0
}

// candidate returns the member's state in the form from which the member of a request is chosen.
func (m *member) candidate(
	now citronusher.Instant, requirement schedule.Requirement, primary, sameDomain bool,
) schedule.Candidate {
	behind := now < m.behindUntil && !requirement.MinPosition.Less(m.behindPosition) && m.position.Less(requirement.MinPosition)
	limit := m.maxConns
	if now < m.fullUntil {
		limit = max(1, len(m.conns))
	}
	window := m.window.Size(m.report.Slots)
	if m.window.Paused(now) {
		window = 0
	}
	return schedule.Candidate{
		Name: m.report.ID, Primary: primary, Usable: m.usable(now, primary), Behind: behind, SameDomain: sameDomain,
		ConnectionsInUse: m.inUse, Pinned: m.pinned, Running: m.running, Active: m.inUse - m.pinned + m.inTransaction,
		Window: window, MaxConnections: limit, Slots: m.report.Slots,
	}
}

// takeIdle returns the most recently used idle connection, or nil if there is none. It drops connections that the member
// has closed, because the outcome of a statement sent on one would be unknown.
func (m *member) takeIdle() *pooledConn {
	for len(m.idle) > 0 {
		n := len(m.idle)
		c := m.idle[n-1]
		m.idle = m.idle[:n-1]
		if c.link.Open() {
			return c
		}
		delete(m.conns, c)
		closeConn(c)
	}
	return nil
}

// takeSurplus removes and returns the connections that were idle for longer than idleTimeout, but leaves minIdleConns
// idle ones.
func (m *member) takeSurplus(now citronusher.Instant) []*pooledConn {
	var surplus []*pooledConn
	for len(m.idle) > 0 && len(m.idle) > minIdleConns && m.idle[0].idleSince.Add(idleTimeout) < now {
		surplus = append(surplus, m.idle[0])
		delete(m.conns, m.idle[0])
		m.idle = m.idle[1:]
	}
	return surplus
}

// takeAll removes and returns every connection.
func (m *member) takeAll() []*pooledConn {
	conns := make([]*pooledConn, 0, len(m.conns))
	for c := range m.conns {
		conns = append(conns, c)
	}
	m.conns = map[*pooledConn]struct{}{}
	m.idle = nil
	return conns
}

// markBehind records that the member rejected a read because its log had not reached the position. Each further rejection
// doubles the time until it gets such a read again, up to maxBehindDelay.
func (m *member) markBehind(position citronusher.Position, now citronusher.Instant) {
	if now < m.behindUntil {
		if position.Less(m.behindPosition) {
			m.behindPosition = position
		}
		return
	}
	m.behindDelay = min(maxBehindDelay, max(minBehindDelay, m.behindDelay*2)) //nolint:mnd // doubles
	m.behindPosition, m.behindUntil = position, now.Add(m.behindDelay)
}

// observeReached records that the member served a read that required the position.
func (m *member) observeReached(position citronusher.Position) {
	if !position.Less(m.behindPosition) {
		m.behindDelay, m.behindUntil = 0, 0
	}
}
