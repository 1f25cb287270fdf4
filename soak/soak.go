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
	membersPerGroup = 3
	maxListed       = 20 // violations that a report lists
	startTimeout    = 20 * time.Second
	recoveryWindow  = 3 * time.Second // time without faults before the final checks
	pollInterval    = 5 * time.Millisecond
)

var errOption = errors.New("invalid option")

// ErrViolation reports that a guarantee was violated or that a daemon did not serve writes in time.
var ErrViolation = errors.New("guarantee violated")

// Options configure a run.
type Options struct {
	Daemon      string        `help:"The citronusherd program." required:""`
	Seed        uint64        `help:"The first seed." default:"1"`
	Seeds       int           `help:"Number of seeds to run." default:"1"`
	Span        time.Duration `help:"Duration of fault injection for each seed." default:"15s"`
	Size        string        `help:"The deployment: small or ledger." default:"small"`
	Kinds       []Kind        `help:"Kinds of faults to draw, separated by commas. Default: those of the size."`
	Promotion   time.Duration `help:"Time that a promotion takes. Default: that of the size."`
	Groups      int           `help:"Number of database groups. Default: that of the size."`
	Pace        time.Duration `help:"Maximum pause of a caller between two operations. Default: that of the size."`
	Daemons     int           `help:"Number of daemons. Default: that of the size."`
	Connections int           `help:"Maximum number of connections to each member. Default: that of the size."`
	Callers     int           `help:"Number of concurrent callers. Default: that of the size."`
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

// String formats the report as one line, followed by a line for each of the first violated guarantees.
func (r Report) String() string {
	text := fmt.Sprintf("%d faults, %d promotions; writes: %d done, %d not run, %d unknown; %d reads; logs in %s",
		len(r.Faults), r.Promotions, r.Done, r.NotRun, r.Unknown, r.Reads, r.Logs)
	for _, b := range r.Violations[:min(maxListed, len(r.Violations))] {
		text += "\n  broken: " + b
	}
	if len(r.Violations) > maxListed {
		text += fmt.Sprintf("\n  broken: %d more", len(r.Violations)-maxListed)
	}
	return text
}

// run is one seed in progress.
type run struct {
	size     size
	platform *users.Platform
	groups   []*users.Group
	daemons  []*process
	faultLog *os.File
	stop     atomic.Bool

	mu         sync.Mutex
	violations []string
}

// RunSeed runs the faults that a seed draws and returns a report. The error wraps ErrViolation when a guarantee was
// violated.
func RunSeed(options Options, seed uint64) (Report, error) {
	s, err := sizeOf(options)
	if err != nil {
		return Report{}, err
	}
	random := rand.New(rand.NewPCG(seed, seed)) //nolint:gosec // repeatable by seed
	return runFaults(options, s, seed, DrawFaults(random, options.Span, s.faultGap, s.daemons, s.groups, s.kinds))
}

// RunFaults runs given faults, as RunSeed does with those of a seed. The seed determines what callers do.
func RunFaults(options Options, seed uint64, faults []Fault) (Report, error) {
	s, err := sizeOf(options)
	if err != nil {
		return Report{}, err
	}
	return runFaults(options, s, seed, faults)
}

func runFaults(options Options, s size, seed uint64, faults []Fault) (Report, error) {
	r := &run{size: s}
	var err error
	logs := options.Logs
	if logs == "" {
		if logs, err = os.MkdirTemp("", "soak"); err != nil {
			return Report{}, fmt.Errorf("logs: %w", err)
		}
	}
	logs = filepath.Join(logs, fmt.Sprintf("seed-%d", seed))
	if err := r.start(options.Daemon, logs); err != nil {
		return Report{Logs: logs}, errors.Join(err, r.close())
	}
	callers := make([]*caller, s.callers)
	var tasks errgroup.Group
	for i := range callers {
		callers[i] = newCaller(r, i, seed)
		tasks.Go(func() error { callers[i].runUntilStopped(); return nil })
	}
	injected := r.inject(faults)
	time.Sleep(recoveryWindow)
	serving := r.waitUntilServing()
	r.stop.Store(true)
	err = errors.Join(injected, serving, tasks.Wait(), r.awaitPromotions())
	report := r.check(callers)
	report.Faults, report.Logs = faults, logs
	if len(report.Violations) > 0 {
		err = errors.Join(err, fmt.Errorf("%w: %d violations", ErrViolation, len(report.Violations)))
	}
	return report, errors.Join(err, r.close())
}

// start starts the simulated platform, its members, the links and the daemons, and waits until every daemon serves writes.
func (r *run) start(program, logs string) error {
	if err := os.MkdirAll(logs, 0o700); err != nil {
		return fmt.Errorf("logs: %w", err)
	}
	var err error
	if r.faultLog, err = os.Create(filepath.Join(logs, "faults.log")); err != nil { //nolint:gosec // the operator chooses it
		return fmt.Errorf("logs: %w", err)
	}
	if err := r.startPlatform(); err != nil {
		return err
	}
	for i := range r.size.daemons {
		p, err := newProcess(program, fmt.Sprintf("d%d", i+1), logs)
		if err != nil {
			return err
		}
		r.daemons = append(r.daemons, p)
	}
	if err := r.connect(); err != nil {
		return err
	}
	for _, p := range r.daemons {
		if err := p.start(); err != nil {
			return err
		}
	}
	return r.waitUntilServing()
}

// startPlatform starts the platform with its groups and routes.
func (r *run) startPlatform() error {
	r.platform = users.New(r.size.platform)
	for n := range r.size.groups {
		group, err := r.platform.AddGroup(groupName(n), membersPerGroup)
		if err != nil {
			return err
		}
		r.groups = append(r.groups, group)
	}
	for n := range r.size.groups {
		for _, one := range r.size.routes {
			r.platform.Route(r.database(one, n), one.consistency, groupName(n), int(one.maxStaleness.Milliseconds()),
				r.size.timeoutMs)
		}
	}
	return nil
}

func groupName(n int) string { return fmt.Sprintf("group%d", n+1) }

// database returns the database of a route to a group.
func (r *run) database(one route, group int) string { return one.name + "-" + groupName(group) }

// logFault writes the start of a fault to the log of faults.
func (r *run) logFault(f Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.faultLog, "%s %+v\n", r.at(time.Now()), f)
}

// awaitPromotions waits until no promotion is on its way.
func (r *run) awaitPromotions() error {
	deadline := time.Now().Add(startTimeout)
	for r.platform.PendingPromotions() > 0 {
		if time.Now().After(deadline) {
			return fmt.Errorf("%w: a promotion has not taken effect within %s", ErrViolation, startTimeout)
		}
		time.Sleep(pollInterval)
	}
	return nil
}

// waitUntilServing waits until every daemon has served a write.
func (r *run) waitUntilServing() error {
	deadline := time.Now().Add(startTimeout)
	for _, d := range r.daemons {
		for n := range r.groups {
			for !acceptsWrites(d.entry, r.database(r.size.routes[0], n)) {
				if time.Now().After(deadline) {
					return fmt.Errorf("%w: daemon %s served no write to %s within %s", ErrViolation, d.name, groupName(n), startTimeout)
				}
				time.Sleep(pollInterval)
			}
		}
	}
	return nil
}

func acceptsWrites(entry, database string) bool {
	c, err := users.Dial(entry, database, "probe")
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

func (r *run) close() error {
	var errs []error
	for _, d := range r.daemons {
		errs = append(errs, d.kill())
	}
	for _, d := range r.daemons {
		errs = append(errs, d.links.close())
	}
	if r.platform != nil {
		r.platform.Close()
	}
	if r.faultLog != nil {
		errs = append(errs, r.faultLog.Close())
	}
	return errors.Join(errs...)
}
