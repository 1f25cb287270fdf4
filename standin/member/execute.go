package member

import (
	"context"
	"strconv"
	"time"
)

// execute runs a portal's statement and sends its rows and command tag. It sends at most limit rows if limit is not 0, and
// their description first if describe is set. batch means that even a read begins an
// implicit transaction.
func (s *session) execute(ctx context.Context, p *portal, limit int, describe, batch bool) error {
	if result, ok, err := s.member.control(p.query); ok {
		if err != nil {
			return err
		}
		return s.sendAnswer(result)
	}
	s.member.faults.countStatement()
	word := firstWord(p.query)
	if s.status == statusFailed && word != "ROLLBACK" && word != "COMMIT" && word != "END" && word != "ABORT" {
		return errAborted
	}
	switch word {
	case "BEGIN", "START":
		s.begin()
		return nil
	case "COMMIT", "END":
		return s.endExplicit(ctx, true, "COMMIT")
	case "ROLLBACK", "ABORT":
		return s.endExplicit(ctx, false, "ROLLBACK")
	case "SET", "RESET", "DISCARD", "DEALLOCATE":
		s.sendComplete(word)
		return nil
	}
	// The simulated duration elapses in the slot, before the engine's only write lock is acquired. So a wait for the lock
	// occupies no slot, and the lock is held only while the engine runs the statement.
	ctx, done, err := s.waitForSlot(ctx, p.query)
	if err != nil {
		return s.abort(ctx, err)
	}
	defer done()
	if err := s.prepareTx(ctx, p.query, batch); err != nil {
		return err
	}
	if returnsRows(p.query) {
		return s.runRows(ctx, p, limit, describe)
	}
	return s.runWrite(ctx, p)
}

// waitForSlot waits for one of the member's slots and occupies it for the statement's simulated duration. The statement can
// be canceled until the returned function is called.
func (s *session) waitForSlot(parent context.Context, query string) (context.Context, func(), error) {
	ctx, cancel := context.WithCancel(parent)
	s.member.mu.Lock()
	s.cancel = cancel
	s.member.mu.Unlock()
	clearCancel := func() {
		s.member.mu.Lock()
		s.cancel = nil
		s.member.mu.Unlock()
		cancel()
	}
	select {
	case s.member.slots <- struct{}{}:
	case <-ctx.Done():
		clearCancel()
		return parent, nil, ctx.Err()
	}
	release := func() { <-s.member.slots }
	_, delay := s.member.faults.delays()
	duration := s.member.options.StatementDuration + delay
	for _, match := range sleepPattern.FindAllStringSubmatch(query, -1) {
		seconds, _ := strconv.ParseFloat(match[1], 64)
		duration += time.Duration(seconds * float64(time.Second))
	}
	if duration > 0 {
		select {
		case <-time.After(duration):
		case <-ctx.Done():
			release()
			clearCancel()
			return parent, nil, ctx.Err()
		}
	}
	release()
	return ctx, clearCancel, nil
}

// begin opens an explicit transaction. The engine's transaction begins only at the first write, which acquires the write
// lock; earlier reads see the latest committed data, as under PostgreSQL's read committed isolation.
func (s *session) begin() {
	if s.status == statusIdle {
		s.engineTxOpen, s.implicit = s.implicit, false
		s.status = statusActive
	}
	s.sendComplete("BEGIN")
}

// beginEngineTx begins a transaction in the engine. On a primary, one that may write acquires the engine's write lock.
func (s *session) beginEngineTx(ctx context.Context, write bool) error {
	s.member.mu.Lock()
	term, err := s.member.writable()
	s.member.mu.Unlock()
	command := "BEGIN"
	if write && err == nil {
		command = "BEGIN IMMEDIATE"
	}
	s.term, s.writes = term, nil
	_, err = s.engine.ExecContext(ctx, command)
	s.engineTxOpen = err == nil
	return err
}

// prepareTx rejects a write on a replica and begins the engine transaction that a write or a batch needs.
func (s *session) prepareTx(ctx context.Context, query string, batch bool) error {
	if !isRead(query) {
		s.member.mu.Lock()
		_, err := s.member.writable()
		s.member.mu.Unlock()
		if err != nil {
			return err
		}
	}
	if s.status != statusIdle {
		if s.engineTxOpen || isRead(query) {
			return nil
		}
		return s.beginEngineTx(ctx, true)
	}
	if s.implicit || (isRead(query) && !batch) {
		return nil
	}
	if err := s.beginEngineTx(ctx, !isRead(query)); err != nil {
		return err
	}
	s.implicit = true
	return nil
}

// endExplicit ends the explicit transaction and sends the command tag.
func (s *session) endExplicit(ctx context.Context, commit bool, tag string) error {
	if s.status == statusIdle && !s.implicit {
		s.sendComplete(tag)
		return nil
	}
	if s.status == statusFailed {
		commit, tag = false, "ROLLBACK"
	}
	s.status, s.implicit = statusIdle, false
	if err := s.endEngineTx(ctx, commit); err != nil {
		return err
	}
	s.sendComplete(tag)
	return nil
}

// endImplicit commits the implicit transaction, if one is open. Outside a transaction it also closes open results.
func (s *session) endImplicit(ctx context.Context) error {
	if s.status == statusIdle {
		for _, p := range s.portals {
			p.close()
		}
	}
	if !s.implicit {
		return nil
	}
	s.implicit = false
	return s.endEngineTx(ctx, true)
}

// endEngineTx commits or rolls back the engine's transaction, if one is open. Committed writes are appended to the log.
func (s *session) endEngineTx(ctx context.Context, commit bool) error {
	ctx = context.WithoutCancel(ctx)
	writes := s.writes
	s.writes = nil
	if !s.engineTxOpen {
		return nil
	}
	s.engineTxOpen = false
	var err error
	switch {
	case commit && len(writes) > 0:
		err = s.member.commit(s.term, writes, func() error {
			_, err := s.engine.ExecContext(ctx, "COMMIT")
			return err
		})
		s.loseAnswer = err == nil && s.member.faults.loseAnswer()
	case commit:
		_, err = s.engine.ExecContext(ctx, "COMMIT")
	}
	if !commit || err != nil {
		_, _ = s.engine.ExecContext(ctx, "ROLLBACK")
	}
	return err
}

// runWrite runs a statement without result columns.
func (s *session) runWrite(ctx context.Context, p *portal) error {
	result, err := s.engine.ExecContext(ctx, toEngine(p.query), p.args...)
	if err != nil {
		return s.abort(ctx, err)
	}
	s.writes = append(s.writes, statement{SQL: toEngine(p.query), Args: p.args})
	count, _ := result.RowsAffected()
	s.sendCompleteCount(p.query, count)
	return nil
}

// abort rolls back the implicit transaction after err.
func (s *session) abort(ctx context.Context, err error) error {
	if s.implicit {
		s.implicit = false
		_ = s.endEngineTx(ctx, false)
	}
	return err
}
