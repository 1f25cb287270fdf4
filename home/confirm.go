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
	roundTimeout  = 700 * time.Millisecond
	reopenPause   = 100 * time.Millisecond // between rounds while writes are closed
	copyPause     = 10 * time.Millisecond  // between rounds that wait for copies
	maxRoundWaits = 3                      // rounds that one commit may join before its outcome stays unknown
)

const maxAsking = 3 // questions of rounds that one member may leave unanswered at a time

var (
	// errSuperseded reports that a round could not confirm the term.
	errSuperseded = errors.New("term was not confirmed")
	// errUnanswered reports that a member still owes the answers to earlier rounds.
	errUnanswered = errors.New("member has not answered earlier questions")
)

// batch is the set of commits that one round serves.
type batch struct {
	done     chan struct{}
	round    *term.Round
	asked    uint64 // the term that was asked for
	verdict  term.Verdict
	position citronusher.Position
}

// confirmer asks the members for their term after commits. One round serves all commits that wait when it starts.
type confirmer struct {
	database *database
	group    errgroup.Group

	mu      sync.Mutex
	next    *batch // the round that has not started
	running bool
	healing bool
	closed  bool
}

func newConfirmer(d *database) *confirmer { return &confirmer{database: d} }

// confirm returns once the term was unchanged at a majority after the call began. It returns the end of the primary's
// log, which lies at or past every commit made before the call. With copies, a majority also holds that log.
func (c *confirmer) confirm(ctx context.Context, wanted uint64, copies bool) (citronusher.Position, error) {
	c.database.set.config.Meter.ConfirmedRequests().Inc(1)
	var held citronusher.Position
	for failures := 0; failures < maxRoundWaits; {
		b, err := c.join(ctx)
		if err != nil {
			return citronusher.Position{}, err
		}
		if b.verdict != term.Confirmed || b.asked != wanted {
			if b.asked != wanted {
				return citronusher.Position{}, errSuperseded
			}
			failures++
			continue
		}
		if held.IsZero() {
			held = b.position
		}
		if !copies || b.round.HeldByMajority(held) {
			return held, nil
		}
		select {
		case <-time.After(copyPause):
		case <-ctx.Done():
			return citronusher.Position{}, ctx.Err()
		}
	}
	c.database.setClosed(true, wanted)
	c.heal(wanted)
	return citronusher.Position{}, errSuperseded
}

// join waits for a round that starts after the call.
func (c *confirmer) join(ctx context.Context) (*batch, error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil, citronusher.ErrClosed
	}
	if c.next == nil {
		c.next = &batch{done: make(chan struct{})}
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

// run carries out rounds while commits wait.
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
		c.ask(b)
		close(b.done)
	}
}

// ask carries out one round.
func (c *confirmer) ask(b *batch) {
	d := c.database
	d.mu.Lock()
	primary, current := d.primary, d.term
	d.mu.Unlock()
	members := d.members()
	d.set.config.Meter.ConfirmationRounds().Inc(1)
	b.asked = current
	b.round = term.NewRound(current, primary, len(members))
	answers := make(chan memberAnswer, len(members))
	for name, t := range members {
		d.group.Go(func() error {
			state, err := d.askOne(t)
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

// askOne asks one member. It has its own deadline, so that a round that is already decided does not cut the question
// short and with it the control connection. A member that leaves several questions unanswered is not asked again.
func (d *database) askOne(t *target) (citronusher.MemberState, error) {
	if t.asking.Add(1) > maxAsking {
		t.asking.Add(-1)
		return citronusher.MemberState{}, errUnanswered
	}
	defer t.asking.Add(-1)
	ctx, cancel := context.WithTimeout(d.ctx, roundTimeout)
	defer cancel()
	state, err := t.control.State(ctx)
	if err == nil {
		d.observe(t, state, nil)
	}
	return state, err
}

// heal repeats rounds until one succeeds, and then opens writes again.
func (c *confirmer) heal(closedTerm uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.healing || c.closed {
		return
	}
	c.healing = true
	c.group.Go(func() error {
		c.healLoop(closedTerm)
		c.mu.Lock()
		c.healing = false
		c.mu.Unlock()
		return nil
	})
}

func (c *confirmer) healLoop(closedTerm uint64) {
	for {
		select {
		case <-time.After(reopenPause):
		case <-c.database.ctx.Done():
			return
		}
		b, err := c.join(c.database.ctx)
		if err != nil {
			return
		}
		if b.asked != closedTerm {
			return // the new term opened writes
		}
		if b.verdict == term.Confirmed {
			c.database.setClosed(false, closedTerm)
			return
		}
	}
}

// Close waits for the rounds in progress; the database's context must have ended.
func (c *confirmer) Close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	return c.group.Wait()
}

// confirmFailure turns a failed confirmation into the caller's error.
func (d *database) confirmFailure(err error) *citronusher.Failure {
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return citronusher.NewUnknown(citronusher.ReasonConfirm,
			"the target committed, but the commit was not confirmed before the deadline")
	}
	f := citronusher.NewUnknown(citronusher.ReasonConfirm,
		"the target committed, but its term could not be confirmed: the commit may be lost")
	events.Log(d.set.config.Logger, events.RequestUnknown, "database", d.name, "error", err)
	return f
}
