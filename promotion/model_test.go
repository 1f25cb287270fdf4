package promotion_test

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/lease"
	"citronusher.example/citronusher/promotion"
)

// The lease TTL is five ticks. Times are relative: when a tick passes they all move back, until none of the rules tells them
// from older ones. A request for a promotion takes effect at any time after it, within the same tick or much later.
const (
	tick     = 300 * time.Millisecond
	ttl      = int8(lease.TTL / tick)
	now      = int8(10) // the present
	expired  = now - ttl
	oldest   = expired - 1
	none     = int8(-1)
	replicas = 2 // replica 0 is the candidate
	daemons  = 2 // that use the old primary
)

// state is the model's state: daemons that use a primary of term 1, and daemons that promote a replica, one after the other.
// The old primary commits until the end. After the promotion took effect replica 1 is cut from the new primary: it reports
// term 1. An effect at any time stands for a request that is sent at any time, by a holder that was frozen before it.
type state struct {
	replicas  [replicas]replica
	daemons   [daemons]daemon
	promoter  promoter
	row       row  // what the claim's row shows
	requested bool // the promotion may take effect
	effective bool // the promotion has taken effect
	restarts  int8 // replicas that restarted
}

// row is what the claim's row shows.
type row int8

const (
	rowFree   row = iota // nobody can have replaced the primary of term 1
	rowHeld              // a daemon may be about to replace it
	rowMarked            // a promotion may have been requested
)

type replica struct {
	restarted bool
	paused    bool
	resume    bool // a request to resume that was sent late has not arrived
}

// promoter is the daemon that promotes replica 0.
type promoter struct {
	abandoned bool           // it has abandoned a promotion before the request
	paused    [replicas]bool // replicas that confirmed their pause
	pausedAt  int8           // when the last confirmation arrived; none before
	checked   [replicas]bool // replicas that were paused later than that
	released  [daemons]bool  // daemons that it takes for having released their leases
	marked    bool           // the row shows its request
}

// limits bound an exploration.
type limits struct {
	name         string
	daemons      int
	firstReplica int8 // that is asked
	restarts     int8 // replicas that restart while they are paused
	abandons     bool // a promotion may be abandoned before another
}

// Explorations that are complete within seconds. Together they contain the fault that each protection prevents.
var (
	restart   = limits{name: "restart", daemons: 1, restarts: 1}
	restarts  = limits{name: "restarts", daemons: 1, restarts: replicas}
	abandoned = limits{name: "abandoned promotion", daemons: 1, abandons: true}
	peers     = limits{name: "peers", daemons: 2, firstReplica: 1}
)

// protections can be switched off one by one, to show that the model finds the fault that each prevents.
type protections struct {
	pauseAll      bool // every replica is paused, not only one
	waitForExpiry bool // the promotion request waits until leases have expired
	countFromSend bool // leases count from when the request was sent, not from when the response arrived
	ignoreEarlier bool // a daemon that released its lease ignores responses to earlier requests

	validOnArrival bool // a status renews only a lease that is valid when it arrives
	continuous     bool // a status renews only on a connection that is older than the last renewal
	sinceClaim     bool // a status renews only on a connection that is older than a read that showed no claim
	allReports     bool // a lease begins with the statuses of all replicas, not of one
	readClaim      bool // a lease begins after a read that showed no claim
	checkPaused    bool // each replica is found paused once more after all confirmed their pause
	checkAfterWait bool // that is after the last lease was released or has expired
	waitFullTTL    bool // the wait does not count on a promotion that takes time
	refusedHolds   bool // a daemon whose machine refuses connections counts as one that did not release its lease
	markRequest    bool // the row shows a request before it is sent
	keepRequest    bool // a later holder does not go back to the old primary when the row shows a request
	keepTerm       bool // a claim has the term of the one that it replaces, or a later one
	keepClaim      bool // a later holder does not free a claim under which a promotion may have taken effect
}

func at(ticks int8) citronusher.Instant {
	return citronusher.Instant(0).Add(time.Duration(ticks) * tick)
}

// step is how a state was reached.
type step struct {
	before *state
	event  string
}

// explore visits every order of events, the shortest first. It returns the events that lead to a daemon that may use the
// old primary after the promotion took effect, and the number of states visited.
func explore(p protections, l limits) (events []string, states int) {
	first := state{promoter: promoter{pausedAt: none}}
	for d := range first.daemons {
		first.daemons[d] = newDaemon()
	}
	visited := map[state]step{first: {}}
	frontier := []state{first}
	for len(frontier) > 0 {
		var further []state
		for i := range frontier {
			s := &frontier[i]
			if s.twoPrimaries() {
				return trace(visited, *s), len(visited)
			}
			s.next(p, l, func(event string, n state) {
				if _, ok := visited[n]; !ok {
					visited[n] = step{before: s, event: event}
					further = append(further, n)
				}
			})
		}
		frontier = further
	}
	return nil, len(visited)
}

func trace(visited map[state]step, s state) []string {
	var events []string
	for reached := visited[s]; reached.before != nil; reached = visited[*reached.before] {
		events = append([]string{reached.event}, events...)
	}
	return events
}

// twoPrimaries reports whether a daemon has a valid lease on the old primary after the promotion took effect.
func (s *state) twoPrimaries() bool {
	for d := range s.daemons {
		if s.effective && s.daemons[d].valid() {
			return true
		}
	}
	return false
}

// status returns what a replica reports.
func (s *state) status(r int8) status {
	if s.effective && r == 0 {
		return status{primary: true, term: 2}
	}
	return status{term: 1, paused: s.replicas[r].paused}
}

// changer adds the state after an event if the event is possible.
type changer func(event string, possible bool, apply func(*state))

// next adds the states that any single event leads to. Suspended daemons, late messages and an unavailable store are
// events that happen later or never.
func (s *state) next(p protections, l limits, add func(string, state)) {
	change := func(event string, possible bool, apply func(*state)) {
		if possible {
			n := *s
			apply(&n)
			add(event, n)
		}
	}
	change("tick", true, func(n *state) { n.advance(p) })
	for r := range int8(replicas) {
		mayRestart := s.restarts < l.restarts && !s.replicas[r].restarted && s.replicas[r].paused
		change("replica "+digit(r)+" restarts", mayRestart, func(n *state) { n.restart(r) })
		change("late resume of replica "+digit(r), s.replicas[r].resume, func(n *state) {
			n.replicas[r].paused, n.replicas[r].resume = false, false
		})
	}
	for d := range l.daemons {
		s.daemonEvents(d, p, l, change)
	}
	if !s.effective {
		s.promoterEvents(p, l, change)
	}
	s.laterHolderEvents(p, change)
}

// digit returns a number below ten as text.
func digit(n int8) string { return string(rune('0' + n)) }

// advance lets a tick pass.
func (s *state) advance(p protections) {
	for d := range s.daemons {
		s.daemons[d].advance(p)
	}
	s.promoter.pausedAt = back(s.promoter.pausedAt, expired)
}

// back moves a time back by a tick, but not beyond floor.
func back(t, floor int8) int8 {
	if t == none {
		return none
	}
	return max(t-1, floor)
}

// resumeAll ends the pauses, as the effect of a promotion does.
func (s *state) resumeAll() {
	for r := range s.replicas {
		s.replicas[r].paused = false
	}
}

// restart makes a replica forget its pause. It breaks its connections: their requests get no response, and the daemons
// open new ones.
func (s *state) restart(r int8) {
	s.restarts++
	s.replicas[r].restarted, s.replicas[r].paused = true, false
	for i := range s.daemons {
		d := &s.daemons[i]
		d.openedAt[r] = now
		if d.request.target == r {
			d.request = request{target: none}
		}
	}
}

// laterHolderEvents adds the states after what a daemon does that claims the group after a request.
func (s *state) laterHolderEvents(p protections, change changer) {
	change("the promotion takes effect", s.requested, (*state).takeEffect)
	shown := s.row == rowMarked && p.keepRequest
	change("a later holder goes back to the old primary", s.requested && !shown, func(n *state) {
		n.row = rowFree
		n.resumeAll()
	})
	change("a later holder that knows no member claims term 0", s.requested && !p.keepTerm, func(n *state) {
		n.row = rowFree
	})
	change("a later holder frees the claim", s.effective && !p.keepClaim, func(n *state) { n.row = rowFree })
}

// takeEffect makes replica 0 the primary.
func (s *state) takeEffect() {
	s.requested, s.effective, s.promoter = false, true, promoter{pausedAt: none}
	s.resumeAll()
}

// promoterEvents adds the states after the next event of the promotion.
func (s *state) promoterEvents(p protections, l limits, change changer) {
	m := &s.promoter
	mayRequest := m.pausedAt != none && !s.requested
	for r := range int8(replicas) {
		mayPause := m.pausedAt == none && !m.paused[r] && (p.pauseAll || r == 0)
		change("claim and pause replica "+digit(r), mayPause, func(n *state) {
			n.row, n.replicas[r].paused, n.promoter.paused[r] = rowHeld, true, true
		})
		mayCheck := p.checkPaused && m.paused[r] && m.pausedAt != none && !m.checked[r] && s.replicas[r].paused
		mayCheck = mayCheck && (!p.checkAfterWait || s.leasesEnded(p, l))
		change("check replica "+digit(r), mayCheck, func(n *state) { n.promoter.checked[r] = true })
	}
	for d := range l.daemons {
		mayRefuse := !p.refusedHolds && m.pausedAt != none && !m.released[d]
		change("daemon "+strconv.Itoa(d)+" is refused", mayRefuse, func(n *state) { n.promoter.released[d] = true })
	}
	allPaused := m.paused[0] && (m.paused[1] || !p.pauseAll)
	change("all are paused", allPaused && m.pausedAt == none, func(n *state) { n.promoter.pausedAt = now })
	begun := m.paused != [replicas]bool{}
	change("abandon", l.abandons && begun && !m.abandoned && !s.requested, (*state).abandon)
	mayRequest = mayRequest && (!p.checkPaused || m.checked == m.paused) && s.leasesEnded(p, l)
	change("mark the request", mayRequest && p.markRequest && !m.marked, func(n *state) {
		n.row, n.promoter.marked = rowMarked, true
	})
	change("request", mayRequest && (m.marked || !p.markRequest), func(n *state) { n.requested = true })
}

// leasesEnded reports whether the promoter takes every lease for released or expired.
func (s *state) leasesEnded(p protections, l limits) bool {
	if !p.waitForExpiry {
		return true
	}
	end := promotion.EarliestRequestAt(at(s.promoter.pausedAt), s.allReleased(l))
	if !p.waitFullTTL {
		end = end.Add(-tick)
	}
	return at(now) >= end
}

func (s *state) allReleased(l limits) bool {
	for d := range l.daemons {
		if !s.promoter.released[d] {
			return false
		}
	}
	return true
}

// abandon ends the promotion before its request, and frees the claim. Another promotion may follow. The requests to resume
// the replicas are performed late.
func (s *state) abandon() {
	for r := range s.replicas {
		s.replicas[r].resume = s.replicas[r].resume || s.promoter.paused[r]
	}
	s.promoter = promoter{abandoned: true, pausedAt: none}
	s.row = rowFree
}

// all are the protections that suffice together.
func all() protections {
	return protections{
		pauseAll: true, waitForExpiry: true, countFromSend: true, ignoreEarlier: true, validOnArrival: true, continuous: true,
		readClaim: true, checkPaused: true, checkAfterWait: true, waitFullTTL: true, refusedHolds: true, markRequest: true,
		keepRequest: true, keepTerm: true, keepClaim: true,
	}
}

// TestModel explores every order of the events of a promotion and of leases on the old primary. It guards against two
// primaries that are used at once: no order of events may lead to them.
func TestModel(t *testing.T) {
	t.Parallel()
	for _, l := range []limits{restarts, abandoned, peers} {
		t.Run(l.name, func(t *testing.T) {
			t.Parallel()
			events, states := explore(all(), l)
			t.Logf("%d states", states)
			if events != nil {
				t.Errorf("two primaries are used at once: %s", strings.Join(events, ", "))
			}
		})
	}
}

// TestModelSinceClaim checks that the promoter needs no second look at the replicas if a connection counts as old only when
// it is older than a read that showed no claim.
func TestModelSinceClaim(t *testing.T) {
	t.Parallel()
	p := all()
	p.continuous, p.checkPaused, p.sinceClaim = false, false, true
	if events, _ := explore(p, restart); events != nil {
		t.Errorf("two primaries are used at once: %s", strings.Join(events, ", "))
	}
}

// TestModelNeedsEachProtection checks that without any one of the protections some order of events leads to two primaries
// that are used at once. A model without that order would not guard against the fault that the protection prevents.
func TestModelNeedsEachProtection(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name   string
		limits limits
		remove func(*protections)
	}{
		{"only one replica is paused", abandoned, func(p *protections) { p.pauseAll = false }},
		{"the request does not wait", abandoned, func(p *protections) { p.waitForExpiry = false }},
		{"leases count from a response", abandoned, func(p *protections) { p.countFromSend = false }},
		{"earlier responses are used", abandoned, func(p *protections) { p.ignoreEarlier = false }},
		{"an expired lease is renewed", abandoned, func(p *protections) { p.validOnArrival = false }},
		{"a restarted replica renews", restart, func(p *protections) { p.continuous, p.checkAfterWait = false, false }},
		{"a lease begins without the claim", abandoned, func(p *protections) { p.readClaim = false }},
		{"the reports of all replace the claim", restart, func(p *protections) { p.readClaim, p.allReports = false, true }},
		{"a restart during the pauses is not seen", restart, func(p *protections) { p.checkPaused = false }},
		{"a resume arrives after the check", abandoned, func(p *protections) { p.checkAfterWait = false }},
		{"the wait counts on a slow promotion", abandoned, func(p *protections) { p.waitFullTTL = false }},
		{"a refused daemon counts as one without a lease", abandoned, func(p *protections) { p.refusedHolds = false }},
		{"a claim does not show its request", abandoned, func(p *protections) { p.markRequest = false }},
		{"a request is forgotten with its claim", abandoned, func(p *protections) { p.keepRequest = false }},
		{"the term of a claim goes back", abandoned, func(p *protections) { p.keepTerm = false }},
		{"a claim is freed after a promotion", abandoned, func(p *protections) { p.keepClaim = false }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			p := all()
			c.remove(&p)
			events, _ := explore(p, c.limits)
			if events == nil {
				t.Error("the model finds no state with two primaries")
			}
			t.Log(strings.Join(events, ", "))
		})
	}
}
