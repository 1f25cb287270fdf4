//go:build review

package lab

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Daemon is one daemon of the project, run as a separate process with the command of deploy/system.toml.
type Daemon struct {
	Name, Entry, Peer, Health string
	path, folder              string
	log                       *os.File

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

// Settings are the values that the platform fills into deploy/settings.json.
type Settings struct {
	Name, Domain, Store, Promotion string
	Cores                          float64
	First                          bool
	GraceS                         int
}

// The ports below those that the system gives to outgoing connections.
const (
	firstPort = 12000
	lastPort  = 32000
)

// FreePort returns a loopback address whose port is free, and which no outgoing connection takes meanwhile.
func FreePort() (string, error) {
	for range 100 {
		port := firstPort + rand.IntN(lastPort-firstPort)
		if _, taken := taken.LoadOrStore(port, true); taken {
			continue
		}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		listener, err := net.Listen("tcp", address) //nolint:noctx // test code
		if err == nil {
			return address, listener.Close()
		}
	}
	return "", errNoPort
}

var taken sync.Map // the ports that FreePort has returned

var errNoPort = errors.New("no free port")

// StartDaemon writes the settings of a daemon into folder and starts it.
func StartDaemon(folder string, s Settings) (*Daemon, error) {
	d := &Daemon{Name: s.Name, folder: folder, path: filepath.Join(folder, s.Name+".json")}
	for _, address := range []*string{&d.Entry, &d.Peer, &d.Health} {
		var err error
		if *address, err = FreePort(); err != nil {
			return nil, err
		}
	}
	if err := d.write(s); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(folder, s.Name+".log"))
	if err != nil {
		return nil, fmt.Errorf("daemon log: %w", err)
	}
	d.log = log
	return d, d.Start()
}

func (d *Daemon) write(s Settings) error {
	body := fmt.Sprintf(`{
  "protocol": "line", "name": %q, "domain": %q, "cores": %g, "first": %t,
  "entry": {"address": %q}, "health": %q, "peer": {"address": %q},
  "platform": {"store": %q, "promotion": %q}, "drain": "%ds", "log": "info"
}`, s.Name, s.Domain, s.Cores, s.First, d.Entry, d.Health, d.Peer, s.Store, s.Promotion, s.GraceS)
	if err := os.WriteFile(d.path, []byte(body), 0o600); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	return nil
}

// NotFirst rewrites the settings for every later start.
func (d *Daemon) NotFirst(s Settings) error {
	s.First = false
	return d.write(s)
}

// Start starts the process.
func (d *Daemon) Start() error {
	command := exec.Command("target/citronusherd", d.path) //nolint:noctx // ended by Stop
	command.Stdout, command.Stderr = d.log, d.log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return fmt.Errorf("daemon %s: %w", d.Name, err)
	}
	ended := make(chan struct{})
	d.mu.Lock()
	d.command, d.ended = command, ended
	d.mu.Unlock()
	go func() {
		_ = command.Wait() // how it ended does not matter here
		close(ended)
	}()
	return nil
}

// Signal sends a signal to the process.
func (d *Daemon) Signal(signal os.Signal) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.command.Process.Signal(signal)
}

// Pid returns the process id.
func (d *Daemon) Pid() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.command.Process.Pid
}

// Await waits until the process has ended, at most for timeout, and reports whether it has.
func (d *Daemon) Await(timeout time.Duration) bool {
	d.mu.Lock()
	ended := d.ended
	d.mu.Unlock()
	select {
	case <-ended:
		return true
	case <-time.After(timeout):
		return false
	}
}

// Terminate does what the platform does to stop a process: SIGTERM, and SIGKILL after the grace time.
func (d *Daemon) Terminate(grace time.Duration) error {
	if err := d.Signal(syscall.SIGTERM); err != nil {
		return fmt.Errorf("daemon %s: %w", d.Name, err)
	}
	if !d.Await(grace) {
		return d.Signal(syscall.SIGKILL)
	}
	return nil
}

// Ready reports whether the daemon answers 200 to the ready probe.
func (d *Daemon) Ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.Health+"/ready", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Stop ends the process.
func (d *Daemon) Stop() {
	_ = d.Signal(syscall.SIGKILL) // it may have ended already
	d.Await(2 * time.Second)
	_ = d.log.Close()
}

// ErrTimeout is the error of Until.
var ErrTimeout = errors.New("timed out")

// Until waits until condition holds, at most for timeout.
func Until(what string, timeout time.Duration, condition func() bool) error {
	for deadline := time.Now().Add(timeout); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			return fmt.Errorf("%w: %s", ErrTimeout, what)
		}
	}
	return nil
}
