package member

import (
	"context"
	"database/sql"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	_ "modernc.org/sqlite" // the SQL engine
)

// engine is the member's database: an SQLite file in a temporary directory, replaced by a new one when the log is
// truncated.
type engine struct {
	dir        string
	generation int
	db         *sql.DB
}

func newEngine() (*engine, error) {
	dir, err := os.MkdirTemp("", "standin")
	if err != nil {
		return nil, fmt.Errorf("create engine directory: %w", err)
	}
	e := &engine{dir: dir}
	return e, e.reset()
}

// reset replaces the database by an empty one.
func (e *engine) reset() error {
	if e.db != nil {
		_ = e.db.Close()
	}
	e.generation++
	path := filepath.Join(e.dir, fmt.Sprintf("%d.db", e.generation))
	db, err := sql.Open("sqlite", "file:"+path+
		"?_pragma=journal_mode(wal)&_pragma=synchronous(off)&_pragma=busy_timeout(4000)")
	if err != nil {
		return fmt.Errorf("open engine: %w", err)
	}
	e.db = db
	return nil
}

// apply runs a record's statements in one transaction.
func (e *engine) apply(r record) error {
	tx, err := e.db.BeginTx(context.Background(), nil)
	if err != nil {
		return fmt.Errorf("begin engine transaction: %w", err)
	}
	for _, s := range r.Statements {
		if _, err := tx.ExecContext(context.Background(), s.SQL, replayArgs(s.Args)...); err != nil {
			_ = tx.Rollback()
			return fmt.Errorf("apply %q: %w", s.SQL, err)
		}
	}
	return tx.Commit()
}

// replayArgs converts arguments that JSON decoded as float64 back to integers.
func replayArgs(args []any) []any {
	restored := make([]any, len(args))
	for i, arg := range args {
		restored[i] = arg
		if number, ok := arg.(float64); ok {
			restored[i] = int64(number)
		}
	}
	return restored
}

// close closes the database and removes its files.
func (e *engine) close() {
	_ = e.db.Close()
	_ = os.RemoveAll(e.dir)
}

// column is one result column.
type column struct {
	name string
	oid  uint32
}

// describe returns the result columns of a statement. It runs a query that returns no rows in place of a write.
func describe(ctx context.Context, conn *sql.Conn, query string) ([]column, error) {
	probe := query
	if match := returningPattern.FindStringSubmatch(query); match != nil && !isRead(query) {
		probe = fmt.Sprintf("SELECT %s FROM %s", match[2], match[1])
	} else if !isRead(query) {
		return nil, nil
	}
	if word := firstWord(probe); word == "SELECT" || word == "WITH" || word == "VALUES" {
		probe = "SELECT * FROM (" + strings.TrimRight(probe, "; \n") + "\n) LIMIT 0"
	}
	rows, err := conn.QueryContext(ctx, toEngine(probe), make([]any, parameterCount(query))...)
	if err != nil {
		return nil, err
	}
	defer func() { _ = rows.Close() }()
	return columnsOf(rows)
}

func columnsOf(rows *sql.Rows) ([]column, error) {
	types, err := rows.ColumnTypes()
	if err != nil {
		return nil, err
	}
	columns := make([]column, len(types))
	for i, t := range types {
		columns[i] = column{name: t.Name(), oid: typeOID(t.DatabaseTypeName(), t.Name())}
	}
	return columns, nil
}
