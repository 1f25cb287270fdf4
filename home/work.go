package home

import (
	"context"
	"slices"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/admission"
	"citronusher.example/citronusher/pg"
	"citronusher.example/citronusher/profile"
	"citronusher.example/citronusher/route"
)

// work implements citronusher.DatabaseConn: it runs the exchanges of one caller at this home, one after the other. From
// the first exchange of a transaction to its end it holds one target connection.
type work struct {
	database *database
	conn     *pg.Conn
	target   *target
	term     uint64
	replica  bool
	flushed  bool // a marked request has run up to a Flush, in a transaction of runFlushed
	profile  profile.Profile
}

// Do runs one exchange and passes the answer to sink. Its error is a *citronusher.Failure.
func (w *work) Do(ctx context.Context, request citronusher.Request, sink citronusher.Sink) (citronusher.Result, error) {
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	w.database.use(1)
	defer w.database.use(-1)
	buffer := &answerBuffer{sink: sink}
	if w.conn != nil {
		return w.runInTransaction(ctx, request, buffer)
	}
	p, err := w.database.set.profile(request.Profile)
	if err != nil {
		return citronusher.Result{}, err
	}
	w.profile = p
	if w.marked(request) && pg.ControlOf(request.Exchange).RunsOn {
		return citronusher.Result{}, rejectRunsOn()
	}
	if !opensWrite(request.Exchange) {
		if p.Replica() {
			w.database.set.config.Meter.ReplicaEligible().Inc(1)
		}
		if result, served, err := w.onReplica(ctx, request, buffer); served {
			return result, err
		}
	}
	return w.onPrimary(ctx, request, buffer)
}

// opensWrite reports whether the exchange begins a transaction that may write.
func opensWrite(exchange citronusher.Exchange) bool {
	return slices.ContainsFunc(exchange.Messages, func(step citronusher.Message) bool {
		return step.Statement == citronusher.StatementBegin
	})
}

// onReplica runs the exchange on a replica. served is false when the primary must run it instead: no replica is eligible,
// the connection failed before the exchange ran, or the replica rejected a write.
func (w *work) onReplica(
	ctx context.Context, request citronusher.Request, buffer *answerBuffer,
) (result citronusher.Result, served bool, err error) {
	t, position, ok := w.database.chooseReplica(request, w.profile)
	if !ok {
		return result, false, nil
	}
	buffer.check = func() error { return w.recheck(request, t) }
	answer, err := w.runOn(ctx, t, request, buffer)
	if err != nil {
		failure := citronusher.AsFailure(err)
		if suggestsOutage(failure) {
			t.avoid()
		}
		fallBack := failure.Outcome() == citronusher.NotRun && !buffer.streamed && ctx.Err() == nil
		w.leaveReplica(buffer, fallBack, failure.Reason())
		return result, !fallBack, err
	}
	if answer.ErrorCode == pg.CodeReadOnly && !buffer.streamed && answer.Status == pg.StatusIdle && !request.Exchange.Partial {
		w.leaveReplica(buffer, true, citronusher.ReasonReplica)
		return result, false, nil
	}
	if err := w.recheck(request, t); err != nil {
		w.leaveReplica(buffer, !buffer.streamed, citronusher.ReasonReplica)
		return result, buffer.streamed, err
	}
	w.replica = true
	w.database.set.config.Meter.ReplicaRequests().Inc(1)
	result = citronusher.Result{Status: answer.Status, Replica: true, Failed: answer.ErrorCode}
	if w.profile.Monotonic() {
		result.Position = position
	}
	result.Pinned = w.releaseUnlessOpen(answer, request.Exchange)
	return result, true, w.deliver(buffer)
}

// leaveReplica releases the replica's connection. If the primary is to run the exchange instead, the buffered answer is
// discarded.
func (w *work) leaveReplica(buffer *answerBuffer, fallBack bool, reason citronusher.Reason) {
	w.release()
	if fallBack {
		w.database.set.config.Meter.CountRetry(reason)
		buffer.discard()
	}
}

// suggestsOutage reports whether a failure suggests an outage of the target's process or machine.
func suggestsOutage(f *citronusher.Failure) bool {
	return f.Reason() == citronusher.ReasonConnect || f.Reason() == citronusher.ReasonBroken
}

// recheck verifies, for a request with a minimum position, that the replica was still eligible when it answered: at the
// term and past the position. A promotion that this home has not yet observed may have truncated the replica's log since
// its last probe.
func (w *work) recheck(request citronusher.Request, t *target) error {
	if request.MinPosition.IsZero() {
		return nil
	}
	state, err := w.database.requestState(t)
	if err != nil {
		return citronusher.NewUnknown(citronusher.ReasonReplica, "the replica did not confirm its position: %v", err)
	}
	need := w.database.requirement(request, w.profile)
	if need.Eligible(route.Candidate{State: state, Reachable: true, Diverged: w.database.diverged(state)}) {
		return nil
	}
	return citronusher.NewUnknown(citronusher.ReasonReplica, "the replica's log changed while it answered")
}

// runOn waits for admission to a target, acquires a connection and runs the exchange. The connection stays acquired.
func (w *work) runOn(
	ctx context.Context, t *target, request citronusher.Request, buffer *answerBuffer,
) (pg.Answer, error) {
	ticket := t.ticket(request, w.profile)
	if err := w.acquire(ctx, t, ticket); err != nil {
		return pg.Answer{}, err
	}
	defer t.finish(ticket)
	return w.conn.Run(ctx, request.Exchange, buffer.write)
}

// acquire waits for admission to a target and acquires a connection.
func (w *work) acquire(ctx context.Context, t *target, ticket *admission.Ticket) error {
	if err := t.admit(ctx, ticket); err != nil {
		return err
	}
	conn, err := t.pool.Get(ctx)
	if err != nil {
		t.finish(ticket)
		return err
	}
	w.conn, w.target, w.replica = conn, t, false
	return nil
}

// onPrimary runs the exchange on the primary and confirms what it committed.
func (w *work) onPrimary(
	ctx context.Context, request citronusher.Request, buffer *answerBuffer,
) (citronusher.Result, error) {
	d := w.database
	t, current, err := d.awaitPrimary(ctx, request.MinPosition)
	if err != nil {
		return citronusher.Result{}, err
	}
	if err := d.checkLost(request.MinPosition); err != nil {
		return citronusher.Result{}, err
	}
	if w.profile.MajorityAck() {
		if err := d.checkReplication(ctx, request.Deadline); err != nil {
			return citronusher.Result{}, err
		}
	}
	d.set.config.Meter.PrimaryRequests().Inc(1)
	w.term = current
	buffer.check = w.streamCheck(ctx)
	if w.marked(request) {
		return w.runMarked(ctx, t, request, buffer)
	}
	answer, err := w.runOn(ctx, t, request, buffer)
	if err != nil {
		w.release()
		if suggestsOutage(citronusher.AsFailure(err)) {
			d.wakeProbes() // detect an outage of the primary soon
		}
		return citronusher.Result{}, err
	}
	return w.complete(ctx, request, answer, buffer)
}

// runInTransaction runs a further exchange of an open transaction. It needs no admission, because the transaction already
// holds a connection and locks.
func (w *work) runInTransaction(
	ctx context.Context, request citronusher.Request, buffer *answerBuffer,
) (citronusher.Result, error) {
	buffer.check = w.streamCheck(ctx)
	if w.marked(request) {
		if result, done, err := w.prepareMarked(ctx, request, buffer); done {
			return result, err
		}
	}
	if w.flushed {
		return w.continueFlushed(ctx, request, buffer)
	}
	answer, err := w.conn.Run(ctx, request.Exchange, buffer.write)
	switch {
	case err != nil && w.marked(request):
		w.release()
		return w.resolveIfUnknown(ctx, request, buffer, err)
	case err != nil:
		w.release()
		return citronusher.Result{}, err
	}
	return w.complete(ctx, request, answer, buffer)
}

// complete confirms the exchange and passes the answer on. The position advances only when the transaction has ended.
func (w *work) complete(
	ctx context.Context, request citronusher.Request, answer pg.Answer, buffer *answerBuffer,
) (citronusher.Result, error) {
	result := citronusher.Result{Status: answer.Status, Replica: w.replica, Failed: answer.ErrorCode}
	replica := w.replica
	result.Pinned = w.releaseUnlessOpen(answer, request.Exchange)
	if replica || onlyTag(answer, "BEGIN") || onlyTag(answer, "ROLLBACK") {
		return result, w.deliver(buffer)
	}
	position, err := w.confirmed(ctx, w.profile.MajorityAck() && !result.Pinned)
	switch {
	case err != nil && result.Pinned:
		return citronusher.Result{}, w.rollBackUnconfirmed(request, err)
	case err != nil:
		return citronusher.Result{}, err
	case !result.Pinned:
		result.Position = position
	}
	return result, w.deliver(buffer)
}

// rollBackUnconfirmed rolls back the open transaction, whose last answer was not confirmed because of err, by closing its
// connection. It returns the failure of the exchange.
func (w *work) rollBackUnconfirmed(request citronusher.Request, err error) error {
	_ = w.conn.Close()
	w.release()
	if pg.MayCommit(request.Exchange) {
		return err
	}
	return citronusher.NewNotRun(citronusher.ReasonConfirm,
		"the primary's term was not confirmed after the exchange; the transaction is rolled back")
}

// onlyTag reports whether the target answered with the given command tag and nothing else.
func onlyTag(answer pg.Answer, tag string) bool {
	return answer.Commands == 1 && answer.CommandTag == tag && answer.Shown == 0 && answer.ErrorCode == ""
}

// confirmed waits for the confirmation of all that ran before the call, and returns the end of the primary's log. With
// copies, a majority has that log.
func (w *work) confirmed(ctx context.Context, copies bool) (citronusher.Position, error) {
	if w.database.set.config.Policy.NoConfirm {
		return citronusher.Position{}, nil
	}
	position, err := w.database.confirm.confirm(ctx, w.term, copies)
	if err != nil {
		return position, w.database.confirmFailure(err)
	}
	return position, nil
}

// streamCheck returns the check of an answer that is passed on before its end: a confirmation on the primary, and nothing
// in a transaction on a replica.
func (w *work) streamCheck(ctx context.Context) func() error {
	return func() error {
		if w.replica {
			return nil
		}
		_, err := w.confirmed(ctx, false)
		return err
	}
}

// deliver passes the buffered answer to the caller.
func (w *work) deliver(buffer *answerBuffer) error {
	if err := buffer.flush(); err != nil {
		return citronusher.NewUnknown(citronusher.ReasonPeer, "the answer could not be delivered: %v", err)
	}
	return nil
}

// releaseUnlessOpen releases the connection unless a transaction is open on it, and reports whether one is.
func (w *work) releaseUnlessOpen(answer pg.Answer, exchange citronusher.Exchange) bool {
	if answer.Status != pg.StatusIdle || exchange.Partial {
		return true
	}
	w.release()
	return false
}

// release returns the connection to the pool, which closes it if its state is unknown.
func (w *work) release() {
	if w.conn == nil {
		return
	}
	w.target.pool.Put(w.conn)
	w.conn, w.target, w.flushed = nil, nil, false
}

// Close releases the connection. An open transaction is rolled back by closing its connection.
func (w *work) Close() error {
	if w.conn != nil && w.conn.Status() != pg.StatusIdle {
		_ = w.conn.Close()
	}
	w.release()
	return nil
}
