package schedule

import (
	"time"

	"citronusher.example/citronusher"
)

// starvation tracks for how long requests that can no longer meet their latency goal have waited while none of them
// was served, because the members serve requests that still can. This answers a load above the members' capacity: it keeps
// requests that will not be served from being held until their deadline.
type starvation struct {
	began      bool                // late requests wait, or the last ones that waited were rejected
	rejected   bool                // late requests were rejected since one was last served
	progressAt citronusher.Instant // when a late request was last served, or when the first one began to wait
	returning  int                 // requests that were rejected since then and told when to return
}

// minOverload is how long late requests must have starved before any is rejected for it: a shorter load peak may pass before
// their deadlines.
const minOverload = 2 * time.Second

// maxRetryDelay is the longest delay after which a rejected caller is told to return.
const maxRetryDelay = 5 * time.Second

// duration returns for how long late requests have not been served.
func (s *starvation) duration(now citronusher.Instant) time.Duration {
	if !s.began {
		return 0
	}
	return now.Sub(s.progressAt)
}

// observeWaiting records whether late requests wait.
func (s *starvation) observeWaiting(waiting bool, now citronusher.Instant) {
	switch {
	case waiting && !s.began:
		*s = starvation{began: true, progressAt: now}
	case !waiting && !s.rejected:
		*s = starvation{}
	}
}

// observeServed records that a late request was served.
func (s *starvation) observeServed(now citronusher.Instant) {
	s.progressAt, s.rejected, s.returning = now, false, 0
}

// starvation returns the starvation of the requests that can be served by the same members as t.
func (q *Queue) starvation(t *Ticket) *starvation {
	if t.requirement.PrimaryOnly() {
		return &q.primaryStarvation
	}
	return &q.replicaStarvation
}

// observeLate updates since when late requests wait. When no request waits the members have capacity again.
func (q *Queue) observeLate(now citronusher.Instant) {
	if len(q.tickets) == 0 {
		q.primaryStarvation, q.replicaStarvation = starvation{}, starvation{}
		return
	}
	var primary, replica bool
	for _, t := range q.tickets {
		if !t.late(now) {
			continue
		}
		if t.requirement.PrimaryOnly() {
			primary = true
		} else {
			replica = true
		}
	}
	q.primaryStarvation.observeWaiting(primary, now)
	q.replicaStarvation.observeWaiting(replica, now)
}

// RemoveHopeless removes and returns the late requests that are not expected to start before their deadline: late requests
// have already waited in vain for minOverload, and for longer than the request can still wait. servable reports whether a
// member could serve a request if it had capacity. A request for which there is none waits for a member and not for
// capacity, and is kept.
func (q *Queue) RemoveHopeless(now citronusher.Instant, servable func(t *Ticket) bool) []*Ticket {
	return q.RemoveFunc(func(t *Ticket) bool {
		s := q.starvation(t)
		starved := s.duration(now)
		if !t.late(now) || starved < minOverload || now.Add(starved) <= t.startDeadline {
			return false
		}
		if !servable(t) {
			s.progressAt = now
			return false
		}
		s.rejected = true
		return true
	})
}

// RetryDelay returns the delay after which the caller of a request that was rejected for lack of capacity may return. While
// late requests starve it is as long as they already have, and each further caller returns a statement's time later, so that
// the callers do not come back together. It is 0 when there is no such load.
func (q *Queue) RetryDelay(t *Ticket, now citronusher.Instant) time.Duration {
	s := q.starvation(t)
	if !s.began {
		return 0
	}
	delay := s.duration(now) + time.Duration(s.returning)*q.runTime.mean
	s.returning++
	return min(maxRetryDelay, delay)
}
