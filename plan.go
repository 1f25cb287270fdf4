package citronusher

import (
	"context"
	"time"
)

// Consistency says which data a route's reads may see.
type Consistency int

// The consistencies of routes.
const (
	// ConsistencyPrimary reads see every acknowledged write.
	ConsistencyPrimary Consistency = iota
	// ConsistencySession reads see the session's own writes, and others' up to an age.
	ConsistencySession
	// ConsistencyBounded reads see every write that was acknowledged longer ago than an age.
	ConsistencyBounded
)

// Route is one database name that callers ask for, with the profile of its requests.
type Route struct {
	// Name is the database name that callers ask for.
	Name string
	// Group is the database group that serves it.
	Group string
	// Consistency says which data reads may see.
	Consistency Consistency
	// Age is how old the data of a read may be.
	Age time.Duration
	// Limit is how long one statement may take.
	Limit time.Duration
	// Goal is the latency that callers aim for.
	Goal time.Duration
	// Priority orders waiting requests; 0 goes first.
	Priority int
}

// GroupPlan is the configuration of one database group.
type GroupPlan struct {
	// Name names the group.
	Name string
	// Connections is how many connections each member takes from all daemons together.
	Connections int
}

// Plan is one version of the routes and groups in force. A Plan is never changed after it was made.
type Plan struct {
	// Version rises with each accepted change.
	Version uint64
	// Routes are the routes by name.
	Routes map[string]Route
	// Groups are the groups by name.
	Groups map[string]GroupPlan
	// Idle is how long a caller may leave a transaction idle.
	Idle time.Duration
}

// MemberReport is what a group member tells of itself through the platform.
type MemberReport struct {
	// ID names the member.
	ID string
	// Group names its database group.
	Group string
	// Address is its IP:PORT.
	Address string
	// Domain is its failure domain.
	Domain string
	// Leaving is set while the member takes no new work.
	Leaving bool
	// Role is the member's part in replication, as it sees itself.
	Role Role
	// Slots is how many statements it runs at once.
	Slots int
	// BornMillis is the Unix millisecond of the member's start; a member that started again knows nothing of before.
	BornMillis int64
}

// Claim is the record of the daemon that may promote a member of a group.
type Claim struct {
	// Holder names the daemon.
	Holder string
	// Token rises with each claim of any group.
	Token uint64
	// EndMillis is when the claim ends, on the store's clock.
	EndMillis int64
	// StoreMillis is the store's clock when it answered.
	StoreMillis int64
}

// Store is the platform's service that keeps plans, member reports and claims. Its errors wrap ErrUnavailable,
// ErrConflict or ErrNotFound.
type Store interface {
	// Plan returns the newest plan and the store's version of it.
	Plan(ctx context.Context) (Plan, uint64, error)
	// WaitForPlan waits until a plan newer than the store's version after exists.
	WaitForPlan(ctx context.Context, after uint64) (plan Plan, found bool, version uint64, err error)
	// Members returns the members of all groups.
	Members(ctx context.Context) ([]MemberReport, error)
	// Instances returns the registered daemons.
	Instances(ctx context.Context) ([]Instance, error)
	// Register makes the daemon known to the others.
	Register(ctx context.Context, instance Instance) error
	// Deregister removes a daemon.
	Deregister(ctx context.Context, name string) error
	// ReadClaim returns the claim on a group and the version that replacing it must expect.
	ReadClaim(ctx context.Context, group string) (Claim, uint64, error)
	// WriteClaim replaces the claim that has the expected version.
	WriteClaim(ctx context.Context, group string, expected uint64, claim Claim) (Claim, error)
}

// Promoter orders the platform to make a member the primary of its group.
type Promoter interface {
	// Promote orders it on behalf of the claim. When it returns, no order of this call is still under way.
	Promote(ctx context.Context, group, member string, claim Claim) error
}

// PeerUpdate is what one daemon tells another one of what it read from the store.
type PeerUpdate struct {
	// Plan is the plan that it has in force; without a version when it is not newer than the asker's.
	Plan Plan
	// PlanAge is how long ago the store confirmed that there was no newer plan.
	PlanAge time.Duration
	// Members are the members that it knows; nil when they are those that the asker knows.
	Members []MemberReport
	// MembersAge is how long ago the members were listed.
	MembersAge time.Duration
	// Instances are the daemons that it knows; nil when they are those that the asker knows.
	Instances []Instance
	// WaitedFor is how long it kept the question, waiting for something new.
	WaitedFor time.Duration
}

// PeerUpdateRequest is what a daemon knows already when it asks another one.
type PeerUpdateRequest struct {
	// Plan is the version of its plan.
	Plan uint64
	// Members and Instances are the digests of its lists; 0 when it has none.
	Members, Instances uint64
	// MaxWait is how long the question may be kept until there is something new.
	MaxWait time.Duration
}

// Peers reaches the other daemons before the same groups.
type Peers interface {
	// ReleaseLease makes a daemon give up its rights to a group's primaries up to term, on behalf of claim. Its error wraps
	// ErrRefused when the daemon does not run, and ErrUnavailable when it did not answer.
	ReleaseLease(ctx context.Context, instance Instance, group string, claim Claim, term uint64) error
	// LeaseRenewalAge returns how long before its answer a daemon asked the replica that renewed its right to a group's primary
	// of a term. Its error wraps ErrUnavailable, or ErrNotFound when it has no such right.
	LeaseRenewalAge(ctx context.Context, instance Instance, group string, term uint64) (time.Duration, error)
	// FetchUpdate returns what a daemon knows besides what is known already. Its error wraps ErrUnavailable.
	FetchUpdate(ctx context.Context, instance Instance, known PeerUpdateRequest) (PeerUpdate, error)
}
