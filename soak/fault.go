package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"
)

// Kind names the kind of a fault, as options and error messages show it.
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

	KindRoll          Kind = "roll"   // all daemons are restarted one after the other
	KindDoze          Kind = "doze"   // a daemon is frozen while the primary crashes
	KindFreeze        Kind = "freeze" // the primary is frozen
	KindFreezeReplica Kind = "chill"  // a replica is frozen
	KindLeave         Kind = "leave"  // the primary drains and is replaced by another member with its log
	KindLate          Kind = "late"   // promotions take effect after random times, or are handled late
	KindHeld          Kind = "held"   // the platform is slow to handle promotion requests
	KindDeny          Kind = "deny"   // promotions are refused, cut or not answered
	KindPeerSilent    Kind = "hush"   // links to a daemon deliver nothing
	KindPeerRefuse    Kind = "refuse" // links to a daemon refuse connections
	KindPeerDelay     Kind = "slow"   // links to a daemon delay
	KindMemberSilent  Kind = "part"   // links of some daemons to the primary deliver nothing
	KindMemberRefuse  Kind = "bar"    // links of some daemons to the primary refuse connections
	KindMemberDelay   Kind = "lag"    // links of some daemons to the primary delay
	KindReplicaSilent Kind = "numb"   // links of some daemons to the replicas deliver nothing
	KindReplicaDelay  Kind = "drawl"  // links of some daemons to the replicas delay
	KindStoreSilent   Kind = "core"   // links of some daemons to the platform deliver nothing
	KindStoreRefuse   Kind = "shut"   // links of some daemons to the platform refuse connections
	KindStoreDelay    Kind = "drag"   // links of some daemons to the platform delay
	KindMute          Kind = "mute"   // as KindSplit, but the connections between daemons deliver nothing
	KindSwap          Kind = "swap"   // some daemons do not reach the primary, and another one is killed and started at once
	KindSplit         Kind = "split"  // some daemons do not reach the primary, and the others refuse their connections
)

var kinds = []Kind{
	KindKill, KindStop, KindPause, KindCrash, KindReplica, KindUnreachable, KindCut, KindReplicationCut, KindStore,
	KindThrottle, KindFeedSilent, KindRestore, KindLostPromotion, KindLostAnswer, KindConnectionLoss, KindBusy, KindFail,
	KindRoute,
	KindRoll, KindDoze, KindFreeze, KindFreezeReplica, KindLeave, KindLate, KindDeny, KindPeerSilent, KindPeerRefuse,
	KindPeerDelay, KindMemberSilent, KindMemberRefuse, KindMemberDelay, KindStoreSilent, KindStoreRefuse, KindStoreDelay,
	KindSplit, KindMute, KindSwap, KindHeld, KindReplicaSilent, KindReplicaDelay,
}

// Kinds returns all kinds of faults.
func Kinds() []Kind { return slices.Clone(kinds) }

const (
	classicKinds       = 18 // number of kinds that the small size draws
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
	// Group is the index of the affected group. Daemons has a bit for each daemon whose links are affected; Way is the
	// direction, with both for directions. They are 0 unless links are drawn.
	Group, Way int
	Daemons    uint
}

// DrawFaults returns random faults of the given kinds whose start times lie within span and at most gap apart, for a run
// with the given number of daemons and groups. Faults may overlap.
func DrawFaults(
	random *rand.Rand, span, gap time.Duration, daemons, groups int, kinds []Kind,
) []Fault {
	var faults []Fault
	for at := time.Duration(0); at < span; at += time.Duration(random.Int64N(int64(gap))) {
		f := Fault{
			Kind: kinds[random.IntN(len(kinds))], At: at, Index: random.IntN(daemons),
			Duration: minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration))),
		}
		if groups > 1 {
			f.Group = random.IntN(groups)
		}
		if _, ok := linkFaults[f.Kind]; ok {
			f.Daemons, f.Way = 1+random.UintN(1<<daemons-1), random.IntN(directions+1)
		}
		faults = append(faults, f)
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
			r.logFault(f)
			if err := r.injectFault(f); err != nil {
				return fmt.Errorf("fault %+v: %w", f, err)
			}
			return nil
		})
	}
	return tasks.Wait()
}

// resource returns the name of the resource that the fault affects: one daemon, the store, promotions, the routes, links or
// a group's members.
func (f Fault) resource() string {
	if how, ok := linkFaults[f.Kind]; ok {
		return fmt.Sprintf("links %d %d %d", how.end, f.Group, f.Index)
	}
	switch f.Kind {
	case KindKill, KindStop, KindPause:
		return fmt.Sprintf("daemon %d", f.Index)
	case KindRoll:
		return "roll"
	case KindStore, KindThrottle, KindFeedSilent, KindRestore:
		return "store"
	case KindLostPromotion, KindLate, KindHeld, KindDeny:
		return "promotion"
	case KindRoute:
		return "route"
	case KindFreezeReplica:
		return fmt.Sprintf("replica %d", f.Group)
	default:
		return fmt.Sprintf("members %d", f.Group)
	}
}

// injectFault starts a fault, waits for its duration and ends it.
func (r *run) injectFault(f Fault) error {
	if how, ok := linkFaults[f.Kind]; ok {
		return r.impairLinks(f, how)
	}
	switch f.Kind {
	case KindKill, KindStop, KindPause, KindRoll, KindDoze:
		return r.injectDaemonFault(f)
	case KindStore, KindThrottle, KindFeedSilent, KindRestore, KindRoute, KindLostPromotion, KindLate, KindHeld, KindDeny:
		r.injectPlatformFault(f)
		return nil
	default:
		return r.injectMemberFault(f)
	}
}
