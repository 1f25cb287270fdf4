package member

import (
	"context"
	"database/sql"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"
)

// rowSource is an open result of a portal.
type rowSource struct {
	rows    *sql.Rows
	columns []column
}

// execute runs one statement of a portal and sends its rows and its completion.
func (s *session) execute(ctx context.Context, p *portal, limit int, describe, batch bool) error {
	if result, ok, err := s.member.control(p.query); ok {
		if err != nil {
			return err
		}
		return s.sendAnswer(result)
	}
	s.member.switches.count()
	word := firstWord(p.query)
	if s.status == statusFailed && word != "ROLLBACK" && word != "COMMIT" && word != "END" && word != "ABORT" {
		return errAborted
	}
	switch word {
	case "BEGIN", "START":
		s.begin()
		return nil
	case "COMMIT", "END":
		return s.finish(ctx, true, "COMMIT")
	case "ROLLBACK", "ABORT":
		return s.finish(ctx, false, "ROLLBACK")
	case "SET", "RESET", "DISCARD", "DEALLOCATE":
		s.complete(word)
		return nil
	}
	// The working time passes in the slot and before the engine's only write lock is taken: a wait for the lock takes no
	// slot, and the lock is held for no longer than the engine needs.
	ctx, done, err := s.takeSlot(ctx, p.query)
	if err != nil {
		return s.abort(ctx, err)
	}
	defer done()
	if err := s.prepareWrite(ctx, p.query, batch); err != nil {
		return err
	}
	if returnsRows(p.query) {
		return s.runRows(ctx, p, limit, describe)
	}
	return s.runWrite(ctx, p)
}

// takeSlot waits for one of the member's slots and holds it for the statement's working time. The statement can be
// cancelled until the returned function is called.
func (s *session) takeSlot(parent context.Context, query string) (context.Context, func(), error) {
	ctx, cancel := context.WithCancel(parent)
	s.member.mu.Lock()
	s.cancel = cancel
	s.member.mu.Unlock()
	drop := func() {
		s.member.mu.Lock()
		s.cancel = nil
		s.member.mu.Unlock()
		cancel()
	}
	select {
	case s.member.slots <- struct{}{}:
	case <-ctx.Done():
		drop()
		return parent, nil, ctx.Err()
	}
	release := func() { <-s.member.slots }
	_, slow := s.member.switches.delays()
	work := s.member.options.Work + slow
	for _, match := range sleepPattern.FindAllStringSubmatch(query, -1) {
		seconds, _ := strconv.ParseFloat(match[1], 64)
		work += time.Duration(seconds * float64(time.Second))
	}
	if work > 0 {
		select {
		case <-time.After(work):
		case <-ctx.Done():
			release()
			drop()
			return parent, nil, ctx.Err()
		}
	}
	release()
	return ctx, drop, nil
}

// begin opens an explicit transaction. The engine's transaction, and with it the write lock, begins at the first write:
// reads before it see what is committed, as under the read committed isolation of PostgreSQL.
func (s *session) begin() {
	if s.status == statusIdle {
		s.opened, s.implicit = s.implicit, false
		s.status = statusActive
	}
	s.complete("BEGIN")
}

// open starts an engine transaction; one that may write takes the engine's write lock on a primary.
func (s *session) open(ctx context.Context, write bool) error {
	s.member.mu.Lock()
	term, err := s.member.writable()
	s.member.mu.Unlock()
	command := "BEGIN"
	if write && err == nil {
		command = "BEGIN IMMEDIATE"
	}
	s.term, s.writes = term, nil
	_, err = s.engine.ExecContext(ctx, command)
	s.opened = err == nil
	return err
}

// prepareWrite refuses a write on a replica and opens the implicit transaction that a write or a batch needs.
func (s *session) prepareWrite(ctx context.Context, query string, batch bool) error {
	if !isRead(query) {
		s.member.mu.Lock()
		_, err := s.member.writable()
		s.member.mu.Unlock()
		if err != nil {
			return err
		}
	}
	if s.status != statusIdle {
		if s.opened || isRead(query) {
			return nil
		}
		return s.open(ctx, true)
	}
	if s.implicit || (isRead(query) && !batch) {
		return nil
	}
	if err := s.open(ctx, !isRead(query)); err != nil {
		return err
	}
	s.implicit = true
	return nil
}

// finish ends the explicit transaction.
func (s *session) finish(ctx context.Context, commit bool, tag string) error {
	if s.status == statusIdle && !s.implicit {
		s.complete(tag)
		return nil
	}
	if s.status == statusFailed {
		commit, tag = false, "ROLLBACK"
	}
	s.status, s.implicit = statusIdle, false
	if err := s.end(ctx, commit); err != nil {
		return err
	}
	s.complete(tag)
	return nil
}

// endImplicit commits the implicit transaction, if one is open.
func (s *session) endImplicit(ctx context.Context) error {
	for _, p := range s.portals {
		if p.rows != nil && s.status == statusIdle {
			_ = p.rows.rows.Close()
			p.rows = nil
		}
	}
	if !s.implicit {
		return nil
	}
	s.implicit = false
	return s.end(ctx, true)
}

// end commits or rolls back the engine's transaction. Writes go into the log.
func (s *session) end(ctx context.Context, commit bool) error {
	ctx = context.WithoutCancel(ctx)
	writes := s.writes
	s.writes = nil
	if !s.opened {
		return nil
	}
	s.opened = false
	var err error
	switch {
	case commit && len(writes) > 0:
		err = s.member.commit(s.term, writes, func() error {
			_, err := s.engine.ExecContext(ctx, "COMMIT")
			return err
		})
		s.lost = err == nil && s.member.switches.loseAnswer()
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
	s.completeCount(p.query, count)
	return nil
}

// abort rolls back the implicit transaction after err.
func (s *session) abort(ctx context.Context, err error) error {
	if s.implicit {
		s.implicit = false
		_ = s.end(ctx, false)
	}
	return err
}

// runRows runs a statement with result columns and sends up to limit rows.
func (s *session) runRows(ctx context.Context, p *portal, limit int, describe bool) error {
	if p.rows == nil {
		rows, err := s.engine.QueryContext(context.WithoutCancel(ctx), toEngine(p.query), p.args...)
		if err != nil {
			return s.abort(ctx, err)
		}
		columns, err := columnsOf(rows)
		if err != nil {
			return s.abort(ctx, err)
		}
		p.rows = &rowSource{rows: rows, columns: columns}
		if !isRead(p.query) {
			s.writes = append(s.writes, statement{SQL: toEngine(p.query), Args: p.args})
		}
	}
	if describe {
		s.backend.Send(rowDescription(p.rows.columns, p.formats))
	}
	return s.sendRows(ctx, p, limit)
}

func (s *session) sendRows(ctx context.Context, p *portal, limit int) error {
	count := int64(0)
	source := p.rows
	for limit == 0 || count < int64(limit) {
		if !source.rows.Next() {
			err := source.rows.Err()
			_ = source.rows.Close()
			p.rows = nil
			if err != nil {
				return s.abort(ctx, err)
			}
			s.completeCount(p.query, count)
			return nil
		}
		if err := s.sendRow(source, p.formats); err != nil {
			return err
		}
		count++
		if count%flushRows == 0 {
			if err := ctx.Err(); err != nil {
				_ = source.rows.Close()
				p.rows = nil
				return s.abort(ctx, err)
			}
			if err := s.backend.Flush(); err != nil {
				return err
			}
		}
	}
	s.backend.Send(&pgproto3.PortalSuspended{})
	return nil
}

func (s *session) sendRow(source *rowSource, formats []int16) error {
	values := make([]any, len(source.columns))
	pointers := make([]any, len(values))
	for i := range values {
		pointers[i] = &values[i]
	}
	if err := source.rows.Scan(pointers...); err != nil {
		return err
	}
	fields := make([][]byte, len(values))
	for i, value := range values {
		field, err := s.encode(source.columns[i].oid, formatAt(formats, i), value)
		if err != nil {
			return err
		}
		fields[i] = field
	}
	s.backend.Send(&pgproto3.DataRow{Values: fields})
	return nil
}

// encode writes a value in the column's type, falling back to text.
func (s *session) encode(oid uint32, format int16, value any) ([]byte, error) {
	if value == nil {
		return nil, nil
	}
	if oid == pgtype.TextOID {
		if raw, ok := value.([]byte); ok {
			return raw, nil
		}
		return fmt.Append([]byte{}, value), nil
	}
	return s.types.Encode(oid, format, value, []byte{})
}

func (s *session) sendAnswer(result answer) error {
	columns := make([]column, len(result.names))
	for i, name := range result.names {
		columns[i] = column{name: name, oid: pgtype.TextOID}
	}
	s.backend.Send(rowDescription(columns, nil))
	for _, row := range result.rows {
		fields := make([][]byte, len(row))
		for i, text := range row {
			fields[i] = []byte(text)
		}
		s.backend.Send(&pgproto3.DataRow{Values: fields})
	}
	s.complete(fmt.Sprintf("SELECT %d", len(result.rows)))
	return nil
}

func (s *session) complete(tag string) {
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
}

func (s *session) completeCount(query string, count int64) {
	word := firstWord(query)
	switch word {
	case "WITH", "VALUES":
		word = "SELECT"
	case "INSERT":
		word = "INSERT 0"
	case "CREATE", "DROP", "ALTER":
		fields := strings.Fields(strings.ToUpper(query))
		s.complete(strings.Join(fields[:min(2, len(fields))], " "))
		return
	}
	s.complete(fmt.Sprintf("%s %d", word, count))
}

func rowDescription(columns []column, formats []int16) *pgproto3.RowDescription {
	fields := make([]pgproto3.FieldDescription, len(columns))
	for i, c := range columns {
		fields[i] = pgproto3.FieldDescription{
			Name: []byte(c.name), DataTypeOID: c.oid, DataTypeSize: -1, TypeModifier: -1, Format: formatAt(formats, i),
		}
	}
	return &pgproto3.RowDescription{Fields: fields}
}

func formatAt(formats []int16, i int) int16 {
	switch {
	case len(formats) == 1:
		return formats[0]
	case i < len(formats):
		return formats[i]
	default:
		return 0
	}
}
