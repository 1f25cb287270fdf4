package schedule

import (
	"citronusher.example/citronusher"
)

// Requirement is what a request requires of a member.
type Requirement struct {
	// Primary is set when only the primary can serve the request.
	Primary bool
	// MinPosition is the position that a replica's log must have reached.
	MinPosition citronusher.Position
	// PositionKnown is false when the position that a replica must have is not known; only the primary can then serve.
	PositionKnown bool
	// Pinned is set for a transaction, which holds its connection between statements.
	Pinned bool
}

// PrimaryOnly reports whether only the primary can serve the request.
func (r Requirement) PrimaryOnly() bool { return r.Primary || !r.PositionKnown }

// Candidate describes a member that a request may be sent to.
type Candidate struct {
	// Name names the member.
	Name string
	// Primary is set for the primary while the daemon has a valid lease on it.
	Primary bool
	// Usable is false for a member that is leaving, does not respond or has not reported enough of its state.
	Usable bool
	// Behind is set while the last known position of the member is before the one that the request requires.
	Behind bool
	// SameDomain is set for a member in the daemon's failure domain.
	SameDomain bool
	// ConnectionsInUse is the number of connections that requests of this daemon hold, and Pinned the number of those that
	// transactions hold.
	ConnectionsInUse, Pinned int
	// Running is the number of this daemon's statements that the member runs.
	Running int
	// Active is the number of this daemon's statements that the member runs or is about to receive. Idle transactions do not
	// count.
	Active int
	// Window is the maximum of Active; 0 while no statement may be sent to the member.
	Window int
	// MaxConnections is the maximum number of connections that the daemon may hold to the member.
	MaxConnections int
	// Slots is the number of statements that the member runs at once.
	Slots int
}

// accepts reports whether the member has capacity for a request. If the daemon may hold several connections, transactions
// hold at most all but one of them, so that single statements always have one. Statements do not keep a transaction from
// the connections that it may hold: each ends soon and leaves its connection to the request that is first in the queue.
func (c Candidate) accepts(req Requirement) bool {
	if req.Pinned && c.MaxConnections > 1 && c.Pinned >= c.MaxConnections-1 {
		return false
	}
	return c.ConnectionsInUse < c.MaxConnections && c.Active < c.Window
}

// HasCapacity reports whether the member is usable and has capacity for a single statement.
func (c Candidate) HasCapacity() bool { return c.Usable && c.accepts(Requirement{}) }

// Choose returns the member that can serve the request now. Reads that replicas may serve leave the primary to the
// requests that require it, unless it is idle or no replica can serve them. A member that has failed the request is used
// only when no other one can serve.
func Choose(candidates []Candidate, req Requirement, t *Ticket) (Candidate, bool) {
	if req.PrimaryOnly() {
		return choosePrimary(candidates, req)
	}
	best, found, servable := Candidate{}, false, false
	for _, avoided := range []bool{false, true} {
		for _, c := range candidates {
			if c.Primary || !c.Usable || c.Behind || t.Avoids(c.Name) != avoided {
				continue
			}
			servable = servable || !avoided
			if c.accepts(req) && (!found || c.less(best)) {
				best, found = c, true
			}
		}
		if found || servable {
			break
		}
		if primary, ok := choosePrimary(candidates, req); ok {
			return primary, true
		}
	}
	if found {
		return best, true
	}
	if primary, ok := choosePrimary(candidates, req); ok && (!servable || primary.Running == 0) {
		return primary, true
	}
	return Candidate{}, false
}

// Servable reports whether any member could serve the request if it had capacity.
func Servable(candidates []Candidate, req Requirement) bool {
	for _, c := range candidates {
		if c.Usable && (c.Primary || !req.PrimaryOnly() && !c.Behind) {
			return true
		}
	}
	return false
}

func choosePrimary(candidates []Candidate, req Requirement) (Candidate, bool) {
	for _, c := range candidates {
		if c.Primary && c.Usable && c.accepts(req) {
			return c, true
		}
	}
	return Candidate{}, false
}

// less orders members by running statements per slot, then those in the daemon's failure domain first.
func (c Candidate) less(o Candidate) bool {
	left, right := c.Running*max(1, o.Slots), o.Running*max(1, c.Slots)
	if left != right {
		return left < right
	}
	return c.SameDomain && !o.SameDomain
}
