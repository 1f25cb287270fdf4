// Package group adapts a database group member's control statements to the root package's Target.
//
// It holds every assumption about how groups expose terms and log positions, and how they take orders: the functions
// group_state, group_fence, group_promote and group_follow, called by SQL.
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

// fields of the answer of every control function. They share one column, because the description of each column costs
// more bytes than its content, and probes are most of what control sends.
const (
	fieldRole = iota
	fieldTerm
	fieldLogTerm
	fieldOffset
	fieldHeard
	fieldAge
	fieldBranches
	fieldCount
)

// Target is the control connection to one member. Its methods may be called concurrently; they take turns.
type Target struct {
	login    pg.Login
	address  string
	database string
	clock    citronusher.Clock
	turn     chan struct{} // holds one token
	conn     *pgconn.PgConn
}

// New returns a target that connects when it is first used.
func New(login pg.Login, address, database string, clock citronusher.Clock) *Target {
	t := &Target{login: login, address: address, database: database, clock: clock, turn: make(chan struct{}, 1)}
	t.turn <- struct{}{}
	return t
}

// State asks for the member's role, term and position.
func (t *Target) State(ctx context.Context) (citronusher.MemberState, error) {
	return t.call(ctx, "SELECT group_state()")
}

// Fence makes the member refuse everything under older terms.
func (t *Target) Fence(ctx context.Context, term uint64, claimant string) (citronusher.MemberState, error) {
	return t.call(ctx, fmt.Sprintf("SELECT group_fence(%d, '%s')", term, claimant))
}

// Promote makes the member the primary of term.
func (t *Target) Promote(ctx context.Context, term uint64, claimant string) (citronusher.MemberState, error) {
	return t.call(ctx, fmt.Sprintf("SELECT group_promote(%d, '%s')", term, claimant))
}

// Follow makes the member a replica of address under term.
func (t *Target) Follow(ctx context.Context, term uint64, address string) error {
	_, err := t.call(ctx, fmt.Sprintf("SELECT group_follow(%d, '%s')", term, address))
	return err
}

// call runs a control function and reads the state that it returns.
func (t *Target) call(ctx context.Context, sql string) (citronusher.MemberState, error) {
	select {
	case <-t.turn:
	case <-ctx.Done():
		return citronusher.MemberState{}, fmt.Errorf("%s: %w", t.address, ctx.Err())
	}
	defer func() { t.turn <- struct{}{} }()
	if t.conn == nil || t.conn.IsClosed() {
		conn, err := t.login.Connect(ctx, t.address, t.database)
		if err != nil {
			return citronusher.MemberState{}, fmt.Errorf("connect to %s: %w", t.address, err)
		}
		t.conn = conn
	}
	askedAt := t.clock.Now()
	results, err := t.conn.Exec(ctx, sql).ReadAll()
	if err != nil {
		return citronusher.MemberState{}, orderError(t.address, err)
	}
	if len(results) != 1 || len(results[0].Rows) != 1 || len(results[0].Rows[0]) != 1 {
		return citronusher.MemberState{}, fmt.Errorf("%w: %s: malformed state", citronusher.ErrInvalid, t.address)
	}
	return parseState(string(results[0].Rows[0][0]), askedAt)
}

func orderError(address string, err error) error {
	var answer *pgconn.PgError
	if errors.As(err, &answer) && strings.Contains(answer.Message, citronusher.ErrFenced.Error()) {
		return fmt.Errorf("%w: %s: %s", citronusher.ErrFenced, address, answer.Message)
	}
	return fmt.Errorf("%s: %w", address, err)
}

// parseState reads the fields of a state. A member without branches leaves out the last one.
func parseState(text string, askedAt time.Time) (citronusher.MemberState, error) {
	fields := append(strings.Fields(text), "")
	if len(fields) < fieldCount {
		return citronusher.MemberState{}, fmt.Errorf("%w: state %q", citronusher.ErrInvalid, text)
	}
	numbers := make([]uint64, fieldCount)
	for _, field := range []int{fieldTerm, fieldLogTerm, fieldOffset, fieldHeard, fieldAge} {
		number, err := strconv.ParseUint(fields[field], 10, 63)
		if err != nil {
			return citronusher.MemberState{}, fmt.Errorf("%w: state %q: %w", citronusher.ErrInvalid, text, err)
		}
		numbers[field] = number
	}
	branches, err := citronusher.ParseTermStarts(fields[fieldBranches])
	if err != nil {
		return citronusher.MemberState{}, err
	}
	position := citronusher.NewPosition(numbers[fieldLogTerm], numbers[fieldOffset])
	state := citronusher.NewMemberState(citronusher.Role(fields[fieldRole]), numbers[fieldTerm], position, branches, askedAt)
	return state.WithReplication(before(askedAt, numbers[fieldHeard]), before(askedAt, numbers[fieldAge])), nil
}

// before returns the time the given milliseconds before at.
func before(at time.Time, milliseconds uint64) time.Time {
	const longest = uint64(1 << 40)
	return at.Add(-time.Duration(min(milliseconds, longest)) * time.Millisecond)
}

// Close drops the connection after the call in progress.
func (t *Target) Close() error {
	<-t.turn
	defer func() { t.turn <- struct{}{} }()
	if t.conn == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return t.conn.Close(ctx)
}
