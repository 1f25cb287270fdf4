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
	ticksPerSecond = 100 // of the processor times in /proc
	kilobyte       = 1024
	observeFor     = 10 * time.Second
	settleFor      = 60 * time.Second // for the connections of the start to become idle and close
	perDaemon      = 1300.0 / 830     // databases for each daemon at the target's size
)

// cpu returns the processor seconds that a process has used.
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

// memory returns the resident bytes of a process.
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

func sum(processes []*process, of func(*process) float64) float64 {
	total := 0.0
	for _, p := range processes {
		total += of(p)
	}
	return total
}

// metric returns one counter of a daemon.
func (c *cluster) metric(i int, name string) float64 {
	var all map[string]struct {
		Count float64 `json:"count"`
		Value float64 `json:"value"`
	}
	_ = json.Unmarshal([]byte(get("http://"+c.health[i]+"/metrics")), &all)
	return all[name].Count + all[name].Value
}

// BenchmarkControl runs daemons without callers, with as many databases for each as at the target's size, and reports
// what control costs one daemon, and how long an edit takes to be in force everywhere.
func BenchmarkControl(b *testing.B) {
	for _, daemons := range []int{6, 12, 24, 48} {
		b.Run(fmt.Sprintf("daemons=%d", daemons), func(b *testing.B) {
			r := newRelays()
			c := newCluster(b, shape{
				daemons: daemons, databases: int(float64(daemons) * perDaemon), homes: 3, relays: r, connections: 100_000,
			})
			time.Sleep(settleFor)
			before := map[string]int64{}
			for _, role := range []string{"target", "peer", "platform"} {
				before[role] = r.bytes(role)
			}
			used := sum(c.daemons, cpu)
			time.Sleep(observeFor)
			seconds := observeFor.Seconds() * float64(daemons)
			for role, bytes := range before {
				b.ReportMetric(float64(r.bytes(role)-bytes)/seconds, role+"-B/s")
			}
			b.ReportMetric((sum(c.daemons, cpu)-used)/seconds*100, "%cpu")
			b.ReportMetric(sum(c.daemons, memory)/float64(daemons)/kilobyte/kilobyte, "MB")
			var spans []time.Duration
			for i := range 5 {
				editedAt := time.Now()
				c.edit(i, profile.PartProfile, "shop", fmt.Sprintf(`{"replica": true, "age": "%ds"}`, i+1))
				for d := range c.daemons {
					c.await("the version", func() bool { return c.metric(d, "config.version") >= float64(c.version) })
				}
				spans = append(spans, time.Since(editedAt))
			}
			b.ReportMetric(slices.Max(spans).Seconds(), "s-in-force-worst")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkCallers opens idle connections of callers and reports the memory of each.
func BenchmarkCallers(b *testing.B) {
	c := newCluster(b, shape{daemons: 1})
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
	time.Sleep(observeFor)
	b.ReportMetric((cpu(c.daemons[0])-used)/observeFor.Seconds()/count*1e6, "us-cpu/s/idle-caller")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkStatement reports the processor time of a statement in all daemons, with its home in the entry and one hop
// away, read from a replica and from the primary with its confirmation.
func BenchmarkStatement(b *testing.B) {
	c := newCluster(b, shape{daemons: 2, homes: 1})
	home := 0
	if out, _ := c.operate(0, "route", "explain", database, "stale"); strings.Contains(out, "home 1: d2") {
		home = 1
	}
	for _, where := range []string{"home", "hop"} {
		entry := home
		if where == "hop" {
			entry = 1 - home
		}
		for _, name := range []string{"stale", "fresh"} {
			b.Run(where+"/"+name, func(b *testing.B) {
				runStatements(b, c, entry, name, 2000) // prepares statements and opens connections
				used := sum(c.daemons, cpu)
				runStatements(b, c, entry, name, b.N)
				b.ReportMetric((sum(c.daemons, cpu)-used)/float64(b.N)*1e6, "us-cpu/op")
			})
		}
	}
}

// runStatements shares count statements among a few callers.
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

// gap runs a writer through every entry and returns the time from the last write acknowledged before the failure to the
// first one after it.
func gap(b *testing.B, c *cluster, fail func()) time.Duration {
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

// BenchmarkFailoverGap reports how long no write is acknowledged after the primary is lost. Use -benchtime=20x for a
// distribution of twenty runs, each with a cluster of its own.
func BenchmarkFailoverGap(b *testing.B) {
	for name, fail := range map[string]func(c *cluster, primary int){
		"kill":   func(c *cluster, primary int) { c.members[primary].kill(b) },
		"freeze": func(c *cluster, primary int) { c.members[primary].signal(b, syscall.SIGSTOP) },
		"cut":    func(c *cluster, primary int) { c.fault(primary, "cut=all") },
		"kill-with-first-home": func(c *cluster, primary int) {
			c.daemons[c.firstHome()].kill(b)
			c.members[primary].kill(b)
		},
	} {
		b.Run(name, func(b *testing.B) {
			var gaps []time.Duration
			for b.Loop() {
				c := newCluster(b, shape{daemons: 3, homes: 3})
				c.mustExec("CREATE TABLE gap (n INTEGER)")
				primary := c.primary()
				gaps = append(gaps, gap(b, c, func() { fail(c, primary) }))
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

// firstHome returns the index of the first home of the database.
func (c *cluster) firstHome() int {
	out, _ := c.operate(0, "route", "explain", database, "report")
	for i := range c.daemons {
		if strings.Contains(out, "home 1: "+daemonName(i)) {
			return i
		}
	}
	return 0
}
