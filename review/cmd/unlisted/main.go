//go:build review

// Command unlisted plays planned stops of one daemon whose last call to the store is performed late, each followed by a
// partition of the primary from some daemons. It checks ONE and STALE.
package main

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/review/lab"
	"citronusher.example/citronusher/route"
)

const (
	daemons     = 13
	connections = 195
	grace       = 6 * time.Second
	late        = 3 * time.Second        // the store performs the call this long after it was sent
	restart     = 300 * time.Millisecond // between the end of a process and its next start
	promotion   = 300 * time.Millisecond
	lag         = 50 * time.Millisecond
	cutTime     = 5 * time.Second
	cutCount    = 5 // daemons, a share of 0.38
	budget      = 95 * time.Second
	group       = "ledger"
)

type fleetCase struct {
	r         *lab.Record
	platform  *lab.Platform
	group     *lab.Group
	fleet     map[string]*lab.Daemon
	proxy     *lab.StoreProxy
	settings  lab.Settings // of the daemon that is stopped
	cut       []string     // the daemons from which the primary is partitioned
	partition bool         // it is
	mu        sync.Mutex   // guards fleet
	acked     atomic.Int64 // the newest write to the item "route" that was acknowledged
	one       atomic.Int64
	writes    atomic.Int64
	stale     atomic.Int64
	reads     atomic.Int64
	done      chan struct{}
	once      sync.Once
}

func main() { lab.Main(play) }

func play(r *lab.Record, folder string, trouble bool) (int, error) {
	began := time.Now()
	// TROUBLE=partition plays the partition without the lost answer.
	only := os.Getenv("TROUBLE") == "partition"
	c := &fleetCase{r: r, partition: trouble, fleet: map[string]*lab.Daemon{}, done: make(chan struct{})}
	c.platform = lab.New(lab.Options{
		Slots: 5, Connections: connections, Lag: lag, Promotion: promotion, StatementDuration: 2 * time.Millisecond,
		Processes: c.processes,
		OnPromote: func(_, member string, term uint64) { r.Say("%s leads term %d", member, term) },
	})
	defer c.platform.Close()
	var err error
	if c.group, err = c.platform.AddGroup(group, 3); err != nil {
		return lab.NotRun, err
	}
	c.platform.Route("fresh", "primary", group, 0, 1000)
	c.proxy = lab.NewStoreProxy(c.platform.Address())
	defer c.proxy.Close()
	target, writer := c.choose()
	if err := c.start(folder, target); err != nil {
		return lab.NotRun, err
	}
	defer func() {
		for _, d := range c.fleet {
			d.Stop()
		}
	}()
	var tasks sync.WaitGroup
	defer tasks.Wait()
	defer c.once.Do(func() { close(c.done) })
	tasks.Go(func() { c.write(writer, "route") })
	tasks.Go(func() { c.write(target, "order") })
	time.Sleep(14 * time.Second) // until the lists of a fleet that started together are read at their usual intervals
	for round := 1; time.Since(began) < budget-20*time.Second && c.stale.Load()+c.one.Load() == 0; round++ {
		if err := c.round(&tasks, target, round, trouble && !only); err != nil {
			return lab.NotRun, err
		}
	}
	r.Say("STALE: %d reads, %d on a log that lacked an acknowledged commit", c.reads.Load(), c.stale.Load())
	r.Say("ONE: %d acknowledged writes, %d committed at the old primary after a promotion", c.writes.Load(), c.one.Load())
	if c.stale.Load()+c.one.Load() > 0 {
		return lab.Broken, nil
	}
	return lab.Held, nil
}

func name(i int) string { return fmt.Sprintf("front-%d", i) }

func domain(i int) string { return fmt.Sprintf("zone-%d", i%4+1) }

// processes returns the ids of the daemons' processes.
func (c *fleetCase) processes() []int { return c.pids(func(string) bool { return true }) }

func (c *fleetCase) pids(include func(name string) bool) []int {
	c.mu.Lock()
	defer c.mu.Unlock()
	var pids []int
	for name, d := range c.fleet {
		if include(name) {
			pids = append(pids, d.Pid())
		}
	}
	return pids
}

// choose returns a daemon that is one of the group's homes and does not read the store for the others, and another daemon
// for the writer. It sets the daemons from which the primary is partitioned: the other homes, and further ones up to a share
// of 0.65.
func (c *fleetCase) choose() (target, writer string) {
	var list []citronusher.Instance
	for i := 1; i <= daemons; i++ {
		list = append(list, citronusher.NewInstance(name(i), "", domain(i), citronusher.InstanceLive).WithCapacity(0.4))
	}
	homes := names(route.Homes(group, list, route.HomeCount(connections, daemons, 4)))
	readers := names(route.Homes("readers", list, 3))
	for _, home := range homes[1:] {
		if !slices.Contains(readers, home) {
			target = home
		}
	}
	for _, home := range homes {
		if home != target {
			c.cut = append(c.cut, home)
		}
	}
	for _, i := range list {
		if !slices.Contains(homes, i.Name()) && len(c.cut) < cutCount {
			c.cut = append(c.cut, i.Name())
		}
	}
	c.r.Say("homes %v, readers %v; stopped: %s; the primary will be partitioned from %v", homes, readers, target, c.cut)
	return target, c.cut[0]
}

func names(list []citronusher.Instance) []string {
	var names []string
	for _, i := range list {
		names = append(names, i.Name())
	}
	return names
}

func (c *fleetCase) start(folder, target string) error {
	for i := 1; i <= daemons; i++ {
		s := lab.Settings{
			Name: name(i), Domain: domain(i), Store: c.platform.Address(), Promotion: c.platform.Address(), Cores: 0.4,
			First: true, GraceS: int(grace.Seconds()),
		}
		if s.Name == target {
			s.Store = c.proxy.Address()
			c.settings = s
		}
		d, err := lab.StartDaemon(folder, s)
		if err != nil {
			return err
		}
		c.mu.Lock()
		c.fleet[s.Name] = d
		c.mu.Unlock()
	}
	for _, d := range c.fleet {
		if err := lab.Until(d.Name+" ready", 20*time.Second, d.Ready); err != nil {
			return err
		}
	}
	return c.fleet[target].NotFirst(c.settings)
}

// write writes one number after the other to an item, each after the answer to the one before, at the entry of a daemon.
func (c *fleetCase) write(entry, item string) {
	var s *lab.Requester
	for n := int64(1); ; n++ {
		select {
		case <-c.done:
			return
		default:
		}
		if s == nil {
			var err error
			if s, err = lab.OpenSession(c.r, c.fleet[entry].Entry, "fresh", fmt.Sprintf("%s%d", item, n)); err != nil {
				time.Sleep(20 * time.Millisecond)
				continue
			}
		}
		p, err := s.Ask(fmt.Sprintf("WRITE %s %d", item, n), 2*time.Second)
		switch {
		case err != nil:
			s.Close()
			s = nil
		case p.OK():
			c.writes.Add(1)
			c.judge(p)
			if item == "route" {
				c.acked.Store(n)
			}
			time.Sleep(3 * time.Millisecond)
		default:
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// judge applies ONE to an acknowledged write.
func (c *fleetCase) judge(p lab.Reply) {
	if !c.group.Superseded(p.ID) {
		return
	}
	if c.one.Add(1) <= 5 {
		c.r.Say("ONE: write %s was committed by %s after another member had become the primary, and acknowledged", p.ID,
			strings.SplitN(p.Signature, ".", 2)[0])
	}
}

// read reads at the daemon until stop is closed, and compares each answer with what was acknowledged before it was sent.
func (c *fleetCase) read(d *lab.Daemon, label string, stop chan struct{}) {
	var s *lab.Requester
	for i := 0; ; i++ {
		select {
		case <-stop:
			if s != nil {
				s.Close()
			}
			return
		default:
		}
		if s == nil {
			var err error
			if s, err = lab.OpenSession(c.r, d.Entry, "fresh", fmt.Sprintf("%s-%d", label, i)); err != nil {
				time.Sleep(20 * time.Millisecond)
				continue
			}
		}
		before := c.acked.Load()
		p, err := s.Ask("READ route", 2*time.Second)
		switch {
		case err != nil:
			s.Close()
			s = nil
		case p.OK() && len(p.Rows) == 1:
			c.reads.Add(1)
			c.compare(p, before)
			time.Sleep(3 * time.Millisecond)
		default:
			time.Sleep(20 * time.Millisecond)
		}
	}
}

func (c *fleetCase) compare(p lab.Reply, before int64) {
	got, err := strconv.ParseInt(p.Rows[0], 10, 64)
	if err != nil || got >= before {
		return
	}
	if !c.group.Holds("route", strconv.FormatInt(before, 10)) {
		return // rolled back by a promotion
	}
	if c.stale.Add(1) <= 5 {
		c.r.Say("STALE: read %s returned %d by %s, but write %d had been acknowledged before it was sent", p.ID, got,
			strings.SplitN(p.Signature, ".", 2)[0], before)
	}
}

// round stops the daemon, starts it again, and replaces the primary.
func (c *fleetCase) round(tasks *sync.WaitGroup, target string, round int, trouble bool) error {
	d := c.fleet[target]
	performed := make(chan struct{}, 1)
	c.proxy.Performed = func(tx lab.StoreTx, status int) {
		c.r.Say("the store has performed the removal of %s from %s: %d", tx.Deletes[0].Key, tx.Deletes[0].Table, status)
		performed <- struct{}{}
	}
	c.proxy.Late = func(tx lab.StoreTx) (time.Duration, bool) {
		lose := trouble && len(tx.Deletes) == 1 && tx.Deletes[0].Key == target && tx.Deletes[0].Table == "instances"
		if lose {
			c.r.Say("the answer to the removal of %s is lost", target)
		}
		return late, lose
	}
	c.r.Say("round %d: SIGTERM to %s", round, target)
	if err := d.Terminate(grace); err != nil {
		return err
	}
	d.Await(grace)
	time.Sleep(restart)
	if err := d.Start(); err != nil {
		return err
	}
	if err := lab.Until(target+" ready", 15*time.Second, d.Ready); err != nil {
		return err
	}
	c.r.Say("%s is ready again", target)
	stop := make(chan struct{})
	tasks.Go(func() { c.read(d, fmt.Sprintf("r%d", round), stop) })
	defer close(stop)
	if trouble {
		select {
		case <-performed:
		case <-time.After(late + 5*time.Second):
			return fmt.Errorf("%w: the removal", lab.ErrTimeout)
		}
	} else {
		time.Sleep(late)
	}
	primary := c.group.Primary()
	c.r.Say("partition of %s from some daemons: %t; %s is registered: %t", primary.ID(), c.partition, target,
		c.platform.HasRow("instances", "", target))
	if c.partition {
		primary.SetCut(c.pids(func(name string) bool { return slices.Contains(c.cut, name) }))
	}
	time.Sleep(cutTime)
	primary.SetCut(nil)
	time.Sleep(2 * time.Second)
	return nil
}
