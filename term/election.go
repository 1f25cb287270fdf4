package term

import "citronusher.example/citronusher"

// Election collects the members' responses to fencing under one new term.
type Election struct {
	term    uint64
	members int
	fenced  []fencedMember
	refused int
}

type fencedMember struct {
	name     string
	position citronusher.Position
}

// NewElection returns an election for term in a group of members.
func NewElection(term uint64, members int) *Election { return &Election{term: term, members: members} }

// AddFenced records a member that accepted the term, with its state afterwards.
func (e *Election) AddFenced(name string, state citronusher.MemberState) {
	e.fenced = append(e.fenced, fencedMember{name: name, position: state.Position()})
}

// AddRefused records a member that did not accept the term or did not respond.
func (e *Election) AddRefused() { e.refused++ }

// Won reports whether a majority accepted the term, so that no older primary can be confirmed again.
func (e *Election) Won() bool { return len(e.fenced) >= Majority(e.members) }

// Complete reports whether a response or a failure was recorded for every member.
func (e *Election) Complete() bool { return len(e.fenced)+e.refused == e.members }

// Candidate returns the member to promote: the one with the latest position among the fenced members. Among several with
// that position it is one that preferred accepts, if there is one. ok is false before the election is won.
func (e *Election) Candidate(preferred func(name string) bool) (name string, ok bool) {
	if !e.Won() {
		return "", false
	}
	best := e.fenced[0]
	for _, m := range e.fenced[1:] {
		equal := m.position == best.position
		if best.position.Less(m.position) || (equal && !preferred(best.name) && preferred(m.name)) {
			best = m
		}
	}
	return best.name, true
}
