package soak

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

// process is a daemon that runs as a separate process.
type process struct {
	program, name, entry, peer, health, settings, log string

	links links
	busy  sync.Mutex // held while a fault stops or restarts the process

	mu   sync.Mutex
	cmd  *exec.Cmd
	wait *errgroup.Group // its Wait returns when the process has exited
}

// newProcess returns a daemon without links and settings. It does not start the process.
func newProcess(program, name, folder string) (*process, error) {
	p := &process{
		program: program, name: name, settings: filepath.Join(folder, name+".json"), log: filepath.Join(folder, name+".log"),
	}
	for _, address := range []*string{&p.entry, &p.peer, &p.health} {
		var err error
		if *address, err = freePort(); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// writeSettings writes the settings file.
func (p *process) writeSettings(drain string) error {
	body := fmt.Sprintf(`{
		"protocol": "line", "name": %q, "domain": "zone", "entry": {"address": %q}, "peer": {"address": %q}, "health": %q,
		"platform": {"store": %q, "promotion": %q}, "drain": %q,
	}`, p.name, p.entry, p.peer, p.health, p.links.store.address, p.links.promotion.address, drain)
	if err := os.WriteFile(p.settings, []byte(body), 0o600); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	return nil
}

const (
	minPort         = 10000
	maxPort         = 30000 // the kernel assigns higher ports to outgoing connections
	portsPerProcess = 331   // by which the first ports of two runs with consecutive process ids differ
	maxPortAttempts = 2000
)

// portCount is the number of ports that freePort has tried.
var portCount atomic.Int64

// freePort returns a loopback address with a port on which nothing listens. It returns no port twice.
func freePort() (string, error) {
	var err error
	for range maxPortAttempts {
		port := minPort + (os.Getpid()*portsPerProcess+int(portCount.Add(1)))%(maxPort-minPort)
		address := fmt.Sprintf("127.0.0.1:%d", port)
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
	p.busy.Lock()
	defer p.busy.Unlock()
	if err := p.signal(signal); err != nil {
		return err
	}
	p.waitForExit()
	time.Sleep(downtime)
	return p.start()
}

// pause freezes the process for a time.
func (p *process) pause(duration time.Duration) error {
	p.busy.Lock()
	defer p.busy.Unlock()
	err := p.signal(syscall.SIGSTOP)
	time.Sleep(duration)
	return errors.Join(err, p.signal(syscall.SIGCONT))
}
