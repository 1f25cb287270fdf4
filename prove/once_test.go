package prove

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"golang.org/x/sync/errgroup"
)

// sqlState returns the SQLSTATE code of a server error, or an empty string.
func sqlState(err error) string {
	var answer *pgconn.PgError
	if errors.As(err, &answer) {
		return answer.Code
	}
	return ""
}

// withOrder runs one stock order on a new connection, as a non-repeatable request with a request identity.
func withOrder(c *cluster, entry, number int, run func(ctx context.Context, conn *pgx.Conn, sql string) error) error {
	conn, err := c.dial(entry, fmt.Sprintf("-c citronusher.profile=never -c citronusher.request=order-%d", number))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	defer func() { _ = conn.Close(ctx) }()
	return run(ctx, conn, fmt.Sprintf("INSERT INTO stock (number, made) VALUES (%d, 1)", number))
}

// placeOrder places the order as a single statement.
func placeOrder(c *cluster, entry, number int) error {
	return withOrder(c, entry, number, func(ctx context.Context, conn *pgx.Conn, sql string) error {
		_, err := conn.Exec(ctx, sql)
		return err
	})
}

// placeOrderInTransaction places the order in an explicit transaction.
func placeOrderInTransaction(c *cluster, entry, number int) error {
	return withOrder(c, entry, number, func(ctx context.Context, conn *pgx.Conn, sql string) error {
		return pgx.BeginFunc(ctx, conn, func(tx pgx.Tx) error {
			_, err := tx.Exec(ctx, sql)
			return err
		})
	})
}

// countRows runs a query that returns pairs of a number and its count.
func countRows(t *testing.T, c *cluster, entry int, sql string) map[int]int64 {
	t.Helper()
	rows, err := c.mustDial(entry, "").Query(context.Background(), sql)
	if err != nil {
		t.Fatal(err)
	}
	counts := map[int]int64{}
	var number int
	var count int64
	if _, err := pgx.ForEachRow(rows, []any{&number, &count}, func() error { counts[number] = count; return nil }); err != nil {
		t.Fatal(err)
	}
	return counts
}

// checkOrders compares the reported outcomes with the table: an order reported as ran is stored once, one reported as not
// run is not stored, and one with unknown outcome is stored at most once.
func checkOrders(t *testing.T, c *cluster, reported map[int]outcome) {
	t.Helper()
	counts := countRows(t, c, 0, "SELECT number, count(*) FROM stock GROUP BY number")
	for number, count := range counts {
		if count > 1 {
			t.Errorf("order %d is stored %d times", number, count)
		}
	}
	for number, o := range reported {
		switch {
		case o == ran && counts[number] != 1:
			t.Errorf("order %d was reported as ran, but is stored %d times", number, counts[number])
		case o == notRun && counts[number] != 0:
			t.Errorf("order %d was reported as not run, but is stored", number)
		}
	}
}

// TestAtMostOnce guards against an order that runs twice: each order is sent concurrently through several entries with the
// same request identity, while answers are lost, the primary is killed and a daemon is killed.
func TestAtMostOnce(t *testing.T) {
	for name, place := range map[string]func(*cluster, int, int) error{
		"statement": placeOrder, "transaction": placeOrderInTransaction,
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, clusterOptions{daemons: 3})
			c.mustExec("CREATE TABLE stock (number INTEGER, made INTEGER)")
			const orders, attempts = 60, 3
			reported := make([][attempts]outcome, orders)
			failures := newCounter()
			var group errgroup.Group
			group.SetLimit(6)
			for n := range orders {
				switch n {
				case 10, 20:
					c.controlMember(c.primary(), "mute=3")
				case 30:
					c.members[c.primary()].kill(t)
				case 45:
					c.daemons[2].kill(t)
				}
				for attempt := range attempts {
					group.Go(func() error {
						err := place(c, (n+attempt)%3, n)
						reported[n][attempt] = outcomeOf(err)
						if err != nil {
							failures.add(err.Error())
						}
						return nil
					})
				}
			}
			_ = group.Wait()
			t.Logf("errors: %v", failures.values)
			c.waitFor("the group after the failures", func() bool { return c.exec(0, "", "SELECT 1") == nil })
			result := map[int]outcome{}
			tally := map[outcome]int{}
			for n, outcomes := range reported {
				result[n] = combineOutcomes(outcomes[:])
				for _, o := range outcomes {
					tally[o]++
				}
			}
			t.Logf("outcomes: %d ran, %d not run, %d unknown", tally[ran], tally[notRun], tally[unknown])
			checkOrders(t, c, result)
		})
	}
}

// combineOutcomes returns ran when an attempt ran, notRun when no attempt can have run, and unknown otherwise.
func combineOutcomes(attempts []outcome) outcome {
	result := notRun
	for _, o := range attempts {
		switch o {
		case ran:
			return ran
		case unknown:
			result = unknown
		}
	}
	return result
}

// TestLostAnswerIsSettled guards against unknown outcomes that the request's marker can resolve: the answer to a commit is
// lost, and the caller still gets the true outcome. Without a request identity the outcome stays unknown.
func TestLostAnswerIsSettled(t *testing.T) {
	c := newCluster(t, clusterOptions{daemons: 2})
	c.mustExec("CREATE TABLE stock (number INTEGER, made INTEGER)")
	if err := placeOrder(c, 0, 0); err != nil {
		t.Fatal(err)
	}
	c.controlMember(c.primary(), "mute=1")
	if err := placeOrder(c, 0, 1); err != nil {
		t.Errorf("order with an identity and a lost answer: %v", err)
	}
	// A simple query that contains its own COMMIT loses its answer, and is then sent again with the same identity.
	c.controlMember(c.primary(), "mute=1")
	conn := c.mustDial(0, "-c citronusher.profile=never")
	for range 2 {
		for _, sql := range []string{"SET citronusher.request = 'order-3'", "INSERT INTO stock VALUES (3, 1); COMMIT"} {
			if _, err := conn.Exec(context.Background(), sql); err != nil {
				t.Errorf("%s: %v", sql, err)
			}
		}
	}
	// Without an identity the outcome of a lost answer stays unknown.
	c.controlMember(c.primary(), "mute=1")
	err := c.exec(0, "", "INSERT INTO stock VALUES (2, 1)")
	if outcomeOf(err) != unknown || sqlState(err) != "08007" {
		t.Errorf("insert without an identity and with a lost answer: %v, want an unknown outcome with SQLSTATE 08007", err)
	}
	checkOrders(t, c, map[int]outcome{0: ran, 1: ran, 2: unknown, 3: ran})
}
