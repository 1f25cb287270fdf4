package soak

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"citronusher.example/citronusher/standin/users"
)

const listedPromotions = 3 // with a violation

// groupCheck holds what one group acknowledged and what its members hold of it.
type groupCheck struct {
	run     *run
	group   *users.Group
	history users.History
	acks    []ack // whose commits are in the history, in the order of their acknowledgements
	newest  []ack // for each of them, the one among it and those before it that needs most of the history
}

func (r *run) newGroupCheck(n int, callers []*caller) *groupCheck {
	g := &groupCheck{run: r, group: r.groups[n], history: r.groups[n].History()}
	for _, c := range callers {
		if c.group != n {
			continue
		}
		for _, a := range c.all {
			if g.history.Place(a.id) > 0 {
				g.acks = append(g.acks, a)
			}
		}
	}
	slices.SortFunc(g.acks, func(a, b ack) int { return a.at.Compare(b.at) })
	for i, a := range g.acks {
		if i > 0 && g.history.Place(g.newest[i-1].id) > g.history.Place(a.id) {
			a = g.newest[i-1]
		}
		g.newest = append(g.newest, a)
	}
	return g
}

// required returns the acknowledged commit that needs most of the history among those acknowledged before a time.
func (g *groupCheck) required(before time.Time) (ack, bool) {
	count := sort.Search(len(g.acks), func(i int) bool { return !g.acks[i].at.Before(before) })
	if count == 0 {
		return ack{}, false
	}
	return g.newest[count-1], true
}

// checkRead records a violation for a read that ran on a log that lacks a commit which its route guarantees. Commits that a
// promotion rolled back do not count; a log may hold writes of unknown outcome that a member ran late.
func (g *groupCheck) checkRead(r read) {
	ran, ok := g.group.Run(r.signature)
	if !ok || ran.Rows != r.rows {
		g.run.recordViolation("MIXED: read %s of route %s at %s returned %q with signature %s, the member %q",
			r.id, r.route.name, r.daemon, r.rows, r.signature, ran.Rows)
		return
	}
	reached := g.history.Reached(ran)
	bound := r.firstAt
	if r.route.consistency != consistencyPrimary {
		bound = bound.Add(-r.route.maxStaleness)
	}
	needed, ok := g.required(bound)
	if r.route.consistency == consistencyOwn {
		for _, a := range r.own {
			if g.history.Place(a.id) > g.history.Place(needed.id) {
				needed, ok = a, true
			}
		}
	}
	if ok && reached < g.history.Place(needed.id) {
		g.run.recordViolation("STALE: %s", g.describe(r, ran, needed))
	}
}

// describe returns the events of a stale read with their times.
func (g *groupCheck) describe(r read, ran users.Run, lacking ack) string {
	at, commit := g.run.at, g.group.Commit(lacking.id)
	return fmt.Sprintf("read %s of route %s (%s) at %s: first byte %s, ran %s at %s, term %d, position %s, answered %s; "+
		"lacks %s, committed %s at %s, position %d.%d, acknowledged %s at %s%s",
		r.id, r.route.name, r.route.consistency, r.daemon, at(r.firstAt), at(ran.At), ran.Member, ran.Term, ran.Position,
		at(r.answeredAt), lacking.id, at(commit.At), commit.Member, commit.Term, commit.Number, at(lacking.at), lacking.daemon,
		g.promotions(r.answeredAt))
}

// checkAck records a violation for an acknowledged commit of a member while another one was the primary of a later term.
func (g *groupCheck) checkAck(a ack) {
	if !g.group.Superseded(a.id) {
		return
	}
	commit := g.group.Commit(a.id)
	g.run.recordViolation("ONE: %s committed %s at superseded %s, position %d.%d, acknowledged %s at %s%s",
		a.id, g.run.at(commit.At), commit.Member, commit.Term, commit.Number, g.run.at(a.at), a.daemon, g.promotions(a.at))
}

// promotions lists the last promotions of the group that were requested before a time.
func (g *groupCheck) promotions(before time.Time) string {
	list := slices.DeleteFunc(g.group.Promotions(), func(p users.Promotion) bool { return p.RequestedAt.After(before) })
	text := ""
	for _, p := range list[max(0, len(list)-listedPromotions):] {
		text += fmt.Sprintf("; %s leads term %d from %s, requested %s", p.Member, p.Term, g.run.at(p.At), g.run.at(p.RequestedAt))
	}
	return text
}

// at formats a time as the time of day, as in the daemons' logs.
func (r *run) at(t time.Time) string { return t.Format("15:04:05.000000") }

// check compares the outcomes reported to callers with the runs and commits of the members.
func (r *run) check(callers []*caller) Report {
	requests := r.platform.PromotionRequests()
	report := Report{Promotions: len(requests)}
	checks := make([]*groupCheck, len(r.groups))
	for n := range r.groups {
		checks[n] = r.newGroupCheck(n, callers)
	}
	for _, c := range callers {
		report.Done += len(c.done)
		report.NotRun += len(c.notRun)
		report.Unknown += len(c.unknown)
		report.Reads += len(c.reads)
		g := checks[c.group]
		g.require(c.done, 1, 1)
		g.require(c.notRun, 0, 0)
		g.require(c.unknown, 0, 1)
		for _, a := range c.all {
			g.checkAck(a)
		}
		for _, read := range c.reads {
			g.checkRead(read)
		}
	}
	r.checkTokens(requests)
	report.Violations = r.violations
	return report
}

// checkTokens records a violation when the fencing tokens of a group's promotion requests decrease, or two holders use the
// same token.
func (r *run) checkTokens(requests []users.PromotionRequest) {
	previous := map[string]users.PromotionRequest{}
	for _, request := range requests {
		before, ok := previous[request.Group]
		if ok && (request.Token < before.Token || request.Token == before.Token && request.Holder != before.Holder) {
			r.recordViolation("ONE: promotion request %+v follows %+v: token decreased or used by two holders", request, before)
		}
		previous[request.Group] = request
	}
}

// require records a violation for each id that was committed fewer than low or more than high times.
func (g *groupCheck) require(ids []string, low, high int) {
	for _, id := range ids {
		if count := g.group.Commits(id); count < low || count > high {
			g.run.recordViolation("OUTCOME: write %s was committed %d times, expected %d to %d", id, count, low, high)
		}
	}
}
