package route

import (
	"math/rand/v2"
	"time"

	"citronusher.example/citronusher"
)

// Candidate is a group member as last observed by a home.
type Candidate struct {
	// Name is the member's name.
	Name string
	// State is the member's last response.
	State citronusher.MemberState
	// Load is the number of statements that the home runs at the member, divided by the member's slots.
	Load float64
	// Leaving is set for a member that accepts no new work.
	Leaving bool
	// Reachable is false after a failed probe or connection.
	Reachable bool
	// Diverged is set for a member whose log holds records that a promotion discarded. Its position says nothing about the
	// records of the current primary.
	Diverged bool
}

// Requirement describes what a read requires of a replica.
type Requirement struct {
	// MinPosition is the position that the replica must have reached.
	MinPosition citronusher.Position
	// Term is the group's current term.
	Term uint64
	// FreshSince is the time up to which the replica's data must be complete.
	FreshSince time.Time
}

// Eligible reports whether the candidate meets the requirement: it is a reachable replica of the current term that is not
// leaving, whose log is part of the primary's, has reached the minimum position, and is fresh enough.
func (r Requirement) Eligible(c Candidate) bool {
	if c.Leaving || !c.Reachable || c.Diverged || c.State.Role() != citronusher.RoleReplica {
		return false
	}
	if c.State.Term() != r.Term || r.MinPosition.Term() > r.Term {
		return false
	}
	if c.State.Position().Offset() < r.MinPosition.Offset() {
		return false
	}
	return !c.State.FreshAt().Before(r.FreshSince)
}

// ChooseReplica returns the replica for a read. Short reads use the less loaded of two random replicas. Long reads use the
// last eligible replica, so that all of them run at one member. ok is false when no replica is eligible.
func ChooseReplica(candidates []Candidate, req Requirement, long bool, random *rand.Rand) (chosen Candidate, ok bool) {
	var eligible []Candidate
	for _, c := range candidates {
		if req.Eligible(c) {
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
