package prove

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"citronusher.example/citronusher/daemon"
	"citronusher.example/citronusher/settings"
	"citronusher.example/citronusher/standin/member"
	"citronusher.example/citronusher/standin/platform"
)

// The test binary runs itself as the processes of a cluster. Environment variables pass the role and its JSON spec.
const (
	roleVariable = "CITRONUSHER_ROLE"
	specVariable = "CITRONUSHER_SPEC"

	// mutantUnconfirmed makes a daemon acknowledge commits without confirming the term.
	mutantUnconfirmed = "unconfirmed"
)

// spec configures a process. Each role uses only some of the fields.
type spec struct {
	Member    member.Options           `json:"member"`
	Address   string                   `json:"address"`
	Instances []platform.InstanceEntry `json:"instances"`
	Settings  string                   `json:"settings"`
	Path      string                   `json:"path"`
	Mutant    string                   `json:"mutant"`
}

func TestMain(m *testing.M) {
	role := os.Getenv(roleVariable)
	if role == "" {
		os.Exit(m.Run())
	}
	var s spec
	if err := json.Unmarshal([]byte(os.Getenv(specVariable)), &s); err != nil {
		panic(err)
	}
	if err := runRole(role, s); err != nil {
		fmt.Fprintln(os.Stderr, role, err)
		os.Exit(1)
	}
}

// runRole runs the process of a role until SIGTERM or, for a daemon, until a drain is requested.
func runRole(role string, s spec) error {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer cancel()
	logger := slog.New(slog.NewTextHandler(os.Stderr, nil))
	switch role {
	case "member":
		s.Member.Logger = logger
		m, err := member.New(s.Member)
		if err != nil {
			return err
		}
		<-ctx.Done()
		return m.Close()
	case "platform":
		server := &http.Server{Addr: s.Address, Handler: platform.New(s.Instances), ReadHeaderTimeout: time.Second}
		context.AfterFunc(ctx, func() { _ = server.Close() })
		_ = server.ListenAndServe()
		return nil
	}
	if role == "gateway" {
		return runGateway(s.Path)
	}
	checked, err := settings.Parse([]byte(s.Settings))
	if err != nil {
		return err
	}
	var options []daemon.Option
	if s.Mutant == mutantUnconfirmed {
		options = append(options, daemon.WithoutConfirmation())
	}
	d, err := daemon.New(checked, logger, options...)
	if err != nil {
		return err
	}
	select {
	case <-ctx.Done():
	case <-d.DrainRequested():
	}
	drain, stop := context.WithTimeout(context.Background(), checked.DrainTimeout())
	defer stop()
	d.Drain(drain)
	return d.Close()
}

// process is one process of a cluster.
type process struct {
	role string
	spec spec
	log  string
	cmd  *exec.Cmd
	wait *errgroup.Group // its Wait returns when the process has exited
}

// startProcess runs the test binary in a role and writes its output to a file. At the end of the test the process is
// killed, a reported data race fails the test, and the end of the output of a failed test is logged.
func startProcess(t testing.TB, name, role string, s spec) *process {
	t.Helper()
	p := &process{role: role, spec: s, log: filepath.Join(t.TempDir(), name+".log")}
	p.start(t)
	t.Cleanup(func() {
		p.kill(t)
		body, _ := os.ReadFile(p.log)
		if at := strings.Index(string(body), "DATA RACE"); at >= 0 {
			const report = 4000 // bytes
			t.Errorf("%s: %s", name, body[at:min(len(body), at+report)])
		}
		if t.Failed() {
			t.Logf("--- %s ---\n%s", name, tail(string(body)))
		}
	})
	return p
}

func tail(text string) string {
	const lines = 40
	all := strings.Split(text, "\n")
	return strings.Join(all[max(0, len(all)-lines):], "\n")
}

func (p *process) start(t testing.TB) {
	t.Helper()
	body, err := json.Marshal(p.spec)
	if err != nil {
		t.Fatal(err)
	}
	file, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	p.cmd = exec.Command(os.Args[0]) //nolint:noctx // the test's cleanup kills it
	p.cmd.Env = append(os.Environ(), roleVariable+"="+p.role, specVariable+"="+string(body))
	p.cmd.Stdout, p.cmd.Stderr = file, file
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	p.wait = &errgroup.Group{}
	p.wait.Go(p.cmd.Wait)
}

func (p *process) signal(t testing.TB, s syscall.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil && s != syscall.SIGKILL {
		t.Logf("signal %v: %v", s, err)
	}
}

// kill sends SIGKILL and waits until the process has exited.
func (p *process) kill(t testing.TB) {
	t.Helper()
	p.signal(t, syscall.SIGKILL)
	_ = p.wait.Wait()
}

// stop sends SIGTERM and waits until the process has exited.
func (p *process) stop(t testing.TB) {
	t.Helper()
	p.signal(t, syscall.SIGTERM)
	_ = p.wait.Wait()
}

// nextPort is the number of ports that freePort has tried. The ports lie below the range that the kernel assigns to outgoing
// connections, and above those of the soak, so that nothing takes a port between its allocation and its use.
var nextPort atomic.Int32

const (
	firstPort = 30_000
	portCount = 2_000
)

// freePort returns a loopback address with a port on which nothing listens. No process is forked meanwhile: until it runs
// its program, it would keep the listener open.
func freePort(t testing.TB) string {
	t.Helper()
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	for range 1000 {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort.Add(1)%portCount)
		listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
		if err == nil {
			_ = listener.Close()
			return address
		}
	}
	t.Fatal("no free port")
	return ""
}
