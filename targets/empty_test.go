package targets

import (
	"testing"
	"testing/synctest"
	"time"

	"citronusher.example/citronusher"
)

// TestEmptyCandidateIsNotPromoted guards against the loss of acknowledged commits: the member whose promotion was requested
// without an answer has started again without its log.
func TestEmptyCandidateIsNotPromoted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakePlatform()
		loseAnswer(t, p)
		time.Sleep(time.Minute)
		p.members["b"].status = citronusher.MemberStatus{Role: citronusher.RoleReplica, Term: 1}
		p.setPrimaryDown(true)
		g := p.newDaemon(t, "d2")
		g.primary, g.highestTerm = "a", 1 // it has used a before
		reason := promoteFor(g)
		requests := p.requests()
		if last := requests[len(requests)-1]; len(requests) > 1 && last.member == "b" {
			t.Errorf("b is promoted without a log, although c has received %s: %q", p.members["c"].status.Position, reason)
		}
	})
}
