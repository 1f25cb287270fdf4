package term

import "citronusher.example/citronusher"

// Claim collects the members' answers to a fence order for one term.
type Claim struct {
	term    uint64
	members int
	fenced  []fencedMember
	refused int
}

type fencedMember struct {
	name     string
	position citronusher.Position
}

// NewClaim returns a claim of term on a group of members.
func NewClaim(term uint64, members int) *Claim { return &Claim{term: term, members: members} }

// Fenced records a member that accepted the term, with its log after it did.
func (c *Claim) Fenced(name string, state citronusher.MemberState) {
	c.fenced = append(c.fenced, fencedMember{name: name, position: state.Position()})
}

// Refused records a member that did not accept the term or did not answer.
func (c *Claim) Refused() { c.refused++ }

// Won reports whether a majority accepted the term, so that no older primary can be confirmed again.
func (c *Claim) Won() bool { return len(c.fenced) >= Majority(c.members) }

// Complete reports whether every member answered.
func (c *Claim) Complete() bool { return len(c.fenced)+c.refused == c.members }

// Winner returns the member to promote: the one with the latest log among the fenced members that allowed accepts.
// ok is false before the claim is won or when there is none.
func (c *Claim) Winner(allowed func(name string) bool) (name string, ok bool) {
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
