//go:build review

// Command drain plays a planned stop of one daemon while read-only transactions are open. It checks LOST.
package main

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"

	"citronusher.example/citronusher/review/lab"
)

// The figures of almandine-po, kind status-lookup: GraceS 6, LossSlackMs 200, TimeoutMs 2,000, 3 slots, 34 connections,
// replicas 20 ms behind, 1,000 ms a promote. A statement takes 250 ms (at most 360 there); a transaction has 12.
const (
	daemons    = 6
	sessions   = 4
	grace      = 6 * time.Second
	work       = 250 * time.Millisecond
	rest       = 50 * time.Millisecond
	statements = 12
	timeout    = 2 * time.Second
)

type run struct{ began, ended time.Time }

type observed struct {
	mu   sync.Mutex
	runs map[string]run
}

func (o *observed) onRun(r *lab.Record) func(member, id, text string, end bool) {
	return func(member, id, text string, end bool) {
		o.mu.Lock()
		defer o.mu.Unlock()
		entry := o.runs[id]
		if end {
			entry.ended = time.Now()
			r.Line("member %s has run %s %s", member, id, text)
		} else {
			entry.began = time.Now()
			r.Line("member %s runs %s %s", member, id, text)
		}
		o.runs[id] = entry
	}
}

func main() { lab.Main(play) }

func play(r *lab.Record, folder string, trouble bool) (int, error) {
	seen := &observed{runs: map[string]run{}}
	platform := lab.New(lab.Options{
		Slots: 3, Connections: 34, Lag: 20 * time.Millisecond, Promotion: time.Second, StatementDuration: time.Millisecond,
		IdleMillis: 3000, OnRun: seen.onRun(r), Work: func(text string) time.Duration {
			if strings.Contains(text, "READ long") {
				return work
			}
			return 5 * time.Millisecond
		},
	})
	defer platform.Close()
	if _, err := platform.AddGroup("ledger", 3); err != nil {
		return lab.NotRun, err
	}
	platform.Route("approvals", "primary", "ledger", 0, 1000)
	platform.Route("status", "bounded_staleness", "ledger", 1500, int(timeout.Milliseconds()))
	var fleet []*lab.Daemon
	defer func() {
		for _, d := range fleet {
			d.Stop()
		}
	}()
	for i := range daemons {
		d, err := lab.StartDaemon(folder, lab.Settings{
			Name: fmt.Sprintf("front-%d", i+1), Domain: fmt.Sprintf("levant-%d", i%3+1), Store: platform.Address(),
			Promotion: platform.Address(), Cores: 0.4, First: true, GraceS: int(grace.Seconds()),
		})
		if err != nil {
			return lab.NotRun, err
		}
		fleet = append(fleet, d)
	}
	for _, d := range fleet {
		if err := lab.Until(d.Name+" ready", 20*time.Second, d.Ready); err != nil {
			return lab.NotRun, err
		}
	}
	writer, err := lab.OpenSession(r, fleet[1].Entry, "approvals", "w")
	if err != nil {
		return lab.NotRun, err
	}
	for i := range 200 { // positions of the primary, so that replicas may serve reads
		if _, err := writer.Ask(fmt.Sprintf("WRITE long v%d", i), 3*time.Second); err != nil {
			return lab.NotRun, err
		}
		time.Sleep(5 * time.Millisecond)
	}
	return stopOne(r, fleet[0], seen, trouble)
}

func stopOne(r *lab.Record, d *lab.Daemon, seen *observed, trouble bool) (int, error) {
	var open []*lab.Requester
	for i := range sessions {
		s, err := lab.OpenSession(r, d.Entry, "status", fmt.Sprintf("s%d", i+1))
		if err != nil {
			return lab.NotRun, err
		}
		defer s.Close()
		open = append(open, s)
	}
	stoppedAt := time.Now()
	var stop sync.WaitGroup
	if trouble {
		r.Say("SIGTERM to %s, SIGKILL after %s", d.Name, grace)
		if err := d.Signal(syscall.SIGTERM); err != nil {
			return lab.NotRun, err
		}
		stop.Go(func() {
			if !d.Await(grace) {
				_ = d.Signal(syscall.SIGKILL) // it may have ended meanwhile
			}
			r.Line("%s has ended", d.Name)
		})
	}
	var tasks sync.WaitGroup
	var mu sync.Mutex
	broken, complete := 0, 0
	for i, s := range open {
		tasks.Go(func() {
			time.Sleep(1900*time.Millisecond + time.Duration(i)*70*time.Millisecond)
			lost, done := transaction(r, s, seen, stoppedAt)
			mu.Lock()
			defer mu.Unlock()
			if lost {
				broken++
			}
			if done {
				complete++
			}
		})
	}
	tasks.Wait()
	stop.Wait()
	r.Say("%d transactions, %d complete, %d lost a request", sessions, complete, broken)
	if !trouble && complete < sessions {
		r.Say("not every transaction was complete without the stop")
		return lab.NotRun, nil
	}
	if broken > 0 {
		return lab.Broken, nil
	}
	return lab.Held, nil
}

// transaction plays one read-only transaction. lost reports whether LOST is broken for one of its requests.
func transaction(r *lab.Record, s *lab.Requester, seen *observed, stoppedAt time.Time) (lost, complete bool) {
	texts := []string{"BEGIN READ"}
	for range statements {
		texts = append(texts, "READ long")
	}
	for _, text := range append(texts, "COMMIT") {
		p, err := s.Ask(text, 10*time.Second)
		if errors.Is(err, lab.ErrEnded) {
			return judge(r, p, seen, stoppedAt), false
		}
		if !p.OK() {
			r.Say("%s: sent %.2f s after the SIGTERM, answered %.2f s after it with %s", p.ID,
				p.SentAt.Sub(stoppedAt).Seconds(), p.EndedAt.Sub(stoppedAt).Seconds(), p.Code)
			return false, false
		}
		time.Sleep(rest)
	}
	return false, true
}

// judge applies LOST to a request whose connection ended without a complete answer.
func judge(r *lab.Record, p lab.Reply, seen *observed, stoppedAt time.Time) bool {
	seen.mu.Lock()
	entry, ran := seen.runs[p.ID]
	seen.mu.Unlock()
	sent, ended := p.SentAt.Sub(stoppedAt), p.EndedAt.Sub(stoppedAt)
	r.Say("%s %q: sent %.2f s after the SIGTERM, passed on: %t, connection ended %.2f s after the SIGTERM", p.ID, p.Text,
		sent.Seconds(), ran, ended.Seconds())
	atWork := ran && (entry.ended.IsZero() || entry.ended.Sub(stoppedAt) > grace-grace/6)
	switch {
	case sent < 0 || ended > grace+time.Second:
		return false
	case ended-sent >= timeout:
		return false // the route's timeout was reached
	case atWork && sent <= 3*time.Second:
		return false // excused by the rule
	default:
		return ran || ended-sent > 200*time.Millisecond
	}
}
