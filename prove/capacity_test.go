package prove

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"golang.org/x/sync/errgroup"

	"citronusher.example/citronusher/profile"
)

const (
	ticksPerSecond     = 100 // clock ticks of the processor times in /proc
	kilobyte           = 1024
	observationWindow  = 10 * time.Second
	settleDelay        = 60 * time.Second // the connections opened at startup become idle and close
	databasesPerDaemon = 1300.0 / 830     // 1300 databases on 830 daemons, the intended deployment size
)

// cpu returns the processor time that a process has used, in seconds, or 0 when it cannot be read.
func cpu(p *process) float64 {
	body, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(body[strings.LastIndexByte(string(body), ')'):]))
	var user, system float64
	_, _ = fmt.Sscan(fields[12], &user)
	_, _ = fmt.Sscan(fields[13], &system)
	return (user + system) / ticksPerSecond
}

// memory returns the resident memory of a process in bytes, or 0 when it cannot be read.
func memory(p *process) float64 {
	body, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	_, after, _ := strings.Cut(string(body), "VmRSS:")
	var kilobytes float64
	_, _ = fmt.Sscan(after, &kilobytes)
	return kilobytes * kilobyte
}

func sum(processes []*process, measure func(*process) float64) float64 {
	total := 0.0
	for _, p := range processes {
		total += measure(p)
	}
	return total
}

// metric returns the value of a counter or gauge of daemon i, or 0 when the daemon does not answer.
func (c *cluster) metric(i int, name string) float64 {
	var all map[string]struct {
		Count float64 `json:"count"`
		Value float64 `json:"value"`
	}
	_ = json.Unmarshal([]byte(get("http://"+c.health[i]+"/metrics")), &all)
	return all[name].Count + all[name].Value
}

// BenchmarkControl runs daemons without callers, with as many databases per daemon as at the intended deployment
// size. It reports the network traffic, processor time and memory of one idle daemon, and the time until an edit is active
// at every daemon.
func BenchmarkControl(b *testing.B) {
	for _, daemons := range []int{6, 12, 24, 48} {
		b.Run(fmt.Sprintf("daemons=%d", daemons), func(b *testing.B) {
			r := newRelays()
			c := newCluster(b, clusterOptions{
				daemons: daemons, databases: int(float64(daemons) * databasesPerDaemon), homes: 3, relays: r, connections: 100_000,
			})
			time.Sleep(settleDelay)
			before := map[string]int64{}
			for _, role := range []string{"target", "peer", "platform"} {
				before[role] = r.bytes(role)
			}
			used := sum(c.daemons, cpu)
			time.Sleep(observationWindow)
			seconds := observationWindow.Seconds() * float64(daemons)
			for role, bytes := range before {
				b.ReportMetric(float64(r.bytes(role)-bytes)/seconds, role+"-B/s")
			}
			b.ReportMetric((sum(c.daemons, cpu)-used)/seconds*100, "%cpu")
			b.ReportMetric(sum(c.daemons, memory)/float64(daemons)/kilobyte/kilobyte, "MB")
			var latencies []time.Duration
			for i := range 5 {
				editedAt := time.Now()
				c.edit(i, profile.PartProfile, "shop", fmt.Sprintf(`{"replica": true, "age": "%ds"}`, i+1))
				for d := range c.daemons {
					c.waitFor("the edited version", func() bool { return c.metric(d, "config.version") >= float64(c.version) })
				}
				latencies = append(latencies, time.Since(editedAt))
			}
			b.ReportMetric(slices.Max(latencies).Seconds(), "s-in-force-worst")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkCallers opens idle caller connections and reports the memory and processor time of each.
func BenchmarkCallers(b *testing.B) {
	c := newCluster(b, clusterOptions{daemons: 1})
	const count = 2000
	before := memory(c.daemons[0])
	for range count {
		conn, err := c.dial(0, "")
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() { _ = conn.Close(context.Background()) })
	}
	idle := memory(c.daemons[0])
	b.ReportMetric((idle-before)/count/kilobyte, "KB/idle-caller")
	used := cpu(c.daemons[0])
	time.Sleep(observationWindow)
	b.ReportMetric((cpu(c.daemons[0])-used)/observationWindow.Seconds()/count*1e6, "us-cpu/s/idle-caller")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkStatement reports the processor time of a statement, summed over all daemons. It covers statements whose entry
// is the home and statements forwarded over one hop, read from a replica and from the primary with a confirmation round.
func BenchmarkStatement(b *testing.B) {
	c := newCluster(b, clusterOptions{daemons: 2, homes: 1})
	home := 0
	if out, _ := c.runOperator(0, "route", "explain", database, "stale"); strings.Contains(out, "home 1: d2") {
		home = 1
	}
	for _, path := range []string{"home", "hop"} {
		entry := home
		if path == "hop" {
			entry = 1 - home
		}
		for _, name := range []string{"stale", "fresh"} {
			b.Run(path+"/"+name, func(b *testing.B) {
				runStatements(b, c, entry, name, 2000) // warms up: prepares statements and opens connections
				used := sum(c.daemons, cpu)
				runStatements(b, c, entry, name, b.N)
				b.ReportMetric((sum(c.daemons, cpu)-used)/float64(b.N)*1e6, "us-cpu/op")
			})
		}
	}
}

// runStatements runs about count statements, divided among a few concurrent callers.
func runStatements(b *testing.B, c *cluster, entry int, name string, count int) {
	b.Helper()
	const callers = 8
	var group errgroup.Group
	conns := make([]*pgx.Conn, callers)
	for i := range conns {
		conns[i] = c.mustDial(entry, "-c citronusher.profile="+name)
	}
	b.ResetTimer()
	for i := range conns {
		group.Go(func() error {
			for range count/callers + 1 {
				if _, err := conns[i].Exec(context.Background(), "SELECT $1", 1); err != nil {
					return err
				}
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		b.Fatal(err)
	}
	b.StopTimer()
}

// BenchmarkTransaction reports the time of a transaction of three reads at its home, each confirmed, by callers beside each
// other: what one caller waits for, the processor time of it, summed over all daemons, and the confirmation rounds.
func BenchmarkTransaction(b *testing.B) {
	c := newCluster(b, clusterOptions{daemons: 2, homes: 1})
	home := c.firstHome()
	for _, callers := range []int{1, 4, 12} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			runTransactionsOf(b, c, home, callers, callers) // warms up: opens connections
			used, rounds := sum(c.daemons, cpu), c.metric(home, "confirm.rounds")
			startedAt := time.Now()
			count := runTransactionsOf(b, c, home, callers, b.N)
			each := time.Since(startedAt) * time.Duration(callers) / time.Duration(count)
			b.ReportMetric(float64(each.Microseconds()), "us-caller/op")
			b.ReportMetric((sum(c.daemons, cpu)-used)/float64(count)*1e6, "us-cpu/op")
			b.ReportMetric((c.metric(home, "confirm.rounds")-rounds)/float64(count), "rounds/op")
		})
	}
}

// runTransactionsOf runs count transactions or a few more, divided among concurrent callers, and returns how many.
func runTransactionsOf(b *testing.B, c *cluster, entry, callers, count int) int {
	b.Helper()
	conns := make([]*pgx.Conn, callers)
	for i := range conns {
		conns[i] = c.mustDial(entry, "")
	}
	each := (count + callers - 1) / callers
	var group errgroup.Group
	b.ResetTimer()
	for i := range conns {
		group.Go(func() error {
			for range each {
				for _, sql := range []string{"BEGIN", "SELECT 1", "SELECT 2", "SELECT 3", "COMMIT"} {
					if _, err := conns[i].Exec(context.Background(), sql); err != nil {
						return err
					}
				}
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		b.Fatal(err)
	}
	b.StopTimer()
	return each * callers
}

// measureWriteGap runs a writer through every entry, injects the failure, and returns the longest time between two
// consecutive acknowledged writes.
func measureWriteGap(b *testing.B, c *cluster, fail func()) time.Duration {
	b.Helper()
	var group errgroup.Group
	stop := make(chan struct{})
	acked := make([][]time.Time, len(c.entries))
	for i := range c.entries {
		group.Go(func() error {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return nil
				default:
				}
				if c.exec(i, "", fmt.Sprintf("INSERT INTO gap VALUES (%d)", n)) == nil {
					acked[i] = append(acked[i], time.Now())
				}
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	time.Sleep(time.Second)
	fail()
	time.Sleep(6 * time.Second)
	close(stop)
	_ = group.Wait()
	all := slices.Concat(acked...)
	slices.SortFunc(all, func(a, b time.Time) int { return a.Compare(b) })
	worst := time.Duration(0)
	for i := 1; i < len(all); i++ {
		worst = max(worst, all[i].Sub(all[i-1]))
	}
	return worst
}

// BenchmarkFailoverGap reports how long no write is acknowledged after a failure of the primary. Use -benchtime=20x for
// the distribution over twenty runs, each with a new cluster.
func BenchmarkFailoverGap(b *testing.B) {
	for name, fail := range map[string]func(c *cluster, primary int){
		"kill":   func(c *cluster, primary int) { c.members[primary].kill(b) },
		"freeze": func(c *cluster, primary int) { c.members[primary].signal(b, syscall.SIGSTOP) },
		"cut":    func(c *cluster, primary int) { c.controlMember(primary, "cut=all") },
		"kill-with-first-home": func(c *cluster, primary int) {
			c.daemons[c.firstHome()].kill(b)
			c.members[primary].kill(b)
		},
	} {
		b.Run(name, func(b *testing.B) {
			var gaps []time.Duration
			for b.Loop() {
				c := newCluster(b, clusterOptions{daemons: 3, homes: 3})
				c.mustExec("CREATE TABLE gap (n INTEGER)")
				primary := c.primary()
				gaps = append(gaps, measureWriteGap(b, c, func() { fail(c, primary) }))
				for _, p := range slices.Concat(c.daemons, c.members, []*process{c.platform}) {
					p.kill(b)
				}
			}
			slices.Sort(gaps)
			b.ReportMetric(gaps[len(gaps)/2].Seconds(), "s-median")
			b.ReportMetric(gaps[0].Seconds(), "s-least")
			b.ReportMetric(gaps[len(gaps)-1].Seconds(), "s-worst")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// firstHome returns the index of the daemon that is the first home of the database.
func (c *cluster) firstHome() int {
	out, _ := c.runOperator(0, "route", "explain", database, "report")
	for i := range c.daemons {
		if strings.Contains(out, "home 1: "+daemonName(i)) {
			return i
		}
	}
	return 0
}
