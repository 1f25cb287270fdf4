package prove

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/jackc/pgx/v5"
	"golang.org/x/sync/errgroup"
)

const checkTimeout = 60 * time.Second // for the linearizability checker, in each test

// registerOp is one read or write of the register with the given key.
type registerOp struct {
	key   int
	write bool
	value int
}

// registerModel models independent registers that start at 0. The history is partitioned by key and each register is
// checked on its own. Failed reads are not part of a history.
var registerModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := map[int][]porcupine.Operation{}
		for _, op := range history {
			key := op.Input.(registerOp).key
			parts[key] = append(parts[key], op)
		}
		var all [][]porcupine.Operation
		for _, part := range parts {
			all = append(all, part)
		}
		return all
	},
	Init: func() any { return 0 },
	Step: func(state, input, output any) (bool, any) {
		op := input.(registerOp)
		if op.write {
			return true, op.value
		}
		return output.(int) == state.(int), state
	},
	DescribeOperation: func(input, output any) string {
		op := input.(registerOp)
		if op.write {
			return fmt.Sprintf("write(%d, %d)", op.key, op.value)
		}
		return fmt.Sprintf("read(%d) = %v", op.key, output)
	},
}

// history records the operations of concurrent callers and counts their outcomes.
type history struct {
	mu         sync.Mutex
	startedAt  time.Time
	operations []porcupine.Operation
	outcomes   map[outcome]int
}

func newHistory() *history { return &history{startedAt: time.Now(), outcomes: map[outcome]int{}} }

func (h *history) now() int64 { return time.Since(h.startedAt).Nanoseconds() }

// add records one operation. A write with unknown outcome may take effect at any later time, so its return time is
// unbounded. Operations that did not run and reads with unknown outcome are left out.
func (h *history) add(client int, op registerOp, output int, calledAt int64, o outcome) {
	returnedAt := h.now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.outcomes[o]++
	switch {
	case o == notRun, o == unknown && !op.write:
		return
	case o == unknown:
		returnedAt = 1 << 62
	}
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: client, Input: op, Call: calledAt, Output: output, Return: returnedAt,
	})
}

// check reports whether the history is linearizable. It writes a visualization of a history that is not.
func (h *history) check(t *testing.T) bool {
	t.Helper()
	h.mu.Lock()
	defer h.mu.Unlock()
	result, info := porcupine.CheckOperationsVerbose(registerModel, h.operations, checkTimeout)
	t.Logf("history: %d operations; outcomes: %d ran, %d not run, %d unknown: %s", len(h.operations), h.outcomes[ran],
		h.outcomes[notRun], h.outcomes[unknown], result)
	if result == porcupine.Illegal {
		directory := os.Getenv("CITRONUSHER_RESULTS")
		if directory == "" {
			directory = t.TempDir()
		}
		path := filepath.Join(directory, filepath.Base(t.Name())+".html")
		_ = porcupine.VisualizePath(registerModel, info, path)
		t.Logf("visualization: %s", path)
	}
	return result == porcupine.Ok
}

// callers are concurrent callers that read and write registers through the given entries until stop is closed.
type callers struct {
	cluster *cluster
	history *history
	group   errgroup.Group
	stop    chan struct{}
}

const registers = 4

// startCallers creates the registers and starts count callers, each with its own random seed.
func startCallers(c *cluster, count int, entries []int, profile string) *callers {
	c.t.Helper()
	c.mustExec("CREATE TABLE register (key INTEGER PRIMARY KEY, value INTEGER)")
	for key := range registers {
		c.mustExec(fmt.Sprintf("INSERT INTO register VALUES (%d, 0)", key))
	}
	run := &callers{cluster: c, history: newHistory(), stop: make(chan struct{})}
	for client := range count {
		run.group.Go(func() error {
			run.caller(client, entries[client%len(entries)], profile)
			return nil
		})
	}
	return run
}

// caller reads and writes until stop is closed. It reconnects after its connection is lost.
func (r *callers) caller(client, entry int, profile string) {
	random := rand.New(rand.NewPCG(uint64(client), 7))
	var conn *pgx.Conn
	defer func() {
		if conn != nil {
			_ = conn.Close(context.Background())
		}
	}()
	for n := 1; ; n++ {
		select {
		case <-r.stop:
			return
		default:
		}
		if conn == nil || conn.IsClosed() {
			var err error
			if conn, err = r.cluster.dial(entry, "-c citronusher.profile="+profile); err != nil {
				conn = nil
				time.Sleep(pollInterval)
				continue
			}
		}
		op := registerOp{key: random.IntN(registers), write: random.IntN(2) == 0, value: client*1_000_000 + n}
		r.runOperation(conn, client, op)
		time.Sleep(time.Duration(random.IntN(5)) * time.Millisecond)
	}
}

func (r *callers) runOperation(conn *pgx.Conn, client int, op registerOp) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	calledAt := r.history.now()
	if op.write {
		_, err := conn.Exec(ctx, "UPDATE register SET value = $1 WHERE key = $2", op.value, op.key)
		r.history.add(client, op, 0, calledAt, outcomeOf(err))
		return
	}
	if op.value%3 == 0 {
		r.readInTransaction(ctx, conn, client, op)
		return
	}
	value, err := readRegister(ctx, conn, op.key)
	r.history.add(client, op, value, calledAt, outcomeOf(err))
}

func readRegister(ctx context.Context, conn *pgx.Conn, key int) (value int, err error) {
	err = conn.QueryRow(ctx, "SELECT value FROM register WHERE key = $1", key).Scan(&value)
	return value, err
}

// readInTransaction reads a register twice in one transaction, each read being an operation of its own, and rolls back.
// After a failure it closes the connection.
func (r *callers) readInTransaction(ctx context.Context, conn *pgx.Conn, client int, op registerOp) {
	if _, err := conn.Exec(ctx, "BEGIN"); err != nil {
		_ = conn.Close(ctx)
		return
	}
	for range 2 {
		calledAt := r.history.now()
		value, err := readRegister(ctx, conn, op.key)
		r.history.add(client, op, value, calledAt, outcomeOf(err))
		if err != nil {
			_ = conn.Close(ctx)
			return
		}
	}
	if _, err := conn.Exec(ctx, "ROLLBACK"); err != nil {
		_ = conn.Close(ctx)
	}
}

// stopAndWait stops the callers and waits until they have ended.
func (r *callers) stopAndWait() {
	close(r.stop)
	_ = r.group.Wait()
}

// waitForProgress waits until at least count more operations have run.
func (r *callers) waitForProgress(count int) {
	r.cluster.t.Helper()
	before := r.ran()
	r.cluster.waitFor("progress of the callers", func() bool { return r.ran() >= before+count })
}

func (r *callers) ran() int {
	r.history.mu.Lock()
	defer r.history.mu.Unlock()
	return r.history.outcomes[ran]
}
