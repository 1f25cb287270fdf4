// Package relay has the statements of sessions run at a home of their group: here when this daemon is one, and
// otherwise at another daemon.
//
// It answers the load of many daemons before few connections: only the homes of a group hold connections to its members.
// A home that does not answer costs the callers of other daemons one try at the next home, for what did not run.
package relay

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/meter"
	"citronusher.example/citronusher/route"
)

const (
	runGrace      = 500 * time.Millisecond // beyond a statement's limit, for an answer that is on its way
	rollbackLimit = 300 * time.Millisecond
	silentAfter   = 250 * time.Millisecond // a home that answers nothing for so long is asked whether it lives
	pingLimit     = 250 * time.Millisecond
	pauseLeast    = 250 * time.Millisecond // before a home that did not answer is asked again
	pauseMost     = 2 * time.Second
	leavingSpan   = 8 * time.Second        // for which a home that leaves is not used
	patience      = 150 * time.Millisecond // for which one home waits for a member before the others are asked again
	roundLeast    = 50 * time.Millisecond  // between two rounds of all homes
	roundMost     = 3                      // homes that answer in one round
	poorSpan      = 300 * time.Millisecond // for which a home that could not serve a group is asked last
)

// Config holds what relaying needs from its daemon.
type Config struct {
	// Self names the daemon and Domain its failure domain.
	Self, Domain string
	// NewLocalExecutor returns an executor of this daemon.
	NewLocalExecutor func() citronusher.Executor
	// Homes returns daemons for a group, the best first, and how many of them are its homes.
	Homes func(group string) ([]citronusher.Instance, int)
	// Forwarder carries tasks to other daemons.
	Forwarder citronusher.TaskForwarder
	// Clock gives the time.
	Clock citronusher.MonotonicClock
	// Logger receives the events.
	Logger *slog.Logger
	// Meter counts.
	Meter *meter.Meter
}

// Relay finds homes for the sessions of this daemon.
type Relay struct {
	config   Config
	sessions atomic.Uint64
	ctx      context.Context
	cancel   context.CancelFunc
	tasks    errgroup.Group

	mu    sync.Mutex
	peers map[string]*peer
	poor  map[place]citronusher.Instant // until when a home is asked last, because it could not serve its group
}

// place is a group at one of its homes.
type place struct{ group, home string }

// New returns a relay that knows nothing of other daemons yet.
func New(config Config) *Relay {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Relay{
		config: config, ctx: ctx, cancel: cancel, peers: map[string]*peer{}, poor: map[place]citronusher.Instant{},
	}
	r.sessions.Store(uint64(config.Clock.Instant())) //nolint:gosec // an instant is not negative
	return r
}

// Open returns the executor of one session.
func (r *Relay) Open() citronusher.Executor {
	return &executor{relay: r, local: r.config.NewLocalExecutor()}
}

// Close waits for what runs in the background.
func (r *Relay) Close() error {
	r.cancel()
	return r.tasks.Wait()
}

// order returns the daemons that are asked to run a task, in turn: this one if it is a home, the homes that answer, near
// ones first, and otherwise this daemon at last. A home that has been silent for long is replaced by the next daemon of
// the group. mine is set when this daemon is a home.
func (r *Relay) order(group string) (list []citronusher.Instance, mine bool) {
	candidates, count := r.config.Homes(group)
	now := r.config.Clock.Instant()
	list = make([]citronusher.Instance, 0, count+1)
	places := 0 // of homes that are up, or down only for a short time
	for _, candidate := range candidates {
		if places >= count {
			break
		}
		if candidate.Name() == r.config.Self {
			mine = true
			places++
			list = append(list, candidate)
			continue
		}
		up, short := r.peer(candidate).state(now)
		if up {
			list = append(list, candidate)
		}
		if up || short {
			places++
		}
	}
	list = route.OrderHomes(list, r.config.Self, r.config.Domain, r.config.Self, false)
	r.poorLast(group, list, now)
	if !mine {
		list = append(list, citronusher.NewInstance(r.config.Self, "", "", citronusher.InstanceLive))
	}
	return list, mine
}

// poorLast moves the homes that could not serve the group a moment ago behind the others.
func (r *Relay) poorLast(group string, list []citronusher.Instance, now citronusher.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.poor) == 0 {
		return
	}
	rank := func(i citronusher.Instance) int {
		if now < r.poor[place{group: group, home: i.Name()}] {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(list, func(a, b citronusher.Instance) int { return rank(a) - rank(b) })
}

// noteServed records whether a home could serve a group.
func (r *Relay) noteServed(group string, home citronusher.Instance, served bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := place{group: group, home: home.Name()}
	if served {
		delete(r.poor, at)
		return
	}
	now := r.config.Clock.Instant()
	maps.DeleteFunc(r.poor, func(_ place, until citronusher.Instant) bool { return until <= now })
	r.poor[at] = now.Add(poorSpan)
}

// pause waits, and reports false when the relay closes.
func (r *Relay) pause(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.ctx.Done():
		return false
	}
}

// executor runs the tasks of one session wherever their group has a home.
type executor struct {
	relay  *Relay
	local  citronusher.Executor
	number uint64               // of the latest transaction or statement outside one
	at     citronusher.Instance // where the open transaction is
	held   bool                 // a transaction is open
	wrote  bool                 // the open transaction has sent a write
}

func (e *executor) key() citronusher.SessionKey {
	return citronusher.SessionKey{Instance: e.relay.config.Self, Number: e.number}
}

// Execute runs a task. What did not run at one home is tried at the next one, and at all of them again for as long as
// one of them may be able to serve it before its deadline.
func (e *executor) Execute(task citronusher.Task) (citronusher.TaskResult, error) {
	if task.Part == citronusher.PartNext {
		return e.next(task)
	}
	tries := 0
	for {
		roundAt := e.relay.config.Clock.Instant().Add(roundLeast)
		done, after, err := e.round(task, &tries)
		now := e.relay.config.Clock.Instant()
		if err == nil || after == 0 || now.Add(after) >= task.Deadline() || !e.relay.pause(roundAt.Sub(now)) {
			if err != nil || done.Trace.Home != "" {
				done.Trace.Attempts = tries
			}
			return done, err
		}
		task.MemberWaitDeadline = min(task.Deadline(), now.Add(min(after, patience)))
	}
}

// round tries a task at each home in turn. With an error that may be cured it returns after how long one of the homes
// may be able to serve the task; 0 when there is no point in another round. The first home may wait until the task's
// patience ends, the others answer at once. This daemon serves a group that it is no home of only when no home answers.
func (e *executor) round(task citronusher.Task, tries *int) (citronusher.TaskResult, time.Duration, error) {
	var done citronusher.TaskResult
	var err error
	soonest, answers := time.Duration(0), 0
	homes, mine := e.relay.order(task.Route.Group)
	for _, home := range homes {
		if answers >= roundMost || answers > 0 && !mine && home.Name() == e.relay.config.Self {
			break
		}
		done, err = e.try(home, task)
		*tries += max(1, done.Trace.Attempts)
		if err == nil {
			e.relay.noteServed(task.Route.Group, home, true)
		}
		if err == nil || !elsewhere(err) || e.relay.config.Clock.Instant() >= task.Deadline() {
			return done, 0, err
		}
		failure := citronusher.AsFailure(err)
		if failure.Reason() != citronusher.ReasonPeer && failure.Reason() != citronusher.ReasonLeaving {
			answers++
			e.relay.noteServed(task.Route.Group, home, false)
		}
		if after := max(roundLeast, failure.RetryAfter()); soonest == 0 || after < soonest {
			soonest = after
		}
		e.relay.config.Meter.CountRetry(failure.Reason())
		task.MemberWaitDeadline = 0
	}
	return done, soonest, err
}

// elsewhere reports whether a task that failed at one home may be run at another one.
func elsewhere(err error) bool {
	failure := citronusher.AsFailure(err)
	if failure.Outcome() != citronusher.NotRun {
		return false
	}
	switch failure.Reason() {
	case citronusher.ReasonPeer, citronusher.ReasonHome, citronusher.ReasonLeaving, citronusher.ReasonPrimary,
		citronusher.ReasonClosed, citronusher.ReasonConnect:
		return true
	default:
		return false
	}
}

// try runs a task outside a transaction, or the first one of a transaction, at a home.
func (e *executor) try(home citronusher.Instance, task citronusher.Task) (citronusher.TaskResult, error) {
	e.held, e.wrote = false, false
	e.at, e.number = home, e.relay.sessions.Add(1)
	if home.Name() == e.relay.config.Self {
		return e.here(task)
	}
	done, err := e.relay.carry(home, e.key(), task)
	e.note(task, done, err)
	if err == nil {
		return done, nil
	}
	var failure *citronusher.Failure
	if errors.As(err, &failure) {
		return done, failure
	}
	done = citronusher.TaskResult{SessionPosition: task.SessionPosition, Trace: citronusher.Trace{Home: home.Name(), Group: task.Route.Group}}
	if task.Part == citronusher.PartFirst && !errors.Is(err, citronusher.ErrNotDelivered) {
		e.abandon()
		return done, citronusher.NewNotRun(citronusher.ReasonGone,
			"the connection to the group's home broke as the transaction began; nothing of it is kept")
	}
	lost := task.Writes && task.Part == citronusher.PartNone && !errors.Is(err, citronusher.ErrNotDelivered)
	if lost {
		return done, citronusher.NewUnknown(citronusher.ReasonPeer,
			"the connection to the group's home broke while the write ran: %v", err)
	}
	return done, citronusher.NewNotRun(citronusher.ReasonPeer, "the group's home does not answer: %v", err)
}

// here runs a task at this daemon.
func (e *executor) here(task citronusher.Task) (citronusher.TaskResult, error) {
	done, err := e.local.Execute(task)
	e.note(task, done, err)
	return done, err
}

// note records whether a transaction is open after a task.
func (e *executor) note(task citronusher.Task, done citronusher.TaskResult, err error) {
	e.held = err == nil && task.Part != citronusher.PartNone && done.Answer.State != citronusher.StateIdle
	e.wrote = e.held && (e.wrote || task.Writes)
}

// next runs a later part of the open transaction where the transaction is.
func (e *executor) next(task citronusher.Task) (citronusher.TaskResult, error) {
	if e.at.Name() == e.relay.config.Self {
		return e.here(task)
	}
	wrote := e.wrote
	done, err := e.relay.carry(e.at, e.key(), task)
	e.note(task, done, err)
	var failure *citronusher.Failure
	if err == nil || errors.As(err, &failure) {
		return done, err
	}
	done = citronusher.TaskResult{
		SessionPosition: task.SessionPosition, Trace: citronusher.Trace{Home: e.at.Name(), Group: task.Route.Group, Attempts: 1},
	}
	commits := task.Statement.Kind == citronusher.StatementCommit
	switch {
	case !commits, errors.Is(err, citronusher.ErrNotDelivered):
		e.abandon()
		return done, citronusher.NewNotRun(citronusher.ReasonGone,
			"the connection to the group's home broke inside the transaction; nothing of it is kept")
	case !wrote:
		return done, citronusher.NewFailure(citronusher.Ran, citronusher.ReasonPeer,
			"the connection to the group's home broke at the end of a transaction that wrote nothing")
	default:
		return done, citronusher.NewUnknown(citronusher.ReasonPeer,
			"the connection to the group's home broke during the commit: %v", err)
	}
}

// Rollback rolls the open transaction back.
func (e *executor) Rollback() {
	if e.at.Name() == e.relay.config.Self {
		e.local.Rollback()
		return
	}
	if !e.held {
		return
	}
	e.held = false
	e.relay.rollback(e.at, e.key())
}

// abandon rolls a transaction back that another daemon may hold after a call to it failed.
func (e *executor) abandon() {
	home, key := e.at, e.key()
	e.relay.tasks.Go(func() error {
		e.relay.rollback(home, key)
		return nil
	})
}

// rollback asks a daemon to roll a transaction back. One that does not hear of it does so when the transaction has been
// idle for too long.
func (r *Relay) rollback(home citronusher.Instance, key citronusher.SessionKey) {
	ctx, cancel := context.WithTimeout(r.ctx, rollbackLimit)
	defer cancel()
	if err := r.config.Forwarder.Rollback(ctx, home, key); err != nil {
		r.peer(home).fail(err)
	}
}
