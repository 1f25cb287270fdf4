package home

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/admission"
	"citronusher.example/citronusher/group"
	"citronusher.example/citronusher/pg"
	"citronusher.example/citronusher/pool"
	"citronusher.example/citronusher/profile"
)

const (
	longRunningAfter = 500 * time.Millisecond // a request that runs longer is treated as long-running
	avoidDuration    = 500 * time.Millisecond // how long reads avoid a target after a failed connection
	noLimit          = 24 * time.Hour         // stands for no limit when the queue is switched off
	minIdleConns     = 1                      // idle connections that a pool keeps open
)

// target is one group member at this home: its control connection, its pool and its admission queue.
type target struct {
	database        *database
	control         *group.Target
	pool            *pool.Pool
	done            chan struct{}
	pendingRequests atomic.Int32 // unanswered requests of confirmation rounds

	mu        sync.Mutex
	member    profile.Member
	queue     *admission.Queue
	waits     map[*admission.Ticket]chan error
	failUntil time.Time
	closed    bool
}

func newTarget(d *database, m profile.Member) *target {
	config := d.set.config
	share := d.set.maxConnections(d.config) - 1 // one connection is the control connection
	dial := func(ctx context.Context) (*pg.Conn, error) { return config.Login.Dial(ctx, m.Address(), d.name) }
	t := &target{
		database: d, member: m, done: make(chan struct{}), waits: map[*admission.Ticket]chan error{},
		control: group.New(config.Login, m.Address(), d.name, config.Clock),
		pool:    pool.New(dial, share, min(minIdleConns, share)),
	}
	if config.Policy.Queue {
		low := (d.config.Slots() + d.config.Homes() - 1) / d.config.Homes() // this home's even share of the slots
		limiter := config.Policy.Limiter(min(share, d.config.Slots()), min(share, low), share)
		t.queue = admission.New(limiter, max(1, d.config.Slots()-1), longRunningAfter)
	} else {
		t.queue = admission.New(admission.Fixed(share), share, noLimit)
	}
	return t
}

func (t *target) address() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.member.Address()
}

func (t *target) setMember(m profile.Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.member = m
}

// load returns the number of running and waiting requests, divided by the concurrency limit.
func (t *target) load() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return float64(t.queue.Running()+t.queue.Waiting()) / float64(t.queue.Limit())
}

// failing reports whether reads must avoid the target.
func (t *target) failing() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.database.now().Before(t.failUntil)
}

// avoid makes reads avoid the target for avoidDuration, after a failed connection.
func (t *target) avoid() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failUntil = t.database.now().Add(avoidDuration)
}

// ticket returns the ticket with which a request enters the target's queue.
func (t *target) ticket(request citronusher.Request, p profile.Profile) *admission.Ticket {
	if !t.database.set.config.Policy.Queue {
		return admission.NewTicket("", false, true, t.database.now().Add(noLimit))
	}
	return admission.NewTicket(request.Caller, p.Class() == profile.ClassLong, !p.Replica(), request.Deadline)
}

// admit waits until the request may run. Its error is a *citronusher.Failure with the outcome not run.
func (t *target) admit(ctx context.Context, ticket *admission.Ticket) error {
	now := t.database.now()
	t.mu.Lock()
	if t.closed {
		t.mu.Unlock()
		return citronusher.NewNotRun(citronusher.ReasonLeaving, "the target is no longer served here")
	}
	decision := t.queue.Offer(ticket, now)
	if decision.Run {
		t.mu.Unlock()
		return nil
	}
	if !decision.Wait {
		t.mu.Unlock()
		return citronusher.NewNotRun(decision.Reason, "the target is busy: its queue does not accept the request")
	}
	wait := make(chan error, 1)
	t.waits[ticket] = wait
	t.startWaiting(now)
	t.mu.Unlock()
	defer func() {
		t.database.set.config.Meter.QueueWait().Update(t.database.now().Sub(now).Microseconds())
	}()
	select {
	case err := <-wait:
		return err
	case <-ctx.Done():
		t.leave(ticket)
		return citronusher.NewNotRun(citronusher.ReasonQueue,
			"the target is busy: the request reached its deadline or was cancelled in its queue")
	}
}

// leave removes a request from the queue, or finishes it if it was admitted in the meantime.
func (t *target) leave(ticket *admission.Ticket) {
	t.mu.Lock()
	delete(t.waits, ticket)
	left := t.queue.Remove(ticket)
	t.mu.Unlock()
	if !left {
		t.finish(ticket)
	}
}

// finish ends an admitted request and starts the next ones.
func (t *target) finish(ticket *admission.Ticket) {
	t.mu.Lock()
	defer t.mu.Unlock()
	start, expired := t.queue.Finish(ticket, t.database.now())
	t.signalAll(start, expired)
}

// startBehindLong starts waiting requests that may run because running ones have become long-running. While no request ends,
// no other event would start them.
func (t *target) startBehindLong() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.startWaiting(t.database.now())
}

// startWaiting starts waiting requests up to the concurrency limit. The caller holds mu.
func (t *target) startWaiting(now time.Time) {
	start, expired := t.queue.Next(now)
	t.signalAll(start, expired)
}

// signalAll notifies the requests that may start and those that expired in the queue. The caller holds mu.
func (t *target) signalAll(start, expired []*admission.Ticket) {
	for _, next := range start {
		t.signal(next, nil)
	}
	for _, next := range expired {
		t.signal(next, citronusher.NewNotRun(citronusher.ReasonQueue, "the target is busy: the deadline passed in its queue"))
	}
}

// signal ends the wait of a request in the queue with err, or with nil if it may run. The caller holds mu.
func (t *target) signal(ticket *admission.Ticket, err error) {
	if wait, ok := t.waits[ticket]; ok {
		delete(t.waits, ticket)
		wait <- err
	}
}

// report returns the parts of the member's status that the target has.
func (t *target) report() MemberReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	return MemberReport{
		Name: t.member.Name(), Address: t.member.Address(), Running: t.queue.Running(), Waiting: t.queue.Waiting(),
		Limit: t.queue.Limit(), Connections: t.pool.Size(),
	}
}

// Close rejects waiting requests, closes the idle connections and ends the probes.
func (t *target) Close() error {
	t.mu.Lock()
	if t.closed {
		t.mu.Unlock()
		return nil
	}
	t.closed = true
	close(t.done)
	for ticket := range t.waits {
		t.signal(ticket, citronusher.NewNotRun(citronusher.ReasonLeaving, "the target is no longer served here"))
	}
	t.mu.Unlock()
	if err := t.pool.Close(); err != nil {
		return err
	}
	return t.control.Close()
}
