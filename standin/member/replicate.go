package member

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"citronusher.example/citronusher"
)

const (
	groupPrefix    = "group:"               // of the application name of connections between members
	logWaitTimeout = 100 * time.Millisecond // a primary's wait for new records before it answers a pull
	maxLogBatch    = 500                    // records in one answer
	pullTimeout    = 1 * time.Second
	pullRetryDelay = 50 * time.Millisecond
	applyInterval  = 5 * time.Millisecond // between two pulls while records wait for the lag to pass
)

// pending is a received record that is applied when the replication lag has passed.
type pending struct {
	record  record
	applyAt time.Time
}

// replicate pulls the log of the member's upstream, if it has one, and retries after errors until ctx ends.
func (m *Member) replicate(ctx context.Context) {
	for ctx.Err() == nil {
		m.mu.Lock()
		upstream, term := m.upstream, m.term
		m.mu.Unlock()
		if upstream == "" {
			sleep(ctx, pullRetryDelay)
			continue
		}
		if err := m.replicateFrom(ctx, upstream, term); err != nil {
			m.logger.Debug("replication stopped", "member", m.name, "upstream", upstream, "error", err)
		}
		sleep(ctx, pullRetryDelay)
	}
}

// replicateFrom replicates from upstream until a command changes the upstream or term, or replication fails.
func (m *Member) replicateFrom(ctx context.Context, upstream string, term uint64) error {
	if !m.faults.waitConnected(groupPrefix, ctx.Done()) {
		return ctx.Err()
	}
	conn, err := m.dial(ctx, upstream)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close(context.WithoutCancel(ctx)) }()
	if err := m.truncateToShared(ctx, conn); err != nil {
		return err
	}
	var queue []pending
	for m.hasUpstream(upstream, term) && ctx.Err() == nil {
		if !m.faults.waitConnected(groupPrefix, ctx.Done()) {
			return ctx.Err()
		}
		m.mu.Lock()
		received := m.log.offset() + uint64(len(queue))
		m.mu.Unlock()
		records, err := m.pull(ctx, conn, received)
		if err != nil {
			return err
		}
		lag, _ := m.faults.delays()
		now := time.Now()
		for _, r := range records {
			queue = append(queue, pending{record: r, applyAt: now.Add(lag)})
		}
		if queue, err = m.applyDue(queue, upstream, term, now); err != nil {
			return err
		}
	}
	return nil
}

// dial connects to another member of the group.
func (m *Member) dial(ctx context.Context, address string) (*pgconn.PgConn, error) {
	config, err := pgconn.ParseConfig("postgres://group@" + address + "/group?sslmode=disable&application_name=" +
		groupPrefix + m.name)
	if err != nil {
		return nil, fmt.Errorf("upstream %s: %w", address, err)
	}
	config.ConnectTimeout = pullTimeout
	return pgconn.ConnectConfig(ctx, config)
}

// hasUpstream reports whether the member still replicates from upstream in term.
func (m *Member) hasUpstream(upstream string, term uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.upstream == upstream && m.term == term
}

// truncateToShared truncates the log to the records that it shares with the primary, and rebuilds the database from them if
// records were removed.
func (m *Member) truncateToShared(ctx context.Context, conn *pgconn.PgConn) error {
	row, err := m.query(ctx, conn, "SELECT group_state()")
	if err != nil {
		return err
	}
	var role, text string
	var term, logTerm, head, sinceResponse, age uint64
	if _, err := fmt.Sscan(row[0][0], &role, &term, &logTerm, &head, &sinceResponse, &age, &text); err != nil {
		return fmt.Errorf("parse upstream state: %w", err)
	}
	if role != string(citronusher.RolePrimary) {
		return fmt.Errorf("upstream is not the primary")
	}
	termStarts, err := citronusher.ParseTermStarts(text)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	shared := m.log.commonPrefix(termStarts, head)
	m.log.termStarts = termStarts
	if shared == m.log.offset() {
		return nil
	}
	m.logger.Info("log truncated", "member", m.name, "from", m.log.offset(), "to", shared)
	m.log.records = m.log.records[:shared]
	m.closeSessions()
	if err := m.engine.reset(); err != nil {
		return err
	}
	for _, r := range m.log.records {
		if err := m.engine.apply(r); err != nil {
			return err
		}
	}
	return nil
}

// query runs a query on another member and returns its rows as text.
func (m *Member) query(ctx context.Context, conn *pgconn.PgConn, query string) ([][]string, error) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	results, err := conn.Exec(ctx, query).ReadAll()
	if err != nil {
		return nil, err
	}
	var rows [][]string
	for _, result := range results {
		for _, row := range result.Rows {
			texts := make([]string, len(row))
			for i, field := range row {
				texts[i] = string(field)
			}
			rows = append(rows, texts)
		}
	}
	return rows, nil
}

// pull fetches the records after an offset from the upstream.
func (m *Member) pull(ctx context.Context, conn *pgconn.PgConn, after uint64) ([]record, error) {
	lag, _ := m.faults.delays()
	if lag > 0 {
		sleep(ctx, applyInterval)
	}
	rows, err := m.query(ctx, conn, fmt.Sprintf("SELECT group_log(%d)", after))
	if err != nil {
		return nil, err
	}
	records := make([]record, len(rows))
	for i, row := range rows {
		if err := json.Unmarshal([]byte(row[0]), &records[i]); err != nil {
			return nil, fmt.Errorf("decode log record: %w", err)
		}
	}
	return records, nil
}

// applyDue applies the records whose lag has passed and returns the others. It drops all of them if the upstream or term
// has changed.
func (m *Member) applyDue(queue []pending, upstream string, term uint64, pulledAt time.Time) ([]pending, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.upstream != upstream || m.term != term {
		return nil, nil
	}
	m.lastResponseAt = pulledAt
	for len(queue) > 0 && !queue[0].applyAt.After(time.Now()) {
		if err := m.engine.apply(queue[0].record); err != nil {
			return nil, err
		}
		m.log.append(queue[0].record)
		queue = queue[1:]
	}
	if len(queue) == 0 {
		m.freshAt = pulledAt
	}
	return queue, nil
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
