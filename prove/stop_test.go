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

// requester sends requests through one entry at a time, moving to another one when its entry stops, and counts what
// became of the requests that were sent.
func requester(c *cluster, client int, stop *atomic.Bool, seen *counter) {
	for n := 0; !stop.Load(); n++ {
		conn, err := c.dial((client+n)%len(c.entries), "")
		if err != nil {
			time.Sleep(waitPause)
			continue
		}
		for !stop.Load() {
			_, err := conn.Exec(context.Background(), "SELECT pg_sleep(0.005)")
			if err == nil {
				seen.add("served")
				continue
			}
			seen.add(stopKind(err))
			break
		}
		_ = conn.Close(context.Background())
	}
}

// stopKind tells a truthful refusal, and a connection that ended before the request was sent, from a request that was
// cut off.
func stopKind(err error) string {
	var answer *pgconn.PgError
	switch {
	case errors.As(err, &answer) && answer.Code == "57P01":
		return "refused as not run"
	case pgconn.SafeToRetry(err):
		return "refused before it was sent"
	case errors.As(err, &answer):
		return "failed: " + answer.Code + " " + answer.Message
	default:
		return "cut off: " + err.Error()
	}
}

// TestPlannedStopCutsNothingOff stops every daemon in turn by SIGTERM under load and starts it again.
func TestPlannedStopCutsNothingOff(t *testing.T) {
	t.Parallel()
	c := newCluster(t, shape{daemons: 6})
	seen := newCounter()
	var stop atomic.Bool
	var group errgroup.Group
	for client := range 8 {
		group.Go(func() error {
			requester(c, client, &stop, seen)
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
			t.Errorf("long request at %s: %v", daemonName(i), err)
		}
		c.daemons[i].start(t)
		c.awaitReady(i)
	}
	stop.Store(true)
	_ = group.Wait()
	t.Logf("requests: %v", seen.values)
	for kind, count := range seen.values {
		if kind != "served" && kind != "refused as not run" && kind != "refused before it was sent" {
			t.Errorf("%d requests: %s", count, kind)
		}
	}
}

// statements returns how many callers' statements a member has run.
func statements(c *cluster, i int) int {
	var count int
	_, _ = fmt.Sscanf(c.fault(i, ""), "statements=%d", &count)
	return count
}

// TestLeavingTargetGetsNoWork makes the primary and then a replica leave, with the platform down right after the edit
// was accepted, and expects them to get no statement after a while.
func TestLeavingTargetGetsNoWork(t *testing.T) {
	t.Parallel()
	c := newCluster(t, shape{daemons: 3})
	c.mustExec("CREATE TABLE stock (number INTEGER)")
	first := c.primary()
	var stop atomic.Bool
	var group errgroup.Group
	seen := newCounter()
	for client := range 4 {
		group.Go(func() error {
			for n := 0; !stop.Load(); n++ {
				err := c.exec(client%3, "", fmt.Sprintf("INSERT INTO stock VALUES (%d)", client*100_000+n))
				seen.add(fmt.Sprint(outcomeOf(err)))
			}
			return nil
		})
	}
	c.edit(0, profile.PartTarget, database, c.target(shape{}, first))
	get(c.platformURL("outage=1"))
	c.await("another primary", func() bool { p := c.primary(); return p >= 0 && p != first })
	c.await("quiet at the leaving member", func() bool {
		before := statements(c, first)
		time.Sleep(time.Second)
		return statements(c, first) == before
	})
	quiet := statements(c, first)
	time.Sleep(2 * time.Second)
	stop.Store(true)
	_ = group.Wait()
	if after := statements(c, first); after != quiet {
		t.Errorf("the leaving member ran %d statements after it was quiet", after-quiet)
	}
	t.Logf("requests by outcome (0 ran, 1 not run, 2 unknown): %v", seen.values)
	conn := c.mustDial(1, "")
	var count int
	if err := conn.QueryRow(context.Background(), "SELECT count(*) FROM stock").Scan(&count); err != nil {
		t.Fatal(err)
	}
	if count < seen.get("0") {
		t.Errorf("%d writes were acknowledged, %d are there", seen.get("0"), count)
	}
}
