package promotion

import (
	"time"

	"citronusher.example/citronusher"
)

const (
	// ClaimTTL is how long a claim prevents other daemons from claiming the group.
	ClaimTTL = 4 * time.Second
	// requestWindow is how long after the read request for the claim was sent the promotion may be requested. It ends
	// before the claim, so that a claim without a mark that has ended shows that nobody requests a promotion under it any
	// more.
	requestWindow = 3 * time.Second
	// firstEra is the number of the era of a store that has not returned from an older copy.
	firstEra = 1
	// registrationTime is how long the list of instances may lack some that hold leases, after the store returned from an
	// older copy that lacks them. Those that reach the store register again sooner.
	registrationTime = 20 * time.Second
	// statusAge is the maximum age of a status that is used together with a claim, when the claim is read.
	statusAge = 1 * time.Second
	// repeatWait is how long after a repeated request its member is not replaced as planned. A member that leaves serves
	// for longer, so that there is time for the promotion that follows.
	repeatWait = 5 * time.Second
)

// ClaimableAt returns the earliest time at which self may replace the claim that was read from the store in era: at once
// when self holds it or it has ended by the store's clock. A claim that was not written in that era, or no claim, does not
// show which claims the store lost before the era. The last of them ends at most ClaimTTL after the era was seen.
func ClaimableAt(
	read citronusher.Claim, era citronusher.StoreEra, self string, now citronusher.Instant,
) citronusher.Instant {
	switch {
	case read.Era != era.Number:
		return max(now, era.SeenAt.Add(ClaimTTL))
	case read.Holder == self:
		return now
	default:
		return now.Add(time.Duration(max(0, read.EndMillis-read.StoreMillis)) * time.Millisecond)
	}
}

// Primary is a group's primary of a term.
type Primary struct {
	// Term is the term.
	Term uint64
	// ID names the member; empty when it is not known.
	ID string
}

// NextClaim returns the claim by which self replaces the one that was read from the store in era, to replace the
// primary, or that of a later term that the replaced claim names.
func NextClaim(read citronusher.Claim, era citronusher.StoreEra, self string, primary Primary) citronusher.Claim {
	next := citronusher.Claim{
		Holder: self, Era: era.Number, Term: max(primary.Term, read.Term), Phase: citronusher.ClaimHeld,
		Repeated: read.Repeated, EndMillis: read.StoreMillis + ClaimTTL.Milliseconds(),
	}
	if Pending(read, primary) {
		next.Phase, next.Candidate = citronusher.ClaimRequested, read.Candidate
	}
	return next
}

// RequestedClaim returns the claim that replaces the holder's own before it requests the candidate's promotion, when the
// read request for the claim was sent that long ago. Nobody else can claim the group for ClaimTTL from then on, so that
// two holders do not take turns.
func RequestedClaim(
	claim citronusher.Claim, candidate citronusher.Candidate, since time.Duration,
) citronusher.Claim {
	pending := claim.Phase == citronusher.ClaimRequested && claim.Candidate.ID == candidate.ID
	claim.Phase, claim.Candidate = citronusher.ClaimRequested, candidate
	claim.EndMillis += since.Milliseconds()
	if pending || claim.Repeated.ID == candidate.ID {
		claim.Repeated = citronusher.RepeatedRequest{
			ID: candidate.ID, Millis: claim.EndMillis - ClaimTTL.Milliseconds(),
		}
	}
	return claim
}

// FreedClaim returns the claim that replaces the holder's own when no promotion may take effect that was requested
// under it or before it.
func FreedClaim(claim citronusher.Claim) citronusher.Claim {
	claim.Phase, claim.Candidate = citronusher.ClaimFree, citronusher.Candidate{}
	return claim
}

// Pending reports whether the claim shows that the promotion of a successor to the primary may take effect, now or at any
// later time. A request has taken effect once its candidate leads a later term; a primary of a later term that is
// another member follows from an earlier request.
func Pending(read citronusher.Claim, primary Primary) bool {
	another := primary.ID != "" && primary.ID != read.Candidate.ID
	return read.Phase == citronusher.ClaimRequested && (read.Term >= primary.Term || another)
}

// PlannedWait returns how long a planned promotion of another member waits when the claim was read. When the promotion of
// the primary was requested more than once, the first effect settles all requests only as long as it leads: carried out
// later, one would replace its successor, which daemons go on using. An unavailable primary is replaced without this wait.
func PlannedWait(read citronusher.Claim, primary Primary) time.Duration {
	if read.Repeated.ID == "" || read.Repeated.ID != primary.ID || Pending(read, primary) {
		return 0
	}
	since := time.Duration(read.StoreMillis-read.Repeated.Millis) * time.Millisecond
	return min(max(0, repeatWait-since), repeatWait)
}

// Unrequested reports whether the claim that was read from the store in era shows that no promotion of a successor to
// the primary may take effect, once the claim was replaced. One that was not written in that era does not, because the
// store may have lost a later one.
func Unrequested(read citronusher.Claim, era citronusher.StoreEra, primary Primary) bool {
	return read.Era == era.Number && !Pending(read, primary)
}

// FreeClaim returns the claim by which self records in era that nobody has replaced the primary of term, in place of
// the one that was read.
func FreeClaim(read citronusher.Claim, era citronusher.StoreEra, self string, term uint64) citronusher.Claim {
	return citronusher.Claim{
		Holder: self, Era: era.Number, Term: max(term, read.Term), Phase: citronusher.ClaimFree, Repeated: read.Repeated,
		EndMillis: read.StoreMillis,
	}
}

// Unclaimed reports whether the claim that was read from the store in era shows that, up to then, nobody could replace the
// primary of term. One that was not written in that era does not, because the store may have lost a later one.
func Unclaimed(read citronusher.Claim, era citronusher.StoreEra, term uint64) bool {
	free := read.Term < term || read.Term == term && read.Phase == citronusher.ClaimFree
	return read.Era == era.Number && free
}

// Superseded reports whether the claim shows that the primary of term has been replaced.
func Superseded(read citronusher.Claim, term uint64) bool { return read.Term > term }

// Settled reports whether each claim that the store lost before era has ended.
func Settled(era citronusher.StoreEra, now citronusher.Instant) bool {
	return now >= era.SeenAt.Add(ClaimTTL)
}

// Ended reports whether a claim that is not pending ended so long before it was read that nobody could request a
// promotion under it any more when the statuses were requested that are used with it.
func Ended(read citronusher.Claim) bool {
	return read.EndMillis+statusAge.Milliseconds() <= read.StoreMillis
}

// ClaimDeadline returns the time until which nobody else can claim the group, when the read request for the claim was sent
// at requestedAt.
func ClaimDeadline(requestedAt citronusher.Instant) citronusher.Instant {
	return requestedAt.Add(ClaimTTL)
}

// RequestDeadline returns the time until which a daemon may request a promotion under a claim, when the read request for the
// claim was sent at requestedAt.
func RequestDeadline(requestedAt citronusher.Instant) citronusher.Instant {
	return requestedAt.Add(requestWindow)
}

// ListComplete reports whether the list of instances that is read from the store in era names every daemon that may hold a
// lease, for the holder of claim.
func ListComplete(claim citronusher.Claim, era citronusher.StoreEra, now citronusher.Instant) bool {
	restored := era.Number > firstEra
	return claim.Era == era.Number && (!restored || now >= era.SeenAt.Add(registrationTime))
}
