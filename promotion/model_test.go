package promotion_test

import (
	"strings"
	"testing"
	"time"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/lease"
	"citronusher.example/citronusher/promotion"
)

// One tick of the model is the shortest time that a promotion takes. The lease TTL is five ticks. Times are relative: when a
// tick passes they all move back, until none of the rules tells them from older ones.
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

// state is the model's state: daemons that use a primary of term 1, and a daemon that promotes a replica. The old primary
// commits until the end. After the promotion took effect replica 1 is cut from the new primary: it reports term 1.
type state struct {
	replicas  [replicas]replica
	daemons   [daemons]daemon
	promoter  promoter
	claimed   bool // the claim's row shows that a daemon may replace the primary of term 1
	requested bool // the promotion takes effect at the next tick
	effective bool // the promotion has taken effect
	restarts  int8 // replicas that restarted
}

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
	released  [daemons]bool  // daemons that have released their leases on its request
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

	validOnArrival  bool // a status renews only a lease that is valid when it arrives
	continuous      bool // a status renews only on a connection that is older than the last renewal
	sinceClaim      bool // a status renews only on a connection that is older than a read that showed no claim
	allReports      bool // a lease begins with the statuses of all replicas, not of one
	readClaim       bool // a lease begins after a read that showed no claim
	checkPaused     bool // each replica is found paused once more after all confirmed their pause
	resumeInTime    bool // an abandoned promotion resumes replicas before its claim ends, or never
	awaitOwnRequest bool // a daemon resumes nothing while a request of its own may take effect
	keepClaim       bool // a later holder does not free a claim under which a promotion may have taken effect
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
	change("a later holder frees the claim", s.effective && s.claimed && !p.keepClaim, func(n *state) { n.claimed = false })
}

// digit returns a number below ten as text.
func digit(n int8) string { return string(rune('0' + n)) }

// advance lets a tick pass.
func (s *state) advance(p protections) {
	for d := range s.daemons {
		s.daemons[d].advance(p)
	}
	s.promoter.pausedAt = back(s.promoter.pausedAt, expired)
	if s.requested {
		s.requested, s.effective, s.promoter = false, true, promoter{pausedAt: none}
		s.resumeAll()
	}
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

// promoterEvents adds the states after the next event of the promotion.
func (s *state) promoterEvents(p protections, l limits, change changer) {
	m := &s.promoter
	for r := range int8(replicas) {
		mayPause := m.pausedAt == none && !m.paused[r] && (p.pauseAll || r == 0)
		change("claim and pause replica "+digit(r), mayPause, func(n *state) {
			n.claimed, n.replicas[r].paused, n.promoter.paused[r] = true, true, true
		})
		mayCheck := p.checkPaused && m.paused[r] && m.pausedAt != none && !m.checked[r] && s.replicas[r].paused
		change("check replica "+digit(r), mayCheck, func(n *state) { n.promoter.checked[r] = true })
	}
	allPaused := m.paused[0] && (m.paused[1] || !p.pauseAll)
	change("all are paused", allPaused && m.pausedAt == none, func(n *state) { n.promoter.pausedAt = now })
	begun := m.paused != [replicas]bool{}
	change("abandon", l.abandons && begun && !m.abandoned && !s.requested, func(n *state) { n.abandon(p) })
	mayRequest := m.pausedAt != none && !s.requested && (!p.checkPaused || m.checked == m.paused)
	if mayRequest && p.waitForExpiry {
		mayRequest = at(now) >= promotion.EarliestRequestAt(at(m.pausedAt), s.allReleased(l))
	}
	change("request", mayRequest, func(n *state) { n.requested = true }) // later effects are covered by later requests
	change("resume beside the own request", s.requested && !p.awaitOwnRequest, (*state).resumeAll)
}

func (s *state) allReleased(l limits) bool {
	for d := range l.daemons {
		if !s.promoter.released[d] {
			return false
		}
	}
	return true
}

// abandon ends the promotion before its request, and frees the claim. Another promotion may follow.
func (s *state) abandon(p protections) {
	for r := range s.replicas {
		switch {
		case !s.promoter.paused[r]:
		case p.resumeInTime:
			s.replicas[r].paused = false
		default:
			s.replicas[r].resume = true
		}
	}
	s.promoter = promoter{abandoned: true, pausedAt: none}
	s.claimed = false
}

// all are the protections that suffice together.
func all() protections {
	return protections{
		pauseAll: true, waitForExpiry: true, countFromSend: true, ignoreEarlier: true, validOnArrival: true, continuous: true,
		readClaim: true, checkPaused: true, resumeInTime: true, awaitOwnRequest: true, keepClaim: true,
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
		{"a restarted replica renews", restart, func(p *protections) { p.continuous = false }},
		{"a lease begins without the claim", abandoned, func(p *protections) { p.readClaim = false }},
		{"the reports of all replace the claim", restart, func(p *protections) { p.readClaim, p.allReports = false, true }},
		{"a restart during the pauses is not seen", restart, func(p *protections) { p.checkPaused = false }},
		{"a resume arrives late", abandoned, func(p *protections) { p.resumeInTime = false }},
		{"an unconfirmed request is forgotten", abandoned, func(p *protections) { p.awaitOwnRequest = false }},
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
