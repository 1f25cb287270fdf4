package home

import (
	"context"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/events"
	"citronusher.example/citronusher/pg"
)

// resolveOutcome resolves the outcome of a marked request that ended as unknown with cause. It repeats
// tryResolveOutcome until that succeeds; when ctx ends first, it returns cause.
func (w *work) resolveOutcome(
	ctx context.Context, request citronusher.Request, buffer *answerBuffer, cause error,
) (citronusher.Result, error) {
	for ctx.Err() == nil {
		result, err := w.tryResolveOutcome(ctx, request, buffer)
		f := citronusher.AsFailure(err)
		if err == nil || f.Reason() == citronusher.ReasonRepeat {
			events.Log(w.database.set.config.Logger, events.OutcomeResolved, "database", w.database.name, "error", err)
			return result, err
		}
		d := w.database
		events.Log(d.set.config.Logger, events.OutcomeUnresolved, "database", d.name, "error", err)
		select {
		case <-time.After(jitter(unblockInterval)):
		case <-ctx.Done():
		}
	}
	return citronusher.Result{}, cause
}

// tryResolveOutcome looks for the marker at the primary. If it exists, the request ran, and the recorded command tag is
// returned. If not, a void marker is written, so that the request cannot commit later, and the failure says that it did
// not run. Either result is confirmed first.
func (w *work) tryResolveOutcome(
	ctx context.Context, request citronusher.Request, buffer *answerBuffer,
) (citronusher.Result, error) {
	t, current, err := w.database.awaitPrimary(ctx, request.MinPosition)
	if err != nil {
		return citronusher.Result{}, err
	}
	w.term = current
	ticket := t.ticket(request, w.profile)
	if err := w.acquire(ctx, t, ticket); err != nil {
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
		return w.repeated(ctx, request, tag, buffer)
	}
	void := fmt.Sprintf("UPDATE citronusher_marker SET tag = '%s' WHERE id = %s; COMMIT", tagVoid, quote(request.ID))
	if _, answer, err := w.conn.Query(ctx, void); err != nil || answer.ErrorCode != "" {
		return citronusher.Result{}, w.undetermined(fmt.Errorf("void marker: %s: %w", answer.Message, err))
	}
	if _, err := w.confirmed(ctx, w.profile.MajorityAck()); err != nil {
		return citronusher.Result{}, err
	}
	return citronusher.Result{}, citronusher.NewNotRun(citronusher.ReasonRepeat,
		"the request did not commit and can no longer commit")
}

// repeated answers a request that has already run with its recorded command tag, after confirming it.
func (w *work) repeated(
	ctx context.Context, request citronusher.Request, tag string, buffer *answerBuffer,
) (citronusher.Result, error) {
	if _, _, err := w.conn.Query(ctx, "ROLLBACK"); err != nil {
		return citronusher.Result{}, w.undetermined(err)
	}
	buffer.discard()
	exchange := withoutExecute(request.Exchange, tag)
	if _, err := w.conn.Run(ctx, exchange, buffer.write); err != nil {
		return citronusher.Result{}, w.undetermined(err)
	}
	position, err := w.confirmed(ctx, w.profile.MajorityAck())
	if err != nil {
		return citronusher.Result{}, err
	}
	w.database.set.config.Meter.CountRetry(citronusher.ReasonRepeat)
	return citronusher.Result{Status: pg.StatusIdle, Position: position}, w.deliver(buffer)
}

// undetermined returns the failure of a marked request whose marker could not be read or voided: its outcome stays
// unknown.
func (w *work) undetermined(err error) error {
	return citronusher.NewUnknown(citronusher.ReasonBroken, "the request's recorded outcome could not be determined: %v", err)
}

// withoutExecute adds the recorded command tag as the answer to each message that would run a statement. Other messages,
// such as Describe, are still sent to the target.
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
