package prove

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"golang.org/x/sync/errgroup"
)

// callTransactions runs transactions that write two rows with one identity each, on connections of their own. Some
// callers vanish in the middle, some roll back.
func callTransactions(c *cluster, client, count int, committed *counter) {
	random := rand.New(rand.NewPCG(uint64(client), 3))
	for n := range count {
		id := client*10_000 + n
		conn, err := c.dial(client%len(c.entries), "")
		if err != nil {
			continue
		}
		o := pairOf(conn, id, random.IntN(8))
		committed.add(fmt.Sprintf("%d %d", id, o))
	}
}

// pairOf writes the two rows of one transaction. fate 0 vanishes in the middle, fate 1 rolls back.
func pairOf(conn *pgx.Conn, id, fate int) outcome {
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	defer func() { _ = conn.Close(ctx) }()
	for _, sql := range []string{"BEGIN", fmt.Sprintf("INSERT INTO pair VALUES (%d, 1)", id)} {
		if _, err := conn.Exec(ctx, sql); err != nil {
			return notRun // the commit was never sent
		}
	}
	switch fate {
	case 0:
		_ = conn.PgConn().Conn().Close()
		return notRun
	case 1:
		_, _ = conn.Exec(ctx, "ROLLBACK")
		return notRun
	}
	if _, err := conn.Exec(ctx, fmt.Sprintf("INSERT INTO pair VALUES (%d, 2)", id)); err != nil {
		return notRun // the commit was never sent
	}
	_, err := conn.Exec(ctx, "COMMIT")
	return outcomeOf(err)
}

// checkPairs verifies that each transaction is there whole or not at all, as its caller was told.
func checkPairs(t *testing.T, c *cluster, told *counter) {
	t.Helper()
	counts := countRows(t, c, 1, "SELECT id, count(*) FROM pair GROUP BY id")
	tally := map[outcome]int{}
	for line := range told.values {
		var id int
		var o outcome
		_, _ = fmt.Sscan(line, &id, &o)
		tally[o]++
		switch {
		case counts[id] != 0 && counts[id] != 2:
			t.Errorf("transaction %d is there in part: %d rows", id, counts[id])
		case o == ran && counts[id] != 2:
			t.Errorf("transaction %d was told committed, and is missing", id)
		case o == notRun && counts[id] != 0:
			t.Errorf("transaction %d was told not run, and is there", id)
		}
	}
	t.Logf("transactions told: %d ran, %d not run, %d unknown", tally[ran], tally[notRun], tally[unknown])
}

// TestTransactionsNeverMix interleaves transactions of many callers over few connections, while callers vanish and a
// home dies.
func TestTransactionsNeverMix(t *testing.T) {
	t.Parallel()
	c := newCluster(t, shape{daemons: 3})
	c.mustExec("CREATE TABLE pair (id INTEGER, part INTEGER)")
	told := newCounter()
	var group errgroup.Group
	for client := range 24 {
		group.Go(func() error {
			callTransactions(c, client, 60, told)
			return nil
		})
	}
	time.Sleep(time.Second)
	c.daemons[2].kill(t)
	_ = group.Wait()
	checkPairs(t, c, told)
}

// TestAnswersBelongToRequests sends requests that differ in their answers over shared connections, cancels some, and
// checks every answer.
func TestAnswersBelongToRequests(t *testing.T) {
	t.Parallel()
	c := newCluster(t, shape{daemons: 2})
	seen := newCounter()
	var group errgroup.Group
	for client := range 12 {
		group.Go(func() error {
			random := rand.New(rand.NewPCG(uint64(client), 5))
			for n := range 60 {
				if err := askOwn(c, client, n, random.IntN(4) == 0, seen); err != nil {
					return err
				}
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
	t.Logf("answers: %v", seen.values)
	if seen.get("cancelled") == 0 || seen.get("answered") == 0 {
		t.Error("the run has no cancelled or no answered requests")
	}
}

// askOwn asks for a value of its own and compares the answer. With cancel it gives up in the middle, and asks again on
// the same entry.
func askOwn(c *cluster, client, n int, cancel bool, seen *counter) error {
	conn, err := c.dial(client%2, "")
	if err != nil {
		return err
	}
	ctx, stop := context.WithTimeout(context.Background(), waitLimit)
	defer stop()
	defer func() { _ = conn.Close(ctx) }()
	own := fmt.Sprintf("answer-%d-%d", client, n)
	if cancel {
		short, stopShort := context.WithTimeout(ctx, 10*time.Millisecond)
		_, err := conn.Exec(short, "SELECT pg_sleep(0.2), 'late-"+own+"'")
		stopShort()
		if err != nil {
			seen.add("cancelled")
		}
		return nil
	}
	var got string
	if err := conn.QueryRow(ctx, "SELECT '"+own+"' WHERE $1 = 1", 1).Scan(&got); err != nil {
		seen.add("failed " + sqlState(err))
		return nil //nolint:nilerr // a refusal is no wrong answer
	}
	if got != own {
		return fmt.Errorf("asked for %s, got %s", own, got)
	}
	seen.add("answered")
	return nil
}

// TestLargeResult streams a result far larger than the proxy's buffers and checks every row.
func TestLargeResult(t *testing.T) {
	t.Parallel()
	c := newCluster(t, shape{daemons: 2})
	const rows = 200_000
	for entry := range c.entries {
		conn := c.mustDial(entry, "-c citronusher.profile=report")
		result, err := conn.Query(context.Background(), fmt.Sprintf("WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL "+
			"SELECT i + 1 FROM n WHERE i < %d) SELECT i, '%s' AS filler FROM n", rows, strings.Repeat("x", 100)))
		if err != nil {
			t.Fatal(err)
		}
		var i, filler string
		expected := 0
		_, err = pgx.ForEachRow(result, []any{&i, &filler}, func() error {
			expected++
			if i != strconv.Itoa(expected) {
				return fmt.Errorf("row %s in place of %d", i, expected)
			}
			return nil
		})
		if err != nil || expected != rows {
			t.Errorf("entry %d: %d rows, %v", entry, expected, err)
		}
	}
}

// TestAbortedTransactionStaysAborted kills the primary inside a transaction: its later statements must not run outside
// it.
func TestAbortedTransactionStaysAborted(t *testing.T) {
	t.Parallel()
	c := newCluster(t, shape{daemons: 2})
	c.mustExec("CREATE TABLE pair (id INTEGER, part INTEGER)")
	c.await("replicas with the table", func() bool {
		return c.exec(0, "-c citronusher.profile=strong", "DELETE FROM pair") == nil
	})
	conn := c.mustDial(0, "")
	ctx := context.Background()
	if _, err := conn.Exec(ctx, "BEGIN"); err != nil {
		t.Fatal(err)
	}
	c.members[c.primary()].kill(t)
	_, first := conn.Exec(ctx, "INSERT INTO pair VALUES (1, 1)")
	if outcomeOf(first) != notRun {
		t.Errorf("the statement on the broken connection: %v", first)
	}
	c.await("a new primary", func() bool { return c.exec(1, "", "SELECT 1") == nil })
	if _, err := conn.Exec(ctx, "INSERT INTO pair VALUES (1, 2)"); sqlState(err) != "25P02" {
		t.Errorf("the statement after it: %v", err)
	}
	tag, err := conn.Exec(ctx, "COMMIT")
	if err != nil || tag.String() != "ROLLBACK" {
		t.Errorf("the commit: %s, %v", tag, err)
	}
	var count int
	if err := conn.QueryRow(ctx, "SELECT count(*) FROM pair").Scan(&count); err != nil || count != 0 {
		t.Errorf("%d rows, %v", count, err)
	}
}
