package prove

import (
	"context"
	"fmt"
	"testing"

	"github.com/jackc/pgx/v5"
)

// readCount reads the number of routes through a session under the stale profile.
func readCount(t *testing.T, c *cluster, entry int, options string) int {
	t.Helper()
	conn := c.mustDial(entry, "-c citronusher.profile=stale "+options)
	var count int
	if err := conn.QueryRow(context.Background(), "SELECT count(*) FROM route").Scan(&count); err != nil {
		t.Fatal(err)
	}
	return count
}

// TestReadYourWrites writes with replicas a minute behind, then reads under a profile that lets replicas serve: in the
// same session, in the session roamed to another entry with its token and without it, and after a promotion.
func TestReadYourWrites(t *testing.T) {
	c := newCluster(t, shape{daemons: 3})
	c.mustExec("CREATE TABLE route (id INTEGER PRIMARY KEY, grade TEXT)")
	c.await("replicas with the table", func() bool {
		return c.exec(1, "-c citronusher.profile=stale", "SELECT * FROM route") == nil
	})
	for i := 1; i < 3; i++ {
		c.fault(i, "lag=60000")
	}
	conn := c.mustDial(0, "-c citronusher.session=editor-1")
	if _, err := conn.Exec(context.Background(), "INSERT INTO route VALUES (1, '6a')"); err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Exec(context.Background(), "SET citronusher.profile = 'stale'"); err != nil {
		t.Fatal(err)
	}
	var own int
	if err := conn.QueryRow(context.Background(), "SELECT count(*) FROM route").Scan(&own); err != nil || own != 1 {
		t.Fatalf("the session's own read: %d rows, %v", own, err)
	}
	token := conn.PgConn().ParameterStatus("citronusher.token")
	if got := readCount(t, c, 1, "-c citronusher.token="+token); got != 1 {
		t.Errorf("roamed with the token %q: %d rows", token, got)
	}
	if got := readCount(t, c, 2, "-c citronusher.session=editor-1"); got != 1 {
		t.Errorf("roamed without the token: %d rows", got)
	}
	// Without a session to keep, the same read comes from a lagging replica: the protection matters here.
	if got := readCount(t, c, 1, ""); got != 0 {
		t.Errorf("control: a new session should see the replica's older state, saw %d rows", got)
	}
}

// TestReadYourWritesAfterPromotion writes with copies, kills the primary and the daemon that served, and reads with the
// token elsewhere.
func TestReadYourWritesAfterPromotion(t *testing.T) {
	c := newCluster(t, shape{daemons: 3})
	c.mustExec("CREATE TABLE route (id INTEGER PRIMARY KEY, grade TEXT)")
	conn := c.mustDial(0, "-c citronusher.session=editor-1 -c citronusher.profile=strong")
	for i := range 10 {
		if _, err := conn.Exec(context.Background(), fmt.Sprintf("INSERT INTO route VALUES (%d, '6a')", i)); err != nil {
			t.Fatal(err)
		}
	}
	token := conn.PgConn().ParameterStatus("citronusher.token")
	c.members[c.primary()].kill(t)
	c.daemons[0].kill(t)
	c.await("a write after the promotion", func() bool { return c.exec(1, "", "INSERT INTO route VALUES (100, 'x')") == nil })
	requireKeys(t, c.mustDial(2, "-c citronusher.profile=stale -c citronusher.token="+token), 10)
}

// requireKeys requires the rows with the keys 0 to count-1, each read by its key. Rows of other sessions may be
// there or not.
func requireKeys(t *testing.T, conn *pgx.Conn, count int) {
	t.Helper()
	for key := range count {
		var grade string
		err := conn.QueryRow(context.Background(), "SELECT grade FROM route WHERE id = $1", key).Scan(&grade)
		if err != nil || grade != "6a" {
			t.Errorf("the session's row %d after the promotion: %q, %v", key, grade, err)
		}
	}
}

// TestLostWriteIsReported writes without copies to a primary that no replica hears, kills it, and expects the session's
// next read to say so instead of hiding it.
func TestLostWriteIsReported(t *testing.T) {
	c := newCluster(t, shape{daemons: 2})
	c.mustExec("CREATE TABLE route (id INTEGER PRIMARY KEY, grade TEXT)")
	c.await("replicas with the table", func() bool {
		return c.exec(1, "-c citronusher.profile=stale", "SELECT * FROM route") == nil
	})
	first := c.primary()
	for i := range c.members {
		if i != first {
			c.fault(i, "lag=60000")
		}
	}
	conn := c.mustDial(0, "")
	if _, err := conn.Exec(context.Background(), "INSERT INTO route VALUES (1, '6a')"); err != nil {
		t.Fatal(err)
	}
	c.members[first].kill(t)
	c.await("a primary after the promotion", func() bool { return c.exec(1, "", "SELECT 1") == nil })
	var count int
	err := conn.QueryRow(context.Background(), "SELECT count(*) FROM route").Scan(&count)
	if outcomeOf(err) != notRun || err == nil {
		t.Fatalf("the read after the loss: %d rows, %v", count, err)
	}
	if code := sqlState(err); code != "UC001" {
		t.Errorf("SQLSTATE %s: %v", code, err)
	}
	if err := conn.QueryRow(context.Background(), "SELECT count(*) FROM route").Scan(&count); err != nil || count != 0 {
		t.Errorf("the read after the report: %d rows, %v", count, err)
	}
}
