package home

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/events"
	"citronusher.example/citronusher/profile"
	"citronusher.example/citronusher/route"
	"citronusher.example/citronusher/session"
	"citronusher.example/citronusher/term"
)

// primaryWait is how long a request waits at one home for a primary before it is refused, so that its entry can ask
// another home.
const primaryWait = 300 * time.Millisecond

// database is one open database at this home.
type database struct {
	set     *Set
	name    string
	ctx     context.Context
	cancel  context.CancelFunc
	group   errgroup.Group
	confirm *confirmer
	marks   atomic.Uint64 // marked requests that ran here

	markersAt atomic.Uint64 // the term under which the marker table was made

	mu      sync.Mutex
	config  profile.Database
	rank    int
	watch   *term.Monitor
	targets map[string]*target
	order   []string
	primary string // as of the last observation; empty when none is known
	term    uint64
	closed  bool // a confirmation failed under term and none succeeded since
	changed chan struct{}
	kicked  chan struct{}
	usedAt  time.Time
	works   int
	acting  bool // a promotion is in progress
}

func newDatabase(set *Set, config profile.Database, rank int) *database {
	ctx, cancel := context.WithCancel(context.Background())
	d := &database{
		set: set, name: config.Name(), ctx: ctx, cancel: cancel, rank: rank, targets: map[string]*target{},
		changed: make(chan struct{}), kicked: make(chan struct{}), usedAt: set.config.Clock.Now(),
		watch: term.NewMonitor(nil, set.config.Policy.Limits, set.config.Clock.Now()),
	}
	d.watch.SetRank(max(0, rank))
	d.confirm = newConfirmer(d)
	d.configure(config)
	return d
}

func (d *database) now() time.Time { return d.set.config.Clock.Now() }

// configure puts the database's part of a document in force: new members are probed, removed ones are dropped.
func (d *database) configure(config profile.Database) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.config = config
	members := map[string]profile.Member{}
	d.order = make([]string, 0, len(config.Members()))
	for _, m := range config.Members() {
		members[m.Name()] = m
		d.order = append(d.order, m.Name())
	}
	var replaced []string
	for name, t := range d.targets {
		if m, ok := members[name]; !ok || m.Address() != t.address() {
			replaced = append(replaced, name)
			delete(d.targets, name)
			d.group.Go(t.Close)
		}
	}
	d.watch.SetMembers(d.order, replaced, d.now())
	for name, m := range members {
		t := d.targets[name]
		if t == nil {
			t = newTarget(d, m)
			d.targets[name] = t
			d.group.Go(func() error { d.probeLoop(t); return nil })
		}
		t.setMember(m)
		d.watch.SetLeaving(name, m.Leaving(), d.now())
	}
	d.refresh()
}

func (d *database) setRank(rank int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rank = rank
	d.watch.SetRank(max(0, rank))
}

func (d *database) unused(since time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.works == 0 && d.usedAt.Before(since)
}

// use counts a work that holds a connection or waits for one.
func (d *database) use(delta int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.works += delta
	d.usedAt = d.now()
}

// refresh takes the watch's primary over and wakes the waiting requests when it changed. The caller holds mu.
func (d *database) refresh() {
	primary, newTerm, ok := d.watch.Primary()
	if !ok {
		primary, newTerm = "", d.term
	}
	if primary == d.primary && newTerm == d.term {
		return
	}
	if old := d.targets[d.primary]; old != nil && d.primary != "" && (primary != d.primary) {
		old.pool.Abort()
	}
	d.primary, d.term = primary, newTerm
	d.closed = false
	d.wake()
}

// wake signals a change to the waiting requests. The caller holds mu.
func (d *database) wake() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// kick makes every member's probe run now.
func (d *database) kick() {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.kicked)
	d.kicked = make(chan struct{})
}

// awaitPrimary returns the primary under a term not older than the session's, waiting a short time for it.
func (d *database) awaitPrimary(ctx context.Context, seen citronusher.Position) (*target, uint64, error) {
	waitDeadline := d.now().Add(primaryWait)
	timer := time.NewTimer(primaryWait)
	defer timer.Stop()
	for {
		d.mu.Lock()
		t, current, changed := d.targets[d.primary], d.term, d.changed
		ready := t != nil && current >= seen.Term() && !d.watch.Leaving(d.primary)
		closed := d.closed
		d.mu.Unlock()
		switch {
		case ready && closed:
			return nil, 0, citronusher.NewNotRun(citronusher.ReasonClosed,
				"the primary's term cannot be confirmed at a majority; requests are refused until it can")
		case ready:
			return t, current, nil
		case !d.now().Before(waitDeadline):
			return nil, 0, citronusher.NewNotRun(citronusher.ReasonPrimary, "database %s has no primary now", d.name)
		}
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			return nil, 0, citronusher.NewNotRun(citronusher.ReasonDeadline,
				"the deadline passed while the database had no primary")
		case <-d.ctx.Done():
			return nil, 0, citronusher.NewNotRun(citronusher.ReasonLeaving, "the daemon is stopping")
		}
	}
}

// checkLost reports records that the session has seen and that a promotion dropped.
func (d *database) checkLost(seen citronusher.Position) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	branch, lost := session.FirstLostTerm(seen, d.watch.TermStarts())
	if !lost {
		return nil
	}
	return citronusher.NewNotRun(citronusher.ReasonLost,
		"the session had seen position %s, but term %d began at record %d: later records, possibly with writes of this "+
			"session, were lost with the former primary", seen, branch.Term(), branch.Offset())
}

// chooseReplica returns a replica for a read, the position that it has reached, and false when none is eligible.
func (d *database) chooseReplica(request citronusher.Request, p profile.Profile) (*target, citronusher.Position, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.set.config.Policy.Replicas || !p.Replica() || !request.PositionKnown || d.primary == "" {
		return nil, citronusher.Position{}, false
	}
	need := d.needLocked(request, p)
	//nolint:gosec // the choice needs no secrecy
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	chosen, ok := route.ChooseReplica(d.candidates(), need, p.Class() == profile.ClassLong, random)
	if !ok {
		return nil, citronusher.Position{}, false
	}
	return d.targets[chosen.Name], citronusher.NewPosition(d.term, chosen.State.Position().Offset()), true
}

// need says what the request asks of a replica.
func (d *database) need(request citronusher.Request, p profile.Profile) route.Requirement {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.needLocked(request, p)
}

// needLocked is need for a caller that holds mu.
func (d *database) needLocked(request citronusher.Request, p profile.Profile) route.Requirement {
	return route.Requirement{MinPosition: request.MinPosition, Term: d.term, FreshSince: d.now().Add(-p.MaxAge())}
}

// candidates describes the members for the choice of a replica. The caller holds mu.
func (d *database) candidates() []route.Candidate {
	candidates := make([]route.Candidate, 0, len(d.order))
	for _, name := range d.order {
		t := d.targets[name]
		state, reachable := d.watch.State(name)
		candidates = append(candidates, route.Candidate{
			Name: name, State: state, Load: t.load(), Leaving: d.watch.Leaving(name),
			Reachable: reachable && !t.failing(),
		})
	}
	return candidates
}

// setClosed records whether commits under the given term can be confirmed.
func (d *database) setClosed(closed bool, confirmTerm uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.term != confirmTerm || d.closed == closed {
		return
	}
	d.closed = closed
	event := events.WritesOpened
	if closed {
		event = events.WritesClosed
	}
	events.Log(d.set.config.Logger, event, "database", d.name, "term", confirmTerm)
	d.wake()
}

func (d *database) report() Report {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := Report{Database: d.name, Rank: d.rank, Primary: d.primary, Term: d.term, Closed: d.closed}
	for _, name := range d.order {
		state, reachable := d.watch.State(name)
		m := d.targets[name].report()
		m.Role, m.Term, m.Position = string(state.Role()), state.Term(), state.Position().String()
		m.Age = d.now().Sub(state.FreshAt()).Round(time.Millisecond).String()
		m.Reachable, m.Leaving = reachable, d.watch.Leaving(name)
		r.Members = append(r.Members, m)
	}
	return r
}

// explain tells where a request with the profile would go now.
func (d *database) explain(p profile.Profile) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	lines := []string{fmt.Sprintf("profile %s: class %s, repeat %s, at most %s", p.Name(), p.Class(), p.RetryPolicy(), p.Timeout())}
	need := route.Requirement{Term: d.term, FreshSince: d.now().Add(-p.MaxAge())}
	for _, c := range d.candidates() {
		switch {
		case c.Name == d.primary:
			lines = append(lines, fmt.Sprintf("%s: primary of term %d, load %.2f", c.Name, d.term, c.Load))
		case !p.Replica():
			lines = append(lines, c.Name+": replica, not allowed by the profile")
		case need.Eligible(c):
			lines = append(lines, fmt.Sprintf("%s: replica, may serve, load %.2f", c.Name, c.Load))
		default:
			lines = append(lines, fmt.Sprintf("%s: replica, cannot serve (reachable %t, leaving %t, term %d, complete up to %s ago)",
				c.Name, c.Reachable, c.Leaving, c.State.Term(), d.now().Sub(c.State.FreshAt()).Round(time.Millisecond)))
		}
	}
	if d.primary == "" {
		lines = append(lines, "no primary is known now: writes wait or are refused as not run")
	}
	return lines
}

// Close stops the probes and closes the targets.
func (d *database) Close() error {
	d.cancel()
	d.mu.Lock()
	targets := d.targets
	d.mu.Unlock()
	for _, t := range targets {
		if err := t.Close(); err != nil {
			return err
		}
	}
	_ = d.confirm.Close()
	return d.group.Wait()
}
