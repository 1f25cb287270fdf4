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

// MemberState is a group member's answer to a probe.
type MemberState struct {
	role     Role
	term     uint64
	position Position
	branches []TermStart
	heardAt  time.Time
	freshAt  time.Time
	askedAt  time.Time
}

// NewMemberState returns a member's answer: term is the newest term that it accepts orders under, position the end of
// its log, branches the start of the terms that it knows, and askedAt when the question was sent.
func NewMemberState(role Role, term uint64, position Position, branches []TermStart, askedAt time.Time) MemberState {
	return MemberState{
		role: role, term: term, position: position, branches: branches, heardAt: askedAt, freshAt: askedAt,
		askedAt: askedAt,
	}
}

// WithReplication returns m with the times at which a replica last heard from its primary and at which its data was
// last complete, by the asker's clock.
func (m MemberState) WithReplication(heardAt, freshAt time.Time) MemberState {
	m.heardAt = heardAt
	m.freshAt = freshAt
	return m
}

// Role returns the member's part in replication.
func (m MemberState) Role() Role { return m.role }

// Term returns the newest term that the member has accepted.
func (m MemberState) Term() uint64 { return m.term }

// Position returns the end of the member's log.
func (m MemberState) Position() Position { return m.position }

// TermStarts returns the start of each term that the member knows, oldest first.
func (m MemberState) TermStarts() []TermStart { return m.branches }

// ReceivedAt returns when a replica last heard from its primary, by the asker's clock.
func (m MemberState) ReceivedAt() time.Time { return m.heardAt }

// FreshAt returns the time up to which a replica is known to hold everything that its primary had committed, by the
// asker's clock.
func (m MemberState) FreshAt() time.Time { return m.freshAt }

// RequestedAt returns when the question was sent.
func (m MemberState) RequestedAt() time.Time { return m.askedAt }

// Target is the control side of one group member.
type Target interface {
	// State asks for the member's term, role and position.
	State(ctx context.Context) (MemberState, error)
	// Fence makes the member refuse writes and orders under terms below term. It returns the member's state after
	// fencing, or ErrFenced when the member knows a term that is not below.
	Fence(ctx context.Context, term uint64, claimant string) (MemberState, error)
	// Promote makes the member the primary of term, which it must have accepted from claimant.
	Promote(ctx context.Context, term uint64, claimant string) (MemberState, error)
	// Follow makes the member a replica of the primary at address under term.
	Follow(ctx context.Context, term uint64, address string) error
	// Close drops the control connection.
	Close() error
}
