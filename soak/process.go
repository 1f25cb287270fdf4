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

// process is a daemon that runs as a process of its own.
type process struct {
	program, name, entry, settings, log string

	mu   sync.Mutex
	cmd  *exec.Cmd
	wait *errgroup.Group // ends with the process
}

// newProcess writes the settings of a daemon before the platform at an address.
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
	portLeast = 10000
	portMost  = 30000 // the kernel takes higher ones for outgoing connections
	portTries = 100
)

// freePort returns a loopback address that nothing listens at.
func freePort() (string, error) {
	var err error
	for range portTries {
		address := fmt.Sprintf("127.0.0.1:%d", portLeast+rand.IntN(portMost-portLeast)) //nolint:gosec // any will do
		var listener net.Listener
		if listener, err = net.Listen("tcp", address); err == nil { //nolint:noctx // closed at once
			return address, listener.Close()
		}
	}
	return "", fmt.Errorf("free port: %w", err)
}

// start starts the process. Its output is added to its log.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("log: %w", err)
	}
	p.cmd = exec.Command(p.program, p.settings) //nolint:gosec,noctx // the operator names the program; kill ends it
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		return errors.Join(fmt.Errorf("start %s: %w", p.name, err), log.Close())
	}
	cmd := p.cmd
	p.wait = &errgroup.Group{}
	p.wait.Go(func() error { return errors.Join(cmd.Wait(), log.Close()) })
	return nil
}

// signal sends a signal to the process, by its id.
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

// await waits until the process has ended. How it ended does not matter: it was told to.
func (p *process) await() {
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

// kill ends the process at once and waits.
func (p *process) kill() error {
	err := errors.Join(p.signal(syscall.SIGCONT), p.signal(syscall.SIGKILL))
	p.await()
	return err
}

// restart ends the process by a signal and starts it again after a pause.
func (p *process) restart(signal syscall.Signal, pause time.Duration) error {
	if err := p.signal(signal); err != nil {
		return err
	}
	p.await()
	time.Sleep(pause)
	return p.start()
}
