package home

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/events"
	"citronusher.example/citronusher/pg"
	"citronusher.example/citronusher/profile"
	"citronusher.example/citronusher/term"
)

// The marker table records the decided non-repeatable requests of a database. A row is written in the transaction of
// the request itself, so that both are there or neither is. The tag is empty while the transaction runs, the command
// tag once it committed, and tagVoid when the request was found not to have run and must not commit any more.
const (
	createMarkers = "CREATE TABLE IF NOT EXISTS citronusher_marker (id TEXT PRIMARY KEY, tag TEXT NOT NULL, " +
		"made BIGINT NOT NULL)"
	tagVoid        = "void"
	markerLifetime = 7 * 24 * time.Hour
	recheckPause   = 100 * time.Millisecond
	pruneEvery     = 256 // marked requests between two prunings

	codeUnique  = "23505"
	codeNoTable = "42P01"
)

// marked reports whether the request leaves a marker.
func (w *work) marked(request citronusher.Request) bool {
	return request.ID != "" && w.profile.RetryPolicy() == profile.RetryNever
}

func quote(text string) string { return "'" + strings.ReplaceAll(text, "'", "''") + "'" }

// runMarked runs an exchange outside a transaction together with its marker.
func (w *work) runMarked(
	ctx context.Context, t *target, request citronusher.Request, hold *holder,
) (citronusher.Result, error) {
	if opensWrite(request.Exchange) {
		return w.runUnmarked(ctx, t, request, hold) // the marker comes with the transaction's commit
	}
	ticket := t.ticket(request, w.profile)
	if err := w.take(ctx, t, ticket); err != nil {
		return citronusher.Result{}, err
	}
	result, err := w.tryMarked(ctx, request, hold)
	w.release()
	t.finish(ticket) // before the lookup, which takes a place of its own
	if err != nil && citronusher.AsFailure(err).Outcome() == citronusher.Unknown {
		return w.settle(ctx, request, hold, err)
	}
	return result, err
}

// runUnmarked opens the transaction of a marked request. The marker table must be there before: a statement that fails
// for its absence at the commit would take the transaction with it.
func (w *work) runUnmarked(
	ctx context.Context, t *target, request citronusher.Request, hold *holder,
) (citronusher.Result, error) {
	if err := w.ensureMarkers(ctx, t, request); err != nil {
		return citronusher.Result{}, err
	}
	answer, err := w.runOn(ctx, t, request, hold)
	if err != nil {
		w.release()
		return citronusher.Result{}, err
	}
	return w.complete(ctx, request, answer, hold)
}

// ensureMarkers makes the marker table unless this home made it under the current term.
func (w *work) ensureMarkers(ctx context.Context, t *target, request citronusher.Request) error {
	if w.database.markersAt.Load() == w.term {
		return nil
	}
	ticket := t.ticket(request, w.profile)
	if err := w.take(ctx, t, ticket); err != nil {
		return err
	}
	defer t.finish(ticket)
	defer w.release()
	if _, answer, err := w.conn.Query(ctx, createMarkers); err != nil || answer.Failed != "" {
		return citronusher.NewNotRun(citronusher.ReasonBroken, "the marker table cannot be made: %s", answer.Message)
	}
	w.database.markersAt.Store(w.term)
	return nil
}

// tryMarked writes the marker, runs the exchange and commits both.
func (w *work) tryMarked(ctx context.Context, request citronusher.Request, hold *holder) (citronusher.Result, error) {
	if _, _, err := w.conn.Query(ctx, "BEGIN"); err != nil {
		return citronusher.Result{}, w.notCommitted(err)
	}
	tag, fresh, err := w.insertMarker(ctx, request.ID)
	if err != nil {
		return citronusher.Result{}, w.notCommitted(err)
	}
	if !fresh {
		return w.repeated(ctx, request, tag, hold)
	}
	answer, err := w.conn.Run(ctx, request.Exchange, hold.write)
	if err != nil {
		return citronusher.Result{}, err
	}
	// The exchange may have ended the transaction by a COMMIT of its own; the marker then went with it.
	if answer.Failed != "" && answer.Status != pg.StatusIdle {
		_, _, _ = w.conn.Query(ctx, "ROLLBACK")
		return citronusher.Result{Status: pg.StatusIdle, Failed: answer.Failed}, w.deliver(hold)
	}
	if answer.Status == pg.StatusActive {
		if err := w.commitMarker(ctx, request.ID, answer.Tag); err != nil {
			return citronusher.Result{}, err
		}
	}
	position, err := w.confirmed(ctx)
	if err != nil {
		return citronusher.Result{}, err
	}
	w.prune(ctx)
	return citronusher.Result{Status: pg.StatusIdle, Position: position, Failed: answer.Failed}, w.deliver(hold)
}

// commitMarker records the command tag and commits.
func (w *work) commitMarker(ctx context.Context, id, tag string) error {
	update := fmt.Sprintf("UPDATE citronusher_marker SET tag = %s WHERE id = %s; COMMIT", quote(tag), quote(id))
	_, answer, err := w.conn.Query(ctx, update)
	if err != nil {
		return err
	}
	if answer.Failed != "" {
		return w.rolledBack(ctx, answer)
	}
	return nil
}

// prune drops old markers now and then. Its failure is left to the next time.
func (w *work) prune(ctx context.Context) {
	if w.database.marks.Add(1)%pruneEvery != 0 {
		return
	}
	oldest := w.database.now().Add(-markerLifetime).Unix()
	_, _, _ = w.conn.Query(ctx, fmt.Sprintf("DELETE FROM citronusher_marker WHERE made < %d", oldest))
}

// notCommitted is the failure of a marked request whose connection broke before its commit was sent.
func (w *work) notCommitted(err error) error {
	f := citronusher.AsFailure(err)
	_ = w.conn.Close()
	return citronusher.NewNotRun(f.Reason(), "%s; the request's commit was not sent", f.Message())
}

// rolledBack is the failure of a marked request whose commit the target refused.
func (w *work) rolledBack(ctx context.Context, answer pg.Answer) error {
	_, _, _ = w.conn.Query(ctx, "ROLLBACK")
	return citronusher.NewNotRun(citronusher.ReasonBroken, "the target refused the commit: %s (%s)", answer.Message,
		answer.Failed)
}

// insertMarker writes the request's marker into the open transaction. fresh is false when the request was decided
// before; tag is then its recorded command tag.
func (w *work) insertMarker(ctx context.Context, id string) (tag string, fresh bool, err error) {
	insert := fmt.Sprintf("INSERT INTO citronusher_marker (id, tag, made) VALUES (%s, '', %d)", quote(id),
		w.database.now().Unix())
	for range 2 {
		_, answer, err := w.conn.Query(ctx, insert)
		if err != nil {
			return "", false, err
		}
		switch answer.Failed {
		case "":
			return "", true, nil
		case codeNoTable:
			err = w.createMarkers(ctx)
		case codeUnique:
			return w.readMarker(ctx, id)
		default:
			return "", false, citronusher.NewNotRun(citronusher.ReasonBroken, "the marker was refused: %s (%s)", answer.Message,
				answer.Failed)
		}
		if err != nil {
			return "", false, err
		}
	}
	return "", false, citronusher.NewNotRun(citronusher.ReasonBroken, "the marker table cannot be created")
}

// createMarkers makes the marker table and begins the transaction anew.
func (w *work) createMarkers(ctx context.Context) error {
	for _, sql := range []string{"ROLLBACK", createMarkers, "BEGIN"} {
		if _, _, err := w.conn.Query(ctx, sql); err != nil {
			return err
		}
	}
	return nil
}

// readMarker reads the marker that is in the way. A void one is taken over by the transaction, which is begun anew.
func (w *work) readMarker(ctx context.Context, id string) (tag string, fresh bool, err error) {
	if _, _, err := w.conn.Query(ctx, "ROLLBACK"); err != nil {
		return "", false, err
	}
	if _, _, err := w.conn.Query(ctx, "BEGIN"); err != nil {
		return "", false, err
	}
	take := fmt.Sprintf("UPDATE citronusher_marker SET tag = '' WHERE id = %s AND tag = '%s'", quote(id), tagVoid)
	if _, answer, err := w.conn.Query(ctx, take); err != nil || answer.Failed == "" && answer.Tag == "UPDATE 1" {
		return "", err == nil, err
	}
	values, answer, err := w.conn.Query(ctx, fmt.Sprintf("SELECT tag FROM citronusher_marker WHERE id = %s", quote(id)))
	if err != nil {
		return "", false, err
	}
	if answer.Failed != "" || len(values) == 0 {
		return "", false, citronusher.NewNotRun(citronusher.ReasonBroken, "the marker cannot be read: %s", answer.Message)
	}
	return values[0], false, nil
}

// repeated answers a request that was decided before with its recorded command tag, once that is confirmed.
func (w *work) repeated(
	ctx context.Context, request citronusher.Request, tag string, hold *holder,
) (citronusher.Result, error) {
	if _, _, err := w.conn.Query(ctx, "ROLLBACK"); err != nil {
		return citronusher.Result{}, w.unsure(err)
	}
	hold.discard()
	exchange := withoutExecute(request.Exchange, tag)
	if _, err := w.conn.Run(ctx, exchange, hold.write); err != nil {
		return citronusher.Result{}, w.unsure(err)
	}
	position, err := w.confirmed(ctx)
	if err != nil {
		return citronusher.Result{}, err
	}
	w.database.set.config.Meter.CountRetry(citronusher.ReasonRepeat)
	return citronusher.Result{Status: pg.StatusIdle, Position: position}, w.deliver(hold)
}

// unsure is the failure of a lookup that broke: the marked request itself stays undecided.
func (w *work) unsure(err error) error {
	return citronusher.NewUnknown(citronusher.ReasonBroken, "the recorded outcome could not be read: %v", err)
}

// withoutExecute replaces what would run by its recorded command tag; descriptions are still asked from the target.
func withoutExecute(exchange citronusher.Exchange, tag string) citronusher.Exchange {
	complete, err := (&pgproto3.CommandComplete{CommandTag: []byte(tag)}).Encode(nil)
	if err != nil {
		return exchange
	}
	steps := make([]citronusher.Message, 0, len(exchange.Messages))
	for _, step := range exchange.Messages {
		if step.Kind == pg.StepQuery || step.Kind == pg.StepExecute {
			step.RecordedAnswer = complete
		}
		steps = append(steps, step)
	}
	exchange.Messages = steps
	return exchange
}

// markCommit writes the marker of an explicit transaction right before its commit. done is true when the request was
// decided before, or the marker failed.
func (w *work) markCommit(
	ctx context.Context, request citronusher.Request, hold *holder,
) (result citronusher.Result, done bool, err error) {
	insert := fmt.Sprintf("INSERT INTO citronusher_marker (id, tag, made) VALUES (%s, 'COMMIT', %d)", quote(request.ID),
		w.database.now().Unix())
	_, answer, err := w.conn.Query(ctx, insert)
	if err != nil {
		err = w.notCommitted(err)
		w.release()
		return result, true, err
	}
	switch answer.Failed {
	case "":
		return result, false, nil
	case codeUnique:
		result, err = w.repeated(ctx, request, "COMMIT", hold)
	default:
		// A missing table is made for the caller's next try: the engine aborted this transaction.
		_, _, _ = w.conn.Query(ctx, "ROLLBACK")
		_, _, _ = w.conn.Query(ctx, createMarkers)
		err = citronusher.NewNotRun(citronusher.ReasonBroken, "the marker was refused, the transaction is rolled back: %s",
			answer.Message)
	}
	w.release()
	return result, true, err
}

// settle finds out what became of a marked request whose outcome is unknown. It makes sure at the confirmed primary
// that either the marker is there, so that the request ran, or that it cannot commit any more.
func (w *work) settle(
	ctx context.Context, request citronusher.Request, hold *holder, cause error,
) (citronusher.Result, error) {
	for ctx.Err() == nil {
		result, err := w.trySettle(ctx, request, hold)
		f := citronusher.AsFailure(err)
		if err == nil || f.Reason() == citronusher.ReasonRepeat {
			events.Log(w.database.set.config.Logger, events.OutcomeResolved, "database", w.database.name, "error", err)
			return result, err
		}
		d := w.database
		events.Log(d.set.config.Logger, events.OutcomeUnresolved, "database", d.name, "error", err)
		select {
		case <-time.After(jitter(reopenPause)):
		case <-ctx.Done():
		}
	}
	return citronusher.Result{}, cause
}

func (w *work) trySettle(ctx context.Context, request citronusher.Request, hold *holder) (citronusher.Result, error) {
	t, current, err := w.database.awaitPrimary(ctx, request.MinPosition)
	if err != nil {
		return citronusher.Result{}, err
	}
	w.term = current
	ticket := t.ticket(request, w.profile)
	if err := w.take(ctx, t, ticket); err != nil {
		return citronusher.Result{}, err
	}
	defer t.finish(ticket)
	defer w.release()
	if _, _, err := w.conn.Query(ctx, "BEGIN"); err != nil {
		return citronusher.Result{}, err
	}
	tag, fresh, err := w.insertMarker(ctx, request.ID)
	if err != nil {
		return citronusher.Result{}, err
	}
	if !fresh {
		return w.repeated(ctx, request, tag, hold)
	}
	void := fmt.Sprintf("UPDATE citronusher_marker SET tag = '%s' WHERE id = %s; COMMIT", tagVoid, quote(request.ID))
	if _, answer, err := w.conn.Query(ctx, void); err != nil || answer.Failed != "" {
		return citronusher.Result{}, w.unsure(fmt.Errorf("void marker: %s: %w", answer.Message, err))
	}
	if _, err := w.confirmed(ctx); err != nil {
		return citronusher.Result{}, err
	}
	return citronusher.Result{}, citronusher.NewNotRun(citronusher.ReasonRepeat,
		"the request did not commit and cannot commit any more")
}

// checkCopies refuses a request whose copies could not be confirmed in time: too few replicas are close to the primary.
// Before that it asks the replicas once more, because their last answers may be old.
func (d *database) checkCopies(ctx context.Context, deadline time.Time) error {
	if d.copiesNear(deadline) == nil {
		return nil
	}
	d.kick()
	select {
	case <-time.After(recheckPause):
	case <-ctx.Done():
	}
	return d.copiesNear(deadline)
}

func (d *database) copiesNear(deadline time.Time) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	patience := deadline.Sub(d.now()) / 2
	near := 0
	for name := range d.targets {
		state, reachable := d.watch.State(name)
		if reachable && (name == d.primary || state.FreshAt().After(state.RequestedAt().Add(-patience))) {
			near++
		}
	}
	if near >= term.Majority(len(d.targets)) {
		return nil
	}
	return citronusher.NewNotRun(citronusher.ReasonBehind,
		"too few replicas are close enough to the primary to hold a copy of the write before the deadline")
}
