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

// runTransactions runs count transactions, each on a new connection, and records their outcomes. Each transaction writes two
// rows with the same id. Some close the connection before they end, some roll back.
func runTransactions(c *cluster, client, count int, reported *counter) {
	random := rand.New(rand.NewPCG(uint64(client), 3))
	for n := range count {
		id := client*10_000 + n
		conn, err := c.dial(client%len(c.entries), "")
		if err != nil {
			continue
		}
		o := writePair(conn, id, random.IntN(8))
		reported.add(fmt.Sprintf("%d %d", id, o))
	}
}

// writePair writes two rows in one transaction and returns its outcome. With ending 0 it closes the connection after the
// first row, with ending 1 it rolls back after it, otherwise it commits.
func writePair(conn *pgx.Conn, id, ending int) outcome {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	defer func() { _ = conn.Close(ctx) }()
	for _, sql := range []string{"BEGIN", fmt.Sprintf("INSERT INTO pair VALUES (%d, 1)", id)} {
		if _, err := conn.Exec(ctx, sql); err != nil {
			return notRun // the commit was never sent
		}
	}
	switch ending {
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

// checkPairs requires that each transaction is stored completely or not at all, according to its reported outcome.
func checkPairs(t *testing.T, c *cluster, reported *counter) {
	t.Helper()
	counts := countRows(t, c, 1, "SELECT id, count(*) FROM pair GROUP BY id")
	tally := map[outcome]int{}
	for line := range reported.values {
		var id int
		var o outcome
		_, _ = fmt.Sscan(line, &id, &o)
		tally[o]++
		switch {
		case counts[id] != 0 && counts[id] != 2:
			t.Errorf("transaction %d is stored in part: %d rows", id, counts[id])
		case o == ran && counts[id] != 2:
			t.Errorf("transaction %d was reported as committed, but is not stored completely", id)
		case o == notRun && counts[id] != 0:
			t.Errorf("transaction %d was reported as not run, but is stored", id)
		}
	}
	t.Logf("transaction outcomes: %d ran, %d not run, %d unknown", tally[ran], tally[notRun], tally[unknown])
}

// TestTransactionsNeverMix guards against transactions that share a target connection: many callers run transactions over
// few connections, while some callers disconnect within a transaction and a daemon is killed.
func TestTransactionsNeverMix(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterOptions{daemons: 3})
	c.mustExec("CREATE TABLE pair (id INTEGER, part INTEGER)")
	reported := newCounter()
	var group errgroup.Group
	for client := range 24 {
		group.Go(func() error {
			runTransactions(c, client, 60, reported)
			return nil
		})
	}
	time.Sleep(time.Second)
	c.daemons[2].kill(t)
	_ = group.Wait()
	checkPairs(t, c, reported)
}

// TestAnswersBelongToRequests guards against an answer that reaches the wrong request: callers send requests with distinct
// answers over shared target connections, cancel some of them, and check every answer.
func TestAnswersBelongToRequests(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterOptions{daemons: 2})
	results := newCounter()
	var group errgroup.Group
	for client := range 12 {
		group.Go(func() error {
			random := rand.New(rand.NewPCG(uint64(client), 5))
			for n := range 60 {
				if err := queryOwnValue(c, client, n, random.IntN(4) == 0, results); err != nil {
					return err
				}
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
	t.Logf("answers: %v", results.values)
	if results.get("cancelled") == 0 || results.get("answered") == 0 {
		t.Error("no request was cancelled or no request was answered")
	}
}

// queryOwnValue queries a value that no other request uses and compares the answer. With cancel it sends a slow query
// instead and cancels it after 10 ms.
func queryOwnValue(c *cluster, client, n int, cancel bool, results *counter) error {
	conn, err := c.dial(client%2, "")
	if err != nil {
		return err
	}
	ctx, stop := context.WithTimeout(context.Background(), waitTimeout)
	defer stop()
	defer func() { _ = conn.Close(ctx) }()
	own := fmt.Sprintf("answer-%d-%d", client, n)
	if cancel {
		short, stopShort := context.WithTimeout(ctx, 10*time.Millisecond)
		_, err := conn.Exec(short, "SELECT pg_sleep(0.2), 'late-"+own+"'")
		stopShort()
		if err != nil {
			results.add("cancelled")
		}
		return nil
	}
	var got string
	if err := conn.QueryRow(ctx, "SELECT '"+own+"' WHERE $1 = 1", 1).Scan(&got); err != nil {
		results.add("failed " + sqlState(err))
		return nil //nolint:nilerr // a rejected request is not a wrong answer
	}
	if got != own {
		return fmt.Errorf("queried %s, got the answer %s", own, got)
	}
	results.add("answered")
	return nil
}

// TestLargeResult guards against lost or reordered rows in a result that is far larger than the proxy's buffers.
func TestLargeResult(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterOptions{daemons: 2})
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
				return fmt.Errorf("got row %s, want row %d", i, expected)
			}
			return nil
		})
		if err != nil || expected != rows {
			t.Errorf("entry %d: %d rows, %v", entry, expected, err)
		}
	}
}

// TestAbortedTransactionStaysAborted guards against statements that run outside their transaction: the primary is killed
// within a transaction, and the transaction's later statements must be rejected until it ends.
func TestAbortedTransactionStaysAborted(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterOptions{daemons: 2})
	c.mustExec("CREATE TABLE pair (id INTEGER, part INTEGER)")
	c.waitFor("replicas with the table", func() bool {
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
		t.Errorf("statement after the connection to the primary was lost: %v, want an error with outcome not run", first)
	}
	c.waitFor("a new primary", func() bool { return c.exec(1, "", "SELECT 1") == nil })
	if _, err := conn.Exec(ctx, "INSERT INTO pair VALUES (1, 2)"); sqlState(err) != "25P02" {
		t.Errorf("statement in the aborted transaction: %v, want SQLSTATE 25P02", err)
	}
	tag, err := conn.Exec(ctx, "COMMIT")
	if err != nil || tag.String() != "ROLLBACK" {
		t.Errorf("COMMIT of the aborted transaction: %s, %v, want ROLLBACK", tag, err)
	}
	var count int
	if err := conn.QueryRow(ctx, "SELECT count(*) FROM pair").Scan(&count); err != nil || count != 0 {
		t.Errorf("rows after the aborted transaction: %d, %v, want 0", count, err)
	}
}
