package soak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

// process is a daemon that runs as a separate process.
type process struct {
	program, name, entry, settings, log string

	mu   sync.Mutex
	cmd  *exec.Cmd
	wait *errgroup.Group // its Wait returns when the process has exited
}

// newProcess writes the settings file of a daemon that uses the platform at the given address. It does not start the
// process.
func newProcess(program, name, platform, folder string) (*process, error) {
	p := &process{
		program: program, name: name, settings: filepath.Join(folder, name+".json"), log: filepath.Join(folder, name+".log"),
	}
	var ports [3]string
	for i := range ports {
		var err error
		if ports[i], err = freePort(); err != nil {
			return nil, err
		}
	}
	p.entry = ports[0]
	body := fmt.Sprintf(`{
		"protocol": "line", "name": %q, "domain": "zone", "entry": {"address": %q}, "peer": {"address": %q}, "health": %q,
		"platform": {"store": %q, "promotion": %q}, "drain": "3s",
	}`, name, ports[0], ports[1], ports[2], platform, platform)
	if err := os.WriteFile(p.settings, []byte(body), 0o600); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return p, nil
}

const (
	minPort         = 10000
	maxPort         = 30000 // the kernel assigns higher ports to outgoing connections
	maxPortAttempts = 100
)

// freePort returns a loopback address with a port on which nothing listens.
func freePort() (string, error) {
	var err error
	for range maxPortAttempts {
		address := fmt.Sprintf("127.0.0.1:%d", minPort+rand.IntN(maxPort-minPort)) //nolint:gosec // any port will do
		var listener net.Listener
		if listener, err = net.Listen("tcp", address); err == nil { //nolint:noctx // closed at once
			return address, listener.Close()
		}
	}
	return "", fmt.Errorf("find a free port: %w", err)
}

// start starts the process and appends its output to its log file.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("log: %w", err)
	}
	p.cmd = exec.Command(p.program, p.settings) //nolint:gosec,noctx // the operator chooses the program; kill ends it
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		return errors.Join(fmt.Errorf("start %s: %w", p.name, err), log.Close())
	}
	cmd := p.cmd
	p.wait = &errgroup.Group{}
	p.wait.Go(func() error { return errors.Join(cmd.Wait(), log.Close()) })
	return nil
}

// signal sends a signal to the process. It does nothing when the process was never started or has exited.
func (p *process) signal(signal syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return nil
	}
	if err := p.cmd.Process.Signal(signal); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("signal %s: %w", p.name, err)
	}
	return nil
}

// waitForExit waits until the process has exited. Its exit status is ignored because the run ends processes by signals.
func (p *process) waitForExit() {
	p.mu.Lock()
	wait := p.wait
	p.mu.Unlock()
	if wait == nil {
		return
	}
	if err := wait.Wait(); err != nil {
		return
	}
}

// kill sends SIGKILL, after SIGCONT in case the process is stopped, and waits until the process has exited.
func (p *process) kill() error {
	err := errors.Join(p.signal(syscall.SIGCONT), p.signal(syscall.SIGKILL))
	p.waitForExit()
	return err
}

// restart sends the signal, waits until the process has exited and starts it again after the downtime.
func (p *process) restart(signal syscall.Signal, downtime time.Duration) error {
	if err := p.signal(signal); err != nil {
		return err
	}
	p.waitForExit()
	time.Sleep(downtime)
	return p.start()
}
