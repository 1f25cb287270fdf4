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

// work is a caller's sequence of exchanges at this home. Between the first exchange of a transaction and its end it
// holds one target connection.
type work struct {
	database *database
	conn     *pg.Conn
	target   *target
	term     uint64
	replica  bool
	profile  profile.Profile
}

// Do runs one exchange.
func (w *work) Do(ctx context.Context, request citronusher.Request, sink citronusher.Sink) (citronusher.Result, error) {
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	w.database.use(1)
	defer w.database.use(-1)
	hold := &holder{sink: sink}
	if w.conn != nil {
		return w.proceed(ctx, request, hold)
	}
	p, err := w.database.set.profile(request.Profile)
	if err != nil {
		return citronusher.Result{}, err
	}
	w.profile = p
	if !opensWrite(request.Exchange) {
		if p.Replica() {
			w.database.set.config.Meter.ReplicaEligible().Inc(1)
		}
		if result, served, err := w.onReplica(ctx, request, hold); served {
			return result, err
		}
	}
	return w.onPrimary(ctx, request, hold)
}

// opensWrite reports whether the exchange opens a transaction that may write.
func opensWrite(exchange citronusher.Exchange) bool {
	return slices.ContainsFunc(exchange.Messages, func(step citronusher.Message) bool {
		return step.Statement == citronusher.StatementBegin
	})
}

// onReplica tries a replica. served is false when the primary must run the exchange: none is eligible, the connection
// failed before the exchange ran, or the replica refused a write.
func (w *work) onReplica(
	ctx context.Context, request citronusher.Request, hold *holder,
) (result citronusher.Result, served bool, err error) {
	t, position, ok := w.database.chooseReplica(request, w.profile)
	if !ok {
		return result, false, nil
	}
	answer, err := w.runOn(ctx, t, request, hold)
	if err != nil {
		failure := citronusher.AsFailure(err)
		if lostTarget(failure) {
			t.avoid()
		}
		fallBack := failure.Outcome() == citronusher.NotRun && !hold.streamed && ctx.Err() == nil
		w.leaveReplica(hold, fallBack, failure.Reason())
		return result, !fallBack, err
	}
	if answer.Failed == pg.CodeReadOnly && !hold.streamed && answer.Status == pg.StatusIdle && !request.Exchange.Partial {
		w.leaveReplica(hold, true, citronusher.ReasonReplica)
		return result, false, nil
	}
	if err := w.recheck(request, t); err != nil {
		w.leaveReplica(hold, !hold.streamed, citronusher.ReasonReplica)
		return result, hold.streamed, err
	}
	w.replica = true
	w.database.set.config.Meter.ReplicaRequests().Inc(1)
	result = citronusher.Result{Status: answer.Status, Replica: true, Failed: answer.Failed}
	if w.profile.Monotonic() {
		result.Position = position
	}
	result.Pinned = w.releaseUnlessOpen(answer, request.Exchange)
	return result, true, w.deliver(hold)
}

// leaveReplica gives the replica's connection back. When the primary runs the exchange instead, the answer so far is
// dropped.
func (w *work) leaveReplica(hold *holder, fallBack bool, reason citronusher.Reason) {
	w.release()
	if fallBack {
		w.database.set.config.Meter.CountRetry(reason)
		hold.discard()
	}
}

// lostTarget reports whether a failure suggests that the target's process or machine is gone.
func lostTarget(f *citronusher.Failure) bool {
	return f.Reason() == citronusher.ReasonConnect || f.Reason() == citronusher.ReasonBroken
}

// recheck makes sure, for a session that has a position, that the replica still was at the term and past the
// position when it answered. A promotion that this home does not know yet may have cut the replica's log back since
// its last probe.
func (w *work) recheck(request citronusher.Request, t *target) error {
	if request.MinPosition.IsZero() {
		return nil
	}
	state, err := w.database.askOne(t)
	if err != nil {
		return citronusher.NewUnknown(citronusher.ReasonReplica, "the replica did not confirm its position: %v", err)
	}
	need := w.database.need(request, w.profile)
	if need.Eligible(route.Candidate{State: state, Reachable: true}) {
		return nil
	}
	return citronusher.NewUnknown(citronusher.ReasonReplica, "the replica's log changed while it answered")
}

// runOn admits the exchange on a target, takes a connection and runs it. The connection stays with the work.
func (w *work) runOn(
	ctx context.Context, t *target, request citronusher.Request, hold *holder,
) (pg.Answer, error) {
	ticket := t.ticket(request, w.profile)
	if err := w.take(ctx, t, ticket); err != nil {
		return pg.Answer{}, err
	}
	defer t.finish(ticket)
	return w.conn.Run(ctx, request.Exchange, hold.write)
}

// take admits a request and takes a connection for it.
func (w *work) take(ctx context.Context, t *target, ticket *admission.Ticket) error {
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
func (w *work) onPrimary(ctx context.Context, request citronusher.Request, hold *holder) (citronusher.Result, error) {
	d := w.database
	t, current, err := d.awaitPrimary(ctx, request.MinPosition)
	if err != nil {
		return citronusher.Result{}, err
	}
	if err := d.checkLost(request.MinPosition); err != nil {
		return citronusher.Result{}, err
	}
	if w.profile.MajorityAck() {
		if err := d.checkCopies(ctx, request.Deadline); err != nil {
			return citronusher.Result{}, err
		}
	}
	d.set.config.Meter.PrimaryRequests().Inc(1)
	w.term = current
	if w.marked(request) {
		return w.runMarked(ctx, t, request, hold)
	}
	answer, err := w.runOn(ctx, t, request, hold)
	if err != nil {
		w.release()
		if lostTarget(citronusher.AsFailure(err)) {
			d.kick() // the primary may be lost
		}
		return citronusher.Result{}, err
	}
	return w.complete(ctx, request, answer, hold)
}

// proceed runs a further exchange of an open transaction, without admission: it already holds a connection and locks.
func (w *work) proceed(ctx context.Context, request citronusher.Request, hold *holder) (citronusher.Result, error) {
	if w.marked(request) && w.conn.Status() == pg.StatusActive && pg.MayCommit(request.Exchange) {
		if result, done, err := w.markCommit(ctx, request, hold); done {
			return result, err
		}
	}
	answer, err := w.conn.Run(ctx, request.Exchange, hold.write)
	if err != nil {
		w.release()
		if w.marked(request) && citronusher.AsFailure(err).Outcome() == citronusher.Unknown {
			return w.settle(ctx, request, hold, err)
		}
		return citronusher.Result{}, err
	}
	return w.complete(ctx, request, answer, hold)
}

// complete confirms the transaction that the exchange ended, if it did, and passes the answer on.
func (w *work) complete(
	ctx context.Context, request citronusher.Request, answer pg.Answer, hold *holder,
) (citronusher.Result, error) {
	result := citronusher.Result{Status: answer.Status, Replica: w.replica, Failed: answer.Failed}
	replica := w.replica
	if result.Pinned = w.releaseUnlessOpen(answer, request.Exchange); result.Pinned {
		return result, w.deliver(hold)
	}
	if !replica && answer.Tag != "ROLLBACK" {
		position, err := w.confirmed(ctx)
		if err != nil {
			return citronusher.Result{}, err
		}
		result.Position = position
	}
	return result, w.deliver(hold)
}

// confirmed waits for the confirmation of everything committed before the call.
func (w *work) confirmed(ctx context.Context) (citronusher.Position, error) {
	if w.database.set.config.Policy.NoConfirm {
		return citronusher.Position{}, nil
	}
	position, err := w.database.confirm.confirm(ctx, w.term, w.profile.MajorityAck())
	if err != nil {
		return position, w.database.confirmFailure(err)
	}
	return position, nil
}

// deliver passes the held answer on to the caller.
func (w *work) deliver(hold *holder) error {
	if err := hold.release(); err != nil {
		return citronusher.NewUnknown(citronusher.ReasonPeer, "the answer could not be delivered: %v", err)
	}
	return nil
}

// releaseUnlessOpen gives the connection back unless a transaction is open on it, and reports whether it is.
func (w *work) releaseUnlessOpen(answer pg.Answer, exchange citronusher.Exchange) bool {
	if answer.Status != pg.StatusIdle || exchange.Partial {
		return true
	}
	w.release()
	return false
}

// release gives the connection back; the pool closes one whose state is unknown.
func (w *work) release() {
	if w.conn == nil {
		return
	}
	w.target.pool.Put(w.conn)
	w.conn, w.target = nil, nil
}

// Close rolls an open transaction back by closing its connection.
func (w *work) Close() error {
	if w.conn != nil && w.conn.Status() != pg.StatusIdle {
		_ = w.conn.Close()
	}
	w.release()
	return nil
}
