// Package schedule decides which waiting request starts next and at which member of its group.
//
// It orders the requests at load peaks, when there are more than the members have slots. Requests that can still meet
// their latency goal start before those that cannot, then by priority, then by latency goal. A request that cannot be
// answered before its deadline is rejected as soon as that is known. The package does no I/O and starts no goroutines.
package schedule

import (
	"slices"
	"time"

	"citronusher.example/citronusher"
)

// Ticket is one queued request.
type Ticket struct {
	requirement        Requirement
	priority           int
	goal               citronusher.Instant
	deadline           citronusher.Instant
	startGoal          citronusher.Instant // when the request must start to meet its goal; set by Queue.Add
	startDeadline      citronusher.Instant // when the request must start to be answered by its deadline; set by Queue.Add
	memberWaitDeadline citronusher.Instant
	failed             []string
}

// NewTicket returns the ticket of a request with a requirement on its member. The request meets its latency goal if it
// is answered before goal, and must be answered before deadline. Lower priorities start first.
func NewTicket(requirement Requirement, priority int, goal, deadline citronusher.Instant) *Ticket {
	return &Ticket{requirement: requirement, priority: priority, goal: goal, deadline: deadline}
}

// SetMemberWaitDeadline sets how long the request waits while no member can serve it.
func (t *Ticket) SetMemberWaitDeadline(deadline citronusher.Instant) { t.memberWaitDeadline = deadline }

// MemberWaitDeadline returns the time until which the request waits while no member can serve it.
func (t *Ticket) MemberWaitDeadline() citronusher.Instant { return t.memberWaitDeadline }

// Requirement returns what the request requires of a member.
func (t *Ticket) Requirement() Requirement { return t.requirement }

// Deadline returns the time by which the request must be answered.
func (t *Ticket) Deadline() citronusher.Instant { return t.deadline }

// StartDeadline returns the time after which the request no longer starts. It is set when the request is queued.
func (t *Ticket) StartDeadline() citronusher.Instant { return t.startDeadline }

// late reports whether the request can no longer meet its latency goal.
func (t *Ticket) late(now citronusher.Instant) bool { return t.startGoal < now }

// Avoid records that a member failed the request, which is then sent there only when no other member can serve it.
func (t *Ticket) Avoid(member string) { t.failed = append(t.failed, member) }

// Avoids reports whether Avoid was called for the member.
func (t *Ticket) Avoids(member string) bool { return slices.Contains(t.failed, member) }

// compare orders tickets by which starts first at now; negative when t does.
func (t *Ticket) compare(o *Ticket, now citronusher.Instant) int {
	if late := t.late(now); late != o.late(now) {
		if late {
			return 1
		}
		return -1
	}
	if t.priority != o.priority {
		return t.priority - o.priority
	}
	return int(min(1, max(-1, t.startGoal-o.startGoal)))
}

// Assignment is a request and the member that it is sent to.
type Assignment struct {
	Ticket *Ticket
	Member string
}

// Queue holds the waiting requests of one group.
type Queue struct {
	tickets []*Ticket
	runTime RunTime
	// primaryStarvation is that of the late requests that only the primary can serve, and replicaStarvation that of the
	// others.
	primaryStarvation, replicaStarvation starvation
}

// ObserveServed records that a member served the request at now, and how long it took from being sent.
func (q *Queue) ObserveServed(t *Ticket, took time.Duration, now citronusher.Instant) {
	q.runTime.Observe(took)
	if t.late(now.Add(-took)) {
		q.starvation(t).observeServed(now)
	}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.tickets) }

// PrimaryLen returns the number of waiting requests that only the primary can serve.
func (q *Queue) PrimaryLen() int {
	count := 0
	for _, t := range q.tickets {
		if t.requirement.Primary {
			count++
		}
	}
	return count
}

// Add adds a request to the queue at now. The request must start so early that it is answered in time if it takes as long
// as most statements do. A request with little time may use a quarter of it to wait.
func (q *Queue) Add(t *Ticket, now citronusher.Instant) {
	expected := q.runTime.Expected()
	t.startGoal = t.goal.Add(-min(expected, t.goal.Sub(now)*3/4))             //nolint:mnd // three quarters
	t.startDeadline = t.deadline.Add(-min(expected, t.deadline.Sub(now)*3/4)) //nolint:mnd // three quarters
	q.tickets = append(q.tickets, t)
}

// Remove removes a request and reports whether it was in the queue.
func (q *Queue) Remove(t *Ticket) bool {
	i := slices.Index(q.tickets, t)
	if i < 0 {
		return false
	}
	q.tickets = slices.Delete(q.tickets, i, i+1)
	return true
}

// RemoveFunc removes the requests for which unservable returns true, and returns them.
func (q *Queue) RemoveFunc(unservable func(t *Ticket) bool) []*Ticket {
	var removed []*Ticket
	q.tickets = slices.DeleteFunc(q.tickets, func(t *Ticket) bool {
		if !unservable(t) {
			return false
		}
		removed = append(removed, t)
		return true
	})
	return removed
}

// Dispatch removes and returns the requests that can start now and those whose deadline has passed. start is called for
// each request in turn; it counts the request at a member and returns that member. hasCapacity reports whether any member
// can accept another request. Without capacity start is not called, so that a long queue costs no processor time.
func (q *Queue) Dispatch(
	now citronusher.Instant, hasCapacity func() bool, start func(t *Ticket) (member string, ok bool),
) (started []Assignment, expired []*Ticket) {
	expired = q.RemoveFunc(func(t *Ticket) bool { return t.startDeadline <= now })
	if len(q.tickets) == 0 || !hasCapacity() {
		return nil, expired
	}
	slices.SortStableFunc(q.tickets, func(a, b *Ticket) int { return a.compare(b, now) })
	kept := make([]*Ticket, 0, len(q.tickets))
	for i, t := range q.tickets {
		member, ok := start(t)
		if !ok {
			kept = append(kept, t)
			continue
		}
		started = append(started, Assignment{Ticket: t, Member: member})
		if !hasCapacity() {
			kept = append(kept, q.tickets[i+1:]...)
			break
		}
	}
	q.tickets = kept
	q.observeLate(now)
	return started, expired
}
