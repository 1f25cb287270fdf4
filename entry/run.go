package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/events"
	"citronusher.example/citronusher/pg"
	"citronusher.example/citronusher/profile"
	"citronusher.example/citronusher/retry"
)

// serveExchange runs and answers the complete exchange. Its error ends the session.
func (s *callerSession) serveExchange() error {
	exchange, text := s.exchange.take()
	s.streamed = false
	startedAt := time.Now()
	s.entry.config.Meter.Requests().Inc(1)
	if s.exchange.discarding {
		s.exchange.discarding = exchange.Partial
		return s.finish(exchange.Partial)
	}
	if len(exchange.Messages) == 1 && exchange.Messages[0].Kind == pg.StepSync && !s.pinned {
		return s.finish(false)
	}
	if !s.partial && onlyCloses(exchange) {
		if err := s.sendLocal(exchange, localAnswer{}); err != nil {
			return err
		}
		return s.finish(exchange.Partial)
	}
	s.partial = exchange.Partial
	answer, local, err := s.answerLocally(text)
	switch {
	case local && err == nil:
		err = s.sendLocal(exchange, answer)
	case !local:
		err = s.run(exchange)
		if !s.open() {
			s.request = ""
		}
	}
	if err != nil {
		if err := s.fail(exchange, citronusher.AsFailure(err)); err != nil {
			return err
		}
	}
	s.entry.config.Meter.Latency().Update(time.Since(startedAt).Microseconds())
	return s.finish(exchange.Partial)
}

// onlyCloses reports whether an exchange only closes prepared statements. Targets keep these, so that the exchange is not
// forwarded: a caller that closes a statement must not be rejected because a target is overloaded.
func onlyCloses(exchange citronusher.Exchange) bool {
	for _, step := range exchange.Messages {
		if step.Kind != pg.StepSync && (step.Kind != pg.StepClose || step.Name == "") {
			return false
		}
	}
	return true
}

// fail sends a failure to the caller, without the buffered answer. After a Flush, messages are discarded until Sync.
func (s *callerSession) fail(exchange citronusher.Exchange, f *citronusher.Failure) error {
	s.entry.config.Meter.CountFailure(f)
	if f.Outcome() == citronusher.Unknown {
		events.Log(s.entry.config.Logger, events.RequestUnknown, "database", s.database, "reason", string(f.Reason()))
	}
	if !s.streamed {
		s.out = s.out[:0]
	}
	s.exchange.discarding = exchange.Partial
	return s.send(pg.ErrorMessage(f, "ERROR"))
}

// run forwards an exchange to a home, and retries while the retry policy, the deadline and the retry budget allow it.
func (s *callerSession) run(exchange citronusher.Exchange) error {
	p, ok := s.entry.config.Document().Profile(s.profile)
	if !ok {
		return citronusher.NewNotRun(citronusher.ReasonProfile, "profile %q is not configured any more", s.profile)
	}
	ctx, cancel := context.WithCancel(s.entry.ctx)
	defer cancel()
	s.setRunning(cancel)
	defer s.setRunning(nil)
	request := s.newRequest(exchange, p)
	budget := s.entry.budget(s.database)
	budget.Deposit()
	wasPinned := s.pinned
	var unknown *citronusher.Failure // of an earlier attempt
	for attempt := 0; ; attempt++ {
		result, err := s.forwardRequest(ctx, request, p, attempt)
		if err == nil {
			return s.applyResult(result)
		}
		f := citronusher.AsFailure(err)
		if f.Reason() == citronusher.ReasonLost {
			s.session.Reset(s.database, citronusher.Position{})
		}
		//nolint:gosec // backoff needs no secrecy
		delay := retry.Delay(attempt, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
		next := retry.Attempt{
			Failure: f, Repeat: p.RetryPolicy(), Marked: request.ID != "" && p.RetryPolicy() == profile.RetryNever,
			Streamed: s.streamed, Pinned: wasPinned, RetryAt: time.Now().Add(delay), Deadline: request.Deadline,
		}
		if !retry.Allowed(next) || ctx.Err() != nil {
			s.setLost(wasPinned, exchange, f)
			return ofAllAttempts(f, unknown)
		}
		if retry.UsesBudget(f.Reason()) && !budget.Withdraw() {
			s.setLost(wasPinned, exchange, f)
			return ofAllAttempts(s.overBudget(f), unknown)
		}
		if f.Outcome() == citronusher.Unknown {
			unknown = f
		}
		s.entry.config.Meter.CountRetry(f.Reason())
		s.out = s.out[:0]
		select {
		case <-time.After(delay):
		case <-ctx.Done():
		}
	}
}

// ofAllAttempts returns the failure of a request whose last attempt failed with last. After an attempt with an unknown
// outcome the request is not run only if its marker says so.
func ofAllAttempts(last, unknown *citronusher.Failure) *citronusher.Failure {
	if unknown != nil && last.Outcome() == citronusher.NotRun && last.Reason() != citronusher.ReasonRepeat {
		return unknown
	}
	return last
}

// overBudget returns the failure of a request whose retry exceeds the retry budget.
func (s *callerSession) overBudget(f *citronusher.Failure) *citronusher.Failure {
	if f.Outcome() != citronusher.NotRun {
		return f
	}
	return citronusher.NewNotRun(citronusher.ReasonBudget, "%s; the database's retry budget is spent", f.Message())
}

func (s *callerSession) setRunning(cancel context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running = cancel
}

func (s *callerSession) newRequest(exchange citronusher.Exchange, p profile.Profile) citronusher.Request {
	seen, known := s.session.Position(s.database)
	return citronusher.Request{
		Database: s.database, Profile: s.profile, Caller: s.caller, ID: s.request, MinPosition: seen, PositionKnown: known,
		Deadline: s.entry.config.Clock.Now().Add(p.Timeout()), Exchange: exchange,
	}
}

// forwardRequest forwards the request to one home.
func (s *callerSession) forwardRequest(
	ctx context.Context, request citronusher.Request, p profile.Profile, attempt int,
) (citronusher.Result, error) {
	if !s.pinned {
		if err := s.choose(ctx, p, attempt); err != nil {
			return citronusher.Result{}, err
		}
	}
	if !s.hop.local {
		s.entry.config.Meter.Forwarded().Inc(1)
	}
	result, err := s.databaseConn.Do(ctx, request, s.sink)
	if err != nil {
		if citronusher.AsFailure(err).Reason() == citronusher.ReasonPeer {
			s.entry.config.Router.PeerFailed(s.hop.name)
		}
		s.closeConn()
	}
	return result, err
}

// choose connects to the home for this attempt, or keeps the open connection if it is to the same daemon.
func (s *callerSession) choose(ctx context.Context, p profile.Profile, attempt int) error {
	hops := s.entry.config.Router.Route(s.database, s.caller, p.Class() == profile.ClassLong)
	if len(hops) == 0 {
		return citronusher.NewNotRun(citronusher.ReasonPeer, "no daemon serves database %q now", s.database)
	}
	hop := hops[attempt%len(hops)]
	if s.databaseConn != nil && s.hop.name == hop.name {
		return nil
	}
	s.closeConn()
	databaseConn, err := hop.home.Open(ctx, s.database)
	if err != nil {
		if citronusher.AsFailure(err).Reason() == citronusher.ReasonPeer {
			s.entry.config.Router.PeerFailed(hop.name)
		}
		return err
	}
	s.databaseConn, s.hop = databaseConn, hop
	return nil
}

// applyResult updates the session from a result, and sends the caller the new token if the position advanced.
func (s *callerSession) applyResult(result citronusher.Result) error {
	s.pinned = result.Pinned
	s.status = result.Status
	if s.session.Advance(s.database, result.Position) {
		return s.send(&pgproto3.ParameterStatus{Name: settingPrefix + "token", Value: s.session.Token()})
	}
	return nil
}

// setLost sets the state of a session whose transaction lost its connection. Unless the exchange could commit it, the
// caller must still end the transaction. An implicit one, which a Flush left open, is not the caller's to end.
func (s *callerSession) setLost(wasPinned bool, exchange citronusher.Exchange, f *citronusher.Failure) {
	if !wasPinned || s.status == pg.StatusIdle {
		return
	}
	s.aborted = f.Outcome() == citronusher.NotRun && !pg.MayCommit(exchange)
	s.status = pg.StatusIdle
	if s.aborted {
		s.status = pg.StatusFailed
	}
}
