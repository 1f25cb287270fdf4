package term

import "citronusher.example/citronusher"

// Verdict is what a confirmation round says of the commits that it serves.
type Verdict int

// The verdicts of a round.
const (
	// Pending means that answers are missing.
	Pending Verdict = iota
	// Confirmed means that the term was unchanged at a majority, the primary included, after the commits.
	Confirmed
	// Superseded means that the term cannot be confirmed any more in this round.
	Superseded
)

// Round is one question to every member, asked after the commits that it serves.
type Round struct {
	term     uint64
	primary  string
	members  int
	same     int
	other    int
	heard    bool // the primary answered as primary of term
	position citronusher.Position
	offsets  []uint64
}

// NewRound returns a round that confirms term of primary in a group of members.
func NewRound(term uint64, primary string, members int) *Round {
	return &Round{term: term, primary: primary, members: members}
}

// AddAnswer records a member's answer.
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
		r.heard = true
		r.position = citronusher.NewPosition(r.term, state.Position().Offset())
	}
}

// AddMissing records a member that did not answer.
func (r *Round) AddMissing(name string) {
	r.other++
	if name == r.primary {
		r.other = r.members
	}
}

// Verdict returns what the answers so far prove.
func (r *Round) Verdict() Verdict {
	majority := Majority(r.members)
	switch {
	case r.heard && r.same >= majority:
		return Confirmed
	case r.members-r.other < majority:
		return Superseded
	default:
		return Pending
	}
}

// Position returns the end of the primary's log, which lies at or past every commit that the round serves.
func (r *Round) Position() citronusher.Position { return r.position }

// HeldByMajority reports whether a majority of the members holds the log up to position.
func (r *Round) HeldByMajority(position citronusher.Position) bool {
	holders := 0
	for _, offset := range r.offsets {
		if offset >= position.Offset() {
			holders++
		}
	}
	return holders >= Majority(r.members)
}
