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

func sqlState(err error) string {
	var answer *pgconn.PgError
	if errors.As(err, &answer) {
		return answer.Code
	}
	return ""
}

// orderBy runs one stock order, as a non-repeatable request with an identity, on a connection of its own.
func orderBy(c *cluster, entry, number int, run func(ctx context.Context, conn *pgx.Conn, sql string) error) error {
	conn, err := c.dial(entry, fmt.Sprintf("-c citronusher.profile=never -c citronusher.request=order-%d", number))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	defer func() { _ = conn.Close(ctx) }()
	return run(ctx, conn, fmt.Sprintf("INSERT INTO stock (number, made) VALUES (%d, 1)", number))
}

// order places the order as one statement.
func order(c *cluster, entry, number int) error {
	return orderBy(c, entry, number, func(ctx context.Context, conn *pgx.Conn, sql string) error {
		_, err := conn.Exec(ctx, sql)
		return err
	})
}

// orderInTransaction places the order in an explicit transaction.
func orderInTransaction(c *cluster, entry, number int) error {
	return orderBy(c, entry, number, func(ctx context.Context, conn *pgx.Conn, sql string) error {
		return pgx.BeginFunc(ctx, conn, func(tx pgx.Tx) error {
			_, err := tx.Exec(ctx, sql)
			return err
		})
	})
}

// countRows runs a query for pairs of a number and its count.
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

// checkOrders compares what callers were told with the table: an order that ran is there once, one that never ran is
// not there, an unknown one is there at most once.
func checkOrders(t *testing.T, c *cluster, told map[int]outcome) {
	t.Helper()
	counts := countRows(t, c, 0, "SELECT number, count(*) FROM stock GROUP BY number")
	for number, count := range counts {
		if count > 1 {
			t.Errorf("order %d ran %d times", number, count)
		}
	}
	for number, o := range told {
		switch {
		case o == ran && counts[number] != 1:
			t.Errorf("order %d was told ran, and is there %d times", number, counts[number])
		case o == notRun && counts[number] != 0:
			t.Errorf("order %d was told not run, and is there", number)
		}
	}
}

// TestAtMostOnce repeats orders from other entries while answers are lost, the primary dies and a daemon dies.
func TestAtMostOnce(t *testing.T) {
	for name, place := range map[string]func(*cluster, int, int) error{"statement": order, "transaction": orderInTransaction} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, shape{daemons: 3})
			c.mustExec("CREATE TABLE stock (number INTEGER, made INTEGER)")
			const orders, tries = 60, 3
			told := make([][tries]outcome, orders)
			seen := newCounter()
			var group errgroup.Group
			group.SetLimit(6)
			for n := range orders {
				switch n {
				case 10, 20:
					c.fault(c.primary(), "mute=3")
				case 30:
					c.members[c.primary()].kill(t)
				case 45:
					c.daemons[2].kill(t)
				}
				for try := range tries {
					group.Go(func() error {
						err := place(c, (n+try)%3, n)
						told[n][try] = outcomeOf(err)
						if err != nil {
							seen.add(err.Error())
						}
						return nil
					})
				}
			}
			_ = group.Wait()
			t.Logf("errors: %v", seen.values)
			c.await("the group after the failures", func() bool { return c.exec(0, "", "SELECT 1") == nil })
			result := map[int]outcome{}
			tally := map[outcome]int{}
			for n, tries := range told {
				result[n] = best(tries[:])
				for _, o := range tries {
					tally[o]++
				}
			}
			t.Logf("told: %d ran, %d not run, %d unknown", tally[ran], tally[notRun], tally[unknown])
			checkOrders(t, c, result)
		})
	}
}

// best returns ran when one try ran, not run when no try can have run, and unknown otherwise.
func best(tries []outcome) outcome {
	result := notRun
	for _, o := range tries {
		switch o {
		case ran:
			return ran
		case unknown:
			result = unknown
		}
	}
	return result
}

// TestLostAnswerIsSettled loses the answer to the commit of a marked request and expects the truth all the same.
func TestLostAnswerIsSettled(t *testing.T) {
	c := newCluster(t, shape{daemons: 2})
	c.mustExec("CREATE TABLE stock (number INTEGER, made INTEGER)")
	if err := order(c, 0, 0); err != nil {
		t.Fatal(err)
	}
	c.fault(c.primary(), "mute=1")
	if err := order(c, 0, 1); err != nil {
		t.Errorf("the order whose answer was lost: %v", err)
	}
	// A statement that commits by itself, with its answer lost, and its repeat.
	c.fault(c.primary(), "mute=1")
	conn := c.mustDial(0, "-c citronusher.profile=never")
	for range 2 {
		for _, sql := range []string{"SET citronusher.request = 'order-3'", "INSERT INTO stock VALUES (3, 1); COMMIT"} {
			if _, err := conn.Exec(context.Background(), sql); err != nil {
				t.Errorf("%s: %v", sql, err)
			}
		}
	}
	// The same loss without an identity stays unknown.
	c.fault(c.primary(), "mute=1")
	err := c.exec(0, "", "INSERT INTO stock VALUES (2, 1)")
	if outcomeOf(err) != unknown || sqlState(err) != "08007" {
		t.Errorf("the unmarked insert whose answer was lost: %v", err)
	}
	checkOrders(t, c, map[int]outcome{0: ran, 1: ran, 2: unknown, 3: ran})
}
