// Package group implements citronusher.Target by SQL control statements to one member of a database group.
//
// All assumptions about a group's control interface are in this package: members report terms and log positions, and
// accept commands, through the SQL functions group_state, group_fence, group_promote and group_follow.
package group

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/pg"
)

// Fields of the state that every control function returns, separated by spaces in a single column. Probes are most of
// the control traffic, and the description of a further column would take more bytes than its content.
const (
	fieldRole = iota
	fieldTerm
	fieldLogTerm
	fieldOffset
	fieldReceivedAge
	fieldFreshAge
	fieldTermStarts
	fieldCount
)

// Target is the control connection to one member. Its methods may be called concurrently; their statements run one at a
// time.
type Target struct {
	login     pg.Login
	address   string
	database  string
	clock     citronusher.Clock
	semaphore chan struct{} // holds one token; its receiver may use conn
	conn      *pgconn.PgConn
}

// New returns a target that connects at its first statement.
func New(login pg.Login, address, database string, clock citronusher.Clock) *Target {
	t := &Target{login: login, address: address, database: database, clock: clock, semaphore: make(chan struct{}, 1)}
	t.semaphore <- struct{}{}
	return t
}

// State requests the member's role, term and position.
func (t *Target) State(ctx context.Context) (citronusher.MemberState, error) {
	return t.call(ctx, "SELECT group_state()")
}

// Fence makes the member reject writes and commands under terms below term. Its error wraps citronusher.ErrFenced when
// the member has accepted an equal or newer term.
func (t *Target) Fence(ctx context.Context, term uint64, claimant string) (citronusher.MemberState, error) {
	return t.call(ctx, fmt.Sprintf("SELECT group_fence(%d, '%s')", term, claimant))
}

// Promote makes the member the primary of term, which it must have accepted from claimant by Fence.
func (t *Target) Promote(ctx context.Context, term uint64, claimant string) (citronusher.MemberState, error) {
	return t.call(ctx, fmt.Sprintf("SELECT group_promote(%d, '%s')", term, claimant))
}

// Follow makes the member a replica of the primary at address under term.
func (t *Target) Follow(ctx context.Context, term uint64, address string) error {
	_, err := t.call(ctx, fmt.Sprintf("SELECT group_follow(%d, '%s')", term, address))
	return err
}

// call runs a control function and parses the state that it returns. It connects first if no connection is open.
func (t *Target) call(ctx context.Context, sql string) (citronusher.MemberState, error) {
	select {
	case <-t.semaphore:
	case <-ctx.Done():
		return citronusher.MemberState{}, fmt.Errorf("wait for the control connection to member %s: %w", t.address, ctx.Err())
	}
	defer func() { t.semaphore <- struct{}{} }()
	if t.conn == nil || t.conn.IsClosed() {
		conn, err := t.login.Connect(ctx, t.address, t.database)
		if err != nil {
			return citronusher.MemberState{}, fmt.Errorf("connect to member %s: %w", t.address, err)
		}
		t.conn = conn
	}
	requestedAt := t.clock.Now()
	results, err := t.conn.Exec(ctx, sql).ReadAll()
	if err != nil {
		return citronusher.MemberState{}, commandError(t.address, err)
	}
	if len(results) != 1 || len(results[0].Rows) != 1 || len(results[0].Rows[0]) != 1 {
		return citronusher.MemberState{}, fmt.Errorf("%w: member %s did not return a state of one row and one column",
			citronusher.ErrInvalid, t.address)
	}
	return parseState(string(results[0].Rows[0][0]), requestedAt)
}

// commandError adds the member's address to an error, and citronusher.ErrFenced when the member reports that it is
// fenced.
func commandError(address string, err error) error {
	var answer *pgconn.PgError
	if errors.As(err, &answer) && strings.Contains(answer.Message, citronusher.ErrFenced.Error()) {
		return fmt.Errorf("%w: member %s: %s", citronusher.ErrFenced, address, answer.Message)
	}
	return fmt.Errorf("member %s: %w", address, err)
}

// parseState parses a state that was requested at requestedAt. The last field, the term starts, is absent when the
// member has none.
func parseState(text string, requestedAt time.Time) (citronusher.MemberState, error) {
	fields := append(strings.Fields(text), "")
	if len(fields) < fieldCount {
		return citronusher.MemberState{}, fmt.Errorf("%w: member state %q: too few fields", citronusher.ErrInvalid, text)
	}
	numbers := make([]uint64, fieldCount)
	for _, field := range []int{fieldTerm, fieldLogTerm, fieldOffset, fieldReceivedAge, fieldFreshAge} {
		number, err := strconv.ParseUint(fields[field], 10, 63)
		if err != nil {
			return citronusher.MemberState{}, fmt.Errorf("%w: member state %q: %w", citronusher.ErrInvalid, text, err)
		}
		numbers[field] = number
	}
	starts, err := citronusher.ParseTermStarts(fields[fieldTermStarts])
	if err != nil {
		return citronusher.MemberState{}, err
	}
	position := citronusher.NewPosition(numbers[fieldLogTerm], numbers[fieldOffset])
	state := citronusher.NewMemberState(citronusher.Role(fields[fieldRole]), numbers[fieldTerm], position, starts,
		requestedAt)
	return state.WithReplication(subtractMillis(requestedAt, numbers[fieldReceivedAge]),
		subtractMillis(requestedAt, numbers[fieldFreshAge])), nil
}

// subtractMillis returns the time that lies the given number of milliseconds before at.
func subtractMillis(at time.Time, milliseconds uint64) time.Time {
	const maxMillis = uint64(1 << 40) // 35 years; keeps the duration from overflowing
	return at.Add(-time.Duration(min(milliseconds, maxMillis)) * time.Millisecond)
}

// Close closes the connection after the statement in progress has ended.
func (t *Target) Close() error {
	<-t.semaphore
	defer func() { t.semaphore <- struct{}{} }()
	if t.conn == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return t.conn.Close(ctx)
}
