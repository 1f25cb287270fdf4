package member

import (
	"context"
	"database/sql"
	"fmt"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"
)

// rowSource is the open result of a portal.
type rowSource struct {
	rows    *sql.Rows
	columns []column
}

// runRows runs a statement with result columns, or resumes its open result, and sends up to limit rows; 0 for all.
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

// sendRows sends up to limit rows of the portal's open result, and closes it after the last row.
func (s *session) sendRows(ctx context.Context, p *portal, limit int) error {
	count := int64(0)
	source := p.rows
	for limit == 0 || count < int64(limit) {
		if !source.rows.Next() {
			err := source.rows.Err()
			p.close()
			if err != nil {
				return s.abort(ctx, err)
			}
			s.sendCompleteCount(p.query, count)
			return nil
		}
		if err := s.sendRow(source, p.formats); err != nil {
			return err
		}
		count++
		if count%rowsPerFlush == 0 {
			if err := ctx.Err(); err != nil {
				p.close()
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

// encode encodes a value as the column's type. Text columns get the value's default format.
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

// sendAnswer sends the result of a group function.
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
	s.sendComplete(fmt.Sprintf("SELECT %d", len(result.rows)))
	return nil
}

func (s *session) sendComplete(tag string) {
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
}

// sendCompleteCount sends the command tag of a statement that returned or changed count rows.
func (s *session) sendCompleteCount(query string, count int64) {
	word := firstWord(query)
	switch word {
	case "WITH", "VALUES":
		word = "SELECT"
	case "INSERT":
		word = "INSERT 0"
	case "CREATE", "DROP", "ALTER":
		fields := strings.Fields(strings.ToUpper(query))
		s.sendComplete(strings.Join(fields[:min(2, len(fields))], " "))
		return
	}
	s.sendComplete(fmt.Sprintf("%s %d", word, count))
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

// formatAt returns the format code of column i; a single code applies to all columns, and the default is text (0).
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
