// Package term decides when a primary counts as unavailable, which home promotes which member, and whether a commit was
// made under a term that is still current.
//
// It does no I/O: its input are the members' responses and the time, its output are typed actions.
package term

import (
	"time"

	"citronusher.example/citronusher"
)

// Timeouts are the durations from which a monitor computes its deadlines.
type Timeouts struct {
	// Unresponsive is how long the primary may leave probes unanswered before it counts as unavailable.
	Unresponsive time.Duration
	// Refused is the same while the primary's machine refuses connections.
	Refused time.Duration
	// ReplicationActive replaces Unresponsive while replicas still receive from the primary.
	ReplicationActive time.Duration
	// RankDelay is the additional delay per rank: the home of rank r waits r times as long.
	RankDelay time.Duration
	// FollowInterval is the minimum time between two commands to follow to one member.
	FollowInterval time.Duration
	// LeavingGrace is how long homes may finish their work on a leaving primary before another member is promoted.
	LeavingGrace time.Duration
}

// DefaultTimeouts keep a promotion under six seconds even when the first two homes are down.
func DefaultTimeouts() Timeouts {
	return Timeouts{
		Unresponsive: 1 * time.Second, Refused: 400 * time.Millisecond, ReplicationActive: 2500 * time.Millisecond,
		RankDelay: 700 * time.Millisecond, FollowInterval: 500 * time.Millisecond,
		LeavingGrace: 2 * time.Second,
	}
}

const minFailures = 2 // failed probes before the primary can count as unavailable

// Action is what the home should do now. Its zero value means nothing.
type Action struct {
	// Promote is the term of the election to start; 0 for none.
	Promote uint64
	// Planned is set when Promote replaces a primary that is still available: its log is complete before the promotion.
	Planned bool
	// Follow lists the members that must be commanded to follow Primary under Term.
	Follow []string
	// Primary is the current primary, for Follow and a planned promotion.
	Primary string
	// Term is the current term, for Follow and a planned promotion.
	Term uint64
}

// Monitor tracks the members of one group for one home. It is used by one goroutine at a time.
type Monitor struct {
	timeouts      Timeouts
	members       map[string]*observation
	order         []string
	startedAt     time.Time
	deferDeadline time.Time
	rank          int
}

// NewMonitor returns a monitor without observations. Members count as unresponsive from startedAt.
func NewMonitor(members []string, timeouts Timeouts, startedAt time.Time) *Monitor {
	m := &Monitor{timeouts: timeouts, members: map[string]*observation{}, order: members, startedAt: startedAt}
	for _, name := range members {
		m.members[name] = &observation{lastResponseAt: startedAt}
	}
	return m
}

// SetRank sets the home's index in the order of the database's homes, from 0.
func (m *Monitor) SetRank(rank int) { m.rank = rank }

// DeferPromotion delays the next promotion until at, after a failed one.
func (m *Monitor) DeferPromotion(at time.Time) { m.deferDeadline = at }

// Primary returns the primary of the newest observed term. ok is false while none is known, and when a majority has
// accepted a newer term than the primary's.
func (m *Monitor) Primary() (name string, term uint64, ok bool) {
	for _, candidate := range m.order {
		o := m.members[candidate]
		if o.known && o.state.Role() == citronusher.RolePrimary && o.state.Term() > term {
			name, term = candidate, o.state.Term()
		}
	}
	if name == "" || m.countAbove(term) >= Majority(len(m.order)) {
		return "", 0, false
	}
	return name, term, true
}

func (m *Monitor) countAbove(term uint64) int {
	count := 0
	for _, o := range m.members {
		if o.known && o.state.Term() > term {
			count++
		}
	}
	return count
}

// HeldSince reports whether a majority has answered a request that was sent at since or later with the given term or an
// older one. Then nothing was acknowledged before since under a newer term.
func (m *Monitor) HeldSince(term uint64, since time.Time) bool {
	count := 0
	for _, o := range m.members {
		if o.known && o.state.Term() <= term && !o.state.RequestedAt().Before(since) {
			count++
		}
	}
	return count >= Majority(len(m.order))
}

// Majority returns the smallest number of members that is more than half of count.
func Majority(count int) int { return count/2 + 1 }

// Decide returns what to do at now.
func (m *Monitor) Decide(now time.Time) Action {
	primary, term, ok := m.Primary()
	if ok && (m.shouldMove(primary, now) || m.isStuckAhead(primary, term, now)) {
		return Action{Promote: m.newest() + 1, Planned: true, Primary: primary, Term: term}
	}
	if ok && !m.unavailable(primary, now) {
		return Action{Follow: m.notFollowing(primary, term, now), Primary: primary, Term: term}
	}
	if !ok && (now.Before(m.startedAt.Add(m.timeouts.Unresponsive+m.rankDelay())) || m.mayBeHidden(now)) {
		return Action{}
	}
	if now.Before(m.deferDeadline) || m.countReachable() < Majority(len(m.order)) {
		return Action{}
	}
	return Action{Promote: m.newest() + 1}
}

// mayBeHidden reports whether there may be a primary that this home has not observed: a member that is too busy to report
// its role, or one that replicas still receive from, which counts for at most ReplicationActive.
func (m *Monitor) mayBeHidden(now time.Time) bool {
	recent := now.Add(-m.timeouts.Unresponsive)
	for _, o := range m.members {
		if !o.known && o.busyAt.After(recent) {
			return true
		}
	}
	return m.replicaReceives("", now) && now.Before(m.startedAt.Add(m.timeouts.ReplicationActive+m.rankDelay()))
}

func (m *Monitor) rankDelay() time.Duration { return time.Duration(m.rank) * m.timeouts.RankDelay }

// shouldMove reports whether an available primary is leaving and another member can replace it.
func (m *Monitor) shouldMove(primary string, now time.Time) bool {
	o := m.members[primary]
	if o.leavingAt.IsZero() || !o.reachable() || now.Before(m.deferDeadline) ||
		now.Before(o.leavingAt.Add(m.timeouts.LeavingGrace+m.rankDelay())) {
		return false
	}
	for name, other := range m.members {
		if name != primary && other.reachable() && other.leavingAt.IsZero() {
			return true
		}
	}
	return false
}

// isStuckAhead reports whether a member has been at a newer term than an available primary's for Unresponsive. It can't
// follow the primary, so that the primary has to be promoted to a term above.
func (m *Monitor) isStuckAhead(primary string, term uint64, now time.Time) bool {
	stuck := false
	for _, o := range m.members {
		switch {
		case !o.reachable() || o.state.Term() <= term:
			o.aheadAt = time.Time{}
		case o.aheadAt.IsZero():
			o.aheadAt = now
		default:
			stuck = stuck || !now.Before(o.aheadAt.Add(m.timeouts.Unresponsive+m.rankDelay()))
		}
	}
	return stuck && m.members[primary].reachable() && !now.Before(m.deferDeadline)
}

// unavailable reports whether the primary has been unresponsive long enough for this home to act.
func (m *Monitor) unavailable(primary string, now time.Time) bool {
	o := m.members[primary]
	if o.failures < minFailures {
		return false
	}
	timeout := m.timeouts.Unresponsive
	switch {
	case m.replicaReceives(primary, now):
		timeout = m.timeouts.ReplicationActive
	case o.refused:
		timeout = m.timeouts.Refused
	}
	return !now.Before(o.lastResponseAt.Add(timeout + m.rankDelay()))
}

// replicaReceives reports whether a reachable replica received from the primary within Unresponsive.
func (m *Monitor) replicaReceives(primary string, now time.Time) bool {
	for name, o := range m.members {
		replica := name != primary && o.state.Role() == citronusher.RoleReplica
		if replica && o.reachable() && o.state.ReceivedAt().After(now.Add(-m.timeouts.Unresponsive)) {
			return true
		}
	}
	return false
}

// notFollowing returns the members that do not follow the primary, and records that they are commanded to.
func (m *Monitor) notFollowing(primary string, term uint64, now time.Time) []string {
	var notFollowing []string
	if !m.members[primary].reachable() {
		return nil
	}
	for _, name := range m.order {
		o := m.members[name]
		if name == primary || !o.reachable() || now.Before(o.followRequestedAt.Add(m.timeouts.FollowInterval)) {
			continue
		}
		unresponsive := o.state.ReceivedAt().Before(o.state.RequestedAt().Add(-m.timeouts.Unresponsive))
		if o.state.Term() < term || (o.state.Term() == term && unresponsive) {
			o.followRequestedAt = now
			notFollowing = append(notFollowing, name)
		}
	}
	return notFollowing
}

func (m *Monitor) countReachable() int {
	count := 0
	for _, o := range m.members {
		if o.reachable() {
			count++
		}
	}
	return count
}

func (m *Monitor) newest() uint64 {
	newest := uint64(0)
	for _, o := range m.members {
		newest = max(newest, o.state.Term())
	}
	return newest
}

// TermStarts returns the term starts in the log of the primary of the newest term.
func (m *Monitor) TermStarts() []citronusher.TermStart {
	name, _, ok := m.Primary()
	if !ok {
		return nil
	}
	return m.members[name].state.TermStarts()
}
