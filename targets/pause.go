package targets

import (
	"slices"
	"sync"

	"citronusher.example/citronusher"
)

// demoteSuperseded makes replicas of the members that still regard themselves as the primary of an older term than the
// newest one. Such a member has not heard of the later promotion, and would not pause replication.
func (m *promotionAttempt) demoteSuperseded() {
	g := m.group
	for _, r := range m.replies {
		if r.err != nil || r.status.Role != citronusher.RolePrimary || r.status.Term >= m.term || r.id == m.primary {
			continue
		}
		g.query(r.member, memberTimeout, func(c *pooledConn, deadline citronusher.Instant) (citronusher.MemberStatus, error) {
			return c.link.Demote(deadline, m.term)
		})
	}
}

// pauseReplication pauses replication at every member except the primary, so that no lease for the old primary can be
// renewed. It fails unless all of them confirm it, because a replica that still receives can renew a lease.
func (m *promotionAttempt) pauseReplication() string {
	g := m.group
	term := m.term + 1
	for _, r := range m.replies {
		if r.err == nil {
			term = max(term, r.status.PausedTerm+1)
		}
	}
	if reason := m.checkReachable(); reason != "" {
		return reason
	}
	replies := g.queryAll(func(c *pooledConn, deadline citronusher.Instant) (citronusher.MemberStatus, error) {
		return c.link.PauseReplication(deadline, term)
	})
	reason := ""
	for _, r := range replies {
		old := r.id == m.primary
		switch {
		case r.err != nil && !old:
			reason = "replication at member " + r.id + " could not be paused: " + r.err.Error()
		case r.err == nil && r.status.Role == citronusher.RolePrimary && !old:
			reason = "member " + r.id + " is a primary"
		case r.err == nil && r.status.Role == citronusher.RoleReplica:
			m.paused = append(m.paused, r)
		}
	}
	if reason == "" {
		reason = m.checkAllPaused()
	}
	return reason
}

// checkAllPaused returns a reason if replication at a member other than the primary was not paused, because the member
// was down or was added in the meantime.
func (m *promotionAttempt) checkAllPaused() string {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	for id, other := range m.group.members {
		paused := slices.ContainsFunc(m.paused, func(r memberReply) bool { return r.id == id })
		if id != m.primary && !other.wrongMember && !paused {
			return "replication at member " + id + " was not paused"
		}
	}
	return ""
}

// checkStillPaused returns a reason if a replica may have restarted before the last one was paused, so that it forgot the
// pause and has renewed leases since. One that is too busy to answer is known by its connections not to have restarted.
func (m *promotionAttempt) checkStillPaused() string {
	paused := map[*member]memberReply{}
	for _, r := range m.paused {
		paused[r.member] = r
	}
	replies := m.group.querySome(requestStatus, func(other *member) bool {
		_, ok := paused[other]
		return ok
	})
	for _, r := range replies {
		busy := r.err != nil && citronusher.AsFailure(r.err).Reason() == citronusher.ReasonFull
		runs := busy && r.since <= paused[r.member].sentAt
		if r.err != nil && !runs || r.err == nil && r.status.PausedTerm <= m.term {
			return "replication at member " + r.id + " may not be paused any more"
		}
	}
	if len(replies) < len(paused) {
		return "a paused member was removed"
	}
	return ""
}

// checkReachable returns a reason if a member other than the primary is down for this instance: it may still be able to
// renew the leases of others.
func (m *promotionAttempt) checkReachable() string {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	now := m.group.now()
	for id, other := range m.group.members {
		if id != m.primary && !other.wrongMember && now < other.downUntil {
			return "member " + id + " does not answer and may renew leases"
		}
	}
	return ""
}

// mayResume reports whether replication may be resumed: no promotion that this instance requested may take effect any more,
// and no other instance can have paused the members for another one.
func (m *promotionAttempt) mayResume() bool {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	now := m.group.now()
	return now >= m.group.unconfirmedUntil && now.Add(memberTimeout) < m.claimDeadline
}

// resumeReplication resumes replication at the members where it was paused, if it may. Otherwise the next holder of the
// claim does. Errors are ignored.
func (m *promotionAttempt) resumeReplication() {
	if !m.mayResume() {
		return
	}
	var tasks sync.WaitGroup
	for _, r := range m.paused {
		tasks.Go(func() {
			m.group.query(r.member, memberTimeout, func(
				c *pooledConn, deadline citronusher.Instant,
			) (citronusher.MemberStatus, error) {
				return citronusher.MemberStatus{}, c.link.ResumeReplication(deadline)
			})
		})
	}
	tasks.Wait()
}
