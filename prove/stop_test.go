package prove

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"golang.org/x/sync/errgroup"

	"citronusher.example/citronusher/profile"
)

// sendRequests sends requests until stop is set, through one entry at a time. After an error it reconnects through the next
// entry. It counts the results of the requests by kind.
func sendRequests(c *cluster, client int, stop *atomic.Bool, results *counter) {
	for n := 0; !stop.Load(); n++ {
		conn, err := c.dial((client+n)%len(c.entries), "")
		if err != nil {
			time.Sleep(pollInterval)
			continue
		}
		for !stop.Load() {
			_, err := conn.Exec(context.Background(), "SELECT pg_sleep(0.005)")
			if err == nil {
				results.add("served")
				continue
			}
			results.add(classifyError(err))
			break
		}
		_ = conn.Close(context.Background())
	}
}

// classifyError distinguishes a request that the proxy rejected as not run, a connection that closed before the request was
// sent, a request that failed, and a request whose connection was lost before the answer.
func classifyError(err error) string {
	var answer *pgconn.PgError
	switch {
	case errors.As(err, &answer) && answer.Code == "57P01":
		return "rejected as not run"
	case pgconn.SafeToRetry(err):
		return "connection closed before the request was sent"
	case errors.As(err, &answer):
		return "failed: " + answer.Code + " " + answer.Message
	default:
		return "interrupted: " + err.Error()
	}
}

// TestPlannedStopCutsNothingOff guards against requests that a planned stop interrupts: under load it stops each daemon in
// turn by SIGTERM, during a long request, and starts it again.
func TestPlannedStopCutsNothingOff(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterOptions{daemons: 6})
	results := newCounter()
	var stop atomic.Bool
	var group errgroup.Group
	for client := range 8 {
		group.Go(func() error {
			sendRequests(c, client, &stop, results)
			return nil
		})
	}
	for i := range c.daemons {
		long := make(chan error, 1)
		conn := c.mustDial(i, "-c citronusher.profile=report")
		group.Go(func() error {
			_, err := conn.Exec(context.Background(), "SELECT pg_sleep(2)")
			long <- err
			return nil
		})
		time.Sleep(200 * time.Millisecond)
		c.daemons[i].stop(t)
		if err := <-long; err != nil {
			t.Errorf("long request during the stop of %s: %v", daemonName(i), err)
		}
		c.daemons[i].start(t)
		c.waitForReady(i)
	}
	stop.Store(true)
	_ = group.Wait()
	t.Logf("requests: %v", results.values)
	for kind, count := range results.values {
		if kind != "served" && kind != "rejected as not run" && kind != "connection closed before the request was sent" {
			t.Errorf("%d requests: %s", count, kind)
		}
	}
}

// statementCount returns the number of callers' statements that member i has run.
func statementCount(c *cluster, i int) int {
	var count int
	_, _ = fmt.Sscanf(c.controlMember(i, ""), "statements=%d", &count)
	return count
}

// TestLeavingTargetGetsNoWork guards against statements sent to a leaving member: an edit sets the primary's state to
// leaving, the platform fails right after the edit is accepted, and the member must stop receiving statements.
func TestLeavingTargetGetsNoWork(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterOptions{daemons: 3})
	c.mustExec("CREATE TABLE stock (number INTEGER)")
	first := c.primary()
	var stop atomic.Bool
	var group errgroup.Group
	results := newCounter()
	for client := range 4 {
		group.Go(func() error {
			for n := 0; !stop.Load(); n++ {
				err := c.exec(client%3, "", fmt.Sprintf("INSERT INTO stock VALUES (%d)", client*100_000+n))
				results.add(fmt.Sprint(outcomeOf(err)))
			}
			return nil
		})
	}
	c.edit(0, profile.PartTarget, database, c.target(clusterOptions{}, first))
	get(c.platformURL("outage=1"))
	c.waitFor("another primary", func() bool { p := c.primary(); return p >= 0 && p != first })
	c.waitFor("no statements at the leaving member", func() bool {
		before := statementCount(c, first)
		time.Sleep(time.Second)
		return statementCount(c, first) == before
	})
	idleCount := statementCount(c, first)
	time.Sleep(2 * time.Second)
	stop.Store(true)
	_ = group.Wait()
	if after := statementCount(c, first); after != idleCount {
		t.Errorf("the leaving member ran %d statements after it became idle", after-idleCount)
	}
	t.Logf("requests by outcome (0 ran, 1 not run, 2 unknown): %v", results.values)
	conn := c.mustDial(1, "")
	var count int
	if err := conn.QueryRow(context.Background(), "SELECT count(*) FROM stock").Scan(&count); err != nil {
		t.Fatal(err)
	}
	if count < results.get("0") {
		t.Errorf("%d writes were acknowledged, but only %d rows are stored", results.get("0"), count)
	}
}
