package targets

import (
	"errors"
	"slices"
	"sync"
	"time"

	"citronusher.example/citronusher"
)

// errClaimEnded reports that a claim ended before a request under it was sent.
var errClaimEnded = errors.New("the claim has ended")

// busyInterval is the time between two requests to a replica that is too busy to report whether it is paused.
const busyInterval = 20 * time.Millisecond

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
		reason = m.checkNoNewerTerm()
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

// checkUnchanged returns a reason if a replica may have renewed leases since it was paused, or one that was not paused is
// listed, or an earlier request has taken effect. Called when each lease was released or has expired, it proves that no
// lease is valid and that no report of a replica renews one.
func (m *promotionAttempt) checkUnchanged() string {
	if reason := m.checkStillPaused(); reason != "" {
		return reason
	}
	m.queryPrimary()
	if reason := m.checkNoNewerTerm(); reason != "" {
		return reason
	}
	return m.checkAllPaused()
}

// queryPrimary requests the status of the old primary, if it is up: its own promotion may have taken effect again.
func (m *promotionAttempt) queryPrimary() {
	m.group.querySome(requestStatus, func(other *member) bool { return other.report.ID == m.primary && !other.down })
}

// checkNoNewerTerm returns a reason if any member has reported a newer term than the one that is replaced.
func (m *promotionAttempt) checkNoNewerTerm() string {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	if m.group.highestTerm > m.term {
		return "a member reports a newer term"
	}
	return ""
}

// checkStillPaused returns a reason if a replica may have renewed leases since it was paused, because it restarted and
// forgot the pause, or performed an earlier request to resume.
func (m *promotionAttempt) checkStillPaused() string {
	unchecked := map[*member]memberReply{}
	for _, r := range m.paused {
		unchecked[r.member] = r
	}
	for deadline := m.group.now().Add(memberTimeout); ; time.Sleep(busyInterval) {
		if reason := m.checkPauses(unchecked); reason != "" {
			return reason
		}
		if len(unchecked) == 0 {
			return ""
		}
		if m.group.now() >= deadline {
			return "a paused member is too busy to answer"
		}
	}
}

// checkPauses requests the status of the unchecked members and removes those that are still paused. It returns a reason if
// one may not be.
func (m *promotionAttempt) checkPauses(unchecked map[*member]memberReply) string {
	replies := m.group.querySome(requestStatus, func(other *member) bool {
		_, ok := unchecked[other]
		return ok
	})
	if len(replies) < len(unchecked) {
		return "a paused member was removed"
	}
	for _, r := range replies {
		switch m.pauseState(r, unchecked[r.member]) {
		case pauseLost:
			return "replication at member " + r.id + " may not be paused any more"
		case pauseKept:
			delete(unchecked, r.member)
		case pauseUnknown:
		}
	}
	return ""
}

// pauseState is what a replica's reply shows about its pause.
type pauseState int

const (
	// pauseLost means that the replica may have renewed leases since.
	pauseLost pauseState = iota
	// pauseKept means that the replica has renewed no lease that is still valid.
	pauseKept
	// pauseUnknown means that the replica was too busy to answer.
	pauseUnknown
)

// pauseState returns what a reply shows about the pause that an earlier one confirmed. When every lease was released,
// it suffices that the replica's process still runs, which its connections show.
func (m *promotionAttempt) pauseState(r, paused memberReply) pauseState {
	busy := r.err != nil && citronusher.AsFailure(r.err).Reason() == citronusher.ReasonFull
	switch {
	case r.err == nil && r.status.PausedTerm == paused.status.PausedTerm:
		return pauseKept
	case busy && m.released && r.since <= paused.sentAt:
		return pauseKept
	case busy:
		return pauseUnknown
	default:
		return pauseLost
	}
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

// mayResume reports whether replication may be resumed: no promotion may take effect any more, and no other instance
// can have paused the members for another one.
func (m *promotionAttempt) mayResume() bool {
	return m.claim.Phase != citronusher.ClaimRequested && m.group.now().Add(memberTimeout) < m.claimDeadline
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
			m.group.query(r.member, memberTimeout, m.resume)
		})
	}
	tasks.Wait()
}

// resume resumes replication at a member, unless the claim has ended meanwhile: the next holder may have paused it.
func (m *promotionAttempt) resume(c *pooledConn, deadline citronusher.Instant) (citronusher.MemberStatus, error) {
	if m.group.now() >= m.claimDeadline {
		return citronusher.MemberStatus{}, errClaimEnded
	}
	return citronusher.MemberStatus{}, c.link.ResumeReplication(min(deadline, m.claimDeadline))
}
