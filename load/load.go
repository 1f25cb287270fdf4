// Package load offers requests to a running system at arrival times that do not depend on its answers, and reports
// latencies, outcomes and throughput. It is a tool for measurements, not a test.
package load

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgxpool"
	"golang.org/x/sync/errgroup"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/profile"
)

const (
	poolSize       = 48                     // connections for each entry, database and profile
	requestLimit   = 10 * time.Second       // for one request, at the caller
	lowestLatency  = 1                      // microseconds
	highestLatency = 60_000_000             // microseconds
	digits         = 3                      // of precision
	rows           = 1000                   // of each table
	tick           = 2 * time.Millisecond   // of the arrival loop
	settleTime     = 4 * time.Second        // for the replicas to take the tables over
	reportPause    = 100 * time.Millisecond // after a failed report
)

// Options configure a run.
type Options struct {
	Entry     []string      `required:"" help:"IP:PORT of an entry; repeat for each."`
	Health    []string      `help:"IP:PORT of a daemon's metrics; repeat for each."`
	Database  []string      `required:"" help:"Database name; repeat for each."`
	User      string        `default:"caller" help:"User."`
	Password  string        `default:"caller" env:"PGPASSWORD" help:"Password."`
	Mix       string        `default:"kyushu" enum:"kyushu,levant" help:"Mix of requests."`
	Rate      float64       `default:"200" help:"Requests a second, outside the crest."`
	Crest     float64       `default:"1" help:"Factor of the rate in the middle third."`
	Duration  time.Duration `default:"15s" help:"Length of the run."`
	Reports   int           `default:"0" help:"Long reports that run at any time in each database."`
	ReportFor time.Duration `default:"2s" help:"Length of a long report."`
	Seed      uint64        `default:"1" help:"Seed of arrivals and kinds."`
	Setup     bool          `help:"Create and fill the tables first."`
	Useful    time.Duration `default:"1s" help:"A request that ran within this time counts as useful."`
	Out       string        `help:"Prefix of the report's files: PREFIX.json and PREFIX.svg."`
}

// Phase is a part of a run.
type Phase string

// The phases of a run: before, in and after the crest.
const (
	Calm  Phase = "calm"
	Crest Phase = "crest"
	After Phase = "after"
)

// Kind is one sort of request.
type Kind struct {
	name    string
	profile string
	marked  bool
	share   float64
	run     func(ctx context.Context, conn *pgxpool.Conn, random int) error
}

// mixes are shaped after the two users of the brief.
var mixes = map[string][]Kind{
	"kyushu": {
		{name: "browse", profile: profile.Stale, share: 0.86, run: readOne},
		{name: "check", profile: profile.Fresh, share: 0.05, run: readOne},
		{name: "correction", profile: profile.Never, marked: true, share: 0.04, run: writeOne},
		{name: "order", profile: profile.Never, marked: true, share: 0.05, run: readAndCommit},
	},
	"levant": {
		{name: "portal", profile: profile.Stale, share: 0.60, run: readOne},
		{name: "check", profile: profile.Fresh, share: 0.15, run: readOne},
		{name: "requisition", profile: profile.Fresh, share: 0.12, run: writeOne},
		{name: "signature", profile: profile.Never, marked: true, share: 0.13, run: readAndCommit},
	},
}

func readOne(ctx context.Context, conn *pgxpool.Conn, random int) error {
	var value string
	return conn.QueryRow(ctx, "SELECT value FROM item WHERE id = $1", random%rows).Scan(&value)
}

func writeOne(ctx context.Context, conn *pgxpool.Conn, random int) error {
	_, err := conn.Exec(ctx, "UPDATE item SET count = count + 1 WHERE id = $1", random%rows)
	return err
}

func readAndCommit(ctx context.Context, conn *pgxpool.Conn, random int) error {
	return pgx.BeginFunc(ctx, conn, func(tx pgx.Tx) error {
		var value string
		if err := tx.QueryRow(ctx, "SELECT value FROM item WHERE id = $1", random%rows).Scan(&value); err != nil {
			return err
		}
		_, err := tx.Exec(ctx, "UPDATE item SET count = count + 1 WHERE id = $1", random%rows)
		return err
	})
}

// reportKind is the name of the long reports.
const reportKind = "report"

// poolKey names one of the runner's connection pools.
type poolKey struct{ entry, database, profile string }

// Runner carries out one run.
type Runner struct {
	options   Options
	startedAt time.Time
	pools     map[poolKey]*pgxpool.Pool
	group     errgroup.Group

	mu      sync.Mutex
	results map[Phase]map[string]*tally
	series  []point
}

// tally gathers the requests of one kind in one phase.
type tally struct {
	outcomes  map[string]int
	reasons   map[string]int
	useful    int                     // ran within the useful time
	latencies *hdrhistogram.Histogram // of requests that ran, from their arrival time, in microseconds
	refusals  *hdrhistogram.Histogram // of requests that did not run
}

func newTally() *tally {
	return &tally{
		outcomes: map[string]int{}, reasons: map[string]int{},
		latencies: hdrhistogram.New(lowestLatency, highestLatency, digits),
		refusals:  hdrhistogram.New(lowestLatency, highestLatency, digits),
	}
}

// New returns a runner.
func New(options Options) *Runner {
	return &Runner{options: options, pools: map[poolKey]*pgxpool.Pool{}, results: map[Phase]map[string]*tally{}}
}

// Run opens the connections, offers the requests and returns the report.
func (r *Runner) Run(ctx context.Context) (Report, error) {
	defer r.closePools()
	kinds := mixes[r.options.Mix]
	if err := r.openPools(ctx, kinds); err != nil {
		return Report{}, err
	}
	if r.options.Setup {
		if err := r.setUp(ctx); err != nil {
			return Report{}, err
		}
	}
	before := r.metrics(ctx)
	r.startedAt = time.Now()
	endAt := r.startedAt.Add(r.options.Duration)
	for i := range r.options.Reports * len(r.options.Database) {
		database := r.options.Database[i%len(r.options.Database)]
		r.group.Go(func() error { r.report(ctx, database, i, endAt); return nil })
	}
	r.arrive(ctx, kinds, endAt)
	_ = r.group.Wait()
	return r.newReport(before, r.metrics(ctx)), nil
}

func (r *Runner) openPools(ctx context.Context, kinds []Kind) error {
	names := map[string]bool{profile.Report: true}
	for _, k := range kinds {
		names[k.profile] = true
	}
	for _, entry := range r.options.Entry {
		for _, database := range r.options.Database {
			for name := range names {
				config, err := pgxpool.ParseConfig(fmt.Sprintf(
					"postgres://%s@%s/%s?sslmode=disable&pool_max_conns=%d&pool_min_conns=2", r.options.User, entry, database,
					poolSize))
				if err != nil {
					return fmt.Errorf("entry %s: %w", entry, err)
				}
				config.ConnConfig.Password = r.options.Password
				config.ConnConfig.RuntimeParams["options"] = "-c citronusher.profile=" + name
				config.ConnConfig.RuntimeParams["application_name"] = "load-" + name
				pool, err := pgxpool.NewWithConfig(ctx, config)
				if err != nil {
					return fmt.Errorf("entry %s: %w", entry, err)
				}
				r.pools[poolKey{entry, database, name}] = pool
			}
		}
	}
	return nil
}

func (r *Runner) closePools() {
	for _, pool := range r.pools {
		pool.Close()
	}
}

// setUp creates the tables and waits until the replicas hold them.
func (r *Runner) setUp(ctx context.Context) error {
	for _, database := range r.options.Database {
		pool := r.pools[poolKey{r.options.Entry[0], database, profile.Fresh}]
		fill := fmt.Sprintf("INSERT INTO item WITH RECURSIVE n(i) AS (SELECT 0 UNION ALL SELECT i + 1 FROM n WHERE i < %d) "+
			"SELECT i, 'item ' || i, 0 FROM n", rows-1)
		create := "CREATE TABLE IF NOT EXISTS item (id INTEGER PRIMARY KEY, value TEXT, count INTEGER)"
		for _, sql := range []string{create, "DELETE FROM item", fill} {
			if _, err := pool.Exec(ctx, sql); err != nil {
				return fmt.Errorf("set up %s: %w", database, err)
			}
		}
	}
	time.Sleep(settleTime)
	return nil
}

// rate returns the requests a second at the given time of the run.
func (r *Runner) rate(elapsed time.Duration) (float64, Phase) {
	third := r.options.Duration / 3
	switch {
	case elapsed < third:
		return r.options.Rate, Calm
	case elapsed < 2*third:
		return r.options.Rate * r.options.Crest, Crest
	default:
		return r.options.Rate, After
	}
}

// arrive offers requests at random times of the asked rate.
func (r *Runner) arrive(ctx context.Context, kinds []Kind, endAt time.Time) {
	random := rand.New(rand.NewPCG(r.options.Seed, 0)) //nolint:gosec // arrivals need no secrecy
	arriveAt := r.startedAt
	for n := 0; ; n++ {
		rate, phase := r.rate(arriveAt.Sub(r.startedAt))
		arriveAt = arriveAt.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		if arriveAt.After(endAt) || ctx.Err() != nil {
			return
		}
		kind := pick(kinds, random.Float64())
		entry := r.options.Entry[random.IntN(len(r.options.Entry))]
		database := r.options.Database[random.IntN(len(r.options.Database))]
		value := random.IntN(1 << 30)
		if wait := time.Until(arriveAt); wait > tick {
			time.Sleep(wait)
		}
		at := arriveAt
		r.group.Go(func() error {
			r.request(ctx, kind, poolKey{entry, database, kind.profile}, value, at, phase)
			return nil
		})
	}
}

func pick(kinds []Kind, share float64) Kind {
	for _, k := range kinds {
		if share -= k.share; share < 0 {
			return k
		}
	}
	return kinds[0]
}

// request runs one request and counts it. Its latency begins when it arrived, not when it was sent.
func (r *Runner) request(ctx context.Context, k Kind, key poolKey, value int, arrivedAt time.Time, phase Phase) {
	ctx, cancel := context.WithDeadline(ctx, arrivedAt.Add(requestLimit))
	defer cancel()
	conn, err := r.pools[key].Acquire(ctx)
	if err == nil {
		if k.marked {
			_, err = conn.Exec(ctx, fmt.Sprintf("SET citronusher.request = 'load-%d-%d'", arrivedAt.UnixNano(), value))
		}
		if err == nil {
			err = k.run(ctx, conn, value)
		}
		conn.Release()
	}
	r.count(k.name, phase, time.Since(arrivedAt), err)
}

// report keeps one long report running until endAt.
func (r *Runner) report(ctx context.Context, database string, i int, endAt time.Time) {
	entry := r.options.Entry[i%len(r.options.Entry)]
	for time.Now().Before(endAt) && ctx.Err() == nil {
		startedAt := time.Now()
		_, phase := r.rate(startedAt.Sub(r.startedAt))
		_, err := r.pools[poolKey{entry, database, profile.Report}].Exec(ctx,
			fmt.Sprintf("SELECT pg_sleep(%.3f), count(*) FROM item", r.options.ReportFor.Seconds()))
		r.count(reportKind, phase, time.Since(startedAt), err)
		if err != nil {
			time.Sleep(reportPause)
		}
	}
}

// outcomeOf returns the outcome and the reason that the proxy gave.
func outcomeOf(err error) (outcome, reason string) {
	var answer *pgconn.PgError
	switch {
	case err == nil:
		return citronusher.Ran.String(), ""
	case !errors.As(err, &answer):
		return "caller gave up", "client"
	case strings.HasPrefix(answer.Detail, "outcome: "):
		text, reason, _ := strings.Cut(strings.TrimPrefix(answer.Detail, "outcome: "), "; reason: ")
		return text, reason
	default:
		return "target error", answer.Code
	}
}

func (r *Runner) count(kind string, phase Phase, latency time.Duration, err error) {
	outcome, reason := outcomeOf(err)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.results[phase] == nil {
		r.results[phase] = map[string]*tally{}
	}
	t := r.results[phase][kind]
	if t == nil {
		t = newTally()
		r.results[phase][kind] = t
	}
	t.outcomes[outcome]++
	if reason != "" {
		t.reasons[reason]++
	}
	if err == nil {
		_ = t.latencies.RecordValue(latency.Microseconds())
		if latency <= r.options.Useful {
			t.useful++
		}
	} else {
		_ = t.refusals.RecordValue(latency.Microseconds())
	}
	r.series = append(r.series, point{
		at: time.Since(r.startedAt), latency: latency, failed: err != nil, long: kind == reportKind,
	})
}
