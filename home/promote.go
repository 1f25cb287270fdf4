package home

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/events"
	"citronusher.example/citronusher/term"
)

const (
	fenceTimeout      = 700 * time.Millisecond
	majorityGrace     = 150 * time.Millisecond // for the other members' answers after a majority accepted the term
	catchUpTimeout    = 1500 * time.Millisecond
	catchUpInterval   = 20 * time.Millisecond
	minPromotionDelay = 200 * time.Millisecond // minimum delay after a failed promotion
	moveRetryDelay    = 1 * time.Second        // minimum delay before a leaving primary is replaced again
)

// memberAnswer is one member's answer to a request or a command.
type memberAnswer struct {
	name  string
	state citronusher.MemberState
	err   error
}

// promote runs an election for a new term and promotes the candidate: the member with the latest log, if possible one that
// is not leaving. If it fails, or a leaving member had to be promoted, the next promotion is deferred by a random delay.
func (d *database) promote(action term.Action) {
	logger := d.set.config.Logger
	events.Log(logger, events.Promoting, "database", d.name, "term", action.Promote, "planned", action.Planned)
	ctx, cancel := context.WithTimeout(d.ctx, fenceTimeout+catchUpTimeout+commandTimeout)
	defer cancel()
	claim := term.NewElection(action.Promote, len(d.members()))
	skip := ""
	if action.Planned && d.fencePrimary(ctx, action, claim) {
		skip = action.Primary
	}
	d.fence(ctx, claim, action.Promote, skip)
	winner, ok := claim.Candidate(func(name string) bool { return !d.leaving(name) })
	if ok {
		ok = d.promoteCandidate(ctx, winner, action.Promote)
	}
	switch {
	case ok && d.leaving(winner):
		d.deferPromotion(moveRetryDelay)
	case !ok:
		d.deferPromotion(minPromotionDelay)
		events.Log(logger, events.PromotionFailed, "database", d.name, "term", action.Promote, "fenced", claim.Won())
		d.wakeProbes()
	}
}

// deferPromotion defers the next promotion by a random delay of at least low.
func (d *database) deferPromotion(low time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.monitor.DeferPromotion(d.now().Add(jitter(low)))
}

// members returns a copy of the targets by member name.
func (d *database) members() map[string]*target {
	d.mu.Lock()
	defer d.mu.Unlock()
	members := make(map[string]*target, len(d.targets))
	for name, t := range d.targets {
		members[name] = t
	}
	return members
}

func (d *database) leaving(name string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.monitor.Leaving(name)
}

// fence sends every member but skip the command to accept the term. It returns when all have answered, or majorityGrace
// after a majority has accepted.
func (d *database) fence(ctx context.Context, claim *term.Election, newTerm uint64, skip string) {
	ctx, cancel := context.WithTimeout(ctx, fenceTimeout)
	defer cancel()
	members := d.members()
	answers := make(chan memberAnswer, len(members))
	var group errgroup.Group
	for name, t := range members {
		if name == skip {
			continue
		}
		group.Go(func() error {
			state, err := t.control.Fence(ctx, newTerm, d.set.config.Self)
			answers <- memberAnswer{name: name, state: state, err: err}
			return nil
		})
	}
	var graceOver <-chan time.Time
	for !claim.Complete() {
		select {
		case answer := <-answers:
			if answer.err != nil {
				claim.AddRefused()
			} else {
				claim.AddFenced(answer.name, answer.state)
			}
			if claim.Won() && graceOver == nil {
				graceOver = time.After(majorityGrace)
			}
		case <-graceOver:
			cancel()
			_ = group.Wait()
			return
		}
	}
	_ = group.Wait()
}

// fencePrimary fences a working primary, so that its log ends, and waits at most catchUpTimeout until a member that is not
// leaving has all of the log. If none has, the primary itself is the candidate. It reports whether the primary accepted the
// term.
func (d *database) fencePrimary(ctx context.Context, action term.Action, claim *term.Election) bool {
	members := d.members()
	primary := members[action.Primary]
	if primary == nil {
		return false
	}
	state, err := primary.control.Fence(ctx, action.Promote, d.set.config.Self)
	if err != nil {
		return false
	}
	claim.AddFenced(action.Primary, state)
	waitDeadline := d.now().Add(catchUpTimeout)
	for d.now().Before(waitDeadline) && ctx.Err() == nil {
		for name, t := range members {
			if name == action.Primary || d.leaving(name) {
				continue
			}
			other, err := t.control.State(ctx)
			if err == nil && !other.Position().Less(state.Position()) {
				return true
			}
		}
		time.Sleep(catchUpInterval)
	}
	return true
}

// promoteCandidate promotes the candidate of an election, calls Config.OnPromoted and sends the other members the command
// to follow. It reports whether the candidate accepted the promotion.
func (d *database) promoteCandidate(ctx context.Context, winner string, newTerm uint64) bool {
	t := d.members()[winner]
	if t == nil {
		return false
	}
	state, err := t.control.Promote(ctx, newTerm, d.set.config.Self)
	if err != nil {
		return false
	}
	d.observe(t, state, nil)
	d.set.config.Meter.Promotions().Inc(1)
	events.Log(d.set.config.Logger, events.Promoted, "database", d.name, "member", winner, "term", newTerm,
		"position", state.Position().String())
	d.set.config.OnPromoted(d.name, newTerm, winner)
	var group errgroup.Group
	for name := range d.members() {
		if name != winner {
			group.Go(func() error { d.follow(name, newTerm, t); return nil })
		}
	}
	d.wakeProbes()
	return true
}
