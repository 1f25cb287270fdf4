package home

import (
	"context"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/pg"
)

// runFlushed runs a marked exchange that ends with Flush. Up to Sync, the request's exchanges run in a transaction that is
// explicit at the target, so that Sync commits nothing before the marker is written.
func (w *work) runFlushed(
	ctx context.Context, t *target, request citronusher.Request, buffer *answerBuffer,
) (citronusher.Result, error) {
	if err := w.ensureMarkers(ctx, t, request); err != nil {
		return citronusher.Result{}, err
	}
	ticket := t.ticket(request, w.profile)
	if err := w.acquire(ctx, t, ticket); err != nil {
		return citronusher.Result{}, err
	}
	defer t.finish(ticket)
	if _, _, err := w.conn.Query(ctx, "BEGIN"); err != nil {
		err = w.notCommitted(err)
		w.release()
		return citronusher.Result{}, err
	}
	w.flushed = true
	return w.continueFlushed(ctx, request, buffer)
}

// continueFlushed runs one exchange in the transaction of runFlushed, and commits it after Sync.
func (w *work) continueFlushed(
	ctx context.Context, request citronusher.Request, buffer *answerBuffer,
) (citronusher.Result, error) {
	answer, err := w.conn.Run(ctx, request.Exchange, buffer.write)
	if err != nil {
		w.release()
		return w.resolveIfUnknown(ctx, request, buffer, err)
	}
	switch {
	case request.Exchange.Partial:
		result, err := w.complete(ctx, request, answer, buffer)
		result.Status = pg.StatusIdle // for the caller no explicit transaction is open
		return result, err
	case pg.ControlOf(request.Exchange).Opens:
		w.flushed = false
		return w.complete(ctx, request, answer, buffer)
	case answer.Status == pg.StatusFailed:
		result, err := w.failedMarked(ctx, request, answer, buffer)
		w.release()
		return result, err
	case answer.Status == pg.StatusActive:
		return w.commitFlushed(ctx, request, answer, buffer)
	default: // the exchange ended the transaction itself
		return w.complete(ctx, request, answer, buffer)
	}
}

// commitFlushed writes the marker and commits it with what the request ran.
func (w *work) commitFlushed(
	ctx context.Context, request citronusher.Request, answer pg.Answer, buffer *answerBuffer,
) (citronusher.Result, error) {
	if result, done, err := w.markCommit(ctx, request, answer.CommandTag, buffer); done {
		return result, err
	}
	_, commit, err := w.conn.Query(ctx, "COMMIT")
	switch {
	case err != nil:
		w.release()
		return w.resolveIfUnknown(ctx, request, buffer, err)
	case commit.ErrorCode != "":
		err = w.rolledBack(ctx, commit)
		w.release()
		return citronusher.Result{}, err
	}
	answer.Status = commit.Status
	return w.complete(ctx, request, answer, buffer)
}

// resolveIfUnknown returns the failure err of a marked exchange, or what its marker tells if the outcome is unknown.
func (w *work) resolveIfUnknown(
	ctx context.Context, request citronusher.Request, buffer *answerBuffer, err error,
) (citronusher.Result, error) {
	if citronusher.AsFailure(err).Outcome() == citronusher.Unknown {
		return w.resolveOutcome(ctx, request, buffer, err)
	}
	return citronusher.Result{}, err
}
