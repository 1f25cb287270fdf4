package prove

import (
	"context"
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"citronusher.example/citronusher/group"
	"citronusher.example/citronusher/pg"
)

// primaryFailures are the failures of the primary, by name, that TestLinearizable injects. After each of them the group can
// elect another primary.
var primaryFailures = map[string]func(t *testing.T, c *cluster, primary int){
	"kill": func(t *testing.T, c *cluster, primary int) { c.members[primary].kill(t) },
	"freeze": func(t *testing.T, c *cluster, primary int) {
		c.members[primary].signal(t, syscall.SIGSTOP)
		time.Sleep(4 * time.Second)
		c.members[primary].signal(t, syscall.SIGCONT)
	},
	"cut": func(_ *testing.T, c *cluster, primary int) {
		c.controlMember(primary, "cut=all")
		time.Sleep(4 * time.Second)
		c.controlMember(primary, "cut=")
	},
	"cut from group with one daemon": func(_ *testing.T, c *cluster, primary int) {
		isolate(c, primary, "d1")
		time.Sleep(5 * time.Second)
		removePartitions(c)
	},
	"freeze of a home": func(t *testing.T, c *cluster, primary int) {
		c.daemons[0].signal(t, syscall.SIGSTOP)
		c.members[primary].kill(t)
		time.Sleep(4 * time.Second)
		c.daemons[0].signal(t, syscall.SIGCONT)
	},
	"freeze of a promoting home": func(t *testing.T, c *cluster, primary int) {
		promoter := c.daemons[c.firstHome()]
		c.members[primary].kill(t)
		time.Sleep(450 * time.Millisecond) // the first home fences 400 ms after connections are refused
		promoter.signal(t, syscall.SIGSTOP)
		time.Sleep(4 * time.Second)
		promoter.signal(t, syscall.SIGCONT)
	},
	"kill with a frozen replica": func(t *testing.T, c *cluster, primary int) {
		replica := c.members[(primary+1)%len(c.members)]
		replica.signal(t, syscall.SIGSTOP)
		c.members[primary].kill(t)
		time.Sleep(3 * time.Second)
		replica.signal(t, syscall.SIGCONT)
	},
	"platform outage and kill": func(t *testing.T, c *cluster, primary int) {
		get(c.platformURL("outage=1"))
		c.members[primary].kill(t)
		time.Sleep(3 * time.Second)
		get(c.platformURL("outage=0"))
	},
}

// isolate partitions the network: the primary and one daemon on one side, the other members and daemons on the other.
func isolate(c *cluster, primary int, daemon string) {
	others := []string{"group"}
	for i := range c.daemons {
		if name := daemonName(i); name != daemon {
			others = append(others, name)
		}
	}
	c.controlMember(primary, "cut="+strings.Join(others, ","))
	for i := range c.members {
		if i != primary {
			c.controlMember(i, "cut="+daemon)
		}
	}
}

// removePartitions reconnects all members.
func removePartitions(c *cluster) {
	for i := range c.members {
		c.controlMember(i, "cut=")
	}
}

// TestLinearizable guards against lost writes and stale reads after a failure of the primary: callers read and write with
// majority acknowledgement through every entry, the primary fails, and the recorded history must be linearizable.
func TestLinearizable(t *testing.T) {
	for name, fail := range primaryFailures {
		t.Run(strings.ReplaceAll(name, " ", "-"), func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, clusterOptions{daemons: 3, homes: 3})
			run := startCallers(c, 6, []int{0, 1, 2}, "strong")
			run.waitForProgress(100)
			first := c.primary()
			fail(t, c, first)
			c.waitFor("another primary", func() bool { p := c.primary(); return p >= 0 && p != first })
			run.waitForProgress(100)
			run.stopAndWait()
			if !run.history.check(t) {
				t.Error("the history is not linearizable")
			}
		})
	}
}

// TestLateFence guards against a group that goes on with a member less, or without a primary: a member is frozen, receives
// a fence that its sender gives up, and performs it when it goes on. All members must return to one term, and reads and
// writes must stay right.
func TestLateFence(t *testing.T) {
	for name, offset := range map[string]int{"primary": 0, "replica": 1} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, clusterOptions{daemons: 3, homes: 3})
			run := startCallers(c, 6, []int{0, 1, 2}, "strong")
			run.waitForProgress(50)
			c.performLate((c.primary()+offset)%len(c.members), "SELECT group_fence(40, 'late')")
			c.waitFor("one term above the late one", func() bool { return c.commonTerm() > 40 })
			run.waitForProgress(50)
			run.stopAndWait()
			if !run.history.check(t) {
				t.Error("the history is not linearizable")
			}
		})
	}
}

// control returns a control connection to member i.
func (c *cluster) control(i int) *group.Target {
	return group.New(pg.NewLogin("u", "p", "late", nil), c.members[i].spec.Member.Address, database, clock{})
}

// performLate freezes member i, sends it a statement, gives up and lets it go on.
func (c *cluster) performLate(i int, sql string) {
	ctx, cancel := context.WithTimeout(c.t.Context(), waitTimeout)
	defer cancel()
	conn, err := pg.NewLogin("u", "p", "late", nil).Connect(ctx, c.members[i].spec.Member.Address, database)
	if err != nil {
		c.t.Fatal(err)
	}
	raw, err := (&pgproto3.Query{String: sql}).Encode(nil)
	if err != nil {
		c.t.Fatal(err)
	}
	c.members[i].signal(c.t, syscall.SIGSTOP)
	if _, err := conn.Conn().Write(raw); err != nil {
		c.t.Fatal(err)
	}
	_ = conn.Conn().Close()
	c.members[i].signal(c.t, syscall.SIGCONT)
}

// commonTerm returns the term that all members report, or 0 when they differ or one does not answer.
func (c *cluster) commonTerm() uint64 {
	ctx, cancel := context.WithTimeout(c.t.Context(), time.Second)
	defer cancel()
	common := uint64(0)
	for i := range c.members {
		control := c.control(i)
		state, err := control.State(ctx)
		_ = control.Close()
		if err != nil || (i > 0 && state.Term() != common) {
			return 0
		}
		common = state.Term()
	}
	return common
}

// clock is the system's clock.
type clock struct{}

func (clock) Now() time.Time { return time.Now() }

// supersededWrites isolates the primary together with one daemon, waits until the other side has a new primary, and writes
// through the isolated daemon. It returns the number of these writes that were acknowledged and the number of the
// acknowledged writes that are missing after the partition has ended.
func supersededWrites(t *testing.T, mutant string) (acknowledged, missing int) {
	t.Helper()
	c := newCluster(t, clusterOptions{daemons: 3, homes: 3, mutant: mutant})
	c.mustExec("CREATE TABLE signature (id INTEGER PRIMARY KEY)")
	isolate(c, c.primary(), "d1")
	c.waitFor("a new primary on the other side", func() bool {
		return c.exec(1, "", "INSERT INTO signature VALUES (1000)") == nil
	})
	var acknowledgedIDs []int
	for i := range 20 {
		if c.exec(0, "", fmt.Sprintf("INSERT INTO signature VALUES (%d)", i)) == nil {
			acknowledgedIDs = append(acknowledgedIDs, i)
		}
	}
	removePartitions(c)
	c.waitFor("the isolated daemon", func() bool { return c.exec(0, "", "SELECT 1") == nil })
	for _, i := range acknowledgedIDs {
		// The primary key rejects a duplicate of a write that was kept.
		if c.exec(1, "", fmt.Sprintf("INSERT INTO signature VALUES (%d)", i)) == nil {
			missing++
		}
	}
	return len(acknowledgedIDs), missing
}

// TestSupersededPrimary guards against acknowledged writes of a superseded primary. As a control, writes must be missing
// when the daemons run without confirmation.
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
			t.Error("no acknowledged write is missing without confirmation: the test cannot detect the fault")
		}
	})
}
