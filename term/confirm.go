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
	logEnd      citronusher.Position   // of the primary: term and offset of its last record
	logs        []citronusher.Position // ends of the logs of the members at the term
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
	r.logs = append(r.logs, state.Position())
	if name == r.primary {
		r.primarySame = true
		r.position = citronusher.NewPosition(r.term, state.Position().Offset())
		r.logEnd = state.Position()
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

// LogEnd returns the term and the offset of the last record of the primary's log.
func (r *Round) LogEnd() citronusher.Position { return r.logEnd }

// HeldByMajority reports whether a majority of the members holds the primary's log up to end, a LogEnd of this round or an
// earlier one of the same term. A log counts only if its last record is of the primary's term or of the same term as end:
// another one may have records that the primary lacks in place of the primary's.
func (r *Round) HeldByMajority(end citronusher.Position) bool {
	count := 0
	for _, log := range r.logs {
		sameLog := log.Term() == r.term || log.Term() == end.Term()
		if sameLog && log.Offset() >= end.Offset() {
			count++
		}
	}
	return count >= Majority(r.members)
}
