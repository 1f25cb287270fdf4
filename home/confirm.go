package home

import (
	"context"
	"errors"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/events"
	"citronusher.example/citronusher/term"
)

const (
	memberRequestTimeout = 700 * time.Millisecond
	unblockInterval      = 100 * time.Millisecond // between rounds while writes are blocked
	replicationInterval  = 10 * time.Millisecond  // between rounds that wait for replication to a majority
	maxFailedRounds      = 3                      // failed rounds after which a commit is reported as unknown
)

const maxPendingRequests = 3 // unanswered requests of rounds to one member

var (
	// errSuperseded reports that the rounds did not confirm the term, or that another term is current.
	errSuperseded = errors.New("term was not confirmed")
	// errUnanswered reports that a member has not answered the requests of earlier rounds.
	errUnanswered = errors.New("member has not answered earlier requests")
)

// confirmationBatch is the set of commits that wait for the same confirmation round.
type confirmationBatch struct {
	done          chan struct{}
	round         *term.Round
	requestedTerm uint64 // the term that the round is to confirm
	verdict       term.Verdict
	position      citronusher.Position
}

// confirmer requests the members' terms after commits, in confirmation rounds. One round serves all commits that wait
// when it starts.
type confirmer struct {
	database *database
	group    errgroup.Group

	mu         sync.Mutex
	next       *confirmationBatch // the round that has not started
	running    bool
	unblocking bool // unblockLoop is running
	closed     bool
}

func newConfirmer(d *database) *confirmer { return &confirmer{database: d} }

// confirm waits until a majority has reported, after the call began, that the term wanted is unchanged. It returns the
// end of the primary's log, which is at or past every commit made before the call. With copies, it also waits until a
// majority has replicated the log up to that position. After maxFailedRounds failed rounds it blocks writes and returns
// errSuperseded.
func (c *confirmer) confirm(ctx context.Context, wanted uint64, copies bool) (citronusher.Position, error) {
	c.database.set.config.Meter.ConfirmedRequests().Inc(1)
	var first *confirmationBatch // the first round that confirmed the term
	for failures := 0; failures < maxFailedRounds; {
		b, err := c.join(ctx)
		if err != nil {
			return citronusher.Position{}, err
		}
		if b.verdict != term.Confirmed || b.requestedTerm != wanted {
			if b.requestedTerm != wanted {
				return citronusher.Position{}, errSuperseded
			}
			failures++
			continue
		}
		if first == nil {
			first = b
		}
		if !copies || b.round.HeldByMajority(first.round.LogEnd()) {
			return first.position, nil
		}
		select {
		case <-time.After(replicationInterval):
		case <-ctx.Done():
			return citronusher.Position{}, ctx.Err()
		}
	}
	c.database.setWritesBlocked(true, wanted)
	c.startUnblocking(wanted)
	return citronusher.Position{}, errSuperseded
}

// join waits for the end of a round that starts after the call.
func (c *confirmer) join(ctx context.Context) (*confirmationBatch, error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil, citronusher.ErrClosed
	}
	if c.next == nil {
		c.next = &confirmationBatch{done: make(chan struct{})}
	}
	b := c.next
	if !c.running {
		c.running = true
		c.group.Go(func() error { c.run(); return nil })
	}
	c.mu.Unlock()
	select {
	case <-b.done:
		return b, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// run runs rounds until no commit waits.
func (c *confirmer) run() {
	for {
		c.mu.Lock()
		b := c.next
		c.next = nil
		if b == nil {
			c.running = false
			c.mu.Unlock()
			return
		}
		c.mu.Unlock()
		c.runRound(b)
		close(b.done)
	}
}

// runRound runs one round. It returns as soon as the verdict is certain.
func (c *confirmer) runRound(b *confirmationBatch) {
	d := c.database
	d.mu.Lock()
	primary, current := d.primary, d.term
	d.mu.Unlock()
	members := d.members()
	d.set.config.Meter.ConfirmationRounds().Inc(1)
	b.requestedTerm = current
	b.round = term.NewRound(current, primary, len(members))
	answers := make(chan memberAnswer, len(members))
	for name, t := range members {
		d.group.Go(func() error {
			state, err := d.requestState(t)
			answers <- memberAnswer{name: name, state: state, err: err}
			return nil
		})
	}
	for range members {
		answer := <-answers
		if answer.err != nil {
			b.round.AddMissing(answer.name)
		} else {
			b.round.AddAnswer(answer.name, answer.state)
		}
		if b.verdict = b.round.Verdict(); b.verdict != term.Pending {
			break
		}
	}
	b.position = b.round.Position()
}

// requestState requests the state of one member and records it. The request has its own deadline: if it were
// cancelled once the round is decided, the control connection would be closed with it. A member with maxPendingRequests
// unanswered requests is not sent another.
func (d *database) requestState(t *target) (citronusher.MemberState, error) {
	if t.pendingRequests.Add(1) > maxPendingRequests {
		t.pendingRequests.Add(-1)
		return citronusher.MemberState{}, errUnanswered
	}
	defer t.pendingRequests.Add(-1)
	ctx, cancel := context.WithTimeout(d.ctx, memberRequestTimeout)
	defer cancel()
	state, err := t.control.State(ctx)
	if err == nil {
		d.observe(t, state, nil)
	}
	return state, err
}

// startUnblocking starts unblockLoop unless it runs already.
func (c *confirmer) startUnblocking(closedTerm uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unblocking || c.closed {
		return
	}
	c.unblocking = true
	c.group.Go(func() error {
		c.unblockLoop(closedTerm)
		c.mu.Lock()
		c.unblocking = false
		c.mu.Unlock()
		return nil
	})
}

// unblockLoop repeats rounds until one confirms the term, and then unblocks writes. It ends when the term changes.
func (c *confirmer) unblockLoop(closedTerm uint64) {
	for {
		select {
		case <-time.After(unblockInterval):
		case <-c.database.ctx.Done():
			return
		}
		b, err := c.join(c.database.ctx)
		if err != nil {
			return
		}
		if b.requestedTerm != closedTerm {
			return // the change of term unblocked writes
		}
		if b.verdict == term.Confirmed {
			c.database.setWritesBlocked(false, closedTerm)
			return
		}
	}
}

// Close waits for the rounds in progress. The database's context must have ended before.
func (c *confirmer) Close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	return c.group.Wait()
}

// confirmFailure returns the failure for a commit that was not confirmed because of err.
func (d *database) confirmFailure(err error) *citronusher.Failure {
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return citronusher.NewUnknown(citronusher.ReasonConfirm,
			"the target committed, but the request ended before the commit was confirmed")
	}
	f := citronusher.NewUnknown(citronusher.ReasonConfirm,
		"the target committed, but a majority could not confirm its term: the commit may be lost")
	events.Log(d.set.config.Logger, events.RequestUnknown, "database", d.name, "error", err)
	return f
}
