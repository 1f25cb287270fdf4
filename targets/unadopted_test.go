package targets

import (
	"testing"
	"testing/synctest"
	"time"

	"citronusher.example/citronusher"
)

// TestUnadoptedPrimaryIsReplaced guards against a group without a primary: one that a daemon has heard of, but has not
// adopted, ends. The daemon takes the former one for the primary that is replaced.
func TestUnadoptedPrimaryIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakePlatform()
		g := p.newDaemon(t, "d1")
		g.discover()
		p.claim = earlierClaim(1, citronusher.ClaimRequested)
		if err := p.lead("b"); err != nil {
			t.Fatal(err)
		}
		p.members["b"].down = true
		g.queryAll(requestStatus) // c reports term 2
		time.Sleep(time.Minute)
		if reason := promoteFor(g); reason != "" {
			t.Errorf("abandoned: %s", reason)
		}
	})
}
