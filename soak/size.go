package soak

import (
	"fmt"
	"time"

	"citronusher.example/citronusher/standin/users"
)

// size is a deployment that a run simulates.
type size struct {
	groups, daemons, callers int
	platform                 users.Options
	timeoutMs                int           // of a statement, in milliseconds
	drain                    string        // time that a daemon has to stop
	pace                     time.Duration // maximum pause of a caller between two operations; half of it on average
	pause                    time.Duration // maximum pause between two statements of a transaction
	faultGap                 time.Duration // maximum time between the starts of two faults
	kinds                    []Kind
	routes                   []route
}

// route is what some of the callers do.
type route struct {
	name, consistency string
	share             int // of 100 callers
	writes            int // of 100 operations outside transactions
	transactions      int // of 100 operations
	maxStaleness      time.Duration
}

const (
	consistencyPrimary = "primary"
	consistencyOwn     = "read_your_writes"
	consistencyBounded = "bounded_staleness"
)

// sizeOf returns the size of a name with the options that replace parts of it.
func sizeOf(o Options) (size, error) {
	var s size
	switch o.Size {
	case "", "small":
		s = small()
	case "ledger":
		s = ledger()
	default:
		return size{}, fmt.Errorf("%w: size %q, want small or ledger", errOption, o.Size)
	}
	s.platform.Record = true
	replace(&s.daemons, o.Daemons)
	replace(&s.platform.Connections, o.Connections)
	replace(&s.callers, o.Callers)
	replace(&s.groups, o.Groups)
	replace(&s.pace, o.Pace)
	replace(&s.platform.Promotion, o.Promotion)
	if len(o.Kinds) > 0 {
		s.kinds = o.Kinds
	}
	return s, nil
}

// replace replaces a value unless the other one is zero.
func replace[T comparable](value *T, other T) {
	var zero T
	if other != zero {
		*value = other
	}
}

// small is one small group with busy callers.
func small() size {
	return size{
		groups: 1, daemons: 5, callers: 10, timeoutMs: 1500, drain: "3s", pace: 4 * time.Millisecond,
		platform: users.Options{
			Slots: 3, Connections: 4, Lag: 3 * time.Millisecond, Promotion: 300 * time.Millisecond,
			StatementDuration: time.Millisecond,
		},
		faultGap: 900 * time.Millisecond, kinds: kinds[:classicKinds],
		routes: []route{
			{name: "fresh", consistency: consistencyPrimary, share: 50, writes: 44, transactions: 14},
			{
				name: "own", consistency: consistencyOwn, share: 50, writes: 44, transactions: 14,
				maxStaleness: 2500 * time.Millisecond,
			},
		},
	}
}

// ledger is a deployment of three groups with mostly idle sessions.
func ledger() size {
	return size{
		groups: 3, daemons: 6, callers: 296, timeoutMs: 3000, drain: "6s", pace: 1500 * time.Millisecond,
		pause: 60 * time.Millisecond,
		platform: users.Options{
			Slots: 3, Connections: 34, Lag: 20 * time.Millisecond, Promotion: time.Second,
			StatementDuration: 7 * time.Millisecond,
		},
		faultGap: 1500 * time.Millisecond, kinds: kinds,
		routes: []route{
			{name: "fresh", consistency: consistencyPrimary, share: 15, writes: 20, transactions: 40},
			{name: "stale", consistency: consistencyBounded, share: 15, transactions: 10, maxStaleness: 1500 * time.Millisecond},
			{
				name: "own", consistency: consistencyOwn, share: 70, writes: 12, transactions: 12,
				maxStaleness: 2500 * time.Millisecond,
			},
		},
	}
}

// route returns the route of a caller, so that the shares are kept.
func (s size) route(caller int) route {
	const whole = 100
	place := caller * 37 % whole //nolint:mnd // coprime to whole, so that all places are taken
	for _, r := range s.routes {
		if place < r.share {
			return r
		}
		place -= r.share
	}
	return s.routes[0]
}
