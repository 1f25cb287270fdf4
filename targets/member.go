package targets

import (
	"time"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/schedule"
)

const (
	dialLimit    = 400 * time.Millisecond
	idleLimit    = 600 * time.Millisecond  // for idle connections beyond the spare ones
	behindPause  = 40 * time.Millisecond   // before a replica that was behind is asked again
	fullPause    = 400 * time.Millisecond  // before a member without free connections is asked for another one
	downPause    = 500 * time.Millisecond  // before a member that did not answer is asked again
	leavingSpan  = 3500 * time.Millisecond // how long a leaving primary may still be used
	missingSpan  = 2500 * time.Millisecond // how long a member is kept that lists lack
	shareDivisor = 3                       // this part of the connections is left for daemons that start anew
	shareLeast   = 2
)

// pooledConn is an open connection with the session state that it holds.
type pooledConn struct {
	link      citronusher.MemberConn
	values    map[string]string
	prepared  map[string]bool
	sentAt    citronusher.Instant // when the statement that runs was sent; 0 when none runs
	idleSince citronusher.Instant
}

// member is one group member at this daemon. Its group's mutex guards it.
type member struct {
	report  citronusher.MemberReport
	idle    []*pooledConn
	open    map[*pooledConn]struct{} // idle and busy ones
	busy    int                      // connections that requests hold or open
	pinned  int                      // those of them that transactions hold
	inside  int                      // statements that the member runs inside transactions
	running int                      // statements that the member runs for this daemon
	limit   int
	window  schedule.Window

	heardAt      citronusher.Instant // when the member last answered anything
	downUntil    citronusher.Instant
	fullUntil    citronusher.Instant
	behindUntil  citronusher.Instant
	behindAt     citronusher.Position // the least position that the member lacked
	position     citronusher.Position // the last position that it told
	leavingSince citronusher.Instant
	missingSince citronusher.Instant // since when lists of members lack it; 0 while they do not
	replaced     bool                // another member answers at its address
	down         bool                // it has not answered since the last failure
	probing      bool
	warming      bool
}

func newMember(report citronusher.MemberReport) *member {
	return &member{report: report, open: map[*pooledConn]struct{}{}}
}

// setShare divides the member's connections among the homes. A part stays free: the connections of daemons that
// lost power linger, and their successors need some at once. A daemon that is no home takes one of that part.
func (m *member) setShare(connections, homes int, home bool) {
	if !home {
		m.limit = 1
		return
	}
	homes = max(1, homes)
	m.limit = max(shareLeast, (connections-connections/shareDivisor)/homes)
	m.limit = min(m.limit, max(1, connections/homes))
}

// take counts a connection that a request holds or opens.
func (m *member) take(pinned bool) {
	m.busy++
	if pinned {
		m.pinned++
	}
}

// give counts a connection that a request gives back.
func (m *member) give(pinned bool) {
	m.busy--
	if pinned {
		m.pinned--
	}
}

// oldestSent returns when the oldest statement that still runs was sent; 0 when none runs.
func (m *member) oldestSent() citronusher.Instant {
	oldest := citronusher.Instant(0)
	for c := range m.open {
		if c.sentAt != 0 && (oldest == 0 || c.sentAt < oldest) {
			oldest = c.sentAt
		}
	}
	return oldest
}

// usable reports whether new work may go to the member.
func (m *member) usable(now citronusher.Instant, primary bool) bool {
	if m.down || m.replaced {
		return false
	}
	if m.report.Leaving {
		return primary && now < m.leavingSince.Add(leavingSpan)
	}
	return true
}

// candidate describes the member for the choice.
func (m *member) candidate(now citronusher.Instant, need schedule.Requirement, primary, near bool) schedule.Candidate {
	behind := now < m.behindUntil && !need.MinPosition.Less(m.behindAt) && m.position.Less(need.MinPosition)
	limit := m.limit
	if now < m.fullUntil {
		limit = max(1, len(m.open))
	}
	window := m.window.Size(m.report.Slots)
	if m.window.Paused(now) {
		window = 0
	}
	return schedule.Candidate{
		Name: m.report.ID, Primary: primary, Usable: m.usable(now, primary), Behind: behind, SameDomain: near,
		ConnectionsInUse: m.busy, Running: m.running, Active: m.busy - m.pinned + m.inside, Window: window, MaxConnections: limit,
		Slots: m.report.Slots,
	}
}

// takeIdle returns the idle connection that was used last, or nil. Connections that the member has closed are
// dropped: what would be sent on them has an unknown outcome.
func (m *member) takeIdle() *pooledConn {
	for len(m.idle) > 0 {
		n := len(m.idle)
		c := m.idle[n-1]
		m.idle = m.idle[:n-1]
		if c.link.Open() {
			return c
		}
		delete(m.open, c)
		closeConn(c)
	}
	return nil
}

// takeSurplus removes and returns the connections beyond the spare ones that were idle for too long.
func (m *member) takeSurplus(now citronusher.Instant) []*pooledConn {
	var surplus []*pooledConn
	for len(m.idle) > 0 && len(m.idle) > warmSpare && m.idle[0].idleSince.Add(idleLimit) < now {
		surplus = append(surplus, m.idle[0])
		delete(m.open, m.idle[0])
		m.idle = m.idle[1:]
	}
	return surplus
}

// takeAll removes and returns every connection.
func (m *member) takeAll() []*pooledConn {
	all := make([]*pooledConn, 0, len(m.open))
	for c := range m.open {
		all = append(all, c)
	}
	m.open = map[*pooledConn]struct{}{}
	m.idle = nil
	return all
}

// markBehind records that the member's log lacked a position.
func (m *member) markBehind(position citronusher.Position, now citronusher.Instant) {
	if now >= m.behindUntil || position.Less(m.behindAt) {
		m.behindAt = position
	}
	m.behindUntil = now.Add(behindPause)
}
