// Package admission decides which request runs next on a target: by an adaptive concurrency limit, work classes, fair
// queueing between callers, and early rejection of requests that cannot meet their deadline.
//
// It starts no goroutines and reads no clock; its user calls it under a lock and passes the time.
package admission

import (
	"time"

	"citronusher.example/citronusher"
)

// maxQueue is the maximum number of waiting requests of one work class of a target.
const maxQueue = 1024

// A new observation enters the moving averages with a weight of one divided by these.
const (
	serviceWeight = 8
	waitWeight    = 4
)

// staleInterval is the number of starts of which one is a stale read's although fresh requests wait.
const staleInterval = 4

// Ticket is one request in the queue.
type Ticket struct {
	caller    string
	long      bool
	fresh     bool
	deadline  time.Time
	queuedAt  time.Time
	startedAt time.Time
	running   int // number of requests that ran when it started
	state     state
}

type state int

const (
	waiting state = iota + 1
	running
	done
)

// NewTicket returns the ticket of a request of caller. long selects the work class; fresh requests start before
// stale reads; the request must start before deadline.
func NewTicket(caller string, long, fresh bool, deadline time.Time) *Ticket {
	return &Ticket{caller: caller, long: long, fresh: fresh, deadline: deadline}
}

// Running reports whether the request was admitted.
func (t *Ticket) Running() bool { return t.state == running }

// Decision is the result of Offer.
type Decision struct {
	// Run means that the request starts now.
	Run bool
	// Wait means that the request was queued.
	Wait bool
	// Reason is set when the request is rejected.
	Reason citronusher.Reason
}

// classQueue holds the waiting requests of one work class.
type classQueue struct {
	fresh, stale fairQueue
	running      int
	starts       int
	service      time.Duration // average run time of a request
	freshWait    time.Duration // average wait of the fresh requests that recently left the queue
	staleWait    time.Duration // the same for the stale reads
}

func (l *classQueue) waiting() int { return l.fresh.size + l.stale.size }

// Queue is the admission queue of one target at one home.
type Queue struct {
	limiter      Limiter
	longLimit    int
	longAfter    time.Duration
	short        classQueue
	long         classQueue
	reclassified map[*Ticket]bool // short requests that have run longer than longAfter and count as long
	started      map[*Ticket]bool
}

// New returns a queue that runs at most limiter's limit of short requests and at most longLimit long ones. A short request
// that runs longer than longAfter counts as long.
func New(limiter Limiter, longLimit int, longAfter time.Duration) *Queue {
	return &Queue{
		limiter: limiter, longLimit: max(1, longLimit), longAfter: longAfter,
		reclassified: map[*Ticket]bool{}, started: map[*Ticket]bool{},
	}
}

func (q *Queue) classQueue(t *Ticket) *classQueue {
	if t.long {
		return &q.long
	}
	return &q.short
}

// Running returns the number of running requests.
func (q *Queue) Running() int { return q.short.running + q.long.running }

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return q.short.waiting() + q.long.waiting() }

// Limit returns the current limit of short requests.
func (q *Queue) Limit() int { return q.limiter.Limit() }

// Offer admits, queues or rejects a request.
func (q *Queue) Offer(t *Ticket, now time.Time) Decision {
	q.reclassify(now)
	l := q.classQueue(t)
	if q.hasCapacity(t.long) && l.waiting() == 0 {
		q.start(t, now)
		return Decision{Run: true}
	}
	switch {
	case l.waiting() >= maxQueue:
		return Decision{Reason: citronusher.ReasonFull}
	case !now.Add(q.estimate(t)).Before(t.deadline):
		return Decision{Reason: citronusher.ReasonQueue}
	}
	t.state = waiting
	t.queuedAt = now
	if t.fresh {
		l.fresh.push(t)
	} else {
		l.stale.push(t)
	}
	return Decision{Wait: true}
}

// hasCapacity reports whether one more request of the class may run. Up to longLimit reclassified requests do not count as
// short ones, so that long work that is not declared as long cannot hold every slot.
func (q *Queue) hasCapacity(long bool) bool {
	if long {
		return q.long.running < q.longLimit
	}
	return q.short.running-min(len(q.reclassified), q.longLimit) < q.limiter.Limit()
}

// estimate returns the expected time until the request is done: the queue before it, divided by the limit, at the average
// run time, but at least the recent average wait, plus the run time. For a fresh request only the fresh ones count.
func (q *Queue) estimate(t *Ticket) time.Duration {
	l := q.classQueue(t)
	before := l.fresh.size
	if !t.fresh {
		before = l.waiting()
	}
	limit := q.limiter.Limit()
	if t.long {
		limit = q.longLimit
	}
	wait := l.service * time.Duration(before+1) / time.Duration(limit)
	switch {
	case t.fresh && l.fresh.size > 0:
		wait = max(wait, l.freshWait)
	case !t.fresh && l.stale.size > 0:
		wait = max(wait, l.staleWait)
	}
	return wait + l.service
}

// reclassify makes short requests that have run longer than longAfter count as long.
func (q *Queue) reclassify(now time.Time) {
	for t := range q.started {
		if !t.long && now.Sub(t.startedAt) > q.longAfter {
			q.reclassified[t] = true
		}
	}
}

func (q *Queue) start(t *Ticket, now time.Time) {
	l := q.classQueue(t)
	t.running = l.running
	l.running++
	t.startedAt = now
	t.state = running
	q.started[t] = true
}

// Finish ends a request. It returns the requests that start now and those whose deadline passed while they waited.
func (q *Queue) Finish(t *Ticket, now time.Time) (start, expired []*Ticket) {
	if t.state != running {
		return nil, nil
	}
	l := q.classQueue(t)
	t.state = done
	l.running--
	delete(q.started, t)
	latency := now.Sub(t.startedAt)
	l.service += (latency - l.service) / serviceWeight
	if !t.long && !q.reclassified[t] {
		q.limiter.Observe(latency, t.running+1)
	}
	delete(q.reclassified, t)
	return q.Next(now)
}

// Remove removes a waiting request from the queue. It reports false when the request was no longer waiting.
func (q *Queue) Remove(t *Ticket) bool {
	if t.state != waiting {
		return false
	}
	l := q.classQueue(t)
	t.state = done
	return l.fresh.remove(t) || l.stale.remove(t)
}

// Next starts waiting requests while there is capacity. It also returns those whose deadline has passed.
func (q *Queue) Next(now time.Time) (start, expired []*Ticket) {
	q.reclassify(now)
	for _, long := range []bool{false, true} {
		l := &q.short
		if long {
			l = &q.long
		}
		for l.waiting() > 0 && q.hasCapacity(long) {
			t := l.pop()
			l.observeWait(t, now)
			if !now.Before(t.deadline) {
				t.state = done
				expired = append(expired, t)
				continue
			}
			q.start(t, now)
			start = append(start, t)
		}
	}
	return start, expired
}

// observeWait adds the wait of a request that leaves the queue to the averages.
func (l *classQueue) observeWait(t *Ticket, now time.Time) {
	average := &l.staleWait
	if t.fresh {
		average = &l.freshWait
	}
	*average += (now.Sub(t.queuedAt) - *average) / waitWeight
}

// pop removes the next request: fresh ones first, but a stale one once in every staleInterval starts.
func (l *classQueue) pop() *Ticket {
	l.starts++
	if l.fresh.size == 0 || (l.stale.size > 0 && l.starts%staleInterval == 0) {
		return l.stale.pop()
	}
	return l.fresh.pop()
}
