// Package soak runs daemons as separate processes against simulated members and a simulated platform, injects random
// faults that a seed determines, and compares the outcomes reported to callers with what the members committed. It checks
// these guarantees: a write reported as done is committed exactly once, a write reported as not run is not committed, no
// write is committed twice or acknowledged by a superseded primary, and every read returns the writes that its route
// guarantees.
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
	groupName          = "group"
	members            = 3
	maxStalenessMs     = 2500 // milliseconds
	statementTimeoutMs = 1500 // milliseconds
	startTimeout       = 20 * time.Second
	recoveryWindow     = 3 * time.Second // time without faults before the final checks
	pollInterval       = 5 * time.Millisecond
)

// ErrViolation reports that a guarantee was violated or that a daemon did not serve writes in time.
var ErrViolation = errors.New("guarantee violated")

// Options configure a run.
type Options struct {
	Daemon      string        `help:"The citronusherd program." required:""`
	Seed        uint64        `help:"The first seed." default:"1"`
	Seeds       int           `help:"Number of seeds to run." default:"1"`
	Span        time.Duration `help:"Duration of fault injection for each seed." default:"15s"`
	Daemons     int           `help:"Number of daemons." default:"5"`
	Connections int           `help:"Maximum number of connections to each member." default:"4"`
	Callers     int           `help:"Number of concurrent callers." default:"10"`
	Logs        string        `help:"Directory for the daemons' logs. Default: a new temporary directory." default:""`
}

// Run runs the seeds one after the other and writes a report on each to out. The returned error joins the errors of all
// seeds and wraps ErrViolation when a guarantee was violated.
func Run(options Options, out io.Writer) error {
	var errs []error
	for i := range options.Seeds {
		seed := options.Seed + uint64(i) //nolint:gosec // a count is not negative
		report, err := RunSeed(options, seed)
		if err != nil {
			errs = append(errs, fmt.Errorf("seed %d: %w", seed, err))
		}
		fmt.Fprintf(out, "seed %d: %s\n", seed, report)
	}
	return errors.Join(errs...)
}

// Report counts the outcomes reported to callers and lists the injected faults and the violated guarantees. Logs is the
// directory of the daemons' logs.
type Report struct {
	Done, NotRun, Unknown, Reads, Promotions int
	Faults                                   []Fault
	Violations                               []string
	Logs                                     string
}

// String formats the report as one line, followed by a line for each violated guarantee.
func (r Report) String() string {
	text := fmt.Sprintf("%d faults, %d promotions; writes: %d done, %d not run, %d unknown; %d reads; logs in %s",
		len(r.Faults), r.Promotions, r.Done, r.NotRun, r.Unknown, r.Reads, r.Logs)
	for _, b := range r.Violations {
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

	mu         sync.Mutex
	violations []string
	acked      map[string]int // newest acknowledged value of each item
}

// RunSeed runs one seed and returns its report. The error wraps ErrViolation when a guarantee was violated.
func RunSeed(options Options, seed uint64) (Report, error) {
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
	faults := DrawFaults(rand.New(rand.NewPCG(seed, seed)), options.Span, options.Daemons) //nolint:gosec // repeatable by seed
	callers := make([]*caller, options.Callers)
	var tasks errgroup.Group
	for i := range callers {
		callers[i] = newCaller(r, i, seed)
		tasks.Go(func() error { callers[i].runUntilStopped(); return nil })
	}
	injected := r.inject(faults)
	time.Sleep(recoveryWindow)
	serving := r.waitUntilServing()
	r.stop.Store(true)
	err := errors.Join(injected, serving, tasks.Wait())
	report := r.check(callers)
	report.Faults, report.Logs = faults, logs
	if len(report.Violations) > 0 {
		err = errors.Join(err, fmt.Errorf("%w: %d violations", ErrViolation, len(report.Violations)))
	}
	return report, errors.Join(err, r.close())
}

// start starts the simulated platform, its members and the daemons, and waits until every daemon serves writes.
func (r *run) start(logs string) error {
	if err := os.MkdirAll(logs, 0o700); err != nil {
		return fmt.Errorf("logs: %w", err)
	}
	r.platform = users.New(users.Options{
		Slots: 3, Connections: r.options.Connections, Lag: 3 * time.Millisecond, //nolint:mnd // a small group
		Promotion: 300 * time.Millisecond, StatementDuration: time.Millisecond, //nolint:mnd // the real platform's shortest times
	})
	var err error
	if r.group, err = r.platform.AddGroup(groupName, members); err != nil {
		return err
	}
	r.platform.Route("fresh", "primary", groupName, 0, statementTimeoutMs)
	r.platform.Route("own", "read_your_writes", groupName, maxStalenessMs, statementTimeoutMs)
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
	return r.waitUntilServing()
}

// waitUntilServing waits until every daemon has served a write.
func (r *run) waitUntilServing() error {
	deadline := time.Now().Add(startTimeout)
	for _, d := range r.daemons {
		for !acceptsWrites(d.entry) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%w: daemon %s served no write within %s", ErrViolation, d.name, startTimeout)
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

func acceptsWrites(entry string) bool {
	c, err := users.Dial(entry, "fresh", "probe")
	if err != nil {
		return false
	}
	defer c.Close()
	a, err := c.Query("WRITE probe 1")
	return err == nil && a.Code == ""
}

// recordViolation adds a line to the report's list of violated guarantees.
func (r *run) recordViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// check compares the outcomes reported to callers with the commits of the members. It also checks that the fencing tokens
// of the promotion requests never decrease and that no two holders use the same token.
func (r *run) check(callers []*caller) Report {
	report := Report{Promotions: len(r.platform.PromotionRequests())}
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
				r.recordViolation("write %s was reported as done, but a superseded primary committed it", id)
			}
		}
	}
	requests := r.platform.PromotionRequests()
	for i := 1; i < len(requests); i++ {
		previous, request := requests[i-1], requests[i]
		if request.Token < previous.Token || request.Token == previous.Token && request.Holder != previous.Holder {
			r.recordViolation("promotion request %+v follows %+v: token decreased or used by two holders", request, previous)
		}
	}
	report.Violations = r.violations
	return report
}

// require records a violation for each id that was committed fewer than low or more than high times.
func (r *run) require(ids []string, low, high int) {
	for _, id := range ids {
		if count := r.group.Commits(id); count < low || count > high {
			r.recordViolation("write %s was committed %d times, expected %d to %d", id, count, low, high)
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
