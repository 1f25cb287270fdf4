// Package load sends requests to a running system in an open loop, that is at arrival times that do not depend on its
// answers, and reports latencies, outcomes and throughput. It is a measurement tool, not a test.
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
	poolSize          = 48                     // connections per entry, database and profile
	requestTimeout    = 10 * time.Second       // of a request, from its arrival
	minLatency        = 1                      // microseconds, of the histograms
	maxLatency        = 60_000_000             // microseconds, of the histograms
	significantDigits = 3                      // of the histograms' values
	rowsPerTable      = 1000                   // in the table "item"
	minSleep          = 2 * time.Millisecond   // shorter waits for an arrival are skipped, and the request is sent early
	replicationWait   = 4 * time.Second        // for the replicas to receive the new tables
	reportRetryDelay  = 100 * time.Millisecond // after a long report failed
)

// Options configure a run.
type Options struct {
	Entry     []string      `required:"" help:"IP:PORT of an entry; may be repeated."`
	Health    []string      `help:"IP:PORT of a daemon's metrics; may be repeated."`
	Database  []string      `required:"" help:"Database name; may be repeated."`
	User      string        `default:"caller" help:"Database user."`
	Password  string        `default:"caller" env:"PGPASSWORD" help:"Password of the user."`
	Mix       string        `default:"kyushu" enum:"kyushu,levant" help:"Request mix."`
	Rate      float64       `default:"200" help:"Requests per second, outside the load peak."`
	Crest     float64       `default:"1" help:"Factor of the rate during the load peak, the middle third of the run."`
	Duration  time.Duration `default:"15s" help:"Duration of the run."`
	Reports   int           `default:"0" help:"Number of long reports that run concurrently in each database."`
	ReportFor time.Duration `default:"2s" help:"Duration of a long report."`
	Seed      uint64        `default:"1" help:"Random seed of arrival times and request kinds."`
	Setup     bool          `help:"Create and fill the tables before the run."`
	Useful    time.Duration `default:"1s" help:"Maximum latency of a request that counts as useful."`
	Out       string        `help:"Prefix of the report files PREFIX.json and PREFIX.svg."`
}

// Phase is a third of a run.
type Phase string

// The phases of a run: before, during and after the load peak.
const (
	Calm  Phase = "calm"
	Crest Phase = "crest"
	After Phase = "after"
)

// Kind is a kind of request in a mix.
type Kind struct {
	name          string
	profile       string
	withRequestID bool    // sends a request id, which makes a repeated request safe
	share         float64 // of all requests in the mix, 0 to 1
	run           func(ctx context.Context, conn *pgxpool.Conn, random int) error
}

// mixes are the request mixes by name, modeled on two users' workloads.
var mixes = map[string][]Kind{
	"kyushu": {
		{name: "browse", profile: profile.Stale, share: 0.86, run: readOne},
		{name: "check", profile: profile.Fresh, share: 0.05, run: readOne},
		{name: "correction", profile: profile.Never, withRequestID: true, share: 0.04, run: writeOne},
		{name: "order", profile: profile.Never, withRequestID: true, share: 0.05, run: readAndCommit},
	},
	"levant": {
		{name: "portal", profile: profile.Stale, share: 0.60, run: readOne},
		{name: "check", profile: profile.Fresh, share: 0.15, run: readOne},
		{name: "requisition", profile: profile.Fresh, share: 0.12, run: writeOne},
		{name: "signature", profile: profile.Never, withRequestID: true, share: 0.13, run: readAndCommit},
	},
}

func readOne(ctx context.Context, conn *pgxpool.Conn, random int) error {
	var value string
	return conn.QueryRow(ctx, "SELECT value FROM item WHERE id = $1", random%rowsPerTable).Scan(&value)
}

func writeOne(ctx context.Context, conn *pgxpool.Conn, random int) error {
	_, err := conn.Exec(ctx, "UPDATE item SET count = count + 1 WHERE id = $1", random%rowsPerTable)
	return err
}

func readAndCommit(ctx context.Context, conn *pgxpool.Conn, random int) error {
	return pgx.BeginFunc(ctx, conn, func(tx pgx.Tx) error {
		var value string
		if err := tx.QueryRow(ctx, "SELECT value FROM item WHERE id = $1", random%rowsPerTable).Scan(&value); err != nil {
			return err
		}
		_, err := tx.Exec(ctx, "UPDATE item SET count = count + 1 WHERE id = $1", random%rowsPerTable)
		return err
	})
}

// reportKind is the kind of the long reports in the results.
const reportKind = "report"

// poolKey identifies a connection pool of the runner.
type poolKey struct{ entry, database, profile string }

// Runner executes one run.
type Runner struct {
	options   Options
	startedAt time.Time
	pools     map[poolKey]*pgxpool.Pool
	group     errgroup.Group

	mu      sync.Mutex
	results map[Phase]map[string]*kindStats
	samples []sample
}

// kindStats collects the results of the requests of one kind in one phase.
type kindStats struct {
	outcomes       map[string]int
	reasons        map[string]int
	useful         int                     // number of requests that ran within Options.Useful
	latencies      *hdrhistogram.Histogram // of requests that succeeded, from arrival, in microseconds
	errorLatencies *hdrhistogram.Histogram // of requests that returned an error, from arrival, in microseconds
}

func newKindStats() *kindStats {
	return &kindStats{
		outcomes: map[string]int{}, reasons: map[string]int{},
		latencies:      hdrhistogram.New(minLatency, maxLatency, significantDigits),
		errorLatencies: hdrhistogram.New(minLatency, maxLatency, significantDigits),
	}
}

// New returns a runner for one run with options.
func New(options Options) *Runner {
	return &Runner{options: options, pools: map[poolKey]*pgxpool.Pool{}, results: map[Phase]map[string]*kindStats{}}
}

// Run opens the connections, sends the requests until Options.Duration has passed, and returns the report. It fails if an
// entry's address is invalid or the tables cannot be created; failed requests are counted in the report.
func (r *Runner) Run(ctx context.Context) (Report, error) {
	defer r.closePools()
	kinds := mixes[r.options.Mix]
	if err := r.openPools(ctx, kinds); err != nil {
		return Report{}, err
	}
	if r.options.Setup {
		if err := r.createTables(ctx); err != nil {
			return Report{}, err
		}
	}
	before := r.fetchCounters(ctx)
	r.startedAt = time.Now()
	endAt := r.startedAt.Add(r.options.Duration)
	for i := range r.options.Reports * len(r.options.Database) {
		database := r.options.Database[i%len(r.options.Database)]
		r.group.Go(func() error { r.runReports(ctx, database, i, endAt); return nil })
	}
	r.generate(ctx, kinds, endAt)
	_ = r.group.Wait()
	return r.newReport(before, r.fetchCounters(ctx)), nil
}

// openPools creates a pool for every entry, database and profile in use.
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

// createTables creates and fills the tables, and waits for replicationWait so that the replicas can receive them.
func (r *Runner) createTables(ctx context.Context) error {
	for _, database := range r.options.Database {
		pool := r.pools[poolKey{r.options.Entry[0], database, profile.Fresh}]
		fill := fmt.Sprintf("INSERT INTO item WITH RECURSIVE n(i) AS (SELECT 0 UNION ALL SELECT i + 1 FROM n WHERE i < %d) "+
			"SELECT i, 'item ' || i, 0 FROM n", rowsPerTable-1)
		create := "CREATE TABLE IF NOT EXISTS item (id INTEGER PRIMARY KEY, value TEXT, count INTEGER)"
		for _, sql := range []string{create, "DELETE FROM item", fill} {
			if _, err := pool.Exec(ctx, sql); err != nil {
				return fmt.Errorf("create tables in database %s: %w", database, err)
			}
		}
	}
	time.Sleep(replicationWait)
	return nil
}

// rate returns the requests per second and the phase at a time since the start of the run.
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

// generate sends requests until endAt. The time between arrivals is exponentially distributed around the inverse of the
// rate.
func (r *Runner) generate(ctx context.Context, kinds []Kind, endAt time.Time) {
	random := rand.New(rand.NewPCG(r.options.Seed, 0)) //nolint:gosec // arrival times need no cryptographic randomness
	arriveAt := r.startedAt
	for n := 0; ; n++ {
		rate, phase := r.rate(arriveAt.Sub(r.startedAt))
		arriveAt = arriveAt.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		if arriveAt.After(endAt) || ctx.Err() != nil {
			return
		}
		kind := chooseKind(kinds, random.Float64())
		entry := r.options.Entry[random.IntN(len(r.options.Entry))]
		database := r.options.Database[random.IntN(len(r.options.Database))]
		value := random.IntN(1 << 30)
		if wait := time.Until(arriveAt); wait > minSleep {
			time.Sleep(wait)
		}
		at := arriveAt
		r.group.Go(func() error {
			r.request(ctx, kind, poolKey{entry, database, kind.profile}, value, at, phase)
			return nil
		})
	}
}

// chooseKind returns the kind at share, a number from 0 to 1, in the cumulative shares of kinds.
func chooseKind(kinds []Kind, share float64) Kind {
	for _, k := range kinds {
		if share -= k.share; share < 0 {
			return k
		}
	}
	return kinds[0]
}

// request runs one request and records its result. Latency is measured from the scheduled arrival, not from sending, so that
// it includes the wait for a connection.
func (r *Runner) request(ctx context.Context, k Kind, pool poolKey, value int, arrivedAt time.Time, phase Phase) {
	ctx, cancel := context.WithDeadline(ctx, arrivedAt.Add(requestTimeout))
	defer cancel()
	conn, err := r.pools[pool].Acquire(ctx)
	if err == nil {
		if k.withRequestID {
			_, err = conn.Exec(ctx, fmt.Sprintf("SET citronusher.request = 'load-%d-%d'", arrivedAt.UnixNano(), value))
		}
		if err == nil {
			err = k.run(ctx, conn, value)
		}
		conn.Release()
	}
	r.record(k.name, phase, time.Since(arrivedAt), err)
}

// runReports runs long reports one after the other until endAt.
func (r *Runner) runReports(ctx context.Context, database string, i int, endAt time.Time) {
	entry := r.options.Entry[i%len(r.options.Entry)]
	for time.Now().Before(endAt) && ctx.Err() == nil {
		startedAt := time.Now()
		_, phase := r.rate(startedAt.Sub(r.startedAt))
		_, err := r.pools[poolKey{entry, database, profile.Report}].Exec(ctx,
			fmt.Sprintf("SELECT pg_sleep(%.3f), count(*) FROM item", r.options.ReportFor.Seconds()))
		r.record(reportKind, phase, time.Since(startedAt), err)
		if err != nil {
			time.Sleep(reportRetryDelay)
		}
	}
}

// outcomeOf returns a request's outcome and reason, as the proxy reports them in the error's detail. An error without this
// detail is an error of the target; any other failure means that the caller got no answer.
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

// record adds a request's result to the statistics of its kind and phase.
func (r *Runner) record(kind string, phase Phase, latency time.Duration, err error) {
	outcome, reason := outcomeOf(err)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.results[phase] == nil {
		r.results[phase] = map[string]*kindStats{}
	}
	t := r.results[phase][kind]
	if t == nil {
		t = newKindStats()
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
		_ = t.errorLatencies.RecordValue(latency.Microseconds())
	}
	r.samples = append(r.samples, sample{
		at: time.Since(r.startedAt), latency: latency, failed: err != nil, report: kind == reportKind,
	})
}
