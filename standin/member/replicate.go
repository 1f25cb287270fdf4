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
	groupPrefix   = "group:"
	logWait       = 100 * time.Millisecond
	logBatch      = 500
	pullTimeout   = 1 * time.Second
	pullRetry     = 50 * time.Millisecond
	applyInterval = 5 * time.Millisecond
)

// pending is a received record that replication lag still holds back.
type pending struct {
	record  record
	applyAt time.Time
}

// replicate pulls the primary's log while the member is a replica, until ctx ends.
func (m *Member) replicate(ctx context.Context) {
	for ctx.Err() == nil {
		m.mu.Lock()
		upstream, term := m.upstream, m.term
		m.mu.Unlock()
		if upstream == "" {
			sleep(ctx, pullRetry)
			continue
		}
		if err := m.follows(ctx, upstream, term); err != nil {
			m.logger.Debug("replication stopped", "member", m.name, "upstream", upstream, "error", err)
		}
		sleep(ctx, pullRetry)
	}
}

// follows replicates from one upstream until an order changes it or it fails.
func (m *Member) follows(ctx context.Context, upstream string, term uint64) error {
	if !m.switches.pass(groupPrefix, ctx.Done()) {
		return ctx.Err()
	}
	conn, err := m.dial(ctx, upstream)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close(context.WithoutCancel(ctx)) }()
	if err := m.align(ctx, conn); err != nil {
		return err
	}
	var queue []pending
	for m.stillFollows(upstream, term) && ctx.Err() == nil {
		if !m.switches.pass(groupPrefix, ctx.Done()) {
			return ctx.Err()
		}
		m.mu.Lock()
		received := m.log.offset() + uint64(len(queue))
		m.mu.Unlock()
		records, err := m.pull(ctx, conn, received)
		if err != nil {
			return err
		}
		lag, _ := m.switches.delays()
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

func (m *Member) dial(ctx context.Context, address string) (*pgconn.PgConn, error) {
	config, err := pgconn.ParseConfig("postgres://group@" + address + "/group?sslmode=disable&application_name=" +
		groupPrefix + m.name)
	if err != nil {
		return nil, fmt.Errorf("upstream %s: %w", address, err)
	}
	config.ConnectTimeout = pullTimeout
	return pgconn.ConnectConfig(ctx, config)
}

func (m *Member) stillFollows(upstream string, term uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.upstream == upstream && m.term == term
}

// align cuts the log back to what it shares with the primary.
func (m *Member) align(ctx context.Context, conn *pgconn.PgConn) error {
	row, err := m.ask(ctx, conn, "SELECT group_state()")
	if err != nil {
		return err
	}
	var role, text string
	var term, logTerm, head, heard, age uint64
	if _, err := fmt.Sscan(row[0][0], &role, &term, &logTerm, &head, &heard, &age, &text); err != nil {
		return fmt.Errorf("upstream state: %w", err)
	}
	if role != string(citronusher.RolePrimary) {
		return fmt.Errorf("upstream is no primary")
	}
	branches, err := citronusher.ParseTermStarts(text)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	shared := m.log.commonPrefix(branches, head)
	m.log.branches = branches
	if shared == m.log.offset() {
		return nil
	}
	m.logger.Info("log cut back", "member", m.name, "from", m.log.offset(), "to", shared)
	m.log.records = m.log.records[:shared]
	m.dropSessions()
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

func (m *Member) ask(ctx context.Context, conn *pgconn.PgConn, query string) ([][]string, error) {
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

func (m *Member) pull(ctx context.Context, conn *pgconn.PgConn, after uint64) ([]record, error) {
	lag, _ := m.switches.delays()
	if lag > 0 {
		sleep(ctx, applyInterval)
	}
	rows, err := m.ask(ctx, conn, fmt.Sprintf("SELECT group_log(%d)", after))
	if err != nil {
		return nil, err
	}
	records := make([]record, len(rows))
	for i, row := range rows {
		if err := json.Unmarshal([]byte(row[0]), &records[i]); err != nil {
			return nil, fmt.Errorf("record: %w", err)
		}
	}
	return records, nil
}

// applyDue applies the records whose lag has passed and returns the rest.
func (m *Member) applyDue(queue []pending, upstream string, term uint64, pulledAt time.Time) ([]pending, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.upstream != upstream || m.term != term {
		return nil, nil
	}
	m.heardAt = pulledAt
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

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
