package soak

import (
	"fmt"
	"time"

	"citronusher.example/citronusher/standin/users"
)

const (
	maxDrainTime  = 6 * time.Second // for which a member that drains waits until it is not the primary
	drainPollTime = 20 * time.Millisecond
)

// injectMemberFault injects a fault into the current primary of a group or one of its replicas.
func (r *run) injectMemberFault(f Fault) error {
	primary := r.primary(f.Group)
	replica := r.replica(f, primary)
	switch f.Kind {
	case KindCrash:
		return crash(primary, f.Duration)
	case KindReplica:
		return crash(replica, f.Duration)
	case KindLeave:
		return r.replace(primary, f)
	case KindUnreachable:
		during(f, primary.SetUnresponsive)
	case KindCut:
		during(f, primary.SetPartitioned)
	case KindReplicationCut:
		during(f, replica.StopReceiving)
	case KindFreeze:
		during(f, primary.SetFrozen)
	case KindFreezeReplica:
		during(f, replica.SetFrozen)
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

// during sets a state for the duration of a fault.
func during(f Fault, set func(bool)) {
	set(true)
	time.Sleep(f.Duration)
	set(false)
}

func crash(m *users.Member, downtime time.Duration) error {
	m.Crash()
	time.Sleep(downtime)
	return m.Restart()
}

// replace drains a primary and replaces it once another member leads. When none does in time it goes on as it was.
func (r *run) replace(m *users.Member, f Fault) error {
	m.Drain()
	deadline := time.Now().Add(maxDrainTime)
	for !r.replacedBy(f.Group, m) {
		if time.Now().After(deadline) {
			m.CancelDrain()
			return nil
		}
		time.Sleep(drainPollTime)
	}
	time.Sleep(f.Duration)
	if !r.replacedBy(f.Group, m) { // promoted again meanwhile
		m.CancelDrain()
		return nil
	}
	return m.Replace(fmt.Sprintf("%s-%d", m.ID(), f.At.Milliseconds()))
}

// replacedBy reports whether another member than m leads the group.
func (r *run) replacedBy(group int, m *users.Member) bool {
	primary := r.groups[group].Primary()
	return primary != nil && primary != m
}

// primary returns the primary of a group. It waits for one that is about to lead, and returns another member in its absence.
func (r *run) primary(group int) *users.Member {
	deadline := time.Now().Add(maxDrainTime)
	for time.Now().Before(deadline) {
		if m := r.groups[group].Primary(); m != nil {
			return m
		}
		time.Sleep(drainPollTime)
	}
	return r.groups[group].Member(0)
}

// replica returns a member of the fault's group that is not the primary; the fault's index selects which one.
func (r *run) replica(f Fault, primary *users.Member) *users.Member {
	group := r.groups[f.Group]
	for i := range membersPerGroup {
		if m := group.Member((f.Index + i) % membersPerGroup); m != primary {
			return m
		}
	}
	return primary
}
