// Package soak runs daemons of the users' platform as separate processes before stand-ins, injects faults that a seed
// draws, and checks the promises from what callers and members see: a write that was told done is committed once, one
// that was told not run is not, none is committed twice or acknowledged by a superseded primary, and no read lacks a
// write that its route promises.
package soak

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"citronusher.example/citronusher/standin/users"
)

const (
	groupName  = "group"
	members    = 3
	staleLimit = 2500 // milliseconds
	stmtLimit  = 1500 // milliseconds
	startLimit = 20 * time.Second
	healSpan   = 3 * time.Second // without faults before the last checks
	pollPause  = 5 * time.Millisecond
)

// ErrBroken reports that a promise was broken.
var ErrBroken = errors.New("promise broken")

// Options say what to run.
type Options struct {
	Daemon      string        `help:"The citronusherd program." required:""`
	Seed        uint64        `help:"The first seed." default:"1"`
	Seeds       int           `help:"How many seeds to play." default:"1"`
	Span        time.Duration `help:"How long faults are injected for each seed." default:"15s"`
	Daemons     int           `help:"Daemons before the group." default:"5"`
	Connections int           `help:"Connections that each member takes." default:"4"`
	Callers     int           `help:"Sessions that write and read." default:"10"`
	Logs        string        `help:"Folder for the daemons' logs; a new one when empty." default:""`
}

// Run plays the seeds one after the other and tells about each on out. Its error wraps ErrBroken when a promise was.
func Run(options Options, out io.Writer) error {
	var errs []error
	for i := range options.Seeds {
		seed := options.Seed + uint64(i) //nolint:gosec // a count is not negative
		report, err := Play(options, seed)
		if err != nil {
			errs = append(errs, fmt.Errorf("seed %d: %w", seed, err))
		}
		fmt.Fprintf(out, "seed %d: %s\n", seed, report)
	}
	return errors.Join(errs...)
}

// Report counts what callers were told.
type Report struct {
	Done, NotRun, Unknown, Reads, Promotions int
	Faults                                   []Fault
	Broken                                   []string
	Logs                                     string
}

// String formats the report in one line, and a line for each broken promise.
func (r Report) String() string {
	text := fmt.Sprintf("%d faults, %d promotions; writes: %d done, %d not run, %d unknown; %d reads; logs in %s",
		len(r.Faults), r.Promotions, r.Done, r.NotRun, r.Unknown, r.Reads, r.Logs)
	for _, b := range r.Broken {
		text += "\n  broken: " + b
	}
	return text
}

// run is one seed in progress.
type run struct {
	options  Options
	platform *users.Platform
	group    *users.Group
	daemons  []*process
	stop     atomic.Bool

	mu     sync.Mutex
	broken []string
	acked  map[string]int // the newest acknowledged value of each item
}

// Play plays one seed.
func Play(options Options, seed uint64) (Report, error) {
	r := &run{options: options, acked: map[string]int{}}
	logs := options.Logs
	if logs == "" {
		var err error
		if logs, err = os.MkdirTemp("", "soak"); err != nil {
			return Report{}, fmt.Errorf("logs: %w", err)
		}
	}
	logs = filepath.Join(logs, fmt.Sprintf("seed-%d", seed))
	if err := r.start(logs); err != nil {
		return Report{Logs: logs}, errors.Join(err, r.close())
	}
	faults := Draw(rand.New(rand.NewPCG(seed, seed)), options.Span, options.Daemons) //nolint:gosec // a seed repeats it
	callers := make([]*caller, options.Callers)
	var tasks errgroup.Group
	for i := range callers {
		callers[i] = newCaller(r, i, seed)
		tasks.Go(func() error { callers[i].work(); return nil })
	}
	injected := r.inject(faults)
	time.Sleep(healSpan)
	served := r.awaitServed()
	r.stop.Store(true)
	err := errors.Join(injected, served, tasks.Wait())
	report := r.check(callers)
	report.Faults, report.Logs = faults, logs
	if len(report.Broken) > 0 {
		err = errors.Join(err, fmt.Errorf("%w: %d times", ErrBroken, len(report.Broken)))
	}
	return report, errors.Join(err, r.close())
}

// start starts the stand-ins and the daemons and waits until each daemon serves.
func (r *run) start(logs string) error {
	if err := os.MkdirAll(logs, 0o700); err != nil {
		return fmt.Errorf("logs: %w", err)
	}
	r.platform = users.New(users.Options{
		Slots: 3, Connections: r.options.Connections, Lag: 3 * time.Millisecond, //nolint:mnd // a small group
		Promotion: 300 * time.Millisecond, Work: time.Millisecond, //nolint:mnd // as little as the platform takes
	})
	var err error
	if r.group, err = r.platform.AddGroup(groupName, members); err != nil {
		return err
	}
	r.platform.Route("fresh", "primary", groupName, 0, stmtLimit)
	r.platform.Route("own", "read_your_writes", groupName, staleLimit, stmtLimit)
	for i := range r.options.Daemons {
		p, err := newProcess(r.options.Daemon, fmt.Sprintf("d%d", i+1), r.platform.Address(), logs)
		if err != nil {
			return err
		}
		r.daemons = append(r.daemons, p)
		if err := p.start(); err != nil {
			return err
		}
	}
	return r.awaitServed()
}

// awaitServed waits until every daemon serves a write.
func (r *run) awaitServed() error {
	deadline := time.Now().Add(startLimit)
	for _, d := range r.daemons {
		for !serves(d.entry) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%w: daemon %s serves no write", ErrBroken, d.name)
			}
			time.Sleep(pollPause)
		}
	}
	return nil
}

func serves(entry string) bool {
	c, err := users.Call(entry, "fresh", "probe")
	if err != nil {
		return false
	}
	defer c.Close()
	a, err := c.Say("WRITE probe 1")
	return err == nil && a.Code == ""
}

func (r *run) breaks(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, fmt.Sprintf(format, args...))
}

// check compares what callers were told with what the members committed.
func (r *run) check(callers []*caller) Report {
	report := Report{Promotions: len(r.platform.Orders())}
	for _, c := range callers {
		report.Done += len(c.done)
		report.NotRun += len(c.notRun)
		report.Unknown += len(c.unknown)
		report.Reads += c.reads
		r.require(c.done, 1, 1)
		r.require(c.notRun, 0, 0)
		r.require(c.unknown, 0, 1)
		for _, id := range c.done {
			if r.group.Superseded(id) {
				r.breaks("write %s was told done, and a superseded primary committed it", id)
			}
		}
	}
	orders := r.platform.Orders()
	for i := 1; i < len(orders); i++ {
		before, order := orders[i-1], orders[i]
		if order.Token < before.Token || order.Token == before.Token && order.Holder != before.Holder {
			r.breaks("promotion %+v after %+v", order, before)
		}
	}
	report.Broken = r.broken
	return report
}

// require requires that each write was committed so often.
func (r *run) require(ids []string, low, high int) {
	for _, id := range ids {
		if count := r.group.Commits(id); count < low || count > high {
			r.breaks("write %s was committed %d times, expected %d to %d", id, count, low, high)
		}
	}
}

func (r *run) close() error {
	var errs []error
	for _, d := range r.daemons {
		errs = append(errs, d.kill())
	}
	if r.platform != nil {
		r.platform.Close()
	}
	return errors.Join(errs...)
}
