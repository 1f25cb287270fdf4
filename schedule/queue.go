// Package schedule decides which waiting request goes next and to which member of its group.
//
// It answers the load of a wave's crest: more requests than the members' slots. Requests that can still meet their
// latency goal go before those that cannot, then by priority, then by goal. A request that cannot start before its
// deadline is refused. The package starts nothing and asks nobody.
package schedule

import (
	"slices"

	"citronusher.example/citronusher"
)

// Ticket is one waiting request.
type Ticket struct {
	need     Requirement
	priority int
	goal     citronusher.Instant
	deadline citronusher.Instant
	patience citronusher.Instant
	avoid    []string
}

// NewTicket returns the ticket of a request that needs a member as need says, meets its callers' goal when it starts
// before goal, and must start before deadline. A lower priority goes first.
func NewTicket(need Requirement, priority int, goal, deadline citronusher.Instant) *Ticket {
	return &Ticket{need: need, priority: priority, goal: goal, deadline: deadline}
}

// SetMemberWaitDeadline lets the request wait until deadline while no member can serve it.
func (t *Ticket) SetMemberWaitDeadline(deadline citronusher.Instant) { t.patience = deadline }

// MemberWaitDeadline returns until when the request waits while no member can serve it.
func (t *Ticket) MemberWaitDeadline() citronusher.Instant { return t.patience }

// Requirement returns what the request asks of a member.
func (t *Ticket) Requirement() Requirement { return t.need }

// Deadline returns when the request must have started.
func (t *Ticket) Deadline() citronusher.Instant { return t.deadline }

// Avoid keeps the request away from a member that has failed it, as long as another one can serve.
func (t *Ticket) Avoid(member string) { t.avoid = append(t.avoid, member) }

// Avoids reports whether the member has failed the request.
func (t *Ticket) Avoids(member string) bool { return slices.Contains(t.avoid, member) }

// before orders tickets by what goes first at now.
func (t *Ticket) before(o *Ticket, now citronusher.Instant) int {
	if late, otherLate := t.goal < now, o.goal < now; late != otherLate {
		if late {
			return 1
		}
		return -1
	}
	if t.priority != o.priority {
		return t.priority - o.priority
	}
	return int(min(1, max(-1, t.goal-o.goal)))
}

// Assignment is a request with the member that it may start at.
type Assignment struct {
	Ticket *Ticket
	Member string
}

// Queue holds the waiting requests of one group.
type Queue struct {
	tickets []*Ticket
}

// Len returns how many requests wait.
func (q *Queue) Len() int { return len(q.tickets) }

// PrimaryLen returns how many requests wait that only the primary can serve.
func (q *Queue) PrimaryLen() int {
	count := 0
	for _, t := range q.tickets {
		if t.need.Primary {
			count++
		}
	}
	return count
}

// Add puts a request into the queue.
func (q *Queue) Add(t *Ticket) { q.tickets = append(q.tickets, t) }

// Remove takes a request out. It reports false when the request is not in the queue.
func (q *Queue) Remove(t *Ticket) bool {
	i := slices.Index(q.tickets, t)
	if i < 0 {
		return false
	}
	q.tickets = slices.Delete(q.tickets, i, i+1)
	return true
}

// RemoveFunc takes the requests out that hopeless reports, because nothing can start them before their deadline.
func (q *Queue) RemoveFunc(hopeless func(t *Ticket) bool) []*Ticket {
	var dropped []*Ticket
	q.tickets = slices.DeleteFunc(q.tickets, func(t *Ticket) bool {
		if !hopeless(t) {
			return false
		}
		dropped = append(dropped, t)
		return true
	})
	return dropped
}

// Dispatch takes the requests out that can start now and those whose deadline has passed. start is called for each
// request in turn and returns the member that it starts at, after it has counted the request there. room reports
// whether any member can take another request: without room nobody is asked, so that a long queue costs nothing.
func (q *Queue) Dispatch(
	now citronusher.Instant, room func() bool, start func(t *Ticket) (member string, ok bool),
) (started []Assignment, expired []*Ticket) {
	expired = q.RemoveFunc(func(t *Ticket) bool { return t.deadline <= now })
	if len(q.tickets) == 0 || !room() {
		return nil, expired
	}
	slices.SortStableFunc(q.tickets, func(a, b *Ticket) int { return a.before(b, now) })
	kept := make([]*Ticket, 0, len(q.tickets))
	for i, t := range q.tickets {
		member, ok := start(t)
		if !ok {
			kept = append(kept, t)
			continue
		}
		started = append(started, Assignment{Ticket: t, Member: member})
		if !room() {
			kept = append(kept, q.tickets[i+1:]...)
			break
		}
	}
	q.tickets = kept
	return started, expired
}
