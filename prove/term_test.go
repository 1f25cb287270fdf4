package prove

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"
)

// failures lists what befalls the primary while callers read and write registers with copies. Each leaves the group
// able to go on.
var failures = map[string]func(t *testing.T, c *cluster, primary int){
	"kill": func(t *testing.T, c *cluster, primary int) { c.members[primary].kill(t) },
	"freeze": func(t *testing.T, c *cluster, primary int) {
		c.members[primary].signal(t, syscall.SIGSTOP)
		time.Sleep(4 * time.Second)
		c.members[primary].signal(t, syscall.SIGCONT)
	},
	"cut": func(_ *testing.T, c *cluster, primary int) {
		c.fault(primary, "cut=all")
		time.Sleep(4 * time.Second)
		c.fault(primary, "cut=")
	},
	"cut from group with one daemon": func(_ *testing.T, c *cluster, primary int) {
		isolate(c, primary, "d1")
		time.Sleep(5 * time.Second)
		heal(c)
	},
	"freeze of a home": func(t *testing.T, c *cluster, primary int) {
		c.daemons[0].signal(t, syscall.SIGSTOP)
		c.members[primary].kill(t)
		time.Sleep(4 * time.Second)
		c.daemons[0].signal(t, syscall.SIGCONT)
	},
	"platform outage and kill": func(t *testing.T, c *cluster, primary int) {
		get(c.platformURL("outage=1"))
		c.members[primary].kill(t)
		time.Sleep(3 * time.Second)
		get(c.platformURL("outage=0"))
	},
}

// isolate leaves the primary and one daemon on one side, everything else on the other.
func isolate(c *cluster, primary int, daemon string) {
	others := []string{"group"}
	for i := range c.daemons {
		if name := daemonName(i); name != daemon {
			others = append(others, name)
		}
	}
	c.fault(primary, "cut="+strings.Join(others, ","))
	for i := range c.members {
		if i != primary {
			c.fault(i, "cut="+daemon)
		}
	}
}

func heal(c *cluster) {
	for i := range c.members {
		c.fault(i, "cut=")
	}
}

// TestLinearizable runs readers and writers through every entry while the primary fails, and checks the history.
func TestLinearizable(t *testing.T) {
	for name, fail := range failures {
		t.Run(strings.ReplaceAll(name, " ", "-"), func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, shape{daemons: 3, homes: 3})
			run := startCallers(c, 6, []int{0, 1, 2}, "strong")
			run.awaitProgress(100)
			first := c.primary()
			fail(t, c, first)
			c.await("another primary", func() bool { p := c.primary(); return p >= 0 && p != first })
			run.awaitProgress(100)
			run.finish()
			if !run.history.check(t) {
				t.Error("the history is not linearizable")
			}
		})
	}
}

// supersededWrites cuts the primary off with one daemon on its side, waits until the other side has a new primary, and
// writes through the isolated daemon. It returns how many of these writes were acknowledged and are missing afterwards.
func supersededWrites(t *testing.T, mutant string) (acknowledged, missing int) {
	t.Helper()
	c := newCluster(t, shape{daemons: 3, homes: 3, mutant: mutant})
	c.mustExec("CREATE TABLE signature (id INTEGER PRIMARY KEY)")
	isolate(c, c.primary(), "d1")
	c.await("a new primary on the other side", func() bool {
		return c.exec(1, "", "INSERT INTO signature VALUES (1000)") == nil
	})
	var acked []int
	for i := range 20 {
		if c.exec(0, "", fmt.Sprintf("INSERT INTO signature VALUES (%d)", i)) == nil {
			acked = append(acked, i)
		}
	}
	heal(c)
	c.await("the isolated daemon", func() bool { return c.exec(0, "", "SELECT 1") == nil })
	for _, i := range acked {
		// A write that was kept is refused as a duplicate.
		if c.exec(1, "", fmt.Sprintf("INSERT INTO signature VALUES (%d)", i)) == nil {
			missing++
		}
	}
	return len(acked), missing
}

// TestSupersededPrimary expects no acknowledged write to be missing, and shows that writes go missing without the
// confirmation.
func TestSupersededPrimary(t *testing.T) {
	t.Run("confirmed", func(t *testing.T) {
		t.Parallel()
		acknowledged, missing := supersededWrites(t, "")
		t.Logf("%d acknowledged, %d missing", acknowledged, missing)
		if missing != 0 {
			t.Errorf("%d of %d acknowledged writes are missing", missing, acknowledged)
		}
	})
	t.Run("unconfirmed", func(t *testing.T) {
		t.Parallel()
		acknowledged, missing := supersededWrites(t, mutantUnconfirmed)
		t.Logf("%d acknowledged, %d missing", acknowledged, missing)
		if missing == 0 {
			t.Error("the proof does not notice daemons without confirmation")
		}
	})
}
