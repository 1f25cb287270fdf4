package promotion_test

import (
	"testing"
	"time"

	"citronusher.example/citronusher"
	"citronusher.example/citronusher/lease"
	"citronusher.example/citronusher/promotion"
)

// The model has one tick for the least time that a promotion takes. A right lasts five of them.
const (
	tick     = 300 * time.Millisecond
	horizon  = 8 // ticks explored
	replicas = 2
	users    = 1
)

// question is a daemon's question to a replica. It may be answered late, and the answer may arrive late.
type question struct {
	asked   int8 // tick; -1 when there is none
	replica int8
	taken   bool   // the replica has answered
	held    uint64 // what it answered
}

// state is everything that matters between daemons that use a primary of term 1 and daemons that promote a replica.
type state struct {
	now    int8
	held   [replicas]uint64
	rights [users]lease.Lease
	asks   [users]question
	stage  int8 // how many replicas the promoter has stopped
	ackAt  int8 // when the last one's answer reached the promoter; -1 before
	asked  bool // the promoter asked the daemon to give its right up
	gave   bool // and the daemon did
	effect int8 // when the promotion takes effect; -1 while it was not ordered
}

// protections can be taken out, to show that the model finds what they prevent.
type protections struct {
	all      bool // every replica is stopped, not only one
	wait     bool // the order waits until rights have expired
	sentTime bool // rights count from when the question was sent, not from when the answer came
	forget   bool // a daemon that gave its right up takes no answers to earlier questions
}

func at(ticks int8) citronusher.Instant {
	return citronusher.Instant(0).Add(time.Duration(ticks) * tick)
}

// explore visits every order of events and returns a state in which a daemon may use the old primary although
// another one leads, or nil.
func explore(p protections) *state {
	first := state{ackAt: -1, effect: -1}
	for u := range users {
		first.asks[u].asked = -1
		first.rights[u].Begin(1)
	}
	visited := map[state]bool{first: true}
	frontier := []state{first}
	for len(frontier) > 0 {
		s := frontier[len(frontier)-1]
		frontier = frontier[:len(frontier)-1]
		if s.broken() {
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

// broken reports whether a daemon holds a right to the old primary after the promotion took effect.
func (s state) broken() bool {
	if s.effect < 0 || s.now < s.effect {
		return false
	}
	for u := range users {
		if s.rights[u].Valid(at(s.now)) {
			return true
		}
	}
	return false
}

// next returns the states that any single event leads to. Frozen daemons, late messages and a store that is down are
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
	for u := range users {
		all = append(all, s.userEvents(u, p)...)
	}
	toStop := int8(replicas)
	if !p.all {
		toStop = 1
	}
	if s.stage < toStop {
		add(func(n *state) { n.held[n.stage] = 2; n.stage++ })
	}
	if s.stage == toStop && s.ackAt < 0 {
		add(func(n *state) { n.ackAt = n.now })
	}
	if s.ackAt >= 0 && !s.asked {
		add(func(n *state) { n.asked = true })
	}
	if s.asked && !s.gave {
		add(func(n *state) { n.giveUp(p) })
	}
	mayOrder := s.ackAt >= 0 && s.effect < 0
	if mayOrder && (!p.wait || at(s.now) >= promotion.EarliestRequestAt(at(s.ackAt), s.gave)) {
		add(func(n *state) { n.effect = n.now + 1 }) // later effects are covered by later orders
	}
	return all
}

// giveUp makes the daemon give its right up. It may look for the primary again at once.
func (s *state) giveUp(p protections) {
	s.gave = true
	if p.forget {
		s.rights[0].Release(at(s.now))
	}
	s.rights[0].Begin(1)
}

// userEvents returns what a daemon that uses the primary may do or learn next.
func (s state) userEvents(u int, p protections) []state {
	var all []state
	ask := s.asks[u]
	switch {
	case ask.asked < 0:
		for r := range int8(replicas) {
			n := s
			n.asks[u] = question{asked: s.now, replica: r}
			all = append(all, n)
		}
	case !ask.taken:
		n := s
		n.asks[u].taken, n.asks[u].held = true, s.held[ask.replica]
		all = append(all, n)
	default:
		n := s
		n.asks[u] = question{asked: -1}
		counted := ask.asked
		if !p.sentTime {
			counted = s.now
		}
		status := citronusher.MemberStatus{Role: citronusher.RoleReplica, Term: 1, PausedTerm: ask.held}
		n.rights[u].ObserveStatus(status, at(counted))
		all = append(all, n)
	}
	return all
}

// TestModel explores promotions and rights. No order of events breaks them; each protection taken out is missed.
func TestModel(t *testing.T) {
	if s := explore(protections{all: true, wait: true, sentTime: true, forget: true}); s != nil {
		t.Errorf("two primaries are used at once: %+v", *s)
	}
	for name, p := range map[string]protections{
		"one replica is stopped":      {wait: true, sentTime: true, forget: true},
		"the order does not wait":     {all: true, sentTime: true, forget: true},
		"rights count from an answer": {all: true, wait: true, forget: true},
		"earlier answers are taken":   {all: true, wait: true, sentTime: true},
	} {
		if explore(p) == nil {
			t.Errorf("%s, and the model finds nothing", name)
		}
	}
}
