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

// Kind names the kind of a fault, as error messages show it.
type Kind string

// Kinds of faults. KindAnswer, KindBreak, KindBusy, KindFail and KindRoute take effect once and ignore the duration.
const (
	KindKill           Kind = "kill"     // a daemon is killed by SIGKILL and restarted
	KindStop           Kind = "stop"     // a daemon is stopped by SIGTERM and restarted
	KindPause          Kind = "pause"    // a daemon is frozen by SIGSTOP and resumed
	KindCrash          Kind = "crash"    // the primary crashes and is restarted
	KindReplica        Kind = "replica"  // a replica crashes and is restarted
	KindUnreachable    Kind = "dark"     // the primary is unreachable: it answers no request
	KindCut            Kind = "cut"      // the primary is disconnected from its replicas
	KindReplicationCut Kind = "deaf"     // a replica receives no replication messages
	KindStore          Kind = "store"    // the store fails every call with 503
	KindThrottle       Kind = "throttle" // the store rejects every call with 429 (too many requests)
	KindFeedSilent     Kind = "feed"     // the store's change feeds deliver no changes
	KindRestore        Kind = "restore"  // the store returns from a copy that is as old as the fault lasts
	KindLostPromotion  Kind = "promote"  // promotion requests are carried out, but not answered
	KindLostAnswer     Kind = "answer"   // the primary runs a statement and its answer is lost
	KindConnectionLoss Kind = "break"    // the primary closes a connection before it runs a statement
	KindBusy           Kind = "busy"     // the primary rejects statements as busy
	KindFail           Kind = "fail"     // a replica runs statements and reports that they failed
	KindRoute          Kind = "route"    // a route is added to the configuration
)

var kinds = []Kind{
	KindKill, KindStop, KindPause, KindCrash, KindReplica, KindUnreachable, KindCut, KindReplicationCut, KindStore,
	KindThrottle, KindFeedSilent, KindRestore, KindLostPromotion, KindLostAnswer, KindConnectionLoss, KindBusy, KindFail,
	KindRoute,
}

const (
	maxFaultGap        = 900 * time.Millisecond // between the start times of two faults
	minFaultDuration   = 200 * time.Millisecond
	maxFaultDuration   = 2500 * time.Millisecond
	restoreTime        = 200 * time.Millisecond // for which the store is away before it returns from a copy
	rejectedStatements = 5                      // number of statements that a KindBusy or KindFail fault affects
)

// Fault is one scheduled fault of a run.
type Fault struct {
	Kind Kind
	// At is the start time, measured from the start of fault injection. Duration is how long the fault lasts.
	At, Duration time.Duration
	// Index is the index of the affected daemon. For a replica's fault it selects the replica.
	Index int
}

// DrawFaults returns random faults whose start times lie within span, for a run with the given number of daemons. Faults may
// overlap.
func DrawFaults(random *rand.Rand, span time.Duration, daemons int) []Fault {
	var faults []Fault
	for at := time.Duration(0); at < span; at += time.Duration(random.Int64N(int64(maxFaultGap))) {
		faults = append(faults, Fault{
			Kind: kinds[random.IntN(len(kinds))], At: at, Index: random.IntN(daemons),
			Duration: minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration))),
		})
	}
	return faults
}

// inject runs the faults at their start times and returns after the last has ended. Faults of the same resource (see
// Fault.resource) run one at a time: a fault whose resource is in use waits until the earlier one has ended.
func (r *run) inject(faults []Fault) error {
	startedAt := time.Now()
	var tasks errgroup.Group
	locks := map[string]chan struct{}{}
	for _, f := range faults {
		resource := f.resource()
		if locks[resource] == nil {
			locks[resource] = make(chan struct{}, 1)
		}
		lock := locks[resource]
		tasks.Go(func() error {
			time.Sleep(time.Until(startedAt.Add(f.At)))
			lock <- struct{}{}
			defer func() { <-lock }()
			if err := r.injectFault(f); err != nil {
				return fmt.Errorf("fault %+v: %w", f, err)
			}
			return nil
		})
	}
	return tasks.Wait()
}

// resource returns the name of the resource that the fault affects: one daemon, the store, the routes or the members.
func (f Fault) resource() string {
	switch f.Kind {
	case KindKill, KindStop, KindPause:
		return fmt.Sprintf("daemon %d", f.Index)
	case KindStore, KindThrottle, KindFeedSilent, KindRestore:
		return "store"
	case KindLostPromotion:
		return "promotion"
	case KindRoute:
		return "route"
	default:
		return "members"
	}
}

// injectFault starts a fault, waits for its duration and ends it.
func (r *run) injectFault(f Fault) error {
	daemon := r.daemons[f.Index]
	switch f.Kind {
	case KindKill:
		return daemon.restart(syscall.SIGKILL, f.Duration)
	case KindStop:
		return daemon.restart(syscall.SIGTERM, f.Duration)
	case KindPause:
		err := daemon.signal(syscall.SIGSTOP)
		time.Sleep(f.Duration)
		return errors.Join(err, daemon.signal(syscall.SIGCONT))
	case KindStore:
		r.failStore(http.StatusServiceUnavailable, f.Duration)
	case KindThrottle:
		r.failStore(http.StatusTooManyRequests, f.Duration)
	case KindFeedSilent:
		r.platform.StallFeeds(true)
		time.Sleep(f.Duration)
		r.platform.StallFeeds(false)
	case KindRestore:
		r.platform.Copy()
		time.Sleep(f.Duration)
		r.platform.Fail(http.StatusServiceUnavailable)
		time.Sleep(restoreTime)
		r.platform.Restore()
		r.platform.Fail(0)
	case KindLostPromotion:
		r.platform.LosePromotionAnswers(true)
		time.Sleep(f.Duration)
		r.platform.LosePromotionAnswers(false)
	case KindRoute:
		r.platform.Route(fmt.Sprintf("added-%d", f.At.Milliseconds()), "primary", groupName, 0, statementTimeoutMs)
	default:
		return r.injectMemberFault(f)
	}
	return nil
}

func (r *run) failStore(status int, duration time.Duration) {
	r.platform.Fail(status)
	time.Sleep(duration)
	r.platform.Fail(0)
}

// injectMemberFault injects a fault into the current primary or one of its replicas.
func (r *run) injectMemberFault(f Fault) error {
	primary := r.group.Primary()
	replica := r.replica(f.Index)
	switch f.Kind {
	case KindCrash:
		return crash(primary, f.Duration)
	case KindReplica:
		return crash(replica, f.Duration)
	case KindUnreachable:
		primary.SetUnresponsive(true)
		time.Sleep(f.Duration)
		primary.SetUnresponsive(false)
	case KindCut:
		primary.SetPartitioned(true)
		time.Sleep(f.Duration)
		primary.SetPartitioned(false)
	case KindReplicationCut:
		replica.StopReceiving(true)
		time.Sleep(f.Duration)
		replica.StopReceiving(false)
	case KindLostAnswer:
		primary.LoseNextAnswer()
	case KindConnectionLoss:
		primary.BreakNextConn()
	case KindBusy:
		primary.RejectBusy(rejectedStatements)
	case KindFail:
		replica.FailStatements(rejectedStatements)
	}
	return nil
}

func crash(m *users.Member, downtime time.Duration) error {
	m.Crash()
	time.Sleep(downtime)
	return m.Restart()
}

// replica returns a member that is not the primary; n selects which one.
func (r *run) replica(n int) *users.Member {
	primary := r.group.Primary()
	for i := range members {
		if m := r.group.Member((n + i) % members); m != primary {
			return m
		}
	}
	return primary
}
