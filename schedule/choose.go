package schedule

import (
	"citronusher.example/citronusher"
)

// Requirement is what a request asks of a member.
type Requirement struct {
	// Primary is set when only the primary can serve.
	Primary bool
	// MinPosition is the position that a replica's log must hold.
	MinPosition citronusher.Position
	// PositionKnown is false when it is not known which position a replica must hold; the primary then serves.
	PositionKnown bool
	// Pinned is set for a transaction, which keeps its connection between statements.
	Pinned bool
}

// Candidate is a member as the choice sees it.
type Candidate struct {
	// Name names the member.
	Name string
	// Primary is set for the primary, while the daemon has the right to use it.
	Primary bool
	// Usable is false for a member that leaves, does not answer or is not known well enough.
	Usable bool
	// Behind is set while the member lacks the position that the request needs, as far as is known.
	Behind bool
	// SameDomain is set for a member in the daemon's failure domain.
	SameDomain bool
	// ConnectionsInUse is how many connections requests of this daemon hold.
	ConnectionsInUse int
	// Running is how many statements of this daemon the member runs.
	Running int
	// Active is how many statements of this daemon the member runs or is about to get, idle transactions left out.
	Active int
	// Window is how many statements of this daemon the member may have; 0 while it gets none.
	Window int
	// MaxConnections is how many connections the daemon may hold.
	MaxConnections int
	// Slots is how many statements the member runs at once.
	Slots int
}

// free reports whether a request can start. One connection is kept for single statements when there are
// several, so that transactions do not hold them all.
func (c Candidate) free(need Requirement) bool {
	limit := c.MaxConnections
	if need.Pinned && limit > 1 {
		limit--
	}
	return c.ConnectionsInUse < limit && c.Active < c.Window
}

// HasCapacity reports whether the candidate can take another request of some kind.
func (c Candidate) HasCapacity() bool { return c.Usable && c.free(Requirement{}) }

// Choose returns the candidate that serves the request now. Reads that replicas may serve leave the primary to the
// requests that need it, unless it is idle or no replica can serve at all.
func Choose(candidates []Candidate, need Requirement, t *Ticket) (Candidate, bool) {
	if need.Primary || !need.PositionKnown {
		return choosePrimary(candidates, need)
	}
	best, found, possible := Candidate{}, false, false
	for _, avoided := range []bool{false, true} {
		for _, c := range candidates {
			if c.Primary || !c.Usable || c.Behind || t.Avoids(c.Name) != avoided {
				continue
			}
			possible = possible || !avoided
			if c.free(need) && (!found || c.less(best)) {
				best, found = c, true
			}
		}
		if found || possible {
			break
		}
		if primary, ok := choosePrimary(candidates, need); ok {
			return primary, true
		}
	}
	if found {
		return best, true
	}
	if primary, ok := choosePrimary(candidates, need); ok && (!possible || primary.Running == 0) {
		return primary, true
	}
	return Candidate{}, false
}

// Servable reports whether any candidate could serve the request if it were not busy.
func Servable(candidates []Candidate, need Requirement) bool {
	for _, c := range candidates {
		if c.Usable && (c.Primary || !need.Primary && need.PositionKnown && !c.Behind) {
			return true
		}
	}
	return false
}

func choosePrimary(candidates []Candidate, need Requirement) (Candidate, bool) {
	for _, c := range candidates {
		if c.Primary && c.Usable && c.free(need) {
			return c, true
		}
	}
	return Candidate{}, false
}

// less orders candidates by running statements over slots, then by nearness.
func (c Candidate) less(o Candidate) bool {
	left, right := c.Running*max(1, o.Slots), o.Running*max(1, c.Slots)
	if left != right {
		return left < right
	}
	return c.SameDomain && !o.SameDomain
}
