package home

import (
	"context"
	"fmt"
	"strings"
	"time"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/pg"
	"citronusher.example/citronusher/profile"
)

// The marker table records the outcomes of non-repeatable requests of a database. A row is written in the transaction of
// the request itself, so that either both are committed or neither is. The tag is empty while the transaction runs, the
// command tag once it has committed, and tagVoid once the request was found not to have run: it can then not commit.
const (
	createMarkers = "CREATE TABLE IF NOT EXISTS citronusher_marker (id TEXT PRIMARY KEY, tag TEXT NOT NULL, " +
		"made BIGINT NOT NULL)"
	tagVoid        = "void"
	markerLifetime = 7 * 24 * time.Hour
	recheckDelay   = 100 * time.Millisecond
	pruneInterval  = 256 // marked requests between two deletions of expired markers

	insertedOne = "INSERT 0 1" // command tag
	codeUnique  = "23505"
	codeNoTable = "42P01"
)

// marked reports whether the request writes a marker: it has an ID, and its profile does not allow retries.
func (w *work) marked(request citronusher.Request) bool {
	return request.ID != "" && w.profile.RetryPolicy() == profile.RetryNever
}

// rejectRunsOn returns the failure of a marked exchange that goes on after the end of its transaction. A marker tells of the
// transaction that it is in and of nothing else: what runs after a COMMIT may fail though the marker is committed, and what
// runs after a ROLLBACK may be kept though the marker is not.
func rejectRunsOn() error {
	return citronusher.NewNotRun(citronusher.ReasonInput,
		"a non-repeatable request is one transaction: nothing can run after its COMMIT or ROLLBACK in the same exchange")
}

// quote returns text as an SQL string literal.
func quote(text string) string { return "'" + strings.ReplaceAll(text, "'", "''") + "'" }

// runMarked runs an exchange outside a transaction, and its marker, in one transaction. An unknown outcome is resolved.
func (w *work) runMarked(
	ctx context.Context, t *target, request citronusher.Request, buffer *answerBuffer,
) (citronusher.Result, error) {
	switch {
	case pg.ControlOf(request.Exchange).Opens:
		return w.runUnmarked(ctx, t, request, buffer) // markCommit writes the marker before the transaction's commit
	case request.Exchange.Partial:
		return w.runFlushed(ctx, t, request, buffer)
	}
	ticket := t.ticket(request, w.profile)
	if err := w.acquire(ctx, t, ticket); err != nil {
		return citronusher.Result{}, err
	}
	result, err := w.tryMarked(ctx, request, buffer)
	w.release()
	t.finish(ticket) // before resolveOutcome, which needs a ticket of its own
	if err != nil && citronusher.AsFailure(err).Outcome() == citronusher.Unknown {
		return w.resolveOutcome(ctx, request, buffer, err)
	}
	return result, err
}

// runUnmarked begins the explicit transaction of a marked request. It first creates the marker table: if the table were
// missing when the marker is written, the failed statement would abort the transaction.
func (w *work) runUnmarked(
	ctx context.Context, t *target, request citronusher.Request, buffer *answerBuffer,
) (citronusher.Result, error) {
	if err := w.ensureMarkers(ctx, t, request); err != nil {
		return citronusher.Result{}, err
	}
	answer, err := w.runOn(ctx, t, request, buffer)
	if err != nil {
		w.release()
		return citronusher.Result{}, err
	}
	return w.complete(ctx, request, answer, buffer)
}

// ensureMarkers creates the marker table, unless this home has done so under the current term.
func (w *work) ensureMarkers(ctx context.Context, t *target, request citronusher.Request) error {
	if w.database.markersAt.Load() == w.term {
		return nil
	}
	ticket := t.ticket(request, w.profile)
	if err := w.acquire(ctx, t, ticket); err != nil {
		return err
	}
	defer t.finish(ticket)
	defer w.release()
	if _, answer, err := w.conn.Query(ctx, createMarkers); err != nil || answer.ErrorCode != "" {
		return citronusher.NewNotRun(citronusher.ReasonBroken, "the marker table could not be created: %s", answer.Message)
	}
	w.database.markersAt.Store(w.term)
	return nil
}

// tryMarked writes the marker, runs the exchange and commits both. If the marker exists, it returns the recorded outcome.
func (w *work) tryMarked(
	ctx context.Context, request citronusher.Request, buffer *answerBuffer,
) (citronusher.Result, error) {
	if _, _, err := w.conn.Query(ctx, "BEGIN"); err != nil {
		return citronusher.Result{}, w.notCommitted(err)
	}
	tag, fresh, err := w.insertMarker(ctx, request.ID)
	if err != nil {
		return citronusher.Result{}, w.notCommitted(err)
	}
	if !fresh {
		return w.repeated(ctx, request, tag, buffer)
	}
	answer, err := w.conn.Run(ctx, request.Exchange, buffer.write)
	if err != nil {
		return citronusher.Result{}, err
	}
	// If the exchange contained a COMMIT, the transaction has ended and the marker was committed with it.
	if answer.ErrorCode != "" && answer.Status != pg.StatusIdle {
		return w.failedMarked(ctx, request, answer, buffer)
	}
	if answer.Status == pg.StatusActive {
		if err := w.commitMarker(ctx, request.ID, answer.CommandTag); err != nil {
			return citronusher.Result{}, err
		}
	}
	position, err := w.confirmed(ctx, w.profile.MajorityAck())
	if err != nil {
		return citronusher.Result{}, err
	}
	w.prune(ctx)
	return citronusher.Result{Status: pg.StatusIdle, Position: position, Failed: answer.ErrorCode}, w.deliver(buffer)
}

// failedMarked rolls back a marked request that ended in the target's error, and passes on what it read before and the
// error once both are confirmed.
func (w *work) failedMarked(
	ctx context.Context, request citronusher.Request, answer pg.Answer, buffer *answerBuffer,
) (citronusher.Result, error) {
	_, _, _ = w.conn.Query(ctx, "ROLLBACK")
	if _, err := w.confirmed(ctx, false); err != nil {
		return citronusher.Result{}, w.rollBackUnconfirmed(request, err)
	}
	return citronusher.Result{Status: pg.StatusIdle, Failed: answer.ErrorCode}, w.deliver(buffer)
}

// commitMarker records the command tag in the marker and commits the transaction.
func (w *work) commitMarker(ctx context.Context, id, tag string) error {
	update := fmt.Sprintf("UPDATE citronusher_marker SET tag = %s WHERE id = %s; COMMIT", quote(tag), quote(id))
	_, answer, err := w.conn.Query(ctx, update)
	if err != nil {
		return err
	}
	if answer.ErrorCode != "" {
		return w.rolledBack(ctx, answer)
	}
	return nil
}

// prune deletes expired markers after every pruneEvery marked requests. Errors are ignored, because the next call repeats
// the deletion.
func (w *work) prune(ctx context.Context) {
	if w.database.markedRequests.Add(1)%pruneInterval != 0 {
		return
	}
	oldest := w.database.now().Add(-markerLifetime).Unix()
	_, _, _ = w.conn.Query(ctx, fmt.Sprintf("DELETE FROM citronusher_marker WHERE made < %d", oldest))
}

// notCommitted closes the connection and returns the failure of a marked request whose commit was not sent.
func (w *work) notCommitted(err error) error {
	f := citronusher.AsFailure(err)
	_ = w.conn.Close()
	return citronusher.NewNotRun(f.Reason(), "%s; the request's commit was not sent", f.Message())
}

// rolledBack rolls back and returns the failure of a marked request whose commit the target rejected.
func (w *work) rolledBack(ctx context.Context, answer pg.Answer) error {
	_, _, _ = w.conn.Query(ctx, "ROLLBACK")
	return citronusher.NewNotRun(citronusher.ReasonBroken, "the target rejected the commit: %s (%s)", answer.Message,
		answer.ErrorCode)
}

// insertMarker writes the request's marker in the open transaction. fresh is false when the request has already run; tag
// is then the recorded command tag.
func (w *work) insertMarker(ctx context.Context, id string) (tag string, fresh bool, err error) {
	insert := fmt.Sprintf("INSERT INTO citronusher_marker (id, tag, made) VALUES (%s, '', %d)", quote(id),
		w.database.now().Unix())
	for range 2 {
		_, answer, err := w.conn.Query(ctx, insert)
		if err != nil {
			return "", false, err
		}
		switch answer.ErrorCode {
		case "":
			return "", true, nil
		case codeNoTable:
			err = w.createMarkers(ctx)
		case codeUnique:
			return w.readMarker(ctx, id)
		default:
			return "", false, citronusher.NewNotRun(citronusher.ReasonBroken, "the marker could not be written: %s (%s)",
				answer.Message, answer.ErrorCode)
		}
		if err != nil {
			return "", false, err
		}
	}
	return "", false, citronusher.NewNotRun(citronusher.ReasonBroken, "the marker table cannot be created")
}

// createMarkers rolls back, creates the marker table and begins a new transaction.
func (w *work) createMarkers(ctx context.Context) error {
	for _, sql := range []string{"ROLLBACK", createMarkers, "BEGIN"} {
		if _, _, err := w.conn.Query(ctx, sql); err != nil {
			return err
		}
	}
	return nil
}

// readMarker handles a marker that exists already: it begins a new transaction, and either reuses the marker, if it is
// void, or returns its command tag.
func (w *work) readMarker(ctx context.Context, id string) (tag string, fresh bool, err error) {
	if _, _, err := w.conn.Query(ctx, "ROLLBACK"); err != nil {
		return "", false, err
	}
	if _, _, err := w.conn.Query(ctx, "BEGIN"); err != nil {
		return "", false, err
	}
	take := fmt.Sprintf("UPDATE citronusher_marker SET tag = '' WHERE id = %s AND tag = '%s'", quote(id), tagVoid)
	if _, answer, err := w.conn.Query(ctx, take); err != nil || answer.ErrorCode == "" && answer.CommandTag == "UPDATE 1" {
		return "", err == nil, err
	}
	values, answer, err := w.conn.Query(ctx, fmt.Sprintf("SELECT tag FROM citronusher_marker WHERE id = %s", quote(id)))
	if err != nil {
		return "", false, err
	}
	if answer.ErrorCode != "" || len(values) == 0 {
		return "", false, citronusher.NewNotRun(citronusher.ReasonBroken, "the marker cannot be read: %s", answer.Message)
	}
	return values[0], false, nil
}

// prepareMarked writes the marker if an exchange of the open transaction commits it. done is true when the exchange must not
// run.
func (w *work) prepareMarked(
	ctx context.Context, request citronusher.Request, buffer *answerBuffer,
) (result citronusher.Result, done bool, err error) {
	control := pg.ControlOf(request.Exchange)
	switch {
	case control.RunsOn:
		_ = w.conn.Close()
		w.release()
		return result, true, rejectRunsOn()
	case control.Commits && control.RollsBackTo:
		_ = w.conn.Close()
		w.release()
		return result, true, citronusher.NewNotRun(citronusher.ReasonInput, "a non-repeatable request can't roll back to a "+
			"savepoint and commit in the same exchange: its record would be rolled back")
	case control.Commits && w.conn.Status() == pg.StatusActive:
		return w.markCommit(ctx, request, "COMMIT", buffer)
	default:
		return result, false, nil
	}
}

// markCommit writes the marker of an open transaction, with the command tag to record, immediately before its commit, in
// place of a void one. done is true when the request has already run, or when the marker could not be written.
func (w *work) markCommit(
	ctx context.Context, request citronusher.Request, tag string, buffer *answerBuffer,
) (result citronusher.Result, done bool, err error) {
	insert := fmt.Sprintf("INSERT INTO citronusher_marker (id, tag, made) VALUES (%s, %s, %d) ON CONFLICT (id) "+
		"DO UPDATE SET tag = excluded.tag, made = excluded.made WHERE citronusher_marker.tag = '%s'", quote(request.ID),
		quote(tag), w.database.now().Unix(), tagVoid)
	_, answer, err := w.conn.Query(ctx, insert)
	switch {
	case err != nil:
		err = w.notCommitted(err)
	case answer.ErrorCode != "":
		// The failed statement aborted this transaction. A missing table is created for the caller's next attempt.
		_, _, _ = w.conn.Query(ctx, "ROLLBACK")
		_, _, _ = w.conn.Query(ctx, createMarkers)
		err = citronusher.NewNotRun(citronusher.ReasonBroken,
			"the marker could not be written, and the transaction is rolled back: %s", answer.Message)
	case answer.CommandTag == insertedOne:
		return result, false, nil
	default:
		result, err = w.earlierAttempt(ctx, request, buffer)
	}
	w.release()
	return result, true, err
}

// earlierAttempt rolls back the open transaction, which has met a marker of its request, and answers with the outcome that
// an earlier attempt recorded. If none did, the marker was the transaction's own.
func (w *work) earlierAttempt(
	ctx context.Context, request citronusher.Request, buffer *answerBuffer,
) (citronusher.Result, error) {
	tag, fresh, err := w.readMarker(ctx, request.ID)
	if err != nil {
		return citronusher.Result{}, w.notCommitted(err)
	}
	if fresh {
		_, _, _ = w.conn.Query(ctx, "ROLLBACK")
		return citronusher.Result{}, citronusher.NewNotRun(citronusher.ReasonBroken,
			"another attempt of the request did not run; this one is rolled back")
	}
	return w.repeated(ctx, request, tag, buffer)
}
