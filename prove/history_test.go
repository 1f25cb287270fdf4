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

const checkLimit = 60 * time.Second // for the checker, in each test

// registerOp is one operation on a register.
type registerOp struct {
	key   int
	write bool
	value int
}

// registerModel is a set of registers, checked key by key. A read that failed returned -1 and says nothing.
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

// history records operations of concurrent callers.
type history struct {
	mu         sync.Mutex
	startedAt  time.Time
	operations []porcupine.Operation
	tally      map[outcome]int
}

func newHistory() *history { return &history{startedAt: time.Now(), tally: map[outcome]int{}} }

func (h *history) now() int64 { return time.Since(h.startedAt).Nanoseconds() }

// add records one operation. An unknown write may take effect at any later time; what did not run is left out.
func (h *history) add(client int, op registerOp, output int, calledAt int64, o outcome) {
	returnedAt := h.now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tally[o]++
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

// check verifies that the history is linearizable. A failing history is drawn into a file.
func (h *history) check(t *testing.T) bool {
	t.Helper()
	h.mu.Lock()
	defer h.mu.Unlock()
	result, info := porcupine.CheckOperationsVerbose(registerModel, h.operations, checkLimit)
	t.Logf("history: %d operations, told: %d ran, %d not run, %d unknown: %s", len(h.operations), h.tally[ran],
		h.tally[notRun], h.tally[unknown], result)
	if result == porcupine.Illegal {
		folder := os.Getenv("CITRONUSHER_RESULTS")
		if folder == "" {
			folder = t.TempDir()
		}
		path := filepath.Join(folder, filepath.Base(t.Name())+".html")
		_ = porcupine.VisualizePath(registerModel, info, path)
		t.Logf("picture: %s", path)
	}
	return result == porcupine.Ok
}

// callers runs concurrent callers that read and write registers through every entry until stop is closed.
type callers struct {
	cluster *cluster
	history *history
	group   errgroup.Group
	stop    chan struct{}
}

const registers = 4

// startCallers creates the registers and starts count callers with seeds of their own.
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

// caller reads and writes until stop is closed. It connects anew after a broken connection.
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
				time.Sleep(waitPause)
				continue
			}
		}
		op := registerOp{key: random.IntN(registers), write: random.IntN(2) == 0, value: client*1_000_000 + n}
		r.operate(conn, client, op)
		time.Sleep(time.Duration(random.IntN(5)) * time.Millisecond)
	}
}

func (r *callers) operate(conn *pgx.Conn, client int, op registerOp) {
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	calledAt := r.history.now()
	if op.write {
		_, err := conn.Exec(ctx, "UPDATE register SET value = $1 WHERE key = $2", op.value, op.key)
		r.history.add(client, op, 0, calledAt, outcomeOf(err))
		return
	}
	var value int
	err := conn.QueryRow(ctx, "SELECT value FROM register WHERE key = $1", op.key).Scan(&value)
	r.history.add(client, op, value, calledAt, outcomeOf(err))
}

// finish stops the callers and waits for them.
func (r *callers) finish() {
	close(r.stop)
	_ = r.group.Wait()
}

// awaitProgress waits until some operations ran after the call.
func (r *callers) awaitProgress(count int) {
	r.cluster.t.Helper()
	before := r.ran()
	r.cluster.await("progress of the callers", func() bool { return r.ran() >= before+count })
}

func (r *callers) ran() int {
	r.history.mu.Lock()
	defer r.history.mu.Unlock()
	return r.history.tally[ran]
}
