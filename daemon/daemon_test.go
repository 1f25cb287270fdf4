package daemon_test

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"go.uber.org/goleak"

	"citronusher.example/citronusher/daemon"
	"citronusher.example/citronusher/operator"
	"citronusher.example/citronusher/settings"
	"citronusher.example/citronusher/standin/member"
	"citronusher.example/citronusher/standin/platform"
)

func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// TestCloseWaits guards against goroutines that outlive Close. It runs a whole daemon in the test's process, serves a
// caller, drains and closes the daemon, and checks that no goroutine is left.
func TestCloseWaits(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	peer := freeAddress(t)
	server := httptest.NewServer(platform.New([]platform.InstanceEntry{
		{Name: "d1", Peer: peer, Domain: "oita", State: "live"},
	}))
	defer server.Close()
	defer http.DefaultClient.CloseIdleConnections()
	logger := slog.New(slog.DiscardHandler)
	m, err := member.New(member.Options{
		Name: "guide-1/1", Address: "127.0.0.1:0", Connections: 16, Slots: 2, Logger: logger,
	})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = m.Close() }()
	s, err := settings.Parse(fmt.Appendf(nil, `{
		"name": "d1", "domain": "oita", "entry": {"address": "127.0.0.1:0"}, "peer": {"address": %q},
		"health": "127.0.0.1:0", "users": {"caller": "caller"}, "target": {"user": "u"},
		"keys": {"peer": "test-peer", "operator": "test-operator"},
		"platform": {"table": "%[2]s/table", "objects": "%[2]s/objects", "list": "%[2]s/instances"},
	}`, peer, server.URL))
	if err != nil {
		t.Fatal(err)
	}
	d, err := daemon.New(s, logger)
	if err != nil {
		t.Fatal(err)
	}
	for !d.Ready() {
		time.Sleep(10 * time.Millisecond)
	}
	file := filepath.Join(t.TempDir(), "target.json")
	target := fmt.Sprintf(`{"connections": 8, "slots": 2, "members": [{"name": "m1", "address": %q, "domain": "oita"}]}`,
		m.Address())
	if err := os.WriteFile(file, []byte(target), 0o600); err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	arguments := []string{"-d", peer, "--key", "test-operator", "target", "set", "guide-1", file, "--expect", "0"}
	if err := operator.Run(arguments, &out); err != nil {
		t.Fatal(err)
	}
	ctx := context.Background()
	conn, err := pgx.Connect(ctx, "postgres://caller:caller@"+d.Entry()+"/guide-1?sslmode=disable")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Exec(ctx, "SELECT 1"); err != nil {
		t.Error(err)
	}
	d.Drain(ctx)
	if err := d.Close(); err != nil {
		t.Error(err)
	}
	_ = conn.Close(ctx)
}
