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

// primaryWait is how long a request waits at one home for a primary before it is rejected as not run, so that its entry
// can forward it to another home.
const primaryWait = 300 * time.Millisecond

// database is one open database at this home.
type database struct {
	set            *Set
	name           string
	ctx            context.Context
	cancel         context.CancelFunc
	group          errgroup.Group
	confirm        *confirmer
	markedRequests atomic.Uint64 // marked requests that this home ran, for pruning

	markersAt atomic.Uint64 // the term under which this home last created the marker table

	mu             sync.Mutex
	config         profile.Database
	rank           int
	monitor        *term.Monitor
	targets        map[string]*target
	order          []string
	primary        string // according to the last answers of the members; empty if there is none
	term           uint64
	writesBlocked  bool          // writes are blocked: rounds under term failed and none has succeeded since
	changed        chan struct{} // closed and replaced when primary, term or writesBlocked changes
	probeNow       chan struct{} // closed and replaced to run the probes immediately
	usedAt         time.Time
	activeRequests int
	promoting      bool // a promotion is in progress
}

func newDatabase(set *Set, config profile.Database, rank int) *database {
	ctx, cancel := context.WithCancel(context.Background())
	d := &database{
		set: set, name: config.Name(), ctx: ctx, cancel: cancel, rank: rank, targets: map[string]*target{},
		changed: make(chan struct{}), probeNow: make(chan struct{}), usedAt: set.config.Clock.Now(),
		monitor: term.NewMonitor(nil, set.config.Policy.PromotionTimeouts, set.config.Clock.Now()),
	}
	d.monitor.SetRank(max(0, rank))
	d.confirm = newConfirmer(d)
	d.configure(config)
	return d
}

func (d *database) now() time.Time { return d.set.config.Clock.Now() }

// configure applies the database's part of a document: it starts to probe new members, and closes the targets of members
// that were removed or have another address.
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
	d.monitor.SetMembers(d.order, replaced, d.now())
	for name, m := range members {
		t := d.targets[name]
		if t == nil {
			t = newTarget(d, m)
			d.targets[name] = t
			d.group.Go(func() error { d.probeLoop(t); return nil })
		}
		t.setMember(m)
		d.monitor.SetLeaving(name, m.Leaving(), d.now())
	}
	d.refresh()
}

func (d *database) setRank(rank int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rank = rank
	d.monitor.SetRank(max(0, rank))
}

// unused reports whether the database has no request and has had none since the given time.
func (d *database) unused(since time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.activeRequests == 0 && d.usedAt.Before(since)
}

// use adds delta to the number of requests in progress and records the time of use.
func (d *database) use(delta int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.activeRequests += delta
	d.usedAt = d.now()
}

// refresh sets primary and term from the monitor. If they changed, it unblocks writes, notifies waiting requests, and
// closes the connections to a former primary. The caller holds mu.
func (d *database) refresh() {
	primary, newTerm, ok := d.monitor.Primary()
	if !ok {
		primary, newTerm = "", d.term
	}
	if primary == d.primary && newTerm == d.term {
		return
	}
	if old := d.targets[d.primary]; old != nil && d.primary != "" && (primary != d.primary) {
		old.pool.CloseAll()
	}
	d.primary, d.term = primary, newTerm
	d.writesBlocked = false
	d.notify()
}

// notify notifies the waiting requests of a change. The caller holds mu.
func (d *database) notify() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// wakeProbes runs the probes of all members immediately.
func (d *database) wakeProbes() {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.probeNow)
	d.probeNow = make(chan struct{})
}

// awaitPrimary returns the primary and its term, which is not older than the session's. It waits at most primaryWait for
// one. Its error is a *citronusher.Failure with the outcome not run.
func (d *database) awaitPrimary(ctx context.Context, seen citronusher.Position) (*target, uint64, error) {
	waitDeadline := d.now().Add(primaryWait)
	timer := time.NewTimer(primaryWait)
	defer timer.Stop()
	for {
		d.mu.Lock()
		t, current, changed := d.targets[d.primary], d.term, d.changed
		ready := t != nil && current >= seen.Term() && !d.monitor.Leaving(d.primary)
		writesBlocked := d.writesBlocked
		d.mu.Unlock()
		switch {
		case ready && writesBlocked:
			return nil, 0, citronusher.NewNotRun(citronusher.ReasonClosed,
				"a majority does not confirm the primary's term; requests are rejected until it does")
		case ready:
			return t, current, nil
		case !d.now().Before(waitDeadline):
			return nil, 0, citronusher.NewNotRun(citronusher.ReasonPrimary,
				"database %s has no primary that can serve the request now", d.name)
		}
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			return nil, 0, citronusher.NewNotRun(citronusher.ReasonDeadline,
				"the request reached its deadline or was cancelled while it waited for a primary")
		case <-d.ctx.Done():
			return nil, 0, citronusher.NewNotRun(citronusher.ReasonLeaving, "the daemon is stopping")
		}
	}
}

// checkLost returns a failure if a promotion discarded log records that the session has seen.
func (d *database) checkLost(seen citronusher.Position) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	termStart, lost := session.FirstLostTerm(seen, d.monitor.TermStarts())
	if !lost {
		return nil
	}
	return citronusher.NewNotRun(citronusher.ReasonLost,
		"the session position is %s, but term %d began at record %d: later records, possibly with writes of this "+
			"session, were lost with the former primary", seen, termStart.Term(), termStart.Offset())
}

// chooseReplica returns a replica for a read and the position that it has reached, or false when none is eligible, or when
// a newer term may have had a primary for longer than the read's profile allows: a replica can follow a superseded primary,
// and its age tells only what it lacks of that one.
func (d *database) chooseReplica(request citronusher.Request, p profile.Profile) (*target, citronusher.Position, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.set.config.Policy.Replicas || !p.Replica() || !request.PositionKnown || d.primary == "" {
		return nil, citronusher.Position{}, false
	}
	need := d.requirementLocked(request, p)
	if !d.monitor.HeldSince(need.Term, need.FreshSince) {
		return nil, citronusher.Position{}, false
	}
	//nolint:gosec // the choice needs no secrecy
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	chosen, ok := route.ChooseReplica(d.candidates(), need, p.Class() == profile.ClassLong, random)
	if !ok {
		return nil, citronusher.Position{}, false
	}
	return d.targets[chosen.Name], citronusher.NewPosition(d.term, chosen.State.Position().Offset()), true
}

// requirement returns what a replica must fulfil to serve the request.
func (d *database) requirement(request citronusher.Request, p profile.Profile) route.Requirement {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.requirementLocked(request, p)
}

// requirementLocked is need for a caller that holds mu.
func (d *database) requirementLocked(request citronusher.Request, p profile.Profile) route.Requirement {
	return route.Requirement{MinPosition: request.MinPosition, Term: d.term, FreshSince: d.now().Add(-p.MaxAge())}
}

// candidates returns the members as candidates for a read. The caller holds mu.
func (d *database) candidates() []route.Candidate {
	candidates := make([]route.Candidate, 0, len(d.order))
	for _, name := range d.order {
		t := d.targets[name]
		state, reachable := d.monitor.State(name)
		candidates = append(candidates, route.Candidate{
			Name: name, State: state, Load: t.load(), Leaving: d.monitor.Leaving(name),
			Reachable: reachable && !t.failing(), Diverged: d.divergedLocked(state),
		})
	}
	return candidates
}

// diverged reports whether a member's log holds records that a promotion discarded, which it has not removed yet.
func (d *database) diverged(state citronusher.MemberState) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.divergedLocked(state)
}

// divergedLocked is diverged for a caller that holds mu.
func (d *database) divergedLocked(state citronusher.MemberState) bool {
	_, lost := session.FirstLostTerm(state.Position(), d.monitor.TermStarts())
	return lost
}

// setWritesBlocked blocks or unblocks writes, unless confirmTerm is no longer the current term. It logs a change and
// notifies waiting requests.
func (d *database) setWritesBlocked(closed bool, confirmTerm uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.term != confirmTerm || d.writesBlocked == closed {
		return
	}
	d.writesBlocked = closed
	event := events.WritesOpened
	if closed {
		event = events.WritesClosed
	}
	events.Log(d.set.config.Logger, event, "database", d.name, "term", confirmTerm)
	d.notify()
}

// report returns what operators see of the database.
func (d *database) report() Report {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := Report{Database: d.name, Rank: d.rank, Primary: d.primary, Term: d.term, Closed: d.writesBlocked}
	for _, name := range d.order {
		state, reachable := d.monitor.State(name)
		m := d.targets[name].report()
		m.Role, m.Term, m.Position = string(state.Role()), state.Term(), state.Position().String()
		m.Age = d.now().Sub(state.FreshAt()).Round(time.Millisecond).String()
		m.Reachable, m.Leaving = reachable, d.monitor.Leaving(name)
		r.Members = append(r.Members, m)
	}
	return r
}

// explain describes, one line each, the profile and which members could serve a request with it now.
func (d *database) explain(p profile.Profile) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	lines := []string{fmt.Sprintf("profile %s: class %s, repeat %s, at most %s",
		p.Name(), p.Class(), p.RetryPolicy(), p.Timeout())}
	need := route.Requirement{Term: d.term, FreshSince: d.now().Add(-p.MaxAge())}
	held := d.monitor.HeldSince(need.Term, need.FreshSince)
	for _, c := range d.candidates() {
		switch {
		case c.Name == d.primary:
			lines = append(lines, fmt.Sprintf("%s: primary of term %d, load %.2f", c.Name, d.term, c.Load))
		case !p.Replica():
			lines = append(lines, c.Name+": replica, not allowed by the profile")
		case !held:
			lines = append(lines, fmt.Sprintf("%s: replica, not eligible (no majority reported term %d in the last %s)",
				c.Name, d.term, p.MaxAge()))
		case need.Eligible(c):
			lines = append(lines, fmt.Sprintf("%s: replica, eligible, load %.2f", c.Name, c.Load))
		default:
			lines = append(lines, fmt.Sprintf(
				"%s: replica, not eligible (reachable %t, leaving %t, term %d, data complete up to %s ago)",
				c.Name, c.Reachable, c.Leaving, c.State.Term(), d.now().Sub(c.State.FreshAt()).Round(time.Millisecond)))
		}
	}
	if d.primary == "" {
		lines = append(lines, "there is no primary now: writes wait or are rejected as not run")
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
