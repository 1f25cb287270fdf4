package prove

import (
	"errors"
	"fmt"
	"strings"
	"syscall"
	"testing"

	"golang.org/x/sync/errgroup"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/profile"
)

// TestAcceptedConfigurationStays makes edits under platform faults, restarts and races, and watches that no daemon ever
// goes back.
func TestAcceptedConfigurationStays(t *testing.T) {
	t.Parallel()
	c := newCluster(t, shape{daemons: 4})

	// Accepted right before an outage, a daemon restarted during it.
	c.edit(0, profile.PartProfile, "shop", `{"replica": true, "age": "30s"}`)
	get(c.platformURL("outage=1"))
	c.daemons[3].stop(t)
	c.daemons[3].start(t)
	c.awaitReady(3)
	for i := range c.daemons {
		if i == 3 && c.documentVersion(i) < c.version {
			t.Errorf("the restarted daemon is ready with version %d of %d", c.documentVersion(i), c.version)
		}
		c.await("the version during the outage", func() bool { return c.documentVersion(i) == c.version })
	}
	if err := c.tryEdit(1, profile.PartProfile, "shop", `{}`, c.version); err == nil {
		t.Error("an edit was accepted while the platform was down")
	}
	get(c.platformURL("outage=0"))

	// Two operators at once, each through another daemon.
	var group errgroup.Group
	results := make([]error, 2)
	for i := range results {
		group.Go(func() error {
			results[i] = c.tryEdit(i, profile.PartProfile, "shop", fmt.Sprintf(`{"replica": true, "age": "%ds"}`, 10+i), c.version)
			return nil
		})
	}
	_ = group.Wait()
	c.version++
	if (results[0] == nil) == (results[1] == nil) {
		t.Errorf("two edits of one version: %v and %v", results[0], results[1])
	}
	lost := errors.Join(results...)
	if !errors.Is(lost, citronusher.ErrConflict) || !strings.Contains(lost.Error(), "yours:") {
		t.Errorf("the conflict: %v", lost)
	}

	// An answer that is lost after the write took effect.
	get(c.platformURL("lose=1&loserow=1"))
	c.edit(2, profile.PartProfile, "shop", `{"replica": true, "age": "5s"}`)
	for i := range c.daemons {
		c.await("the last version", func() bool { return c.documentVersion(i) == c.version })
	}
}

// TestVersionNeverGoesBack freezes a daemon over several edits and watches the versions of all after it comes back.
func TestVersionNeverGoesBack(t *testing.T) {
	t.Parallel()
	c := newCluster(t, shape{daemons: 3})
	c.daemons[2].signal(t, syscall.SIGSTOP)
	for i := range 3 {
		c.edit(0, profile.PartProfile, "shop", fmt.Sprintf(`{"replica": true, "age": "%ds"}`, 10+i))
	}
	c.daemons[2].signal(t, syscall.SIGCONT)
	highest := make([]uint64, len(c.daemons))
	c.await("the last version everywhere", func() bool {
		same := true
		for i := range c.daemons {
			version := c.documentVersion(i)
			if version < highest[i] && version != 0 {
				t.Errorf("%s went back from %d to %d", daemonName(i), highest[i], version)
			}
			highest[i] = max(highest[i], version)
			same = same && version == c.version
		}
		return same
	})
}
