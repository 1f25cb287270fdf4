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

// TestAcceptedConfigurationStays guards against the loss of an accepted edit: by a platform outage and a restart right
// after the edit, by two concurrent edits of one version, and by a lost answer to a write that took effect.
func TestAcceptedConfigurationStays(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterOptions{daemons: 4})

	// An edit is accepted right before a platform outage, and a daemon restarts during the outage.
	c.edit(0, profile.PartProfile, "shop", `{"replica": true, "age": "30s"}`)
	get(c.platformURL("outage=1"))
	c.daemons[3].stop(t)
	c.daemons[3].start(t)
	c.waitForReady(3)
	for i := range c.daemons {
		if i == 3 && c.documentVersion(i) < c.version {
			t.Errorf("the restarted daemon reports ready at version %d, want %d", c.documentVersion(i), c.version)
		}
		c.waitFor("the accepted version during the outage", func() bool { return c.documentVersion(i) == c.version })
	}
	if err := c.tryEdit(1, profile.PartProfile, "shop", `{}`, c.version); err == nil {
		t.Error("an edit was accepted during the platform outage")
	}
	get(c.platformURL("outage=0"))

	// Two operators edit the same version concurrently, each through a different daemon: exactly one edit is accepted.
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
		t.Errorf("concurrent edits of one version returned %v and %v, want exactly one error", results[0], results[1])
	}
	rejected := errors.Join(results...)
	if !errors.Is(rejected, citronusher.ErrConflict) || !strings.Contains(rejected.Error(), "yours:") {
		t.Errorf("error of the rejected edit: %v, want ErrConflict that shows the edit", rejected)
	}

	// The platform applies a write and its answer is lost.
	get(c.platformURL("lose=1&loserow=1"))
	c.edit(2, profile.PartProfile, "shop", `{"replica": true, "age": "5s"}`)
	for i := range c.daemons {
		c.waitFor("the latest version", func() bool { return c.documentVersion(i) == c.version })
	}
}

// TestVersionNeverGoesBack guards against a daemon that returns to an older version of the settings: one daemon is frozen
// during several edits, and the versions of all daemons are observed after it resumes.
func TestVersionNeverGoesBack(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterOptions{daemons: 3})
	c.daemons[2].signal(t, syscall.SIGSTOP)
	for i := range 3 {
		c.edit(0, profile.PartProfile, "shop", fmt.Sprintf(`{"replica": true, "age": "%ds"}`, 10+i))
	}
	c.daemons[2].signal(t, syscall.SIGCONT)
	highest := make([]uint64, len(c.daemons))
	c.waitFor("the latest version at every daemon", func() bool {
		current := true
		for i := range c.daemons {
			version := c.documentVersion(i)
			if version < highest[i] && version != 0 {
				t.Errorf("%s went back from version %d to %d", daemonName(i), highest[i], version)
			}
			highest[i] = max(highest[i], version)
			current = current && version == c.version
		}
		return current
	})
}
