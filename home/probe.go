package home

import (
	"context"
	"math/rand/v2"
	"time"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/events"
	"citronusher.example/citronusher/pg"
)

// Probe intervals. The home of rank 0 probes most often; the others probe often enough to take over if it fails.
const (
	probeTimeout    = 500 * time.Millisecond
	primaryInterval = 300 * time.Millisecond
	replicaInterval = 1 * time.Second
	retryInterval   = 100 * time.Millisecond // after an unanswered probe
	otherHomes      = 3                      // factor for homes of another rank than 0
	commandTimeout  = 1 * time.Second
	probeBudget     = 14.0 // probes per second of one daemon, to bound the bytes of control traffic
)

// probeRate returns the probes per second that a home of the given rank sends to a database with the given number of
// members.
func probeRate(rank, members int) float64 {
	rate := 1/primaryInterval.Seconds() + float64(members-1)/replicaInterval.Seconds()
	if rank != 0 {
		rate /= otherHomes
	}
	return rate
}

// slowdown returns the factor that keeps a daemon within probeBudget: probe intervals are multiplied by it. rate is the
// probes per second that the daemon's databases require. Hashing makes a few daemons the home of many databases; these
// detect an outage of a primary slightly later.
func slowdown(rate float64) float64 { return max(1, rate/probeBudget) }

// probeLoop probes one member until its target or the database closes.
func (d *database) probeLoop(t *target) {
	for {
		d.probe(t)
		d.applyDecision()
		t.startBehindLong()
		d.mu.Lock()
		probeNow := d.probeNow
		interval := d.interval(t)
		d.mu.Unlock()
		select {
		case <-time.After(interval):
		case <-probeNow:
		case <-t.done:
			return
		case <-d.ctx.Done():
			return
		}
	}
}

// interval returns the delay before the member's next probe. The caller holds mu.
func (d *database) interval(t *target) time.Duration {
	name := t.member.Name()
	if _, reachable := d.monitor.State(name); !reachable {
		return retryInterval
	}
	if _, reachable := d.monitor.State(d.primary); d.primary != "" && !reachable {
		return retryInterval // the time until a promotion depends on whether replicas still receive from the primary
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

// probe requests the member's state and records it.
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

// observe records a member's state, or the error of the request for it, from a probe or a confirmation round.
func (d *database) observe(t *target, state citronusher.MemberState, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	name := t.member.Name()
	if d.targets[name] != t {
		return
	}
	if pg.ConnectionLimitReached(err) {
		d.monitor.ObserveBusy(name, d.now())
		return
	}
	if err != nil {
		if _, reachable := d.monitor.State(name); reachable {
			events.Log(d.set.config.Logger, events.ProbeFailed, "database", d.name, "member", name, "error", err)
		}
		d.monitor.ObserveFailure(name, pg.ConnectionRefused(err))
		return
	}
	d.monitor.Observe(name, state, d.now())
	d.refresh()
}

// applyDecision executes the monitor's decision: a promotion, or commands to follow the primary.
func (d *database) applyDecision() {
	d.mu.Lock()
	action := d.monitor.Decide(d.now())
	promote := action.Promote > 0 && !d.promoting && d.rank >= 0
	d.promoting = d.promoting || promote
	upstream := d.targets[action.Primary]
	d.mu.Unlock()
	if promote {
		d.promote(action)
		d.mu.Lock()
		d.promoting = false
		d.mu.Unlock()
		return
	}
	for _, name := range action.Follow {
		d.follow(name, action.Term, upstream)
	}
}

// follow sends a member the command to replicate from upstream.
func (d *database) follow(name string, currentTerm uint64, upstream *target) {
	d.mu.Lock()
	t := d.targets[name]
	d.mu.Unlock()
	if t == nil || upstream == nil {
		return
	}
	ctx, cancel := context.WithTimeout(d.ctx, commandTimeout)
	defer cancel()
	if err := t.control.Follow(ctx, currentTerm, upstream.address()); err == nil {
		events.Log(d.set.config.Logger, events.FollowRequested, "database", d.name, "member", name, "term", currentTerm)
	}
}

// jitter returns a random duration between low and twice low.
func jitter(low time.Duration) time.Duration {
	return low + rand.N(low)
}
