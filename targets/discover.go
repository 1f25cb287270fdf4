package targets

import (
	"sync"
	"time"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/events"
	"citronusher.example/citronusher/lease"
	"citronusher.example/citronusher/promotion"
)

const (
	discoverInterval = 120 * time.Millisecond // between two discoveries of the primary
	memberTimeout    = 300 * time.Millisecond // timeout of a request to one member
)

// discoverIfNeeded starts a discovery of the primary if there is no lease that can be renewed. The caller holds mu.
func (g *Group) discoverIfNeeded(now citronusher.Instant) {
	needed := g.lease.Term() == 0 || g.lease.Closed()
	if !needed || g.discovering || g.promoting || now < g.discoveredAt.Add(discoverInterval) || len(g.members) == 0 {
		return
	}
	g.discovering = true
	g.discoveredAt = now
	g.background(g.discover)
}

// memberRequest sends a status request or a replication command to a member and returns the member's status.
type memberRequest func(c *pooledConn, deadline citronusher.Instant) (citronusher.MemberStatus, error)

// memberReply is the result of a memberRequest.
type memberReply struct {
	member  *member
	id      string
	leaving bool
	status  citronusher.MemberStatus
	sentAt  citronusher.Instant
	since   citronusher.Instant // since when the member's process is known to run
	err     error
}

// report returns the reply in the form in which a lease observes it.
func (r memberReply) report() lease.Report {
	return lease.Report{Status: r.status, RequestedAt: r.sentAt, RunningSince: r.since}
}

// queryAll sends the request to all members concurrently, except those that failed within downBackoff.
func (g *Group) queryAll(request memberRequest) []memberReply {
	now := g.now()
	return g.querySome(request, func(m *member) bool { return now >= m.downUntil })
}

// queryUp sends the request concurrently to the members that are up, so that it does not wait for the time-out of one
// that is down.
func (g *Group) queryUp(request memberRequest) []memberReply {
	return g.querySome(request, func(m *member) bool { return !m.down })
}

func (g *Group) querySome(request memberRequest, include func(*member) bool) []memberReply {
	g.mu.Lock()
	list := make([]*member, 0, len(g.members))
	for _, m := range g.members {
		if include(m) && !m.wrongMember {
			list = append(list, m)
		}
	}
	g.mu.Unlock()
	replies := make([]memberReply, len(list))
	var tasks sync.WaitGroup
	for i, m := range list {
		tasks.Go(func() { replies[i] = g.query(m, memberTimeout, request) })
	}
	tasks.Wait()
	return replies
}

func requestStatus(c *pooledConn, deadline citronusher.Instant) (citronusher.MemberStatus, error) {
	return c.link.Status(deadline)
}

// query sends a request to one member, on an idle connection or a new one.
func (g *Group) query(m *member, timeout time.Duration, request memberRequest) memberReply {
	g.mu.Lock()
	c := m.takeIdle()
	r := memberReply{member: m, id: m.report.ID, leaving: m.report.Leaving}
	g.mu.Unlock()
	deadline := g.now().Add(timeout)
	dialed := c == nil
	if dialed {
		if c, r.err = g.dial(m, deadline); r.err != nil {
			return r
		}
	}
	r.sentAt = g.now()
	r.status, r.err = request(c, deadline)
	g.set.config.Meter.Probes().Inc(1)
	r.since = g.returnQueried(m, c, r)
	if r.err != nil && !dialed && citronusher.AsFailure(r.err).Reason() == citronusher.ReasonConnect && g.now() < deadline {
		return g.query(m, deadline.Sub(g.now()), request) // the idle connection had been closed
	}
	return r
}

// returnQueried returns a connection after a request, or closes it if the request failed. A member that was too busy to
// answer (ReasonFull) leaves the connection usable. It returns since when the member's process is known to run.
func (g *Group) returnQueried(m *member, c *pooledConn, r memberReply) citronusher.Instant {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	failed := r.err != nil && citronusher.AsFailure(r.err).Reason() != citronusher.ReasonFull
	if !failed {
		m.observeRunning(c.openedAt, r.sentAt)
	}
	if r.err == nil {
		g.observeTerm(r.status.Term, r.id)
	}
	_, pooled := m.conns[c]
	if failed || !pooled || g.closed {
		delete(m.conns, c)
		closeConn(c)
		return m.runningSince
	}
	g.recordResponse(m, now)
	c.idleSince = now
	m.idle = append(m.idle, c)
	g.dispatch(now)
	return m.runningSince
}

// discover requests the status of the members and adopts the primary found, first among the members that are up and then
// among all. It does nothing until this instance is registered, because a lease may be used only from then on.
func (g *Group) discover() {
	if g.set.registered.Load() && !g.adopt(g.queryUp(requestStatus)) {
		g.adopt(g.queryAll(requestStatus))
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.discovering = false
}

// adopt makes the primary found in reports the group's primary, and reports whether one was found. When the reports do not
// renew a lease, it reads the claim on the group to establish one.
func (g *Group) adopt(replies []memberReply) bool {
	found := reportedPrimary(replies)
	if found == nil {
		return g.adoptWith(replies, evidence{claim: claimHeld})
	}
	l, p := g.examine(found, replies)
	if p.newest == 0 || l.Closed() || l.Valid(g.now()) {
		return g.adoptWith(replies, evidence{claim: claimHeld})
	}
	return g.adoptWith(g.addEvidence(promotion.Primary{Term: found.status.Term, ID: found.id}, replies, p.complete))
}

// adoptWith is adopt for a caller that knows what the store shows at a time after the reports were requested; with
// claimHeld no lease is established. It adopts the primary of the highest term that any member has reported.
func (g *Group) adoptWith(replies []memberReply, e evidence) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	for _, r := range replies {
		if r.err == nil {
			g.observeTerm(r.status.Term, r.id)
		}
	}
	found := reportedPrimary(replies)
	if !g.set.registered.Load() {
		return false // SetUnregistered ends the lease after this, or has before
	}
	if found == nil && anyBusy(replies) {
		return false // a member that had no capacity to answer may be the primary
	}
	if found == nil || found.status.Term < g.highestTerm || g.lacksLog(*found) {
		g.markUnavailable(now, false)
		return false
	}
	newLease := g.leaseFor(found)
	p := g.observeReports(&newLease, found.id, replies, now)
	if newLease.Closed() {
		g.markUnavailable(now, false)
		return false
	}
	valid := newLease.Valid(now)
	if p.establish(&newLease, e, now) && !valid {
		g.logBegan(&newLease, found.id, e.proofName(), now)
	}
	g.setPrimary(found, newLease, now)
	if e.claim == claimOverdue {
		g.markUnavailable(now, false)
	}
	return true
}

// lacksLog reports whether a reply is one of the primary that has started again without a part of its log, and records that
// it has. The caller holds mu.
func (g *Group) lacksLog(r memberReply) bool {
	if r.id != g.primary || r.status.Term != g.lease.Term() {
		return false
	}
	g.lostLog = g.lostLog || r.status.Position.Less(g.answered)
	return g.lostLog
}

// observeTerm records that a member has reported a term. It ends a lease of an older term, and a primary of an older term is
// not adopted from then on. The caller holds mu.
func (g *Group) observeTerm(term uint64, member string) {
	g.highestTerm = max(g.highestTerm, term)
	if term > g.lease.Term() && g.lease.Term() != 0 && !g.lease.Closed() {
		g.logEnded("member " + member + " reported a newer term")
		g.lease.Close() // reports of the newer term that were requested before count
		g.notifyChanged()
		g.wakeLoop()
	}
}

// reportedPrimary returns the primary of the highest term among replies, or nil.
func reportedPrimary(replies []memberReply) *memberReply {
	var found *memberReply
	for i := range replies {
		r := &replies[i]
		if r.err == nil && r.status.Role == citronusher.RolePrimary && (found == nil || r.status.Term > found.status.Term) {
			found = r
		}
	}
	return found
}

// anyBusy reports whether any member is running but could not answer, because it was busy or out of connections.
func anyBusy(replies []memberReply) bool {
	for _, r := range replies {
		if r.err == nil {
			continue
		}
		reason := citronusher.AsFailure(r.err).Reason()
		if reason == citronusher.ReasonLimit || reason == citronusher.ReasonFull {
			return true
		}
	}
	return false
}

// setPrimary sets the group's primary and the new lease for it. If the primary or the term changed, it discards the
// position history, and closes the connections to the old primary if another member takes its place. The caller holds
// mu.
func (g *Group) setPrimary(found *memberReply, newLease lease.Lease, now citronusher.Instant) {
	id := found.id
	if id != g.primary || newLease.Term() != g.lease.Term() {
		events.Log(g.set.config.Logger, events.PrimaryChanged, "group", g.name, "member", id, "term", newLease.Term(),
			"before", g.primary, "position", found.status.Position.String())
		if old := g.members[g.primary]; old != nil && id != g.primary {
			closeAll(old.takeAll())
		}
		g.history.Reset()
		g.answered, g.lostLog = citronusher.Position{}, false
	}
	g.primary, g.lease, g.unavailableSince, g.connectionRefused = id, newLease, 0, false
	g.recordResponse(found.member, now)
	g.renewalSentAt = found.sentAt
	if !newLease.Valid(now) {
		g.renewalSentAt = 0
	}
	if newLease.Valid(found.sentAt) {
		g.history.Observe(found.status.Position, found.sentAt)
	}
	g.notifyChanged()
	g.dispatch(now)
}

// markUnavailable records that the primary is unavailable, from now on unless it was before. The caller holds mu.
func (g *Group) markUnavailable(now citronusher.Instant, refused bool) {
	if g.unavailableSince == 0 {
		g.unavailableSince = now
		g.expectedBackAt = now.Add(expectedOutage)
	}
	g.connectionRefused = g.connectionRefused || refused
}
