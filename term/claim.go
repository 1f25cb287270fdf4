package term

import "citronusher.example/citronusher"

// Election collects the members' answers to a fence order for one term.
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

// NewElection returns a claim of term on a group of members.
func NewElection(term uint64, members int) *Election { return &Election{term: term, members: members} }

// AddFenced records a member that accepted the term, with its log after it did.
func (c *Election) AddFenced(name string, state citronusher.MemberState) {
	c.fenced = append(c.fenced, fencedMember{name: name, position: state.Position()})
}

// AddRefused records a member that did not accept the term or did not answer.
func (c *Election) AddRefused() { c.refused++ }

// Won reports whether a majority accepted the term, so that no older primary can be confirmed again.
func (c *Election) Won() bool { return len(c.fenced) >= Majority(c.members) }

// Complete reports whether every member answered.
func (c *Election) Complete() bool { return len(c.fenced)+c.refused == c.members }

// Candidate returns the member to promote: the one with the latest log among the fenced members that allowed accepts.
// ok is false before the claim is won or when there is none.
func (c *Election) Candidate(allowed func(name string) bool) (name string, ok bool) {
	if !c.Won() {
		return "", false
	}
	var best fencedMember
	for _, m := range c.fenced {
		if allowed(m.name) && (best.name == "" || best.position.Less(m.position)) {
			best = m
		}
	}
	return best.name, best.name != ""
}
