package soak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"citronusher.example/citronusher/standin/users"
)

// Kind is a kind of fault.
type Kind string

// The kinds of faults.
const (
	KindKill     Kind = "kill"     // a daemon is killed and starts again
	KindStop     Kind = "stop"     // a daemon is asked to stop and starts again
	KindPause    Kind = "pause"    // a daemon stands still
	KindCrash    Kind = "crash"    // the primary crashes and starts again
	KindReplica  Kind = "replica"  // a replica crashes and starts again
	KindDark     Kind = "dark"     // the primary does not answer
	KindCut      Kind = "cut"      // the primary is cut off from its replicas
	KindDeaf     Kind = "deaf"     // a replica receives nothing
	KindStore    Kind = "store"    // the store refuses every call
	KindThrottle Kind = "throttle" // the store says that there are too many calls
	KindFeed     Kind = "feed"     // feeds of the store hear of nothing
	KindAnswer   Kind = "answer"   // the primary loses an answer
	KindBreak    Kind = "break"    // the primary breaks a connection before a statement runs
	KindBusy     Kind = "busy"     // the primary refuses statements
	KindFail     Kind = "fail"     // a replica fails statements
	KindRoute    Kind = "route"    // the configuration changes
)

var kinds = []Kind{
	KindKill, KindStop, KindPause, KindCrash, KindReplica, KindDark, KindCut, KindDeaf, KindStore, KindThrottle, KindFeed,
	KindAnswer, KindBreak, KindBusy, KindFail, KindRoute,
}

const (
	gapMost   = 900 * time.Millisecond // between the beginnings of two faults
	spanLeast = 200 * time.Millisecond
	spanMost  = 2500 * time.Millisecond
	burst     = 5 // statements that are refused or fail
)

// Fault is one fault of a run.
type Fault struct {
	Kind Kind
	// At is when it begins, after the start of the run, and Span how long it lasts.
	At, Span time.Duration
	// Subject is the index of the daemon that it strikes.
	Subject int
}

// Draw draws the faults of a run. Faults overlap.
func Draw(random *rand.Rand, span time.Duration, daemons int) []Fault {
	var faults []Fault
	for at := time.Duration(0); at < span; at += time.Duration(random.Int64N(int64(gapMost))) {
		faults = append(faults, Fault{
			Kind: kinds[random.IntN(len(kinds))], At: at, Subject: random.IntN(daemons),
			Span: spanLeast + time.Duration(random.Int64N(int64(spanMost-spanLeast))),
		})
	}
	return faults
}

// inject carries the faults out and waits until the last has ended. Each member, each daemon and the store have one
// fault at a time: one that comes meanwhile waits for its turn.
func (r *run) inject(faults []Fault) error {
	began := time.Now()
	var tasks errgroup.Group
	turns := map[string]chan struct{}{}
	for _, f := range faults {
		subject := f.turn()
		if turns[subject] == nil {
			turns[subject] = make(chan struct{}, 1)
		}
		turn := turns[subject]
		tasks.Go(func() error {
			time.Sleep(time.Until(began.Add(f.At)))
			turn <- struct{}{}
			defer func() { <-turn }()
			if err := r.carryOut(f); err != nil {
				return fmt.Errorf("fault %+v: %w", f, err)
			}
			return nil
		})
	}
	return tasks.Wait()
}

// turn names what the fault strikes.
func (f Fault) turn() string {
	switch f.Kind {
	case KindKill, KindStop, KindPause:
		return fmt.Sprintf("daemon %d", f.Subject)
	case KindStore, KindThrottle, KindFeed:
		return "store"
	case KindRoute:
		return "route"
	default:
		return "members"
	}
}

// carryOut begins a fault, waits for its span and ends it.
func (r *run) carryOut(f Fault) error {
	daemon := r.daemons[f.Subject]
	switch f.Kind {
	case KindKill:
		return daemon.restart(syscall.SIGKILL, f.Span)
	case KindStop:
		return daemon.restart(syscall.SIGTERM, f.Span)
	case KindPause:
		err := daemon.signal(syscall.SIGSTOP)
		time.Sleep(f.Span)
		return errors.Join(err, daemon.signal(syscall.SIGCONT))
	case KindStore:
		r.failStore(http.StatusServiceUnavailable, f.Span)
	case KindThrottle:
		r.failStore(http.StatusTooManyRequests, f.Span)
	case KindFeed:
		r.platform.Deafen(true)
		time.Sleep(f.Span)
		r.platform.Deafen(false)
	case KindRoute:
		r.platform.Route(fmt.Sprintf("added-%d", f.At.Milliseconds()), "primary", groupName, 0, stmtLimit)
	default:
		return r.strikeMember(f)
	}
	return nil
}

func (r *run) failStore(status int, span time.Duration) {
	r.platform.Fail(status)
	time.Sleep(span)
	r.platform.Fail(0)
}

// strikeMember carries a fault of a member out.
func (r *run) strikeMember(f Fault) error {
	primary := r.group.Primary()
	replica := r.replica(f.Subject)
	switch f.Kind {
	case KindCrash:
		return crash(primary, f.Span)
	case KindReplica:
		return crash(replica, f.Span)
	case KindDark:
		primary.Darken(true)
		time.Sleep(f.Span)
		primary.Darken(false)
	case KindCut:
		primary.Cut(true)
		time.Sleep(f.Span)
		primary.Cut(false)
	case KindDeaf:
		replica.Deafen(true)
		time.Sleep(f.Span)
		replica.Deafen(false)
	case KindAnswer:
		primary.LoseAnswer()
	case KindBreak:
		primary.Break()
	case KindBusy:
		primary.Refuse(burst)
	case KindFail:
		replica.Fail(burst)
	}
	return nil
}

func crash(m *users.Member, span time.Duration) error {
	m.Crash()
	time.Sleep(span)
	return m.Restart()
}

// replica returns one of the members that do not lead.
func (r *run) replica(n int) *users.Member {
	primary := r.group.Primary()
	for i := range members {
		if m := r.group.Member((n + i) % members); m != primary {
			return m
		}
	}
	return primary
}
