// Package relay runs the statements of sessions at a home of their group: at this daemon when it is a home, and otherwise
// by forwarding them to another daemon.
//
// Only the homes of a group hold connections to its members, so that many daemons can share members that accept few
// connections. When a home does not respond, a statement that did not run is attempted once more at the next home.
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
	responseGrace        = 500 * time.Millisecond // after a statement's deadline, for an answer that is in transit
	rollbackTimeout      = 300 * time.Millisecond
	pingDelay            = 250 * time.Millisecond // without a response, after which a home is pinged
	pingTimeout          = 250 * time.Millisecond
	minPingBackoff       = 100 * time.Millisecond // before an unresponsive home is pinged again
	maxPingBackoff       = 2 * time.Second
	drainingTTL          = 8 * time.Second        // during which a draining home is not used
	memberWaitTimeout    = 150 * time.Millisecond // during which one home waits for a member before the next attempt round
	minRoundInterval     = 50 * time.Millisecond  // between the starts of two attempt rounds
	maxRoundResponses    = 3                      // homes that respond in one attempt round
	deprioritizeDuration = 300 * time.Millisecond // during which a home that could not serve a group is tried last
)

// Config holds the dependencies of a Relay.
type Config struct {
	// Self is the name of this daemon, and Domain its failure domain.
	Self, Domain string
	// NewLocalExecutor returns an executor that runs tasks at this daemon.
	NewLocalExecutor func() citronusher.Executor
	// Homes returns the candidate daemons for a group, in order of preference, and how many homes the group has.
	Homes func(group string) ([]citronusher.Instance, int)
	// Forwarder forwards tasks to other daemons.
	Forwarder citronusher.TaskForwarder
	// Clock is the clock for deadlines and backoffs.
	Clock citronusher.MonotonicClock
	// Logger receives the log events.
	Logger *slog.Logger
	// Meter receives the retry and forwarding metrics.
	Meter *meter.Meter
}

// Relay runs the tasks of this daemon's sessions at homes, and tracks which other daemons respond.
type Relay struct {
	config     Config
	lastNumber atomic.Uint64
	ctx        context.Context
	cancel     context.CancelFunc
	tasks      errgroup.Group

	mu            sync.Mutex
	peers         map[string]*peer
	deprioritized map[groupHome]citronusher.Instant // until when a home is tried last, after it could not serve the group
}

// groupHome identifies a group at one of its homes.
type groupHome struct{ group, home string }

// New returns a relay that regards every other daemon as responsive until a call to it fails.
func New(config Config) *Relay {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Relay{
		config: config, ctx: ctx, cancel: cancel, peers: map[string]*peer{},
		deprioritized: map[groupHome]citronusher.Instant{},
	}
	r.lastNumber.Store(uint64(config.Clock.Instant())) //nolint:gosec // an instant is not negative
	return r
}

// Open returns a new executor for one session.
func (r *Relay) Open() citronusher.Executor {
	return &executor{relay: r, local: r.config.NewLocalExecutor()}
}

// Close cancels the background tasks and calls, and waits for the background tasks.
func (r *Relay) Close() error {
	r.cancel()
	return r.tasks.Wait()
}

// homeOrder is the order in which a task is attempted at daemons.
type homeOrder struct {
	list []citronusher.Instance
	// selfIsHome is set when this daemon is a home; it is then in the list.
	selfIsHome bool
	// homesPending is set when a home is restarting, or when the homes are not known yet.
	homesPending bool
}

// orderHomes returns the daemons at which a task is attempted, in order: this daemon if it is a home, then the responsive
// homes, those in the same failure domain first. Homes that recently could not serve the group come after the others. A
// home that has been unavailable for longer than outageGrace is replaced by the next candidate of the group.
//
// If this daemon is no home, it comes last, unless a home is restarting or the homes are not known yet: when all daemons of
// a large fleet restart together, their connections would exceed what the members accept, and the homes could open none.
func (r *Relay) orderHomes(group string) homeOrder {
	candidates, count := r.config.Homes(group)
	now := r.config.Clock.Instant()
	order := homeOrder{list: make([]citronusher.Instance, 0, count+1), homesPending: len(candidates) == 0}
	homes := 0 // homes that are available, or have been unavailable for no longer than outageGrace
	for _, candidate := range candidates {
		if homes >= count {
			break
		}
		state := available
		if candidate.Name() == r.config.Self {
			order.selfIsHome = true
		} else {
			state = r.peer(candidate).availability(now)
		}
		if state == available {
			order.list = append(order.list, candidate)
		}
		if state != gone {
			homes++
		}
		order.homesPending = order.homesPending || state == restarting
	}
	order.list = route.OrderHomes(order.list, r.config.Self, r.config.Domain, r.config.Self, false)
	r.deprioritizeFailed(group, order.list, now)
	if !order.selfIsHome && !order.homesPending {
		order.list = append(order.list, citronusher.NewInstance(r.config.Self, "", "", citronusher.InstanceLive))
	}
	return order
}

// homesPending reports whether a home of the group is restarting, or its homes are not known yet.
func (r *Relay) homesPending(group string) bool { return r.orderHomes(group).homesPending }

// deprioritizeFailed moves the homes that recently could not serve the group behind the others.
func (r *Relay) deprioritizeFailed(group string, list []citronusher.Instance, now citronusher.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.deprioritized) == 0 {
		return
	}
	rank := func(i citronusher.Instance) int {
		if now < r.deprioritized[groupHome{group: group, home: i.Name()}] {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(list, func(a, b citronusher.Instance) int { return rank(a) - rank(b) })
}

// recordServed records whether a home could serve the group.
func (r *Relay) recordServed(group string, home citronusher.Instance, served bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := groupHome{group: group, home: home.Name()}
	if served {
		delete(r.deprioritized, key)
		return
	}
	now := r.config.Clock.Instant()
	maps.DeleteFunc(r.deprioritized, func(_ groupHome, until citronusher.Instant) bool { return until <= now })
	r.deprioritized[key] = now.Add(deprioritizeDuration)
}

// wait waits for d and reports whether it passed before the relay was closed.
func (r *Relay) wait(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.ctx.Done():
		return false
	}
}

// executor runs the tasks of one session at the homes of their groups.
type executor struct {
	relay  *Relay
	local  citronusher.Executor
	number uint64               // number in the session key, new for each transaction and for each autocommit statement
	home   citronusher.Instance // home of the latest transaction or autocommit statement
	open   bool                 // a transaction is open
	wrote  bool                 // the open transaction has sent a write
}

func (e *executor) key() citronusher.SessionKey {
	return citronusher.SessionKey{Instance: e.relay.config.Self, Number: e.number}
}

// Execute runs a task. A task that did not run at one home is attempted at the next one. Attempt rounds over the homes are
// repeated for as long as one of them may be able to serve the task before its deadline.
func (e *executor) Execute(task citronusher.Task) (citronusher.TaskResult, error) {
	if task.Part == citronusher.PartNext {
		return e.executeNext(task)
	}
	tries := 0
	for {
		nextRoundAt := e.relay.config.Clock.Instant().Add(minRoundInterval)
		done, after, err := e.attemptRound(task, &tries)
		now := e.relay.config.Clock.Instant()
		if err == nil || after == 0 || now.Add(after) >= task.Deadline() || !e.relay.wait(nextRoundAt.Sub(now)) {
			if err != nil || done.Trace.Home != "" {
				done.Trace.Attempts = tries
			}
			return done, err
		}
		task.MemberWaitDeadline = min(task.Deadline(), now.Add(min(after, memberWaitTimeout)))
	}
}

// attemptRound attempts a task at each home in order. With a transient error it returns the shortest time after which one
// of the homes may be able to serve the task, and 0 when another attempt round is pointless. The first home may wait until
// the task's member wait deadline; the others respond at once. This daemon serves a group that it is no home of only when
// no home responds.
func (e *executor) attemptRound(task citronusher.Task, tries *int) (citronusher.TaskResult, time.Duration, error) {
	var done citronusher.TaskResult
	var err error
	minRetryAfter, responses := time.Duration(0), 0
	order := e.relay.orderHomes(task.Route.Group)
	if len(order.list) == 0 {
		return done, minRoundInterval, citronusher.NewNotRun(citronusher.ReasonPeer, "the homes of group %s are not up yet",
			task.Route.Group).WithRetryAfter(minRoundInterval)
	}
	for _, home := range order.list {
		if responses >= maxRoundResponses {
			break
		}
		asNonHome := !order.selfIsHome && home.Name() == e.relay.config.Self
		if asNonHome && (responses > 0 || e.relay.homesPending(task.Route.Group)) {
			break
		}
		done, err = e.attempt(home, task)
		*tries += max(1, done.Trace.Attempts)
		if err == nil {
			e.relay.recordServed(task.Route.Group, home, true)
		}
		if err == nil || !retryableAtAnotherHome(err) || e.relay.config.Clock.Instant() >= task.Deadline() {
			return done, 0, err
		}
		failure := citronusher.AsFailure(err)
		if failure.Reason() != citronusher.ReasonPeer && failure.Reason() != citronusher.ReasonLeaving {
			responses++
			e.relay.recordServed(task.Route.Group, home, false)
		}
		if after := max(minRoundInterval, failure.RetryAfter()); minRetryAfter == 0 || after < minRetryAfter {
			minRetryAfter = after
		}
		e.relay.config.Meter.CountRetry(failure.Reason())
		task.MemberWaitDeadline = 0
	}
	return done, minRetryAfter, err
}

// retryableAtAnotherHome reports whether a task that failed at one home may be attempted at another one.
func retryableAtAnotherHome(err error) bool {
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

// attempt runs an autocommit task, or the first task of a transaction, at a home.
func (e *executor) attempt(home citronusher.Instance, task citronusher.Task) (citronusher.TaskResult, error) {
	e.open, e.wrote = false, false
	e.home, e.number = home, e.relay.lastNumber.Add(1)
	if home.Name() == e.relay.config.Self {
		return e.executeLocal(task)
	}
	done, err := e.relay.forward(home, e.key(), task)
	e.recordTransaction(task, done, err)
	if err == nil {
		return done, nil
	}
	var failure *citronusher.Failure
	if errors.As(err, &failure) {
		return done, failure
	}
	done = citronusher.TaskResult{
		SessionPosition: task.SessionPosition, Trace: citronusher.Trace{Home: home.Name(), Group: task.Route.Group},
	}
	if task.Part == citronusher.PartFirst && !errors.Is(err, citronusher.ErrNotDelivered) {
		e.rollBackAsync()
		return done, citronusher.NewNotRun(citronusher.ReasonGone,
			"the connection to the group's home broke while the transaction began; the transaction does not take effect")
	}
	lost := task.Writes && task.Part == citronusher.PartNone && !errors.Is(err, citronusher.ErrNotDelivered)
	if lost {
		return done, citronusher.NewUnknown(citronusher.ReasonPeer,
			"the connection to the group's home broke while the write ran: %v", err)
	}
	return done, citronusher.NewNotRun(citronusher.ReasonPeer, "the group's home did not respond: %v", err)
}

// executeLocal runs a task at this daemon and records the transaction's state.
func (e *executor) executeLocal(task citronusher.Task) (citronusher.TaskResult, error) {
	done, err := e.local.Execute(task)
	e.recordTransaction(task, done, err)
	return done, err
}

// recordTransaction records whether a transaction is open after a task, and whether it has written.
func (e *executor) recordTransaction(task citronusher.Task, done citronusher.TaskResult, err error) {
	e.open = err == nil && task.Part != citronusher.PartNone && done.Answer.State != citronusher.StateIdle
	e.wrote = e.open && (e.wrote || task.Writes)
}

// executeNext runs a later statement of the open transaction at the transaction's home.
func (e *executor) executeNext(task citronusher.Task) (citronusher.TaskResult, error) {
	if e.home.Name() == e.relay.config.Self {
		return e.executeLocal(task)
	}
	wrote := e.wrote
	done, err := e.relay.forward(e.home, e.key(), task)
	e.recordTransaction(task, done, err)
	var failure *citronusher.Failure
	if err == nil || errors.As(err, &failure) {
		return done, err
	}
	done = citronusher.TaskResult{
		SessionPosition: task.SessionPosition, Trace: citronusher.Trace{Home: e.home.Name(), Group: task.Route.Group, Attempts: 1},
	}
	commits := task.Statement.Kind == citronusher.StatementCommit
	switch {
	case !commits, errors.Is(err, citronusher.ErrNotDelivered):
		e.rollBackAsync()
		return done, citronusher.NewNotRun(citronusher.ReasonGone,
			"the connection to the group's home broke inside the transaction; the transaction does not take effect")
	case !wrote:
		return done, citronusher.NewFailure(citronusher.Ran, citronusher.ReasonPeer,
			"the connection to the group's home broke during the commit of a transaction that wrote nothing")
	default:
		return done, citronusher.NewUnknown(citronusher.ReasonPeer,
			"the connection to the group's home broke during the commit: %v", err)
	}
}

// Rollback rolls back the open transaction, if there is one.
func (e *executor) Rollback() {
	if e.home.Name() == e.relay.config.Self {
		e.local.Rollback()
		return
	}
	if !e.open {
		return
	}
	e.open = false
	e.relay.rollback(e.home, e.key())
}

// rollBackAsync rolls back, in the background, a transaction that another daemon may have open after a call to it failed.
func (e *executor) rollBackAsync() {
	home, key := e.home, e.key()
	e.relay.tasks.Go(func() error {
		e.relay.rollback(home, key)
		return nil
	})
}

// rollback asks a daemon to roll back a transaction. A daemon that does not receive the request rolls back the
// transaction once its idle timeout has passed.
func (r *Relay) rollback(home citronusher.Instance, key citronusher.SessionKey) {
	ctx, cancel := context.WithTimeout(r.ctx, rollbackTimeout)
	defer cancel()
	if err := r.config.Forwarder.Rollback(ctx, home, key); err != nil {
		r.peer(home).observeFailure(err)
	}
}
