package targets

import (
	"time"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/schedule"
)

// Conn is a request's connection to one member. It is used by one goroutine at a time and ends with Release or Discard.
type Conn struct {
	group   *Group
	member  *member
	id      string
	conn    *pooledConn
	primary bool
	pinned  bool // for a transaction
	term    uint64
}

// Acquire waits until the request may start and returns its connection. Its error is a *Failure that did not run.
func (g *Group) Acquire(t *schedule.Ticket) (*Conn, error) {
	for {
		result := g.wait(t)
		if result.err != nil {
			return nil, result.err
		}
		h, err := g.open(result, t)
		if err == nil {
			return h, nil
		}
		g.set.config.Meter.CountRetry(citronusher.AsFailure(err).Reason())
	}
}

// wait queues the request until it is granted a member.
func (g *Group) wait(t *schedule.Ticket) grant {
	began := g.now()
	ready := make(chan grant, 1)
	g.mu.Lock()
	g.wantedAt = began
	if err := g.refusal(t, began); err != nil {
		g.mu.Unlock()
		return grant{err: err}
	}
	if g.needsPrimary(t) {
		g.usedAt = began
		if !g.right.Valid(began) {
			g.kick()
		}
	}
	g.waits[t] = ready
	g.queue.Add(t)
	g.dispatch(began)
	g.mu.Unlock()
	timer := time.NewTimer(t.Deadline().Sub(began))
	defer timer.Stop()
	select {
	case result := <-ready:
		g.set.config.Meter.QueueWait().Update(g.now().Sub(began).Microseconds())
		return result
	case <-timer.C:
	}
	g.mu.Lock()
	now := g.now()
	if g.queue.Remove(t) {
		g.answer(t, grant{err: g.refuse(t, now)})
	}
	g.dispatch(now)
	g.mu.Unlock()
	return <-ready
}

// refusal returns why the request cannot be served at all now, so that its caller can try another daemon at once. The
// caller holds mu.
func (g *Group) refusal(t *schedule.Ticket, now citronusher.Instant) error {
	switch {
	case g.closed:
		return citronusher.NewNotRun(citronusher.ReasonHome, "the group is no longer served here")
	case t.Deadline() <= now, g.hopeless(t, now):
		return g.refuse(t, now)
	default:
		return nil
	}
}

// hopeless reports whether no member can serve the request now and it may not wait for one, or needs a primary that is
// lost and not expected back before the request's deadline. The caller holds mu.
func (g *Group) hopeless(t *schedule.Ticket, now citronusher.Instant) bool {
	if g.usablePrimary(now) || schedule.Servable(g.candidates(now, t.Requirement()), t.Requirement()) {
		return false
	}
	lost := g.needsPrimary(t) && g.lostAt != 0 && (now > g.backAt || t.Deadline() < g.backAt)
	return lost || now >= t.MemberWaitDeadline()
}

// usablePrimary reports whether requests may go to the primary now. The caller holds mu.
func (g *Group) usablePrimary(now citronusher.Instant) bool {
	primary := g.members[g.primary]
	return g.right.Valid(now) && primary != nil && primary.usable(now, true)
}

// refuseHopeless refuses the waiting requests that cannot start before their deadline. The caller holds mu.
func (g *Group) refuseHopeless(now citronusher.Instant) {
	if g.usablePrimary(now) {
		return // it can serve everybody
	}
	for _, t := range g.queue.RemoveFunc(func(t *schedule.Ticket) bool { return g.hopeless(t, now) }) {
		g.answer(t, grant{err: g.refuse(t, now)})
	}
}

// needsPrimary reports whether only the primary can serve the request.
func (g *Group) needsPrimary(t *schedule.Ticket) bool {
	return t.Requirement().Primary || !t.Requirement().PositionKnown
}

// open returns the connection of a grant, opening one when the member has no idle one.
func (g *Group) open(result grant, t *schedule.Ticket) (*Conn, error) {
	m, c := result.member, result.conn
	if c == nil {
		var err error
		if c, err = g.dial(m, min(t.Deadline(), g.now().Add(dialLimit))); err != nil {
			g.mu.Lock()
			m.give(t.Requirement().Pinned)
			t.Avoid(m.report.ID)
			g.dispatch(g.now())
			g.mu.Unlock()
			return nil, err
		}
	}
	g.mu.Lock()
	h := &Conn{group: g, member: m, id: m.report.ID, conn: c, pinned: t.Requirement().Pinned, term: g.right.Term()}
	h.primary = h.id == g.primary
	g.mu.Unlock()
	if !h.primary && (t.Requirement().Primary || !t.Requirement().PositionKnown) {
		h.Release()
		return nil, citronusher.NewNotRun(citronusher.ReasonPrimary, "the primary changed while the connection was opened")
	}
	return h, nil
}

// dial opens a connection and notes what its failure says of the member.
func (g *Group) dial(m *member, deadline citronusher.Instant) (*pooledConn, error) {
	g.mu.Lock()
	report := m.report
	g.mu.Unlock()
	began := g.now()
	link, err := g.set.config.Dialer.Dial(deadline, report.Address, report.Group, report.ID)
	now := g.now()
	g.set.config.Meter.ConnectTime().Update(now.Sub(began).Microseconds())
	g.mu.Lock()
	defer g.mu.Unlock()
	if err == nil {
		c := &pooledConn{link: link, values: map[string]string{}, prepared: map[string]bool{}, idleSince: now}
		g.heard(m, now)
		m.open[c] = struct{}{}
		return c, nil
	}
	if citronusher.AsFailure(err).Reason() == citronusher.ReasonLimit {
		m.heardAt = now
		m.fullUntil = now.Add(fullPause)
		return nil, err
	}
	g.noteDialFailure(m, now, err)
	return nil, err
}

// Primary reports whether the connection is to the primary.
func (h *Conn) Primary() bool { return h.primary }

// Term returns the term under which the connection was given.
func (h *Conn) Term() uint64 { return h.term }

// Member names the member.
func (h *Conn) Member() string { return h.id }

// Values returns the session values that the connection holds. The holder may change them.
func (h *Conn) Values() map[string]string { return h.conn.values }

// Prepared returns the names of the prepared statements that the connection holds. The holder may change them.
func (h *Conn) Prepared() map[string]bool { return h.conn.prepared }

// CheckLease reports whether the connection may begin new work now: a primary only under a valid right of its term.
func (h *Conn) CheckLease() error {
	if !h.primary {
		return nil
	}
	h.group.mu.Lock()
	defer h.group.mu.Unlock()
	if h.group.right.Term() != h.term || !h.group.right.Valid(h.group.now()) {
		return citronusher.NewNotRun(citronusher.ReasonClosed, "the right to use the primary expired")
	}
	return nil
}

// Run sends commands and returns their answers. The answers that arrived are returned with an error.
func (h *Conn) Run(deadline citronusher.Instant, commands ...citronusher.Command) ([]citronusher.Answer, error) {
	g := h.group
	sentAt := g.now()
	g.mu.Lock()
	h.conn.sentAt = sentAt
	h.member.running++
	if h.pinned {
		h.member.inside++
	}
	valid := h.primary && g.right.Term() == h.term && g.right.Valid(sentAt)
	g.mu.Unlock()
	answers, err := h.conn.link.Run(deadline, commands...)
	now := g.now()
	g.set.config.Meter.MemberTime().Update(now.Sub(sentAt).Microseconds())
	g.mu.Lock()
	defer g.mu.Unlock()
	h.conn.sentAt = 0
	h.member.running--
	if h.pinned {
		h.member.inside--
	}
	if h.primary {
		g.usedAt = now
	}
	for i, answer := range answers {
		h.member.heardAt = now
		h.note(answer, commands[i], sentAt, valid, now)
	}
	if err != nil {
		g.kick()
	}
	return answers, err
}

// note records what an answer tells of its member. The caller holds the group's mu.
func (h *Conn) note(
	answer citronusher.Answer, command citronusher.Command, sentAt citronusher.Instant, valid bool, now citronusher.Instant,
) {
	g := h.group
	if valid {
		g.window.Observe(answer.Position, sentAt)
	}
	if !answer.Position.IsZero() {
		h.member.position = answer.Position
	}
	switch answer.Refusal {
	case citronusher.RefusalNone:
		h.member.window.ObserveSuccess(h.member.report.Slots)
	case citronusher.RefusalBusy:
		h.member.window.ObserveBusy(h.member.report.Slots, now)
	case citronusher.RefusalBehind:
		h.member.markBehind(command.After, now)
	case citronusher.RefusalReadOnly:
		if h.primary && g.right.Term() == h.term && !g.right.Closed() {
			g.right.Close()
			g.kick()
		}
	}
}

// Confirm waits until it is certain that no other primary had taken over when the last answer arrived. Its error is a
// *Failure with an unknown outcome.
func (h *Conn) Confirm(deadline citronusher.Instant) error {
	g := h.group
	began := g.now()
	timer := time.NewTimer(max(0, deadline.Sub(began)))
	defer timer.Stop()
	defer func() { g.set.config.Meter.ConfirmTime().Update(g.now().Sub(began).Microseconds()) }()
	for {
		g.mu.Lock()
		same := h.primary && g.right.Term() == h.term && !g.right.Closed()
		valid := same && g.right.Valid(g.now())
		changed := g.changed
		g.mu.Unlock()
		if valid {
			return nil
		}
		if !same {
			return citronusher.NewUnknown(citronusher.ReasonConfirm, "another primary took over while the write ran")
		}
		g.kick()
		select {
		case <-changed:
		case <-timer.C:
			return citronusher.NewUnknown(citronusher.ReasonConfirm, "the primary's term could not be confirmed in time")
		}
	}
}

// Release gives the connection back for other requests. Its session state must be as Values and Prepared say, and it
// must not be in a transaction.
func (h *Conn) Release() {
	g := h.group
	g.mu.Lock()
	defer g.mu.Unlock()
	h.member.give(h.pinned)
	_, kept := h.member.open[h.conn]
	if !kept || g.closed || g.members[h.member.report.ID] != h.member {
		delete(h.member.open, h.conn)
		closeConn(h.conn)
	} else {
		h.conn.idleSince = g.now()
		h.member.idle = append(h.member.idle, h.conn)
	}
	g.dispatch(g.now())
}

// Discard closes the connection; whatever it runs is rolled back.
func (h *Conn) Discard() {
	g := h.group
	closeConn(h.conn)
	g.mu.Lock()
	defer g.mu.Unlock()
	h.member.give(h.pinned)
	delete(h.member.open, h.conn)
	g.dispatch(g.now())
}
