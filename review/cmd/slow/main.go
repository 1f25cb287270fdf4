//go:build review

// Command slow plays a short partition of the primary from some daemons while the platform is slow to carry out
// promotions. It checks ONE and STALE.
package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"citronusher.example/citronusher/review/lab"
)

// The figures of kcg-hq: 6 daemons, 2 slots, 16 connections, replicas 8 ms behind, 1,000 ms a promote.
const (
	daemons   = 6
	cutCount  = 2                       // a share of 0.33
	cutTime   = 5 * time.Second         // at most; it ends when a promotion is requested
	slowness  = 3500 * time.Millisecond // by which the platform is late with a promotion
	promotion = time.Second
	group     = "guide"
)

type slowCase struct {
	r        *lab.Record
	platform *lab.Platform
	group    *lab.Group
	fleet    []*lab.Daemon
	done     chan struct{}
	acked    [daemons]atomic.Int64 // the newest acknowledged write of each writer
	writes   atomic.Int64
	one      atomic.Int64
	reads    atomic.Int64
	stale    atomic.Int64
}

func main() { lab.Main(play) }

func play(r *lab.Record, folder string, trouble bool) (int, error) {
	c := &slowCase{r: r, done: make(chan struct{})}
	c.platform = lab.New(lab.Options{
		Slots: 2, Connections: 16, Lag: 8 * time.Millisecond, Promotion: promotion, StatementDuration: 2 * time.Millisecond,
		Processes: c.pids, OnPromote: func(_, member string, term uint64) { r.Say("%s leads term %d", member, term) },
	})
	defer c.platform.Close()
	var err error
	if c.group, err = c.platform.AddGroup(group, 3); err != nil {
		return lab.NotRun, err
	}
	c.platform.Route("reports", "primary", group, 0, 800)
	defer func() {
		for _, d := range c.fleet {
			d.Stop()
		}
	}()
	for i := range daemons {
		d, err := lab.StartDaemon(folder, lab.Settings{
			Name: fmt.Sprintf("front-%d", i+1), Domain: fmt.Sprintf("zone-%d", i%4+1), Store: c.platform.Address(),
			Promotion: c.platform.Address(), Cores: 0.4, First: true, GraceS: 6,
		})
		if err != nil {
			return lab.NotRun, err
		}
		c.fleet = append(c.fleet, d)
	}
	for _, d := range c.fleet {
		if err := lab.Until(d.Name+" ready", 20*time.Second, d.Ready); err != nil {
			return lab.NotRun, err
		}
	}
	var tasks sync.WaitGroup
	for i := range c.fleet {
		tasks.Go(func() { c.write(i) })
		tasks.Go(func() { c.read(i) })
	}
	time.Sleep(5 * time.Second)
	// TROUBLE=cut plays the partition with a platform that is not slow.
	for round := 0; round < 3 && trouble && c.one.Load()+c.stale.Load() == 0; round++ {
		if err := c.round(os.Getenv("TROUBLE") != "cut"); err != nil {
			r.Say("%v", err)
		}
	}
	time.Sleep(2 * time.Second)
	close(c.done)
	tasks.Wait()
	r.Say("STALE: %d reads, %d on a log that lacked an acknowledged commit", c.reads.Load(), c.stale.Load())
	r.Say("ONE: %d acknowledged writes, %d committed at the old primary after a promotion", c.writes.Load(), c.one.Load())
	if c.stale.Load()+c.one.Load() > 0 {
		return lab.Broken, nil
	}
	return lab.Held, nil
}

func (c *slowCase) pids() []int {
	var pids []int
	for _, d := range c.fleet {
		pids = append(pids, d.Pid())
	}
	return pids
}

// round partitions the primary from some daemons until one of them has requested a promotion.
func (c *slowCase) round(slow bool) error {
	primary, before := c.group.Primary(), len(c.platform.PromotionRequests())
	if slow {
		c.platform.SlowPromotions(slowness)
	}
	defer c.platform.SlowPromotions(0)
	c.r.Say("%s is partitioned from %d of %d daemons; the platform is slow: %t", primary.ID(), cutCount, daemons, slow)
	primary.SetCut(c.pids()[:cutCount])
	defer primary.SetCut(nil)
	if err := lab.Until("a promotion request", cutTime, func() bool { return len(c.platform.PromotionRequests()) > before }); err != nil {
		return err
	}
	primary.SetCut(nil)
	q := c.platform.PromotionRequests()[before]
	c.r.Say("%s has requested the promotion of %s with token %d; the partition has ended", q.Holder, q.Member, q.Token)
	time.Sleep(slowness + promotion + 3*time.Second)
	return nil
}

func (c *slowCase) over() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

// write writes one number after the other to an item of its own, each after the answer to the one before.
func (c *slowCase) write(i int) {
	var s *lab.Requester
	for n := int64(1); !c.over(); n++ {
		if s == nil {
			var err error
			if s, err = lab.OpenSession(c.r, c.fleet[i].Entry, "reports", fmt.Sprintf("w%d_%d", i, n)); err != nil {
				time.Sleep(20 * time.Millisecond)
				continue
			}
		}
		p, err := s.Ask(fmt.Sprintf("WRITE route%d %d", i, n), 2*time.Second)
		switch {
		case err != nil:
			s.Close()
			s = nil
		case p.OK():
			c.writes.Add(1)
			if c.group.Superseded(p.ID) && c.one.Add(1) <= 5 {
				c.r.Say("ONE: write %s was committed by %s after another member had become the primary, and acknowledged", p.ID,
					strings.SplitN(p.Signature, ".", 2)[0])
			}
			c.acked[i].Store(n)
			time.Sleep(10 * time.Millisecond)
		default:
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// read reads the item of the next daemon's writer, and compares the answer with what was acknowledged before.
func (c *slowCase) read(i int) {
	var s *lab.Requester
	w := (i + 1) % daemons
	for n := 0; !c.over(); n++ {
		if s == nil {
			var err error
			if s, err = lab.OpenSession(c.r, c.fleet[i].Entry, "reports", fmt.Sprintf("r%d_%d", i, n)); err != nil {
				time.Sleep(20 * time.Millisecond)
				continue
			}
		}
		before := c.acked[w].Load()
		p, err := s.Ask(fmt.Sprintf("READ route%d", w), 2*time.Second)
		if err != nil {
			s.Close()
			s = nil
			continue
		}
		if !p.OK() || len(p.Rows) != 1 {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		c.reads.Add(1)
		got, err := strconv.ParseInt(p.Rows[0], 10, 64)
		lacks := err == nil && got < before && c.group.Holds(fmt.Sprintf("route%d", w), strconv.FormatInt(before, 10))
		if lacks && c.stale.Add(1) <= 5 {
			c.r.Say("STALE: read %s returned %d by %s, but write %d had been acknowledged before it was sent", p.ID, got,
				strings.SplitN(p.Signature, ".", 2)[0], before)
		}
		time.Sleep(10 * time.Millisecond)
	}
}
