// Package admission decides which request runs next on a target: an adaptive limit, work classes, fair queueing between
// callers, and early refusal of requests that cannot make their deadline.
//
// It starts no goroutine and reads no clock; its user calls it under a lock and passes the time.
package admission

import (
	"time"

	"citronusher.example/citronusher"
)

// maxQueue bounds the waiting requests of one target.
const maxQueue = 1024

// The weights of a new observation in the averages are one over these.
const (
	serviceWeight = 8
	waitWeight    = 4
)

// staleShare is how often a stale read goes first although fresh requests wait: once in so many starts.
const staleShare = 4

// Ticket is one request's place.
type Ticket struct {
	caller    string
	long      bool
	fresh     bool
	deadline  time.Time
	queuedAt  time.Time
	startedAt time.Time
	running   int // how many ran when it started
	state     state
}

type state int

const (
	waiting state = iota + 1
	running
	done
)

// NewTicket returns the ticket of a request of caller. long selects the work class; fresh requests go before stale
// reads; the request must start before deadline.
func NewTicket(caller string, long, fresh bool, deadline time.Time) *Ticket {
	return &Ticket{caller: caller, long: long, fresh: fresh, deadline: deadline}
}

// Running reports whether the request was admitted.
func (t *Ticket) Running() bool { return t.state == running }

// Decision is the answer to an offer.
type Decision struct {
	// Run means that the request starts now.
	Run bool
	// Wait means that the request was queued.
	Wait bool
	// Reason is set when the request is refused.
	Reason citronusher.Reason
}

// lane holds the waiting requests of one class.
type lane struct {
	fresh, stale fairQueue
	running      int
	starts       int
	service      time.Duration // average time of a request
	freshWait    time.Duration // average wait of the fresh requests that started from the queue lately
	staleWait    time.Duration // the same of the stale reads
}

func (l *lane) waiting() int { return l.fresh.size + l.stale.size }

// Queue is the admission of one target at one home.
type Queue struct {
	limiter   Limiter
	longLimit int
	longAfter time.Duration
	short     lane
	long      lane
	aged      map[*Ticket]bool // short requests that ran so long that they count as long
	started   map[*Ticket]bool
}

// New returns a queue that runs as many short requests as limiter says and at most longLimit long ones. A short request
// that runs past longAfter counts as long.
func New(limiter Limiter, longLimit int, longAfter time.Duration) *Queue {
	return &Queue{
		limiter: limiter, longLimit: max(1, longLimit), longAfter: longAfter,
		aged: map[*Ticket]bool{}, started: map[*Ticket]bool{},
	}
}

func (q *Queue) lane(t *Ticket) *lane {
	if t.long {
		return &q.long
	}
	return &q.short
}

// Running returns how many requests run.
func (q *Queue) Running() int { return q.short.running + q.long.running }

// Waiting returns how many requests wait.
func (q *Queue) Waiting() int { return q.short.waiting() + q.long.waiting() }

// Limit returns the current limit of short requests.
func (q *Queue) Limit() int { return q.limiter.Limit() }

// Offer admits, queues or refuses a request.
func (q *Queue) Offer(t *Ticket, now time.Time) Decision {
	q.age(now)
	l := q.lane(t)
	if q.room(t.long) && l.waiting() == 0 {
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

// room reports whether one more request of the class may run. Aged requests no longer count against short ones, up to
// the long limit, so that unannounced long work cannot hold every slot.
func (q *Queue) room(long bool) bool {
	if long {
		return q.long.running < q.longLimit
	}
	return q.short.running-min(len(q.aged), q.longLimit) < q.limiter.Limit()
}

// estimate returns how long it would take until the request is done: those before it, over the limit, at the average
// service time, but not less than what requests before it waited lately. Fresh requests count only the fresh ones
// before them.
func (q *Queue) estimate(t *Ticket) time.Duration {
	l := q.lane(t)
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

// age moves short requests that have run past the limit to the aged ones.
func (q *Queue) age(now time.Time) {
	for t := range q.started {
		if !t.long && now.Sub(t.startedAt) > q.longAfter {
			q.aged[t] = true
		}
	}
}

func (q *Queue) start(t *Ticket, now time.Time) {
	l := q.lane(t)
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
	l := q.lane(t)
	t.state = done
	l.running--
	delete(q.started, t)
	latency := now.Sub(t.startedAt)
	l.service += (latency - l.service) / serviceWeight
	if !t.long && !q.aged[t] {
		q.limiter.Observe(latency, t.running+1)
	}
	delete(q.aged, t)
	return q.Next(now)
}

// Remove takes a waiting request out of the queue; it reports false when the request was no longer waiting.
func (q *Queue) Remove(t *Ticket) bool {
	if t.state != waiting {
		return false
	}
	l := q.lane(t)
	t.state = done
	return l.fresh.remove(t) || l.stale.remove(t)
}

// Next starts waiting requests while there is room.
func (q *Queue) Next(now time.Time) (start, expired []*Ticket) {
	q.age(now)
	for _, long := range []bool{false, true} {
		l := &q.short
		if long {
			l = &q.long
		}
		for l.waiting() > 0 && q.room(long) {
			t := l.pop()
			l.noteWait(t, now)
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

// noteWait adds the wait of a request that leaves the queue to the averages.
func (l *lane) noteWait(t *Ticket, now time.Time) {
	average := &l.staleWait
	if t.fresh {
		average = &l.freshWait
	}
	*average += (now.Sub(t.queuedAt) - *average) / waitWeight
}

// pop takes the next request: fresh ones first, but a stale one in every staleShare starts.
func (l *lane) pop() *Ticket {
	l.starts++
	if l.fresh.size == 0 || (l.stale.size > 0 && l.starts%staleShare == 0) {
		return l.stale.pop()
	}
	return l.fresh.pop()
}
