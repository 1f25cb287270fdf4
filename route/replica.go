package route

import (
	"math/rand/v2"
	"time"

	"citronusher.example/citronusher"
)

// Candidate is a group member as a home sees it.
type Candidate struct {
	// Name is the member's name.
	Name string
	// State is the member's last answer.
	State citronusher.MemberState
	// Load is the number of statements that the home runs there, over the member's slots.
	Load float64
	// Leaving members take no new work.
	Leaving bool
	// Reachable is false after a failed probe or connection.
	Reachable bool
}

// Requirement says what a read asks of a replica.
type Requirement struct {
	// MinPosition is the position that the replica must have reached.
	MinPosition citronusher.Position
	// Term is the group's current term.
	Term uint64
	// FreshSince is the time up to which the replica's data must be complete.
	FreshSince time.Time
}

// Eligible reports whether the candidate may serve a read with this need: it is a replica of the current term, at or
// past the session's position, and fresh enough.
func (n Requirement) Eligible(c Candidate) bool {
	if c.Leaving || !c.Reachable || c.State.Role() != citronusher.RoleReplica {
		return false
	}
	if c.State.Term() != n.Term || n.MinPosition.Term() > n.Term {
		return false
	}
	if c.State.Position().Offset() < n.MinPosition.Offset() {
		return false
	}
	return !c.State.FreshAt().Before(n.FreshSince)
}

// ChooseReplica picks the replica for a read. Short reads take the less loaded of two random choices; long reads take the
// last eligible replica in order, so that they gather on one member. ok is false when no replica is eligible.
func ChooseReplica(candidates []Candidate, need Requirement, long bool, random *rand.Rand) (chosen Candidate, ok bool) {
	var eligible []Candidate
	for _, c := range candidates {
		if need.Eligible(c) {
			eligible = append(eligible, c)
		}
	}
	if len(eligible) == 0 {
		return Candidate{}, false
	}
	if long {
		return eligible[len(eligible)-1], true
	}
	first := eligible[random.IntN(len(eligible))]
	second := eligible[random.IntN(len(eligible))]
	if second.Load < first.Load {
		return second, true
	}
	return first, true
}
