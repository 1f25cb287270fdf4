package targets

import (
	"errors"
	"fmt"
	"time"

	"citronusher.example/citronusher"
)

var (
	// ErrNotSent reports that no lease allows to use the primary: nothing was sent, and the connection is in order.
	ErrNotSent = errors.New("the lease on the primary is not valid")
	// ErrUnconfirmed reports that the commands were answered, but that another primary may have taken over before. The
	// connection is in order.
	ErrUnconfirmed = errors.New("the lease on the primary ended before the answer came")
)

// Run sends commands and returns their answers. On a connection to the primary it does so only under the lease, and the
// lease is valid after the answer arrived, so that no other primary had taken over then; for that it waits until confirmBy
// when a renewal is due. A refusal needs no lease. It fails with ErrNotSent, with ErrUnconfirmed and all answers, or with
// the error of the connection, which must be discarded, and the answers that arrived.
func (h *Conn) Run(
	deadline, confirmBy citronusher.Instant, commands ...citronusher.Command,
) ([]citronusher.Answer, error) {
	sentAt, err := h.beginRun()
	if err != nil {
		return nil, err
	}
	answers, err := h.conn.link.Run(deadline, commands...)
	confirmed := h.endRun(sentAt, commands, answers, err)
	if err != nil || confirmed || answers[len(answers)-1].Refusal != citronusher.RefusalNone {
		return answers, err
	}
	return answers, h.confirm(confirmBy)
}

// Rollback rolls back the connection's open transaction and returns the answer. It needs no lease.
func (h *Conn) Rollback(deadline citronusher.Instant) (citronusher.Answer, error) {
	rollback := citronusher.Command{Statement: citronusher.Statement{Kind: citronusher.StatementRollback}}
	sentAt := h.group.now()
	h.group.mu.Lock()
	h.recordSent(sentAt)
	h.group.mu.Unlock()
	answers, err := h.conn.link.Run(deadline, rollback)
	h.endRun(sentAt, []citronusher.Command{rollback}, answers, err)
	if err != nil {
		return citronusher.Answer{}, err
	}
	return answers[0], nil
}

// beginRun checks the lease and records that commands are sent, at the time that it returns.
func (h *Conn) beginRun() (citronusher.Instant, error) {
	g := h.group
	sentAt := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if !h.usable(sentAt) {
		return 0, fmt.Errorf("%w: term %d", ErrNotSent, h.term)
	}
	h.recordSent(sentAt)
	return sentAt, nil
}

// usable reports whether the lease allows to send commands. New work needs a valid lease of the term under which the
// connection was acquired. In an open transaction it may have expired, since a renewal may be due. The caller holds the
// group's mu.
func (h *Conn) usable(now citronusher.Instant) bool {
	switch {
	case !h.primary:
		return true
	case h.conn.state.open:
		return h.unchanged()
	default:
		return h.leased(now)
	}
}

// leased reports whether the lease under which the connection was acquired is valid. The caller holds the group's mu.
func (h *Conn) leased(now citronusher.Instant) bool {
	return h.group.lease.Term() == h.term && h.group.lease.Valid(now)
}

// unchanged reports whether that lease is valid or can be renewed. The caller holds the group's mu.
func (h *Conn) unchanged() bool { return h.group.lease.Term() == h.term && !h.group.lease.Closed() }

// recordSent records that commands are sent. The caller holds the group's mu.
func (h *Conn) recordSent(sentAt citronusher.Instant) {
	h.conn.sentAt = sentAt
	h.member.running++
	if h.pinned {
		h.member.inTransaction++
	}
	h.valid = h.primary && h.leased(sentAt)
	h.shown = h.group.answered
}

// endRun records the answers to commands that were sent at sentAt. It reports whether they are confirmed: they came from a
// replica, or under a valid lease.
func (h *Conn) endRun(
	sentAt citronusher.Instant, commands []citronusher.Command, answers []citronusher.Answer, err error,
) bool {
	g := h.group
	now := g.now()
	g.set.config.Meter.MemberTime().Update(now.Sub(sentAt).Microseconds())
	g.mu.Lock()
	defer g.mu.Unlock()
	h.conn.sentAt = 0
	h.member.running--
	if h.pinned {
		h.member.inTransaction--
	}
	if err == nil && !answers[len(answers)-1].Refusal.NotRun() {
		g.queue.ObserveServed(h.ticket, now.Sub(sentAt), now)
	}
	for i, answer := range answers {
		h.member.lastResponseAt = now
		h.member.observeRunning(h.conn.openedAt, sentAt)
		h.observeAnswer(answer, commands[i], sentAt, now)
	}
	if err != nil {
		g.wakeLoop()
	}
	if !h.primary {
		return true
	}
	g.primaryUsedAt = now
	g.logLate(h, sentAt, now)
	return h.leased(now)
}

// confirm waits until the lease is valid, at a time after the last answer. It fails with ErrUnconfirmed when the lease has
// ended or by the deadline.
func (h *Conn) confirm(deadline citronusher.Instant) error {
	g := h.group
	startedAt := g.now()
	timer := time.NewTimer(max(0, deadline.Sub(startedAt)))
	defer timer.Stop()
	defer func() { g.set.config.Meter.ConfirmTime().Update(g.now().Sub(startedAt).Microseconds()) }()
	for {
		g.mu.Lock()
		valid, unchanged, changed := h.leased(g.now()), h.unchanged() && !g.closed, g.changed
		g.mu.Unlock()
		if valid {
			return nil
		}
		if !unchanged {
			return fmt.Errorf("%w: the lease of term %d cannot be renewed", ErrUnconfirmed, h.term)
		}
		g.wakeLoop()
		select {
		case <-changed:
		case <-timer.C:
			return fmt.Errorf("%w: the lease of term %d was not renewed in time", ErrUnconfirmed, h.term)
		}
	}
}
