package citronusher

import (
	"errors"
	"fmt"
	"time"
)

// Sentinel errors. Callers test for them with errors.Is.
var (
	// ErrNotRun reports that a request had no effect on its target.
	ErrNotRun = errors.New("not run")
	// ErrUnknown reports that a request may or may not have taken effect.
	ErrUnknown = errors.New("outcome unknown")
	// ErrConflict reports that a conditional write found a version other than the expected one.
	ErrConflict = errors.New("version conflict")
	// ErrUnavailable reports that the platform or a daemon did not respond, or responded that it cannot serve.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrNotFound reports that a row or an object does not exist.
	ErrNotFound = errors.New("not found")
	// ErrFenced reports that a member rejected a command because it has accepted an equal or newer term.
	ErrFenced = errors.New("fenced by a newer term")
	// ErrRefused reports that the machine responds, but nothing listens at the address.
	ErrRefused = errors.New("connection refused")
	// ErrNotDelivered reports that a call was not delivered to the other daemon.
	ErrNotDelivered = errors.New("daemon not reached")
	// ErrWrongMember reports that a member other than the expected one responds at an address.
	ErrWrongMember = errors.New("another member answers")
	// ErrClosed reports use of a component after Close.
	ErrClosed = errors.New("closed")
	// ErrInvalid reports input that fails validation; most messages name the field, the value and what is allowed.
	ErrInvalid = errors.New("invalid")
)

// Outcome states whether a request took effect on its target.
type Outcome int

// The outcomes of a request.
const (
	// Ran means that the target ran the request and responded.
	Ran Outcome = iota + 1
	// NotRun means that the request had no effect.
	NotRun
	// Unknown means that the effect could not be determined.
	Unknown
)

// String returns the outcome as it is shown to callers.
func (o Outcome) String() string {
	switch o {
	case Ran:
		return "ran"
	case NotRun:
		return "not run"
	default:
		return "unknown"
	}
}

// Reason is the one-word cause of a failure or a retry. Each reason has its own counters.
type Reason string

// The reasons for which a request is rejected, is retried or ends with an unknown outcome.
const (
	ReasonAuth      Reason = "auth"      // the credentials were rejected
	ReasonInput     Reason = "input"     // the request is malformed or unsupported
	ReasonDatabase  Reason = "database"  // the database is not configured
	ReasonProfile   Reason = "profile"   // the profile is not configured
	ReasonPrimary   Reason = "primary"   // no primary is known
	ReasonClosed    Reason = "closed"    // a confirmation failed; writes wait for the next successful confirmation round
	ReasonLeaving   Reason = "leaving"   // the daemon or the target is draining
	ReasonConnect   Reason = "connect"   // no connection to the target or peer could be made
	ReasonPeer      Reason = "peer"      // the connection to the home was lost
	ReasonLimit     Reason = "limit"     // the target accepts no more connections
	ReasonQueue     Reason = "queue"     // the request could not have started before its deadline
	ReasonFull      Reason = "full"      // the queue is full
	ReasonDeadline  Reason = "deadline"  // the request's deadline passed
	ReasonBudget    Reason = "budget"    // the retry budget is spent
	ReasonBehind    Reason = "behind"    // replicas lag too far to confirm a majority acknowledgement in time
	ReasonLost      Reason = "lost"      // an earlier write of the session did not survive a promotion
	ReasonBroken    Reason = "broken"    // the target connection was lost while the request ran
	ReasonConfirm   Reason = "confirm"   // the commit could not be confirmed under an unchanged term
	ReasonCancel    Reason = "cancel"    // the caller cancelled the request
	ReasonReplica   Reason = "replica"   // a replica rejected the statement
	ReasonRepeat    Reason = "repeat"    // the outcome of a non-repeatable request was already decided
	ReasonGone      Reason = "gone"      // the caller's pinned target connection no longer exists
	ReasonStatement Reason = "statement" // the session has not prepared the statement
	ReasonHome      Reason = "home"      // the daemon does not serve the group
	ReasonFailed    Reason = "failed"    // the member ran the statement and failed
)

// Reasons lists every reason, in the order in which they are documented.
func Reasons() []Reason {
	return []Reason{
		ReasonAuth, ReasonInput, ReasonDatabase, ReasonProfile, ReasonPrimary, ReasonClosed, ReasonLeaving,
		ReasonConnect, ReasonPeer, ReasonLimit, ReasonQueue, ReasonFull, ReasonDeadline, ReasonBudget, ReasonBehind,
		ReasonLost, ReasonBroken, ReasonConfirm, ReasonCancel, ReasonReplica, ReasonRepeat, ReasonGone,
		ReasonStatement, ReasonHome, ReasonFailed,
	}
}

// codes maps a reason to the SQLSTATE of a request that did not run.
var codes = map[Reason]string{
	ReasonAuth:      "28P01",
	ReasonInput:     "0A000",
	ReasonDatabase:  "3D000",
	ReasonProfile:   "22023",
	ReasonLeaving:   "57P01",
	ReasonLimit:     "53300",
	ReasonQueue:     "53000",
	ReasonFull:      "53000",
	ReasonBudget:    "53000",
	ReasonDeadline:  "57014",
	ReasonCancel:    "57014",
	ReasonLost:      "UC001",
	ReasonReplica:   "25006",
	ReasonRepeat:    "UC002",
	ReasonGone:      "25P02",
	ReasonStatement: "26000",
}

const (
	codeUnknown     = "08007" // transaction_resolution_unknown
	codeUnreachable = "57P03" // cannot_connect_now
)

// Failure is the error of one request: its outcome, its reason, and the message for its caller.
type Failure struct {
	outcome    Outcome
	reason     Reason
	message    string
	cause      error
	retryAfter time.Duration
}

// NewFailure returns the failure of a request that ended with outcome for reason.
func NewFailure(outcome Outcome, reason Reason, format string, args ...any) *Failure {
	return &Failure{outcome: outcome, reason: reason, message: fmt.Sprintf(format, args...)}
}

// NewNotRun returns the failure of a request that did not run.
func NewNotRun(reason Reason, format string, args ...any) *Failure {
	return NewFailure(NotRun, reason, format, args...)
}

// NewUnknown returns the failure of a request with an unknown outcome.
func NewUnknown(reason Reason, format string, args ...any) *Failure {
	return NewFailure(Unknown, reason, format, args...)
}

// WithCause returns a copy of the failure that wraps the error that caused it.
func (f *Failure) WithCause(cause error) *Failure {
	g := *f
	g.cause = cause
	return &g
}

// WithRetryAfter returns a copy of the failure with the delay after which a retry may be served.
func (f *Failure) WithRetryAfter(delay time.Duration) *Failure {
	g := *f
	g.retryAfter = delay
	return &g
}

// RetryAfter returns the delay after which a retry may be served; 0 when it is not known.
func (f *Failure) RetryAfter() time.Duration { return f.retryAfter }

// Unwrap returns the error that caused the failure; nil when none is known.
func (f *Failure) Unwrap() error { return f.cause }

// Outcome returns whether the request took effect.
func (f *Failure) Outcome() Outcome { return f.outcome }

// Reason returns the one-word cause.
func (f *Failure) Reason() Reason { return f.reason }

// Message returns the text for the caller, without the outcome.
func (f *Failure) Message() string { return f.message }

// Code returns the SQLSTATE of the failure.
func (f *Failure) Code() string {
	if f.outcome == Unknown {
		return codeUnknown
	}
	if code, ok := codes[f.reason]; ok {
		return code
	}
	return codeUnreachable
}

// Error returns the outcome and the message.
func (f *Failure) Error() string { return f.outcome.String() + ": " + f.message }

// Is makes errors.Is match the sentinel of the outcome.
func (f *Failure) Is(target error) bool {
	switch target {
	case ErrNotRun:
		return f.outcome == NotRun
	case ErrUnknown:
		return f.outcome == Unknown
	default:
		return false
	}
}

// AsFailure returns the failure that err wraps. Any other error becomes a failure with an unknown outcome, because the
// request may have run.
func AsFailure(err error) *Failure {
	var failure *Failure
	if errors.As(err, &failure) {
		return failure
	}
	return NewUnknown(ReasonBroken, "%v", err)
}
