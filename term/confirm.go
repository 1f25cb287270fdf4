package term

import "citronusher.example/citronusher"

// Verdict is the result of a confirmation round for the commits that it covers.
type Verdict int

// The verdicts of a round.
const (
	// Pending means that responses are missing.
	Pending Verdict = iota
	// Confirmed means that the term was unchanged at a majority, the primary included, after the commits.
	Confirmed
	// Superseded means that the term cannot be confirmed any more in this round.
	Superseded
)

// Round is a confirmation round: a request to every member, sent after the commits that it covers.
type Round struct {
	term        uint64
	primary     string
	members     int
	same        int
	other       int
	primarySame bool // the primary responded as primary of term
	position    citronusher.Position
	offsets     []uint64
}

// NewRound returns a round that confirms term of primary in a group of members.
func NewRound(term uint64, primary string, members int) *Round {
	return &Round{term: term, primary: primary, members: members}
}

// AddAnswer records a member's response.
func (r *Round) AddAnswer(name string, state citronusher.MemberState) {
	if state.Term() != r.term || (name == r.primary && state.Role() != citronusher.RolePrimary) {
		r.other++
		if name == r.primary {
			r.other = r.members
		}
		return
	}
	r.same++
	r.offsets = append(r.offsets, state.Position().Offset())
	if name == r.primary {
		r.primarySame = true
		r.position = citronusher.NewPosition(r.term, state.Position().Offset())
	}
}

// AddMissing records a member that did not respond.
func (r *Round) AddMissing(name string) {
	r.other++
	if name == r.primary {
		r.other = r.members
	}
}

// Verdict returns the result of the responses so far.
func (r *Round) Verdict() Verdict {
	majority := Majority(r.members)
	switch {
	case r.primarySame && r.same >= majority:
		return Confirmed
	case r.members-r.other < majority:
		return Superseded
	default:
		return Pending
	}
}

// Position returns the end of the primary's log, which lies at or past every commit that the round covers.
func (r *Round) Position() citronusher.Position { return r.position }

// HeldByMajority reports whether a majority of the members holds the log up to position.
func (r *Round) HeldByMajority(position citronusher.Position) bool {
	count := 0
	for _, offset := range r.offsets {
		if offset >= position.Offset() {
			count++
		}
	}
	return count >= Majority(r.members)
}
