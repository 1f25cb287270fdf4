package prove

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5"
)

// localPort is the first port of the local system in this test. No other test takes these ports: they lie above those of
// freePort and of the soak, and below those that the kernel assigns to outgoing connections.
const localPort = "32100"

// local runs the script ./local with a verb and returns its output.
func local(t *testing.T, folder, verb string) string {
	t.Helper()
	cmd := exec.Command("./local", verb) //nolint:noctx // the script ends on its own
	cmd.Dir = ".."
	cmd.Env = append(os.Environ(), "CITRONUSHER_PORT="+localPort, "CITRONUSHER_LOCAL="+folder)
	out, err := cmd.CombinedOutput()
	if err != nil {
		logLastLines(t, folder)
		t.Fatalf("./local %s: %v\n%s", verb, err, out)
	}
	return string(out)
}

// logLastLines logs the end of what each process of the local system has written.
func logLastLines(t *testing.T, folder string) {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(folder, "*.log"))
	if err != nil {
		t.Error(err)
	}
	for _, path := range paths {
		body, err := os.ReadFile(path)
		if err != nil {
			t.Error(err)
		}
		t.Logf("--- %s ---\n%s", filepath.Base(path), tail(string(body)))
	}
}

// TestLocal guards the script ./local: it starts the local system, runs statements through every entry, kills one daemon,
// runs statements through the others, and checks that `down` leaves no process running.
func TestLocal(t *testing.T) {
	folder := t.TempDir()
	stopped := false
	t.Cleanup(func() {
		if !stopped {
			local(t, folder, "down")
		}
	})
	out := local(t, folder, "up")
	var entries []string
	for _, line := range strings.Split(out, "\n") {
		if entry, ok := strings.CutPrefix(line, "entry="); ok {
			entries = append(entries, entry)
		}
	}
	if len(entries) != 6 || strings.Count(out, "member=guide-") != 9 {
		t.Fatalf("output:\n%s", out)
	}
	ctx := context.Background()
	for i, entry := range entries {
		url := fmt.Sprintf("postgres://caller:caller@%s/guide-%d?sslmode=disable", entry, i%3+1)
		conn, err := pgx.Connect(ctx, url)
		if err != nil {
			t.Fatal(err)
		}
		runEachStatementKind(ctx, t, conn, i)
		_ = conn.Close(ctx)
	}
	killDaemon(t, folder, "d6")
	for i, entry := range entries[:5] {
		conn, err := pgx.Connect(ctx, fmt.Sprintf("postgres://caller:caller@%s/guide-%d?sslmode=disable", entry, i%3+1))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := conn.Exec(ctx, "SELECT 1"); err != nil {
			t.Errorf("statement through %s after a daemon was killed: %v", entry, err)
		}
		_ = conn.Close(ctx)
	}
	local(t, folder, "down")
	stopped = true
	for _, line := range processes(t) {
		if strings.Contains(line, folder) {
			t.Errorf("process still running after down: %s", line)
		}
	}
}

// runEachStatementKind runs simple and prepared statements, a commit and a rollback, and checks the resulting rows.
func runEachStatementKind(ctx context.Context, t *testing.T, conn *pgx.Conn, i int) {
	t.Helper()
	table := fmt.Sprintf("route%d", i)
	steps := []func() error{
		func() error { return exec1(ctx, conn, "CREATE TABLE "+table+" (id INTEGER PRIMARY KEY, grade TEXT)") },
		func() error { return exec1(ctx, conn, "INSERT INTO "+table+" VALUES ($1, $2)", 1, "6a") },
		func() error { return exec1(ctx, conn, "INSERT INTO "+table+" VALUES ($1, $2)", 2, "7b") },
		func() error {
			return pgx.BeginFunc(ctx, conn, func(tx pgx.Tx) error {
				_, err := tx.Exec(ctx, "UPDATE "+table+" SET grade = $1 WHERE id = $2", "6b", 1)
				return err
			})
		},
		func() error { return conn.Ping(ctx) }, // sends a statement that is only a comment
		func() error { return exec1(ctx, conn, "BEGIN") },
		func() error { return exec1(ctx, conn, "DELETE FROM "+table) },
		func() error { return exec1(ctx, conn, "ROLLBACK") },
		func() error { return exec1(ctx, conn, "SET citronusher.profile = 'stale'") },
	}
	for n, step := range steps {
		if err := step(); err != nil {
			t.Fatalf("entry %d, step %d: %v", i, n, err)
		}
	}
	var grade string
	if err := conn.QueryRow(ctx, "SELECT grade FROM "+table+" WHERE id = $1", 1).Scan(&grade); err != nil || grade != "6b" {
		t.Errorf("entry %d: grade %q, %v", i, grade, err)
	}
	var count int
	if err := conn.QueryRow(ctx, "SELECT count(*) FROM "+table).Scan(&count); err != nil || count != 2 {
		t.Errorf("entry %d: %d rows, %v", i, count, err)
	}
}

func exec1(ctx context.Context, conn *pgx.Conn, sql string, args ...any) error {
	_, err := conn.Exec(ctx, sql, args...)
	return err
}

func killDaemon(t *testing.T, folder, name string) {
	t.Helper()
	pid, err := os.ReadFile(folder + "/" + name + ".pid")
	if err != nil {
		t.Fatal(err)
	}
	var number int
	_, _ = fmt.Sscan(string(pid), &number)
	process, err := os.FindProcess(number)
	if err != nil {
		t.Fatal(err)
	}
	if err := process.Kill(); err != nil {
		t.Fatal(err)
	}
}

// processes returns the command lines of all processes.
func processes(t *testing.T) []string {
	t.Helper()
	entries, err := os.ReadDir("/proc")
	if err != nil {
		t.Fatal(err)
	}
	var lines []string
	for _, entry := range entries {
		body, err := os.ReadFile("/proc/" + entry.Name() + "/cmdline")
		if err == nil && len(body) > 0 {
			lines = append(lines, strings.ReplaceAll(string(body), "\x00", " "))
		}
	}
	return lines
}
