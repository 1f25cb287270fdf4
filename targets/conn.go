package targets

import (
	"time"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/schedule"
)

// Conn is a connection to one member, acquired for a request or a transaction. It must be used by one goroutine at a
// time and returned with exactly one call of Release or Discard.
type Conn struct {
	group   *Group
	member  *member
	id      string
	conn    *pooledConn
	primary bool
	valid   bool                 // the lease was valid when the running commands were sent
	shown   citronusher.Position // what the primary's answers had shown by then
	pinned  bool                 // acquired for a transaction
	term    uint64
	ticket  *schedule.Ticket
}

// Acquire waits in the group's queue until the request may start and returns a connection for it. Its error is a
// *citronusher.Failure whose outcome is NotRun.
func (g *Group) Acquire(t *schedule.Ticket) (*Conn, error) {
	for {
		result := g.enqueue(t)
		if result.err != nil {
			return nil, result.err
		}
		h, err := g.connect(result, t)
		if err == nil {
			return h, nil
		}
		g.set.config.Meter.CountRetry(citronusher.AsFailure(err).Reason())
	}
}

// enqueue queues the request until it is granted a member, rejected, or past its deadline.
func (g *Group) enqueue(t *schedule.Ticket) grant {
	startedAt := g.now()
	granted := make(chan grant, 1)
	g.mu.Lock()
	g.requestedAt = startedAt
	if t.Requirement().PrimaryOnly() {
		g.primaryUsedAt = startedAt // also by a request that is rejected: the lease is renewed for the next one
	}
	if err := g.checkQueueable(t, startedAt); err != nil {
		g.mu.Unlock()
		return grant{err: err}
	}
	if t.Requirement().PrimaryOnly() && !g.lease.Valid(startedAt) {
		g.wakeLoop()
	}
	g.waiting[t] = granted
	g.queue.Add(t, startedAt)
	g.dispatch(startedAt)
	g.mu.Unlock()
	timer := time.NewTimer(t.StartDeadline().Sub(startedAt))
	defer timer.Stop()
	select {
	case result := <-granted:
		g.set.config.Meter.QueueWait().Update(g.now().Sub(startedAt).Microseconds())
		return result
	case <-timer.C:
	}
	g.mu.Lock()
	now := g.now()
	if g.queue.Remove(t) {
		g.resolve(t, grant{err: g.rejection(t, now)})
	}
	g.dispatch(now)
	g.mu.Unlock()
	return <-granted
}

// checkQueueable returns an error if the request cannot be served now, so that the caller's instance can try another
// home at once instead of waiting. It returns nil if the request may be queued. The caller holds mu.
func (g *Group) checkQueueable(t *schedule.Ticket, now citronusher.Instant) error {
	switch {
	case g.closed:
		return citronusher.NewNotRun(citronusher.ReasonHome, "the group is no longer served by this instance")
	case t.Deadline() <= now, g.unservable(t, now):
		return g.rejection(t, now)
	default:
		return nil
	}
}

// unservable reports whether no member can serve the request now and waiting does not help: either the time that it may
// wait for a usable member is over, or it needs the primary, which is unavailable and not expected to be replaced
// before the request's deadline. The caller holds mu.
func (g *Group) unservable(t *schedule.Ticket, now citronusher.Instant) bool {
	if g.usablePrimary(now) || schedule.Servable(g.candidates(now, t.Requirement()), t.Requirement()) {
		return false
	}
	late := now > g.expectedBackAt || t.Deadline() < g.expectedBackAt
	outage := t.Requirement().PrimaryOnly() && g.unavailableSince != 0 && late
	return outage || now >= t.MemberWaitDeadline()
}

// usablePrimary reports whether requests may go to the primary now. The caller holds mu.
func (g *Group) usablePrimary(now citronusher.Instant) bool {
	primary := g.members[g.primary]
	return g.lease.Valid(now) && primary != nil && primary.usable(now, true)
}

// rejectUnservable rejects the queued requests for which waiting does not help. The caller holds mu.
func (g *Group) rejectUnservable(now citronusher.Instant) {
	if g.usablePrimary(now) {
		return // the primary can serve every request
	}
	for _, t := range g.queue.RemoveFunc(func(t *schedule.Ticket) bool { return g.unservable(t, now) }) {
		g.resolve(t, grant{err: g.rejection(t, now)})
	}
}

// connect returns the connection of a grant, or dials a new one if the member had no idle connection.
func (g *Group) connect(result grant, t *schedule.Ticket) (*Conn, error) {
	m, c := result.member, result.conn
	if c == nil {
		var err error
		if c, err = g.dial(m, min(t.Deadline(), g.now().Add(dialTimeout))); err != nil {
			g.mu.Lock()
			m.release(t.Requirement().Pinned)
			t.Avoid(m.report.ID)
			g.dispatch(g.now())
			g.mu.Unlock()
			return nil, err
		}
	}
	g.mu.Lock()
	h := &Conn{group: g, member: m, id: m.report.ID, conn: c, pinned: t.Requirement().Pinned, term: g.lease.Term(), ticket: t}
	h.primary = h.id == g.primary
	g.mu.Unlock()
	if !h.primary && t.Requirement().PrimaryOnly() {
		h.Release()
		return nil, citronusher.NewNotRun(citronusher.ReasonPrimary,
			"member %s ceased to be the primary while the connection was opened", h.id)
	}
	return h, nil
}

// dial opens a connection and updates the member's state according to the result.
func (g *Group) dial(m *member, deadline citronusher.Instant) (*pooledConn, error) {
	g.mu.Lock()
	report := m.report
	g.mu.Unlock()
	startedAt := g.now()
	link, err := g.set.config.Dialer.Dial(deadline, report.Address, report.Group, report.ID)
	now := g.now()
	g.set.config.Meter.ConnectTime().Update(now.Sub(startedAt).Microseconds())
	g.mu.Lock()
	defer g.mu.Unlock()
	if err == nil {
		c := &pooledConn{link: link, state: newSessionState(), openedAt: now, idleSince: now}
		g.recordResponse(m, now)
		m.conns[c] = struct{}{}
		return c, nil
	}
	if citronusher.AsFailure(err).Reason() == citronusher.ReasonLimit {
		m.lastResponseAt = now
		m.fullUntil = now.Add(fullBackoff)
		return nil, err
	}
	g.recordDialFailure(m, now, err)
	return nil, err
}

// Primary reports whether the connection is to the primary.
func (h *Conn) Primary() bool { return h.primary }

// Term returns the term of the group's lease when the connection was acquired.
func (h *Conn) Term() uint64 { return h.term }

// Member returns the member's ID.
func (h *Conn) Member() string { return h.id }

// State returns the connection's session state.
func (h *Conn) State() *SessionState { return h.conn.state }

// wentBack reports whether an answer of the primary shows a lower position than earlier ones: its process started again
// without its log. The caller holds the group's mu.
func (h *Conn) wentBack(position citronusher.Position) bool {
	return h.unchanged() && !position.IsZero() && position.Less(h.shown)
}

// observeAnswer updates the state of the member, and the group's position history, from an answer. Only positions that
// were requested under a valid lease of the present term go into the history. The caller holds the group's mu.
func (h *Conn) observeAnswer(
	answer citronusher.Answer, command citronusher.Command, sentAt, now citronusher.Instant,
) {
	g := h.group
	if h.valid && h.wentBack(answer.Position) {
		g.lostLog = true
		g.endLease("primary lacks a part of its log", now)
	}
	if h.valid && g.lease.Term() == h.term && answer.Position.Term() <= h.term {
		g.history.Observe(answer.Position, sentAt)
		g.answered = g.answered.Max(answer.Position)
	}
	if !answer.Position.IsZero() {
		h.member.position = answer.Position
		g.observeTerm(answer.Position.Term(), h.id)
	}
	switch answer.Refusal {
	case citronusher.RefusalNone:
		h.member.window.ObserveSuccess(h.member.report.Slots)
		h.member.observeReached(command.After)
	case citronusher.RefusalBusy:
		h.member.window.ObserveBusy(h.member.report.Slots, now)
	case citronusher.RefusalBehind:
		h.member.markBehind(command.After, now)
	case citronusher.RefusalUnprepared:
		h.conn.state.MarkUncertain()
	case citronusher.RefusalReadOnly:
		if h.primary && g.lease.Term() == h.term && !g.lease.Closed() {
			g.endLease("primary refused a write", now)
		}
	}
}

// Release returns the connection for use by other requests. Its session state must match State, and no transaction may be
// open on it.
func (h *Conn) Release() {
	g := h.group
	if h.conn.state.preparedBytes > maxPreparedBytes {
		h.conn.state.MarkUncertain()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	h.member.release(h.pinned)
	_, pooled := h.member.conns[h.conn]
	if !pooled || g.closed || g.members[h.member.report.ID] != h.member {
		delete(h.member.conns, h.conn)
		closeConn(h.conn)
	} else {
		h.conn.idleSince = g.now()
		h.member.idle = append(h.member.idle, h.conn)
	}
	g.dispatch(g.now())
}

// Discard closes the connection. The member rolls back a transaction that is still open on it.
func (h *Conn) Discard() {
	g := h.group
	closeConn(h.conn)
	g.mu.Lock()
	defer g.mu.Unlock()
	h.member.release(h.pinned)
	delete(h.member.conns, h.conn)
	g.dispatch(g.now())
}
