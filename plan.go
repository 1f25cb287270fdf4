package citronusher

import (
	"context"
	"time"
)

// Consistency is the guarantee that the reads of a route give.
type Consistency int

// The consistencies of routes.
const (
	// ConsistencyPrimary reads see every acknowledged write.
	ConsistencyPrimary Consistency = iota
	// ConsistencySession reads see the session's own writes, and those of others that were acknowledged longer ago than
	// an age.
	ConsistencySession
	// ConsistencyBounded reads see every write that was acknowledged longer ago than an age.
	ConsistencyBounded
)

// Route is a database name that callers connect to, and how its requests are served.
type Route struct {
	// Name is the database name that callers connect to.
	Name string
	// Group is the database group that serves it.
	Group string
	// Consistency is the guarantee that reads give.
	Consistency Consistency
	// Age is the maximum age of the data that a read returns.
	Age time.Duration
	// Limit is the time that one statement may take.
	Limit time.Duration
	// Goal is the latency goal.
	Goal time.Duration
	// Priority orders waiting requests; 0 starts first.
	Priority int
}

// GroupPlan is the configuration of one database group.
type GroupPlan struct {
	// Name names the group.
	Name string
	// Connections is the maximum number of connections to each member, from all daemons together.
	Connections int
}

// Plan is one version of the configured routes and groups. A Plan is immutable.
type Plan struct {
	// Version increases with each accepted change.
	Version uint64
	// Routes are the routes by name.
	Routes map[string]Route
	// Groups are the groups by name.
	Groups map[string]GroupPlan
	// Idle is the maximum time that a caller may leave a transaction idle.
	Idle time.Duration
}

// MemberReport is the state that a group member reports about itself through the platform.
type MemberReport struct {
	// ID names the member.
	ID string
	// Group names its database group.
	Group string
	// Address is its IP:PORT.
	Address string
	// Domain is its failure domain.
	Domain string
	// Leaving is set while the member accepts no new work.
	Leaving bool
	// Role is the member's part in replication, as it sees itself.
	Role Role
	// Slots is the number of statements that it runs at once.
	Slots int
	// BornMillis is the start of the member's process in Unix milliseconds. A restarted member has lost its earlier
	// in-memory state.
	BornMillis int64
}

// StoreEra is a span of time in which the store loses nothing that it acknowledged. An era ends when the store returns from
// an older copy: what was written since the copy is gone, and versions are given out again.
type StoreEra struct {
	// Number increases by one with each return from an older copy, from 1; 0 when the store has no eras.
	Number uint64
	// SeenAt is when this daemon received the first response of the era. The era began earlier.
	SeenAt Instant
}

// StoreVersion is a version of the store's content. Within an era numbers only rise; between eras they say nothing.
type StoreVersion struct {
	// Era is the number of the era.
	Era uint64
	// Number increases with each change.
	Number uint64
}

// ClaimPhase is how far the holder of a claim may have come.
type ClaimPhase string

// The phases of a claim.
const (
	// ClaimFree is the phase of a claim whose holder has requested no promotion, and will not.
	ClaimFree ClaimPhase = "free"
	// ClaimHeld is the phase of a claim whose holder may be about to replace the primary, and has requested no promotion.
	// When the claim is replaced, its holder cannot request one any more.
	ClaimHeld ClaimPhase = "held"
	// ClaimRequested is the phase of a claim under which, or before which, the promotion of the candidate may have been
	// requested. It may take effect at any time, also when the claim has ended.
	ClaimRequested ClaimPhase = "requested"
)

// Candidate is a member whose promotion is requested.
type Candidate struct {
	// ID names the member.
	ID string
	// Position is the end of its log when its promotion was requested first.
	Position Position
}

// RepeatedRequest is a promotion that was requested again although an earlier request for the same member may still take
// effect. When the member leads, the platform may yet carry out one of the requests.
type RepeatedRequest struct {
	// ID names the member; empty when no request was repeated.
	ID string
	// Millis is when the promotion was requested last, in milliseconds of the store's clock.
	Millis int64
}

// Claim is a daemon's exclusive permission to promote a member of a group. It is a row in the store.
type Claim struct {
	// Holder names the daemon's process.
	Holder string
	// Token increases with each claim of any group, through all eras of the store.
	Token uint64
	// Era is the number of the store's era in which the claim was written; 0 without a claim.
	Era uint64
	// Version is the version of the claim's row, which WriteClaim must expect; 0 without a claim.
	Version uint64
	// Term is the highest term of a primary that the holder of this claim or of an earlier one has known: that of the
	// primary that the holder may be replacing.
	Term uint64
	// Phase is how far the holder may have come.
	Phase ClaimPhase
	// Candidate is the member whose promotion may have been requested last, in phase ClaimRequested.
	Candidate Candidate
	// Repeated is the newest repeated request under this claim or an earlier one.
	Repeated RepeatedRequest
	// EndMillis is when the claim ends, in milliseconds of the store's clock.
	EndMillis int64
	// StoreMillis is the store's clock when it responded, in milliseconds.
	StoreMillis int64
}

// Store is the platform's service that keeps plans, member reports and claims. Its errors wrap ErrUnavailable,
// ErrConflict or ErrNotFound.
type Store interface {
	// Era returns the store's newest era that any response has carried.
	Era() StoreEra
	// Plan returns the newest plan and the store's version of it, also with ErrInvalid, when that plan is invalid.
	Plan(ctx context.Context) (Plan, StoreVersion, error)
	// WaitForPlan waits for a plan that is newer than the store's version after. found is false when none appeared. With
	// ErrInvalid the newest plan is invalid, and version is past it; found may be an older one. When the store is in another
	// era it returns the newest plan.
	WaitForPlan(ctx context.Context, after StoreVersion) (plan Plan, found bool, version StoreVersion, err error)
	// Members returns the members of all groups.
	Members(ctx context.Context) ([]MemberReport, error)
	// Instances returns the registered daemons, those that are leaving included.
	Instances(ctx context.Context) ([]Instance, error)
	// SomeInstances returns registered daemons at the cost of one call. complete is false when the part of the store that
	// keeps most of them did not respond, so that the list may lack any of them; it always may lack daemons that registered
	// during such an outage.
	SomeInstances(ctx context.Context) (list []Instance, complete bool, err error)
	// Register adds a daemon to the registered ones, or replaces the registration that an earlier process of its name left.
	Register(ctx context.Context, instance Instance) error
	// Replicate registers a registered daemon in every other part of the store that keeps daemons, so that it is found
	// while some of them are down.
	Replicate(ctx context.Context, instance Instance) error
	// Deregister removes a daemon from the registered ones. Before that it is listed as leaving, and it is removed only if it
	// has not registered again since. A daemon that is listed as live is not removed by a call that is performed late.
	Deregister(ctx context.Context, instance Instance) error
	// ReadClaim returns the claim on a group.
	ReadClaim(ctx context.Context, group string) (Claim, error)
	// WriteClaim replaces the claim that has the expected version.
	WriteClaim(ctx context.Context, group string, expected uint64, claim Claim) (Claim, error)
}

// Promoter requests promotions from the platform.
type Promoter interface {
	// Promote requests that the member becomes the group's primary, under the claim, unless the deadline has passed when the
	// request could be sent. When it returns, no request of this call is still in progress.
	Promote(ctx context.Context, deadline Instant, group, member string, claim Claim) error
}

// PeerUpdate is the part of a daemon's copy of the store that it sends to another daemon.
type PeerUpdate struct {
	// Plan is its active plan; without a version when it is not newer than the requester's.
	Plan Plan
	// PlanAge is how long ago the store confirmed that there was no newer plan.
	PlanAge time.Duration
	// Members are the members of its list; nil when the requester's list is equal.
	Members []MemberReport
	// MembersAge is how long ago the members were listed.
	MembersAge time.Duration
	// Instances are the daemons of its list; nil when the requester's list is equal.
	Instances []Instance
	// WaitedFor is how long the request was delayed until there was a change.
	WaitedFor time.Duration
	// Era is the number of the store's newest era that it knows of; 0 when the store has no eras.
	Era uint64
}

// PeerUpdateRequest is a request for the changes since the requester's state.
type PeerUpdateRequest struct {
	// Plan is the version of the requester's plan.
	Plan uint64
	// Members and Instances are the digests of the requester's lists; 0 when it has none.
	Members, Instances uint64
	// MaxWait is the maximum time that the request may be delayed until there is a change.
	MaxWait time.Duration
}

// Peers sends requests to the other daemons that serve the same groups.
type Peers interface {
	// ReleaseLease makes a daemon release its leases on a group's primaries up to term, under claim. Its error wraps
	// ErrRefused when the connection was refused, and ErrUnavailable when the daemon did not respond.
	ReleaseLease(ctx context.Context, instance Instance, group string, claim Claim, term uint64) error
	// LeaseRenewalAge returns how long before its response a daemon sent the request that renewed its lease on a group's
	// primary of a term. Its error wraps ErrUnavailable, or ErrNotFound when it has no such lease.
	LeaseRenewalAge(ctx context.Context, instance Instance, group string, term uint64) (time.Duration, error)
	// FetchUpdate returns the changes in a daemon's copy of the store since known. Its error wraps ErrUnavailable.
	FetchUpdate(ctx context.Context, instance Instance, known PeerUpdateRequest) (PeerUpdate, error)
}
