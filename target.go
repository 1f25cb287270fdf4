package citronusher

import (
	"context"
	"time"
)

// Role is a group member's part in replication.
type Role string

// The roles of a group member.
const (
	RolePrimary Role = "primary"
	RoleReplica Role = "replica"
)

// MemberState is a group member's response to a probe.
type MemberState struct {
	role        Role
	term        uint64
	position    Position
	termStarts  []TermStart
	receivedAt  time.Time
	freshAt     time.Time
	requestedAt time.Time
}

// NewMemberState returns a member's state: term is the newest term whose commands it accepts, position the end of its log,
// starts the starts of the terms in its log, and requestedAt when the request was sent.
func NewMemberState(role Role, term uint64, position Position, starts []TermStart, requestedAt time.Time) MemberState {
	return MemberState{
		role: role, term: term, position: position, termStarts: starts, receivedAt: requestedAt, freshAt: requestedAt,
		requestedAt: requestedAt,
	}
}

// WithReplication returns m with the times at which a replica last received from its primary and up to which its data is
// complete, by the requester's clock.
func (m MemberState) WithReplication(receivedAt, freshAt time.Time) MemberState {
	m.receivedAt = receivedAt
	m.freshAt = freshAt
	return m
}

// Role returns the member's part in replication.
func (m MemberState) Role() Role { return m.role }

// Term returns the newest term that the member has accepted.
func (m MemberState) Term() uint64 { return m.term }

// Position returns the end of the member's log.
func (m MemberState) Position() Position { return m.position }

// TermStarts returns the start of each term in the member's log, oldest first.
func (m MemberState) TermStarts() []TermStart { return m.termStarts }

// ReceivedAt returns when a replica last received from its primary, by the requester's clock.
func (m MemberState) ReceivedAt() time.Time { return m.receivedAt }

// FreshAt returns the time up to which a replica is known to have everything that its primary had committed, by the
// requester's clock.
func (m MemberState) FreshAt() time.Time { return m.freshAt }

// RequestedAt returns when the request was sent.
func (m MemberState) RequestedAt() time.Time { return m.requestedAt }

// Target is the control interface of one group member.
type Target interface {
	// State requests the member's term, role and position.
	State(ctx context.Context) (MemberState, error)
	// Fence makes the member reject writes and commands under terms below term. It returns the member's state after
	// fencing, or ErrFenced when the member has accepted an equal or newer term.
	Fence(ctx context.Context, term uint64, claimant string) (MemberState, error)
	// Promote makes the member the primary of term, which it must have accepted from claimant.
	Promote(ctx context.Context, term uint64, claimant string) (MemberState, error)
	// Follow makes the member a replica of the primary at address under term.
	Follow(ctx context.Context, term uint64, address string) error
	// Close drops the control connection.
	Close() error
}
