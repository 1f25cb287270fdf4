package prove

import (
	"context"
	"fmt"
	"testing"

	"github.com/jackc/pgx/v5"
)

// readCount returns the number of rows of the table route, read in a new session under the profile stale.
func readCount(t *testing.T, c *cluster, entry int, options string) int {
	t.Helper()
	conn := c.mustDial(entry, "-c citronusher.profile=stale "+options)
	var count int
	if err := conn.QueryRow(context.Background(), "SELECT count(*) FROM route").Scan(&count); err != nil {
		t.Fatal(err)
	}
	return count
}

// TestReadYourWrites guards against a session that misses its own write. Replicas lag by a minute, and the session reads
// under a profile that allows replicas: on the same connection, and at other entries with its token or with its name.
func TestReadYourWrites(t *testing.T) {
	c := newCluster(t, clusterOptions{daemons: 3})
	c.mustExec("CREATE TABLE route (id INTEGER PRIMARY KEY, grade TEXT)")
	c.waitFor("replicas with the table", func() bool {
		return c.exec(1, "-c citronusher.profile=stale", "SELECT * FROM route") == nil
	})
	for i := 1; i < 3; i++ {
		c.controlMember(i, "lag=60000")
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
		t.Fatalf("read in the same session: %d rows, %v, want 1 row", own, err)
	}
	token := conn.PgConn().ParameterStatus("citronusher.token")
	if got := readCount(t, c, 1, "-c citronusher.token="+token); got != 1 {
		t.Errorf("read at another entry with the token %q: %d rows, want 1", token, got)
	}
	if got := readCount(t, c, 2, "-c citronusher.session=editor-1"); got != 1 {
		t.Errorf("read at another entry without the token: %d rows, want 1", got)
	}
	// Control: a read in a new session comes from a lagging replica, so the reads above depend on the session's position.
	if got := readCount(t, c, 1, ""); got != 0 {
		t.Errorf("control: a new session read %d rows, want the lagging replica's 0", got)
	}
}

// TestReadYourWritesAfterPromotion guards against a promotion that loses a session's majority-acknowledged writes: it kills
// the primary and the session's entry, and reads at another entry with the session's token.
func TestReadYourWritesAfterPromotion(t *testing.T) {
	c := newCluster(t, clusterOptions{daemons: 3})
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
	c.waitFor("a write after the promotion", func() bool { return c.exec(1, "", "INSERT INTO route VALUES (100, 'x')") == nil })
	requireRows(t, c.mustDial(2, "-c citronusher.profile=stale -c citronusher.token="+token), 10)
}

// requireRows requires the rows with the keys 0 to count-1 and reads each by its key. Rows of other sessions are not
// checked.
func requireRows(t *testing.T, conn *pgx.Conn, count int) {
	t.Helper()
	for key := range count {
		var grade string
		err := conn.QueryRow(context.Background(), "SELECT grade FROM route WHERE id = $1", key).Scan(&grade)
		if err != nil || grade != "6a" {
			t.Errorf("row %d of the session after the promotion: grade %q, %v, want 6a", key, grade, err)
		}
	}
}

// TestLostWriteIsReported guards against silent loss of a write: it writes without majority acknowledgement while the
// replicas lag, kills the primary, and expects the session's next read to fail with SQLSTATE UC001.
func TestLostWriteIsReported(t *testing.T) {
	c := newCluster(t, clusterOptions{daemons: 2})
	c.mustExec("CREATE TABLE route (id INTEGER PRIMARY KEY, grade TEXT)")
	c.waitFor("replicas with the table", func() bool {
		return c.exec(1, "-c citronusher.profile=stale", "SELECT * FROM route") == nil
	})
	first := c.primary()
	for i := range c.members {
		if i != first {
			c.controlMember(i, "lag=60000")
		}
	}
	conn := c.mustDial(0, "")
	if _, err := conn.Exec(context.Background(), "INSERT INTO route VALUES (1, '6a')"); err != nil {
		t.Fatal(err)
	}
	c.members[first].kill(t)
	c.waitFor("a primary after the promotion", func() bool { return c.exec(1, "", "SELECT 1") == nil })
	var count int
	err := conn.QueryRow(context.Background(), "SELECT count(*) FROM route").Scan(&count)
	if outcomeOf(err) != notRun || err == nil {
		t.Fatalf("read after the lost write: %d rows, %v, want an error with outcome not run", count, err)
	}
	if code := sqlState(err); code != "UC001" {
		t.Errorf("SQLSTATE %s, want UC001: %v", code, err)
	}
	if err := conn.QueryRow(context.Background(), "SELECT count(*) FROM route").Scan(&count); err != nil || count != 0 {
		t.Errorf("read after the lost write was reported: %d rows, %v, want 0 rows", count, err)
	}
}
