package home

import (
	"context"
	"math/rand/v2"
	"time"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/events"
	"citronusher.example/citronusher/pg"
)

// Probe intervals. The first home asks often; the others ask often enough to take over from it.
const (
	probeTimeout    = 500 * time.Millisecond
	primaryInterval = 300 * time.Millisecond
	replicaInterval = 1 * time.Second
	retryInterval   = 100 * time.Millisecond // after an unanswered probe
	otherHomes      = 3                      // factor for homes that are not the first
	orderTimeout    = 1 * time.Second
	probeBudget     = 14.0 // probes a second of one daemon, so that control stays within its bytes
)

// probeRate returns how many probes a second a database of so many members asks of its home of the given rank.
func probeRate(rank, members int) float64 {
	rate := 1/primaryInterval.Seconds() + float64(members-1)/replicaInterval.Seconds()
	if rank != 0 {
		rate /= otherHomes
	}
	return rate
}

// slowdown returns the factor by which a daemon whose databases ask for so many probes a second stretches its
// intervals. Hashing makes a few daemons home of many databases; these notice a lost primary a little later.
func slowdown(rate float64) float64 { return max(1, rate/probeBudget) }

// probeLoop probes one member until its target or the database closes.
func (d *database) probeLoop(t *target) {
	for {
		d.probe(t)
		d.act()
		t.pump()
		d.mu.Lock()
		kicked := d.kicked
		interval := d.interval(t)
		d.mu.Unlock()
		select {
		case <-time.After(interval):
		case <-kicked:
		case <-t.done:
			return
		case <-d.ctx.Done():
			return
		}
	}
}

// interval returns the pause before the member's next probe. The caller holds mu.
func (d *database) interval(t *target) time.Duration {
	name := t.member.Name()
	if _, reachable := d.watch.State(name); !reachable {
		return retryInterval
	}
	if _, reachable := d.watch.State(d.primary); d.primary != "" && !reachable {
		return retryInterval // whether replicas hear from the primary decides how long to wait for it
	}
	interval := replicaInterval
	if name == d.primary || d.primary == "" {
		interval = primaryInterval
	}
	if d.rank != 0 {
		interval *= otherHomes
	}
	return time.Duration(float64(interval) * slowdown(d.set.probes.Load().(float64)))
}

func (d *database) probe(t *target) {
	ctx, cancel := context.WithTimeout(d.ctx, probeTimeout)
	defer cancel()
	state, err := t.control.State(ctx)
	if d.ctx.Err() != nil {
		return
	}
	d.set.config.Meter.Probes().Inc(1)
	d.observe(t, state, err)
}

// observe records an answer, or its absence, from a probe or a confirmation round.
func (d *database) observe(t *target, state citronusher.MemberState, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	name := t.member.Name()
	if d.targets[name] != t {
		return
	}
	if pg.Busy(err) {
		d.watch.ObserveBusy(name, d.now())
		return
	}
	if err != nil {
		if _, reachable := d.watch.State(name); reachable {
			events.Log(d.set.config.Logger, events.ProbeFailed, "database", d.name, "member", name, "error", err)
		}
		d.watch.ObserveFailure(name, pg.Refused(err))
		return
	}
	d.watch.Observe(name, state, d.now())
	d.refresh()
}

// act carries out what the watch decides.
func (d *database) act() {
	d.mu.Lock()
	action := d.watch.Decide(d.now())
	promote := action.Promote > 0 && !d.acting && d.rank >= 0
	d.acting = d.acting || promote
	upstream := d.targets[action.Primary]
	d.mu.Unlock()
	if promote {
		d.promote(action)
		d.mu.Lock()
		d.acting = false
		d.mu.Unlock()
		return
	}
	for _, name := range action.Follow {
		d.follow(name, action.Term, upstream)
	}
}

// follow orders a member to replicate from upstream.
func (d *database) follow(name string, currentTerm uint64, upstream *target) {
	d.mu.Lock()
	t := d.targets[name]
	d.mu.Unlock()
	if t == nil || upstream == nil {
		return
	}
	ctx, cancel := context.WithTimeout(d.ctx, orderTimeout)
	defer cancel()
	if err := t.control.Follow(ctx, currentTerm, upstream.address()); err == nil {
		events.Log(d.set.config.Logger, events.FollowRequested, "database", d.name, "member", name, "term", currentTerm)
	}
}

// jitter returns a random span between low and twice low.
func jitter(low time.Duration) time.Duration {
	return low + rand.N(low)
}
