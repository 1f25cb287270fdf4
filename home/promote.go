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
	fenceTimeout = 700 * time.Millisecond
	settleTime   = 150 * time.Millisecond // for the last members' answers after a majority accepted
	catchUpLimit = 1500 * time.Millisecond
	catchUpPause = 20 * time.Millisecond
	promoteRetry = 200 * time.Millisecond // the shortest pause after a failed promotion
)

// memberAnswer is one member's answer to a question or an order.
type memberAnswer struct {
	name  string
	state citronusher.MemberState
	err   error
}

// promote claims a new term and promotes the member with the latest log.
func (d *database) promote(action term.Action) {
	logger := d.set.config.Logger
	events.Log(logger, events.Promoting, "database", d.name, "term", action.Promote, "planned", action.Planned)
	ctx, cancel := context.WithTimeout(d.ctx, fenceTimeout+catchUpLimit+orderTimeout)
	defer cancel()
	claim := term.NewElection(action.Promote, len(d.members()))
	skip := ""
	if action.Planned && d.fenceFirst(ctx, action, claim) {
		skip = action.Primary
	}
	d.fence(ctx, claim, action.Promote, skip)
	winner, ok := claim.Candidate(func(name string) bool { return !d.leaving(name) })
	if ok {
		ok = d.crown(ctx, winner, action.Promote)
	}
	if !ok {
		d.mu.Lock()
		d.watch.DeferPromotion(d.now().Add(jitter(promoteRetry)))
		d.mu.Unlock()
		events.Log(logger, events.PromotionFailed, "database", d.name, "term", action.Promote, "fenced", claim.Won())
		d.kick()
	}
}

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
	return d.watch.Leaving(name)
}

// fence orders every member but skip to accept the term, and returns once a majority did and the others had a short
// time to answer.
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
	var settled <-chan time.Time
	for !claim.Complete() {
		select {
		case answer := <-answers:
			if answer.err != nil {
				claim.AddRefused()
			} else {
				claim.AddFenced(answer.name, answer.state)
			}
			if claim.Won() && settled == nil {
				settled = time.After(settleTime)
			}
		case <-settled:
			cancel()
			_ = group.Wait()
			return
		}
	}
	_ = group.Wait()
}

// fenceFirst closes the log of a working primary and waits until a member that stays has all of it, so that a planned
// promotion loses nothing. It reports whether the primary accepted the term.
func (d *database) fenceFirst(ctx context.Context, action term.Action, claim *term.Election) bool {
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
	waitDeadline := d.now().Add(catchUpLimit)
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
		time.Sleep(catchUpPause)
	}
	return true
}

// crown promotes the winner of a claim and tells everyone.
func (d *database) crown(ctx context.Context, winner string, newTerm uint64) bool {
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
	d.set.config.Promoted(d.name, newTerm, winner)
	var group errgroup.Group
	for name := range d.members() {
		if name != winner {
			group.Go(func() error { d.follow(name, newTerm, t); return nil })
		}
	}
	d.kick()
	return true
}
