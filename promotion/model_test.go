package promotion_test

import (
	"testing"
	"time"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/lease"
	"citronusher.example/citronusher/promotion"
)

// One tick of the model is the shortest time that a promotion takes. The lease TTL is five ticks.
const (
	tick     = 300 * time.Millisecond
	horizon  = 8 // ticks explored
	replicas = 2
	daemons  = 1 // that use the old primary
)

// request is a daemon's status request to a replica. The replica may respond late, and the response may arrive late.
type request struct {
	sentAt    int8 // tick; -1 when there is no request
	replica   int8
	responded bool   // the replica has responded
	paused    uint64 // the paused term in its response
}

// state is the model's state: daemons that use a primary of term 1, and a daemon that promotes a replica.
type state struct {
	now              int8
	paused           [replicas]uint64
	leases           [daemons]lease.Lease
	requests         [daemons]request
	pausedCount      int8 // replicas that the promoter has paused
	ackAt            int8 // when the last of their responses reached the promoter; -1 before
	releaseRequested bool // the promoter asked the daemon to release its lease
	released         bool // the daemon has released it
	effectAt         int8 // when the promotion takes effect; -1 while it was not requested
}

// protections can be switched off one by one, to show that the model finds the fault that each prevents.
type protections struct {
	pauseAll      bool // every replica is paused, not only one
	waitForExpiry bool // the promotion request waits until leases have expired
	countFromSend bool // leases count from when the request was sent, not from when the response arrived
	ignoreEarlier bool // a daemon that released its lease ignores responses to earlier requests
}

func at(ticks int8) citronusher.Instant {
	return citronusher.Instant(0).Add(time.Duration(ticks) * tick)
}

// explore visits every order of events. It returns a state in which a daemon may use the old primary after the promotion
// took effect, or nil.
func explore(p protections) *state {
	first := state{ackAt: -1, effectAt: -1}
	for d := range daemons {
		first.requests[d].sentAt = -1
		first.leases[d].Begin(1)
	}
	visited := map[state]bool{first: true}
	frontier := []state{first}
	for len(frontier) > 0 {
		s := frontier[len(frontier)-1]
		frontier = frontier[:len(frontier)-1]
		if s.twoPrimaries() {
			return &s
		}
		for _, next := range s.next(p) {
			if !visited[next] {
				visited[next] = true
				frontier = append(frontier, next)
			}
		}
	}
	return nil
}

// twoPrimaries reports whether a daemon has a valid lease on the old primary after the promotion took effect.
func (s state) twoPrimaries() bool {
	if s.effectAt < 0 || s.now < s.effectAt {
		return false
	}
	for d := range daemons {
		if s.leases[d].Valid(at(s.now)) {
			return true
		}
	}
	return false
}

// next returns the states that any single event leads to. Suspended daemons, late messages and an unavailable store are
// events that happen later or never.
func (s state) next(p protections) []state {
	var all []state
	add := func(change func(*state)) {
		n := s
		change(&n)
		all = append(all, n)
	}
	if s.now < horizon {
		add(func(n *state) { n.now++ })
	}
	for d := range daemons {
		all = append(all, s.daemonEvents(d, p)...)
	}
	toPause := int8(replicas)
	if !p.pauseAll {
		toPause = 1
	}
	if s.pausedCount < toPause {
		add(func(n *state) { n.paused[n.pausedCount] = 2; n.pausedCount++ })
	}
	if s.pausedCount == toPause && s.ackAt < 0 {
		add(func(n *state) { n.ackAt = n.now })
	}
	if s.ackAt >= 0 && !s.releaseRequested {
		add(func(n *state) { n.releaseRequested = true })
	}
	if s.releaseRequested && !s.released {
		add(func(n *state) { n.release(p) })
	}
	mayRequest := s.ackAt >= 0 && s.effectAt < 0
	if mayRequest && (!p.waitForExpiry || at(s.now) >= promotion.EarliestRequestAt(at(s.ackAt), s.released)) {
		add(func(n *state) { n.effectAt = n.now + 1 }) // later effects are covered by later requests
	}
	return all
}

// release makes the daemon release its lease. The daemon may search for the primary again at once.
func (s *state) release(p protections) {
	s.released = true
	if p.ignoreEarlier {
		s.leases[0].Release(at(s.now))
	}
	s.leases[0].Begin(1)
}

// daemonEvents returns the states after the next event of a daemon that uses the primary.
func (s state) daemonEvents(d int, p protections) []state {
	var all []state
	r := s.requests[d]
	switch {
	case r.sentAt < 0:
		for replica := range int8(replicas) {
			n := s
			n.requests[d] = request{sentAt: s.now, replica: replica}
			all = append(all, n)
		}
	case !r.responded:
		n := s
		n.requests[d].responded, n.requests[d].paused = true, s.paused[r.replica]
		all = append(all, n)
	default:
		n := s
		n.requests[d] = request{sentAt: -1}
		countedFrom := r.sentAt
		if !p.countFromSend {
			countedFrom = s.now
		}
		status := citronusher.MemberStatus{Role: citronusher.RoleReplica, Term: 1, PausedTerm: r.paused}
		n.leases[d].ObserveStatus(status, at(countedFrom))
		all = append(all, n)
	}
	return all
}

// TestModel explores every order of the events of a promotion and of leases on the old primary. It guards against two
// primaries that are used at once: no order of events may lead to them, and without any one of the protections some does.
func TestModel(t *testing.T) {
	if s := explore(protections{pauseAll: true, waitForExpiry: true, countFromSend: true, ignoreEarlier: true}); s != nil {
		t.Errorf("two primaries are used at once: %+v", *s)
	}
	for name, p := range map[string]protections{
		"only one replica is paused":   {waitForExpiry: true, countFromSend: true, ignoreEarlier: true},
		"the request does not wait":    {pauseAll: true, countFromSend: true, ignoreEarlier: true},
		"leases count from a response": {pauseAll: true, waitForExpiry: true, ignoreEarlier: true},
		"earlier responses are used":   {pauseAll: true, waitForExpiry: true, countFromSend: true},
	} {
		if explore(p) == nil {
			t.Errorf("%s, but the model finds no state with two primaries", name)
		}
	}
}
